"""Open listening sockets without importing the HTTP server."""

from __future__ import annotations

import socket

from lynxchute.address import Address

# Large enough for all callers of a VM to reconnect at the same time.
BACKLOG = 1024
# Bytes that the kernel receives for a connection before the process reads them; Linux
# takes half as many again. Connections that announce large bodies get larger buffers.
RECEIVE_BUFFER_BYTES = 16384


def listen(
    address: Address, *, receive_buffer: int = RECEIVE_BUFFER_BYTES
) -> socket.socket:
    """Return a listening socket; connections queue until a server accepts them.

    Parameters
    ----------
    receive_buffer
        Bytes that the kernel receives for each connection before they are read.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections inherit it, also those that are not accepted yet.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listener.setblocking(False)
        listener.bind((address.host, address.port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
