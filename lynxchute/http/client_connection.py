"""A connection of the HTTP client and its protocol state."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

import attrs
import h11

from lynxchute.http.early_end import EarlyEndWatch
from lynxchute.http.link_meter import UNLIMITED_LINK, LinkMeter
from lynxchute.http.parsing_turns import MAX_EVENTS, PROCESS_TURNS
from lynxchute.http.sockets import (
    apply_options,
    pending_error,
    unacknowledged_bytes,
)

# Unread bytes of a response at which reading from the socket is paused.
MAX_UNREAD_BYTES = 262_144
# Informational responses before a response; a peer that sends more counts as broken.
MAX_INFORMATIONAL_RESPONSES = 10
# Bytes of the body of a response to an earlier request that are skipped.
MAX_SKIPPED_BYTES = 1_048_576
# Seconds before the end of the Keep-Alive timeout from which an idle connection is not
# reused: the timeout is given in whole seconds, and a request takes time to arrive.
KEEP_ALIVE_MARGIN = 0.5
# Their responses never have a body (RFC 9110, 6.4.1).
STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Statuses outside this range are invalid (RFC 9110, 15).
MAX_STATUS = 599
# Statuses of requests that the peer need not read to their end (RFC 9110, 15.5).
REFUSAL_STATUSES = range(400, 500)
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*\"?(\d+)", re.IGNORECASE)


class BrokenConnectionError(Exception):
    """Raised if no further response can be read from a connection."""


@attrs.frozen
class OutgoingRequest:
    """The head of a request, before it is sent."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]

    def event(self) -> h11.Request:
        """Return the head as an `h11` event."""
        return h11.Request(method=self.method, target=self.target, headers=self.headers)


def is_framed(head: h11.Response, method: str) -> bool:
    """Return whether a response has a length or chunks, or never has a body.

    The body of another one ends with the connection.
    """
    if method == "HEAD" or head.status_code in STATUSES_WITHOUT_BODY:
        return True
    return any(
        name in (b"content-length", b"transfer-encoding") for name, _ in head.headers
    )


