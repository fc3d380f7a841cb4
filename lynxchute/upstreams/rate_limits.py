"""What this router may send to upstreams that name the rate they take."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable, Container

import attrs

from lynxchute.upstreams.cold_admission import HeldRank
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.rate_sharing import (
    CONFIRMED_SECONDS,
    Count,
    RateSharing,
    Turn,
    TurnPosition,
    counts_for_all,
    own_turn,
)


@attrs.define
class _Use:
    """What was used of one upstream's limit.

    Attributes
    ----------
    count
        What may be let through for all, where this router counts.
    known_at_ms
        When this router first knew of the limit. In the turn that ran then another run
        of its VM may have sent.
    sent_ms
        When requests were sent by turns, on the store's clock.
    """

    count: Count
    known_at_ms: int
    sent_ms: deque[int] = attrs.Factory(deque)

    def has_left(self, turn: Turn) -> bool:
        """Return whether one more request may be sent in a turn."""
        if self.known_at_ms >= turn.began_ms:
            return False
        return sum(1 for ms in self.sent_ms if ms >= turn.began_ms) < turn.most

    def note_sent(self, turn: Turn, clock_ms: int) -> None:
        """Count a request that is sent in a turn."""
        # A limit that changes makes turns of other lengths, which began earlier.
        while self.sent_ms and self.sent_ms[0] < turn.began_ms - turn.seconds * 1000.0:
            self.sent_ms.popleft()
        self.sent_ms.append(clock_ms)


class RateLimits:
    """Keep with the other routers to the rates that upstreams name.

    Parameters
    ----------
    sharing
        Divides a limit.
    standing_of
        Returns where this router stands among all registered ones for a service; None
        where that is not known.
    seat_of
        Returns its place in the order of turns for a service; None where it has none.
    clock_ms
        Returns the store's clock at a moment of the own one; 0 where it is not known.
    silent_for
        Returns the seconds since the store last said who is registered.
    """

    def __init__(
        self,
        sharing: RateSharing,
        standing_of: Callable[[str, float], HeldRank | None],
        seat_of: Callable[[str], TurnPosition | None],
        clock_ms: Callable[[float], int],
        silent_for: Callable[[float], float],
    ) -> None:
        self._sharing = sharing
        self._standing_of = standing_of
        self._seat_of = seat_of
        self._clock_ms = clock_ms
        self._silent_for = silent_for
        self._use_by_process: dict[str, _Use] = {}

    def is_limited(self, entry: Entry, now: float) -> bool:
        """Return whether an upstream takes a certain rate only."""
        return entry.backpressure.rate(now) is not None

    def has_turn(self, entry: Entry, now: float) -> bool:
        """Return whether it is this router's turn to send a request."""
        turn = self._turn(entry, now)
        return turn is not None and self._use(entry, now).has_left(turn)

    def take_turn(self, entry: Entry, now: float) -> bool:
        """Use the own turn for one request; return whether there is one."""
        turn = self._turn(entry, now)
        use = self._use(entry, now)
        if turn is None or not use.has_left(turn):
            return False
        use.note_sent(turn, self._clock_ms(now))
        return True

    def may_admit(self, entry: Entry, now: float) -> bool:
        """Return whether this router may let one more request through for all."""
        rate = self._counted(entry, now)
        return rate > 0.0 and self._use(entry, now).count.has_room(rate, now)

    def admit(self, entry: Entry, now: float) -> bool:
        """Let one more request through for all; return whether there was room."""
        rate = self._counted(entry, now)
        return rate > 0.0 and self._use(entry, now).count.take(rate, now)

    @property
    def keeps_any(self) -> bool:
        """Return whether use of any upstream is kept."""
        return bool(self._use_by_process)

    def keep_only(self, processes: Container[str]) -> None:
        """Forget upstreams whose processes are gone."""
        for process in list(self._use_by_process):
            if process not in processes:
                del self._use_by_process[process]

    def _counted(self, entry: Entry, now: float) -> float:
        rate = entry.backpressure.rate(now)
        if rate is None:
            return 0.0
        if not counts_for_all(self._standing_of(entry.upstream.service, now)):
            # Whoever begins to count begins with nothing.
            use = self._use_by_process.get(entry.upstream.process)
            if use is not None:
                use.count = Count(at=now)
            return 0.0
        is_confirmed = self._silent_for(now) < CONFIRMED_SECONDS
        return self._sharing.counted(rate, is_confirmed=is_confirmed)

    def _turn(self, entry: Entry, now: float) -> Turn | None:
        rate = entry.backpressure.rate(now)
        seat = self._seat_of(entry.upstream.service)
        clock_ms = self._clock_ms(now)
        if rate is None or seat is None or not clock_ms:
            return None
        offset = zlib.crc32(entry.upstream.process.encode())
        return own_turn(self._sharing.in_turns(rate), seat, offset, clock_ms)

    def _use(self, entry: Entry, now: float) -> _Use:
        process = entry.upstream.process
        use = self._use_by_process.get(process)
        if use is None:
            use = _Use(Count(at=now), self._clock_ms(now))
            self._use_by_process[process] = use
        return use
