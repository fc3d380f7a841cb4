"""Questions to the platform's model engines."""

from __future__ import annotations

from typing import Any

from lynxchute.http import ExchangeFailed, Timeouts
from lynxchute.platform.names import CACHE_LIST, REPORT_PATH, STARTED
from lynxchute.store.row_value import RowValue, ValueUnreadable
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.http_engines import HttpEngines, no_answer
from lynxchute.upstreams.upstream import Upstream

# A report is answered at once, whatever the upstream is doing.
PROBE_TIMEOUTS = Timeouts(connect=0.15, first_byte=0.25, between_bytes=0.25)


class PlatformEngines(HttpEngines):
    """Ask the platform's engines."""

    LIST_PATH = CACHE_LIST

    async def probe(self, upstream: Upstream) -> int | None:
        """Ask whether an upstream is there, and when it started."""
        client = self._clients.get(upstream.address)
        try:
            response = await client.request(
                "GET", REPORT_PATH, timeouts=PROBE_TIMEOUTS, fresh_within=0.0
            )
            body = await response.body()
        except ExchangeFailed as error:
            raise no_answer(upstream, error) from error
        return _started_ms(body)

    def _listed(self, answer: Any) -> list[PromptPart]:
        # Each entry: an empty text, the part's id, its tokens, the model.
        return [PromptPart(str(i[1]), int(i[2])) for i in answer["held"]]


def _started_ms(report: bytes) -> int | None:
    """Return the start that a report tells; any other answer tells none."""
    try:
        started_ms: int | None = RowValue.decode(report).count(STARTED, default=None)
    except ValueUnreadable:
        return None
    return started_ms
