"""Estimate how fast slots of upstreams become free."""

from __future__ import annotations

import math

# Time constant in seconds of the moving average. Upstreams work on a request for up to
# some seconds, and callers wait no longer, so older samples predict nothing for them.
DECAY_SECONDS = 2.0


class DrainRate:
    """Estimate the slots that become free per second, as a moving average.

    Parameters
    ----------
    initial_rate
        Initial estimate, used until there are samples.
    """

    def __init__(self, initial_rate: float) -> None:
        self._initial_rate = initial_rate
        self._count = 0.0
        self._updated_at = 0.0
        self._first_at: float | None = None

    def record_slot_freed(self, now: float) -> None:
        """Record that a slot has become free."""
        if self._first_at is None:
            self._first_at = now
        self._count = self._decayed_count(now) + 1.0
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return the estimated slots per second.

        The weight of the initial estimate decays with the time since the first sample.
        """
        if self._first_at is None:
            return self._initial_rate
        observed = 1.0 - math.exp(-max(now - self._first_at, 0.0) / DECAY_SECONDS)
        rate = self._decayed_count(now) / DECAY_SECONDS
        return rate + self._initial_rate * (1.0 - observed)

    def _decayed_count(self, now: float) -> float:
        return self._count * math.exp(-max(now - self._updated_at, 0.0) / DECAY_SECONDS)
