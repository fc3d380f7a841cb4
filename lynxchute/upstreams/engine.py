"""What a router asks a model engine beside chat completions."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from lynxchute.http import ExchangeFailed, HttpClient, Response

REQUESTS_PATH = "/v1/requests/"


class RunState(enum.Enum):
    """What an engine says of a request id."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    NEVER_RAN = "never_ran"
    UNKNOWN = "unknown"


@attrs.frozen
class Run:
    """A request as its engine knows it.

    Attributes
    ----------
    total_tokens
        Prompt and answer so far, in tokens.
    """

    state: RunState
    total_tokens: int = 0


async def run_of(client: HttpClient, attempt: str) -> Run:
    """Ask an engine about an attempt.

    Raises
    ------
    ExchangeFailed
        Where the engine does not say.
    """
    status, value = await client.get_json(REQUESTS_PATH + attempt)
    return _run(status, value)


async def cancel_run(client: HttpClient, attempt: str) -> Run:
    """Cancel an attempt; one that never ran cannot run afterwards.

    Raises
    ------
    ExchangeFailed
        Where the engine does not say.
    """
    response = await client.request("DELETE", REQUESTS_PATH + attempt)
    return _run(response.status, await response.json())


async def resume_stream(client: HttpClient, attempt: str, position: int) -> Response:
    """Read an attempt's stream again, from a token position on."""
    target = f"{REQUESTS_PATH}{attempt}/stream?from={position}"
    return await client.request("GET", target)


async def whole_answer(client: HttpClient, attempt: str) -> Response:
    """Read an attempt's whole answer once it has ended."""
    return await client.request("GET", f"{REQUESTS_PATH}{attempt}/answer")


def _run(status: int, value: Any) -> Run:
    if status not in (200, 404):
        raise ExchangeFailed(f"the engine answered {status}", sent=True)
    try:
        usage = value.get("usage") or {}
        return Run(RunState(value["state"]), usage.get("total_tokens", 0))
    except (AttributeError, KeyError, ValueError) as error:
        raise ExchangeFailed(f"no run: {error}", sent=True) from error
