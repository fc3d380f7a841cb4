"""Learn from finished work how fast upstreams are, in two ways."""

from __future__ import annotations

import math
import statistics
from collections import deque

import attrs

from lynxchute.upstreams.speed import Speeds

# An upstream that is ever so slow or fast counts no more than this: one that nobody
# sends to is found well again only by trying it.
MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 16.0
# Pieces of work that the long memory holds, and the fewest that it speaks from.
LONG_MEMORY = 15
LEAST_TELLING = 5
# Seconds in which what lasts is half forgotten while nothing new is seen.
LASTING_HALVING = 5.0
# Seconds without work after which what was seen before tells nothing.
FORGOTTEN_AFTER = 10.0
# The same for what passes: callers of calls wait a few tenths of a second, and are
# late with an upstream that is passed over for much longer than it is slow.
PASSING_HALVING = 0.25
# Weight of the newest piece in the short memory.
NEWEST_WEIGHT = 0.6


def ratio_of(typical_seconds: float, seconds: float) -> float | None:
    """Return how many times as long as usual work took; None where that is unknown.

    Examples
    --------
    >>> ratio_of(0.02, 0.05)
    2.5
    >>> ratio_of(0.0, 0.05) is None
    True
    """
    if not (math.isfinite(typical_seconds) and math.isfinite(seconds)):
        return None
    if typical_seconds <= 0 or seconds < 0:
        return None
    return bounded(seconds / typical_seconds)


def bounded(ratio: float) -> float:
    """Return a ratio within what an upstream counts for."""
    return min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)


@attrs.define
class _Memory:
    """What is known of one upstream.

    Attributes
    ----------
    ratios
        The last ones seen.
    lasting
        Their median.
    passing
        What the newest ones come to.
    noted_at
        When the last one was seen, in seconds.
    """

    ratios: deque[float] = attrs.Factory(lambda: deque(maxlen=LONG_MEMORY))
    lasting: float = 1.0
    passing: float = 1.0
    noted_at: float = 0.0

    def lasting_now(self, now: float) -> float:
        """Return what lasts, less what time has made of it."""
        passed = max(now - self.noted_at, 0.0)
        return float(1.0 + (self.lasting - 1.0) * 0.5 ** (passed / LASTING_HALVING))

    def slowness(self, now: float) -> float:
        """Return what lasts, with what has not passed yet."""
        passed = max(now - self.noted_at, 0.0)
        lasting = self.lasting_now(now)
        left = 0.5 ** (passed / PASSING_HALVING)
        return bounded(float(lasting + (self.passing - self.lasting) * left))


class TwoTimescaleSpeeds(Speeds):
    """Keep a median for what lasts, and a short memory for what passes.

    It answers upstreams that work at different speeds for good and that each turn slow
    for fractions of a second: a call must not wait behind such a time, nor may an
    upstream go without its part for long after it.

    Examples
    --------
    >>> speeds = TwoTimescaleSpeeds()
    >>> speeds.record("i-1", 0.02, 0.06, 10.0)
    >>> round(speeds.slowness("i-1", 10.0), 1), round(speeds.slowness("i-1", 12.0), 1)
    (2.2, 1.0)
    """

    def __init__(self) -> None:
        self._memory_by_id: dict[str, _Memory] = {}

    def record(
        self, upstream_id: str, typical_seconds: float, seconds: float, now: float
    ) -> None:
        """Take how long an upstream took for a piece of work."""
        ratio = ratio_of(typical_seconds, seconds)
        if ratio is None or not math.isfinite(now):
            return
        memory = self._memory_by_id.setdefault(upstream_id, _Memory(noted_at=now))
        if now - memory.noted_at > FORGOTTEN_AFTER:
            memory.ratios.clear()
            memory.lasting = 1.0
        before = memory.slowness(now)
        memory.ratios.append(ratio)
        memory.noted_at = max(memory.noted_at, now)
        memory.passing = before + NEWEST_WEIGHT * (ratio - before)
        if len(memory.ratios) >= LEAST_TELLING:
            memory.lasting = statistics.median(memory.ratios)

    def slowness(self, upstream_id: str, now: float) -> float:
        """Return how many times as long as usual an upstream takes now."""
        memory = self._memory_by_id.get(upstream_id)
        if memory is None or not math.isfinite(now):
            return 1.0
        return memory.slowness(now)

    def discard_upstream(self, upstream_id: str) -> None:
        """Keep nothing of an upstream whose process has started again."""
        self._memory_by_id.pop(upstream_id, None)


# What the detector sums up beyond before it takes a change as one, and how much longer
# than usual, as a logarithm, a piece must take to add to that sum.
CHANGE_THRESHOLD = 0.8
CHANGE_SLACK = 0.25


@attrs.define
class _Detector:
    """One upstream's cumulative sums, and the level that they are taken against.

    Attributes
    ----------
    level
        The logarithm of how much longer than usual it takes.
    above, below
        Sums of what has been longer and shorter than the level.
    recent
        The pieces since the sums were last 0.
    """

    level: float = 0.0
    above: float = 0.0
    below: float = 0.0
    recent: deque[float] = attrs.Factory(lambda: deque(maxlen=LONG_MEMORY))
    noted_at: float = 0.0

    def level_now(self, now: float) -> float:
        """Return the level, less what time has made of it."""
        passed = max(now - self.noted_at, 0.0)
        return float(self.level * 0.5 ** (passed / LASTING_HALVING))

    def record(self, value: float) -> None:
        """Take the logarithm of a piece; move the level where it has changed."""
        self.above = max(self.above + value - self.level - CHANGE_SLACK, 0.0)
        self.below = max(self.below + self.level - value - CHANGE_SLACK, 0.0)
        if not self.above and not self.below:
            self.recent.clear()
            return
        self.recent.append(value)
        if max(self.above, self.below) < CHANGE_THRESHOLD:
            return
        self.level = statistics.median(self.recent)
        self.above = self.below = 0.0
        self.recent.clear()


class ChangeDetector(Speeds):
    """Take one level for each upstream, and move it when the pieces leave it.

    It answers the same load as `TwoMemories` with fewer moves: a single piece that took
    a little longer changes nothing.

    Examples
    --------
    >>> speeds = ChangeDetector()
    >>> for _ in range(3):
    ...     speeds.record("i-1", 0.02, 0.06, 10.0)
    >>> round(speeds.slowness("i-1", 10.0), 1)
    3.0
    """

    def __init__(self) -> None:
        self._detector_by_id: dict[str, _Detector] = {}

    def record(
        self, upstream_id: str, typical_seconds: float, seconds: float, now: float
    ) -> None:
        """Take how long an upstream took for a piece of work."""
        ratio = ratio_of(typical_seconds, seconds)
        if ratio is None or not math.isfinite(now):
            return
        detector = self._detector_by_id.setdefault(upstream_id, _Detector(noted_at=now))
        detector.level = detector.level_now(now)
        detector.noted_at = max(detector.noted_at, now)
        detector.record(math.log(ratio))

    def slowness(self, upstream_id: str, now: float) -> float:
        """Return how many times as long as usual an upstream takes now."""
        detector = self._detector_by_id.get(upstream_id)
        if detector is None or not math.isfinite(now):
            return 1.0
        return bounded(math.exp(detector.level_now(now)))

    def discard_upstream(self, upstream_id: str) -> None:
        """Keep nothing of an upstream whose process has started again."""
        self._detector_by_id.pop(upstream_id, None)
