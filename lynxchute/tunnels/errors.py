"""Errors of tunnels, and why a router refuses one."""

from __future__ import annotations

import enum


class FrameError(ValueError):
    """Raised when bytes that should be frames are none."""


class TunnelRefusal(enum.Enum):
    """Why a router does not open a tunnel.

    Attributes
    ----------
    UNREACHABLE
        It tried to connect and does not reach the upstream either.
    NO_PATH
        It has lost its own links to the upstream, and did not try.
    UNKNOWN
        It knows no upstream with that address.
    OVERLOADED
        It has no room for the traffic of other routers.
    STOPPING
        It stops.
    BACKOFF
        The upstream has asked it for backoff.
    NO_ANSWER
        It gave no valid answer in time.
    """

    UNREACHABLE = "unreachable"
    NO_PATH = "no path"
    UNKNOWN = "unknown upstream"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    BACKOFF = "upstream asked for backoff"
    NO_ANSWER = "no answer"


# The router that refuses does not reach the upstream.
NOT_REACHED = frozenset({TunnelRefusal.UNREACHABLE, TunnelRefusal.NO_PATH})


class TunnelRefused(Exception):
    """Raised when a router opened no tunnel; no byte has reached the upstream.

    Parameters
    ----------
    refusal
        Why not.
    """

    def __init__(self, refusal: TunnelRefusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal
