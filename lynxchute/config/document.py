"""The configuration as operators write it, and what is wrong with one."""

from __future__ import annotations

import enum
import hashlib
import json
from collections.abc import Callable
from functools import cached_property
from typing import Any

import attrs
import cattrs
from expression import Error, Ok, Result

from lynxchute._structure import option
from lynxchute.address import Address
from lynxchute.config.role import Role
from lynxchute.overload.weights import (
    DEFAULT_WEIGHT,
    MAX_WEIGHT,
    MIN_WEIGHT,
    usable_weight,
)

Report = Callable[[str, str, str], None]


class ServiceKind(enum.Enum):
    """What the upstreams of a service are."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamState(enum.Enum):
    """Whether an upstream may get new work."""

    ACTIVE = "active"
    DRAINING = "draining"


@attrs.frozen
class AccountDocument:
    """A client account."""

    name: str = option(doc="Name of the client account.")
    key_hashes: tuple[str, ...] = option(
        doc="SHA-256 of each API key, in hexadecimal; several during a rotation."
    )
    paid: int = option(default=0, low=0, doc="Tokens paid for so far.")
    weight: float = option(
        default=DEFAULT_WEIGHT,
        low=MIN_WEIGHT,
        high=MAX_WEIGHT,
        doc="Its share where callers compete, as a multiple of that of the others.",
    )


@attrs.frozen
class OperatorDocument:
    """An operator."""

    name: str = option(doc="Name of the operator.")
    role: Role = option(doc="read, operate or configure.")
    key_hashes: tuple[str, ...] = option(
        doc="SHA-256 of each operator key, in hexadecimal."
    )


@attrs.frozen
class ServiceDocument:
    """A group of upstreams that do the same."""

    name: str = option(doc="Name of the service.")
    kind: ServiceKind = option(doc="engine or plain.")
    slots: int = option(
        default=16, low=1, doc="Requests that each upstream serves at once."
    )
    cache_tokens: int = option(
        default=400_000, low=1, doc="Tokens that fit into an engine's memory."
    )
    cold_seconds: float = option(
        default=0.0, low=0.0, doc="Seconds for which one is cold after a start."
    )
    cold_per_second: float = option(
        default=0.0,
        low=0.0,
        doc="Requests a second that a cold one bears; 0 for any number.",
    )


@attrs.frozen
class UpstreamDocument:
    """A model engine or a plain service's instance."""

    name: str = option(doc="Name of the upstream.")
    service: str = option(doc="The service that it belongs to.")
    data_centre: str = option(doc="Its data centre.")
    address: str = option(doc="Its address, as 'IP:port'.")
    state: UpstreamState = option(
        default=UpstreamState.ACTIVE, doc="active or draining."
    )


@attrs.frozen
class RouteDocument:
    """Where requests for a model or under a path prefix go."""

    name: str = option(doc="Name of the route.")
    service: str = option(doc="The service that serves it.")
    model: str | None = option(default=None, doc="The model, for a model route.")
    prefix: str | None = option(
        default=None, doc="The path prefix, for a route to a plain service."
    )
    repeatable: bool = option(
        default=False, doc="Whether calls of a plain service may run more than once."
    )
    cost: int = option(
        default=1, low=0, doc="Tokens that one call of a plain service costs."
    )
    timeout: float = option(
        default=60.0, low=0.05, doc="Seconds until a request gets its final answer."
    )
    latency_objective: float = option(
        default=1.0, low=0.01, doc="Seconds within which an answer should begin."
    )
    priority: int = option(default=1, low=0, doc="Rank; 0 comes first.")
    max_attempts: int = option(
        default=2, low=1, doc="Upstreams that one request may be sent to."
    )


@attrs.frozen
class LimitDocument:
    """What a caller may send, and how much at once."""

    max_header_bytes: int = option(
        default=16_384, low=1024, doc="Bytes of a request's head."
    )
    max_body_bytes: int = option(
        default=1_048_576, low=1024, doc="Bytes of a request's body."
    )
    header_timeout: float = option(
        default=3.0, low=0.05, doc="Seconds that a head may take to arrive."
    )
    idle_timeout: float = option(
        default=15.0, low=0.1, doc="Seconds that an idle connection is kept."
    )
    max_open_per_account: int = option(
        default=500,
        low=0,
        doc="Requests that a router serves at once for one client account; 0 for any.",
    )


