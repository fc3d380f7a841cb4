"""The clients of all upstreams, by address."""

from __future__ import annotations

import attrs

from lynxchute.http import ClientPool, HttpClient
from lynxchute.tunnels.client import UpstreamClient
from lynxchute.tunnels.opener import Tunnels
from lynxchute.tunnels.paths import PathState, UpstreamPaths


@attrs.define
class UpstreamClients(ClientPool):
    """Keeps one client per upstream address.

    Attributes
    ----------
    tunnels
        Opens connections through other routers.
    """

    tunnels: Tunnels = attrs.field(kw_only=True)

    def __attrs_post_init__(self) -> None:
        """Close connections that a change of their path makes useless."""
        self.paths.listeners.append(self._handle_change)

    @property
    def paths(self) -> UpstreamPaths:
        """Return how upstreams are reached."""
        return self.tunnels.paths

    def upstream_client(self, address: str) -> UpstreamClient | None:
        """Return the client for an address, if there is one."""
        client = self.clients_by_address.get(address)
        return client if isinstance(client, UpstreamClient) else None

    def has_path(self, address: str) -> bool:
        """Return whether an upstream may be reached, directly or otherwise.

        Open connections may work although no router gets a new one.
        """
        if self.paths.state(address) is not PathState.UNREACHABLE:
            return True
        client = self.clients_by_address.get(address)
        return client is not None and client.has_idle

    def drop(self, address: str) -> None:
        """Discard the client for an address that is no longer used."""
        super().drop(address)
        self.paths.forget(address)

    def _handle_change(self, address: str) -> None:
        client = self.upstream_client(address)
        if client is None:
            return
        state = self.paths.state(address)
        if state is PathState.LOST or self.paths.has_hung(address):
            client.close_direct()
        elif state is PathState.DIRECT:
            client.close_tunnels()

    def _new_client(self, address: str) -> HttpClient:
        return UpstreamClient(
            self.address_of(address),
            address,
            self.tunnels,
            timeouts=self.timeouts,
            meter=self.meter,
        )
