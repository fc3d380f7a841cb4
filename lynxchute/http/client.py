"""An HTTP/1.1 client with kept connections, on `asyncio` and `h11`.

A connection is used again only after its exchange was finished on both
sides and nothing else came over it, so that an answer can never reach the
wrong caller.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import h11

from lynxchute.http.client_connection import (
    ClientConnection,
    ConnectionBroken,
    OutgoingRequest,
)
from lynxchute.http.headers import HeaderItems, Headers, encoded
from lynxchute.http.json_text import encode_json
from lynxchute.http.link_meter import AMPLE, LinkMeter
from lynxchute.http.patience import unless_silent

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# An extra answer or two may stand before the right one; a peer that sends
# more of them is not worth reading on.
MAX_SKIPPED_ANSWERS = 3


@attrs.frozen
class Timeouts:
    """How long each step of an exchange may take, in seconds.

    Attributes
    ----------
    kept_idle
        How long a connection without a Keep-Alive header may have been idle to
        be used again.
    """

    connect: float = 1.0
    first_byte: float | None = 30.0
    between_bytes: float | None = 15.0
    keepalive_expiry: float = 30.0


class ExchangeError(Exception):
    """Report an exchange that gave no whole answer.

    Parameters
    ----------
    reason
        What went wrong.
    sent
        Whether a byte of the request may have left; if not, it did not run.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent

    @property
    def is_timeout(self) -> bool:
        """Return whether the peer said nothing, not even that it refuses."""
        return isinstance(self.__cause__, TimeoutError)


@attrs.define(eq=False)
class AbortHandle:
    """Break an exchange off from outside."""

    connection: ClientConnection | None = None

    def abort(self) -> None:
        """Drop the connection of the exchange, if it has one."""
        if self.connection is not None:
            self.connection.abort()


def any_answer(head: h11.Response) -> bool:
    """Take whatever answer comes first."""
    return True


