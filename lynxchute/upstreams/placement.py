"""Choose the upstream for a request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import attrs

from lynxchute.upstreams.aims import NO_OBJECTIVES, LatencyObjectives
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.permits import Permits
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream


@attrs.frozen
class Choice:
    """The upstream chosen for a request.

    Attributes
    ----------
    fetch_from
        Engine from which the chosen one should fetch the cached prompt parts; None if
        fetching does not pay.
    expected_seconds
        Expected time until the first event of the response; 0 if unknown.
    placed_by
        VM that chose the upstream; empty for this one.
    cold_permit_until
        Until when the request may be sent although the upstream is cold, on the steady
        clock in seconds; 0 if it may not.
    rate_permit_until
        Until when it may be sent although the upstream has a rate limit, likewise.
    is_placed_alone
        Whether this VM chose without the VM that schedules for the service.
    run_id
        Run that has the place at the upstream; empty if no place is held.
    """

    entry: UpstreamEntry
    fetch_from: Upstream | None = None
    expected_seconds: float = 0.0
    placed_by: str = ""
    cold_permit_until: float = 0.0
    rate_permit_until: float = 0.0
    is_placed_alone: bool = False
    run_id: str = ""


class Placement(ABC):
    """Choose one of several upstreams that can serve a request."""

    @abstractmethod
    async def choose(
        self,
        run_id: str,
        generation: Generation | None,
        candidates: Sequence[UpstreamEntry],
        aims: LatencyObjectives = NO_OBJECTIVES,
    ) -> Choice | None:
        """Return one of the candidates, of which there is at least one.

        Return None if all of them are cold or throttled and may not receive this
        request.

        Parameters
        ----------
        run_id
            Identifies the run in later calls that record its progress.
        aims
            Latency objectives of the response.
        """

    def record_first_event(
        self, run_id: str, upstream_id: str, *, took_ms: float
    ) -> None:
        """Record the time from a run's send to its first event."""

    def record_pause(self, run_id: str, upstream_id: str) -> None:
        """Record that a stream has paused for longer than its latency target."""

    def record_end(self, run_id: str, upstream_id: str, *, failed: bool) -> None:
        """Record that an upstream no longer works on a run.

        Parameters
        ----------
        failed
            Whether the upstream is the cause.
        """

    def release(self, choice: Choice) -> None:
        """Give up a choice that is not used."""
        self.record_end(choice.run_id, choice.entry.upstream.id, failed=False)


class LeastOpen(Placement):
    """Choose the upstream with the fewest open requests.

    Far upstreams and those with recent bad outcomes rank as if they had more open
    requests: `near_bonus` more for distance, and 20 times the share of bad outcomes.

    Parameters
    ----------
    data_centre
        This router's data centre; upstreams in it are near.
    gate
        Tells which upstreams are cold. Those receive nothing, because no router admits
        calls of plain services on behalf of all others.
    permits
        Requests admission to upstreams with a rate limit.
    clock
        Seconds on the steady clock.
    near_bonus
        Open requests that a near upstream may have more than a far one.
    """

    def __init__(
        self,
        data_centre: str,
        gate: SendGate,
        permits: Permits,
        clock: Callable[[], float],
        *,
        near_bonus: int = 2,
    ) -> None:
        self._data_centre = data_centre
        self._gate = gate
        self._permits = permits
        self._clock = clock
        self._near_bonus = near_bonus
        self._rotation = 0

    async def choose(
        self,
        run_id: str,
        generation: Generation | None,
        candidates: Sequence[UpstreamEntry],
        aims: LatencyObjectives = NO_OBJECTIVES,
    ) -> Choice | None:
        """Return the upstream of the lowest cost that admits the request.

        The cost is the number of open requests, increased by distance and by the recent
        share of bad outcomes.
        """
        self._rotation += 1
        now = self._clock()
        warm = [entry for entry in candidates if not self._gate.is_cold(entry, now)]
        count = len(warm)
        if not count:
            return None
        rotated = [warm[(self._rotation + offset) % count] for offset in range(count)]
        for entry in sorted(rotated, key=lambda entry: self._cost(entry, now)):
            choice = await admitted_choice(entry, self._gate, self._permits, now)
            if choice is not None:
                return choice
        return None

    def _cost(self, entry: UpstreamEntry, now: float) -> float:
        far = entry.upstream.data_centre != self._data_centre
        cost = entry.open_requests + (self._near_bonus if far else 0)
        return cost + 20.0 * entry.health.recent_bad_share(now)


async def admitted_choice(
    entry: UpstreamEntry, gate: SendGate, permits: Permits, now: float
) -> Choice | None:
    """Return an upstream as the choice if its rate limit admits the request."""
    if not gate.rates.is_limited(entry, now) or gate.rates.has_turn(entry, now):
        return Choice(entry)
    rate_permit_until = await permits.request_permit(entry)
    return (
        Choice(entry, rate_permit_until=rate_permit_until)
        if rate_permit_until
        else None
    )
