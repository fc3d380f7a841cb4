"""Recent prefills of an engine, and the pauses of concurrent streams."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import attrs

from lynxchute.scheduling.pauses import PauseStats
from lynxchute.scheduling.reading_speed import PrefillSpeed

# Seconds after a prefill until all pauses that it caused have been reported: the time
# for a delayed event and for the report.
SETTLE_SECONDS = 0.6
# Maximum number of stored prefills; some seconds at the highest rates.
MAX_PREFILLS = 100
# Time constant in seconds with which prefills decay in the pause rate: long enough to
# include several long prompts of an engine when six engines get eight of them a second,
# short enough to follow a burst.
RATE_WINDOW_SECONDS = 8.0
# Seconds for which a computed pause rate is cached.
RATE_CACHE_SECONDS = 0.25


@attrs.define(eq=False)
class PrefillRecord:
    """The prefill of a prompt at an engine, and the streams that run meanwhile.

    Attributes
    ----------
    sent_at
        Time of the send, in seconds.
    queued_tokens, tokens
        Tokens to be read before it, and its own.
    length
        Its prefill time as a multiple of the pause limit.
    share
        Estimated share of the concurrent streams that pause too long because of it.
    done_at
        Expected time of its end, in seconds.
    paused_by_stream
        Whether each concurrent stream has paused for too long because of it.
    """

    sent_at: float
    queued_tokens: float
    tokens: int
    length: float
    share: float
    done_at: float
    paused_by_stream: dict[str, bool]


class PauseTracker:
    """Track the pauses of an engine's streams that have the same pause limit.

    Parameters
    ----------
    prior
        Statistics of all engines of the service.
    speed
        The prefill speed of the engine.
    limit_ms
        Maximum pause that counts as on time, in milliseconds.
    """

    def __init__(self, prior: PauseStats, speed: PrefillSpeed, limit_ms: float) -> None:
        self.stats = PauseStats(prior)
        self._speed = speed
        self._limit_ms = limit_ms
        self._unsettled: deque[PrefillRecord] = deque(maxlen=MAX_PREFILLS)
        self._recent: deque[PrefillRecord] = deque(maxlen=MAX_PREFILLS)
        self._pause_rate = 0.0
        self._pause_rate_at = -RATE_CACHE_SECONDS

    def added_pause_share(self, queued_tokens: float, tokens: float) -> float:
        """Return the additional share of streams that pause because of a prompt.

        Parameters
        ----------
        queued_tokens
            Tokens still to be read before it. Prompts already read do not count: a
            stream that has not paused during them will no longer pause because of them.
        tokens
            Tokens of the prompt to read.
        """
        before = self.stats.share(self._length(queued_tokens))
        after = self.stats.share(self._length(queued_tokens + tokens))
        return max(after - before, 0.0)

    def pause_rate(self, now: float) -> float:
        """Return how many times per second a stream pauses for too long."""
        if now - self._pause_rate_at < RATE_CACHE_SECONDS:
            return self._pause_rate
        weight = 0.0
        for prefill in self._recent:
            share = prefill.share
            weight += share * math.exp((prefill.sent_at - now) / RATE_WINDOW_SECONDS)
        self._pause_rate, self._pause_rate_at = weight / RATE_WINDOW_SECONDS, now
        return self._pause_rate

    def add_prompt(
        self, queued_tokens: float, tokens: int, streams: Iterable[str], now: float
    ) -> None:
        """Record a prompt that is about to be read.

        Parameters
        ----------
        queued_tokens
            Tokens still to be read before it.
        streams
            Ids of the concurrent runs that have not paused for too long yet.
        """
        self._settle(now)
        done_at = now + self._speed.prefill_ms(queued_tokens + tokens) / 1000.0
        concurrent = dict.fromkeys(streams, False)
        share = self.added_pause_share(queued_tokens, tokens)
        prefill = PrefillRecord(
            now, queued_tokens, tokens, self._length(tokens), share, done_at, concurrent
        )
        self._unsettled.append(prefill)
        self._recent.append(prefill)

    def record_first_event(self, stream: str, now: float) -> None:
        """Record the first event of a run: it is concurrent with current prefills."""
        for prefill in self._unsettled:
            if now < prefill.done_at:
                prefill.paused_by_stream[stream] = False

    def record_pause(self, stream: str, now: float) -> None:
        """Record that a stream has paused for too long."""
        self._settle(now)
        concurrent = [p for p in self._unsettled if stream in p.paused_by_stream]
        if not concurrent:
            return
        # The largest prompt is the most likely cause. For the other prompts, the stream
        # counts neither as paused nor as not paused.
        largest = max(concurrent, key=lambda prefill: prefill.tokens)
        for prefill in concurrent:
            if prefill is not largest:
                del prefill.paused_by_stream[stream]
        largest.paused_by_stream[stream] = True

    def _length(self, tokens: float) -> float:
        """Return the prefill time of tokens as a multiple of the pause limit."""
        return self._speed.prefill_ms(tokens) / self._limit_ms

    def _settle(self, now: float) -> None:
        """Add prefills whose pauses have all been reported to the statistics."""
        while self._unsettled:
            first = self._unsettled[0]
            if now <= first.done_at + SETTLE_SECONDS:
                return
            self._unsettled.popleft()
            length = first.length
            for paused in first.paused_by_stream.values():
                self.stats.record_stream(length, paused=paused)
