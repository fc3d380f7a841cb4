"""What a caller asks for, decoded."""

from __future__ import annotations

import attrs

from lynxchute.http import Request
from lynxchute.upstreams.generation import Generation


@attrs.frozen
class Call:
    """One attempt of a caller at a request.

    Attributes
    ----------
    request_id
        Names this attempt.
    key
        The API key; empty where there is none.
    patience
        Seconds that the caller waits; None where it does not say.
    resumes_after
        The last event that the caller has of a stream that broke; empty for
        a new stream.
    """

    request: Request
    request_id: str
    host: str
    key: str = ""
    caller_timeout: float | None = None
    last_event_id: str = ""
    generation: Generation | None = None
