"""Questions to the platform's model engines."""

from __future__ import annotations

from typing import Any

from lynxchute.http import ExchangeFailed, Timeouts
from lynxchute.platform.names import CACHE_LIST, REPORT_PATH
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.http_engines import HttpEngines, no_answer
from lynxchute.upstreams.upstream import Upstream

# A report is answered at once, whatever the upstream is doing.
PROBE_TIMEOUTS = Timeouts(connect=0.15, first_byte=0.25, between_bytes=0.25)


class PlatformEngines(HttpEngines):
    """Ask the platform's engines."""

    LIST_PATH = CACHE_LIST

    async def probe(self, upstream: Upstream) -> None:
        """Ask whether an upstream is there; any answer will do."""
        client = self._clients.get(upstream.address)
        try:
            response = await client.request(
                "GET", REPORT_PATH, timeouts=PROBE_TIMEOUTS, fresh_within=0.0
            )
            await response.body()
        except ExchangeFailed as error:
            raise no_answer(upstream, error) from error

    def _listed(self, answer: Any) -> list[PromptPart]:
        # Each entry: an empty text, the part's id, its tokens, the model.
        return [PromptPart(str(i[1]), int(i[2])) for i in answer["held"]]
