"""The end of a tunnel at the router whose requests it carries."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from typing import Any

import h11

from lynxchute.http.client_connection import ClientConnection
from lynxchute.http.headers import encode_headers
from lynxchute.http.link_meter import LinkMeter
from lynxchute.http.sockets import apply_options, unacknowledged_bytes
from lynxchute.tunnels.errors import FrameError, TunnelRefusal, TunnelRefused
from lynxchute.tunnels.frames import (
    Frame,
    FrameDecoder,
    FrameKind,
    decode_end,
    encode_data,
)

TUNNEL_PATH = "/fleet/tunnel"
PROTOCOL_NAME = "lynxchute-tunnel"
UPSTREAM_HEADER = "Lynxchute-Upstream"
ORIGIN_HEADER = "Lynxchute-Origin"
# Bytes of the answer of a router that refuses a tunnel.
MAX_REFUSAL_BYTES = 4096


class TunnelledConnection(ClientConnection):
    """A connection to an upstream whose bytes another router forwards.

    Parameters
    ----------
    meter
        Counts the traffic on the VM's link.
    via
        VM of the router that forwards the bytes.
    """

    def __init__(self, meter: LinkMeter, via: str) -> None:
        super().__init__(meter)
        self.via = via

    def announce(self, label: str) -> None:
        """Name the next request to the router that forwards it."""
        if label and isinstance(self._transport, TunnelTransport):
            self._transport.send(Frame(FrameKind.LABEL, label.encode()))

    def report_backoff(self, seconds: float) -> None:
        """Tell the router that forwards requests which backoff the upstream wants."""
        if self.is_alive and isinstance(self._transport, TunnelTransport):
            self._transport.send(Frame(FrameKind.BACKOFF, f"{seconds:.3f}".encode()))

    def _unacknowledged_bytes(self) -> int:
        if isinstance(self._transport, TunnelTransport):
            return self._transport.unacknowledged_bytes()
        return 0


class TunnelTransport(asyncio.Transport):
    """Writes bytes of a connection as frames to the router that forwards them.

    Parameters
    ----------
    transport
        The connection to that router.

    Attributes
    ----------
    acknowledged
        Bytes that the upstream has acknowledged, as of its end; None if not known.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport
        self._written = 0
        self.acknowledged: int | None = None

    def send(self, frame: Frame) -> None:
        """Write one frame."""
        self._transport.write(frame.encode())

    def write(self, data: Any) -> None:
        """Write bytes of the connection."""
        self._written += len(data)
        self._transport.write(encode_data(bytes(data)))

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """Write several pieces of bytes."""
        self.write(b"".join(list_of_data))

    def abort(self) -> None:
        """Close both connections at once."""
        self._transport.abort()

    def close(self) -> None:
        """Close the connection after all written bytes are sent."""
        self._transport.close()

    def is_closing(self) -> bool:
        """Return whether the connection is closing or closed."""
        return self._transport.is_closing()

    def pause_reading(self) -> None:
        """Stop reading; the upstream is slowed down as the buffers fill."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._transport.get_write_buffer_size()

    def unacknowledged_bytes(self) -> int:
        """Return the bytes of the connection that the upstream has not acknowledged.

        If the router that forwards them does not tell, those that have not reached it.
        """
        if self.acknowledged is None:
            return unacknowledged_bytes(self._transport)
        return max(self._written - self.acknowledged, 0)

    def can_write_eof(self) -> bool:
        """Return False: only the whole connection can be closed."""
        return False


class TunnelProtocol(asyncio.Protocol):
    """Asks a router for a tunnel, then passes frames to the connection in it.

    Parameters
    ----------
    upstream_address
        Address of the upstream, as registered.
    headers
        Headers of the request to the router, with the fleet's secret.
    connection
        The connection that the tunnel carries.
    on_end
        Called when a tunnel that was opened has ended.

    Attributes
    ----------
    opened
        Done once the tunnel is open, or with `TunnelRefused`.
    """

    def __init__(
        self,
        upstream_address: str,
        headers: list[tuple[str, str]],
        connection: ClientConnection,
        on_end: Callable[[], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[None] = loop.create_future()
        # Nobody awaits it if the attempt is cancelled before it is connected.
        self.opened.add_done_callback(_mark_handled)
        self._headers = [
            ("Host", "router"),
            ("Connection", "Upgrade"),
            ("Upgrade", PROTOCOL_NAME),
            (UPSTREAM_HEADER, upstream_address),
            *headers,
        ]
        self._connection = connection
        self._on_end = on_end
        self._is_open = False
        self._http: h11.Connection | None = h11.Connection(h11.CLIENT)
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._tunnel_transport: TunnelTransport | None = None
        self._refusal_body = b""
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request for a tunnel."""
        assert isinstance(transport, asyncio.Transport)
        assert self._http is not None
        self._transport = transport
        apply_options(transport)
        request = h11.Request(
            method="GET", target=TUNNEL_PATH, headers=encode_headers(self._headers)
        )
        transport.write(self._http.send(request) or b"")
        transport.write(self._http.send(h11.EndOfMessage()) or b"")

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the router."""
        if self._http is not None:
            self._http.receive_data(data)
            data = self._read_answer(self._http)
            if not data:
                return
        try:
            frames = self._decoder.decode(data)
        except FrameError as error:
            self._end(error)
            return
        for frame in frames:
            self._handle_frame(frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the loss of the connection to the router."""
        if self._is_open:
            self._on_end()
            # A router that ends has not ended the upstream's answer in order.
            self._end(error or ConnectionResetError("the tunnel has ended"))
        elif not self.opened.done():
            self.opened.set_exception(TunnelRefused(TunnelRefusal.NO_ANSWER))

    def _read_answer(self, http: h11.Connection) -> bytes:
        """Read the answer to the request; return the bytes of frames behind it."""
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    return b""
                if isinstance(event, h11.InformationalResponse):
                    if event.status_code != 101:
                        continue
                    return self._open(http)
                if isinstance(event, h11.Data):
                    self._refusal_body += bytes(event.data)
                    if len(self._refusal_body) > MAX_REFUSAL_BYTES:
                        self._refuse(TunnelRefusal.NO_ANSWER)
                        return b""
                if isinstance(event, h11.EndOfMessage):
                    self._refuse(_decode_refusal(self._refusal_body))
                    return b""
        except h11.RemoteProtocolError:
            self._refuse(TunnelRefusal.NO_ANSWER)
            return b""

    def _open(self, http: h11.Connection) -> bytes:
        assert self._transport is not None
        self._http = None
        self._is_open = True
        early_bytes, _ = http.trailing_data
        self._tunnel_transport = TunnelTransport(self._transport)
        self._connection.connection_made(self._tunnel_transport)
        if not self.opened.done():
            self.opened.set_result(None)
        return early_bytes

    def _refuse(self, refusal: TunnelRefusal) -> None:
        assert self._transport is not None
        if not self.opened.done():
            self.opened.set_exception(TunnelRefused(refusal))
        self._transport.abort()

    def _handle_frame(self, frame: Frame) -> None:
        if self._has_ended:
            return
        if frame.kind is FrameKind.DATA:
            self._connection.data_received(frame.payload)
        elif frame.kind is FrameKind.END:
            self._handle_end(frame)
        elif frame.kind is FrameKind.CLOSING:
            self._connection.retire()

    def _handle_end(self, frame: Frame) -> None:
        """Pass on the end of the upstream's side, unless it was passed on before."""
        assert self._tunnel_transport is not None
        self._tunnel_transport.acknowledged = decode_end(frame)
        if not self._connection.eof_received():
            self._end(None)

    def _end(self, error: Exception | None) -> None:
        """End the connection; only an END frame has ended its answer in order."""
        if self._has_ended:
            return
        self._has_ended = True
        self._connection.connection_lost(error)
        if self._transport is not None:
            self._transport.abort()


def _mark_handled(opened: asyncio.Future[None]) -> None:
    if not opened.cancelled():
        opened.exception()


def _decode_refusal(body: bytes) -> TunnelRefusal:
    try:
        return TunnelRefusal(json.loads(body)["reason"])
    except (ValueError, KeyError, TypeError):
        return TunnelRefusal.NO_ANSWER
