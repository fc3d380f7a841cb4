"""How long the answers of each route take."""

from __future__ import annotations

from collections import deque

# Answers of a route that are remembered, and routes.
MAX_ANSWERS = 64
MAX_ROUTES = 1000


class AnswerDurations:
    """Remembers how long the latest answers of each route took.

    Examples
    --------
    >>> durations = AnswerDurations()
    >>> for seconds in (0.1, 0.3, 0.2):
    ...     durations.record("report", seconds)
    >>> durations.quantile("report", 0.5)
    0.2
    >>> durations.quantile("query", 0.5) is None
    True
    """

    def __init__(self) -> None:
        self._seconds_by_route: dict[str, deque[float]] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record the seconds from the send of a request to the end of its answer."""
        found = self._seconds_by_route.get(route)
        if found is None:
            if len(self._seconds_by_route) >= MAX_ROUTES:
                del self._seconds_by_route[next(iter(self._seconds_by_route))]
            found = self._seconds_by_route[route] = deque(maxlen=MAX_ANSWERS)
        found.append(seconds)

    def quantile(self, route: str, share: float) -> float | None:
        """Return the seconds that a share of a route's answers took at most.

        None if none was recorded.
        """
        found = self._seconds_by_route.get(route)
        if not found:
            return None
        return sorted(found)[min(int(len(found) * share), len(found) - 1)]
