"""A bound on a router's use of a budget that grows with time."""

from __future__ import annotations

import attrs


@attrs.frozen
class Line:
    """Say what a router has used at most, at each moment of the store's time.

    A fixed bound would have to be large to outlast an outage of the store,
    and all of it would be lost with its router. This one grows: a router that
    dies soon after it wrote the line loses little, and one that is cut off
    may go on spending at the line's rate.

    Attributes
    ----------
    base
        Tokens at the start.
    rate
        Tokens a second by which the bound grows.
    start_ms
        Where it starts, on the store's clock.
    horizon_ms
        How long it grows.

    Examples
    --------
    >>> line = Line(base=100, rate=10, start_ms=1000, horizon_ms=5000)
    >>> line.at(500), line.at(3000), line.at(60_000)
    (100, 120, 150)
    """

    base: int
    rate: int
    start_ms: int
    horizon_ms: int

    def at(self, now_ms: int) -> int:
        """Return the bound at a moment."""
        grown_ms = min(max(now_ms - self.start_ms, 0), self.horizon_ms)
        return self.base + self.rate * grown_ms // 1000

    @property
    def most(self) -> int:
        """Return what the bound never passes."""
        return self.base + self.rate * self.horizon_ms // 1000
