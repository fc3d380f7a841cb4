"""Protocol-specific encoding and decoding of requests and responses."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod

import attrs
import h11

from lynxchute.http import Headers, Request
from lynxchute.relay.call import Call
from lynxchute.upstreams.statement import NO_BACKPRESSURE, DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream


class ResponseKind(enum.Enum):
    """Classification of an upstream response by its status and headers.

    Attributes
    ----------
    ANSWERED
        The upstream processed the request; this is the response to it.
    NOT_RUN
        The upstream did not run the request and will not.
    MOVED
        Not run, because the address now belongs to another upstream.
    INVALID
        Not a valid response of an upstream.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    MOVED = "moved"
    INVALID = "invalid"


@attrs.frozen
class SendParameters:
    """Parameters of one send of a call to an upstream.

    Attributes
    ----------
    time_left
        Seconds that the upstream has to respond.
    account
        Name of the client account; empty if the route needs none.
    priority
        Rank among the upstream's requests; 0 is served first.
    last_event_id
        Id of the last event that the caller received; empty for a new stream.
    fetch_from
        Engine to fetch the cached prompt from, if any.
    software_version
        Software version that has to run the request; empty for any.
    """

    upstream: Upstream
    time_left: float
    account: str = ""
    priority: int = 0
    last_event_id: str = ""
    fetch_from: Upstream | None = None
    software_version: str = ""


class Dialect(ABC):
    """Decodes requests of callers and responses of upstreams."""

    @abstractmethod
    def read(self, request: Request) -> Call:
        """Decode a request.

        Raises
        ------
        BadRequest, Refusal
            If the request cannot be served as it was sent.
        """

    @abstractmethod
    def upstream_headers(
        self, call: Call, parameters: SendParameters
    ) -> list[tuple[bytes, bytes]]:
        """Return the request headers for an upstream, except for the body length."""

    @abstractmethod
    def matches_request(self, call: Call, head: h11.Response) -> bool:
        """Return whether a response belongs to this call."""

    @abstractmethod
    def response_kind(self, status: int, headers: Headers) -> ResponseKind:
        """Classify a response by its status and headers."""

    def statement(self, status: int, headers: Headers) -> DeclaredBackpressure:
        """Return what an upstream's response headers report about its state."""
        return NO_BACKPRESSURE

    def software_version(self, headers: Headers) -> str:
        """Return the software version that a response states; empty for none."""
        return ""

    @abstractmethod
    def caller_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the upstream's response headers that are forwarded to the caller."""

    def reported_tokens(self, data: bytes) -> int | None:
        """Return the token usage that a response reports, or None if it reports none.

        Parameters
        ----------
        data
            Complete events of a stream, or a complete body.
        """
        return None

    def caller_events(self, call: Call, data: bytes) -> bytes:
        """Remove from events the token usage that only the router asked for."""
        return data


def is_for_request(head: h11.Response, name: str, request_id: str) -> bool:
    """Return whether a response names this request in a header, or has no such header.

    A request that is refused before its id was read is answered without the header.
    """
    expected = name.lower().encode()
    for header, value in head.headers:
        if header == expected:
            return bool(value == request_id.encode("latin-1"))
    return True
