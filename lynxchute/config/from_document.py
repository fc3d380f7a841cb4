"""Convert the operators' document into the configuration that routers use."""

from __future__ import annotations

from lynxchute.config.configuration import (
    ClientAccount,
    Configuration,
    EngineTraits,
    Limits,
    Operator,
    RequestKind,
    Route,
    Service,
    Target,
)
from lynxchute.config.document import (
    FleetDocument,
    LimitDocument,
    RouteDocument,
    ServiceDocument,
    ServiceKind,
    UpstreamDocument,
    UpstreamState,
    Version,
)
from lynxchute.upstreams.upstream import Upstream

# Path of all chat completion requests.
CHAT_PATH = "/v1/chat/completions"
# Connections allowed to an upstream per request that it runs concurrently.
CONNECTIONS_PER_SLOT = 4


def build_configuration(version: Version) -> Configuration:
    """Return the configuration of a stored version."""
    document = version.document
    services_by_name = {item.name: _service(item) for item in document.services}
    accounts_by_name: dict[str, ClientAccount] = {}
    accounts_by_key: dict[str, ClientAccount] = {}
    for item in document.accounts:
        account = ClientAccount(item.name, prepaid=item.paid, weight=item.weight)
        accounts_by_name[account.name] = account
        for key_hash in item.key_hashes:
            accounts_by_key[key_hash] = account
    return Configuration(
        version=version.number,
        routes=tuple(_route(item) for item in document.routes),
        services_by_name=services_by_name,
        accounts_by_name=accounts_by_name,
        accounts_by_key=accounts_by_key,
        limits=_limits(document.limits),
        upstreams=tuple(_upstream(item, document) for item in document.upstreams),
        draining_vms=frozenset(document.draining_vms),
        operators_by_key=_operators_by_key(document),
    )


def _operators_by_key(document: FleetDocument) -> dict[str, Operator]:
    operators_by_key = {}
    for item in document.operators:
        for key_hash in item.key_hashes:
            operators_by_key[key_hash] = Operator(item.name, item.role)
    return operators_by_key


def _service(item: ServiceDocument) -> Service:
    engine = None
    if item.kind is ServiceKind.ENGINE:
        engine = EngineTraits(item.slots, item.cache_tokens, tokens_per_event=1)
    return Service(
        name=item.name,
        health_path="/health",
        max_connections=item.slots * CONNECTIONS_PER_SLOT,
        engine=engine,
        cold_seconds=item.cold_seconds,
        cold_per_second=item.cold_per_second,
    )


def _upstream(item: UpstreamDocument, document: FleetDocument) -> Upstream:
    service = document.services_by_name[item.service]
    return Upstream(
        keeps_id=True,
        id=item.name,
        service=item.service,
        address=item.address,
        data_centre=item.data_centre,
        is_leaving=item.state is UpstreamState.DRAINING,
        slots=service.slots,
        software_version=None,
        states_version=True,
    )


def _route(item: RouteDocument) -> Route:
    if item.model is not None:
        kind = RequestKind.STREAM
    else:
        kind = RequestKind.IDEMPOTENT if item.repeatable else RequestKind.AT_MOST_ONCE
    return Route(
        name=item.name,
        # All chat completions share one path, so the model name is used as the host.
        host=(item.model or "").lower(),
        prefix=CHAT_PATH if item.model is not None else item.prefix or "/",
        kind=kind,
        targets=(Target(item.service, 1.0),),
        timeout=item.timeout,
        latency_objective=item.latency_objective,
        priority=item.priority,
        max_attempts=item.max_attempts,
        is_generation=item.model is not None,
        is_resumable=item.model is not None,
        cost=item.cost if item.model is None else 0,
    )


def _limits(item: LimitDocument) -> Limits:
    return Limits(
        max_header_bytes=item.max_header_bytes,
        max_body_bytes=item.max_body_bytes,
        header_timeout=item.header_timeout,
        idle_timeout=item.idle_timeout,
        max_open_per_account=item.max_open_per_account,
    )
