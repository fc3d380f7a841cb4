"""Refusals, as `application/problem+json`.

Source: RFC 9457, "Problem Details for HTTP APIs".
"""

from __future__ import annotations

import enum
import json
from typing import Any

import attrs

from lynxchute.http import Responder

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:lynxchute:problem:"


class Run(enum.Enum):
    """Whether a refused request ran."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ProblemType(enum.Enum):
    """What a refusal is about; the value names it for programs."""

    UNAUTHORIZED = "unauthorized"
    BUDGET = "budget"
    NOT_FOUND = "not-found"
    KEY_REUSED = "key-reused"
    IN_PROGRESS = "in-progress"
    ANSWER_GONE = "answer-gone"
    OUTCOME_UNKNOWN = "outcome-unknown"
    MALFORMED = "malformed"
    LIMIT = "limit"
    UNAVAILABLE = "unavailable"
    BROKEN = "broken"


STATUS_BY_TYPE = {
    ProblemType.UNAUTHORIZED: 401,
    ProblemType.BUDGET: 402,
    ProblemType.NOT_FOUND: 404,
    ProblemType.KEY_REUSED: 422,
    ProblemType.IN_PROGRESS: 409,
    ProblemType.ANSWER_GONE: 409,
    ProblemType.OUTCOME_UNKNOWN: 409,
    ProblemType.MALFORMED: 422,
    ProblemType.LIMIT: 429,
    ProblemType.UNAVAILABLE: 503,
    ProblemType.BROKEN: 502,
}


@attrs.frozen
class Problem:
    """A refusal.

    Attributes
    ----------
    type
        What it is about.
    title
        One sentence for people, with what to do next.
    run
        Whether the request ran.
    retry_after
        Seconds after which to try again; None where waiting does not help.
    tried
        Where tokens were looked for.
    """

    type: ProblemType
    title: str
    run: Run = Run.NOT_RUN
    retry_after: int | None = None
    tried: tuple[str, ...] = ()

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return STATUS_BY_TYPE[self.type]

    def to_json(self) -> dict[str, Any]:
        """Return the body of the answer."""
        value: dict[str, Any] = {
            "type": TYPE_PREFIX + self.type.value,
            "title": self.title,
            "status": self.status,
            "run": self.run.value,
        }
        if self.tried:
            value["tried"] = list(self.tried)
        return value

    async def send(self, respond: Responder) -> None:
        """Answer a request with this refusal."""
        headers = []
        if self.retry_after is not None:
            headers.append(("Retry-After", str(self.retry_after)))
        body = json.dumps(self.to_json()).encode()
        await respond.whole(self.status, body, CONTENT_TYPE, headers)
