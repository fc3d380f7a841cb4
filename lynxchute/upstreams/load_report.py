"""Probes and cache queries to model engines with the product's own API."""

from __future__ import annotations

import json
from typing import Any

from lynxchute.http import ClientPool, ExchangeError, Timeouts
from lynxchute.upstreams.engines import Probe
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.http_engines import (
    MAX_REPORT_BYTES,
    HttpEngineClient,
    no_answer,
)
from lynxchute.upstreams.statement_headers import BackpressureHeaders
from lynxchute.upstreams.upstream import Upstream

# Load and cache of an engine: `{"running": 3, "cached": [["id", 120]]}`.
LOAD_PATH = "/load"
# The engine answers at once, whatever its load is.
PROBE_TIMEOUTS = Timeouts(
    connect=0.3, first_byte=1.0, between_bytes=1.0, whole_body=2.0
)


class LoadReports(HttpEngineClient):
    """Query engines for their load report.

    Parameters
    ----------
    clients
        Connections to the upstreams.
    headers
        Decodes the backpressure headers of responses.
    """

    LIST_PATH = LOAD_PATH

    def __init__(self, clients: ClientPool, headers: BackpressureHeaders) -> None:
        super().__init__(clients)
        self._headers = headers

    async def probe(self, upstream: Upstream) -> Probe:
        """Probe an upstream; the response also reports its remaining warm-up time."""
        client = self._clients.get(upstream.address)
        try:
            response = await client.request("GET", LOAD_PATH, timeouts=PROBE_TIMEOUTS)
            body = await response.body(MAX_REPORT_BYTES)
        except ExchangeError as error:
            raise no_answer(upstream, error) from error
        return Probe(
            cold_seconds=_cold_seconds(body),
            statement=self._headers.decode(response.status, response.headers),
            active_requests=_running(body),
        )

    def _listed(self, answer: Any) -> list[PromptPart]:
        return [PromptPart(str(i[0]), int(i[1])) for i in answer["cached"]]


def _cold_seconds(body: bytes) -> float:
    """Return the warm-up time in a load report; 0 if it is missing or invalid."""
    cold = _report_field(body, "cold_seconds")
    return cold if isinstance(cold, float) else 0.0


def _running(body: bytes) -> int | None:
    """Return the number of running requests; None if it is missing or invalid."""
    running = _report_field(body, "running")
    if isinstance(running, bool) or not isinstance(running, int) or running < 0:
        return None
    return running


def _report_field(body: bytes, name: str) -> Any:
    try:
        report = json.loads(body)
    except ValueError:
        return None
    return report.get(name) if isinstance(report, dict) else None
