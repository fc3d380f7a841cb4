"""An HTTP/1.1 client with persistent connections, based on `asyncio` and `h11`.

A connection is reused only if both sides have completed the previous exchange and
no further bytes have arrived, so that a response never reaches the wrong caller.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import h11

from lynxchute.http.client_connection import (
    BrokenConnectionError,
    ClientConnection,
    OutgoingRequest,
    is_framed,
)
from lynxchute.http.headers import HeaderItems, Headers, encode_headers
from lynxchute.http.json_text import encode_json
from lynxchute.http.link_meter import UNLIMITED_LINK, LinkMeter
from lynxchute.http.patience import lag_tolerant_wait

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Responses to earlier requests that may be skipped before the expected one. A peer
# that sends more of them is treated as broken.
MAX_SKIPPED_RESPONSES = 3


@attrs.frozen
class Timeouts:
    """Timeouts of the steps of an exchange, in seconds.

    Attributes
    ----------
    connect
        For opening a connection.
    first_byte
        For the head of the response; None for no timeout.
    between_bytes
        For each further chunk of the body; None for no timeout.
    whole_body
        For a body that is read as a whole; None for no timeout.
    keepalive_expiry
        Idle time after which a connection is not reused, if the peer sent no
        Keep-Alive header.
    """

    connect: float = 1.0
    first_byte: float | None = 30.0
    between_bytes: float | None = 15.0
    whole_body: float | None = None
    keepalive_expiry: float = 30.0


class ExchangeError(Exception):
    """Raised if an exchange yields no complete response.

    Parameters
    ----------
    reason
        Cause of the failure.
    sent
        Whether any byte of the request may have been sent. If not, the peer cannot
        have run it.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent

    @property
    def is_timeout(self) -> bool:
        """Return whether the exchange timed out without an error from the peer."""
        return isinstance(self.__cause__, TimeoutError)


@attrs.define(eq=False)
class AbortHandle:
    """Lets another task abort an exchange.

    Attributes
    ----------
    connection
        The connection of the exchange; None until there is one.
    """

    connection: ClientConnection | None = None

    @property
    def is_tunnelled(self) -> bool:
        """Return whether another router forwards the bytes of the exchange."""
        return self.connection is not None and bool(self.connection.via)

    def abort(self) -> None:
        """Abort the connection of the exchange, if it has one."""
        if self.connection is not None:
            self.connection.abort()


def accept_any_response(head: h11.Response) -> bool:
    """Accept the first response that arrives."""
    return True


def same_address(address: str) -> str:
    """Return the address itself."""
    return address


