"""The base class of the stand-ins for engines and plain services."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import Any

from lynxchute.callers import names
from lynxchute.http import HttpServer, Request, Responder
from lynxchute.standins.arrivals import ArrivalLog
from lynxchute.standins.budget_rules import Received
from lynxchute.standins.faults import FAULTS_PATH, Faults

STATE_PATH = "/state"
NOT_RUN_HEADER = (names.RUN, names.NOT_RUN)


class UpstreamServer(ABC):
    """Serve Lynxchute's own protocol for upstreams, and inject faults.

    Parameters
    ----------
    name
        Its name in the configuration.

    Attributes
    ----------
    arrival_log
        The arrival times of requests, and the periods in which it was cold.
    limit
        The rate limit for all routers together that its answers declare, in requests
        a second; None for none.
    max_rejections
        The rejections in a second that its answers say it survives; None for none.
    announces_leaving
        Whether its answers announce that it is leaving and accepts no new work.
    backoff_until
        Until when it refuses requests and asks for a backoff, on the loop's clock.
    software_version
        The version of its software, which its answers state; empty for none.
    received
        All requests that arrived, in order.
    refusals
        Time and id of each request that it refused with a backoff.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.arrival_log = ArrivalLog()
        self.limit: float | None = None
        self.max_rejections: int | None = None
        self.announces_leaving = False
        self.backoff_until = 0.0
        self.software_version = ""
        self.received: list[Received] = []
        self.refusals: list[tuple[float, str]] = []
        self.server = HttpServer(self._handle)

    @abstractmethod
    def records(self) -> list[dict[str, Any]]:
        """Return one record for each run."""

    @abstractmethod
    async def serve(self, request: Request, respond: Responder) -> None:
        """Serve a request addressed to this upstream, after faults and backpressure."""

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
        version = request.headers.get(
            names.EXPECTED_VERSION.lower(), self.software_version
        )
        if version != self.software_version:
            headers = [NOT_RUN_HEADER, *self.backpressure_headers()]
            await respond.json(
                412, {"error": f"this is {self.software_version}"}, headers
            )
            return
        if not await self.faults.is_up_after_delay():
            await respond.json(503, {"error": "outage"}, [NOT_RUN_HEADER])
            return
        if request.headers.get(names.EXPECTED_UPSTREAM.lower()):
            now = asyncio.get_running_loop().time()
            self.arrival_log.record(now, request_id_of(request))
            self._record_received(request, now)
            if now < self.backoff_until:
                await self._refuse(request, respond, now)
                return
        await self.serve(request, respond)

    def _record_received(self, request: Request, now: float) -> None:
        time_left = request.headers.get(names.TIME_LEFT.lower())
        deadline = None if time_left is None else float(time_left)
        received = Received(now, request_id_of(request), self.name, deadline)
        self.received.append(received)

    def backpressure_headers(self) -> list[tuple[str, str]]:
        """Return the backpressure headers of an answer."""
        headers = []
        if self.software_version:
            headers.append((names.SOFTWARE_VERSION, self.software_version))
        if self.limit is not None:
            headers.append((names.LIMIT, f"{self.limit:g}"))
        if self.max_rejections is not None:
            headers.append((names.BRITTLE, str(self.max_rejections)))
        if self.announces_leaving:
            headers.append((names.LEAVING, "1"))
        return headers

    async def _refuse(self, request: Request, respond: Responder, now: float) -> None:
        self.refusals.append((now, request_id_of(request)))
        backoff = ("Retry-After", f"{self.backoff_until - now:.3f}")
        await respond.json(
            503,
            {"error": "backoff"},
            [NOT_RUN_HEADER, backoff, *self.backpressure_headers()],
        )


def request_id_of(request: Request) -> str:
    """Return the id in a request's header; empty without one."""
    return request.headers.get(names.REQUEST_ID.lower(), "")


def account_of(request: Request) -> str:
    """Return the client account in a request's header; empty without one."""
    return request.headers.get(names.ACCOUNT.lower(), "")
