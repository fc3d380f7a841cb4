"""Messages between routers about upstreams that limit their request rate."""

from __future__ import annotations

import attrs

from lynxchute.fleet.message import Message


@attrs.frozen
class BackpressureReport:
    """The rate limit of an upstream, as last reported to the sending router.

    Attributes
    ----------
    upstream
        The id of the upstream.
    process
        The upstream process that declared the limit.
    limit
        Requests a second from all routers together; None when the limit has ended.
    heard_ms
        When the router received it, on the store's clock in milliseconds; 0 for never.
    is_leaving
        Whether the upstream has declared that it takes no new work.
    """

    upstream: str
    process: str
    limit: float | None
    heard_ms: int = 0
    is_leaving: bool = False


@attrs.frozen
class PermitReply:
    """The decision on a permit request.

    Attributes
    ----------
    is_admitted
        Whether the request may be sent.
    again_s
        When it may not: seconds until the router may request the next permit. It may
        still send in its own turn.
    backpressure
        Known rate limits of the service's upstreams.
    """

    is_admitted: bool
    again_s: float = 0.0
    backpressure: tuple[BackpressureReport, ...] = ()


@attrs.frozen
class PermitRequest(Message[PermitReply]):
    """Ask for a permit to send one request to an upstream with a rate limit."""

    NAME = "permit"
    REPLY = PermitReply

    upstream: str
    backpressure: tuple[BackpressureReport, ...] = ()