class Response:
    """An answer whose body is read in pieces.

    Parameters
    ----------
    client
        The client that the connection goes back to.
    connection
        The connection that the answer comes over.
    head
        The head of the answer.
    between_bytes
        Seconds to wait for each next piece; None waits without end.
    """

    def __init__(
        self,
        client: HttpClient,
        connection: ClientConnection,
        head: h11.Response,
        between_bytes: float | None,
    ) -> None:
        self.status = head.status_code
        self.headers = Headers(head.headers.raw_items())
        self._client = client
        self._connection = connection
        self._between_bytes = between_bytes
        self._released = False

    async def read(self) -> bytes | None:
        """Return what has arrived of the body, or None after its end.

        Raises
        ------
        ExchangeFailed
            Where the answer broke off before its end.
        """
        if self._released:
            return None
        try:
            piece = self._connection.body_at_hand()
            if piece == b"" and self._between_bytes is None:
                piece = await self._connection.read_body()
            elif piece == b"":
                async with asyncio.timeout(self._between_bytes):
                    piece = await self._connection.read_body()
        except BaseException as error:
            self._break_off(error)
            raise
        if piece is None:
            self._release()
        return piece

    async def deliver_body(self, take: Callable[[bytes], bool]) -> bool:
        """Hand the body to a function piece by piece, each one as it arrives.

        Parameters
        ----------
        take
            Called from the event loop; returns whether it can take the next piece.

        Returns
        -------
        bool
            Whether the body has come to its end; otherwise the function wants no
            more, and further calls go on where it stopped.

        Raises
        ------
        ExchangeFailed
            Where the answer broke off before its end.
        """
        if self._between_bytes is not None:
            while (piece := await self.read()) is not None:
                if not take(piece):
                    return False
            return True
        if self._released:
            return True
        try:
            is_whole = await self._connection.deliver_body(take)
        except BaseException as error:
            self._break_off(error)
            raise
        if is_whole:
            self._release()
        return is_whole

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; what arrived in one read comes as one piece.

        Raises
        ------
        ExchangeFailed
            Where the answer broke off before its end.
        """
        try:
            while True:
                piece = await self.read()
                if piece is None:
                    return
                yield piece
        finally:
            # Also where the reader stopped early; nothing is left to do after
            # a whole answer.
            self.close()

    async def body(self, limit: int = MAX_ANSWER_BYTES) -> bytes:
        """Return the whole body.

        Raises
        ------
        ExchangeFailed
            Where it broke off, or is larger than the limit in bytes.
        """
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > limit:
                raise ExchangeError("the answer is too large", sent=True)
            parts.append(chunk)
        return b"".join(parts)

    async def json(self) -> Any:
        """Return the whole body decoded as JSON."""
        body = await self.body()
        try:
            return json.loads(body)
        except (ValueError, RecursionError) as error:
            raise ExchangeError(
                f"the answer is not JSON: {error}", sent=True
            ) from error

    def close(self) -> None:
        """Drop the connection where the body was not read to its end."""
        if not self._released:
            self._released = True
            self._connection.abort()
            self._client._forget()

    def _break_off(self, error: BaseException) -> None:
        """Drop the connection; an answer that broke off is reported as such."""
        self.close()
        if isinstance(error, ConnectionBroken | TimeoutError):
            raise ExchangeError(f"the answer broke off: {error}", sent=True) from error

    def _release(self) -> None:
        if not self._released:
            self._released = True
            self._client._give_back(self._connection)


class HttpClient:
    """Exchange requests with one peer.

    Parameters
    ----------
    address
        The peer as ``host:port``.
    timeouts
        How long each step may take.
    max_connections
        Exchanges at once; further ones wait.
    meter
        Tells how long what is sent waits for the VM's link: nobody is silent for
        that time.

    Attributes
    ----------
    opened
        Connections opened so far.
    """

    def __init__(
        self,
        address: str,
        *,
        timeouts: Timeouts | None = None,
        max_connections: int = 256,
        meter: LinkMeter = AMPLE,
    ) -> None:
        self.address = address
        self._meter = meter
        self.opened = 0
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._timeouts = timeouts or Timeouts()
        self._idle: list[ClientConnection] = []
        self._slots = asyncio.Semaphore(max_connections)

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: HeaderItems = (),
        body: bytes = b"",
        timeouts: Timeouts | None = None,
        max_idle: float | None = None,
        matches_request: Callable[[h11.Response], bool] = any_answer,
        on_sent: Callable[[], None] | None = None,
        abort_handle: AbortHandle | None = None,
    ) -> Response:
        """Send a request and return the answer with its head read.

        Parameters
        ----------
        headers
            With a Host header or without; the address is the default.
        fresh_within
            Seconds that a kept connection may have been idle for this request;
            None leaves that to the timeouts.
        is_answer
            Tells an answer to this request from one to an earlier request,
            which is read and dropped.
        on_sent
            Called when the first byte is about to leave.
        abort_handle
            Told the connection, so that the exchange can be broken off.

        Raises
        ------
        ExchangeFailed
            With ``sent`` false only where no byte of the request left.
        """
        limits = timeouts or self._timeouts
        await self._slots.acquire()
        try:
            connection = await self._connect(limits, max_idle)
        except BaseException:
            self._slots.release()
            raise
        if abort_handle is not None:
            abort_handle.connection = connection
        outgoing = OutgoingRequest(method, target, self._full_headers(headers, body))
        try:
            if on_sent is not None:
                on_sent()
            connection.send(outgoing, body)
            head = await self._read_head(connection, limits, matches_request)
        except (ConnectionBroken, TimeoutError) as error:
            connection.abort()
            self._slots.release()
            if isinstance(error, TimeoutError):
                # Kept connections go silent together, where a cut has come and gone
                # between; each would cost its own timeout, a new one works.
                self.close()
            raise ExchangeError(f"no answer: {error}", sent=True) from error
        except BaseException:
            connection.abort()
            self._slots.release()
            raise
        return Response(self, connection, head, limits.between_bytes)

    async def post_json(
        self,
        target: str,
        value: Any,
        *,
        headers: HeaderItems = (),
        timeouts: Timeouts | None = None,
    ) -> tuple[int, Any]:
        """Post JSON; return the status and the decoded answer."""
        body = encode_json(value)
        head = [("Content-Type", "application/json"), *headers]
        response = await self.request(
            "POST", target, headers=head, body=body, timeouts=timeouts
        )
        return response.status, await response.json()

    async def get_json(
        self,
        target: str,
        *,
        headers: HeaderItems = (),
        timeouts: Timeouts | None = None,
    ) -> tuple[int, Any]:
        """Get JSON; return the status and the decoded answer."""
        response = await self.request("GET", target, headers=headers, timeouts=timeouts)
        return response.status, await response.json()

    def close(self) -> None:
        """Drop the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def _full_headers(
        self, headers: HeaderItems, body: bytes
    ) -> list[tuple[bytes, bytes]]:
        full = encoded(headers)
        if not any(len(name) == 4 and name.lower() == b"host" for name, _ in full):
            full.insert(0, (b"Host", self.address.encode()))
        full.append((b"Content-Length", str(len(body)).encode()))
        return full

    async def _connect(
        self, limits: Timeouts, max_idle: float | None
    ) -> ClientConnection:
        kept = self._take_idle(limits, max_idle)
        if kept is not None:
            return kept
        loop = asyncio.get_running_loop()
        try:
            _, connection = await unless_silent(
                loop.create_connection(
                    lambda: ClientConnection(self._meter), self._host, self._port
                ),
                limits.connect + self._meter.delay(),
                lambda made: made[1].abort(),
            )
        except (OSError, TimeoutError) as error:
            raise ExchangeError(f"cannot connect: {error!r}", sent=False) from error
        self.opened += 1
        return connection

    def _take_idle(
        self, limits: Timeouts, max_idle: float | None
    ) -> ClientConnection | None:
        """Return the kept connection that was used last, if it is fresh enough."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            idle = now - connection.idle_since
            longest = connection.keep_alive_seconds or limits.keepalive_expiry
            if not connection.alive or idle > longest:
                connection.abort()
                continue
            if max_idle is not None and idle > max_idle:
                self._idle.append(connection)
                return None
            return connection
        return None

    async def _read_head(
        self,
        connection: ClientConnection,
        limits: Timeouts,
        matches_request: Callable[[h11.Response], bool],
    ) -> h11.Response:
        patience = limits.first_byte
        if patience is not None:
            patience += self._meter.delay()
        async with asyncio.timeout(patience):
            for _ in range(MAX_SKIPPED_ANSWERS + 1):
                head = await connection.read_head()
                if matches_request(head):
                    return head
                await connection.skip_answer()
        raise ConnectionBroken("only answers to other requests came")

    def _give_back(self, connection: ClientConnection) -> None:
        if connection.renew():
            self._idle.append(connection)
        else:
            connection.abort()
        self._slots.release()

    def _forget(self) -> None:
        self._slots.release()


@attrs.define
class ClientPool:
    """Keep one client for each address."""

    timeouts: Timeouts = attrs.Factory(Timeouts)
    meter: LinkMeter = AMPLE
    by_address: dict[str, HttpClient] = attrs.Factory(dict)

    def get(self, address: str) -> HttpClient:
        """Return the client for an address, made on first use."""
        client = self.by_address.get(address)
        if client is None:
            client = HttpClient(address, timeouts=self.timeouts, meter=self.meter)
            self.by_address[address] = client
        return client

    def drop(self, address: str) -> None:
        """Close what is kept for an address that is no longer used."""
        client = self.by_address.pop(address, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Drop every idle connection."""
        for client in self.by_address.values():
            client.close()
