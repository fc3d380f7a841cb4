"""A bound on a router's use of a budget that grows with time."""

from __future__ import annotations

import attrs

# Milliseconds that a line grows after it was written: longer than the longest
# outage that the fleet is meant to serve through, twelve seconds.
HORIZON_MS = 15_000
# Milliseconds for which it grows slowly. While the store answers, lines are
# written anew with each reservation, so that a router which dies and is back
# within two seconds has not come past this; a router that has is cut off.
SLOW_MS = 2_200


@attrs.frozen
class Line:
    """Say what a router has used at most, at each moment of the store's time.

    A fixed bound would have to be large to outlast an outage of the store,
    and all of it would be lost with its router. This one grows, slowly at
    first: a router that dies soon after it wrote the line loses little, and
    one that is cut off may spend all that it was granted.

    Attributes
    ----------
    base
        Tokens at the start.
    rate, late_rate
        Tokens a second by which the bound grows, at first and then.
    start_ms
        Where it starts, on the store's clock.

    Examples
    --------
    >>> line = Line(base=100, rate=10, outage_rate=100, start_ms=1000)
    >>> line.at(500), line.at(3000), line.at(4500), line.at(60_000)
    (100, 120, 252, 1402)
    """

    base: int
    rate: int
    outage_rate: int
    start_ms: int

    def at(self, now_ms: int) -> int:
        """Return the bound at a moment."""
        age_ms = min(max(now_ms - self.start_ms, 0), HORIZON_MS)
        slow_ms = min(age_ms, SLOW_MS)
        grown = self.rate * slow_ms + self.outage_rate * (age_ms - slow_ms)
        return self.base + grown // 1000

    @classmethod
    def flat(cls, base: int) -> Line:
        """Return a bound that does not grow."""
        return cls(base, 0, 0, 0)
