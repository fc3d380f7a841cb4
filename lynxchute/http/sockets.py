"""Options of the TCP sockets that this project opens or accepts."""

from __future__ import annotations

import asyncio
import socket

import attrs


@attrs.frozen
class SocketOptions:
    """How soon a peer that has gone silent is noticed.

    A VM without power or behind a partition answers nothing, and TCP alone
    waits for minutes.

    Attributes
    ----------
    user_timeout_ms
        Milliseconds that sent bytes may stay unacknowledged.
    keepalive_idle_s, keepalive_interval_s, keepalive_count
        Seconds of silence until the first probe, seconds between probes, and
        how many may stay unanswered.
    """

    user_timeout_ms: int = 2500
    keepalive_idle_s: int = 1
    keepalive_interval_s: int = 1
    keepalive_count: int = 2


DEFAULT_OPTIONS = SocketOptions()


def apply_options(
    transport: asyncio.BaseTransport, options: SocketOptions = DEFAULT_OPTIONS
) -> None:
    """Set the options on the socket of a transport."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, options.keepalive_idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, options.keepalive_interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, options.keepalive_count)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, options.user_timeout_ms)
