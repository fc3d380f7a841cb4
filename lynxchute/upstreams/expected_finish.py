"""Choose the upstream of a plain service by expected completion time."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

import attrs

from lynxchute.upstreams.aims import NO_OBJECTIVES, LatencyObjectives
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.learned_speed import MAX_SLOWNESS
from lynxchute.upstreams.permits import Permits
from lynxchute.upstreams.placement import Choice, Placement, admitted_choice
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.speed import SpeedEstimator

# Cost of a round trip to another data centre, in time and transferred bytes, as a share
# of the typical time of a call. Calls prefer a near upstream until the share of its
# slots in use exceeds that of a far one by about 0.3.
FAR_PENALTY = 0.3
# How steeply an upstream's weight falls with its expected time: one that takes a third
# longer gets a thirtieth of the weight. An equally good far upstream gets a small
# share, so that few connections are opened for calls that a near one could serve.
SHARPNESS = 12.0
# Cost of a send that is certain to fail, as a multiple of the typical time of a call.
# It is high because the caller may have no time for a retry.
LOSS_PENALTY = 8.0
# Slowness from which an upstream counts as slow; lower values are within the normal
# variation of calls.
SLOW_RATIO = 1.5


@attrs.frozen
class UpstreamState:
    """State of one upstream, as far as this router knows it.

    Attributes
    ----------
    open_requests
        Requests of this router that the upstream is working on.
    slots
        Requests that it serves at once.
    slowness
        Its response time as a multiple of the typical one.
    overdue
        Wait of its oldest open call as a multiple of the typical time.
    lost_share
        Share of the sends to it that fail without a usable response.
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
        """Return a lower bound of the present slowness.

        An open call that is overdue raises it before its response arrives.
        """
        slowest = 1.0
        if math.isfinite(self.slowness) and self.slowness > 0:
            slowest = self.slowness
        if self.overdue > slowest:
            slowest = self.overdue
        return min(slowest, MAX_SLOWNESS)

    @property
    def is_busy(self) -> bool:
        """Return whether one more call would have to wait or take long."""
        if self.open_requests >= max(self.slots, 1):
            return True
        return self.slowness_now >= SLOW_RATIO

    def expected_ratio(self) -> float:
        """Return the expected completion time as a multiple of the typical one.

        Examples
        --------
        >>> UpstreamState(slots=6).expected_ratio()
        1.0
        >>> UpstreamState(open_requests=3, slots=6, slowness=2.0).expected_ratio()
        3.0
        """
        slots = max(self.slots, 1)
        waiting = 1.0 + max(self.open_requests, 0) / slots
        expected_ratio = self.slowness_now * waiting
        lost = self.lost_share if math.isfinite(self.lost_share) else 1.0
        expected_ratio *= 1.0 + LOSS_PENALTY * min(max(lost, 0.0), 1.0)
        return expected_ratio + (FAR_PENALTY if self.is_far else 0.0)


def weights(states: Sequence[UpstreamState]) -> list[float]:
    """Return the share of calls for each upstream; the shares add up to 1.

    Every upstream gets some calls: none takes all of them, and one that was slow is
    noticed when it recovers.
    """
    times = [state.expected_ratio() for state in states]
    best = min(times)
    raw = [max((best / time) ** SHARPNESS, 1e-6) for time in times]
    total = sum(raw)
    return [weight / total for weight in raw]


class ExpectedCompletion(Placement):
    """Distribute calls by the expected completion time at each upstream.

    It suits upstreams that differ in speed or become slow for fractions of a second: a
    caller must not wait for a slow one while another has free slots. Routers decide
    without coordination, so each draws upstreams at random by weight; otherwise all of
    them would choose the same best one.

    Parameters
    ----------
    data_centre
        This router's data centre; upstreams in it are near.
    gate
        Tells which upstreams are cold; those receive nothing.
    permits
        Requests admission to upstreams with a rate limit.
    speeds
        Estimates the slowness of each upstream.
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
        speeds: SpeedEstimator,
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
        candidates: Sequence[UpstreamEntry],
        aims: LatencyObjectives = NO_OBJECTIVES,
    ) -> Choice | None:
        """Return an upstream drawn by weight among those that accept the request."""
        now = self._clock()
        remaining = [
            entry for entry in candidates if not self._gate.is_cold(entry, now)
        ]
        while remaining:
            states = [self.state_of(entry, now) for entry in remaining]
            index = self._rng.choices(range(len(remaining)), weights(states))[0]
            entry = remaining.pop(index)
            choice = await admitted_choice(entry, self._gate, self._permits, now)
            if choice is not None:
                return choice
        return None

    def state_of(self, entry: UpstreamEntry, now: float) -> UpstreamState:
        """Return the current state of an upstream."""
        overdue = max((s.overdue_ratio(now) for s in entry.open_sends), default=0.0)
        return UpstreamState(
            open_requests=entry.open_requests,
            slots=entry.upstream.slots,
            slowness=self._speeds.slowness(entry.upstream.id, now),
            overdue=overdue,
            lost_share=entry.health.recent_lost_share(now),
            is_far=entry.upstream.data_centre != self._data_centre,
        )
