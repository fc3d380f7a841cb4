"""The end of tunnels at the router that forwards their bytes to upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.address import Address
from lynxchute.application import Component
from lynxchute.clock import steady_seconds
from lynxchute.fleet.server import PeerServer
from lynxchute.http import (
    CallerDisconnected,
    LinkMeter,
    LinkShare,
    Request,
    Responder,
)
from lynxchute.http.early_end import POLL_SECONDS
from lynxchute.http.patience import lag_tolerant_wait
from lynxchute.http.sockets import (
    apply_options,
    pending_error,
    unacknowledged_bytes,
)
from lynxchute.relay.load import RouterLoad
from lynxchute.telemetry import Metrics, log_event
from lynxchute.tunnels.connection import (
    ORIGIN_HEADER,
    PROTOCOL_NAME,
    TUNNEL_PATH,
    UPSTREAM_HEADER,
)
from lynxchute.tunnels.errors import FrameError, TunnelRefusal
from lynxchute.tunnels.frames import (
    Frame,
    FrameDecoder,
    FrameKind,
    encode_data,
    encode_end,
)
from lynxchute.tunnels.pool import UpstreamClients
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.statement_headers import MAX_BACKOFF
from lynxchute.upstreams.upstream import Upstream

# Seconds within which a connection to an upstream must be established. The router that
# asks waits for longer, so that it hears that this one does not reach the upstream.
CONNECT_SECONDS = 0.12
# Tunnels that a router serves at a time; its own callers need most of its descriptors.
MAX_TUNNELS = 400
# Seconds without progress after which a tunnel closes whose upstream has ended its
# side. The other router closes it before, once it knows what the end means.
ENDED_TUNNEL_SECONDS = 2.0


class Tunnel:
    """One tunnel: a connection of another router, and one to an upstream.

    Parameters
    ----------
    origin
        VM of the router whose requests it carries.
    address
        Address of the upstream, as registered.
    meter
        Counts the traffic on the VM's link.
    link_share
        Limits large answers to a share of the VM's link.
    on_end
        Called when the tunnel has ended.
    on_backoff
        Called with the seconds of backoff that the upstream asked for.
    """

    def __init__(
        self,
        origin: str,
        address: str,
        meter: LinkMeter,
        link_share: LinkShare,
        on_end: Callable[[Tunnel], None],
        on_backoff: Callable[[str, float], None],
    ) -> None:
        self.origin = origin
        self.address = address
        self.meter = meter
        self.link_share = link_share
        self.origin_side = OriginSide(self)
        self.upstream_side = UpstreamSide(self)
        self._on_end = on_end
        self._on_backoff = on_backoff
        self._has_ended = False

    def record_backoff(self, payload: bytes) -> None:
        """Record a backoff that the other router reports.

        Raises
        ------
        FrameError
            If it is not a valid number of seconds.
        """
        try:
            seconds = float(payload)
        except ValueError as error:
            raise FrameError(f"invalid backoff: {payload[:20]!r}") from error
        if not 0.0 <= seconds <= MAX_BACKOFF:
            raise FrameError(f"invalid backoff: {seconds}")
        self._on_backoff(self.address, seconds)

    def announce_stop(self) -> None:
        """Ask the other router to send no further request through this tunnel."""
        transport = self.origin_side.transport
        if transport is not None:
            transport.write(Frame(FrameKind.CLOSING).encode())

    def end(self, *, in_order: bool = False) -> None:
        """Close both connections.

        Parameters
        ----------
        in_order
            Whether bytes for the other router that are not sent yet are still sent.
        """
        if self._has_ended:
            return
        self._has_ended = True
        self._on_end(self)
        for side in (self.origin_side, self.upstream_side):
            if side.transport is None:
                continue
            if in_order and side is self.origin_side:
                side.transport.close()
            else:
                side.transport.abort()


class _Side(asyncio.BaseProtocol):
    """One connection of a tunnel; the other one is read only as fast as it writes."""

    def __init__(self, tunnel: Tunnel) -> None:
        self.transport: asyncio.Transport | None = None
        self._tunnel = tunnel

    @property
    def _other(self) -> _Side:
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        apply_options(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """End the tunnel."""
        self._tunnel.end()

    def pause_writing(self) -> None:
        """Stop reading from the other side."""
        self._other.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other side again."""
        self._other.resume_reading()

    def pause_reading(self) -> None:
        """Read no more until it is resumed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection has ended."""
        if self.transport is None or self.transport.is_closing():
            return
        self._tunnel.meter.record_sent(len(data))
        self.transport.write(data)


