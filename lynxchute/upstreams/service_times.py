"""How long calls of plain services have taken of late."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container

import attrs

from lynxchute.upstreams.speed import Speeds

# Calls that are remembered for each route, and for each upstream.
REMEMBERED = 64
# The fewest calls that tell what is usual, and those that tell of the longest ones.
LEAST_USUAL = 5
LEAST_FOR_QUANTILE = 20
# Routes whose calls are remembered; a configuration may have thousands.
MAX_ROUTES = 256
# Seconds below which a call tells of the clock and not of the upstream.
LEAST_SECONDS = 0.0002


@attrs.define
class _Recent:
    """The last times of calls, in seconds."""

    times: deque[float] = attrs.Factory(lambda: deque(maxlen=REMEMBERED))
    _sorted: list[float] | None = None

    def record(self, seconds: float) -> None:
        """Take one more."""
        self.times.append(seconds)
        self._sorted = None

    def quantile(self, share: float) -> float:
        """Return the time that this share of the calls kept to; there is one."""
        if self._sorted is None:
            self._sorted = sorted(self.times)
        last = len(self._sorted) - 1
        return self._sorted[min(int(share * len(self._sorted)), last)]


class ServiceTimes:
    """Keep what calls took, from their first byte to the head of their answer.

    Parameters
    ----------
    speeds
        Is told how much longer than usual each call took.
    """

    def __init__(self, speeds: Speeds) -> None:
        self.speeds = speeds
        self._by_route: dict[tuple[str, str], _Recent] = {}
        self._by_upstream: dict[str, _Recent] = {}

    def record(
        self, service: str, route: str, upstream_id: str, seconds: float, now: float
    ) -> None:
        """Take how long an upstream took for a call that it served."""
        if not math.isfinite(seconds) or seconds < 0:
            return
        seconds = max(seconds, LEAST_SECONDS)
        median_latency = self.median_latency(service, route)
        recent = self._by_route.pop((service, route), None) or _Recent()
        while len(self._by_route) >= MAX_ROUTES:
            del self._by_route[next(iter(self._by_route))]
        # Used last, dropped last.
        self._by_route[service, route] = recent
        recent.record(seconds)
        self._by_upstream.setdefault(upstream_id, _Recent()).record(seconds)
        if median_latency is not None:
            self.speeds.record(upstream_id, median_latency, seconds, now)

    def record_abort(
        self, upstream_id: str, typical_seconds: float, waited: float, now: float
    ) -> None:
        """Take a call that was broken off before its answer came.

        It tells of a slow upstream where it has waited for longer than that usually
        takes, and of nothing otherwise.
        """
        if typical_seconds > 0 and waited > typical_seconds * self.speeds.slowness(
            upstream_id, now
        ):
            self.speeds.record(upstream_id, typical_seconds, waited, now)

    def median_latency(self, service: str, route: str) -> float | None:
        """Return what calls of a route take usually, in seconds; None if not known."""
        recent = self._by_route.get((service, route))
        if recent is None or len(recent.times) < LEAST_USUAL:
            return None
        return recent.quantile(0.5)

    def latency_quantile(self, upstream_id: str, share: float) -> float | None:
        """Return the seconds that this share of an upstream's calls kept to.

        None while too few are known.
        """
        recent = self._by_upstream.get(upstream_id)
        if recent is None or len(recent.times) < LEAST_FOR_QUANTILE:
            return None
        return recent.quantile(share)

    def has_samples(self, upstream_id: str) -> bool:
        """Return whether an upstream has served calls of this router."""
        return upstream_id in self._by_upstream

    def discard_upstream(self, upstream_id: str) -> None:
        """Keep nothing of an upstream whose process has started again."""
        self._by_upstream.pop(upstream_id, None)
        self.speeds.discard_upstream(upstream_id)

    def keep_only(self, upstream_ids: Container[str]) -> None:
        """Forget the upstreams that are gone."""
        for upstream_id in list(self._by_upstream):
            if upstream_id not in upstream_ids:
                self.discard_upstream(upstream_id)
