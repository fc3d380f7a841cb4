"""Questions to model engines that speak the product's own interface."""

from __future__ import annotations

import json
from typing import Any

from lynxchute.http import ClientPool, ExchangeFailed, Timeouts
from lynxchute.upstreams.engines import Probe
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.http_engines import HttpEngineClient, no_answer
from lynxchute.upstreams.statement_headers import StatementHeaders
from lynxchute.upstreams.upstream import Upstream

# What an engine is doing and keeps: `{"running": 3, "cached": [["id", 120]]}`.
LOAD_PATH = "/load"
# The report is made at once, whatever the engine is doing.
PROBE_TIMEOUTS = Timeouts(connect=0.3, first_byte=1.0, between_bytes=1.0)


class LoadReports(HttpEngineClient):
    """Ask engines for their load.

    Parameters
    ----------
    clients
        Connections to the upstreams.
    headers
        Where answers state what their upstream wants.
    """

    LIST_PATH = LOAD_PATH

    def __init__(self, clients: ClientPool, headers: StatementHeaders) -> None:
        super().__init__(clients)
        self._headers = headers

    async def probe(self, upstream: Upstream) -> Probe:
        """Ask whether an upstream is there; it says how long it is cold."""
        client = self._clients.get(upstream.address)
        try:
            response = await client.request("GET", LOAD_PATH, timeouts=PROBE_TIMEOUTS)
            body = await response.body()
        except ExchangeFailed as error:
            raise no_answer(upstream, error) from error
        return Probe(
            cold_seconds=_cold_seconds(body),
            statement=self._headers.decode(response.status, response.headers),
            active_requests=_running(body),
        )

    def _listed(self, answer: Any) -> list[PromptPart]:
        return [PromptPart(str(i[0]), int(i[1])) for i in answer["cached"]]


def _cold_seconds(body: bytes) -> float:
    """Return what a report says; 0 where it does not, or is none."""
    cold = _stated(body, "cold_seconds")
    return cold if isinstance(cold, float) else 0.0


def _running(body: bytes) -> int | None:
    """Return the requests that run, as a report says; None where it does not."""
    running = _stated(body, "running")
    if isinstance(running, bool) or not isinstance(running, int) or running < 0:
        return None
    return running


def _stated(body: bytes, name: str) -> Any:
    try:
        report = json.loads(body)
    except ValueError:
        return None
    return report.get(name) if isinstance(report, dict) else None
