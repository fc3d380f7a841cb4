"""What the routers tell one another of upstreams that are throttled."""

from __future__ import annotations

import attrs

from lynxchute.fleet.message import Message


@attrs.frozen
class BackpressureReport:
    """What a router has last heard of an upstream's limit.

    Attributes
    ----------
    process
        The upstream's process that stated it.
    limit
        Requests a second from all routers; None where it has ended.
    heard_ms
        When that was heard, on the store's clock in milliseconds; 0 for never.
    is_leaving
        Whether it has said that it takes no new work.
    """

    upstream: str
    process: str
    limit: float | None
    heard_ms: int = 0
    is_leaving: bool = False


@attrs.frozen
class PermitReply:
    """Say whether the request may be sent.

    Attributes
    ----------
    again_s
        Seconds in which no other one may, where it may not.
    """

    is_admitted: bool
    again_s: float = 0.0
    backpressure: tuple[BackpressureReport, ...] = ()


@attrs.frozen
class PermitRequest(Message[PermitReply]):
    """Let one request through to an upstream that names a limit."""

    NAME = "permit"
    REPLY = PermitReply

    upstream: str
    backpressure: tuple[BackpressureReport, ...] = ()
