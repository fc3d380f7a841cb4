"""An HTTP/1.1 server based on `asyncio` protocols and `h11`."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import attrs
from absl import logging

from lynxchute.address import Address
from lynxchute.http.connection import AbortCause, ServerConnection
from lynxchute.http.link_meter import UNLIMITED_LINK, LinkMeter
from lynxchute.http.messages import Request, RequestHead
from lynxchute.http.responder import Responder
from lynxchute.http.sockets import (
    DEFAULT_OPTIONS,
    SLOW_READER_OPTIONS,
    SocketOptions,
)
from lynxchute.listening import BACKLOG, listen
from lynxchute.overload.connection_limit import ConnectionLimit
from lynxchute.overload.inbound_memory import InboundMemory
from lynxchute.overload.memory_guard import MemoryGuard

# Seconds between two checks for callers that wait for their answers.
ANSWER_POLL_SECONDS = 0.01


@attrs.frozen
class ServerLimits:
    """Size limits and timeouts for callers.

    Attributes
    ----------
    max_head_bytes, max_body_bytes
        Larger heads are rejected with 431, larger bodies with 413.
    max_buffered_bytes
        Total bytes of all requests that are being read or served.
    head_timeout
        Seconds from the first byte of a head to its last.
    body_timeout
        Seconds between two chunks of a body.
    idle_timeout
        Seconds after which an idle connection is closed.
    """

    max_head_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    max_buffered_bytes: int = 32 * 1024 * 1024
    head_timeout: float = 15.0
    body_timeout: float = 15.0
    idle_timeout: float = 75.0


def accept_all_heads(head: RequestHead) -> None:
    """Accept every request."""


def accept_all_connections() -> bool:
    """Accept every connection."""
    return True


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Parameters
    ----------
    handler
        Called once per request; cancelled when the caller disconnects, unless
        `Responder.survives_disconnect` is set.
    limits
        Returns the current limits; they may change while the server runs.
    check_head
        Called before a body is read; raises `BadRequest` to reject the request.
    meter
        Counts the traffic on the VM's link.
    guard
        Limits the memory that responses may use while callers read slowly. Without it,
        a handler waits until its caller has read enough.
    may_accept_connection
        Returns whether a new connection is served; others are closed before anything
        is read from them.
    inbound
        Limits the memory of received requests, for all servers that share it. By
        default it is a server's own, with the bound ``max_buffered_bytes``.
    socket_options
        Options of the accepted connections; by default those for slow readers if there
        is a guard.
    connection_limit
        Limits the connections of all servers that share it; None for no limit.
    """

    def __init__(
        self,
        handler: Callable[[Request, Responder], Awaitable[None]],
        *,
        limits: Callable[[], ServerLimits] = ServerLimits,
        check_head: Callable[[RequestHead], None] = accept_all_heads,
        meter: LinkMeter = UNLIMITED_LINK,
        guard: MemoryGuard | None = None,
        may_accept_connection: Callable[[], bool] = accept_all_connections,
        inbound: InboundMemory | None = None,
        socket_options: SocketOptions | None = None,
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        self.connection_limit = connection_limit
        default_options = DEFAULT_OPTIONS if guard is None else SLOW_READER_OPTIONS
        self.socket_options = socket_options or default_options
        self.inbound = inbound or InboundMemory(lambda: limits().max_buffered_bytes)
        self.guard = guard
        self.may_accept_connection = may_accept_connection
        self.connections: set[ServerConnection] = set()
        self.buffered_bytes = 0
        self.port = 0
        self.close_after_response = False
        self.handler = handler
        self.limits = limits
        self.check_head = check_head
        self.meter = meter
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._host = ""
        self._is_finishing = False
        self._is_pausing = False

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 selects a free port."""
        await self.serve(listen(Address(host, port)))

    async def serve(self, listener: socket.socket) -> None:
        """Serve the connections of a listening socket."""
        loop = asyncio.get_running_loop()
        self._listener = listener
        self._server = await loop.create_server(
            lambda: ServerConnection(self), sock=listener, backlog=BACKLOG
        )
        self._host, self.port = self._server.sockets[0].getsockname()[:2]
        if self._is_finishing:
            self._server.close()

    @property
    def is_accepting(self) -> bool:
        """Return whether the server accepts connections."""
        if self._server is None or self._is_pausing:
            return False
        return self._server.is_serving()

    async def pause_accepting(self) -> None:
        """Stop accepting, so that new callers are refused before they send anything.

        Connections in the backlog of the kernel are served. Closing the socket would
        reset them, even if a request was already sent, and 30 callers of a simulated
        day got no response for that reason.
        """
        if not self.is_accepting:
            return
        server, listener = self._server, self._listener
        assert server is not None and listener is not None
        self._is_pausing = True
        loop = asyncio.get_running_loop()
        loop.remove_reader(listener)
        # asyncio attaches an accepted connection to the server one iteration of the
        # event loop later. If the server were closed before that, attaching would fail
        # and the connection would be dropped.
        await asyncio.sleep(0)
        accepted = []
        while True:
            try:
                accepted.append(listener.accept()[0])
            except (BlockingIOError, InterruptedError):
                break
        server.close()
        self._is_pausing = False
        for connection in accepted:
            connection.setblocking(False)
            await loop.connect_accepted_socket(
                lambda: ServerConnection(self), connection
            )

    async def resume_accepting(self) -> None:
        """Accept connections again, on the same port."""
        if self._is_finishing:
            return
        if self._server is not None and not self._server.is_serving():
            await self.start(self._host, self.port)

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self.close_after_response = True

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def refuse_incomplete(self) -> None:
        """Refuse the requests of which only a part has arrived."""
        for connection in list(self.connections):
            connection.refuse_incomplete()

    @property
    def unanswered(self) -> int:
        """Return the number of callers that have not got their whole answer yet."""
        return sum(connection.is_unanswered for connection in self.connections)

    async def wait_answered(self, deadline: float) -> None:
        """Wait until all callers have got their answers, or until the deadline.

        Parameters
        ----------
        deadline
            Time on the clock of the event loop, in seconds.
        """
        loop = asyncio.get_running_loop()
        while self.unanswered and loop.time() < deadline:
            await asyncio.sleep(ANSWER_POLL_SECONDS)

    async def finish(self, deadline: float) -> None:
        """Stop accepting for good, and wait until all callers have got their answers.

        Afterwards no request can arrive, unless the deadline has passed.

        Parameters
        ----------
        deadline
            Time on the clock of the event loop, in seconds.
        """
        self._is_finishing = True
        self.disable_keep_alive()
        await self.pause_accepting()
        loop = asyncio.get_running_loop()
        while True:
            # Also lets connections from the backlog deliver what was sent already.
            await asyncio.sleep(ANSWER_POLL_SECONDS)
            self.close_idle()
            if loop.time() >= deadline:
                self.refuse_incomplete()
                return
            if not self.unanswered:
                return

    async def kill(self) -> None:
        """Cancel all handlers and abort all connections."""
        if self._server is not None:
            self._server.close()
        tasks = []
        for connection in list(self.connections):
            if connection.handler_task is not None:
                connection.handler_task.cancel()
                tasks.append(connection.handler_task)
            connection.abort(AbortCause.STOPPED)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                logging.warning("request handler failed during shutdown: %r", result)


async def not_found(request: Request, respond: Responder) -> None:
    """Respond with 404."""
    await respond.json(404, {"error": f"nothing is at {request.path}"})
