"""Write the answer to one request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11

from lynxchute.http.headers import HeaderItems, encoded
from lynxchute.http.held_answer import HeldAnswer
from lynxchute.http.json_text import encode_json

JSON_TYPE = "application/json"
BODILESS_STATUSES = frozenset({204, 304})


class CallerDisconnected(ConnectionError):
    """Report that nobody reads the answer any more."""


class Responder:
    """Write one answer, whole or in pieces.

    Parameters
    ----------
    method
        The method of the request.
    protocol
        The protocol state of the caller's connection.
    write
        Takes bytes for the caller; returns whether the caller has read enough.
    drained
        Waits until the caller has read enough.
    abort
        Drops the connection.

    Attributes
    ----------
    status
        The status that was sent; 0 before that.
    held
        What waits for the caller; None where it is not counted.
    outlives_caller
        Set where the request must be carried to its end although nobody waits
        for the answer any more; otherwise its handler is cancelled.
    """

    def __init__(
        self,
        method: str,
        protocol: h11.Connection,
        write: Callable[[bytes], bool],
        wait_drained: Callable[[], Any],
        abort: Callable[[], None],
    ) -> None:
        self.status = 0
        self.finished = False
        self.survives_disconnect = False
        self.close_after_response = False
        self.held: HeldAnswer | None = None
        self._protocol = protocol
        self._write = write
        self._drained = wait_drained
        self._abort = abort
        self._to_head = method == "HEAD"

    @property
    def started(self) -> bool:
        """Return whether the head of the answer has been sent."""
        return self.status != 0

    def set_account(self, account: str) -> None:
        """Count what waits for the caller with the other answers of an account."""
        if self.held is not None:
            self.held.account = account

    async def start(self, status: int, headers: HeaderItems = ()) -> None:
        """Send the head of the answer."""
        self._write(self._head(status, headers))
        await self._drained()

    async def send(self, data: bytes) -> None:
        """Send a piece of the body; wait while the caller is slow to read.

        Raises
        ------
        CallerLeft
            Where the connection is gone.
        """
        self._write(self._framed(data))
        await self._drained()

    def start_with_body(self, status: int, headers: HeaderItems, data: bytes) -> bool:
        """Send the head of the answer and a piece of the body together.

        Returns
        -------
        bool
            Whether the caller has read enough for the next piece.
        """
        head = self._head(status, headers)
        return self._write(head + self._framed(data))

    def write(self, data: bytes) -> bool:
        """Send a piece of the body without waiting.

        Returns
        -------
        bool
            Whether the caller has read enough for the next piece.

        Raises
        ------
        CallerLeft
            Where the connection is gone.
        """
        return self._write(self._framed(data))

    async def wait_drained(self) -> None:
        """Wait until the caller has read enough for the next piece."""
        await self._drained()

    async def finish(self) -> None:
        """Mark the answer as whole."""
        self._write(self._protocol.send(h11.EndOfMessage()) or b"")
        self.finished = True
        await self._drained()

    async def send_whole(
        self,
        status: int,
        body: bytes,
        content_type: str = JSON_TYPE,
        headers: HeaderItems = (),
    ) -> None:
        """Send an answer whose body is complete."""
        typed = [("Content-Type", content_type), *headers]
        await self.forward(status, typed, body)

    async def forward(self, status: int, headers: HeaderItems, body: bytes) -> None:
        """Send a complete answer whose headers say all but its length."""
        head = [*headers]
        if self._may_have_body(status):
            head.append(("Content-Length", str(len(body))))
        data = self._head(status, head)
        if body and self._may_have_body(status):
            data += self._protocol.send(h11.Data(data=body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._write(data)
        self.finished = True
        await self._drained()

    async def json(self, status: int, value: Any, headers: HeaderItems = ()) -> None:
        """Send a value as JSON."""
        body = encode_json(value)
        await self.send_whole(status, body, headers=headers)

    def abort(self) -> None:
        """Drop the connection, so that a broken answer never looks whole."""
        self._abort()

    def _framed(self, data: bytes) -> bytes:
        """Return a piece of the body as it goes over the wire."""
        return self._protocol.send(h11.Data(data=data)) or b""

    def _may_have_body(self, status: int) -> bool:
        return not self._to_head and status not in BODILESS_STATUSES

    def _head(self, status: int, headers: HeaderItems) -> bytes:
        head = encoded(headers)
        if self.close_after_response:
            head.append((b"Connection", b"close"))
        response = h11.Response(status_code=status, headers=head)
        self.status = status
        return self._protocol.send(response) or b""
