"""Estimate the rate at which tokens are requested."""

from __future__ import annotations

import math

import attrs

# Time constant of the exponential decay, in seconds: short enough to follow a
# burst of a few seconds, long enough to cover several requests of a small account.
DECAY_SECONDS = 4.0
# Time constant with which the largest request decays, in seconds.
LARGEST_DECAY_SECONDS = 20.0


@attrs.define
class DemandEstimate:
    """An exponentially decaying token rate, and the largest recent request.

    Examples
    --------
    >>> demand = DemandEstimate()
    >>> for second in range(40):
    ...     demand.add(100, float(second))
    >>> 90 < demand.rate(39.0) < 130
    True
    """

    _weight: float = 0.0
    _updated_at: float = 0.0
    _largest: float = 0.0
    _largest_at: float = 0.0

    def add(self, tokens: int, now: float) -> None:
        """Record a request; `now` is in seconds."""
        self._weight = self._decayed_weight(now) + tokens
        self._updated_at = now
        if tokens >= self.largest(now):
            self._largest = float(tokens)
            self._largest_at = now

    def rate(self, now: float) -> float:
        """Return the recent rate, in tokens per second."""
        return self._decayed_weight(now) / DECAY_SECONDS

    def decayed_tokens(self, now: float) -> int:
        """Return the recent tokens, older ones weighted by their decay."""
        return int(self._decayed_weight(now))

    def largest(self, now: float) -> float:
        """Return the size of the largest recent request, in tokens."""
        age = max(now - self._largest_at, 0.0)
        return self._largest * math.exp(-age / LARGEST_DECAY_SECONDS)

    def _decayed_weight(self, now: float) -> float:
        return self._weight * math.exp(
            -max(now - self._updated_at, 0.0) / DECAY_SECONDS
        )
