"""Client of one upstream, which is reached directly or through another router."""

from __future__ import annotations

import asyncio
import math

from lynxchute.clock import steady_seconds
from lynxchute.http import ExchangeError, HttpClient, LinkMeter, Timeouts
from lynxchute.http.client_connection import ClientConnection
from lynxchute.telemetry import log_event
from lynxchute.tunnels.errors import TunnelRefusal, TunnelRefused
from lynxchute.tunnels.opener import Tunnels
from lynxchute.tunnels.paths import PathState, UpstreamPaths

# Seconds, and share of the connect timeout, after which a direct attempt without an
# answer is joined by one through another router. Connecting takes a few milliseconds.
HEAD_START_SECONDS = 0.1
HEAD_START_SHARE = 1 / 3
# Seconds for all routers that are asked while no request waits.
CHECK_TIMEOUT = 1.0
# Seconds for a direct connection of a check; connecting takes a few milliseconds.
CHECK_CONNECT_SECONDS = 0.15


class UpstreamClient(HttpClient):
    """Sends requests to one upstream, directly or through another router.

    Only connecting differs: a request is sent once the upstream has been reached, so
    whatever holds for requests on direct connections holds on the others too.

    Parameters
    ----------
    address
        Where this router connects to.
    registered_address
        The upstream's address, as it has registered it.
    tunnels
        Opens connections through other routers.

    Attributes
    ----------
    used_at, verified_at
        When a connection was last opened, and when the path was last verified.
    """

    def __init__(
        self,
        address: str,
        registered_address: str,
        tunnels: Tunnels,
        *,
        timeouts: Timeouts,
        meter: LinkMeter,
    ) -> None:
        super().__init__(address, timeouts=timeouts, meter=meter)
        self.tunnels = tunnels
        self.registered_address = registered_address
        self.used_at = -math.inf
        self.verified_at = -math.inf

    @property
    def paths(self) -> UpstreamPaths:
        """Return how upstreams are reached."""
        return self.tunnels.paths

    async def check(self) -> None:
        """Try the direct path, and keep the connection if it works."""
        began_at = steady_seconds()
        try:
            connection = await super()._open_connection(CHECK_CONNECT_SECONDS)
        except ExchangeError as error:
            now = steady_seconds()
            self.paths.record_check_failed(
                self.registered_address,
                now,
                hangs=error.is_timeout,
                began_at=began_at,
            )
            if self.paths.state(self.registered_address) is PathState.UNREACHABLE:
                await self._check_tunnel(hangs=error.is_timeout)
            return
        self.paths.record_direct(self.registered_address, steady_seconds())
        if self.paths.is_lost(self.registered_address):
            # It has to pass more checks.
            connection.abort()
        else:
            self._keep_idle(connection)

    async def verify(self) -> None:
        """Find out how the upstream is reached, and keep the connection."""
        try:
            self._keep_idle(await self._open_connection(self._timeouts.connect))
        except ExchangeError as error:
            log_event(
                "upstream not reached",
                address=self.registered_address,
                reason=str(error),
            )

    async def is_listening(self) -> bool | None:
        """Return whether the upstream takes a new connection; None without an answer.

        An upstream that no router reaches may only be silent.
        """
        state = self.paths.state(self.registered_address)
        if state is PathState.DIRECT:
            return await super().is_listening()
        if state is PathState.LOST and await super().is_listening():
            return True
        try:
            connection = await super()._open_connection(self._timeouts.connect)
        except ExchangeError as error:
            return None if error.is_timeout else False
        self.paths.record_direct(self.registered_address, steady_seconds())
        connection.abort()
        return True

    def close_direct(self) -> None:
        """Close the idle connections that no other router forwards."""
        self._close_idle(lambda connection: not connection.via)

    def close_tunnels(self) -> None:
        """Close the idle connections that other routers forward."""
        self._close_idle(lambda connection: bool(connection.via))

    async def _open_connection(self, timeout: float) -> ClientConnection:
        self.used_at = steady_seconds()
        state = self.paths.state(self.registered_address)
        if state is PathState.DIRECT:
            return await self._race(timeout)
        if state is PathState.UNREACHABLE:
            reason = "cannot connect: neither this router nor another one does"
            raise ExchangeError(reason, sent=False)
        try:
            return await self.tunnels.open(self.registered_address, timeout)
        except TunnelRefused as error:
            if error.refusal is TunnelRefusal.UNREACHABLE:
                self.paths.record_unreachable(self.registered_address, steady_seconds())
            reason = f"cannot connect: no router helps: {error}"
            raise ExchangeError(reason, sent=False) from error

    async def _race(self, timeout: float) -> ClientConnection:
        """Connect directly, and after a while through another router as well."""
        direct = asyncio.ensure_future(super()._open_connection(timeout))
        tunnel: asyncio.Future[ClientConnection] | None = None
        chosen: ClientConnection | None = None
        try:
            head_start = min(HEAD_START_SECONDS, timeout * HEAD_START_SHARE)
            await asyncio.wait((direct,), timeout=head_start + self._meter.delay())
            if not direct.done() or _may_be_lost(direct):
                tunnel = asyncio.ensure_future(
                    self.tunnels.open(self.registered_address, timeout - head_start)
                )
                await _first_connection(direct, tunnel)
            if tunnel is None or _has_connected(direct):
                chosen = self._direct_result(direct)
            elif _has_connected(tunnel):
                chosen = self._tunnel_result(direct, tunnel)
            else:
                self._record_neither(direct, tunnel)
                await direct
            assert chosen is not None
            return chosen
        finally:
            _discard(direct, chosen)
            if tunnel is not None:
                _discard(tunnel, chosen)

    def _direct_result(
        self, direct: asyncio.Future[ClientConnection]
    ) -> ClientConnection:
        connection = direct.result()
        self.paths.record_direct(self.registered_address, steady_seconds())
        return connection

    def _tunnel_result(
        self,
        direct: asyncio.Future[ClientConnection],
        tunnel: asyncio.Future[ClientConnection],
    ) -> ClientConnection:
        connection = tunnel.result()
        hangs = not direct.done() or _is_timeout(direct)
        log_event(
            "upstream reached through another router only",
            address=self.registered_address,
            via=connection.via,
            direct="no answer" if hangs else str(direct.exception()),
        )
        self.paths.record_lost(self.registered_address, steady_seconds(), hangs=hangs)
        return connection

    def _record_neither(
        self,
        direct: asyncio.Future[ClientConnection],
        tunnel: asyncio.Future[ClientConnection],
    ) -> None:
        error = tunnel.exception()
        if isinstance(error, TunnelRefused) and (
            error.refusal is TunnelRefusal.UNREACHABLE
        ):
            self.paths.record_unreachable(
                self.registered_address, steady_seconds(), hangs=_is_timeout(direct)
            )

    def _return_connection(self, connection: ClientConnection) -> None:
        if connection.via and not self.paths.is_lost(self.registered_address):
            connection.retire()
        super()._return_connection(connection)

    async def _check_tunnel(self, *, hangs: bool) -> None:
        now = steady_seconds()
        try:
            connection = await self.tunnels.open(self.registered_address, CHECK_TIMEOUT)
        except TunnelRefused:
            self.paths.record_unreachable(self.registered_address, now, hangs=hangs)
            return
        self.paths.record_lost(self.registered_address, steady_seconds(), hangs=hangs)
        self._keep_idle(connection)


