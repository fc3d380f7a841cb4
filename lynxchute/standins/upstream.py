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
    limit
        Requests a second from all routers that its answers name; None for none.
    says_it_leaves
        Whether its answers say that it takes no new work.
    backoff_until
        Until when it turns requests away and asks for backoff, on the loop's clock.
    refusals
        The ids of the requests that it has turned away so, and when.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.taken = Arrivals()
        self.limit: float | None = None
        self.says_it_leaves = False
        self.backoff_until = 0.0
        self.refusals: list[tuple[float, str]] = []
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
            now = asyncio.get_running_loop().time()
            self.taken.note(now, request_id_of(request))
            if now < self.backoff_until:
                await self._turn_away(request, respond, now)
                return
        await self.serve(request, respond)

    def stated(self) -> list[tuple[str, str]]:
        """Return the headers in which an answer says what this upstream wants."""
        headers = []
        if self.limit is not None:
            headers.append((names.LIMIT, f"{self.limit:g}"))
        if self.says_it_leaves:
            headers.append((names.LEAVING, "1"))
        return headers

    async def _turn_away(
        self, request: Request, respond: Responder, now: float
    ) -> None:
        self.refusals.append((now, request_id_of(request)))
        backoff = ("Retry-After", f"{self.backoff_until - now:.3f}")
        await respond.json(
            503, {"error": "backoff"}, [NOT_RUN_HEADER, backoff, *self.stated()]
        )


def request_id_of(request: Request) -> str:
    """Return the id that a request bears."""
    return request.headers.get(names.REQUEST_ID.lower(), "")


def account_of(request: Request) -> str:
    """Return the client account that a router names."""
    return request.headers.get(names.ACCOUNT.lower(), "")
