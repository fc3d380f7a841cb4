"""Encoding and decoding of chat completions and plain calls."""

from __future__ import annotations

import json
import re
import secrets

import attrs
import h11

from lynxchute.callers import names
from lynxchute.callers.question import ChatRequest, parse_chat_request
from lynxchute.config.document import hash_key
from lynxchute.config.from_document import CHAT_PATH
from lynxchute.http import BadRequest, Headers, Request
from lynxchute.relay.call import Call
from lynxchute.relay.dialect import (
    Dialect,
    ResponseKind,
    SendParameters,
    is_for_request,
)
from lynxchute.relay.events import SEPARATOR
from lynxchute.relay.refusal import Reason, Refusal
from lynxchute.upstreams.statement import DeclaredBackpressure
from lynxchute.upstreams.statement_headers import BackpressureHeaders

BEARER = "bearer "
# Maximum length of a request id; longer ones are not useful for lookups.
MAX_ID_CHARACTERS = 200
ID_BYTES = 16
# The length is set separately; a forwarded length header would break the framing.
NOT_FORWARDED = names.ROUTER_ONLY | {
    "content-length",
    "expect",
    names.REQUEST_ID.lower(),
}
NOT_RETURNED = frozenset({"content-length"})
STATEMENT_HEADERS = BackpressureHeaders(names.LIMIT, names.LEAVING, names.BRITTLE)
USAGE_PATTERN = re.compile(rb'"usage":\s*\{[^{}]*"total_tokens":\s*([0-9]{1,12})')


@attrs.frozen
class ChatCall(Call):
    """A chat completion call.

    Attributes
    ----------
    wants_usage
        Whether the caller asked for a final stream event with the token usage.
    """

    wants_usage: bool = False


class ChatDialect(Dialect):
    """Dialect of the product's own API.

    Parameters
    ----------
    max_answer_tokens
        Largest number of output tokens that a caller may request, and the default.
    """

    def __init__(self, max_answer_tokens: int) -> None:
        self._max_answer_tokens = max_answer_tokens

    def read(self, request: Request) -> Call:
        """Decode a request."""
        headers = request.headers
        request_id = headers.get(names.REQUEST_ID.lower(), "")
        if len(request_id) > MAX_ID_CHARACTERS:
            title = f"{names.REQUEST_ID} is longer than {MAX_ID_CHARACTERS} characters."
            raise Refusal(Reason.MALFORMED, title)
        request_id = request_id or secrets.token_hex(ID_BYTES)
        key = bearer_key(headers)
        key_hash = hash_key(key) if key else ""
        if request.path == CHAT_PATH:
            return self._read_chat(request, request_id, key_hash)
        return Call(request=request, request_id=request_id, host="", key=key_hash)

    def _read_chat(self, request: Request, request_id: str, key: str) -> Call:
        if request.method != "POST":
            raise BadRequest(405, "Chat completions are asked for with POST.")
        parsed = parse_chat_request(request)
        if parsed.is_error():
            raise Refusal(Reason.MALFORMED, " ".join(parsed.error))
        chat_request: ChatRequest = parsed.ok
        limit = self._max_answer_tokens
        if chat_request.max_tokens is not None and chat_request.max_tokens > limit:
            raise Refusal(Reason.MALFORMED, f"'max_tokens' may be at most {limit}.")
        max_tokens = chat_request.max_tokens or limit
        return ChatCall(
            request=attrs.evolve(request, body=chat_request.engine_body(max_tokens)),
            request_id=request_id,
            host=chat_request.model,
            key=key,
            last_event_id=request.headers.get(names.LAST_EVENT.lower(), ""),
            resumes=request.headers.get(names.RESUMES.lower(), ""),
            generation=chat_request.generation(request_id, max_tokens),
            wants_usage=chat_request.wants_usage,
        )

    def upstream_headers(
        self, call: Call, parameters: SendParameters
    ) -> list[tuple[bytes, bytes]]:
        """Return the request headers for an upstream, except for the body length."""
        dropped = NOT_FORWARDED | {names.LAST_EVENT.lower()}
        headers = call.request.headers.end_to_end(dropped)
        router_headers = [
            (names.REQUEST_ID, call.request_id),
            (names.TIME_LEFT, f"{parameters.time_left:.3f}"),
            (names.EXPECTED_UPSTREAM, parameters.upstream.id),
        ]
        if parameters.account:
            router_headers.append((names.ACCOUNT, parameters.account))
        if call.generation is not None:
            router_headers.append((names.PRIORITY, str(parameters.priority)))
        if parameters.software_version:
            router_headers.append((names.EXPECTED_VERSION, parameters.software_version))
        if parameters.last_event_id:
            router_headers.append((names.LAST_EVENT, parameters.last_event_id))
        headers.extend(
            (name.encode(), value.encode("latin-1")) for name, value in router_headers
        )
        return headers

    def matches_request(self, call: Call, head: h11.Response) -> bool:
        """Return whether a response belongs to this call."""
        return is_for_request(head, names.REQUEST_ID, call.request_id)

    def response_kind(self, status: int, headers: Headers) -> ResponseKind:
        """Classify a response by its status and headers."""
        if status == 421:
            return ResponseKind.MOVED
        if headers.get(names.RUN.lower()) == names.NOT_RUN:
            return ResponseKind.NOT_RUN
        if names.REQUEST_ID.lower() not in headers or "content-encoding" in headers:
            return ResponseKind.INVALID
        return ResponseKind.ANSWERED

    def statement(self, status: int, headers: Headers) -> DeclaredBackpressure:
        """Return what an upstream's response headers report about its state."""
        return STATEMENT_HEADERS.decode(status, headers)

    def software_version(self, headers: Headers) -> str:
        """Return the software version that a response states; empty for none."""
        return headers.get(names.SOFTWARE_VERSION.lower(), "")

    def caller_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the upstream's response headers that are forwarded to the caller."""
        return headers.end_to_end(NOT_RETURNED)

    def reported_tokens(self, data: bytes) -> int | None:
        """Return the token usage that a response reports; None if it reports none."""
        if b'"usage"' not in data:
            return None
        found = USAGE_PATTERN.search(data)
        return int(found[1]) if found is not None else None

    def caller_events(self, call: Call, data: bytes) -> bytes:
        """Drop the usage event if only the router requested it."""
        if not isinstance(call, ChatCall) or call.wants_usage:
            return data
        kept_events = []
        for event in data.split(SEPARATOR):
            if event and USAGE_PATTERN.search(event) is None:
                kept_events.append(event + SEPARATOR)
        return b"".join(kept_events)


def bearer_key(headers: Headers) -> str:
    """Return the bearer token of a request, or an empty string.

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
    """Return the model list in the format of the OpenAI API."""
    data = []
    for model in models:
        data.append(
            {"id": model, "object": "model", "created": 0, "owned_by": "lynxchute"}
        )
    return json.dumps({"object": "list", "data": data}).encode()
