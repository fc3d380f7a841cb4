"""Recent response times of plain services."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container

import attrs

from lynxchute.upstreams.speed import SpeedEstimator

# Samples kept for each route, and for each upstream.
MAX_SAMPLES = 64
# Minimum number of samples for the median of a route, and for a quantile of an
# upstream.
MIN_SAMPLES_FOR_MEDIAN = 5
MIN_SAMPLES_FOR_QUANTILE = 20
# Routes with samples; a configuration may have thousands of routes.
MAX_ROUTES = 256
# Shorter times reflect the resolution of the clock and not the upstream.
MIN_SECONDS = 0.0002


@attrs.define
class _Samples:
    """The most recent response times, in seconds."""

    times: deque[float] = attrs.Factory(lambda: deque(maxlen=MAX_SAMPLES))
    _sorted: list[float] | None = None

    def record(self, seconds: float) -> None:
        """Add a response time."""
        self.times.append(seconds)
        self._sorted = None

    def quantile(self, share: float) -> float:
        """Return a quantile of the samples; there must be at least one."""
        if self._sorted is None:
            self._sorted = sorted(self.times)
        last = len(self._sorted) - 1
        return self._sorted[min(int(share * len(self._sorted)), last)]


class ServiceTimes:
    """Record the time of calls from their first byte to the head of their response.

    Parameters
    ----------
    speeds
        Receives each call's time together with the typical time of its route.
    """

    def __init__(self, speeds: SpeedEstimator) -> None:
        self.speeds = speeds
        self._by_route: dict[tuple[str, str], _Samples] = {}
        self._by_upstream: dict[str, _Samples] = {}

    def record(
        self, service: str, route: str, upstream_id: str, seconds: float, now: float
    ) -> None:
        """Record the response time of a call that an upstream has served."""
        if not math.isfinite(seconds) or seconds < 0:
            return
        seconds = max(seconds, MIN_SECONDS)
        median_latency = self.median_latency(service, route)
        samples = self._by_route.pop((service, route), None) or _Samples()
        while len(self._by_route) >= MAX_ROUTES:
            del self._by_route[next(iter(self._by_route))]
        # Reinsert the route, so that the least recently used one is dropped first.
        self._by_route[service, route] = samples
        samples.record(seconds)
        self._by_upstream.setdefault(upstream_id, _Samples()).record(seconds)
        if median_latency is not None:
            self.speeds.record(upstream_id, median_latency, seconds, now)

    def record_abort(
        self,
        upstream_id: str,
        typical_seconds: float,
        waited_seconds: float,
        now: float,
    ) -> None:
        """Record a call that was aborted before its response arrived.

        It is evidence of a slow upstream if it waited for longer than calls usually
        take there, and carries no information otherwise.
        """
        if (
            typical_seconds > 0
            and waited_seconds
            > typical_seconds * self.speeds.slowness(upstream_id, now)
        ):
            self.speeds.record(upstream_id, typical_seconds, waited_seconds, now)

    def median_latency(self, service: str, route: str) -> float | None:
        """Return the median time of a route's calls in seconds; None if unknown."""
        samples = self._by_route.get((service, route))
        if samples is None or len(samples.times) < MIN_SAMPLES_FOR_MEDIAN:
            return None
        return samples.quantile(0.5)

    def latency_quantile(self, upstream_id: str, share: float) -> float | None:
        """Return a quantile of an upstream's response times, in seconds.

        Return None while there are too few samples.
        """
        samples = self._by_upstream.get(upstream_id)
        if samples is None or len(samples.times) < MIN_SAMPLES_FOR_QUANTILE:
            return None
        return samples.quantile(share)

    def has_samples(self, upstream_id: str) -> bool:
        """Return whether an upstream has served calls of this router."""
        return upstream_id in self._by_upstream

    def discard_upstream(self, upstream_id: str) -> None:
        """Drop all samples of an upstream whose process has restarted."""
        self._by_upstream.pop(upstream_id, None)
        self.speeds.discard_upstream(upstream_id)

    def prune(self, upstream_ids: Container[str]) -> None:
        """Drop the samples of all other upstreams."""
        for upstream_id in list(self._by_upstream):
            if upstream_id not in upstream_ids:
                self.discard_upstream(upstream_id)
