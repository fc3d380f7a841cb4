"""How routers keep together to the rate that an upstream names.

The limit is one of all routers, also of those that cannot reach one another. So what a
router sends must be bounded by what it knows by itself. There are two parts: what the
first of all registered routers counts for everybody, and turns on the store's clock,
which each router keeps by itself however cut off it is.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import ClassVar

import attrs

from lynxchute.upstreams.cold_admission import TAKE_OVER_SECONDS, HeldRank

# Share of the limit that the first router counts while it knows that it is the first.
COUNTED_SHARE = 0.75
# The same while the store does not answer it. Another one may take itself for the first
# by then: both and the turns make less than one and a half times the limit, which is
# what an upstream bears.
UNCONFIRMED_SHARE = 0.375
# Seconds since the store's last answer on who is registered within which that is known:
# whoever becomes the first one counts nothing for three.
CONFIRMED_SECONDS = 2.3
# Seconds of a turn at least: clocks of routers differ by some ms.
LEAST_TURN = 0.25
# Steps in which a rate that is doubled is rounded down for turns. Routers hear of a
# limit that changes a little with each answer at different moments, and turns of
# different lengths would fall together.
STEPS_PER_DOUBLING = 2
# Keeps a product of floats that should be a whole number from being just below it.
ROUNDING = 1e-9
# Requests that the counting router lets through at once after a while without any.
MOST_SAVED = 2.0


class RateSharing(ABC):
    """Divide a limit into what is counted for all and what goes by turns.

    Attributes
    ----------
    NAME
        What settings call it.
    """

    NAME: ClassVar[str]

    @abstractmethod
    def counted(self, rate: float, *, is_confirmed: bool) -> float:
        """Return the requests a second that the first router lets through for all.

        Parameters
        ----------
        is_confirmed
            Whether the store has said just now that it is the first one.
        """

    @abstractmethod
    def in_turns(self, rate: float) -> float:
        """Return the requests a second that all have together by turns."""


class MostlyCentral(RateSharing):
    """Count three quarters and have the last one go by turns.

    It answers a throttled upstream of which a large fleet knows, where each router has
    few requests: what the routers whose turn it is do not use is a quarter of the limit
    at most.
    """

    NAME = "counted"

    def counted(self, rate: float, *, is_confirmed: bool) -> float:
        """Return three quarters of the limit, or half of that."""
        return rate * (COUNTED_SHARE if is_confirmed else UNCONFIRMED_SHARE)

    def in_turns(self, rate: float) -> float:
        """Return a quarter of the limit."""
        return rate * (1.0 - COUNTED_SHARE)


class Halves(RateSharing):
    """Count one half and have the other one go by turns, whatever the store says."""

    NAME = "halves"

    def counted(self, rate: float, *, is_confirmed: bool) -> float:
        """Return half of the limit."""
        return rate * 0.5

    def in_turns(self, rate: float) -> float:
        """Return the other half."""
        return rate * 0.5


class TurnsOnly(RateSharing):
    """Have the whole limit go by turns; it needs nobody's answer."""

    NAME = "turns"

    def counted(self, rate: float, *, is_confirmed: bool) -> float:
        """Return 0."""
        return 0.0

    def in_turns(self, rate: float) -> float:
        """Return the whole limit."""
        return rate


SHARINGS_BY_NAME: dict[str, type[RateSharing]] = {
    cls.NAME: cls for cls in (MostlyCentral, Halves, TurnsOnly)
}


@attrs.define
class Count:
    """What the counting router may let through.

    It begins with nothing, so that a process that starts again gives nothing twice.

    Attributes
    ----------
    saved
        Requests that may be let through now.
    at
        When that was so, in seconds.
    """

    saved: float = 0.0
    at: float = 0.0

    def has_room(self, rate: float, now: float) -> bool:
        """Return whether one more request may be let through."""
        return self._grown(rate, now) >= 1.0

    def take(self, rate: float, now: float) -> bool:
        """Let one more request through, where there is room."""
        saved = self._grown(rate, now)
        self.saved, self.at = saved, now
        if saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def _grown(self, rate: float, now: float) -> float:
        return min(self.saved + rate * max(now - self.at, 0.0), MOST_SAVED)


@attrs.frozen
class TurnPosition:
    """A router's place in the order of turns.

    Attributes
    ----------
    rank
        Its place among the routers that take turns, from 0.
    count
        How many these are, reachable or not.
    """

    rank: int
    count: int


@attrs.frozen
class Turn:
    """A span of the store's clock in which one router may send.

    Attributes
    ----------
    began_ms
        When it began.
    seconds
        How long it lasts.
    most
        Requests that may be sent in it.
    """

    began_ms: float
    seconds: float
    most: int


def own_turn(
    rate: float, seat: TurnPosition, offset: int, clock_ms: int
) -> Turn | None:
    """Return the turn that runs, where it is the own one.

    Parameters
    ----------
    rate
        Requests a second that all have together by turns.
    offset
        Moves the order, so that not all upstreams' turns are one router's at once.
    clock_ms
        The store's clock.

    Examples
    --------
    >>> own_turn(0.5, TurnPosition(rank=1, count=4), 0, 2_500)
    Turn(began_ms=2000.0, seconds=2.0, most=1)
    >>> own_turn(0.5, TurnPosition(rank=1, count=4), 0, 4_500)
    """
    if rate <= 0.0:
        return None
    steps = math.floor(math.log2(rate) * STEPS_PER_DOUBLING + ROUNDING)
    rate = 2.0 ** (steps / STEPS_PER_DOUBLING)
    seconds = max(1.0 / rate, LEAST_TURN)
    number = math.floor(clock_ms / 1000.0 / seconds)
    if (number + offset) % seat.count != seat.rank:
        return None
    return Turn(number * seconds * 1000.0, seconds, int(rate * seconds + ROUNDING))


def counts_for_all(standing: HeldRank | None) -> bool:
    """Return whether a router counts, by where it stands among all registered ones."""
    if standing is None or standing.rank:
        return False
    return standing.seconds >= TAKE_OVER_SECONDS