class OriginSide(_Side, asyncio.Protocol):
    """The connection of the router whose requests the tunnel carries."""

    def __init__(self, tunnel: Tunnel) -> None:
        super().__init__(tunnel)
        self._decoder = FrameDecoder()

    @property
    def _other(self) -> _Side:
        return self._tunnel.upstream_side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read from the upstream."""
        super().connection_made(transport)
        self.resume_writing()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the upstream."""
        self._tunnel.meter.record_received(len(data))
        try:
            for frame in self._decoder.decode(data):
                self._handle_frame(frame)
        except FrameError as error:
            log_event("invalid frame", origin=self._tunnel.origin, reason=str(error))
            self._tunnel.end()

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind is FrameKind.DATA:
            self._tunnel.upstream_side.begin_answer()
            self._other.write(frame.payload)
        elif frame.kind is FrameKind.BACKOFF:
            self._tunnel.record_backoff(frame.payload)
        elif frame.kind is FrameKind.LABEL:
            log_event(
                "request forwarded",
                request_id=frame.payload.decode(errors="replace"),
                origin=self._tunnel.origin,
                address=self._tunnel.address,
            )


class UpstreamSide(_Side, asyncio.BufferedProtocol):
    """The connection to the upstream; not read before the tunnel is open."""

    def __init__(self, tunnel: Tunnel) -> None:
        super().__init__(tunnel)
        self._forwarded = 0
        self._acknowledged: int | None = None
        self._end_timer: asyncio.TimerHandle | None = None
        self._size = tunnel.link_share.answer_size()
        # Small reads, as what was read is written at once.
        self._buffer = bytearray(tunnel.link_share.piece_bytes)
        # Reading waits for the other router, and for the share of the link.
        self._is_held = False
        self._is_paced = False

    @property
    def _other(self) -> _Side:
        return self._tunnel.origin_side

    def begin_answer(self) -> None:
        """Count the bytes that follow as those of another answer."""
        self._size = self._tunnel.link_share.answer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the other connection before reading."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.pause_reading()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that the next bytes are read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass bytes on to the other router."""
        share = self._tunnel.link_share
        self._tunnel.meter.record_received(nbytes)
        self._other.write(encode_data(bytes(self._buffer[:nbytes])))
        if self._size.is_large(nbytes):
            share.reserve(nbytes)
            self._pace(share.backlog())

    def pause_reading(self) -> None:
        """Read no more until the other router takes more."""
        self._is_held = True
        super().pause_reading()

    def resume_reading(self) -> None:
        """Read again, as far as the share of the link permits."""
        self._is_held = False
        if not self._is_paced:
            super().resume_reading()

    def _pace(self, seconds: float) -> None:
        if seconds <= 0.0:
            return
        self._is_paced = True
        super().pause_reading()
        asyncio.get_running_loop().call_later(seconds, self._end_pace)

    def _end_pace(self) -> None:
        self._is_paced = False
        if not self._is_held:
            super().resume_reading()

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection has ended."""
        if self.transport is not None and not self.transport.is_closing():
            self._forwarded += len(data)
        super().write(data)

    def eof_received(self) -> bool:
        """Tell the other router that the upstream has closed in order.

        The rest of the request is still forwarded, as the upstream may read it.
        """
        if self._end_timer is None:
            self._report_end(asyncio.get_running_loop().time())
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End the tunnel; without an END frame the answer counts as broken."""
        if self._end_timer is not None:
            self._end_timer.cancel()
        has_ended = self._acknowledged is not None
        self._tunnel.end(in_order=has_ended and error is None)

    def _report_end(self, progressed_at: float) -> None:
        """Report how much the upstream has acknowledged, until the tunnel ends.

        Parameters
        ----------
        progressed_at
            When it last acknowledged more, in seconds.
        """
        loop = asyncio.get_running_loop()
        if self.transport is None or self.transport.is_closing():
            return
        if pending_error(self.transport) is not None:
            self._tunnel.end()
            return
        acknowledged = self._forwarded - unacknowledged_bytes(self.transport)
        if acknowledged != self._acknowledged:
            self._acknowledged = acknowledged
            progressed_at = loop.time()
            self._other.write(encode_end(acknowledged))
        if loop.time() - progressed_at > ENDED_TUNNEL_SECONDS:
            self._tunnel.end(in_order=True)
            return
        self._end_timer = loop.call_later(POLL_SECONDS, self._report_end, progressed_at)


