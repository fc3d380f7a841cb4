"""Record when requests reached a stand-in upstream, and when it was cold."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

import attrs


@attrs.define
class ArrivalLog:
    """The arrival times of an upstream's requests, in seconds of the loop's clock.

    Attributes
    ----------
    times
        The arrival time of each request, in ascending order.
    request_ids
        The id of each request, empty where it is unknown, in the same order.
    cold_spans
        Start and end of each period in which the upstream was cold.
    """

    times: list[float] = attrs.Factory(list)
    request_ids: list[str] = attrs.Factory(list)
    cold_spans: list[tuple[float, float]] = attrs.Factory(list)

    def record(self, now: float, request_id: str = "") -> None:
        """Record the arrival of a request."""
        self.times.append(now)
        self.request_ids.append(request_id)

    def items(self) -> list[tuple[float, str]]:
        """Return the arrival time and the id of each request."""
        return list(zip(self.times, self.request_ids, strict=True))

    def record_cold(self, seconds: float, now: float) -> None:
        """Record that the upstream is cold for some seconds from now on."""
        self.cold_spans.append((now, now + seconds))

    def cold_seconds(self, now: float) -> float:
        """Return for how many more seconds the upstream is cold."""
        return max((end - now for _, end in self.cold_spans), default=0.0)

    def since(self, then: float) -> list[float]:
        """Return the arrival times from a given time on."""
        return self.times[bisect_left(self.times, then) :]

    def peak_cold_rate(self) -> int:
        """Return the most requests that arrived in any one second of a cold span."""
        most = 0
        for begin, end in self.cold_spans:
            first = bisect_left(self.times, begin)
            last = bisect_left(self.times, end)
            for index in range(first, last):
                until = min(self.times[index] + 1.0, end)
                most = max(most, bisect_left(self.times, until) - index)
        return most


def max_in_window(times: Sequence[float], span: float) -> int:
    """Return the largest number of the ascending times in any window of this length.

    Examples
    --------
    >>> max_in_window([1.0, 1.5, 2.0, 4.0], 1.0)
    2
    """
    most, first = 0, 0
    for last, time in enumerate(times):
        while time - times[first] >= span:
            first += 1
        most = max(most, last - first + 1)
    return most