async def _first_connection(
    direct: asyncio.Future[ClientConnection], tunnel: asyncio.Future[ClientConnection]
) -> None:
    """Wait for the first of two attempts that connects, or for both to fail."""
    await asyncio.wait((direct, tunnel), return_when=asyncio.FIRST_COMPLETED)
    if not _has_connected(direct) and not _has_connected(tunnel):
        await asyncio.wait((direct, tunnel))


def _has_connected(attempt: asyncio.Future[ClientConnection]) -> bool:
    return attempt.done() and not attempt.cancelled() and attempt.exception() is None


def _is_timeout(attempt: asyncio.Future[ClientConnection]) -> bool:
    error = attempt.exception() if attempt.done() else None
    return isinstance(error, ExchangeError) and error.is_timeout


def _may_be_lost(attempt: asyncio.Future[ClientConnection]) -> bool:
    """Return whether a direct attempt failed without having reached the upstream."""
    error = attempt.exception()
    return error is not None and isinstance(error.__cause__, OSError)


def _discard(
    attempt: asyncio.Future[ClientConnection], chosen: ClientConnection | None
) -> None:
    """End an attempt, and the connection that it established unless it was chosen."""

    def close(done: asyncio.Future[ClientConnection]) -> None:
        # Reading the exception also marks it as handled.
        if _has_connected(done) and done.result() is not chosen:
            done.result().abort()

    attempt.cancel()
    attempt.add_done_callback(close)
