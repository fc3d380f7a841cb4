"""What an engine has read of late, beside whom, and who paused meanwhile."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import attrs

from lynxchute.scheduling.pauses import PauseRecord
from lynxchute.scheduling.reading_speed import ReadingSpeed

# Seconds after a reading until its streams' pauses are known: an event that was
# held up by it, and the news of that.
SETTLE_SECONDS = 0.6
# Readings that are remembered; those of some seconds at the highest rates.
MAX_READINGS = 100
# Seconds over which the readings of an engine fade from the rate of pauses: long enough
# to see some long prompts on one of six engines that get eight a second, short enough
# to follow a burst.
RATE_SECONDS = 8.0
# Seconds for which a rate that was worked out is used again.
RATE_AGE_SECONDS = 0.25


@attrs.define(eq=False)
class Reading:
    """A prompt that an engine reads, and who streams meanwhile.

    Attributes
    ----------
    at
        When it was sent, in seconds.
    waiting, tokens
        Tokens to read before it, and those of its own.
    until
        When it should be over, in seconds.
    paused_by_stream
        Whether each stream beside it has paused for too long since it began.
    """

    at: float
    waiting: float
    tokens: int
    length: float
    share: float
    until: float
    paused_by_stream: dict[str, bool]


class PauseWatch:
    """Learn how the streams of one engine with one longest pause fare.

    Parameters
    ----------
    prior
        What was seen at all engines.
    speed
        How fast the engine reads.
    limit_ms
        The longest pause that is on time, in milliseconds.
    """

    def __init__(
        self, prior: PauseRecord, speed: ReadingSpeed, limit_ms: float
    ) -> None:
        self.record = PauseRecord(prior)
        self._speed = speed
        self._limit_ms = limit_ms
        self._unsettled: deque[Reading] = deque(maxlen=MAX_READINGS)
        self._recent: deque[Reading] = deque(maxlen=MAX_READINGS)
        self._rate = 0.0
        self._rate_at = -RATE_AGE_SECONDS

    def added_share(self, waiting: float, tokens: float) -> float:
        """Return how many more of the streams pause with something to read.

        Parameters
        ----------
        waiting
            Tokens that are still read before that. What has been read is past:
            whoever has not paused beside it will not.
        tokens
            Its own.
        """
        before = self.record.share(self._length(waiting))
        after = self.record.share(self._length(waiting + tokens))
        return max(after - before, 0.0)

    def rate(self, now: float) -> float:
        """Return how often a stream here pauses for too long, in pauses a second."""
        if now - self._rate_at < RATE_AGE_SECONDS:
            return self._rate
        weight = 0.0
        for reading in self._recent:
            share = reading.share
            weight += share * math.exp((reading.at - now) / RATE_SECONDS)
        self._rate, self._rate_at = weight / RATE_SECONDS, now
        return self._rate

    def add(
        self, waiting: float, tokens: int, streams: Iterable[str], now: float
    ) -> None:
        """Note that a prompt is to be read.

        Parameters
        ----------
        waiting
            Tokens that are still read before it.
        streams
            The runs beside it that have not paused for too long yet.
        """
        self._settle(now)
        until = now + self._speed.reading_ms(waiting + tokens) / 1000.0
        beside = dict.fromkeys(streams, False)
        share = self.added_share(waiting, tokens)
        reading = Reading(
            now, waiting, tokens, self._length(tokens), share, until, beside
        )
        self._unsettled.append(reading)
        self._recent.append(reading)

    def record_first_event(self, stream: str, now: float) -> None:
        """Note that a run has become a stream, beside what is read just now."""
        for reading in self._unsettled:
            if now < reading.until:
                reading.paused_by_stream[stream] = False

    def note_pause(self, stream: str, now: float) -> None:
        """Note that a stream has paused for too long."""
        self._settle(now)
        beside = [r for r in self._unsettled if stream in r.paused_by_stream]
        if not beside:
            return
        # The largest one is the likeliest cause; the others tell nothing.
        largest = max(beside, key=lambda reading: reading.tokens)
        for reading in beside:
            if reading is not largest:
                del reading.paused_by_stream[stream]
        largest.paused_by_stream[stream] = True

    def _length(self, tokens: float) -> float:
        return self._speed.reading_ms(tokens) / self._limit_ms

    def _settle(self, now: float) -> None:
        while self._unsettled:
            first = self._unsettled[0]
            if now <= first.until + SETTLE_SECONDS:
                return
            self._unsettled.popleft()
            length = first.length
            for paused in first.paused_by_stream.values():
                self.record.note(length, paused=paused)
