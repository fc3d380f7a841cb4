"""What a stand-in of an upstream does with a request, and what it remembers of it."""

from __future__ import annotations

import asyncio
import enum

import attrs
import h11

from lynxchute.platform import names

READ_SIZE = 65536


class Fault(enum.Enum):
    """What an upstream does with a request instead of serving it.

    Attributes
    ----------
    DECLINE, BUSY
        Say that it was not run, with 503 or 429.
    FAIL
        Run it and answer 500.
    HANG
        Take it and say nothing.
    LOSE, RESET
        Run it and close or reset the connection without an answer.
    CUT
        Run it and break the answer off within an event or the body.
    GARBLE
        Run it and send bytes that are not HTTP.
    EXTRA
        Serve it, and send a second answer after the first.
    LATE_EXTRA
        Before the answer, send one to another request.
    UNFRAMED
        Serve it without a length, ending with the connection.
    UNSIGNED
        Answer without a signature.
    MOVED
        Say that another upstream has the address.
    EARLY
        Decline before the body has been read.
    CRASH
        Begin to run it, and end with everything that is open.
    """

    DECLINE = "decline"
    BUSY = "busy"
    FAIL = "fail"
    HANG = "hang"
    LOSE = "lose"
    RESET = "reset"
    CUT = "cut"
    GARBLE = "garble"
    EXTRA = "extra"
    LATE_EXTRA = "late extra"
    UNFRAMED = "unframed"
    UNSIGNED = "unsigned"
    MOVED = "moved"
    EARLY = "early"
    CRASH = "crash"


@attrs.define(eq=False)
class Run:
    """A request that an upstream has worked on."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_event: int = 1
    events_sent: int = 0
    ended: bool = False
    caller_left: bool = False


SILENT_FAULTS = frozenset({Fault.HANG, Fault.LOSE, Fault.RESET, Fault.GARBLE})


def run_of(head: h11.Request) -> Run:
    """Return what a request's head says."""
    headers = {
        name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers
    }
    last = headers.get(names.LAST_EVENT.lower(), "0")
    return Run(
        headers.get(names.REQUEST_ID.lower(), ""),
        head.method.decode(),
        head.target.decode(),
        headers,
        b"",
        # An id that it has never given is passed over.
        first_event=int(last) + 1 if last.isdigit() else 1,
    )


async def next_event(protocol: h11.Connection, reader: asyncio.StreamReader) -> object:
    """Return the next event of a connection."""
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(await reader.read(READ_SIZE))


async def read_body(protocol: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    """Return the rest of a request; raise where the router leaves within it."""
    parts = []
    while True:
        event = await next_event(protocol, reader)
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            continue
        if isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        raise ConnectionResetError("the router left within its request")
