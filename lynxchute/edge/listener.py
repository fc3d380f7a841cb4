"""Listen for a server as long as its application runs."""

from __future__ import annotations

import socket

from lynxchute.address import Address
from lynxchute.application import Component
from lynxchute.http import HttpServer


class Listener(Component):
    """Listen at an address.

    Parameters
    ----------
    server
        Serves what comes.
    address
        Where to listen.
    listener
        Takes connections there already; None where nothing does.
    """

    def __init__(
        self,
        server: HttpServer,
        address: Address,
        listener: socket.socket | None = None,
    ) -> None:
        self.server = server
        self._address = address
        self._listener = listener

    async def start(self) -> None:
        """Begin to listen."""
        if self._listener is not None:
            await self.server.serve(self._listener)
            return
        await self.server.start(self._address.host, self._address.port)

    async def stop(self) -> None:
        """Drop every connection."""
        await self.server.kill()
