"""When requests came to a stand-in of an upstream, and how cold it was then."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

import attrs


@attrs.define
class Arrivals:
    """The times of all requests that an upstream took, in seconds of the loop.

    Attributes
    ----------
    times
        All of them, in order.
    request_ids
        Their ids, as far as they were told, in the same order.
    cold_spans
        Beginnings and ends of the times at which the upstream was cold.
    """

    times: list[float] = attrs.Factory(list)
    request_ids: list[str] = attrs.Factory(list)
    cold_spans: list[tuple[float, float]] = attrs.Factory(list)

    def note(self, now: float, request_id: str = "") -> None:
        """Note a request."""
        self.times.append(now)
        self.request_ids.append(request_id)

    def items(self) -> list[tuple[float, str]]:
        """Return the time and the id of each request."""
        return list(zip(self.times, self.request_ids, strict=True))

    def note_cold(self, seconds: float, now: float) -> None:
        """Note that the upstream is cold from now on."""
        self.cold_spans.append((now, now + seconds))

    def cold_seconds(self, now: float) -> float:
        """Return how much longer the upstream is cold."""
        return max((end - now for _, end in self.cold_spans), default=0.0)

    def since(self, then: float) -> list[float]:
        """Return the times of the requests that came after a moment."""
        return self.times[bisect_left(self.times, then) :]

    def most_while_cold(self) -> int:
        """Return the most requests that came within one second of a cold span."""
        most = 0
        for begin, end in self.cold_spans:
            first = bisect_left(self.times, begin)
            last = bisect_left(self.times, end)
            for index in range(first, last):
                until = min(self.times[index] + 1.0, end)
                most = max(most, bisect_left(self.times, until) - index)
        return most


def most_within(times: Sequence[float], span: float) -> int:
    """Return the most of the times, in order, that lie within one span.

    Examples
    --------
    >>> most_within([1.0, 1.5, 2.0, 4.0], 1.0)
    2
    """
    most, first = 0, 0
    for last, time in enumerate(times):
        while time - times[first] >= span:
            first += 1
        most = max(most, last - first + 1)
    return most