@attrs.frozen
class FleetDocument:
    """All that the fleet is told about whom to serve, and where."""

    accounts: tuple[AccountDocument, ...] = option(
        factory=tuple, doc="The client accounts."
    )
    operators: tuple[OperatorDocument, ...] = option(
        factory=tuple, doc="The operators."
    )
    services: tuple[ServiceDocument, ...] = option(factory=tuple, doc="The services.")
    upstreams: tuple[UpstreamDocument, ...] = option(
        factory=tuple, doc="The upstreams."
    )
    routes: tuple[RouteDocument, ...] = option(factory=tuple, doc="The routes.")
    draining_vms: tuple[str, ...] = option(
        factory=tuple, doc="VMs whose routers take no new work."
    )
    limits: LimitDocument = option(factory=LimitDocument, doc="Bounds on callers.")

    @cached_property
    def upstreams_by_name(self) -> dict[str, UpstreamDocument]:
        """Return the upstreams by name."""
        return {upstream.name: upstream for upstream in self.upstreams}

    @cached_property
    def services_by_name(self) -> dict[str, ServiceDocument]:
        """Return the services by name."""
        return {service.name: service for service in self.services}


_CONVERTER = cattrs.Converter()


def _structure_account(value: Any, cls: type[AccountDocument]) -> AccountDocument:
    """Return a client account; a weight that is none counts as the usual one.

    So one bad entry keeps no version, and no other account, from being taken.
    """
    if "weight" in value:
        value = {**value, "weight": usable_weight(value["weight"])}
    return _ACCOUNTS.structure(value, cls)


_ACCOUNTS = cattrs.Converter()
_CONVERTER.register_structure_hook(AccountDocument, _structure_account)


@attrs.frozen
class Version:
    """A version of the configuration as the store keeps it.

    Attributes
    ----------
    number
        Grows by one with each change.
    operation, operator
        What made it, and who; empty for the one that a fleet begins with.
    """

    number: int
    document: FleetDocument
    operation: str = ""
    operator: str = ""

    def encode(self) -> bytes:
        """Return the value of its row."""
        value = _CONVERTER.unstructure(self)
        return json.dumps(value, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result[Version, str]:
        """Return the version of a row, or what is wrong with the row."""
        try:
            return Ok(_CONVERTER.structure(json.loads(value), cls))
        except Exception as error:
            # What a converter raises depends on where the value is wrong.
            return Error(f"the configuration cannot be read: {error!r}")


def to_json(document: FleetDocument) -> dict[str, Any]:
    """Return a document as JSON values."""
    found: dict[str, Any] = _CONVERTER.unstructure(document)
    return found


def hash_key(key: str) -> str:
    """Return the form in which a key is stored.

    Keys are random and long, so that a plain hash cannot be searched.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def check_document(document: FleetDocument, report: Report, path: str = "") -> None:
    """Report what only the whole document can show."""
    start = f"{path}." if path else ""
    for collection in ("accounts", "operators", "services", "upstreams", "routes"):
        _check_unique(getattr(document, collection), report, start + collection)
    for index, upstream in enumerate(document.upstreams):
        _check_upstream(upstream, document, report, f"{start}upstreams[{index}]")
    for index, route in enumerate(document.routes):
        _check_route(route, document, report, f"{start}routes[{index}]")


def _check_unique(items: tuple[Any, ...], report: Report, path: str) -> None:
    seen: set[str] = set()
    for index, item in enumerate(items):
        if item.name in seen:
            report(
                f"{path}[{index}].name",
                f"The name {item.name!r} stands twice.",
                "Give each its own name.",
            )
        seen.add(item.name)


def _check_upstream(
    upstream: UpstreamDocument, document: FleetDocument, report: Report, path: str
) -> None:
    try:
        Address.parse(upstream.address)
    except ValueError as error:
        report(f"{path}.address", f"{error}.", Address.ADVICE)
    _check_service(upstream.service, document, report, path)


def _check_route(
    route: RouteDocument, document: FleetDocument, report: Report, path: str
) -> None:
    if (route.model is None) == (route.prefix is None):
        report(path, "A route has a model or a prefix.", "Give exactly one of them.")
    if route.prefix is not None and not _is_folder(route.prefix):
        report(f"{path}.prefix", "A prefix begins and ends with '/'.", "Add the slash.")
    _check_service(route.service, document, report, path)
    service = document.services_by_name.get(route.service)
    if service is None:
        return
    if (service.kind is ServiceKind.ENGINE) != (route.model is not None):
        report(
            f"{path}.service",
            "Models are served by engines, prefixes by plain services.",
            "Name a service of the other kind.",
        )


def _is_folder(prefix: str) -> bool:
    return prefix.startswith("/") and prefix.endswith("/")


def _check_service(
    name: str, document: FleetDocument, report: Report, path: str
) -> None:
    if name in document.services_by_name:
        return
    known = ", ".join(sorted(document.services_by_name)) or "none"
    report(f"{path}.service", f"No service is called {name!r}.", f"Known: {known}.")
