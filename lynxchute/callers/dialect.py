"""Chat completions and plain calls, towards callers and upstreams."""

from __future__ import annotations

import json
import re
import secrets

import attrs
import h11

from lynxchute.callers import names
from lynxchute.callers.question import Question, parse_chat_request
from lynxchute.config.document import hash_key
from lynxchute.config.from_document import CHAT_PATH
from lynxchute.http import BadRequest, Headers, Request
from lynxchute.relay.call import Call
from lynxchute.relay.dialect import Dialect, Dispatch, ResponseKind, is_for_request
from lynxchute.relay.events import SEPARATOR
from lynxchute.relay.refusal import Reason, Refusal
from lynxchute.upstreams.statement import Statement
from lynxchute.upstreams.statement_headers import StatementHeaders

BEARER = "bearer "
# Ids longer than this name nothing that anyone looks up.
MAX_ID_CHARACTERS = 200
ID_BYTES = 16
# The lengths are given on their own, or would break the framing here.
NOT_FORWARDED = names.ROUTER_ONLY | {
    "content-length",
    "expect",
    names.REQUEST_ID.lower(),
}
NOT_RETURNED = frozenset({"content-length"})
STATEMENT_HEADERS = StatementHeaders(names.LIMIT, names.LEAVING)
USAGE = re.compile(rb'"usage":\s*\{[^{}]*"total_tokens":\s*([0-9]{1,12})')


@attrs.frozen
class ChatCall(Call):
    """A chat completion.

    Attributes
    ----------
    wants_usage
        Whether a stream is to end with an event that tells the tokens used.
    """

    wants_usage: bool = False


class ChatDialect(Dialect):
    """Decode and encode the product's own interface.

    Parameters
    ----------
    max_answer_tokens
        Tokens of the longest answer that a caller may ask for; what one gets
        that does not say.
    """

    def __init__(self, max_answer_tokens: int) -> None:
        self._max_answer_tokens = max_answer_tokens

    def read(self, request: Request) -> Call:
        """Return what a request asks for."""
        headers = request.headers
        request_id = headers.get(names.REQUEST_ID.lower(), "")
        if len(request_id) > MAX_ID_CHARACTERS:
            title = f"{names.REQUEST_ID} is longer than {MAX_ID_CHARACTERS} characters."
            raise Refusal(Reason.MALFORMED, title)
        request_id = request_id or secrets.token_hex(ID_BYTES)
        key = bearer_key(headers)
        hashed = hash_key(key) if key else ""
        if request.path == CHAT_PATH:
            return self._read_chat(request, request_id, hashed)
        return Call(request=request, request_id=request_id, host="", key=hashed)

    def _read_chat(self, request: Request, request_id: str, key: str) -> Call:
        if request.method != "POST":
            raise BadRequest(405, "Chat completions are asked for with POST.")
        parsed = parse_chat_request(request)
        if parsed.is_error():
            raise Refusal(Reason.MALFORMED, " ".join(parsed.error))
        question: Question = parsed.ok
        most = self._max_answer_tokens
        if question.max_tokens is not None and question.max_tokens > most:
            raise Refusal(Reason.MALFORMED, f"'max_tokens' may be at most {most}.")
        max_tokens = question.max_tokens or most
        return ChatCall(
            request=attrs.evolve(request, body=question.for_engine(max_tokens)),
            request_id=request_id,
            host=question.model,
            key=key,
            last_event_id=request.headers.get(names.LAST_EVENT.lower(), ""),
            generation=question.generation(request_id, max_tokens),
            wants_usage=question.wants_usage,
        )

    def upstream_headers(
        self, call: Call, dispatch: Dispatch
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a send, without the body's length."""
        dropped = NOT_FORWARDED | {names.LAST_EVENT.lower()}
        headers = call.request.headers.end_to_end(dropped)
        own = [
            (names.REQUEST_ID, call.request_id),
            (names.TIME_LEFT, f"{dispatch.time_left:.3f}"),
            (names.EXPECTED_UPSTREAM, dispatch.upstream.id),
        ]
        if dispatch.account:
            own.append((names.ACCOUNT, dispatch.account))
        if call.generation is not None:
            own.append((names.PRIORITY, str(dispatch.priority)))
        if dispatch.last_event_id:
            own.append((names.LAST_EVENT, dispatch.last_event_id))
        headers.extend((name.encode(), value.encode("latin-1")) for name, value in own)
        return headers

    def is_answer(self, call: Call, head: h11.Response) -> bool:
        """Return whether an answer is one to this call."""
        return is_for_request(head, names.REQUEST_ID, call.request_id)

    def response_kind(self, status: int, headers: Headers) -> ResponseKind:
        """Return what the head of an answer says."""
        if status == 421:
            return ResponseKind.MOVED
        if headers.get(names.RUN.lower()) == names.NOT_RUN:
            return ResponseKind.NOT_RUN
        if names.REQUEST_ID.lower() not in headers or "content-encoding" in headers:
            return ResponseKind.INVALID
        return ResponseKind.ANSWERED

    def statement(self, status: int, headers: Headers) -> Statement:
        """Return what the head of an answer states of its upstream."""
        return STATEMENT_HEADERS.decode(status, headers)

    def caller_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of an upstream's answer that the caller gets."""
        return headers.end_to_end(NOT_RETURNED)

    def told_tokens(self, data: bytes) -> int | None:
        """Return the tokens that an answer says it used; None where it does not."""
        if b'"usage"' not in data:
            return None
        found = USAGE.search(data)
        return int(found[1]) if found is not None else None

    def for_caller(self, call: Call, data: bytes) -> bytes:
        """Leave out the event that only the router asked for."""
        if not isinstance(call, ChatCall) or call.wants_usage:
            return data
        kept = []
        for event in data.split(SEPARATOR):
            if event and USAGE.search(event) is None:
                kept.append(event + SEPARATOR)
        return b"".join(kept)


def bearer_key(headers: Headers) -> str:
    """Return the key that a request bears, or the empty string.

    Examples
    --------
    >>> bearer_key(Headers([(b"Authorization", b"Bearer k1")]))
    'k1'
    """
    value = headers.get(names.AUTHORIZATION.lower(), "")
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip()


def models_body(models: list[str]) -> bytes:
    """Return the list of models as OpenAI-style clients expect it."""
    data = []
    for model in models:
        data.append(
            {"id": model, "object": "model", "created": 0, "owned_by": "lynxchute"}
        )
    return json.dumps({"object": "list", "data": data}).encode()
