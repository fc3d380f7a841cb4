"""Open listening sockets without importing the HTTP server."""

from __future__ import annotations

import socket

from lynxchute.address import Address

# Large enough for all callers of a VM to reconnect at the same time.
BACKLOG = 1024


def listen(address: Address) -> socket.socket:
    """Return a listening socket; connections queue until a server accepts them.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((address.host, address.port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
