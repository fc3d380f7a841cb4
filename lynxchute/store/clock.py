"""What is known of the store's clock."""

from __future__ import annotations

import attrs


@attrs.define
class StoreClock:
    """Bound the store's time from below, by the answers that told it.

    The store tells its time in its answers. By the time that an answer has
    arrived the store's clock has gone on, so that the told time plus what the
    own steady clock has counted since is never ahead of the store's. Both
    clocks are steady; over the seconds between two answers they do not drift
    apart by more than the margin.

    Examples
    --------
    >>> clock = StoreClock()
    >>> clock.observe(told_ms=1000, now=50.0)
    >>> clock.earliest_ms(50.5), clock.latest_ms(49.0)
    (1499, 0)
    """

    # Steady clocks of two computers differ by some 50 ppm; this is 20 times it.
    DRIFT = 0.001

    last_reported_ms: int = 0
    _offset_ms: float | None = None
    _observed_at: float = 0.0
    _first_told_ms: int | None = None
    _first_asked_at: float = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether the store has ever told its time."""
        return self._offset_ms is not None

    def observe(
        self, *, told_ms: int, now: float, asked_at: float | None = None
    ) -> None:
        """Take the time that an answer told.

        Parameters
        ----------
        told_ms
            Milliseconds on the store's clock.
        now
            Seconds on the own steady clock, when the answer had arrived.
        asked_at
            The same, before the question was sent.
        """
        self.last_reported_ms = max(self.last_reported_ms, told_ms)
        if self._first_told_ms is None:
            self._first_told_ms = told_ms
            self._first_asked_at = now if asked_at is None else asked_at
        if self._offset_ms is not None and told_ms < self.earliest_ms(now):
            return
        self._offset_ms = told_ms - now * 1000.0
        self._observed_at = now

    def latest_ms(self, then: float) -> int:
        """Return a time that the store's clock had not passed at a moment.

        Parameters
        ----------
        then
            Seconds on the own steady clock, before the first answer was asked
            for.
        """
        if self._first_told_ms is None:
            return 0
        return self._first_told_ms - int((self._first_asked_at - then) * 1000.0)

    def earliest_ms(self, now: float) -> int:
        """Return a time that the store's clock has reached for certain."""
        if self._offset_ms is None:
            return 0
        drift = (now - self._observed_at) * 1000.0 * self.DRIFT
        return int(now * 1000.0 + self._offset_ms - drift)
