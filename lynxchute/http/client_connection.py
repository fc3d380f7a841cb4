"""One connection of the HTTP client and its protocol state."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

import attrs
import h11

from lynxchute.http.link_meter import AMPLE, LinkMeter
from lynxchute.http.sockets import apply_options

# Bytes of an answer that may wait here before its reader takes them.
MAX_UNREAD_BYTES = 262_144
# A Keep-Alive timeout is given in whole seconds, and a request takes time to
# arrive: a kept connection is left alone this many seconds before its end.
KEEP_ALIVE_MARGIN = 0.5
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*\"?(\d+)", re.IGNORECASE)


class ConnectionBroken(Exception):
    """Report a connection on which no further answer can be read."""


@attrs.frozen
class OutgoingRequest:
    """The head of a request to send."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]

    def event(self) -> h11.Request:
        """Return the head as `h11` takes it."""
        return h11.Request(method=self.method, target=self.target, headers=self.headers)


class ClientConnection(asyncio.Protocol):
    """Send one request at a time and read its answer.

    Parameters
    ----------
    meter
        Counts what goes over the VM's link.

    Attributes
    ----------
    idle_since
        When the last exchange ended, on the clock of the event loop in seconds.
    keep_alive_seconds
        How long the peer keeps an idle connection, less a margin; 0 where it
        does not say.
    """

    def __init__(self, meter: LinkMeter = AMPLE) -> None:
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
        self._error: Exception | None = None
        self._broken: ConnectionBroken | None = None
        self._ended = False
        self._unread_bytes = 0
        self._paused = False
        self._take: Callable[[bytes], bool] | None = None
        self._takes_more = True

    @property
    def alive(self) -> bool:
        """Return whether the connection can be written to."""
        transport = self._transport
        return not self._closed and transport is not None and not transport.is_closing()

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        apply_options(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes from the peer."""
        self._meter.record_received(len(data))
        if not self._in_use:
            # Bytes that answer nothing may begin an answer to an earlier request.
            self.abort()
            return
        self._protocol.receive_data(data)
        if self._take is not None and self._hand_over(self._take):
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            assert self._transport is not None
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Take the peer's close."""
        self._protocol.receive_data(b"")
        self._closed = True
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Take the end of the connection; an error means a reset."""
        self._closed = True
        self._error = self._error or error
        self._wake()

    # What the client calls.

    def send(self, request: OutgoingRequest, body: bytes) -> None:
        """Write a request.

        Raises
        ------
        ConnectionBroken
            Where the connection had ended.
        """
        if not self.alive:
            raise ConnectionBroken("the connection had ended")
        self._in_use = True
        self._request = request
        data = self._send_head_and_body(request, body)
        assert self._transport is not None
        self._meter.record_sent(len(data))
        self._transport.write(data)

    async def read_head(self) -> h11.Response:
        """Return the head of the next answer.

        Raises
        ------
        ConnectionBroken
            Where none comes, or what comes is not HTTP.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._ended = False
                self._note_keep_alive(event)
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            raise ConnectionBroken("the peer closed without an answer")

    def body_at_hand(self) -> bytes | None:
        """Return what has arrived of the answer's body, or None at its end.

        Raises
        ------
        ConnectionBroken
            Where the body breaks off.
        """
        piece = self._pieces_at_hand()
        return piece if piece or not self._ended else None

    async def read_body(self) -> bytes | None:
        """Return what arrives next of the answer's body, or None at its end.

        Raises
        ------
        ConnectionBroken
            Where the body breaks off.
        """
        piece: bytes | None = b""
        while piece == b"":
            await self._wait()
            piece = self.body_at_hand()
        return piece

    async def deliver_body(self, take: Callable[[bytes], bool]) -> bool:
        """Hand what arrives of the answer's body to a function, as it arrives.

        Parameters
        ----------
        take
            Returns whether it can take the next piece.

        Returns
        -------
        bool
            Whether the body has come to its end.

        Raises
        ------
        ConnectionBroken
            Where the body breaks off.
        """
        self._takes_more = True
        while self._takes_more:
            piece = self._pieces_at_hand()
            if piece:
                self._takes_more = take(piece)
                continue
            if self._ended:
                return True
            self._take = take
            try:
                await self._wait()
            finally:
                self._take = None
        return False

    def _hand_over(self, take: Callable[[bytes], bool]) -> bool:
        """Hand what is at hand over; return whether the reader can sleep on."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            return False
        try:
            piece = self._pieces_at_hand()
            self._takes_more = not piece or take(piece)
        except Exception as error:
            # It ends whoever waits, as if that had taken the piece.
            waiter.set_exception(error)
            return True
        return self._takes_more and not self._ended and self._broken is None

    def _pieces_at_hand(self) -> bytes:
        """Return what is at hand of the body; an error waits for its turn."""
        parts: list[bytes] = []
        while not self._ended:
            if self._broken is not None:
                if parts:
                    break
                raise self._broken
            try:
                event = self._event_at_hand()
            except ConnectionBroken as error:
                self._broken = error
                continue
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage):
                self._ended = True
                continue
            self._broken = ConnectionBroken("the answer broke off")
        return b"".join(parts)

    async def skip_answer(self) -> None:
        """Read the rest of an answer to another request, and go on after it."""
        while (piece := self.body_at_hand()) is not None:
            if not piece:
                await self._wait()
        trailing, closed = self._protocol.trailing_data
        assert self._request is not None
        self._protocol = h11.Connection(h11.CLIENT)
        # The request is not sent again; the new protocol state only has to
        # know that an answer to it is due.
        self._send_head_and_body(self._request, b"", declared_only=True)
        if trailing:
            self._protocol.receive_data(trailing)
        if closed:
            self._protocol.receive_data(b"")

    def renew(self) -> bool:
        """Make the connection ready for another request, if it can be."""
        done = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        if not self.alive or self._protocol.states != done:
            return False
        trailing, _ = self._protocol.trailing_data
        assert self._transport is not None
        if trailing or self._transport.get_write_buffer_size():
            # Either an extra answer, or a body that the peer has not read: it
            # would take the next request for the rest of it.
            return False
        self._protocol.start_next_cycle()
        self._in_use = False
        self._unread_bytes = 0
        self.idle_since = self._loop.time()
        return True

    def abort(self) -> None:
        """Drop the connection."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _event_at_hand(self) -> object:
        # A reset is never fed to the protocol as an end of input: an answer
        # without a length ends with its connection, but not with a reset.
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionBroken(f"this is not HTTP: {error}") from error

    async def _next_event(self) -> object:
        while True:
            event = self._event_at_hand()
            if event is not h11.NEED_DATA:
                return event
            await self._wait()

    async def _wait(self) -> None:
        if self._closed:
            raise ConnectionBroken(f"the connection ended: {self._error!r}")
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

    def _send_head_and_body(
        self, request: OutgoingRequest, body: bytes, *, declared_only: bool = False
    ) -> bytes:
        try:
            data = self._protocol.send(request.event()) or b""
            if declared_only:
                length = _declared_length(request)
                if length:
                    self._protocol.send(h11.Data(data=bytes(length)))
            elif body:
                data += self._protocol.send(h11.Data(data=body)) or b""
            data += self._protocol.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise ConnectionBroken(f"the request is not HTTP: {error}") from error
        return data

    def _note_keep_alive(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name != b"keep-alive":
                continue
            found = KEEP_ALIVE_TIMEOUT.search(value.decode("latin-1"))
            if found:
                seconds = int(found[1]) - KEEP_ALIVE_MARGIN
                self.keep_alive_seconds = max(seconds, KEEP_ALIVE_MARGIN)


def _declared_length(request: OutgoingRequest) -> int:
    for name, value in request.headers:
        if name.lower() == b"content-length":
            return int(value)
    return 0