class ClientConnection(asyncio.Protocol):
    """Sends one request at a time and reads its response.

    Parameters
    ----------
    meter
        Counts the traffic on the VM's link.

    Attributes
    ----------
    idle_since
        When the last exchange ended, in seconds on the clock of the event loop.
    keep_alive_seconds
        Seconds for which the peer keeps an idle connection open, less a margin; 0 if
        it sent no Keep-Alive header.
    via
        VM of the router that forwards the connection's bytes; empty if none does.
    """

    via: str = ""

    def __init__(self, meter: LinkMeter = UNLIMITED_LINK) -> None:
        self.idle_since = 0.0
        self._meter = meter
        self.keep_alive_seconds = 0.0
        self._protocol = h11.Connection(h11.CLIENT)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._request: OutgoingRequest | None = None
        self._in_use = False
        self._closed = False
        self._is_retired = False
        self._error: Exception | None = None
        self._deferred_error: BrokenConnectionError | None = None
        self._body_ended = False
        self._head: h11.Response | None = None
        self._has_received = False
        self._early_end: EarlyEndWatch | None = None
        self._unread_bytes = 0
        self._paused = False
        self._consume: Callable[[bytes], bool] | None = None
        self._wants_more = True
        self._has_unparsed = False

    @property
    def is_alive(self) -> bool:
        """Return whether the connection is open for writing."""
        transport = self._transport
        if self._closed or self._early_end is not None or transport is None:
            return False
        return not transport.is_closing()

    @property
    def method(self) -> str:
        """Return the method of the request in progress; empty if there is none."""
        return self._request.method if self._request is not None else ""

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        apply_options(transport)

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the peer."""
        self._meter.record_received(len(data))
        if not self._in_use:
            # Unsolicited bytes may be the start of a response to an earlier request.
            self.abort()
            return
        self._has_received = True
        self._protocol.receive_data(data)
        if self._consume is not None and self._deliver(self._consume):
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            assert self._transport is not None
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Handle the end of the stream from the peer.

        Returns
        -------
        bool
            Whether the rest of the request is still sent, as the end proves nothing
            before the peer has it.
        """
        if self._early_end is not None:
            return True
        if self._is_end_early():
            self._early_end = EarlyEndWatch(
                self._unacknowledged_bytes, self._pending_error, self._judge_end
            )
            return True
        self._take_end()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the loss of the connection; an error means a reset."""
        if self._early_end is not None:
            self._judge_end(error or ConnectionAbortedError("lost"))
            return
        self._closed = True
        self._error = self._error or error
        self._wake()

    def _is_end_early(self) -> bool:
        """Return whether the connection ends before the peer has the request."""
        if (
            not self._in_use
            or not self._has_received
            or not self._unacknowledged_bytes()
        ):
            return False
        return self._head is None or self._needs_proof(self._head)

    def _needs_proof(self, head: h11.Response) -> bool:
        """Return whether the end of a response is only that of its connection.

        A refusal may come before the request has been read.
        """
        return head.status_code not in REFUSAL_STATUSES and not is_framed(
            head, self.method
        )

    def _take_end(self) -> None:
        """Pass the end of the stream to the protocol."""
        self._protocol.receive_data(b"")
        self._closed = True
        self._wake()

    def _judge_end(self, error: Exception | None) -> None:
        """End the response after an early end; it is broken if there is an error."""
        watch, self._early_end = self._early_end, None
        if watch is None:
            return
        watch.cancel()
        if error is None:
            self._take_end()
        else:
            self._closed = True
            self._error = ConnectionAbortedError(
                f"it ended {watch.missing_bytes} bytes before the end of the request: "
                f"{error!r}"
            )
            self._wake()
        if self._transport is not None:
            self._transport.abort()

    def _unacknowledged_bytes(self) -> int:
        """Return the bytes of requests that the peer has not acknowledged."""
        transport = self._transport
        return 0 if transport is None else unacknowledged_bytes(transport)

    def _pending_error(self) -> OSError | None:
        """Return the error that the kernel has recorded for the connection."""
        return None if self._transport is None else pending_error(self._transport)

    # Called by the client.

    def announce(self, label: str) -> None:
        """Name the next request to a router that forwards it; there is none here."""

    def report_backoff(self, seconds: float) -> None:
        """Report a backoff to a router that forwards requests; there is none here."""

    def retire(self) -> None:
        """Use the connection for no further request; close it if it is idle."""
        self._is_retired = True
        if not self._in_use:
            self.abort()

    def send(self, request: OutgoingRequest, body: bytes) -> None:
        """Send a request.

        Raises
        ------
        BrokenConnectionError
            If the connection is already closed.
        """
        if not self.is_alive:
            raise BrokenConnectionError("the connection had ended")
        self._in_use = True
        self._has_received = False
        self._head = None
        self._request = request
        data = self._encode_request(request, body)
        assert self._transport is not None
        self._meter.record_sent(len(data))
        self._transport.write(data)

    async def read_head(self) -> h11.Response:
        """Return the head of the next response.

        Raises
        ------
        BrokenConnectionError
            If no response arrives, or if the bytes are not valid HTTP.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._body_ended = False
                self._head = event
                if not self._needs_proof(event):
                    self._judge_end(None)
                self._record_keep_alive(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenConnectionError("the peer closed without an answer")
        raise BrokenConnectionError("too many informational responses")

    def unread_head(self) -> h11.Response | None:
        """Return the head of a response that has arrived and is not read, or None."""
        try:
            event = self._poll_event()
        except BrokenConnectionError:
            return None
        return event if isinstance(event, h11.Response) else None

    def read_available(self) -> bytes | None:
        """Return the available bytes of the body, or None at its end.

        Empty if no bytes are available.

        Raises
        ------
        BrokenConnectionError
            If the body ends prematurely.
        """
        chunk = self._read_chunks()
        return chunk if chunk or not self._body_ended else None

    async def wait_for_turn(self) -> None:
        """Let other work go on if more of the body has arrived than was parsed."""
        if self._has_unparsed:
            await asyncio.sleep(PROCESS_TURNS.reserve())

    async def read_body(self) -> bytes | None:
        """Wait for the next bytes of the body and return them, or None at its end.

        Raises
        ------
        BrokenConnectionError
            If the body ends prematurely.
        """
        chunk: bytes | None = b""
        while chunk == b"":
            await self._wait()
            chunk = self.read_available()
        return chunk

    async def deliver_body(self, consume: Callable[[bytes], bool]) -> bool:
        """Pass the body to a callback as it arrives.

        Parameters
        ----------
        consume
            Called with each chunk; returns whether it accepts another one.

        Returns
        -------
        bool
            Whether the body is complete.

        Raises
        ------
        BrokenConnectionError
            If the body ends prematurely.
        """
        self._wants_more = True
        while self._wants_more:
            chunk = self._read_chunks()
            if chunk:
                self._wants_more = consume(chunk)
                await self.wait_for_turn()
                continue
            if self._body_ended:
                return True
            self._consume = consume
            try:
                await self._wait()
            finally:
                self._consume = None
        return False

    def _deliver(self, consume: Callable[[bytes], bool]) -> bool:
        """Pass the available bytes on; return whether the reader may stay suspended."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            return False
        try:
            chunk = self._read_chunks()
            self._wants_more = not chunk or consume(chunk)
        except Exception as error:
            # Raised in the waiting task, as if that task had called the callback.
            waiter.set_exception(error)
            return True
        if self._has_unparsed:
            return False
        return (
            self._wants_more and not self._body_ended and self._deferred_error is None
        )

    def _read_chunks(self) -> bytes:
        """Return the available bytes of the body, or of its next `MAX_EVENTS` parts.

        An error is raised only after the bytes before it have been returned.
        """
        parts: list[bytes] = []
        self._has_unparsed = False
        while not self._body_ended:
            if len(parts) >= MAX_EVENTS:
                self._has_unparsed = True
                break
            if self._deferred_error is not None:
                if parts:
                    break
                raise self._deferred_error
            try:
                event = self._poll_event()
            except BrokenConnectionError as error:
                self._deferred_error = error
                continue
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage):
                self._body_ended = True
                continue
            self._deferred_error = BrokenConnectionError("the answer broke off")
        return b"".join(parts)

    async def skip_response(self) -> None:
        """Discard the rest of a response to another request and expect the next one.

        Raises
        ------
        BrokenConnectionError
            If its body is too long.
        """
        skipped = 0
        while (chunk := self.read_available()) is not None:
            skipped += len(chunk)
            if skipped > MAX_SKIPPED_BYTES:
                raise BrokenConnectionError("an answer to another request is too long")
            await self.wait_for_turn()
            if not chunk:
                await self._wait()
        trailing, closed = self._protocol.trailing_data
        assert self._request is not None
        self._protocol = h11.Connection(h11.CLIENT)
        self._head = None
        # The request is not sent again; the new protocol state only has to expect
        # a response to it.
        self._encode_request(self._request, b"", state_only=True)
        if trailing:
            self._protocol.receive_data(trailing)
        if closed:
            self._protocol.receive_data(b"")

    def reset_for_reuse(self) -> bool:
        """Prepare the connection for another request; return whether it is reusable."""
        done = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        if not self.is_alive or self._is_retired or self._protocol.states != done:
            return False
        trailing, _ = self._protocol.trailing_data
        assert self._transport is not None
        if trailing or self._transport.get_write_buffer_size():
            # Either an unsolicited response has arrived, or the peer has not read the
            # whole body and would take the next request for the rest of it.
            return False
        self._protocol.start_next_cycle()
        self._in_use = False
        self._unread_bytes = 0
        self.idle_since = self._loop.time()
        return True

    def abort(self) -> None:
        """Abort the connection."""
        if self._early_end is not None:
            self._early_end.cancel()
            self._early_end = None
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _poll_event(self) -> object:
        # A reset is never passed to the protocol as the end of the stream: that end
        # completes a response without a length, which a reset must not do.
        try:
            event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise BrokenConnectionError(f"this is not HTTP: {error}") from error
        if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
            raise BrokenConnectionError(f"invalid status {event.status_code}")
        return event

    async def _next_event(self) -> object:
        """Return the next event of a head."""
        while True:
            event = self._poll_event()
            if event is not h11.NEED_DATA:
                return event
            if self._early_end is not None:
                # Nothing follows an incomplete head.
                self._judge_end(None)
                continue
            await self._wait()

    async def _wait(self) -> None:
        if self._closed:
            raise BrokenConnectionError(f"the connection ended: {self._error!r}")
        if self._paused:
            self._paused = False
            assert self._transport is not None
            self._transport.resume_reading()
        self._unread_bytes = 0
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _encode_request(
        self, request: OutgoingRequest, body: bytes, *, state_only: bool = False
    ) -> bytes:
        try:
            data = self._protocol.send(request.event()) or b""
            if state_only:
                length = _content_length(request)
                if length:
                    self._protocol.send(h11.Data(data=bytes(length)))
            elif body:
                data += self._protocol.send(h11.Data(data=body)) or b""
            data += self._protocol.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise BrokenConnectionError(f"the request is not HTTP: {error}") from error
        return data

    def _record_keep_alive(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name != b"keep-alive":
                continue
            match = KEEP_ALIVE_TIMEOUT.search(value.decode("latin-1"))
            if match:
                seconds = int(match[1]) - KEEP_ALIVE_MARGIN
                self.keep_alive_seconds = max(seconds, KEEP_ALIVE_MARGIN)


def _content_length(request: OutgoingRequest) -> int:
    for name, value in request.headers:
        if name.lower() == b"content-length":
            return int(value)
    return 0
