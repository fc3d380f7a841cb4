"""An HTTP/1.1 server on `asyncio` protocols, with `h11` for the syntax."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import attrs
from absl import logging

from lynxchute.address import Address
from lynxchute.http.connection import ServerConnection
from lynxchute.http.link_meter import AMPLE, LinkMeter
from lynxchute.http.messages import Request, RequestHead
from lynxchute.http.responder import Responder
from lynxchute.listening import BACKLOG, listen
from lynxchute.overload.memory_guard import MemoryGuard


@attrs.frozen
class ServerLimits:
    """What a sender may send, and how long it may take.

    Attributes
    ----------
    max_head_bytes, max_body_bytes
        Longer heads are refused with 431, longer bodies with 413.
    max_buffered_bytes
        Bytes of all bodies together that are being read or served.
    head_timeout
        Seconds from the first byte of a head to its last.
    body_timeout
        Seconds that a body may pause.
    idle_timeout
        Seconds that an idle connection is kept.
    """

    max_head_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    max_buffered_bytes: int = 32 * 1024 * 1024
    head_timeout: float = 15.0
    body_timeout: float = 15.0
    idle_timeout: float = 75.0


def accept_all(head: RequestHead) -> None:
    """Refuse no request by its head."""


def take_all() -> bool:
    """Take each connection that comes."""
    return True


class HttpServer:
    """Accept connections and hand each request to a handler.

    Parameters
    ----------
    handler
        Called once for each request; cancelled when the caller leaves, unless
        the responder says otherwise.
    limits
        Returns the limits in force; they may change while the server runs.
    check_head
        Called before a body is read; raises `BadRequest` to refuse it.
    meter
        Counts what goes over the VM's link.
    guard
        Bounds what waits for callers who read slowly; where there is none, answers
        wait for their callers.
    takes_connections
        Returns whether a connection that has come is served; others are closed before
        anything of them is read.
    """

    def __init__(
        self,
        handler: Callable[[Request, Responder], Awaitable[None]],
        *,
        limits: Callable[[], ServerLimits] = ServerLimits,
        check_head: Callable[[RequestHead], None] = accept_all,
        meter: LinkMeter = AMPLE,
        guard: MemoryGuard | None = None,
        may_accept_connection: Callable[[], bool] = take_all,
    ) -> None:
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

    async def start(self, host: str, port: int) -> None:
        """Listen at an address; port 0 takes any free port."""
        await self.serve(listen(Address(host, port)))

    async def serve(self, listener: socket.socket) -> None:
        """Serve the connections that a socket takes."""
        loop = asyncio.get_running_loop()
        self._listener = listener
        self._server = await loop.create_server(
            lambda: ServerConnection(self), sock=listener, backlog=BACKLOG
        )
        self._host, self.port = self._server.sockets[0].getsockname()[:2]

    @property
    def is_accepting(self) -> bool:
        """Return whether connections are taken."""
        return self._server is not None and self._server.is_serving()

    async def pause_accepting(self) -> None:
        """Take no connections; who tries is told so before it sends anything.

        What the kernel has taken is served: closing would reset it, also where a
        request has been sent (30 callers of one played day got no answer so).
        """
        if self._server is None or self._listener is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        # asyncio attaches an accepted connection to the server a turn later, which
        # fails once the server is closed and drops the connection.
        await asyncio.sleep(0)
        taken = []
        while True:
            try:
                taken.append(self._listener.accept()[0])
            except (BlockingIOError, InterruptedError):
                break
        self._server.close()
        for connection in taken:
            connection.setblocking(False)
            await loop.connect_accepted_socket(
                lambda: ServerConnection(self), connection
            )

    async def resume_accepting(self) -> None:
        """Take connections again, at the same port."""
        if self._server is not None and not self._server.is_serving():
            await self.start(self._host, self.port)

    def disable_keep_alive(self) -> None:
        """Let each further answer be the last one on its connection."""
        self.close_after_response = True

    def close_idle(self) -> None:
        """Close the connections on which nothing is being asked."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def drain(self, deadline: float) -> bool:
        """Stop accepting and wait for the open exchanges.

        Parameters
        ----------
        deadline
            Seconds to wait at most.

        Returns
        -------
        bool
            Whether every exchange ended by itself.
        """
        self.disable_keep_alive()
        if self._server is not None:
            self._server.close()
        self.close_idle()
        busy = [c.served for c in self.connections if c.served is not None]
        late: set[asyncio.Task[None]] = set()
        if busy:
            _, late = await asyncio.wait(busy, timeout=deadline)
        await self.kill()
        return not late

    async def kill(self) -> None:
        """Drop every connection at once."""
        if self._server is not None:
            self._server.close()
        tasks = []
        for connection in list(self.connections):
            if connection.served is not None:
                connection.served.cancel()
                tasks.append(connection.served)
            connection.abort()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                logging.warning("request handler failed during shutdown: %r", result)


async def not_found(request: Request, respond: Responder) -> None:
    """Answer that nothing is at the path."""
    await respond.json(404, {"error": f"nothing is at {request.path}"})
