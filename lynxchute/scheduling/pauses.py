"""Statistics of how often a stream pauses too long while its engine reads a prompt."""

from __future__ import annotations

from bisect import bisect_right

import attrs

# Points at which the share of pausing streams is stored: prefill time divided by the
# maximum allowed pause. Values between them are interpolated.
LENGTH_POINTS = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0)
# Assumed until there are samples: no stream pauses too long during a prefill up to
# HARMLESS_LENGTH, because a pause is hardly longer than the prefill, and every stream
# does from HARMFUL_LENGTH on. The share rises linearly between them: an engine
# continues its streams between two chunks of a prompt, so only some of them pause too
# long. With 300 ms allowed and engines that read 13 to 20 tokens per ms, half of the
# prompts during which a stream paused too long had more than 22,400 tokens and one in
# ten fewer than 11,100; of the other prompts, nine in ten had fewer than 11,100.
HARMLESS_LENGTH = 0.9
HARMFUL_LENGTH = 3.0
# Weight of the prior, from other engines or the initial assumption, as a number of
# streams. It is small because engines differ by a factor of 1.3 and more, which a few
# streams reveal.
PRIOR_STREAMS = 4.0
# Number of streams after which the weight of old samples has decayed to a third: some
# seconds of traffic.
MEMORY_STREAMS = 60.0


def _default_share(length: float) -> float:
    return min(
        max((length - HARMLESS_LENGTH) / (HARMFUL_LENGTH - HARMLESS_LENGTH), 0.0), 1.0
    )


@attrs.define
class PauseStats:
    """The share of streams that pause too long during a prefill, by its length.

    Lengths are prefill times as multiples of the maximum allowed pause.

    Attributes
    ----------
    prior
        Statistics of all engines of the service; None if this object is those
        statistics.

    Examples
    --------
    >>> stats = PauseStats()
    >>> stats.share(0.5), stats.share(9.0)
    (0.0, 1.0)
    >>> for _ in range(40):
    ...     stats.record_stream(1.2, paused=True)
    >>> stats.share(1.2) > 0.8, stats.share(0.5)
    (True, 0.0)
    """

    prior: PauseStats | None = None
    _paused: list[float] = attrs.Factory(lambda: [0.0] * len(LENGTH_POINTS))
    _streams: list[float] = attrs.Factory(lambda: [0.0] * len(LENGTH_POINTS))

    def record_stream(self, length: float, *, paused: bool) -> None:
        """Record whether a stream paused during a prefill of a length."""
        for index, weight in _interpolation_weights(length):
            decay = 1.0 - weight / MEMORY_STREAMS
            self._streams[index] = self._streams[index] * decay + weight
            self._paused[index] *= decay
            if paused:
                self._paused[index] += weight
        if self.prior is not None:
            self.prior.record_stream(length, paused=paused)

    def share(self, length: float) -> float:
        """Return the share of streams that pause during a prefill of a length."""
        if length <= 0:
            return 0.0
        total = 0.0
        for index, weight in _interpolation_weights(length):
            total += weight * self._share_at(index)
        return total * min(length / LENGTH_POINTS[0], 1.0)

    def _share_at(self, index: int) -> float:
        if self.prior is not None:
            prior = self.prior._share_at(index)
        else:
            prior = _default_share(LENGTH_POINTS[index])
        streams = self._streams[index] + PRIOR_STREAMS
        return (self._paused[index] + PRIOR_STREAMS * prior) / streams


def _interpolation_weights(length: float) -> list[tuple[int, float]]:
    """Return the indices of the two points around a length, with their weights."""
    above = bisect_right(LENGTH_POINTS, length)
    if above == 0:
        return [(0, 1.0)]
    if above == len(LENGTH_POINTS):
        return [(above - 1, 1.0)]
    low, high = LENGTH_POINTS[above - 1], LENGTH_POINTS[above]
    share = (length - low) / (high - low)
    return [(above - 1, 1.0 - share), (above, share)]
