"""Questions to model engines that speak the product's own interface."""

from __future__ import annotations

from typing import Any

from lynxchute.http import ExchangeFailed, Timeouts
from lynxchute.upstreams.engines import Probe
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.http_engines import HttpEngines, no_answer
from lynxchute.upstreams.upstream import Upstream

# What an engine is doing and keeps: `{"running": 3, "cached": [["id", 120]]}`.
LOAD_PATH = "/load"
# The report is made at once, whatever the engine is doing.
PROBE_TIMEOUTS = Timeouts(connect=0.3, first_byte=1.0, between_bytes=1.0)


class LoadReports(HttpEngines):
    """Ask engines for their load."""

    LIST_PATH = LOAD_PATH

    async def probe(self, upstream: Upstream) -> Probe:
        """Ask whether an upstream is there; it says how long it is cold."""
        client = self._clients.get(upstream.address)
        try:
            _, answer = await client.get_json(LOAD_PATH, timeouts=PROBE_TIMEOUTS)
        except ExchangeFailed as error:
            raise no_answer(upstream, error) from error
        cold = answer.get("cold_seconds") if isinstance(answer, dict) else None
        return Probe(cold_seconds=cold if isinstance(cold, float) else 0.0)

    def _listed(self, answer: Any) -> list[PromptPart]:
        return [PromptPart(str(i[0]), int(i[1])) for i in answer["cached"]]