class Response:
    """A response whose body is streamed.

    Parameters
    ----------
    client
        The client that the connection is returned to.
    connection
        The connection that the response arrives on.
    head
        The status line and headers.
    timeouts
        Timeouts of the body.

    Attributes
    ----------
    status
        The HTTP status.
    headers
        The headers of the response.
    is_framed
        Whether the end of the body can be told from that of its connection: it has a
        length or chunks, or there never is one.
    """

    def __init__(
        self,
        client: HttpClient,
        connection: ClientConnection,
        head: h11.Response,
        timeouts: Timeouts,
    ) -> None:
        self.status = head.status_code
        self.headers = Headers(head.headers.raw_items())
        self._client = client
        self._connection = connection
        self._between_bytes = timeouts.between_bytes
        self._whole_body = timeouts.whole_body
        self._released = False
        self.is_framed = is_framed(head, connection.method)

    async def read(self) -> bytes | None:
        """Return the next available part of the body, or None at its end.

        Raises
        ------
        ExchangeError
            If the response ends prematurely.
        """
        if self._released:
            return None
        try:
            await self._connection.wait_for_turn()
            chunk = self._connection.read_available()
            if chunk == b"" and self._between_bytes is None:
                chunk = await self._connection.read_body()
            elif chunk == b"":
                async with asyncio.timeout(self._between_bytes):
                    chunk = await self._connection.read_body()
        except BaseException as error:
            self._fail(error)
            raise
        if chunk is None:
            self._release()
        return chunk

    async def deliver_body(self, consume: Callable[[bytes], bool]) -> bool:
        """Pass the body to a callback, chunk by chunk as it arrives.

        Parameters
        ----------
        consume
            Called from the event loop with each chunk; returns whether it accepts
            another one.

        Returns
        -------
        bool
            Whether the body is complete. If not, the callback has paused the
            delivery, and the next call resumes it.

        Raises
        ------
        ExchangeError
            If the response ends prematurely.
        """
        if self._between_bytes is not None:
            while (chunk := await self.read()) is not None:
                if not consume(chunk):
                    return False
            return True
        if self._released:
            return True
        try:
            is_complete = await self._connection.deliver_body(consume)
        except BaseException as error:
            self._fail(error)
            raise
        if is_complete:
            self._release()
        return is_complete

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; bytes that arrived together form one chunk.

        Raises
        ------
        ExchangeError
            If the response ends prematurely.
        """
        try:
            while True:
                chunk = await self.read()
                if chunk is None:
                    return
                yield chunk
        finally:
            # Aborts the connection if the reader stopped early; does nothing after a
            # complete response.
            self.close()

    async def body(self, limit: int = MAX_RESPONSE_BYTES) -> bytes:
        """Return the complete body.

        Raises
        ------
        ExchangeError
            If the body ends prematurely, takes too long or is larger than the limit
            in bytes.
        """
        try:
            async with asyncio.timeout(self._whole_body):
                return await self._read_whole(limit)
        except TimeoutError as error:
            self.close()
            raise ExchangeError("the answer took too long", sent=True) from error

    async def _read_whole(self, limit: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > limit:
                raise ExchangeError("the answer is too large", sent=True)
            parts.append(chunk)
        return b"".join(parts)

    async def json(self, limit: int = MAX_RESPONSE_BYTES) -> Any:
        """Return the complete body, of at most a number of bytes, decoded as JSON."""
        body = await self.body(limit)
        try:
            return json.loads(body)
        except (ValueError, RecursionError) as error:
            raise ExchangeError(
                f"the answer is not JSON: {error}", sent=True
            ) from error

    def close(self) -> None:
        """Abort the connection if the body was not read to its end."""
        if not self._released:
            self._released = True
            self._connection.abort()
            self._client._release_slot()

    def _fail(self, error: BaseException) -> None:
        """Abort the connection; raise `ExchangeError` for a failed read.

        Other errors are left to the caller to raise again.
        """
        self.close()
        if isinstance(error, BrokenConnectionError | TimeoutError):
            raise ExchangeError(f"the answer broke off: {error}", sent=True) from error

    def _release(self) -> None:
        if not self._released:
            self._released = True
            self._client._return_connection(self._connection)


class HttpClient:
    """Sends requests to one peer.

    Parameters
    ----------
    address
        The peer as ``host:port``.
    timeouts
        Default timeouts of the exchanges.
    max_connections
        Concurrent exchanges; further ones wait.
    meter
        Estimates the queueing delay on the VM's link, by which timeouts are
        extended.

    Attributes
    ----------
    connections_opened
        Connections opened so far.
    """

    def __init__(
        self,
        address: str,
        *,
        timeouts: Timeouts | None = None,
        max_connections: int = 256,
        meter: LinkMeter = UNLIMITED_LINK,
    ) -> None:
        self.address = address
        self._meter = meter
        self.connections_opened = 0
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
        headers: HeaderItems | Callable[[], HeaderItems] = (),
        body: bytes = b"",
        timeouts: Timeouts | None = None,
        max_idle: float | None = None,
        matches_request: Callable[[h11.Response], bool] = accept_any_response,
        before_send: Callable[[], None] | None = None,
        abort_handle: AbortHandle | None = None,
        label: str = "",
        on_unread_head: Callable[[int, Headers], None] | None = None,
    ) -> Response:
        """Send a request and return the response once its head has arrived.

        Parameters
        ----------
        headers
            Headers of the request, or what returns them once there is a connection;
            Host defaults to the address.
        timeouts
            Overrides the timeouts of the client.
        max_idle
            Seconds that a reused connection may have been idle; None applies the
            timeouts only.
        matches_request
            Returns whether a response belongs to this request. A response to an
            earlier request is read and discarded.
        before_send
            Called just before the first byte is sent.
        abort_handle
            Receives the connection, so that another task can abort the exchange.
        label
            Id of the request for the logs of routers that forward it.
        on_unread_head
            Called with status and headers of a response that has arrived as the
            request is given up, for instance since the event loop was late.

        Raises
        ------
        ExchangeError
            With ``sent`` false only if no byte of the request was sent.
        """
        exchange_timeouts = timeouts or self._timeouts
        await self._slots.acquire()
        try:
            connection = await self._connect(exchange_timeouts, max_idle)
        except BaseException:
            self._slots.release()
            raise
        if abort_handle is not None:
            abort_handle.connection = connection
        if callable(headers):
            headers = headers()
        outgoing = OutgoingRequest(
            method, target, self._complete_headers(headers, body)
        )
        try:
            if before_send is not None:
                before_send()
            connection.announce(label)
            connection.send(outgoing, body)
            head = await self._read_head(connection, exchange_timeouts, matches_request)
        except (BrokenConnectionError, TimeoutError) as error:
            connection.abort()
            self._slots.release()
            if isinstance(error, TimeoutError):
                # A transient network partition breaks all idle connections at once.
                # Each would cost a request its timeout, while a new one works.
                self.close()
            raise ExchangeError(f"no answer: {error}", sent=True) from error
        except BaseException:
            unread = connection.unread_head() if on_unread_head else None
            connection.abort()
            self._slots.release()
            if on_unread_head and unread is not None and matches_request(unread):
                stated = Headers(unread.headers.raw_items())
                on_unread_head(unread.status_code, stated)
            raise
        return Response(self, connection, head, exchange_timeouts)

    async def post_json(
        self,
        target: str,
        value: Any,
        *,
        headers: HeaderItems = (),
        timeouts: Timeouts | None = None,
        limit: int = MAX_RESPONSE_BYTES,
    ) -> tuple[int, Any]:
        """Post a JSON body; return the status and the decoded response.

        Parameters
        ----------
        limit
            Largest size of the response in bytes.
        """
        body = encode_json(value)
        head = [("Content-Type", "application/json"), *headers]
        response = await self.request(
            "POST", target, headers=head, body=body, timeouts=timeouts
        )
        return response.status, await response.json(limit)

    async def get_json(
        self,
        target: str,
        *,
        headers: HeaderItems = (),
        timeouts: Timeouts | None = None,
        limit: int = MAX_RESPONSE_BYTES,
    ) -> tuple[int, Any]:
        """Return the status and the decoded JSON response of a GET request.

        Parameters
        ----------
        limit
            Largest size of the response in bytes.
        """
        response = await self.request("GET", target, headers=headers, timeouts=timeouts)
        return response.status, await response.json(limit)

    @property
    def has_idle(self) -> bool:
        """Return whether an idle connection is open."""
        return any(connection.is_alive for connection in self._idle)

    async def is_listening(self) -> bool | None:
        """Return whether the peer takes a new connection, which is kept for later.

        None if the attempt gets no answer at all.
        """
        try:
            self._keep_idle(await self._open_connection(self._timeouts.connect))
        except ExchangeError as error:
            return None if error.is_timeout else False
        return True

    def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def _complete_headers(
        self, headers: HeaderItems, body: bytes
    ) -> list[tuple[bytes, bytes]]:
        complete = encode_headers(headers)
        if not any(len(name) == 4 and name.lower() == b"host" for name, _ in complete):
            complete.insert(0, (b"Host", self.address.encode()))
        complete.append((b"Content-Length", str(len(body)).encode()))
        return complete

    async def _connect(
        self, exchange_timeouts: Timeouts, max_idle: float | None
    ) -> ClientConnection:
        reused = self._pop_idle(exchange_timeouts, max_idle)
        if reused is not None:
            return reused
        return await self._open_connection(exchange_timeouts.connect)

    async def _open_connection(self, timeout: float) -> ClientConnection:
        """Open a connection to the peer.

        Raises
        ------
        ExchangeError
            If the connection is not established within the timeout in seconds.
        """
        loop = asyncio.get_running_loop()
        try:
            _, connection = await lag_tolerant_wait(
                loop.create_connection(
                    lambda: ClientConnection(self._meter), self._host, self._port
                ),
                timeout + self._meter.delay(),
                lambda created: created[1].abort(),
            )
        except (OSError, TimeoutError) as error:
            raise ExchangeError(f"cannot connect: {error!r}", sent=False) from error
        self.connections_opened += 1
        if not connection.is_alive:
            # A peer may close a connection right after it has accepted it.
            connection.abort()
            raise ExchangeError("cannot connect: closed by the peer", sent=False)
        return connection

    def _pop_idle(
        self, exchange_timeouts: Timeouts, max_idle: float | None
    ) -> ClientConnection | None:
        """Return the most recently used idle connection, if it may still be reused."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            idle_seconds = now - connection.idle_since
            expiry = connection.keep_alive_seconds or exchange_timeouts.keepalive_expiry
            if not connection.is_alive or idle_seconds > expiry:
                connection.abort()
                continue
            if max_idle is not None and idle_seconds > max_idle:
                self._idle.append(connection)
                return None
            return connection
        return None

    async def _read_head(
        self,
        connection: ClientConnection,
        exchange_timeouts: Timeouts,
        matches_request: Callable[[h11.Response], bool],
    ) -> h11.Response:
        head_timeout = exchange_timeouts.first_byte
        if head_timeout is not None:
            head_timeout += self._meter.delay()
        async with asyncio.timeout(head_timeout):
            for _ in range(MAX_SKIPPED_RESPONSES + 1):
                head = await connection.read_head()
                if matches_request(head):
                    return head
                await connection.skip_response()
        raise BrokenConnectionError("only answers to other requests came")

    def _return_connection(self, connection: ClientConnection) -> None:
        if connection.reset_for_reuse():
            self._idle.append(connection)
        else:
            connection.abort()
        self._slots.release()

    def _release_slot(self) -> None:
        self._slots.release()

    def _keep_idle(self, connection: ClientConnection) -> None:
        """Keep a new connection for the next request."""
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def _close_idle(self, selects: Callable[[ClientConnection], bool]) -> None:
        """Close the idle connections that a function selects."""
        kept = []
        for connection in self._idle:
            if selects(connection):
                connection.abort()
            else:
                kept.append(connection)
        self._idle = kept


@attrs.define
class ClientPool:
    """Keeps one client per address.

    Attributes
    ----------
    timeouts
        Default timeouts of the clients.
    meter
        Estimates the queueing delay on the VM's link.
    address_of
        Returns the address that is connected to for an address.
    """

    timeouts: Timeouts = attrs.Factory(Timeouts)
    meter: LinkMeter = UNLIMITED_LINK
    clients_by_address: dict[str, HttpClient] = attrs.Factory(dict)
    address_of: Callable[[str], str] = same_address

    def get(self, address: str) -> HttpClient:
        """Return the client for an address; create it on first use."""
        client = self.clients_by_address.get(address)
        if client is None:
            client = self._new_client(address)
            self.clients_by_address[address] = client
        return client

    def _new_client(self, address: str) -> HttpClient:
        connects_to = self.address_of(address)
        return HttpClient(connects_to, timeouts=self.timeouts, meter=self.meter)

    def drop(self, address: str) -> None:
        """Discard the client for an address that is no longer used."""
        client = self.clients_by_address.pop(address, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close all idle connections."""
        for client in self.clients_by_address.values():
            client.close()
