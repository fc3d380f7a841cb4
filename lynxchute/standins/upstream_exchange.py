"""The response of a stand-in upstream to one request, with or without a fault."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import h11

from lynxchute.platform import names
from lynxchute.standins.upstream_run import SILENT_FAULTS, Fault, Run

KEEP_ALIVE_SECONDS = 10
# Seconds from the response head to the crash of a process that its request crashes.
CRASH_SECONDS = 0.04


@attrs.define
class UpstreamExchange:
    """One request at a stand-in upstream.

    Attributes
    ----------
    upstream_id
        The id of the upstream that answers.
    runs
        The list to which the run is appended, unless the request is declined.
    events, event_delay
        Number of events of a stream, 0 for a plain answer, and seconds before each.
    first_pause
        Seconds for which a stream pauses after its first event, in addition.
    backpressure_headers
        Returns the backpressure headers of an answer.
    software_version
        The version of the software that answers; each event names it.
    ends_with_connection
        Whether the answer has neither a length nor chunks.
    cuts_inside_event
        Whether a crash ends such a stream inside an event.
    plain_pieces
        Bytes of each piece of a plain answer; empty for an answer in one piece.
    """

    upstream_id: str
    runs: list[Run]
    events: int
    event_delay: float
    run: Run
    fault: Fault | None
    protocol: h11.Connection
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    backpressure_headers: Callable[..., list[tuple[str, str]]] = lambda **_: []
    first_pause: float = 0.0
    software_version: str = "v1"
    ends_with_connection: bool = False
    cuts_inside_event: bool = True
    plain_pieces: tuple[int, ...] = ()

    async def answer(self) -> bool:
        """Send the response; return whether the connection can be reused."""
        fault = self.fault
        if fault in (Fault.DECLINE, Fault.BUSY, Fault.MOVED):
            await self._refuse(fault)
            return True
        self.runs.append(self.run)
        if fault in SILENT_FAULTS:
            return await self._fail_without_answer()
        if fault is Fault.CRASH:
            return await self._run_until_crash()
        if fault is Fault.CUT_AND_CRASH:
            self._write_unframed_head(self._headers())
            self.writer.write(b"half")
            return False
        if fault is Fault.FAIL:
            await self._send_response(500, b"failed")
            return True
        if fault is Fault.LATE_EXTRA:
            self._write_raw(b"another", "another-request")
        if self.events:
            return await self._send_stream()
        if self.plain_pieces:
            return await self._send_pieces()
        await asyncio.sleep(self.event_delay)
        return await self._send_plain()

    async def _fail_without_answer(self) -> bool:
        if self.fault is Fault.HANG:
            self.run.router_disconnected = not await self.reader.read(1)
        elif self.fault is Fault.RESET:
            self.writer.transport.abort()
        elif self.fault is Fault.GARBLE:
            self.writer.write(b"\x00\x01garbage\r\n\r\n")
            await self.writer.drain()
        return False

    async def _run_until_crash(self) -> bool:
        """Run the request, sending no events, until the process crashes."""
        if self.events:
            self._send_stream_head()
            await self.writer.drain()
        await asyncio.sleep(CRASH_SECONDS)
        return False

    async def _send_plain(self) -> bool:
        if self.fault is Fault.CUT:
            self._write_raw(b"half of it", self.run.request_id, declared=400)
            await self.writer.drain()
            return False
        if self.fault is Fault.UNFRAMED or self.ends_with_connection:
            return await self._send_unframed()
        await self._send_response(200, b"answer to " + self.run.request_id.encode())
        if self.fault is Fault.EXTRA:
            self._write_raw(b"a second answer", self.run.request_id)
            await self.writer.drain()
            await asyncio.sleep(0.2)
            return False
        return True

    async def _send_pieces(self) -> bool:
        length = sum(self.plain_pieces)
        headers = [*self._headers(), ("Content-Length", str(length))]
        self._send(h11.Response(status_code=200, headers=headers))
        for size in self.plain_pieces:
            self._send(h11.Data(data=b"x" * size))
            await self.writer.drain()
            await asyncio.sleep(self.event_delay)
            if self._is_router_gone():
                self.run.router_disconnected = True
                return False
        self._send(h11.EndOfMessage())
        self.run.ended = True
        await self.writer.drain()
        return True

    async def _refuse(self, fault: Fault) -> None:
        status = {Fault.DECLINE: 503, Fault.BUSY: 429, Fault.MOVED: 421}[fault]
        headers = [("Content-Length", "0"), (names.UPSTREAM_ID, self.upstream_id)]
        if fault is not Fault.MOVED:
            headers.append((names.NOT_RUN, "1"))
            headers.extend(self.backpressure_headers(is_refusal=True))
        self._send(h11.Response(status_code=status, headers=headers))
        self._send(h11.EndOfMessage())
        await self.writer.drain()

    async def _send_response(self, status: int, body: bytes) -> None:
        headers = [*self._headers(), ("Content-Length", str(len(body)))]
        self._send(h11.Response(status_code=status, headers=headers))
        if self.run.method != "HEAD":
            self._send(h11.Data(data=body))
        self._send(h11.EndOfMessage())
        self.run.ended = True
        await self.writer.drain()

    async def _send_unframed(self) -> bool:
        self._write_unframed_head(self._headers())
        if self.run.method != "HEAD":
            self.writer.write(b"answer to " + self.run.request_id.encode())
        self.run.ended = True
        await self.writer.drain()
        return False

    def _write_unframed_head(self, headers: list[tuple[str, str]]) -> None:
        """Write the head of a response whose body ends with the connection."""
        # h11 would add chunked framing.
        head = "".join(f"{name}: {value}\r\n" for name, value in headers)
        self.writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())

    def _send_data(self, data: bytes) -> None:
        if self.ends_with_connection:
            self.writer.write(data)
        else:
            self._send(h11.Data(data=data))

    async def _send_stream(self) -> bool:
        try:
            return await self._send_events()
        except asyncio.CancelledError:
            if self.ends_with_connection and self.cuts_inside_event:
                self.writer.write(b"id: ")
            raise

    async def _send_events(self) -> bool:
        self._send_stream_head()
        for number in range(self.run.first_event, self.events + 1):
            await asyncio.sleep(self.event_delay)
            if number == 2:
                await asyncio.sleep(self.first_pause)
            if self._is_router_gone():
                self.run.router_disconnected = True
                return False
            event = (
                f"id: {number}\ndata: {self.run.request_id}.{number}\n"
                f"software: {self.software_version}\n\n"
            )
            if self.fault is Fault.CUT and number == self.events // 2:
                self._send_data(event.encode()[:9])
                await self.writer.drain()
                return False
            self._send_data(event.encode())
            self.run.events_sent += 1
            await self.writer.drain()
        if not self.ends_with_connection:
            self._send(h11.EndOfMessage())
        self.run.ended = True
        await self.writer.drain()
        return not self.ends_with_connection

    def _send_stream_head(self) -> None:
        headers = [*self._headers(), ("Content-Type", "text/event-stream")]
        if self.ends_with_connection:
            self._write_unframed_head(headers)
            return
        headers.append(("Transfer-Encoding", "chunked"))
        self._send(h11.Response(status_code=200, headers=headers))

    def _is_router_gone(self) -> bool:
        closing = self.writer.transport.is_closing()
        return closing or self.reader.at_eof() or self.reader.exception() is not None

    def _headers(self) -> list[tuple[str, str]]:
        headers = [
            (names.REQUEST_ID, self.run.request_id),
            ("Keep-Alive", f"timeout={KEEP_ALIVE_SECONDS}"),
            *self.backpressure_headers(),
        ]
        if self.fault is not Fault.UNSIGNED:
            signature = f"{self.upstream_id}.{self.run.request_id}"
            headers.append((names.SIGNATURE, signature))
        return headers

    def _write_raw(
        self, body: bytes, request_id: str, declared: int | None = None
    ) -> None:
        length = len(body) if declared is None else declared
        head = (
            f"HTTP/1.1 200 OK\r\n{names.REQUEST_ID}: {request_id}\r\n"
            f"{names.SIGNATURE}: x\r\nContent-Length: {length}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)

    def _send(self, event: Any) -> None:
        self.writer.write(self.protocol.send(event) or b"")
