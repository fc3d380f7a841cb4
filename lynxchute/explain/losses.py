"""Count requests that were not on time, by route, cause and time interval."""

from __future__ import annotations

from collections import Counter, OrderedDict

import attrs

from lynxchute.explain.log_lines import LogLine

ON_TIME = "on time"
# Maximum requests whose failed search for budget tokens is remembered until they end.
# A large fleet has about this many requests open at once.
MAX_FAILED_SEARCHES = 50_000


@attrs.frozen
class Loss:
    """A request that was not on time.

    Attributes
    ----------
    interval_start
        Start of the time interval in which the request began, in seconds.
    """

    route: str
    cause: str
    interval_start: int


@attrs.define
class Losses:
    """Counts of requests and of those that were not on time.

    Attributes
    ----------
    step
        Length of a time interval, in seconds.
    requests
        Number of all requests by route, refused ones included.
    counts
        Number of requests that were not on time, by route, cause and time interval.
    """

    step: float = 4.0
    requests: Counter[str] = attrs.Factory(Counter)
    counts: Counter[Loss] = attrs.Factory(Counter)
    _failed_searches: OrderedDict[str, LogLine] = attrs.Factory(OrderedDict)

    def add_line(self, line: LogLine) -> None:
        """Count the request whose end a line logs, or keep a failed token search."""
        if line.event == "no tokens for a request":
            self._failed_searches[line.request_id] = line
            if len(self._failed_searches) > MAX_FAILED_SEARCHES:
                self._failed_searches.popitem(last=False)
        elif line.event == "request refused":
            self._count("(not admitted)", f"refused: {line.fields.get('reason')}", line)
        elif line.event == "request ended":
            failed_search = self._failed_searches.pop(line.request_id, None)
            route = str(line.fields.get("route", ""))
            self._count(route, loss_cause(line, failed_search), line)

    def _count(self, route: str, cause: str, line: LogLine) -> None:
        self.requests[route] += 1
        if cause == ON_TIME:
            return
        began = line.time - float(line.fields.get("seconds") or 0.0)
        interval_start = int(began // self.step * self.step)
        self.counts[Loss(route, cause, interval_start)] += 1

    def by_cause(self) -> Counter[tuple[str, str]]:
        """Return the number of requests not on time, by route and cause."""
        totals: Counter[tuple[str, str]] = Counter()
        for loss, count in self.counts.items():
            totals[loss.route, loss.cause] += count
        return totals

    def by_interval(self) -> dict[int, Counter[str]]:
        """Return the number of requests not on time, by time interval and cause."""
        totals: dict[int, Counter[str]] = {}
        for loss, count in self.counts.items():
            totals.setdefault(loss.interval_start, Counter())[loss.cause] += count
        return dict(sorted(totals.items()))


def loss_cause(line: LogLine, failed_search: LogLine | None) -> str:
    """Return why a request was not on time, or `ON_TIME`.

    Parameters
    ----------
    line
        Log line at the end of the request.
    failed_search
        Log line of the failed search for budget tokens, if there was one.
    """
    outcome = str(line.fields.get("outcome", ""))
    if outcome == "left":
        return "left by its caller"
    if outcome == "served":
        return _lateness_cause(line)
    if outcome.startswith("refused: budget") and failed_search is not None:
        return _token_cause(failed_search)
    return outcome


def _lateness_cause(line: LogLine) -> str:
    fields = line.fields
    objective = float(fields.get("objective") or 0.0)
    if not objective:
        return ON_TIME
    if not fields.get("events"):
        late = float(fields.get("seconds") or 0.0) > objective
        return "late answer" if late else ON_TIME
    if float(fields.get("first_byte") or 0.0) > objective:
        return "late by first event"
    if float(fields.get("longest_pause") or 0.0) > float(
        fields.get("max_pause") or 0.0
    ):
        return "late by pause"
    return ON_TIME


def _token_cause(failed_search: LogLine) -> str:
    fields = failed_search.fields
    if int(fields.get("unused") or 0) < int(fields.get("tokens") or 0):
        return "refused: no tokens left"
    if not fields.get("store_answers"):
        return "refused: tokens elsewhere, store away"
    return "refused: tokens elsewhere or set aside"
