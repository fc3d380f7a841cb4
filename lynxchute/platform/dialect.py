"""Decode and encode the platform's HTTP headers for callers and upstreams."""

from __future__ import annotations

import re

import h11

from lynxchute.http import BadRequest, Headers, Request
from lynxchute.platform import names
from lynxchute.platform.statements import STATEMENT_HEADERS
from lynxchute.relay.call import Call
from lynxchute.relay.dialect import (
    Dialect,
    ResponseKind,
    SendParameters,
    is_for_request,
)
from lynxchute.upstreams.generation import Generation, PromptPart
from lynxchute.upstreams.statement import DeclaredBackpressure

SINGLE_VALUE_HEADERS = (
    names.REQUEST_ID,
    names.DEADLINE,
    names.KEY,
    names.MODEL,
    names.TOKENS,
    names.PROMPT_PARTS,
    names.LAST_EVENT,
    names.RESUMES,
)
MAX_PROMPT_PARTS = 64
# Each hop sets its own message framing; a forwarded length could contradict it.
NOT_FORWARDED = names.ROUTER_ONLY | {"content-length", "expect"}
NOT_RETURNED = frozenset({"content-length"})
MAX_PRIORITY = 9

# The digits are limited, so that no header can carry an unrealistically large number.
NUMBER_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?", re.ASCII)
TOKEN_COUNTS = re.compile(r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*", re.ASCII)
PROMPT_PART = re.compile(r"\s*([0-9A-Za-z_-]{1,64}):([0-9]{1,9})\s*", re.ASCII)


class PlatformDialect(Dialect):
    """Translate between the platform's headers and the relay's types."""

    def read(self, request: Request) -> Call:
        """Return the decoded call, or raise `BadRequest` for invalid headers."""
        headers = request.headers
        for name in SINGLE_VALUE_HEADERS:
            if headers.count(name.lower()) > 1:
                raise BadRequest(400, f"The header {name} stands twice.")
        request_id = headers.get(names.REQUEST_ID.lower(), "")
        if not request_id:
            raise BadRequest(400, f"Send a {names.REQUEST_ID} with each request.")
        return Call(
            request=request,
            request_id=request_id,
            host=_host_name(headers.get("host", "")),
            key=headers.get(names.KEY.lower(), ""),
            caller_timeout=_caller_timeout(headers),
            last_event_id=headers.get(names.LAST_EVENT.lower(), ""),
            resumes=headers.get(names.RESUMES.lower(), ""),
            generation=_generation(headers),
        )

    def upstream_headers(
        self, call: Call, parameters: SendParameters
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for one send to an upstream, without Content-Length."""
        dropped = NOT_FORWARDED
        if parameters.last_event_id:
            dropped = dropped | {names.LAST_EVENT.lower()}
        headers = call.request.headers.end_to_end(dropped)
        left_ms = max(int(parameters.time_left * 1000), 1)
        router_headers = [
            (names.DEADLINE, str(left_ms)),
            (names.EXPECTED_UPSTREAM, parameters.upstream.id),
        ]
        if parameters.account:
            router_headers.append((names.ACCOUNT, parameters.account))
        if call.generation is not None:
            router_headers.append(
                (names.PRIORITY, str(min(parameters.priority, MAX_PRIORITY)))
            )
        if parameters.fetch_from is not None:
            router_headers.append((names.FETCH_CACHE, parameters.fetch_from.address))
        if parameters.last_event_id:
            router_headers.append((names.LAST_EVENT, parameters.last_event_id))
        headers.extend(
            (name.encode(), value.encode("latin-1")) for name, value in router_headers
        )
        return headers

    def matches_request(self, call: Call, head: h11.Response) -> bool:
        """Return whether an answer carries the id of this call."""
        return is_for_request(head, names.REQUEST_ID, call.request_id)

    def response_kind(self, status: int, headers: Headers) -> ResponseKind:
        """Return the kind of an answer, by its status and headers."""
        if status == 421:
            return ResponseKind.MOVED
        if names.NOT_RUN.lower() in headers:
            return ResponseKind.NOT_RUN
        if names.SIGNATURE.lower() not in headers:
            return ResponseKind.INVALID
        if "content-encoding" in headers:
            return ResponseKind.INVALID
        return ResponseKind.ANSWERED

    def statement(self, status: int, headers: Headers) -> DeclaredBackpressure:
        """Return the rate limit, backoff and drain state in the head of an answer."""
        return STATEMENT_HEADERS.decode(status, headers)

    def caller_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of an upstream's answer to forward to the caller."""
        return headers.end_to_end(NOT_RETURNED)


def _host_name(value: str) -> str:
    return value.partition(":")[0].lower()


def _caller_timeout(headers: Headers) -> float | None:
    value = headers.get(names.DEADLINE.lower())
    if value is None:
        return None
    if not NUMBER_PATTERN.fullmatch(value):
        raise BadRequest(400, f"{names.DEADLINE} is no number.")
    return float(value) / 1000.0


def _generation(headers: Headers) -> Generation | None:
    counts = headers.get(names.TOKENS.lower())
    if counts is None:
        return None
    # "PROMPT,MAX_OUTPUT": tokens of the prompt, then the limit for the answer.
    matched = TOKEN_COUNTS.fullmatch(counts)
    if matched is None:
        raise BadRequest(400, f"{names.TOKENS} is not two numbers.")
    hint = headers.get(names.LENGTH_HINT.lower(), "")
    return Generation(
        model=headers.get(names.MODEL.lower(), ""),
        prompt_tokens=int(matched[1]),
        max_output_tokens=int(matched[2]),
        parts=_prompt_parts(headers.get(names.PROMPT_PARTS.lower(), "")),
        expected_output_tokens=int(float(hint))
        if NUMBER_PATTERN.fullmatch(hint)
        else None,
    )


def _prompt_parts(value: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for item in value.split(",") if value else ():
        matched = PROMPT_PART.fullmatch(item)
        if matched is None or len(parts) == MAX_PROMPT_PARTS:
            raise BadRequest(400, f"{names.PROMPT_PARTS} cannot be read.")
        parts.append(PromptPart(matched[1], int(matched[2])))
    return tuple(parts)
