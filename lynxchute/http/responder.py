"""Writes the response to a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from lynxchute.http.headers import HeaderItems, encode_headers
from lynxchute.http.held_answer import TransportBuffer
from lynxchute.http.json_text import encode_json

JSON_TYPE = "application/json"
BODILESS_STATUSES = frozenset({204, 304})
SWITCHING_PROTOCOLS = 101
ProtocolSwitch = Callable[[asyncio.Protocol, str], None]


class CallerDisconnected(ConnectionError):
    """Raised if the caller has disconnected and cannot read the response."""


class Responder:
    """Writes one response, complete or streamed.

    Parameters
    ----------
    method
        The method of the request.
    protocol
        The protocol state of the caller's connection.
    write
        Writes bytes to the connection; returns whether more may be written at once.
    wait_drained
        Waits until more may be written.
    abort
        Aborts the connection.
    switch_protocol
        Hands the connection over to another protocol, with the headers of the answer.

    Attributes
    ----------
    status
        The status that was sent; 0 if none was sent yet.
    finished
        Whether the response is complete.
    request_id
        Id of the request in log lines; empty until it is known.
    answer_buffer
        The unread part of the response; None if it is not tracked.
    close_after_response
        Whether the response announces that the connection will be closed.
    survives_disconnect
        Whether the handler continues after the caller disconnects; otherwise it is
        cancelled.
    """

    def __init__(
        self,
        method: str,
        protocol: h11.Connection,
        write: Callable[[bytes], bool],
        wait_drained: Callable[[], Any],
        abort: Callable[[], None],
        switch_protocol: ProtocolSwitch | None = None,
    ) -> None:
        self.status = 0
        self.request_id = ""
        self.finished = False
        self.survives_disconnect = False
        self.close_after_response = False
        self.answer_buffer: TransportBuffer | None = None
        self._protocol = protocol
        self._write = write
        self._wait_drained = wait_drained
        self._abort = abort
        self._switch_protocol = switch_protocol
        self._is_head_request = method == "HEAD"

    @property
    def started(self) -> bool:
        """Return whether the head of the response has been sent."""
        return self.status != 0

    def set_account(self, account: str) -> None:
        """Attribute the buffered part of the response to a client account."""
        if self.answer_buffer is not None:
            self.answer_buffer.account = account

    async def start(self, status: int, headers: HeaderItems = ()) -> None:
        """Send the head of the response."""
        self._write(self._encode_head(status, headers))
        await self._wait_drained()

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; wait while the write buffer is full.

        Raises
        ------
        CallerDisconnected
            If the caller has disconnected.
        """
        self._write(self._encode_body(data))
        await self._wait_drained()

    def start_with_body(self, status: int, headers: HeaderItems, data: bytes) -> bool:
        """Send the head and the first chunk of the body together.

        Returns
        -------
        bool
            Whether the next chunk may be written without waiting.
        """
        head = self._encode_head(status, headers)
        return self._write(head + self._encode_body(data))

    def write(self, data: bytes) -> bool:
        """Send a chunk of the body without waiting.

        Returns
        -------
        bool
            Whether the next chunk may be written without waiting.

        Raises
        ------
        CallerDisconnected
            If the caller has disconnected.
        """
        return self._write(self._encode_body(data))

    async def wait_drained(self) -> None:
        """Wait until the next chunk may be written."""
        await self._wait_drained()

    async def finish(self) -> None:
        """Complete the response."""
        self._write(self._protocol.send(h11.EndOfMessage()) or b"")
        self.finished = True
        await self._wait_drained()

    async def send_whole(
        self,
        status: int,
        body: bytes,
        content_type: str = JSON_TYPE,
        headers: HeaderItems = (),
    ) -> None:
        """Send a complete response."""
        all_headers = [("Content-Type", content_type), *headers]
        await self.forward(status, all_headers, body)

    async def forward(self, status: int, headers: HeaderItems, body: bytes) -> None:
        """Send a complete response with the given headers and a Content-Length."""
        head = [*headers]
        if self._may_have_body(status):
            head.append(("Content-Length", str(len(body))))
        data = self._encode_head(status, head)
        if body and self._may_have_body(status):
            data += self._protocol.send(h11.Data(data=body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._write(data)
        self.finished = True
        await self._wait_drained()

    async def json(self, status: int, value: Any, headers: HeaderItems = ()) -> None:
        """Send a JSON response."""
        body = encode_json(value)
        await self.send_whole(status, body, headers=headers)

    def switch_protocol(self, protocol: asyncio.Protocol, upgrade: str) -> None:
        """Accept an upgrade: all further bytes belong to another protocol.

        Parameters
        ----------
        protocol
            Gets the transport, then the bytes that have arrived already.
        upgrade
            Name of the protocol, as in the request.

        Raises
        ------
        CallerDisconnected
            If the caller has disconnected.
        """
        if self._switch_protocol is None:
            raise CallerDisconnected("this connection cannot be upgraded")
        self.status = SWITCHING_PROTOCOLS
        self.finished = True
        self._switch_protocol(protocol, upgrade)

    def abort(self) -> None:
        """Abort the connection, so that the caller detects an incomplete response."""
        self._abort()

    def _encode_body(self, data: bytes) -> bytes:
        """Return a chunk of the body in its transfer encoding."""
        return self._protocol.send(h11.Data(data=data)) or b""

    def _may_have_body(self, status: int) -> bool:
        return not self._is_head_request and status not in BODILESS_STATUSES

    def _encode_head(self, status: int, headers: HeaderItems) -> bytes:
        head = encode_headers(headers)
        if self.close_after_response:
            head.append((b"Connection", b"close"))
        response = h11.Response(status_code=status, headers=head)
        self.status = status
        return self._protocol.send(response) or b""
