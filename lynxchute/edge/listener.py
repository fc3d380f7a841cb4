"""Component that runs an HTTP server on an address."""

from __future__ import annotations

import socket

from lynxchute.address import Address
from lynxchute.application import Component
from lynxchute.http import HttpServer


class Listener(Component):
    """Listens on an address while the application runs.

    Parameters
    ----------
    server
        Server that handles the connections.
    address
        Address to listen on.
    listening_socket
        Socket that already listens there; None to open one at the start.
    """

    def __init__(
        self,
        server: HttpServer,
        address: Address,
        listening_socket: socket.socket | None = None,
    ) -> None:
        self.server = server
        self._address = address
        self._listening_socket = listening_socket

    async def start(self) -> None:
        """Start listening."""
        if self._listening_socket is not None:
            await self.server.serve(self._listening_socket)
            return
        await self.server.start(self._address.host, self._address.port)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        await self.server.kill()
