"""Questions to model engines that speak the product's own interface."""

from __future__ import annotations

from lynxchute.http import ClientPool, ExchangeFailed, Timeouts
from lynxchute.upstreams.engines import Engines, EngineSilent
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.upstream import Upstream

# What an engine is doing and keeps: `{"running": 3, "cached": [["id", 120]]}`.
LOAD_PATH = "/load"
# The report is made at once, whatever the engine is doing.
TIMEOUTS = Timeouts(connect=0.3, first_byte=1.0, between_bytes=1.0)


class LoadReports(Engines):
    """Ask engines for their load over HTTP.

    Parameters
    ----------
    clients
        Connections to the upstreams.
    """

    def __init__(self, clients: ClientPool) -> None:
        self._clients = clients

    async def probe(self, upstream: Upstream) -> None:
        """Ask whether an upstream is there; any answer will do."""
        client = self._clients.get(upstream.address)
        try:
            await client.get_json(LOAD_PATH, timeouts=TIMEOUTS)
        except ExchangeFailed as error:
            raise EngineSilent(
                f"{upstream.id}: {error}", is_silence=error.is_silence
            ) from error

    async def cached_parts(self, upstream: Upstream) -> list[PromptPart]:
        """Return the parts of prompts that an engine keeps."""
        client = self._clients.get(upstream.address)
        try:
            status, answer = await client.get_json(LOAD_PATH, timeouts=TIMEOUTS)
            if status != 200:
                raise EngineSilent(f"{upstream.id} answered {status}")
            return [PromptPart(str(i[0]), int(i[1])) for i in answer["cached"]]
        except ExchangeFailed as error:
            raise EngineSilent(
                f"{upstream.id}: {error}", is_silence=error.is_silence
            ) from error
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise EngineSilent(f"{upstream.id} lists no parts: {error!r}") from error
