"""Decide what a router can still serve in time, and what to shed to other VMs."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

import attrs

from lynxchute.overload.load import IDLE_LOAD, Load, LoadSource
from lynxchute.overload.shares import AccountShares

# Minimum seconds for which the VM reports not ready: the load balancer notices after
# two, and connections that are ended after that reach another VM.
MIN_NOT_READY_SECONDS = 3.0
# After MAX_NOT_READY_SECONDS the VM reports ready again, whatever its load, and stays
# ready for at least MIN_READY_SECONDS: the VMs that took its work may be just as full.
MAX_NOT_READY_SECONDS = 8.0
MIN_READY_SECONDS = 4.0
# Seconds for which a request counts as recent. Work without recent requests, such as at
# startup, is no reason to shed load.
RECENT_REQUEST_SECONDS = 1.0
# Factor on the maximum wait for requests of accounts within their share: requests of
# accounts beyond their share are already shed at the unchanged maximum, which makes
# room for the others.
WITHIN_SHARE_FACTOR = 1.5


@attrs.frozen
class ResourceLimits:
    """Thresholds on the load of a resource, beyond which work is shed to other VMs.

    Attributes
    ----------
    waits_per_request, waits_per_plain_call
        How often a request waits for the resource before its response begins. Plain
        calls need no engine, hence no placement.
    max_wait_share
        Longest total wait for the resource, as a multiple of the request's latency
        objective. It is above 1 for the processor (``PROCESSOR_LIMITS``): refusing
        costs a third of the work of serving, and a late response is worth more to a
        caller than two refusals.
    min_use
        Use below which no threshold applies, whatever the delay: a single long event is
        not overload.
    shed_use, shed_delay
        Use, and seconds of waiting, from which on the VM reports not ready. The load
        balancer takes two seconds to notice, and a burst must not make callers late in
        that time.
    target_use
        The use that open connections may cause. Connections in excess of it are ended,
        so that their callers reach another VM with the next request.
    full_use, full_delay
        Thresholds of use and delay around which new connections are closed, because
        they would delay the open ones: none are closed at half the threshold, all at
        one and a half times it, with rising probability in between.
    """

    waits_per_request: float
    waits_per_plain_call: float
    max_wait_share: float
    min_use: float
    shed_use: float
    shed_delay: float
    target_use: float
    full_use: float
    full_delay: float


LINK_LIMITS = ResourceLimits(
    waits_per_request=1.0,
    waits_per_plain_call=1.0,
    max_wait_share=0.3,
    min_use=0.0,
    shed_use=0.7,
    shed_delay=0.2,
    target_use=0.55,
    full_use=math.inf,
    full_delay=0.15,
)
PROCESSOR_LIMITS = ResourceLimits(
    waits_per_request=6.0,
    waits_per_plain_call=2.0,
    max_wait_share=3.0,
    min_use=0.6,
    shed_use=0.75,
    shed_delay=0.02,
    target_use=0.8,
    full_use=math.inf,
    full_delay=0.02,
)
MEMORY_LIMITS = ResourceLimits(
    waits_per_request=1.0,
    waits_per_plain_call=1.0,
    max_wait_share=0.3,
    min_use=0.0,
    shed_use=0.7,
    shed_delay=math.inf,
    target_use=0.55,
    full_use=0.85,
    full_delay=math.inf,
)


@attrs.frozen
class Resource:
    """A resource of the VM, such as the processor or the link, and its limits."""

    source: LoadSource
    limits: ResourceLimits

    @property
    def name(self) -> str:
        """Return the name of the resource, for logs and metrics."""
        return self.source.name

    def load(self) -> Load:
        """Return the current load; invalid measurements count as 0."""
        load = self.source.load()
        return Load(_sanitized(load.use), _sanitized(load.delay))

    def is_above(self, use: float, delay: float) -> bool:
        """Return whether the use or the delay reaches a threshold."""
        load = self.load()
        if load.use < self.limits.min_use:
            return False
        return load.use >= use or load.delay >= delay

    def misses_objective(self, objective: float, *, is_plain_call: bool) -> bool:
        """Return whether waiting for the resource uses too much of the objective."""
        limits = self.limits
        waits_per_request = (
            limits.waits_per_plain_call if is_plain_call else limits.waits_per_request
        )
        return waits_per_request * self.load().delay > limits.max_wait_share * objective


class OverloadGuard:
    """Decide which requests and connections a VM serves, by the load of its resources.

    Handles one VM that receives more work than it can carry while others are idle. A
    caller whose response would miss its latency objective here should be refused at
    once, while there is still time for another VM to serve it.

    Parameters
    ----------
    resources
        The monitored resources of the VM.
    clock
        Seconds on the steady clock.
    rng
        Chooses the requests and connections to shed.
    shares
        Tells which accounts exceed their fair share; None to treat all alike.
    """

    def __init__(
        self,
        resources: Sequence[Resource],
        clock: Callable[[], float],
        rng: random.Random,
        shares: AccountShares | None = None,
    ) -> None:
        self._shares = shares
        self._resources = resources
        self._clock = clock
        self._random = rng
        self._not_ready_since: float | None = None
        self._ready_until = -math.inf
        self._full_resource = ""
        self._last_request_at = -math.inf

    @property
    def full_resource(self) -> str:
        """Return the resource that was full at the last poll, or an empty string."""
        return self._full_resource

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections to this VM."""
        return self._not_ready_since is None

    def record_request(self, account: str) -> None:
        """Record a request that is served."""
        self._last_request_at = self._clock()
        if self._shares is not None:
            self._shares.record_use(account, 1.0, self._last_request_at)

    def poll(self) -> str:
        """Update readiness from the load of all resources.

        Returns
        -------
        str
            The resource by which the VM becomes not ready in this poll, or an empty
            string.
        """
        self._full_resource = self._find_full_resource()
        now = self._clock()
        if self._not_ready_since is not None:
            elapsed = now - self._not_ready_since
            if elapsed < MIN_NOT_READY_SECONDS or self.sustainable_share() < 1.0:
                if elapsed < MAX_NOT_READY_SECONDS:
                    return ""
                self._ready_until = now + MIN_READY_SECONDS
            self._not_ready_since = None
            return ""
        if (
            now < self._ready_until
            or now - self._last_request_at > RECENT_REQUEST_SECONDS
        ):
            return ""
        for resource in self._resources:
            limits = resource.limits
            if resource.is_above(limits.shed_use, limits.shed_delay):
                self._not_ready_since = now
                return resource.name
        return ""

    def _find_full_resource(self) -> str:
        for resource in self._resources:
            limits = resource.limits
            if resource.is_above(limits.full_use, limits.full_delay):
                return resource.name
        return ""

    def closes_new_connection(self) -> bool:
        """Return whether to close a connection that was just accepted.

        The probability grows with the use and the delay. Closing all connections until
        the delay is gone would admit all that come next at once.
        """
        share = 0.0
        for resource in self._resources:
            load, limits = resource.load(), resource.limits
            if load.use < limits.min_use:
                continue
            share = max(share, _close_probability(load.use, limits.full_use))
            share = max(share, _close_probability(load.delay, limits.full_delay))
        return self._random.random() < share

    def sustainable_share(self) -> float:
        """Return the share of the current work that the VM can sustain."""
        remaining = 1.0
        for resource in self._resources:
            use = resource.load().use
            if use > resource.limits.target_use:
                remaining = min(remaining, resource.limits.target_use / use)
        return remaining

    def closes_after_response(self, account: str = "") -> bool:
        """Return whether to end a connection together with the current response.

        Connections are ended only while the VM refuses new ones; otherwise the caller
        would reconnect to the same VM.
        """
        if self.is_ready and not self._full_resource:
            return False
        return self._is_shed(account)

    def shed_reason(
        self, objective: float, account: str = "", *, is_plain_call: bool = False
    ) -> str:
        """Return the resource that causes a request to be refused, or an empty string.

        Parameters
        ----------
        objective
            Latency objective of the request in seconds.
        is_plain_call
            Whether the request needs no engine.
        """
        for_all = self.shed_reason_for_all(objective, is_plain_call=is_plain_call)
        if for_all:
            return for_all
        for resource in self._resources:
            if not resource.misses_objective(
                _effective_objective(objective), is_plain_call=is_plain_call
            ):
                continue
            if self._is_shed(account):
                return resource.name
        return ""

    def shed_reason_for_all(
        self, objective: float, *, is_plain_call: bool = False
    ) -> str:
        """Return the resource that causes requests of all accounts to be refused.

        The result does not depend on the account, so it can be checked before the body
        is read.
        """
        relaxed_objective = _effective_objective(objective) * WITHIN_SHARE_FACTOR
        for resource in self._resources:
            if resource.misses_objective(
                relaxed_objective, is_plain_call=is_plain_call
            ):
                return resource.name
        return ""

    def loads(self) -> dict[str, Load]:
        """Return the load of each resource by its name."""
        return {resource.name: resource.load() for resource in self._resources}

    def load_of(self, name: str) -> Load:
        """Return the load of a resource; idle if there is none of that name."""
        return self.loads().get(name, IDLE_LOAD)

    def _is_shed(self, account: str) -> bool:
        """Return whether to shed a request or connection of an account, at random."""
        remaining = self.sustainable_share()
        if remaining >= 1.0:
            return False
        if self._shares is not None and account:
            use_ratio = self._shares.use_ratio(account, self._clock())
            remaining = 1.0 / use_ratio if use_ratio > 1.0 else 1.0
        return self._random.random() >= remaining


def _close_probability(value: float, limit: float) -> float:
    """Return 0 up to half of a limit, rising linearly to 1 at one and a half of it."""
    if math.isinf(limit):
        return 0.0
    return min(max(value / limit - 0.5, 0.0), 1.0)


def _effective_objective(seconds: float) -> float:
    """Return a latency objective; infinity if it is not positive."""
    return seconds if seconds > 0.0 else math.inf


def _sanitized(value: float) -> float:
    """Return a measurement clamped to at least 0; 0 for NaN."""
    return max(value, 0.0) if value == value else 0.0
