"""The configuration as operators write it, and its validation."""

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

ReportFinding = Callable[[str, str, str], None]


class ServiceKind(enum.Enum):
    """Whether upstreams are model engines or instances of a plain service."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamState(enum.Enum):
    """Whether an upstream may receive new requests."""

    ACTIVE = "active"
    DRAINING = "draining"


@attrs.frozen
class AccountDocument:
    """A client account with its API keys and paid tokens."""

    name: str = option(doc="Name of the client account.")
    key_hashes: tuple[str, ...] = option(
        doc="SHA-256 of each API key, in hexadecimal; several during a rotation."
    )
    paid: int = option(default=0, low=0, doc="Tokens paid for so far.")
    weight: float = option(
        default=DEFAULT_WEIGHT,
        low=MIN_WEIGHT,
        high=MAX_WEIGHT,
        doc="Share of scarce capacity, relative to the other client accounts.",
    )


@attrs.frozen
class OperatorDocument:
    """An operator with a role and keys."""

    name: str = option(doc="Name of the operator.")
    role: Role = option(doc="read, operate or configure.")
    key_hashes: tuple[str, ...] = option(
        doc="SHA-256 of each operator key, in hexadecimal."
    )


@attrs.frozen
class ServiceDocument:
    """A group of interchangeable upstreams."""

    name: str = option(doc="Name of the service.")
    kind: ServiceKind = option(doc="engine or plain.")
    slots: int = option(
        default=16, low=1, doc="Requests that each upstream runs concurrently."
    )
    cache_tokens: int = option(
        default=400_000, low=1, doc="Capacity of an engine's KV cache, in tokens."
    )
    cold_seconds: float = option(
        default=0.0, low=0.0, doc="Warm-up time of an upstream in seconds."
    )
    cold_per_second: float = option(
        default=0.0,
        low=0.0,
        doc="Requests per second that a cold upstream can handle; 0 for no limit.",
    )


@attrs.frozen
class UpstreamDocument:
    """A model engine or an instance of a plain service."""

    name: str = option(doc="Name of the upstream.")
    service: str = option(doc="The service that it belongs to.")
    data_centre: str = option(doc="Its data centre.")
    address: str = option(doc="Its address, as 'IP:port'.")
    state: UpstreamState = option(
        default=UpstreamState.ACTIVE, doc="active or draining."
    )


@attrs.frozen
class RouteDocument:
    """A route from a model or a path prefix to a service."""

    name: str = option(doc="Name of the route.")
    service: str = option(doc="The service that handles its requests.")
    model: str | None = option(default=None, doc="The model, for a model route.")
    prefix: str | None = option(
        default=None, doc="The path prefix, for a route to a plain service."
    )
    repeatable: bool = option(
        default=False,
        doc="Whether a call of a plain service is idempotent and may be retried.",
    )
    cost: int = option(
        default=1, low=0, doc="Tokens that one call of a plain service costs."
    )
    timeout: float = option(
        default=60.0, low=0.05, doc="Seconds within which a request must be answered."
    )
    latency_objective: float = option(
        default=1.0, low=0.01, doc="Target in seconds until an answer begins."
    )
    priority: int = option(default=1, low=0, doc="Priority; 0 is the highest.")
    max_attempts: int = option(
        default=2, low=1, doc="Maximum number of upstreams tried per request."
    )


@attrs.frozen
class LimitDocument:
    """Limits on callers' requests and connections."""

    max_header_bytes: int = option(
        default=16_384, low=1024, doc="Maximum bytes of a request's head."
    )
    max_body_bytes: int = option(
        default=1_048_576, low=1024, doc="Maximum bytes of a request's body."
    )
    header_timeout: float = option(
        default=3.0, low=0.05, doc="Seconds within which the head must arrive."
    )
    idle_timeout: float = option(
        default=15.0, low=0.1, doc="Seconds after which an idle connection is closed."
    )
    max_open_per_account: int = option(
        default=500,
        low=0,
        doc="Concurrent requests per client account at one router; 0 for no limit.",
    )


@attrs.frozen
class FleetDocument:
    """The whole configuration document that operators edit."""

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
        factory=tuple, doc="VMs whose routers accept no new requests."
    )
    limits: LimitDocument = option(factory=LimitDocument, doc="Limits on callers.")

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
    """Return a client account; an invalid weight is replaced by the default.

    One invalid entry must not prevent the whole version, and with it all other
    accounts, from being loaded.
    """
    if "weight" in value:
        value = {**value, "weight": usable_weight(value["weight"])}
    return _ACCOUNT_CONVERTER.structure(value, cls)


_ACCOUNT_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(AccountDocument, _structure_account)


@attrs.frozen
class Version:
    """A version of the configuration as it is stored.

    Attributes
    ----------
    number
        Version number; each change adds one.
    operation, operator
        The operation that created the version and its operator; empty for the initial
        version of a fleet.
    """

    number: int
    document: FleetDocument
    operation: str = ""
    operator: str = ""

    def encode(self) -> bytes:
        """Return the version as JSON for its row in the store."""
        value = _CONVERTER.unstructure(self)
        return json.dumps(value, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result[Version, str]:
        """Return the version in a row, or an error that says why it is invalid."""
        try:
            return Ok(_CONVERTER.structure(json.loads(value), cls))
        except Exception as error:
            # The converter raises different exception types for different defects.
            return Error(f"the configuration cannot be read: {error!r}")


def to_json(document: FleetDocument) -> dict[str, Any]:
    """Return a document as JSON-compatible values."""
    values: dict[str, Any] = _CONVERTER.unstructure(document)
    return values


def hash_key(key: str) -> str:
    """Return the SHA-256 hash under which a key is stored.

    Keys are random and long, so an unsalted hash cannot be reversed by guessing keys.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def check_document(
    document: FleetDocument, report: ReportFinding, path: str = ""
) -> None:
    """Report errors that depend on several entries of the document."""
    path_prefix = f"{path}." if path else ""
    for collection in ("accounts", "operators", "services", "upstreams", "routes"):
        _check_unique(getattr(document, collection), report, path_prefix + collection)
    for index, upstream in enumerate(document.upstreams):
        _check_upstream(upstream, document, report, f"{path_prefix}upstreams[{index}]")
    for index, route in enumerate(document.routes):
        _check_route(route, document, report, f"{path_prefix}routes[{index}]")


def _check_unique(items: tuple[Any, ...], report: ReportFinding, path: str) -> None:
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
    upstream: UpstreamDocument,
    document: FleetDocument,
    report: ReportFinding,
    path: str,
) -> None:
    try:
        Address.parse(upstream.address)
    except ValueError as error:
        report(f"{path}.address", f"{error}.", Address.ADVICE)
    _check_service(upstream.service, document, report, path)


def _check_route(
    route: RouteDocument, document: FleetDocument, report: ReportFinding, path: str
) -> None:
    if (route.model is None) == (route.prefix is None):
        report(path, "A route has a model or a prefix.", "Give exactly one of them.")
    if route.prefix is not None and not _is_directory(route.prefix):
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


def _is_directory(prefix: str) -> bool:
    return prefix.startswith("/") and prefix.endswith("/")


def _check_service(
    name: str, document: FleetDocument, report: ReportFinding, path: str
) -> None:
    if name in document.services_by_name:
        return
    known = ", ".join(sorted(document.services_by_name)) or "none"
    report(f"{path}.service", f"No service is called {name!r}.", f"Known: {known}.")
