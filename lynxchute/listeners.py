"""Calls of listeners that do not depend on one another, and limits of log lines."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import ParamSpec

import attrs
from absl import logging

from lynxchute.clock import steady_seconds

# Maximum log lines of one kind within the window, in seconds.
MAX_LINES = 20
WINDOW_SECONDS = 60.0

P = ParamSpec("P")


@attrs.define
class LogLimit:
    """Limit the log lines that one kind of invalid input causes.

    Parameters
    ----------
    clock
        Returns the time in seconds.

    Examples
    --------
    >>> limit = LogLimit(lambda: 0.0)
    >>> sum(limit.allows() for _ in range(1000)), limit.take_suppressed()
    (20, 980)
    """

    _clock: Callable[[], float] = steady_seconds
    _window_end: float = float("-inf")
    _lines: int = 0
    _suppressed: int = 0

    def allows(self) -> bool:
        """Count a line; return whether it may be logged."""
        now = self._clock()
        if now >= self._window_end:
            self._window_end = now + WINDOW_SECONDS
            self._lines = 0
        if self._lines >= MAX_LINES:
            self._suppressed += 1
            return False
        self._lines += 1
        return True

    def take_suppressed(self) -> int:
        """Return the number of lines left out since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


_failures = LogLimit()


def notify(
    listeners: Iterable[Callable[P, object]], *args: P.args, **kwargs: P.kwargs
) -> None:
    """Call all listeners in turn; one that raises does not keep the next from running.

    Examples
    --------
    >>> called = []
    >>> notify([called.append, called.append], 1)
    >>> called
    [1, 1]
    """
    for listener in listeners:
        try:
            listener(*args, **kwargs)
        except Exception:
            if _failures.allows():
                name = getattr(listener, "__qualname__", repr(listener))
                logging.exception("listener %s failed", name)
