"""Options of TCP sockets."""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import struct
import termios

import attrs

# Size of the C integer in which the kernel returns the length of a queue.
QUEUE_LENGTH = struct.Struct("i")


@attrs.frozen
class SocketOptions:
    """Timeouts after which an unresponsive peer is detected.

    A VM that is powered off or behind a network partition sends nothing, and TCP by
    default waits for minutes.

    Attributes
    ----------
    user_timeout_ms
        Milliseconds for which sent bytes, or the probes of an idle connection, may
        remain unacknowledged. Linux closes an idle connection at the first probe after
        this time, whatever the number of probes is.
    keepalive_idle_s, keepalive_interval_s
        Idle seconds before the first probe, and seconds between probes.
    keepalive_count
        Unacknowledged probes after which systems without a user timeout close the
        connection.
    """

    user_timeout_ms: int = 2500
    keepalive_idle_s: int = 1
    keepalive_interval_s: int = 1
    keepalive_count: int = 2


DEFAULT_OPTIONS = SocketOptions()
# A slow reader may keep its TCP window closed for long, so the timeout is generous.
# Callers that read nothing at all are disconnected by the server itself.
SLOW_READER_OPTIONS = SocketOptions(user_timeout_ms=30_000)


def enlarge_receive_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Let the kernel receive more bytes of a connection before they are read.

    The new size is a hint: a kernel may keep the window that it has announced.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def apply_options(
    transport: asyncio.BaseTransport, options: SocketOptions = DEFAULT_OPTIONS
) -> None:
    """Apply the options to the socket of a transport, if it is a TCP socket."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, options.keepalive_idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, options.keepalive_interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, options.keepalive_count)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, options.user_timeout_ms)


def unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the written bytes that the peer has not acknowledged.

    These are in the buffer of the transport or in the send queue of the kernel. Where
    the kernel does not tell, only the former are counted.
    """
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(QUEUE_LENGTH.size))
    except OSError:
        return buffered
    return buffered + int(QUEUE_LENGTH.unpack(queued)[0])


def pending_error(transport: asyncio.BaseTransport) -> OSError | None:
    """Return the error that the kernel has recorded for a connection, or None."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(number, os.strerror(number)) if number else None
