"""How fast places at upstreams become free, as seen of late."""

from __future__ import annotations

import math

# Time constant in seconds: upstreams' work lasts up to some seconds, and callers wait
# no longer, so that older ends tell nothing of what they may expect.
FADE_SECONDS = 2.0


class DrainRate:
    """Learn the places a second that become free from when they do.

    Parameters
    ----------
    per_second
        What is believed before anything was seen.
    """

    def __init__(self, per_second: float) -> None:
        self._guess = per_second
        self._count = 0.0
        self._at = 0.0
        self._begun_at: float | None = None

    def record_freed(self, now: float) -> None:
        """Note a place that has become free."""
        if self._begun_at is None:
            self._begun_at = now
        self._count = self._faded(now) + 1.0
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the places a second; the guess counts while little was seen."""
        if self._begun_at is None:
            return self._guess
        seen = 1.0 - math.exp(-max(now - self._begun_at, 0.0) / FADE_SECONDS)
        rate = self._faded(now) / FADE_SECONDS
        return rate + self._guess * (1.0 - seen)

    def _faded(self, now: float) -> float:
        return self._count * math.exp(-max(now - self._at, 0.0) / FADE_SECONDS)
