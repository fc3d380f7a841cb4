"""One version of the configuration: routes, services, client accounts, limits."""

from __future__ import annotations

import enum
from functools import cached_property

import attrs

from lynxchute.config.role import Role
from lynxchute.upstreams.upstream import Upstream


class RequestKind(enum.Enum):
    """How often a request may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"
    STREAM = "stream"


@attrs.frozen
class Target:
    """A service that a route sends a share of its requests to."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests under a host and path prefix go, and what they may do.

    Attributes
    ----------
    timeout
        Seconds after which a request gets its final answer.
    latency_objective
        Seconds within which an answer, or a stream's first event, is on time.
    priority
        Rank of its requests; 0 comes first.
    max_attempts
        Upstreams that one request may be sent to.
    is_public
        Whether it takes requests without a key.
    is_generation
        Whether its requests say what they ask of a model engine.
    is_resumable
        Whether a broken stream may go on at another upstream.
    max_pause
        Seconds between two events of a stream that is on time.
    cost
        Tokens that a request costs which asks nothing of a model engine.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout: float
    latency_objective: float
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_generation: bool = False
    is_resumable: bool = False
    max_pause: float = 1.0
    cost: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be run again after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@attrs.frozen
class EngineTraits:
    """What the model engines of a service can do.

    Attributes
    ----------
    slots
        Requests that run at once.
    cache_tokens
        Tokens that fit into an engine's memory.
    tokens_per_event
        Output tokens that one event of a stream holds.
    max_waiting_questions
        Questions about cache events that an engine keeps waiting.
    cache_bytes_per_token
        Bytes that a token of the cache takes where it is moved.
    link_bytes_per_ms
        Bytes of cache that an engine sends or takes in a millisecond; 0 where
        cache is not moved.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int
    max_waiting_questions: int = 0
    cache_bytes_per_token: float = 0.0
    link_bytes_per_ms: float = 0.0

    @property
    def fetch_tokens_per_ms(self) -> float:
        """Return how many tokens of cache are moved in a millisecond, or 0."""
        if not self.cache_bytes_per_token:
            return 0.0
        return self.link_bytes_per_ms / self.cache_bytes_per_token


@attrs.frozen
class Service:
    """A group of upstreams that do the same.

    Attributes
    ----------
    cold_seconds
        How long one is cold after a start, in seconds.
    cold_per_second
        Requests that one bears in a second meanwhile; 0 for any number.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


@attrs.frozen
class ClientAccount:
    """Who pays.

    Attributes
    ----------
    priority
        Rank of its requests where it differs from the route's.
    prepaid
        Tokens paid for so far; None where use is not limited.
    weight
        Its share where callers compete, as a multiple of that of the others.
    """

    name: str
    priority: int | None = None
    prepaid: int | None = None
    weight: float = 1.0


@attrs.frozen
class Operator:
    """Who may ask for what."""

    name: str
    role: Role


@attrs.frozen
class Limits:
    """What a caller may send, and how long it may take; times in seconds.

    Attributes
    ----------
    max_open_per_account
        Requests that a router serves at once for one client account; 0 for any
        number.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0
    max_open_per_account: int = 0


@attrs.frozen
class Configuration:
    """One version, as accepted by the store.

    Attributes
    ----------
    upstreams
        Those that operators list; empty where upstreams tell of themselves.
    draining_vms
        VMs whose routers take no new work.
    operators_by_key
        Who may give orders through a router, by the hash of the key.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    accounts_by_name: dict[str, ClientAccount]
    accounts_by_key: dict[str, ClientAccount]
    limits: Limits = Limits()
    upstreams: tuple[Upstream, ...] = ()
    draining_vms: frozenset[str] = frozenset()
    operators_by_key: dict[str, Operator] = attrs.Factory(dict)

    @cached_property
    def routes_by_host(self) -> dict[str, list[Route]]:
        """Return the routes of each host, the longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix begins a path and is longest."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def checks_keys(self) -> bool:
        """Return whether requests need a key."""
        return bool(self.accounts_by_name)
