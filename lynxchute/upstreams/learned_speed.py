"""Two estimators of upstream speed, both fed with the duration of completed work."""

from __future__ import annotations

import math
import statistics
from collections import deque

import attrs

from lynxchute.upstreams.speed import SpeedEstimator

# Bounds of the slowness. The upper bound keeps a few requests going to a slow upstream,
# because only new requests can show that it has recovered.
MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 16.0
# Samples in the long-term median, and the fewest for which it is calculated.
SAMPLE_WINDOW = 15
MIN_SAMPLES = 5
# Half-life of the long-term estimate while no samples arrive, in seconds.
LONG_TERM_HALF_LIFE = 5.0
# Seconds without a sample after which earlier samples are discarded.
SAMPLE_EXPIRY_SECONDS = 10.0
# Half-life of the short-term deviation, in seconds. Callers of plain services wait a
# few tenths of a second, and would be late if an upstream were avoided for much longer
# than it is slow.
SHORT_TERM_HALF_LIFE = 0.25
# Weight of the newest sample in the short-term average.
NEWEST_WEIGHT = 0.6


def slowdown_ratio(typical_seconds: float, seconds: float) -> float | None:
    """Return a duration as a multiple of the typical one; None if that is unknown.

    Examples
    --------
    >>> slowdown_ratio(0.02, 0.05)
    2.5
    >>> slowdown_ratio(0.0, 0.05) is None
    True
    """
    if not (math.isfinite(typical_seconds) and math.isfinite(seconds)):
        return None
    if typical_seconds <= 0 or seconds < 0:
        return None
    return clamp_ratio(seconds / typical_seconds)


def clamp_ratio(ratio: float) -> float:
    """Clamp a ratio to the range from `MIN_SLOWNESS` to `MAX_SLOWNESS`."""
    return min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)


@attrs.define
class _History:
    """Samples and estimates of one upstream.

    Attributes
    ----------
    ratios
        The most recent ratios.
    long_term
        Their median.
    short_term
        Moving average that follows the newest ratios.
    updated_at
        When the last ratio was recorded, in seconds.
    """

    ratios: deque[float] = attrs.Factory(lambda: deque(maxlen=SAMPLE_WINDOW))
    long_term: float = 1.0
    short_term: float = 1.0
    updated_at: float = 0.0

    def long_term_now(self, now: float) -> float:
        """Return the long-term estimate, decayed towards 1 since the last sample."""
        passed = max(now - self.updated_at, 0.0)
        return float(
            1.0 + (self.long_term - 1.0) * 0.5 ** (passed / LONG_TERM_HALF_LIFE)
        )

    def slowness(self, now: float) -> float:
        """Return the long-term estimate plus the decayed short-term deviation."""
        passed = max(now - self.updated_at, 0.0)
        long_term = self.long_term_now(now)
        decay = 0.5 ** (passed / SHORT_TERM_HALF_LIFE)
        return clamp_ratio(
            float(long_term + (self.short_term - self.long_term) * decay)
        )


class TwoTimescaleSpeeds(SpeedEstimator):
    """Combine a median for lasting differences with a short-term average.

    It suits upstreams that differ in speed permanently and also become slow for
    fractions of a second: a call must not wait for such a slow period to end, and the
    upstream must get its share of calls again soon after it.

    Examples
    --------
    >>> speeds = TwoTimescaleSpeeds()
    >>> speeds.record("i-1", 0.02, 0.06, 10.0)
    >>> round(speeds.slowness("i-1", 10.0), 1), round(speeds.slowness("i-1", 12.0), 1)
    (2.2, 1.0)
    """

    def __init__(self) -> None:
        self._history_by_id: dict[str, _History] = {}

    def record(
        self, upstream_id: str, typical_seconds: float, seconds: float, now: float
    ) -> None:
        """Record how long an upstream took for a piece of work."""
        ratio = slowdown_ratio(typical_seconds, seconds)
        if ratio is None or not math.isfinite(now):
            return
        history = self._history_by_id.setdefault(upstream_id, _History(updated_at=now))
        if now - history.updated_at > SAMPLE_EXPIRY_SECONDS:
            history.ratios.clear()
            history.long_term = 1.0
        before = history.slowness(now)
        history.ratios.append(ratio)
        history.updated_at = max(history.updated_at, now)
        history.short_term = before + NEWEST_WEIGHT * (ratio - before)
        if len(history.ratios) >= MIN_SAMPLES:
            history.long_term = statistics.median(history.ratios)

    def slowness(self, upstream_id: str, now: float) -> float:
        """Return the present response time as a multiple of the typical one."""
        history = self._history_by_id.get(upstream_id)
        if history is None or not math.isfinite(now):
            return 1.0
        return history.slowness(now)

    def discard_upstream(self, upstream_id: str) -> None:
        """Drop all samples of an upstream whose process has restarted."""
        self._history_by_id.pop(upstream_id, None)


# Threshold and slack of the CUSUM detector, as logarithms of ratios: a change is
# detected when the deviations beyond the slack add up to the threshold.
CHANGE_THRESHOLD = 0.8
CHANGE_SLACK = 0.25


@attrs.define
class _Detector:
    """Cumulative sums (CUSUM) of one upstream and their reference level.

    Attributes
    ----------
    level
        Logarithm of the present slowness.
    above, below
        Cumulative deviations above and below the level.
    recent
        Samples since the sums were last 0.
    """

    level: float = 0.0
    above: float = 0.0
    below: float = 0.0
    recent: deque[float] = attrs.Factory(lambda: deque(maxlen=SAMPLE_WINDOW))
    updated_at: float = 0.0

    def level_now(self, now: float) -> float:
        """Return the level, decayed towards 0 since the last sample."""
        passed = max(now - self.updated_at, 0.0)
        return float(self.level * 0.5 ** (passed / LONG_TERM_HALF_LIFE))

    def record(self, value: float) -> None:
        """Record the logarithm of a ratio; set a new level if a change is detected."""
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


class ChangeDetector(SpeedEstimator):
    """Keep one level for each upstream and change it when the samples leave it.

    It serves the same purpose as `TwoTimescaleSpeeds` with fewer changes of the
    estimate: a single piece of work that took a little longer changes nothing.

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
        """Record how long an upstream took for a piece of work."""
        ratio = slowdown_ratio(typical_seconds, seconds)
        if ratio is None or not math.isfinite(now):
            return
        detector = self._detector_by_id.setdefault(
            upstream_id, _Detector(updated_at=now)
        )
        detector.level = detector.level_now(now)
        detector.updated_at = max(detector.updated_at, now)
        detector.record(math.log(ratio))

    def slowness(self, upstream_id: str, now: float) -> float:
        """Return the present response time as a multiple of the typical one."""
        detector = self._detector_by_id.get(upstream_id)
        if detector is None or not math.isfinite(now):
            return 1.0
        return clamp_ratio(math.exp(detector.level_now(now)))

    def discard_upstream(self, upstream_id: str) -> None:
        """Drop all samples of an upstream whose process has restarted."""
        self._detector_by_id.pop(upstream_id, None)
