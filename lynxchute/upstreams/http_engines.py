"""Cache queries to model engines over HTTP, independent of their API."""

from __future__ import annotations

from abc import abstractmethod
from typing import Any, ClassVar

from lynxchute.http import ClientPool, ExchangeError, Timeouts
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.upstream import Upstream

# An engine generates the list within some ms, and no request waits for it.
LIST_TIMEOUTS = Timeouts(connect=0.3, first_byte=1.0, between_bytes=1.0, whole_body=2.0)
# Bytes of a load report, and of a list of prompt parts. Those of many upstreams are
# read at a time.
MAX_REPORT_BYTES = 262_144
MAX_LIST_BYTES = 524_288


class HttpEngineClient(EngineClient):
    """Query engines over HTTP.

    Parameters
    ----------
    clients
        Connections to the upstreams.

    Attributes
    ----------
    LIST_PATH
        Path at which an engine lists the prompt parts in its cache.
    """

    LIST_PATH: ClassVar[str]

    def __init__(self, clients: ClientPool) -> None:
        self._clients = clients

    @abstractmethod
    def _listed(self, answer: Any) -> list[PromptPart]:
        """Decode a list; malformed input raises KeyError, TypeError or the like."""

    async def cached_parts(self, upstream: Upstream) -> list[PromptPart]:
        """Return the prompt parts in an engine's cache."""
        client = self._clients.get(upstream.address)
        try:
            status, answer = await client.get_json(
                self.LIST_PATH, timeouts=LIST_TIMEOUTS, limit=MAX_LIST_BYTES
            )
            if status != 200:
                raise EngineUnavailable(f"{upstream.id} answered {status}")
            return self._listed(answer)
        except ExchangeError as error:
            raise no_answer(upstream, error) from error
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise EngineUnavailable(
                f"{upstream.id} lists no parts: {error!r}"
            ) from error


def no_answer(upstream: Upstream, error: ExchangeError) -> EngineUnavailable:
    """Return the error to raise when an exchange with an upstream has failed."""
    return EngineUnavailable(f"{upstream.id}: {error}", is_timeout=error.is_timeout)
