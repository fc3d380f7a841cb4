"""Choose the upstream for a request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import attrs

from lynxchute.upstreams.aims import NO_AIMS, Aims
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.permits import Permits
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream


@attrs.frozen
class Choice:
    """An upstream for a request.

    Attributes
    ----------
    fetch_from
        The engine that should hand over what it keeps of the prompt; None
        where that does not pay.
    expected_seconds
        When the first event of its answer is expected; 0 where nobody knows.
    placed_by
        The VM that chose; empty for this one.
    permit_until
        Until when it may be sent to the upstream though that is cold, on the steady
        clock in seconds; 0 where it may not.
    admitted_until
        Until when it may be sent though the upstream names a limit, likewise.
    is_placed_alone
        Whether this VM chose in place of the one that schedules.
    """

    entry: Entry
    fetch_from: Upstream | None = None
    expected_seconds: float = 0.0
    placed_by: str = ""
    permit_until: float = 0.0
    admitted_until: float = 0.0
    is_placed_alone: bool = False


class Placement(ABC):
    """Choose among upstreams that could all serve a request."""

    @abstractmethod
    async def choose(
        self,
        run_id: str,
        generation: Generation | None,
        candidates: Sequence[Entry],
        aims: Aims = NO_AIMS,
    ) -> Choice | None:
        """Return one of the candidates, of which there is at least one.

        None where all of them are cold or throttled, and may not get this request.

        Parameters
        ----------
        run_id
            Names the run in what is noted of it afterwards.
        aims
            What its answer must keep to.
        """

    def record_first_event(
        self, run_id: str, upstream_id: str, *, took_ms: float
    ) -> None:
        """Note the first event of a run, so many milliseconds after its send."""

    def record_pause(self, run_id: str, upstream_id: str) -> None:
        """Note that a stream has paused for longer than is on time."""

    def record_end(self, run_id: str, upstream_id: str, *, failed: bool) -> None:
        """Note that an upstream no longer works on a run.

        Parameters
        ----------
        failed
            Whether that is the upstream's doing.
        """


class LeastOpen(Placement):
    """Take the nearest upstream unless it has more to do than the others.

    Parameters
    ----------
    data_centre
        Whose upstreams are near.
    gate
        Tells which upstreams are cold: since nobody counts for all routers what plain
        services get, they get nothing then.
    permits
        Lets requests through to upstreams that name a limit.
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
        self._turn = 0

    async def choose(
        self,
        run_id: str,
        generation: Generation | None,
        candidates: Sequence[Entry],
        aims: Aims = NO_AIMS,
    ) -> Choice | None:
        """Return the upstream with the least to do, near ones first."""
        self._turn += 1
        now = self._clock()
        warm = [entry for entry in candidates if not self._gate.is_cold(entry, now)]
        count = len(warm)
        if not count:
            return None
        turned = [warm[(self._turn + offset) % count] for offset in range(count)]
        for entry in sorted(turned, key=lambda entry: self._cost(entry, now)):
            choice = await admitted(entry, self._gate, self._permits, now)
            if choice is not None:
                return choice
        return None

    def _cost(self, entry: Entry, now: float) -> float:
        far = entry.upstream.data_centre != self._data_centre
        cost = entry.open_requests + (self._near_bonus if far else 0)
        return cost + 20.0 * entry.health.recent_bad_share(now)


async def admitted(
    entry: Entry, gate: SendGate, permits: Permits, now: float
) -> Choice | None:
    """Return the choice of an upstream that takes one more request within its limit."""
    if not gate.rates.is_limited(entry, now) or gate.rates.has_turn(entry, now):
        return Choice(entry)
    admitted_until = await permits.ask(entry)
    return Choice(entry, admitted_until=admitted_until) if admitted_until else None
