"""Questions to the platform's model engines."""

from __future__ import annotations

from typing import Any

import attrs

from lynxchute.http import ExchangeError, Headers, Timeouts
from lynxchute.platform.names import (
    CACHE_LIST,
    COLD_MS,
    COLD_REMAINING,
    REPORT_PATH,
    RUNNING,
    STARTED,
    WAITING,
)
from lynxchute.platform.statements import STATEMENT_HEADERS
from lynxchute.store.row_value import RowValue, RowValueError
from lynxchute.upstreams.engines import Probe
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.http_engines import HttpEngineClient, no_answer
from lynxchute.upstreams.upstream import Upstream

# A report is answered at once, whatever the upstream is doing.
PROBE_TIMEOUTS = Timeouts(connect=0.15, first_byte=0.25, between_bytes=0.25)


class PlatformEngines(HttpEngineClient):
    """Ask the platform's engines."""

    LIST_PATH = CACHE_LIST

    async def probe(self, upstream: Upstream) -> Probe:
        """Ask whether an upstream is there, when it started and how cold it is."""
        client = self._clients.get(upstream.address)
        try:
            response = await client.request(
                "GET", REPORT_PATH, timeouts=PROBE_TIMEOUTS, max_idle=0.0
            )
            body = await response.body()
        except ExchangeError as error:
            raise no_answer(upstream, error) from error
        statement = STATEMENT_HEADERS.decode(response.status, response.headers)
        return attrs.evolve(_probe_of(body, response.headers), statement=statement)

    def _listed(self, answer: Any) -> list[PromptPart]:
        # Each entry: an empty text, the part's id, its tokens, the model.
        return [PromptPart(str(i[1]), int(i[2])) for i in answer["held"]]


def _probe_of(report: bytes, headers: Headers) -> Probe:
    """Return what a report tells; any other answer tells nothing by its body."""
    cold_ms = _cold_ms(headers)
    try:
        value = RowValue.decode(report)
        told_ms = value.count(COLD_REMAINING, default=0)
        started_ms = value.count(STARTED, default=None)
    except RowValueError:
        return Probe(cold_seconds=cold_ms / 1000.0)
    cold_seconds = max(cold_ms, told_ms) / 1000.0
    return Probe(started_ms, cold_seconds, active_requests=_in_work(value))


def _in_work(report: RowValue) -> int | None:
    """Return the requests that an engine says it has; None where it does not."""
    try:
        running = report.count(RUNNING, default=None)
        waiting = report.count(WAITING, default=0)
    except RowValueError:
        return None
    return None if running is None else running + (waiting or 0)


def _cold_ms(headers: Headers) -> float:
    """Return how long the upstream that answered is cold; 0 where it does not say."""
    text = headers.get(COLD_MS.lower(), "")
    return float(text) if text.isascii() and text.isdigit() else 0.0
