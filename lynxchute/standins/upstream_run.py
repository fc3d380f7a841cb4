"""The faults of stand-in upstreams, their records of runs, and request parsing."""

from __future__ import annotations

import asyncio
import enum

import attrs
import h11

from lynxchute.platform import names
from lynxchute.standins.budget_rules import Received

READ_SIZE = 65536


class Fault(enum.Enum):
    """What a stand-in upstream does wrong with one request.

    Attributes
    ----------
    DECLINE, BUSY
        Answer 503 or 429 and state that the request did not run.
    FAIL
        Run it and answer 500.
    HANG
        Run it and never answer.
    LOSE, RESET
        Run it and close or reset the connection without an answer.
    CUT
        Run it and break off in the middle of an event or of the body.
    GARBLE
        Run it and send bytes that are not HTTP.
    EXTRA
        Serve it, and send a second response after the first.
    LATE_EXTRA
        Send a response to another request before its own.
    UNFRAMED
        Answer without a body length; the end of the connection ends the body.
    UNSIGNED
        Answer without a signature.
    MOVED
        Answer 421: another upstream has this address.
    EARLY
        Decline before the body has been read.
    CUT_AND_CRASH
        Run it, send half of an unframed answer, then crash the process.
    CRASH
        Start to run it, then crash the process and close all connections.
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
    CUT_AND_CRASH = "cut and crash"
    CRASH = "crash"


@attrs.define(eq=False)
class Run:
    """A request that a stand-in upstream ran."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_event: int = 1
    events_sent: int = 0
    ended: bool = False
    router_disconnected: bool = False
    received: Received = attrs.Factory(lambda: Received(0.0, "", ""))

    @property
    def shared_part_ids(self) -> list[str]:
        """Return the ids of all prompt parts but the last, in lower case."""
        parts = self.headers.get(names.PROMPT_PARTS.lower(), "").split(",")
        return [part.partition(":")[0].strip().lower() for part in parts[:-1]]


SILENT_FAULTS = frozenset({Fault.HANG, Fault.LOSE, Fault.RESET, Fault.GARBLE})


def parse_run(head: h11.Request) -> Run:
    """Return the run that a request's head describes, without its body."""
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
        # An event id that this upstream cannot have sent is ignored.
        first_event=int(last) + 1 if last.isdigit() else 1,
    )


async def next_event(protocol: h11.Connection, reader: asyncio.StreamReader) -> object:
    """Return the next event of a connection, reading as much as it needs."""
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(await reader.read(READ_SIZE))


async def read_body(protocol: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    """Return a request's body; raise if the router disconnects before its end."""
    parts = []
    while True:
        event = await next_event(protocol, reader)
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            continue
        if isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        raise ConnectionResetError(
            "the router disconnected before the end of its request"
        )
