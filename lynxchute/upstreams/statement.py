"""What an upstream says of itself in the head of an answer."""

from __future__ import annotations

import attrs


@attrs.frozen
class Statement:
    """What one answer states of the upstream that gave it.

    Attributes
    ----------
    limit
        Requests a second that it takes from all routers together; None where it
        names no limit.
    backoff
        Seconds for which it wants nothing from the router that it answered.
    is_leaving
        Whether it takes no new work any more.
    unreadable
        What it states that cannot be read, as text, and therefore counts for nothing.
    """

    limit: float | None = None
    backoff: float = 0.0
    is_leaving: bool = False
    unreadable: tuple[str, ...] = ()


NOTHING_STATED = Statement()
