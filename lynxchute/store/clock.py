"""Estimates of the store's clock from the times in its answers."""

from __future__ import annotations

import attrs


@attrs.define
class StoreClock:
    """Estimate bounds on the store's current time.

    Each answer of the store carries its time. The store's clock advances while the
    answer travels, so the reported time plus the local monotonic time elapsed since
    the answer arrived is never ahead of the store's clock. Both clocks are
    monotonic; `DRIFT` bounds how far they drift apart between two answers.

    Attributes
    ----------
    last_reported_ms
        The latest time that the store has reported, in milliseconds.

    Examples
    --------
    >>> clock = StoreClock()
    >>> clock.observe(told_ms=1000, now=50.0)
    >>> clock.earliest_ms(50.5), clock.latest_ms(49.0)
    (1499, 0)
    """

    # Monotonic clocks of two machines differ by some 50 ppm; this is 20 times that.
    DRIFT = 0.001

    last_reported_ms: int = 0
    _offset_ms: float | None = None
    _observed_at: float = 0.0
    _first_reported_ms: int | None = None
    _first_asked_at: float = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether the store has reported its time at least once."""
        return self._offset_ms is not None

    def observe(
        self, *, told_ms: int, now: float, asked_at: float | None = None
    ) -> None:
        """Record the time that an answer reported.

        Parameters
        ----------
        told_ms
            The reported time on the store's clock, in milliseconds.
        now
            Seconds on the local monotonic clock, after the answer arrived.
        asked_at
            Seconds on the same clock, before the request was sent; None means `now`.
        """
        self.last_reported_ms = max(self.last_reported_ms, told_ms)
        if self._first_reported_ms is None:
            self._first_reported_ms = told_ms
            self._first_asked_at = now if asked_at is None else asked_at
        if self._offset_ms is not None and told_ms < self.earliest_ms(now):
            return
        self._offset_ms = told_ms - now * 1000.0
        self._observed_at = now

    def latest_ms(self, then: float) -> int:
        """Return an upper bound on the store's time at an earlier moment, or 0.

        Parameters
        ----------
        then
            Seconds on the local monotonic clock, before the request for the first
            answer was sent.
        """
        if self._first_reported_ms is None:
            return 0
        return self._first_reported_ms - int((self._first_asked_at - then) * 1000.0)

    def earliest_ms(self, now: float) -> int:
        """Return a lower bound on the store's time in milliseconds, or 0."""
        if self._offset_ms is None:
            return 0
        drift = (now - self._observed_at) * 1000.0 * self.DRIFT
        return int(now * 1000.0 + self._offset_ms - drift)
