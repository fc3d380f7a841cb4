"""Backpressure that an upstream declares in the head of a response."""

from __future__ import annotations

import attrs


@attrs.frozen
class DeclaredBackpressure:
    """Backpressure that one response declares about the upstream that sent it.

    Attributes
    ----------
    limit
        Requests a second that it accepts from all routers together; None if it declares
        no limit.
    backoff
        Seconds for which the receiving router must send it nothing.
    is_leaving
        Whether it accepts no new work any more.
    max_rejections
        Rejections for want of room in a second that it survives; None if it does not
        say that it is brittle.
    unreadable
        Invalid header values as text; they are ignored.
    """

    limit: float | None = None
    backoff: float = 0.0
    is_leaving: bool = False
    max_rejections: int | None = None
    unreadable: tuple[str, ...] = ()


NO_BACKPRESSURE = DeclaredBackpressure()
