"""What stand-ins of engines and of plain services have in common."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import Any

from lynxchute.callers import names
from lynxchute.http import HttpServer, Request, Responder
from lynxchute.standins.arrivals import Arrivals
from lynxchute.standins.faults import FAULTS_PATH, Faults

STATE_PATH = "/state"
NOT_RUN_HEADER = (names.RUN, names.NOT_RUN)


class UpstreamServer(ABC):
    """Serve the product's own interface for upstreams, with faults.

    Parameters
    ----------
    name
        The name under which routers know it.

    Attributes
    ----------
    taken
        When it took requests, and when it was cold.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.taken = Arrivals()
        self.server = HttpServer(self._handle)

    @abstractmethod
    def records(self) -> list[dict[str, Any]]:
        """Return what ran, one record for each run."""

    @abstractmethod
    async def serve(self, request: Request, respond: Responder) -> None:
        """Serve a request that is meant for this upstream."""

    async def _handle(self, request: Request, respond: Responder) -> None:
        if request.path == FAULTS_PATH:
            await self.faults.serve(request, respond)
            return
        if request.path == STATE_PATH:
            await respond.json(200, {"runs": self.records()})
            return
        expected = request.headers.get(names.EXPECTED_UPSTREAM.lower(), self.name)
        if expected != self.name:
            await respond.json(421, {"error": f"this is {self.name}"})
            return
        if not await self.faults.before():
            await respond.json(503, {"error": "outage"}, [NOT_RUN_HEADER])
            return
        if request.headers.get(names.EXPECTED_UPSTREAM.lower()):
            self.taken.note(asyncio.get_running_loop().time())
        await self.serve(request, respond)


def request_id_of(request: Request) -> str:
    """Return the id that a request bears."""
    return request.headers.get(names.REQUEST_ID.lower(), "")


def account_of(request: Request) -> str:
    """Return the client account that a router names."""
    return request.headers.get(names.ACCOUNT.lower(), "")
