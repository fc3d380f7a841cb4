"""Divide an upstream's rate limit between the routers.

The limit covers all routers together, including routers that cannot reach one another,
so each must bound its sends by local knowledge only. There are two parts: the rank-0
router admits requests centrally, on behalf of all routers, and the routers take turns
on the store's clock, which each of them can compute even while it is isolated.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import ClassVar

import attrs

from lynxchute.upstreams.cold_admission import TAKE_OVER_SECONDS, HeldRank

# Share of the limit that the rank-0 router admits while the store confirms its rank.
CENTRAL_SHARE = 0.75
# Share that it admits while its rank is unconfirmed because the store does not answer.
# Another router may also hold rank 0 by then. A confirmed share, an unconfirmed share
# and the turns together stay below one and a half times the limit, which an upstream
# tolerates.
UNCONFIRMED_SHARE = 0.375
# Seconds after the store's last membership report for which rank 0 counts as confirmed.
# This is less than the three seconds (TAKE_OVER_SECONDS) for which a new rank-0 router
# admits nothing, so two routers never admit as confirmed at the same time.
CONFIRMED_SECONDS = 2.3
# Shortest turn in seconds: the clocks of routers differ by some ms.
MIN_TURN_SECONDS = 0.25
# For turns, a rate is rounded down to this number of steps per doubling. If a limit
# changes a little with each response, routers learn of it at different times, and turns
# of different lengths would overlap.
STEPS_PER_DOUBLING = 2
# Tolerance for products of floats that should be whole numbers but are just below.
ROUNDING_TOLERANCE = 1e-9
# Burst size of the token bucket, in requests.
MAX_BURST = 2.0


class RateSharing(ABC):
    """Policy to divide a limit between central admission and turns.

    Attributes
    ----------
    NAME
        Name of the policy in the settings.
    """

    NAME: ClassVar[str]

    @abstractmethod
    def central_rate(self, rate: float, *, is_confirmed: bool) -> float:
        """Return the requests a second that the rank-0 router admits for all routers.

        Parameters
        ----------
        is_confirmed
            Whether the store has recently confirmed that this router has rank 0.
        """

    @abstractmethod
    def turn_rate(self, rate: float) -> float:
        """Return the requests a second that all routers together send by turns."""


class MostlyCentral(RateSharing):
    """Admit three quarters of the limit centrally and one quarter by turns.

    It suits a large fleet in which each router has few requests for a throttled
    upstream: the unused share of turns wastes a quarter of the limit at most.
    """

    NAME = "counted"

    def central_rate(self, rate: float, *, is_confirmed: bool) -> float:
        """Return three quarters of the limit, or half of that if unconfirmed."""
        return rate * (CENTRAL_SHARE if is_confirmed else UNCONFIRMED_SHARE)

    def turn_rate(self, rate: float) -> float:
        """Return a quarter of the limit."""
        return rate * (1.0 - CENTRAL_SHARE)


class HalfCentral(RateSharing):
    """Admit one half centrally and one half by turns, confirmed or not."""

    NAME = "halves"

    def central_rate(self, rate: float, *, is_confirmed: bool) -> float:
        """Return half of the limit."""
        return rate * 0.5

    def turn_rate(self, rate: float) -> float:
        """Return the other half."""
        return rate * 0.5


class TurnsOnly(RateSharing):
    """Send the whole limit by turns, which needs no communication."""

    NAME = "turns"

    def central_rate(self, rate: float, *, is_confirmed: bool) -> float:
        """Return 0."""
        return 0.0

    def turn_rate(self, rate: float) -> float:
        """Return the whole limit."""
        return rate


SHARINGS_BY_NAME: dict[str, type[RateSharing]] = {
    cls.NAME: cls for cls in (MostlyCentral, HalfCentral, TurnsOnly)
}


@attrs.define
class TokenBucket:
    """Token bucket of the router that admits requests for all routers.

    It starts empty, so that a restarted process does not admit the same share twice.

    Attributes
    ----------
    available
        Requests that may be admitted now.
    updated_at
        Time of that value, in seconds.
    """

    available: float = 0.0
    updated_at: float = 0.0

    def has_room(self, rate: float, now: float) -> bool:
        """Return whether one more request may be admitted."""
        return self._refilled(rate, now) >= 1.0

    def consume(self, rate: float, now: float) -> bool:
        """Admit one more request if there is room; return whether there was."""
        available = self._refilled(rate, now)
        self.available, self.updated_at = available, now
        if available < 1.0:
            return False
        self.available -= 1.0
        return True

    def _refilled(self, rate: float, now: float) -> float:
        return min(self.available + rate * max(now - self.updated_at, 0.0), MAX_BURST)


@attrs.frozen
class TurnPosition:
    """Position of a router in the order of turns.

    Attributes
    ----------
    rank
        Position among the routers that take turns, from 0.
    count
        Number of these routers, reachable or not.
    """

    rank: int
    count: int


@attrs.frozen
class Turn:
    """Time slot on the store's clock in which one router may send.

    Attributes
    ----------
    began_ms
        Start of the slot.
    seconds
        Length of the slot.
    max_requests
        Requests that may be sent in it.
    """

    began_ms: float
    seconds: float
    max_requests: int


def own_turn(
    rate: float, position: TurnPosition, offset: int, clock_ms: int
) -> Turn | None:
    """Return the current turn if it belongs to this router; None otherwise.

    Parameters
    ----------
    rate
        Requests a second that all routers together send by turns.
    offset
        Shifts the order, so that one router does not have the turns of all upstreams at
        the same time.
    clock_ms
        The store's clock.

    Examples
    --------
    >>> own_turn(0.5, TurnPosition(rank=1, count=4), 0, 2_500)
    Turn(began_ms=2000.0, seconds=2.0, max_requests=1)
    >>> own_turn(0.5, TurnPosition(rank=1, count=4), 0, 4_500)
    """
    if rate <= 0.0:
        return None
    steps = math.floor(math.log2(rate) * STEPS_PER_DOUBLING + ROUNDING_TOLERANCE)
    rate = 2.0 ** (steps / STEPS_PER_DOUBLING)
    seconds = max(1.0 / rate, MIN_TURN_SECONDS)
    number = math.floor(clock_ms / 1000.0 / seconds)
    if (number + offset) % position.count != position.rank:
        return None
    return Turn(
        number * seconds * 1000.0, seconds, int(rate * seconds + ROUNDING_TOLERANCE)
    )


def is_central(held_rank: HeldRank | None) -> bool:
    """Return whether a router with this rank admits requests for all routers."""
    if held_rank is None or held_rank.rank:
        return False
    return held_rank.held_seconds >= TAKE_OVER_SECONDS
