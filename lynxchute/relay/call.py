"""A caller's decoded request."""

from __future__ import annotations

import attrs

from lynxchute.http import Request
from lynxchute.upstreams.generation import Generation


@attrs.frozen
class Call:
    """One attempt of a caller to get a request served.

    Attributes
    ----------
    request_id
        Identifier of this attempt.
    key
        API key; empty if the request has none.
    caller_timeout
        Seconds until the caller gives up; None if the caller does not state it.
    last_event_id
        Id of the last event received of an interrupted stream; empty for a new stream.
    resumes
        Id of the attempt that brought the first event of that stream; empty if the
        caller does not name it.
    """

    request: Request
    request_id: str
    host: str
    key: str = ""
    caller_timeout: float | None = None
    last_event_id: str = ""
    resumes: str = ""
    generation: Generation | None = None
