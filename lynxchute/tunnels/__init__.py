"""Connections to upstreams through other routers, while direct ones fail."""

from lynxchute.tunnels.paths import PathState, UpstreamPaths
from lynxchute.tunnels.pool import Tunnels, UpstreamClients
from lynxchute.tunnels.server import TunnelServer
from lynxchute.tunnels.watch import PathWatch

__all__ = [
    "PathState",
    "PathWatch",
    "TunnelServer",
    "Tunnels",
    "UpstreamClients",
    "UpstreamPaths",
]
