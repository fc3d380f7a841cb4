"""How callers and upstreams write what a relay has to know."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod

import attrs
import h11

from lynxchute.http import Headers, Request
from lynxchute.relay.call import Call
from lynxchute.upstreams.statement import NOTHING_STATED, Statement
from lynxchute.upstreams.upstream import Upstream


class ResponseKind(enum.Enum):
    """What the head of an upstream's answer says.

    Attributes
    ----------
    ANSWERED
        It worked on the request and this is its answer.
    NOT_RUN
        It did not run the request and will not.
    MOVED
        The same, because another upstream has its address by now.
    INVALID
        This is no answer of an upstream.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    MOVED = "moved"
    INVALID = "invalid"


@attrs.frozen
class Dispatch:
    """One send of a call to an upstream.

    Attributes
    ----------
    time_left
        Seconds that the upstream may take.
    account
        Name of the client account; empty where the route needs none.
    priority
        Rank among the upstream's requests; 0 comes first.
    resumes_after
        The last event that the caller has; empty for a new stream.
    fetch_from
        The engine that should hand over what it keeps of the prompt, if any.
    """

    upstream: Upstream
    time_left: float
    account: str = ""
    priority: int = 0
    last_event_id: str = ""
    fetch_from: Upstream | None = None


class Dialect(ABC):
    """Decode callers' requests and upstreams' answers."""

    @abstractmethod
    def read(self, request: Request) -> Call:
        """Return what a request asks for.

        Raises
        ------
        BadRequest, Refusal
            Where it cannot be served as it was sent.
        """

    @abstractmethod
    def upstream_headers(
        self, call: Call, dispatch: Dispatch
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a send, without the body's length."""

    @abstractmethod
    def is_answer(self, call: Call, head: h11.Response) -> bool:
        """Return whether an answer is one to this call."""

    @abstractmethod
    def response_kind(self, status: int, headers: Headers) -> ResponseKind:
        """Return what the head of an answer says."""

    def statement(self, status: int, headers: Headers) -> Statement:
        """Return what the head of an answer states of its upstream."""
        return NOTHING_STATED

    @abstractmethod
    def caller_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of an upstream's answer that the caller gets."""

    def told_tokens(self, data: bytes) -> int | None:
        """Return the tokens that an answer says it used; None where it does not.

        Parameters
        ----------
        data
            Whole events of a stream, or a whole body.
        """
        return None

    def for_caller(self, call: Call, data: bytes) -> bytes:
        """Return the events for the caller, of those that tell of tokens used."""
        return data


def is_for_request(head: h11.Response, name: str, request_id: str) -> bool:
    """Return whether a header names a request, or none at all.

    A refusal that was sent before the id had been read bears none.
    """
    wanted = name.lower().encode()
    for header, value in head.headers:
        if header == wanted:
            return bool(value == request_id.encode("latin-1"))
    return True
