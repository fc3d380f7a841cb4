"""Listen before anything that serves has been loaded."""

from __future__ import annotations

import socket

from lynxchute.address import Address

# Large enough for every caller of a VM to reconnect at the same moment.
BACKLOG = 1024


def listen(address: Address) -> socket.socket:
    """Return a socket that takes connections; they wait until it is served.

    Raises
    ------
    OSError
        Where nothing can listen there.
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
