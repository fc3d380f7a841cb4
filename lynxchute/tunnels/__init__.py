"""Connections to upstreams through other routers, while direct ones fail."""

from lynxchute.tunnels.opener import Tunnels
from lynxchute.tunnels.paths import PathState, UpstreamPaths
from lynxchute.tunnels.pool import UpstreamClients
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
