"""A stand-in for a plain service, such as ticket or score posting."""

from __future__ import annotations

import hashlib
from typing import Any

from lynxchute.callers import names
from lynxchute.http import Request, Responder
from lynxchute.standins.upstream import UpstreamServer, account_of, request_id_of


class ServiceServer(UpstreamServer):
    """Serve any method and path; record each call that ran."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.runs: list[dict[str, Any]] = []

    def records(self) -> list[dict[str, Any]]:
        """Return what ran, one record for each run."""
        return self.runs

    async def serve(self, request: Request, respond: Responder) -> None:
        """Run a call."""
        request_id = request_id_of(request)
        self.runs.append(
            {
                "request_id": request_id,
                "account": account_of(request),
                "method": request.method,
            }
        )
        if self.faults.loses_answer():
            respond.abort()
            return
        answer = {
            "path": request.path,
            "digest": hashlib.sha256(request.body).hexdigest(),
        }
        await respond.json(
            200, answer, [(names.REQUEST_ID, request_id), *self.stated()]
        )
