"""Requests that this router may send to upstreams with a rate limit."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable, Container

import attrs

from lynxchute.upstreams.cold_admission import HeldRank
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.rate_sharing import (
    CONFIRMED_SECONDS,
    RateSharing,
    TokenBucket,
    Turn,
    TurnPosition,
    is_central,
    own_turn,
)


@attrs.define
class _Usage:
    """Usage of one upstream's limit by this router.

    Attributes
    ----------
    bucket
        Requests that may be admitted on behalf of all routers, if this router does so.
    known_at_ms
        When this router first learned of the limit, on the store's clock. The turn that
        contains this time is not used, since an earlier process of this VM may have
        used it.
    sent_ms
        When requests were sent in this router's turns, on the store's clock.
    """

    bucket: TokenBucket
    known_at_ms: int
    sent_ms: deque[int] = attrs.Factory(deque)

    def has_turn_left(self, turn: Turn) -> bool:
        """Return whether one more request may be sent in a turn."""
        if self.known_at_ms >= turn.began_ms:
            return False
        return sum(1 for ms in self.sent_ms if ms >= turn.began_ms) < turn.max_requests

    def record_send(self, turn: Turn, clock_ms: int) -> None:
        """Record a request that is sent in a turn."""
        # When the limit changes, turns have another length and may have begun earlier.
        while self.sent_ms and self.sent_ms[0] < turn.began_ms - turn.seconds * 1000.0:
            self.sent_ms.popleft()
        self.sent_ms.append(clock_ms)


class RateLimits:
    """Enforce the rate limits of upstreams jointly with the other routers.

    Parameters
    ----------
    sharing
        Divides a limit between central admission and turns.
    held_rank_of
        Returns this router's rank among all routers registered for a service and its
        age; None if it is not known.
    position_of
        Returns this router's position in the order of turns for a service; None if it
        has none.
    clock_ms
        Converts a time of this process's clock to the store's clock; returns 0 if that
        is not known.
    store_silence
        Returns the seconds since the store last reported which routers are registered.
    """

    def __init__(
        self,
        sharing: RateSharing,
        held_rank_of: Callable[[str, float], HeldRank | None],
        position_of: Callable[[str], TurnPosition | None],
        clock_ms: Callable[[float], int],
        store_silence: Callable[[float], float],
    ) -> None:
        self._sharing = sharing
        self._held_rank_of = held_rank_of
        self._position_of = position_of
        self._clock_ms = clock_ms
        self._store_silence = store_silence
        self._usage_by_process: dict[str, _Usage] = {}

    def is_limited(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether an upstream accepts only a limited rate."""
        return entry.backpressure.rate(now) is not None

    def has_turn(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether this router may send a request in its own turn now."""
        turn = self._own_turn(entry, now)
        return turn is not None and self._usage(entry, now).has_turn_left(turn)

    def use_turn(self, entry: UpstreamEntry, now: float) -> bool:
        """Use this router's turn for one request; return whether that was possible."""
        turn = self._own_turn(entry, now)
        usage = self._usage(entry, now)
        if turn is None or not usage.has_turn_left(turn):
            return False
        usage.record_send(turn, self._clock_ms(now))
        return True

    def may_admit(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether this router may admit a request on behalf of all routers."""
        rate = self._central_rate(entry, now)
        return rate > 0.0 and self._usage(entry, now).bucket.has_room(rate, now)

    def admit(self, entry: UpstreamEntry, now: float) -> bool:
        """Admit a request on behalf of all routers; return whether there was room."""
        rate = self._central_rate(entry, now)
        return rate > 0.0 and self._usage(entry, now).bucket.consume(rate, now)

    @property
    def has_usage(self) -> bool:
        """Return whether usage of any upstream is stored."""
        return bool(self._usage_by_process)

    def prune(self, processes: Container[str]) -> None:
        """Drop the usage of all other processes."""
        for process in list(self._usage_by_process):
            if process not in processes:
                del self._usage_by_process[process]

    def _central_rate(self, entry: UpstreamEntry, now: float) -> float:
        rate = entry.backpressure.rate(now)
        if rate is None:
            return 0.0
        if not is_central(self._held_rank_of(entry.upstream.service, now)):
            # A router that becomes the central one starts with an empty bucket.
            usage = self._usage_by_process.get(entry.upstream.process)
            if usage is not None:
                usage.bucket = TokenBucket(updated_at=now)
            return 0.0
        is_confirmed = self._store_silence(now) < CONFIRMED_SECONDS
        return self._sharing.central_rate(rate, is_confirmed=is_confirmed)

    def _own_turn(self, entry: UpstreamEntry, now: float) -> Turn | None:
        rate = entry.backpressure.rate(now)
        position = self._position_of(entry.upstream.service)
        clock_ms = self._clock_ms(now)
        if rate is None or position is None or not clock_ms:
            return None
        offset = zlib.crc32(entry.upstream.process.encode())
        return own_turn(self._sharing.turn_rate(rate), position, offset, clock_ms)

    def _usage(self, entry: UpstreamEntry, now: float) -> _Usage:
        process = entry.upstream.process
        usage = self._usage_by_process.get(process)
        if usage is None:
            usage = _Usage(TokenBucket(updated_at=now), self._clock_ms(now))
            self._usage_by_process[process] = usage
        return usage
