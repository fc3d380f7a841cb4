"""Limits on the requests that a router sends to a cold upstream.

An upstream is cold while it warms up after a start. It can handle a few requests a
second during that time and crashes above that. The limit covers all routers together,
including routers that cannot reach one another, so a router may admit requests only
while it is certain that no other router admits them too.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Container, Iterable
from typing import ClassVar

import attrs

# Lifetime of a permit, in seconds from the placement request: another router answers
# within 0.1 s, and a request that waits longer for a connection is placed again.
PERMIT_SECONDS = 0.25
# Span to which the limit applies, in seconds.
BOUND_SECONDS = 1.0
# Seconds for which a granted permit counts. A permit can be used until PERMIT_SECONDS
# after it was granted, so permits granted within this time can all be used within one
# span of BOUND_SECONDS.
WINDOW_SECONDS = BOUND_SECONDS + PERMIT_SECONDS
# A router admits requests only after it has held rank 0 for this many seconds. By then
# the previous holder knows that it has lost the rank (a membership update takes up to
# 1.7 s from a store that answers, and 2.7 s over a connection that went silent), and
# the permits of a holder that died have expired.
TAKE_OVER_SECONDS = 3.0
# Two routers can both hold rank 0 for longer than TAKE_OVER_SECONDS if one has not
# learned of the other, so each admits half of the limit.
MAX_RANK_ZERO_ROUTERS = 2


@attrs.frozen
class ColdLimits:
    """Limits for the cold upstreams of a service.

    Attributes
    ----------
    start_seconds
        Length of the warm-up after a start.
    per_second
        Requests a second that one cold upstream can handle; 0 for no limit.
    factor, extra
        The fleet sends at most `per_second * factor + extra` requests in any second.
    """

    start_seconds: float = 0.0
    per_second: float = 0.0
    factor: float = 1.5
    extra: float = 5.0

    @property
    def has_limit(self) -> bool:
        """Return whether cold upstreams have a limit at all."""
        return self.per_second > 0

    def is_active(self, cold_until: float, now: float) -> bool:
        """Return whether the limit applies to an upstream that is cold until a time."""
        return self.has_limit and now < cold_until

    @property
    def max_per_second(self) -> int:
        """Return the most requests that may reach one cold upstream in any second."""
        return int(self.per_second * self.factor + self.extra)


@attrs.frozen
class HeldRank:
    """Rank of a router among all routers registered for a service.

    Attributes
    ----------
    rank
        Position in the order of all registered routers, from 0; unreachable routers
        count.
    held_seconds
        How long the router has held this rank.
    """

    rank: int
    held_seconds: float


class ColdAdmission(ABC):
    """Policy for how many requests a router may send to one cold upstream.

    Attributes
    ----------
    NAME
        Name of the policy in the settings.
    """

    NAME: ClassVar[str]

    @abstractmethod
    def share(self, limits: ColdLimits, held_rank: HeldRank) -> int:
        """Return how many requests a second this router may send to the upstream."""


class FirstRegistered(ColdAdmission):
    """Let only the rank-0 router place requests at cold upstreams.

    It suits a cold start of a whole data centre, or of half of the upstreams after a
    release: the rank-0 router places nearly all requests anyway, so that cold upstreams
    get as much of the load as they can handle at once. No other router takes over while
    the rank-0 router is unreachable, because the warm-up ends soon anyway.
    """

    NAME = "first"

    def share(self, limits: ColdLimits, held_rank: HeldRank) -> int:
        """Return half of the limit for the rank-0 router, 0 for others."""
        if held_rank.rank or held_rank.held_seconds < TAKE_OVER_SECONDS:
            return 0
        return limits.max_per_second // MAX_RANK_ZERO_ROUTERS


class SharesByRank(ColdAdmission):
    """Let each of the first routers by rank send one request a second.

    It needs no communication. Its drawback is that most requests arrive at routers
    without a share.
    """

    NAME = "shares"

    def share(self, limits: ColdLimits, held_rank: HeldRank) -> int:
        """Return 1 for the first ranks, 0 for all others.

        The number of these first ranks is half of the limit in requests a second.
        """
        if held_rank.held_seconds < TAKE_OVER_SECONDS:
            return 0
        return int(held_rank.rank < limits.max_per_second // MAX_RANK_ZERO_ROUTERS)


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
    """Track how long a router has held its rank.

    Call `refresh` after each change among the registered routers; the rank is taken as
    unchanged between two calls.

    Parameters
    ----------
    rank_of
        Returns the current rank for a service; None before the other routers are known
        and once this router accepts no new work.
    """

    def __init__(self, rank_of: Callable[[str], int | None]) -> None:
        self._rank_of = rank_of
        self._held_rank_by_service: dict[str, tuple[int, float]] = {}

    def refresh(self, services: Iterable[str], now: float) -> None:
        """Read the current ranks; `held_seconds` restarts from 0 for a changed rank."""
        held_rank_by_service = {}
        for service in services:
            rank = self._rank_of(service)
            if rank is None:
                continue
            held = self._held_rank_by_service.get(service)
            if held is None or held[0] != rank:
                held = (rank, now)
            held_rank_by_service[service] = held
        self._held_rank_by_service = held_rank_by_service

    def held_rank(self, service: str, now: float) -> HeldRank | None:
        """Return the rank for a service and its age; None without a rank."""
        held = self._held_rank_by_service.get(service)
        return None if held is None else HeldRank(held[0], now - held[1])


class RecentPlacements:
    """Count the requests that this router has recently placed at each upstream."""

    def __init__(self) -> None:
        self._times_by_id: dict[str, deque[float]] = {}

    def record(self, upstream_id: str, now: float) -> None:
        """Record a request that may be sent from now on."""
        self._times_by_id.setdefault(upstream_id, deque()).append(now)

    def count(self, upstream_id: str, now: float) -> int:
        """Return how many recorded requests may arrive within a second of a new one."""
        times = self._times_by_id.get(upstream_id)
        if times is None:
            return 0
        while times and now - times[0] >= WINDOW_SECONDS:
            times.popleft()
        if not times:
            del self._times_by_id[upstream_id]
        return len(times)

    def count_since(self, upstream_id: str, since: float) -> int:
        """Return how many of the recorded requests are newer than a time."""
        times = self._times_by_id.get(upstream_id, ())
        return sum(1 for at in times if at > since)

    def prune(self, upstream_ids: Container[str]) -> None:
        """Drop the counts of all other upstreams."""
        for upstream_id in list(self._times_by_id):
            if upstream_id not in upstream_ids:
                del self._times_by_id[upstream_id]
