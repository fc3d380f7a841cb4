"""How many requests a router may have sent to an upstream that is cold.

A cold upstream bears a few requests a second and ends above that. The bound holds for
all routers together, also for those that cannot reach one another, so that whoever
counts must be sure that the others do not count as well.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Container, Iterable
from typing import ClassVar

import attrs

# Seconds from the question for a place to its last use: the answer of another router
# comes within 0.1 s, and what waits longer for a connection is placed anew.
PERMIT_SECONDS = 0.25
# Seconds over which the bound is stated.
BOUND_SECONDS = 1.0
# Permits of so many seconds may be used within one second of the bound.
WINDOW_SECONDS = BOUND_SECONDS + PERMIT_SECONDS
# Seconds for which a router must have been the first of all registered ones before it
# counts: whoever was first until then has heard of its successor (news of routers come
# within 1.7 s from a store that answers, and 2.7 s over a connection that went silent),
# and the permits that its death left behind are used up.
TAKE_OVER_SECONDS = 3.0
# Two routers may take themselves for the first one for longer, where one of them has
# not heard of the other; so each counts to half of the bound.
MOST_AT_ONCE = 2


@attrs.frozen
class ColdLimits:
    """What the upstreams of a service bear while they are cold.

    Attributes
    ----------
    start_seconds
        How long they are cold after a start.
    per_second
        Requests that one bears in a second; 0 where any number is borne.
    factor, extra
        The fleet keeps to so many times that, and this number on top.
    """

    start_seconds: float = 0.0
    per_second: float = 0.0
    factor: float = 1.5
    extra: float = 5.0

    @property
    def has_limit(self) -> bool:
        """Return whether there is a bound at all."""
        return self.per_second > 0

    def is_active(self, cold_until: float, now: float) -> bool:
        """Return whether an upstream that is cold until then bears a few only."""
        return self.has_limit and now < cold_until

    @property
    def max_per_second(self) -> int:
        """Return the requests that may reach one in any second."""
        return int(self.per_second * self.factor + self.extra)


@attrs.frozen
class HeldRank:
    """Where a router stands among all that are registered for a service.

    Attributes
    ----------
    rank
        Its place in their order, from 0; routers that cannot be reached count.
    seconds
        For how long that has been so.
    """

    rank: int
    seconds: float


class ColdAdmission(ABC):
    """Say how many requests a router may have sent to one cold upstream.

    Attributes
    ----------
    NAME
        What settings call it.
    """

    NAME: ClassVar[str]

    @abstractmethod
    def share(self, limits: ColdLimits, held_rank: HeldRank) -> int:
        """Return how many of the requests that reach it in a second are its own."""


class FirstRegistered(ColdAdmission):
    """Let the first of all registered routers place what cold upstreams get.

    It answers a data centre or a release of half of the upstreams that comes back cold:
    nearly all requests are placed by that router anyway, so that cold upstreams take
    their part of the load at once, as far as they bear it. Nobody stands in for it
    while it cannot be reached; the upstreams are warm by themselves soon.
    """

    NAME = "first"

    def share(self, limits: ColdLimits, held_rank: HeldRank) -> int:
        """Return half of the bound for the first router, nothing for others."""
        if held_rank.rank or held_rank.seconds < TAKE_OVER_SECONDS:
            return 0
        return limits.max_per_second // MOST_AT_ONCE


class SharesByRank(ColdAdmission):
    """Let each of the first registered routers send one request in a second.

    It needs nobody's answer. But the requests are at other routers mostly.
    """

    NAME = "shares"

    def share(self, limits: ColdLimits, held_rank: HeldRank) -> int:
        """Return 1 for as many routers as half of the bound has requests."""
        if held_rank.seconds < TAKE_OVER_SECONDS:
            return 0
        return int(held_rank.rank < limits.max_per_second // MOST_AT_ONCE)


class WarmOnly(ColdAdmission):
    """Send nothing to cold upstreams."""

    NAME = "none"

    def share(self, limits: ColdLimits, held_rank: HeldRank) -> int:
        """Return 0."""
        return 0


ADMISSIONS_BY_NAME: dict[str, type[ColdAdmission]] = {
    cls.NAME: cls for cls in (FirstRegistered, SharesByRank, WarmOnly)
}


class RankWatch:
    """Tell for how long a router has had its rank.

    It must be told of each change among the registered routers: between two of them
    the rank stays as it is.

    Parameters
    ----------
    rank_of
        Returns the present rank for a service; None before the others are known, and
        once this router takes nothing new.
    """

    def __init__(self, rank_of: Callable[[str], int | None]) -> None:
        self._rank_of = rank_of
        self._held_by_service: dict[str, tuple[int, float]] = {}

    def refresh(self, services: Iterable[str], now: float) -> None:
        """Take the present ranks."""
        held_by_service = {}
        for service in services:
            rank = self._rank_of(service)
            if rank is None:
                continue
            held = self._held_by_service.get(service)
            if held is None or held[0] != rank:
                held = (rank, now)
            held_by_service[service] = held
        self._held_by_service = held_by_service

    def held_rank(self, service: str, now: float) -> HeldRank | None:
        """Return the standing for a service; None where it has none."""
        held = self._held_by_service.get(service)
        return None if held is None else HeldRank(held[0], now - held[1])


class RecentPlacements:
    """Count what a router had sent to each upstream of late."""

    def __init__(self) -> None:
        self._times_by_id: dict[str, deque[float]] = {}

    def record(self, upstream_id: str, now: float) -> None:
        """Note a request that may be sent from now on."""
        self._times_by_id.setdefault(upstream_id, deque()).append(now)

    def count(self, upstream_id: str, now: float) -> int:
        """Return the requests that may arrive within one second from now."""
        times = self._times_by_id.get(upstream_id)
        if times is None:
            return 0
        while times and now - times[0] >= WINDOW_SECONDS:
            times.popleft()
        if not times:
            del self._times_by_id[upstream_id]
        return len(times)

    def keep_only(self, upstream_ids: Container[str]) -> None:
        """Forget upstreams that are gone."""
        for upstream_id in list(self._times_by_id):
            if upstream_id not in upstream_ids:
                del self._times_by_id[upstream_id]
