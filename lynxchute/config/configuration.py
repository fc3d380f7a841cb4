"""Types of a configuration: routes, services, client accounts and limits."""

from __future__ import annotations

import enum
from functools import cached_property

import attrs

from lynxchute.config.role import Role
from lynxchute.upstreams.upstream import Upstream


class RequestKind(enum.Enum):
    """How a request may be run: repeatedly, at most once, or as a stream."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"
    STREAM = "stream"


@attrs.frozen
class Target:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rules for the requests to a host and path prefix.

    Attributes
    ----------
    timeout
        Seconds within which a request must be answered in full.
    latency_objective
        Target in seconds for an answer, or for the first event of a stream.
    priority
        Priority of its requests; 0 is the highest.
    max_attempts
        Maximum number of upstreams to which one request is sent.
    is_public
        Whether requests are accepted without an API key.
    is_generation
        Whether its requests state their model, token counts and prompt parts.
    is_resumable
        Whether a broken stream may be resumed at another upstream.
    max_pause
        Target in seconds for the time between two events of a stream.
    cost
        Tokens charged for a request to a plain service, without a model engine.
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
        """Return whether a request may be retried after it may have been run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@attrs.frozen
class EngineTraits:
    """Capacity of the model engines of a service.

    Attributes
    ----------
    slots
        Requests that an engine runs concurrently.
    cache_tokens
        Capacity of an engine's KV cache, in tokens.
    tokens_per_event
        Output tokens per event of a stream.
    max_pending_polls
        Long polls for cache events that an engine holds open at once.
    cache_bytes_per_token
        Size in bytes of a cached token when it is copied to another engine.
    link_bytes_per_ms
        Bytes of cache that an engine sends or receives per millisecond; 0 if cache is
        not copied between engines.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int
    max_pending_polls: int = 0
    cache_bytes_per_token: float = 0.0
    link_bytes_per_ms: float = 0.0

    @property
    def fetch_tokens_per_ms(self) -> float:
        """Return the cached tokens copied per millisecond, or 0 if none are."""
        if not self.cache_bytes_per_token:
            return 0.0
        return self.link_bytes_per_ms / self.cache_bytes_per_token


@attrs.frozen
class Service:
    """A group of interchangeable upstreams.

    Attributes
    ----------
    cold_seconds
        Warm-up time of an upstream after its start, in seconds.
    cold_per_second
        Requests per second that an upstream can handle during warm-up; 0 means no
        limit.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


@attrs.frozen
class ClientAccount:
    """A client account, to which requests are billed.

    Attributes
    ----------
    priority
        Priority of its requests, in place of the route's; None uses the route's.
    prepaid
        Total of tokens paid for so far; None means unlimited use.
    weight
        Share of scarce capacity, relative to other accounts; 1.0 is the default.
    """

    name: str
    priority: int | None = None
    prepaid: int | None = None
    weight: float = 1.0


@attrs.frozen
class Operator:
    """An operator and the role that its key grants."""

    name: str
    role: Role


@attrs.frozen
class Limits:
    """Limits on callers' requests and connections; times are in seconds.

    Attributes
    ----------
    max_open_per_account
        Concurrent requests per client account at one router; 0 means no limit.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0
    max_open_per_account: int = 0


@attrs.frozen
class Configuration:
    """One version of the configuration, as read from the store.

    Attributes
    ----------
    upstreams
        Upstreams listed by operators; empty if upstreams register themselves.
    draining_vms
        VMs whose routers accept no new requests.
    operators_by_key
        Operators by the hash of their key.
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
        """Return the routes of each host, sorted from the longest prefix."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches a path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    @cached_property
    def longest_stream(self) -> float:
        """Return the longest timeout of a streaming route in seconds; 0 for none."""
        streaming = [r for r in self.routes if r.kind is RequestKind.STREAM]
        return max((route.timeout for route in streaming), default=0.0)

    @property
    def is_key_required(self) -> bool:
        """Return whether requests need an API key, except on public routes."""
        return bool(self.accounts_by_name)
