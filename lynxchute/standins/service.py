"""A stand-in for a plain HTTP service, for example one that posts tickets or scores."""

from __future__ import annotations

import hashlib
from typing import Any

from lynxchute.callers import names
from lynxchute.http import Request, Responder
from lynxchute.standins.upstream import UpstreamServer, account_of, request_id_of
from lynxchute.upstreams.load_report import LOAD_PATH


class ServiceServer(UpstreamServer):
    """Serve any method and path, and record each request."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.runs: list[dict[str, Any]] = []

    def records(self) -> list[dict[str, Any]]:
        """Return one record for each run."""
        return self.runs

    async def serve(self, request: Request, respond: Responder) -> None:
        """Record a request and answer with its path and the digest of its body."""
        request_id = request_id_of(request)
        if request.path == LOAD_PATH and not request_id:
            # Routers probe a silent upstream whatever its kind; a probe is no call.
            await respond.json(200, {}, self.backpressure_headers())
            return
        self.runs.append(
            {
                "request_id": request_id,
                "account": account_of(request),
                "method": request.method,
            }
        )
        if self.faults.should_lose_answer():
            respond.abort()
            return
        answer = {
            "path": request.path,
            "digest": hashlib.sha256(request.body).hexdigest(),
        }
        await respond.json(
            200, answer, [(names.REQUEST_ID, request_id), *self.backpressure_headers()]
        )
