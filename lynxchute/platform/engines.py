"""Questions to the platform's model engines."""

from __future__ import annotations

from lynxchute.http import ClientPool, ExchangeFailed, Timeouts
from lynxchute.platform.names import CACHE_LIST, REPORT_PATH
from lynxchute.upstreams.engines import Engines, EngineSilent
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.upstream import Upstream

# The list is made within some ms; nothing waits for it.
TIMEOUTS = Timeouts(connect=0.3, first_byte=1.0, between_bytes=1.0)


# A report is answered at once, whatever the upstream is doing.
PROBE_TIMEOUTS = Timeouts(connect=0.15, first_byte=0.25, between_bytes=0.25)


class PlatformEngines(Engines):
    """Ask engines over HTTP.

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
            response = await client.request(
                "GET", REPORT_PATH, timeouts=PROBE_TIMEOUTS, fresh_within=0.0
            )
            await response.body()
        except ExchangeFailed as error:
            raise EngineSilent(
                f"{upstream.id}: {error}", is_silence=error.is_silence
            ) from error

    async def cached_parts(self, upstream: Upstream) -> list[PromptPart]:
        """Return the parts of prompts that an engine keeps."""
        client = self._clients.get(upstream.address)
        try:
            status, answer = await client.get_json(CACHE_LIST, timeouts=TIMEOUTS)
            if status != 200:
                raise EngineSilent(f"{upstream.id} answered {status}")
            # Each entry: an empty text, the part's id, its tokens, the model.
            return [PromptPart(str(i[1]), int(i[2])) for i in answer["held"]]
        except ExchangeFailed as error:
            raise EngineSilent(
                f"{upstream.id}: {error}", is_silence=error.is_silence
            ) from error
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise EngineSilent(f"{upstream.id} lists no parts: {error!r}") from error
