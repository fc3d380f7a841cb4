"""An upper bound on a router's use of a budget that grows with time."""

from __future__ import annotations

import attrs

# Milliseconds for which a limit line grows after it was written: longer than the
# longest store outage that the fleet must serve through, 12 seconds.
HORIZON_MS = 15_000
# Length of the initial phase of slow growth, in milliseconds. While the store answers,
# limit lines are rewritten within half a second of each reservation, and every second
# while tokens are unused. So a router that crashes and restarts within two seconds is
# still in this phase; only a router that is cut off from the store leaves it.
SLOW_PHASE_MS = 2_200


@attrs.frozen
class LimitLine:
    """Upper bound on a router's use, piecewise linear in the store's time.

    A fixed bound would have to be large to outlast an outage of the store,
    and all of it would be lost if its router crashed. This one grows, slowly
    at first: a router that crashes soon after it wrote the line loses little,
    and one that is cut off from the store may spend its whole grant.

    Attributes
    ----------
    base
        Bound at the start, in tokens.
    rate, outage_rate
        Growth of the bound in tokens per second, in the slow phase and after it.
    start_ms
        Start of the growth, in milliseconds on the store's clock.

    Examples
    --------
    >>> line = LimitLine(base=100, rate=10, outage_rate=100, start_ms=1000)
    >>> line.at(500), line.at(3000), line.at(4500), line.at(60_000)
    (100, 120, 252, 1402)
    """

    base: int
    rate: int
    outage_rate: int
    start_ms: int

    def at(self, now_ms: int) -> int:
        """Return the bound in tokens at a time on the store's clock."""
        age_ms = min(max(now_ms - self.start_ms, 0), HORIZON_MS)
        slow_ms = min(age_ms, SLOW_PHASE_MS)
        grown = self.rate * slow_ms + self.outage_rate * (age_ms - slow_ms)
        return self.base + grown // 1000

    @classmethod
    def flat(cls, base: int) -> LimitLine:
        """Return a constant bound."""
        return cls(base, 0, 0, 0)
