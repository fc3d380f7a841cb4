"""Decode the configuration that the operator writes to the store."""

from __future__ import annotations

from typing import Any

from expression import Error, Ok, Result

from lynxchute.config import (
    ClientAccount,
    Configuration,
    EngineTraits,
    Limits,
    RequestKind,
    Route,
    Service,
    Target,
)
from lynxchute.store.json_value import MAX_PROBLEM_LENGTH, decode_json

# Larger versions could not be followed by a newer one.
MAX_VERSION = 1 << 53

KINDS_BY_NAME = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.AT_MOST_ONCE,
    "streaming": RequestKind.STREAM,
}


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Return the decoded configuration, or an error that says why it is invalid."""
    try:
        return Ok(_configuration(decode_json(value)))
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        problem = f"the configuration cannot be read: {error!r}"
        return Error(problem[:MAX_PROBLEM_LENGTH])


def _configuration(document: dict[str, Any]) -> Configuration:
    services = [_service(item) for item in document["services"]]
    accounts_by_name: dict[str, ClientAccount] = {}
    accounts_by_key: dict[str, ClientAccount] = {}
    for item in document.get("tenants") or ():
        account = _account(item)
        accounts_by_name[account.name] = account
        for key in item.get("api_keys") or ():
            accounts_by_key[_checked_text(key)] = account
    return Configuration(
        version=_version(document),
        routes=tuple(_route(item) for item in document["routes"]),
        services_by_name={service.name: service for service in services},
        accounts_by_name=accounts_by_name,
        accounts_by_key=accounts_by_key,
        limits=_limits(document.get("limits") or {}),
    )


def _version(document: dict[str, Any]) -> int:
    version = int(document["version"])
    if version > MAX_VERSION:
        raise ValueError("the version is too large")
    return version


def _text(item: dict[str, Any], name: str) -> str:
    return _checked_text(item[name])


def _checked_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a string: {type(value).__name__}")
    return value


def _route(item: dict[str, Any]) -> Route:
    timeout = float(item["timeout_ms"]) / 1000.0
    return Route(
        name=_text(item, "name"),
        host=_text(item, "host").lower(),
        prefix=_text(item, "prefix"),
        kind=KINDS_BY_NAME[item["kind"]],
        targets=_targets(item),
        timeout=timeout,
        latency_objective=float(item.get("target_latency_ms") or 0) / 1000.0 or timeout,
        priority=int(item.get("priority") or 0),
        max_attempts=int(item.get("max_attempts") or 1),
        is_public=bool(item.get("public")),
        # Despite its name, this key marks routes whose requests carry their model,
        # token counts and prompt parts in headers.
        is_generation=bool(item.get("sticky_sessions")),
        is_resumable=bool(item.get("stream_resume")),
        max_pause=float(item.get("gap_aim_ms") or 1000.0) / 1000.0,
    )


def _targets(item: dict[str, Any]) -> tuple[Target, ...]:
    split = item.get("traffic_split")
    if not split:
        return (Target(_text(item, "service"), 1.0),)
    return tuple(
        Target(_text(part, "service"), float(part["weight"])) for part in split
    )


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=_text(item, "name"),
        health_path=_checked_text(item.get("health_path") or "/health"),
        max_connections=int(item.get("max_connections") or 100),
        engine=_engine(engine) if engine else None,
        cold_seconds=float(item.get("cold_start_s") or 0),
        cold_per_second=float(item.get("cold_per_s") or 0),
    )


def _engine(item: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        slots=int(item["slots"]),
        # Capacity of the engine's KV cache in tokens, for running and cached requests.
        cache_tokens=int(item["kv_tokens"]),
        # Output tokens per event of a stream.
        tokens_per_event=max(int(item.get("stride") or 1), 1),
        # Long polls for cache events that an engine holds open at once.
        max_pending_polls=int(item.get("most") or 0),
        cache_bytes_per_token=float(item.get("kv_bytes") or 0),
        # 1 Mbit/s is 125 bytes per millisecond.
        link_bytes_per_ms=float(item.get("link_mbps") or 0) * 125.0,
    )


def _account(item: dict[str, Any]) -> ClientAccount:
    priority = item.get("priority")
    prepaid = item.get("prepaid")
    return ClientAccount(
        name=_text(item, "name"),
        priority=None if priority is None else int(priority),
        prepaid=None if prepaid is None else int(prepaid),
    )


def _limits(item: dict[str, Any]) -> Limits:
    defaults = Limits()
    return Limits(
        max_header_bytes=int(item.get("max_header_bytes") or defaults.max_header_bytes),
        max_body_bytes=int(item.get("max_body_bytes") or defaults.max_body_bytes),
        header_timeout=_seconds(item.get("header_timeout_ms"), defaults.header_timeout),
        idle_timeout=_seconds(item.get("idle_timeout_ms"), defaults.idle_timeout),
    )


def _seconds(milliseconds: Any, default: float) -> float:
    return float(milliseconds) / 1000.0 if milliseconds else default
