"""Limits the time for which messages in very small parts keep the event loop busy."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.clock import steady_seconds

# Protocol events of one message that are parsed before other work gets its turn. Only
# messages in very small chunks have more of them at a time.
MAX_EVENTS = 500
# Seconds between two turns of all such messages together; one takes about half of that.
TURN_SECONDS = 0.02


class ParsingTurns:
    """Deals out turns to messages whose parts are too many to be parsed at once.

    Parameters
    ----------
    clock
        Monotonic clock in seconds.

    Examples
    --------
    >>> turns = ParsingTurns(lambda: 0.0)
    >>> [turns.reserve(), turns.reserve()]
    [0.02, 0.04]
    """

    def __init__(self, clock: Callable[[], float] = steady_seconds) -> None:
        self._clock = clock
        self._next_at = 0.0

    def reserve(self) -> float:
        """Return the seconds until the next part of a message may be parsed."""
        now = self._clock()
        self._next_at = max(self._next_at, now) + TURN_SECONDS
        return self._next_at - now


# Shared by all connections, since they share the event loop.
PROCESS_TURNS = ParsingTurns()
