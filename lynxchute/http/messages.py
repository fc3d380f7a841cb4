"""HTTP requests and the error for an invalid one."""

from __future__ import annotations

import json
from typing import Any

import attrs

from lynxchute.http.headers import Headers


class BadRequest(Exception):
    """Raised for a request that cannot be served; results in an error response.

    Parameters
    ----------
    status
        The HTTP status of the response.
    reason
        One sentence for the caller.
    retry_after
        Seconds after which a retry may succeed; None if it cannot.
    """

    def __init__(
        self, status: int, reason: str, *, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


@attrs.frozen
class RequestHead:
    """The request line and headers of a request.

    Attributes
    ----------
    received_at
        When its first byte was read, in seconds on the clock of the event loop.
    """

    method: str
    target: str
    headers: Headers
    received_at: float = 0.0

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]


@attrs.frozen
class Request(RequestHead):
    """A complete request."""

    body: bytes = b""

    def json(self) -> Any:
        """Return the body decoded as JSON.

        Raises
        ------
        BadRequest
            With status 422 if the body is not JSON in UTF-8.
        """
        try:
            return json.loads(self.body.decode("utf-8"))
        except (ValueError, RecursionError) as error:
            raise BadRequest(422, f"The body is not JSON in UTF-8: {error}.") from None