class TunnelServer(Component):
    """Opens tunnels to upstreams for routers that do not reach them.

    It connects to upstreams directly only, so no request takes more than one other
    router, whichever routers are cut off.

    Parameters
    ----------
    directory
        The upstreams; tunnels lead nowhere else.
    clients
        This router's own connections to upstreams, and which of them are lost.
    load
        Tells whether this router itself is overloaded.
    meter
        Counts the traffic on the VM's link.
    link_share
        Limits large answers to a share of the VM's link.
    metrics
        Counts tunnels by outcome.
    is_stopping
        Returns whether this router stops.
    """

    def __init__(
        self,
        directory: Directory,
        clients: UpstreamClients,
        load: RouterLoad,
        meter: LinkMeter,
        link_share: LinkShare,
        metrics: Metrics,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._load = load
        self._meter = meter
        self._link_share = link_share
        self._metrics = metrics
        self._is_stopping = is_stopping
        self._tunnels: set[Tunnel] = set()
        self._opening = 0
        directory.backoff_listeners.append(self._handle_backoff)

    @property
    def count(self) -> int:
        """Return the number of open tunnels."""
        return len(self._tunnels)

    def serve(self, server: PeerServer) -> None:
        """Register the handler of requests for tunnels."""
        server.handlers_by_path[TUNNEL_PATH] = self._handle

    def announce_stop(self) -> None:
        """Ask the other routers to send no further requests through this one."""
        for tunnel in self._tunnels:
            tunnel.announce_stop()

    async def stop(self) -> None:
        """Close all tunnels."""
        for tunnel in list(self._tunnels):
            tunnel.end()

    async def _handle(self, request: Request, respond: Responder) -> None:
        address = request.headers.get(UPSTREAM_HEADER.lower(), "")
        origin = request.headers.get(ORIGIN_HEADER.lower(), "")
        refusal = self._refusal(address)
        tunnel = Tunnel(
            origin,
            address,
            self._meter,
            self._link_share,
            self._discard,
            self._record_backoff,
        )
        if refusal is None:
            self._opening += 1
            try:
                refusal = await self._connect(tunnel)
            finally:
                self._opening -= 1
        outcome = "opened" if refusal is None else refusal.value
        self._metrics.tunnels_served.inc(outcome)
        log_event("tunnel requested", origin=origin, address=address, outcome=outcome)
        if refusal is not None:
            await respond.json(503, {"reason": refusal.value})
            return
        self._tunnels.add(tunnel)
        try:
            respond.switch_protocol(tunnel.origin_side, PROTOCOL_NAME)
        except CallerDisconnected:
            tunnel.end()
            return
        if self._is_stopping():
            # The announcement to all tunnels came before this one was open.
            tunnel.announce_stop()

    def _refusal(self, address: str) -> TunnelRefusal | None:
        if self._is_stopping():
            return TunnelRefusal.STOPPING
        if not self._directory.has_address(address):
            return TunnelRefusal.UNKNOWN
        if self._clients.paths.is_lost(address):
            return TunnelRefusal.NO_PATH
        if self.count + self._opening >= MAX_TUNNELS or self._load.is_shedding:
            return TunnelRefusal.OVERLOADED
        if self._directory.is_backing_off(address, steady_seconds()):
            return TunnelRefusal.BACKOFF
        return None

    def _record_backoff(self, address: str, seconds: float) -> None:
        log_event("forwarded backoff", address=address, backoff_s=seconds)
        self._directory.record_forwarded_backoff(address, seconds, steady_seconds())

    def _handle_backoff(self, upstream: Upstream) -> None:
        """Let no further request through to an upstream that asked for backoff."""
        for tunnel in self._tunnels:
            if tunnel.address == upstream.address:
                tunnel.announce_stop()

    async def _connect(self, tunnel: Tunnel) -> TunnelRefusal | None:
        """Connect a tunnel to its upstream; return why that failed, or None."""
        target = Address.parse(self._clients.address_of(tunnel.address))
        try:
            await lag_tolerant_wait(
                asyncio.get_running_loop().create_connection(
                    lambda: tunnel.upstream_side, target.host, target.port
                ),
                CONNECT_SECONDS + self._meter.delay(),
                lambda created: created[0].abort(),
            )
        except (OSError, TimeoutError):
            return TunnelRefusal.UNREACHABLE
        return None

    def _discard(self, tunnel: Tunnel) -> None:
        self._tunnels.discard(tunnel)
