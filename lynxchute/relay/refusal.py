"""Final answers of the router itself."""

from __future__ import annotations

import enum
import json

from lynxchute.http import Responder

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:lynxchute:problem:"


class RunStatus(enum.Enum):
    """Whether a refused request ran."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Reason(enum.Enum):
    """Why a request is refused; the value names it for programs."""

    NOT_CONFIGURED = "not-configured"
    STALE = "configuration-stale"
    NO_ROUTE = "no-route"
    BAD_KEY = "unauthorized"
    BUDGET_EXHAUSTED = "budget"
    BUDGET_UNREACHABLE = "budget-unreachable"
    NO_UPSTREAM = "no-upstream"
    DECLINED = "upstream-full"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    TOO_MANY = "too-many-open"
    QUARANTINED = "ends-upstreams"
    EVACUATED = "evacuated"
    COLD = "upstreams-cold"
    LIMITED = "upstreams-throttled"
    BACKOFF = "upstreams-backing-off"
    TOO_LATE = "too-late-to-send"


STATUS_BY_REASON = {
    Reason.NOT_CONFIGURED: 503,
    Reason.STALE: 503,
    Reason.NO_ROUTE: 404,
    Reason.BAD_KEY: 401,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.BUDGET_UNREACHABLE: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.DECLINED: 503,
    Reason.OVERLOADED: 503,
    Reason.STOPPING: 503,
    Reason.BROKEN: 502,
    Reason.TIMEOUT: 504,
    Reason.MALFORMED: 400,
    Reason.TOO_MANY: 429,
    Reason.QUARANTINED: 503,
    Reason.EVACUATED: 503,
    Reason.COLD: 503,
    Reason.LIMITED: 503,
    Reason.BACKOFF: 503,
    Reason.TOO_LATE: 503,
}


class Refusal(Exception):
    """End a request with an answer of the router's own.

    Parameters
    ----------
    reason
        Why.
    title
        One sentence for people, with what to do next.
    run
        Whether the request ran.
    retry_after
        Seconds after which to come back; None where that does not help.
    route, account
        What the request was for, for the log; empty where that is not known.
    """

    def __init__(
        self,
        reason: Reason,
        title: str,
        *,
        run: RunStatus = RunStatus.NOT_RUN,
        retry_after: float | None = None,
        route: str = "",
        account: str = "",
    ) -> None:
        super().__init__(title)
        self.route = route
        self.account = account
        self.reason = reason
        self.title = title
        self.run = run
        self.retry_after = retry_after

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return STATUS_BY_REASON[self.reason]

    async def send(self, respond: Responder) -> None:
        """Answer a request with this refusal."""
        headers = []
        if self.retry_after is not None:
            headers.append(("Retry-After", f"{self.retry_after:.2f}"))
        problem = {
            "type": TYPE_PREFIX + self.reason.value,
            "title": self.title,
            "status": self.status,
            "run": self.run.value,
        }
        body = json.dumps(problem).encode()
        await respond.whole(self.status, body, CONTENT_TYPE, headers)
