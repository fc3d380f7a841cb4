"""Limit the number of accepted connections."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

# While connections end to make room, this many more than the limit may be open, as a
# share of it.
EXCESS_SHARE = 0.1


class LimitedConnection(ABC):
    """An accepted connection."""

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Return whether no part of a request has arrived and none is served."""

    @property
    @abstractmethod
    def waiting_since(self) -> float | None:
        """Return since when it waits for its caller, in seconds; None if it doesn't."""

    @abstractmethod
    def end_waiting(self) -> None:
        """End the connection; refuse a request of which only a part has arrived."""


class ConnectionLimit:
    """Decide which connections stay open while there are more than a limit.

    A new connection takes the place of one that waits for its caller: of the idle one
    that has waited for longest, or else of one whose request is incomplete. Connections
    whose requests are served stay. If none waits, the new one is refused unread.

    Parameters
    ----------
    limit
        Returns the number of connections that may be open.
    on_end
        Called with a connection that ends to make room for another one.
    """

    def __init__(
        self,
        limit: Callable[[], int],
        on_end: Callable[[LimitedConnection], None] = lambda connection: None,
    ) -> None:
        self._limit = limit
        self._on_end = on_end
        self._open: set[LimitedConnection] = set()
        self._ending: set[LimitedConnection] = set()
        # Waiting connections as of some moment, each with the time since when it waits,
        # sorted so that the next one to end comes last.
        self._waiting: list[tuple[float, LimitedConnection]] = []

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def admit(self, connection: LimitedConnection) -> bool:
        """Count a new connection, if there is or can be room for it.

        Returns
        -------
        bool
            Whether it is admitted; otherwise it must be closed unread.
        """
        limit = self._limit()
        staying = len(self._open) - len(self._ending)
        if staying >= limit and not self._end_one():
            return False
        if len(self._open) >= limit * (1 + EXCESS_SHARE):
            return False
        self._open.add(connection)
        return True

    def discard(self, connection: LimitedConnection) -> None:
        """Stop counting a connection that is closed."""
        self._open.discard(connection)
        self._ending.discard(connection)

    def _end_one(self) -> bool:
        """End the connection that can best be spared; return whether there is one."""
        connection = self._take_waiting()
        if connection is None:
            self._waiting = self._find_waiting()
            connection = self._take_waiting()
        if connection is None:
            return False
        self._ending.add(connection)
        self._on_end(connection)
        connection.end_waiting()
        return True

    def _take_waiting(self) -> LimitedConnection | None:
        """Return the next connection that still waits as it did."""
        while self._waiting:
            since, connection = self._waiting.pop()
            if connection not in self._open or connection in self._ending:
                continue
            if connection.waiting_since == since:
                return connection
        return None

    def _find_waiting(self) -> list[tuple[float, LimitedConnection]]:
        found = []
        for connection in self._open:
            since = connection.waiting_since
            if since is not None and connection not in self._ending:
                found.append((not connection.is_idle, since, connection))
        found.sort(key=lambda item: item[:2], reverse=True)
        return [(since, connection) for _, since, connection in found]
