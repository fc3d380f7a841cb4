"""A stand-in for a plain service, such as ticket or score posting."""

from __future__ import annotations

import hashlib
from typing import Any

from lynxchute.http import HttpServer, Request, Responder
from lynxchute.standins.faults import FAULTS_PATH, Faults


class ServiceServer:
    """Serve any method and path; record each call that ran."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.runs: list[dict[str, Any]] = []
        self.server = HttpServer(self._handle)

    async def _handle(self, request: Request, respond: Responder) -> None:
        if request.path == FAULTS_PATH:
            await self.faults.serve(request, respond)
            return
        if request.path == "/state":
            await respond.json(200, {"runs": self.runs})
            return
        if not await self.faults.before():
            await respond.json(503, {"error": "outage"})
            return
        request_id = request.headers.get("x-request-id", "")
        self.runs.append({"request_id": request_id, "method": request.method})
        if self.faults.loses_answer():
            respond.abort()
            return
        answer = {
            "path": request.path,
            "digest": hashlib.sha256(request.body).hexdigest(),
        }
        await respond.json(200, answer, [("X-Request-Id", request_id)])
