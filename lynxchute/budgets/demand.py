"""Estimate how many tokens a second are asked for."""

from __future__ import annotations

import math

import attrs

# Seconds over which the past fades: short enough to follow a burst of a few
# seconds, long enough to see several requests of a small account.
MEMORY = 4.0
# Seconds over which the largest request fades.
LARGEST_MEMORY = 20.0


@attrs.define
class Demand:
    """A running rate of tokens, and the largest request of late.

    Examples
    --------
    >>> demand = Demand()
    >>> for second in range(40):
    ...     demand.add(100, float(second))
    >>> 90 < demand.rate(39.0) < 130
    True
    """

    _weight: float = 0.0
    _at: float = 0.0
    _largest: float = 0.0
    _largest_at: float = 0.0

    def add(self, tokens: int, now: float) -> None:
        """Take a request; `now` is in seconds."""
        self._weight = self._faded(now) + tokens
        self._at = now
        if tokens >= self.largest(now):
            self._largest = float(tokens)
            self._largest_at = now

    def rate(self, now: float) -> float:
        """Return the tokens a second of late."""
        return self._faded(now) / MEMORY

    def weight(self, now: float) -> int:
        """Return the tokens of late, the older ones in part."""
        return int(self._faded(now))

    def largest(self, now: float) -> float:
        """Return the size of the largest request of late, in tokens."""
        age = max(now - self._largest_at, 0.0)
        return self._largest * math.exp(-age / LARGEST_MEMORY)

    def _faded(self, now: float) -> float:
        return self._weight * math.exp(-max(now - self._at, 0.0) / MEMORY)
