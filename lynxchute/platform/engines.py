"""HTTP client for the platform's model engines."""

from __future__ import annotations

from typing import Any

import attrs

from lynxchute.http import ExchangeError, Headers, Timeouts
from lynxchute.platform.names import (
    CACHE_LIST,
    COLD_MS,
    COLD_REMAINING_FIELD,
    REPORT_PATH,
    RUNNING_FIELD,
    START_TIME_FIELD,
    WAITING_FIELD,
)
from lynxchute.platform.statements import STATEMENT_HEADERS
from lynxchute.store.row_value import RowValue, RowValueError
from lynxchute.upstreams.engines import Probe
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.http_engines import (
    MAX_REPORT_BYTES,
    HttpEngineClient,
    no_answer,
)
from lynxchute.upstreams.upstream import Upstream

# Upstreams answer `REPORT_PATH` immediately, even under full load.
PROBE_TIMEOUTS = Timeouts(
    connect=0.15, first_byte=0.25, between_bytes=0.25, whole_body=0.5
)


class PlatformEngines(HttpEngineClient):
    """Query the load and the cache of the platform's engines."""

    LIST_PATH = CACHE_LIST

    async def probe(self, upstream: Upstream) -> Probe:
        """Return an upstream's start time, warm-up time left and active requests."""
        client = self._clients.get(upstream.address)
        try:
            response = await client.request(
                "GET", REPORT_PATH, timeouts=PROBE_TIMEOUTS, max_idle=0.0
            )
            body = await response.body(MAX_REPORT_BYTES)
        except ExchangeError as error:
            raise no_answer(upstream, error) from error
        statement = STATEMENT_HEADERS.decode(response.status, response.headers)
        return attrs.evolve(_decode_probe(body, response.headers), statement=statement)

    def _listed(self, answer: Any) -> list[PromptPart]:
        # An entry is [empty string, prompt part id, tokens, model].
        return [PromptPart(str(i[1]), int(i[2])) for i in answer["held"]]


def _decode_probe(report: bytes, headers: Headers) -> Probe:
    """Decode a load report; if its body is invalid, use only the headers."""
    cold_ms = _cold_ms(headers)
    try:
        value = RowValue.decode(report)
        reported_ms = value.count(COLD_REMAINING_FIELD, default=0)
        started_ms = value.count(START_TIME_FIELD, default=None)
    except RowValueError:
        return Probe(cold_seconds=cold_ms / 1000.0)
    cold_seconds = max(cold_ms, reported_ms) / 1000.0
    return Probe(started_ms, cold_seconds, active_requests=_active_requests(value))


def _active_requests(report: RowValue) -> int | None:
    """Return the running and waiting requests, or None if they are not reported."""
    try:
        running = report.count(RUNNING_FIELD, default=None)
        waiting = report.count(WAITING_FIELD, default=0)
    except RowValueError:
        return None
    return None if running is None else running + (waiting or 0)


def _cold_ms(headers: Headers) -> float:
    """Return the milliseconds of warm-up left, or 0 without the header."""
    text = headers.get(COLD_MS.lower(), "")
    return float(text) if text.isascii() and text.isdigit() else 0.0
