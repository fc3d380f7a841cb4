"""Choose the upstream of a plain service where a call is expected to end soonest."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

import attrs

from lynxchute.upstreams.aims import NO_AIMS, Aims
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.learned_speed import MAX_SLOWNESS
from lynxchute.upstreams.permits import Permits
from lynxchute.upstreams.placement import Choice, Placement, admitted
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.speed import Speeds

# What the way to another data centre and back costs, as a share of the work: the time
# it takes and the bytes that it moves. A near upstream may have a third of its places
# more in use before calls go to a far one.
FAR_SHARE = 0.3
# How steeply the part of an upstream falls with its expected time: one that takes a
# third longer gets a thirtieth of what it would get. A far one that is as good gets a
# little, so that few connections are opened for calls that a near one could take.
SHARPNESS = 12.0
# What a send that is surely lost costs, as a multiple of the work: another try, after a
# time that its caller may not have.
LOST_COST = 8.0
# Slower than this an upstream counts as slow: less is within what calls differ by.
SLOW_RATIO = 1.5


@attrs.frozen
class UpstreamState:
    """What a router knows of one upstream that it may send a call to.

    Attributes
    ----------
    open_requests
        Requests of this router that it works on.
    slots
        Requests that it serves at once.
    slowness
        How many times as long as usual it takes.
    overdue
        How many times as long as usual its oldest open call has waited.
    lost_share
        Share of sends to it that are lost.
    is_far
        Whether it is in another data centre.
    """

    open_requests: int = 0
    slots: int = 1
    slowness: float = 1.0
    overdue: float = 0.0
    lost_share: float = 0.0
    is_far: bool = False

    @property
    def slowness_now(self) -> float:
        """Return how slow it is at least: an open call tells before its answer."""
        slowest = 1.0
        if math.isfinite(self.slowness) and self.slowness > 0:
            slowest = self.slowness
        if self.overdue > slowest:
            slowest = self.overdue
        return min(slowest, MAX_SLOWNESS)

    @property
    def is_busy(self) -> bool:
        """Return whether one more call would wait there, or take long."""
        if self.open_requests >= max(self.slots, 1):
            return True
        return self.slowness_now >= SLOW_RATIO

    def expected(self) -> float:
        """Return when a call ends, as a multiple of what it usually takes.

        Examples
        --------
        >>> UpstreamState(slots=6).expected()
        1.0
        >>> UpstreamState(open_requests=3, slots=6, slowness=2.0).expected()
        3.0
        """
        places = max(self.slots, 1)
        waiting = 1.0 + max(self.open_requests, 0) / places
        expected = self.slowness_now * waiting
        lost = self.lost_share if math.isfinite(self.lost_share) else 1.0
        expected *= 1.0 + LOST_COST * min(max(lost, 0.0), 1.0)
        return expected + (FAR_SHARE if self.is_far else 0.0)


def weights(states: Sequence[UpstreamState]) -> list[float]:
    """Return what part of the calls each upstream should get; they sum up to 1.

    Each gets some: nobody takes all work, and one that was slow is found well again.
    """
    times = [state.expected() for state in states]
    best = min(times)
    raw = [max((best / time) ** SHARPNESS, 1e-6) for time in times]
    total = sum(raw)
    return [weight / total for weight in raw]


class ExpectedFinish(Placement):
    """Spread calls by when each upstream is expected to have done them.

    It answers upstreams that work at different speeds, or turn slow for fractions of a
    second: a caller must not wait for the slow one while another has room. Routers
    decide alone, so that calls are spread at random by weight; none follows another to
    the upstream that looks best.

    Parameters
    ----------
    data_centre
        Whose upstreams are near.
    gate
        Tells which upstreams are cold; they get nothing then.
    permits
        Lets requests through to upstreams that name a limit.
    speeds
        How slow each upstream is.
    rng
        Draws the upstream.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self,
        data_centre: str,
        gate: SendGate,
        permits: Permits,
        speeds: Speeds,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._data_centre = data_centre
        self._gate = gate
        self._permits = permits
        self._speeds = speeds
        self._rng = rng
        self._clock = clock

    async def choose(
        self,
        run_id: str,
        generation: Generation | None,
        candidates: Sequence[Entry],
        aims: Aims = NO_AIMS,
    ) -> Choice | None:
        """Return an upstream, drawn by weight among those that take a request."""
        now = self._clock()
        left = [entry for entry in candidates if not self._gate.is_cold(entry, now)]
        while left:
            states = [self.state_of(entry, now) for entry in left]
            place = self._rng.choices(range(len(left)), weights(states))[0]
            entry = left.pop(place)
            choice = await admitted(entry, self._gate, self._permits, now)
            if choice is not None:
                return choice
        return None

    def state_of(self, entry: Entry, now: float) -> UpstreamState:
        """Return what is known of an upstream now."""
        overdue = max((s.overdue_ratio(now) for s in entry.open_sends), default=0.0)
        return UpstreamState(
            open_requests=entry.open_requests,
            slots=entry.upstream.slots,
            slowness=self._speeds.slowness(entry.upstream.id, now),
            overdue=overdue,
            lost_share=entry.health.recent_lost_share(now),
            is_far=entry.upstream.data_centre != self._data_centre,
        )
