"""Opens connections to upstreams through other routers."""

from __future__ import annotations

import asyncio

from lynxchute.address import Address
from lynxchute.clock import steady_seconds
from lynxchute.fleet.client import SECRET_HEADER, HttpPeers
from lynxchute.fleet.members import Members
from lynxchute.http.client_connection import ClientConnection
from lynxchute.http.patience import lag_tolerant_wait
from lynxchute.telemetry import Metrics
from lynxchute.tunnels.connection import (
    ORIGIN_HEADER,
    TunnelledConnection,
    TunnelProtocol,
)
from lynxchute.tunnels.errors import NOT_REACHED, TunnelRefusal, TunnelRefused
from lynxchute.tunnels.paths import Helper, UpstreamPaths

# Seconds within which a router must have opened a tunnel; it needs one round trip more
# than a connection.
TUNNEL_TIMEOUT = 0.2
# Routers asked for a tunnel before a request is given up.
MAX_ASKED = 6
# Routers that try to reach an upstream in vain before it counts as unreachable: each
# attempt is one more for an upstream that may only be full.
MAX_TRIED = 2


class Tunnels:
    """Opens tunnels through other routers.

    Parameters
    ----------
    members, peers
        The other routers, and how they are reached.
    paths
        Which upstreams are reached how.
    metrics
        Counts tunnels by outcome.
    """

    def __init__(
        self, members: Members, peers: HttpPeers, paths: UpstreamPaths, metrics: Metrics
    ) -> None:
        self.paths = paths
        self._members = members
        self._peers = peers
        self._metrics = metrics

    async def open(self, address: str, timeout: float) -> ClientConnection:
        """Return a connection to an upstream through the first router that helps.

        Parameters
        ----------
        timeout
            Seconds for all routers together.

        Raises
        ------
        TunnelRefused
            If none of them helps; as unreachable if one of them does not reach the
            upstream either, or if none could be asked.
        """
        refusals: list[TunnelRefusal] = []
        try:
            async with asyncio.timeout(timeout):
                candidates = self.paths.helpers_for(
                    address, self._helpers(), steady_seconds()
                )
                for vm in candidates[:MAX_ASKED]:
                    try:
                        return await self._open_through(vm, address)
                    except TunnelRefused as error:
                        refusals.append(error.refusal)
                    if refusals.count(TunnelRefusal.UNREACHABLE) >= MAX_TRIED:
                        break
        except TimeoutError:
            refusals.append(TunnelRefusal.NO_ANSWER)
        if not refusals or not NOT_REACHED.isdisjoint(refusals):
            raise TunnelRefused(TunnelRefusal.UNREACHABLE)
        raise TunnelRefused(TunnelRefusal.NO_ANSWER)

    def _helpers(self) -> list[Helper]:
        own, helpers = self._members.own, []
        for member in self._members.by_vm.values():
            if member.vm == own.vm or member.is_leaving:
                continue
            if self._members.is_answering(member.vm):
                is_near = member.data_centre == own.data_centre
                helpers.append(Helper(member.vm, is_near, member.strength))
        return helpers

    async def _open_through(self, vm: str, address: str) -> ClientConnection:
        member = self._members.by_vm.get(vm)
        if member is None or not self._peers.secret:
            raise TunnelRefused(TunnelRefusal.NO_ANSWER)
        try:
            connection = await self._connect(
                Address.parse(self._peers.address_of(member)), vm, address
            )
        except (OSError, TimeoutError, TunnelRefused) as error:
            refusal = TunnelRefusal.NO_ANSWER
            if isinstance(error, TunnelRefused):
                refusal = error.refusal
            self.paths.record_refused(
                vm,
                address,
                steady_seconds(),
                is_unreachable=refusal in NOT_REACHED,
            )
            self._metrics.tunnels.inc(refusal.value)
            raise TunnelRefused(refusal) from error
        self._metrics.tunnels.inc("opened")
        return connection

    async def _connect(
        self, router: Address, vm: str, address: str
    ) -> TunnelledConnection:
        connection = TunnelledConnection(self._peers.meter, vm)
        headers = [
            (ORIGIN_HEADER, self._members.own.vm),
            (SECRET_HEADER, self._peers.secret),
        ]
        protocol = TunnelProtocol(
            address, headers, connection, lambda: self.paths.record_tunnel(vm, -1)
        )

        async def connect() -> None:
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_connection(
                lambda: protocol, router.host, router.port
            )
            try:
                await protocol.opened
            except BaseException:
                transport.abort()
                raise
            self.paths.record_tunnel(vm, 1)

        await lag_tolerant_wait(
            connect(),
            TUNNEL_TIMEOUT + self._peers.meter.delay(),
            lambda _: connection.abort(),
        )
        return connection
