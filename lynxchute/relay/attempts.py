"""Sends of a request that run in tasks of their own."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lynxchute.relay.answer import UpstreamResponse
from lynxchute.relay.exchange import Exchange
from lynxchute.upstreams.placement import Choice

# Sends a request once; returns None if there is no response to forward.
Attempt = Callable[[Exchange, Choice], Awaitable[UpstreamResponse | None]]
# Closes a response that is not needed.
Discard = Callable[[UpstreamResponse], None]


def cancel_attempt(
    task: asyncio.Future[UpstreamResponse | None],
    discard: Discard,
    *,
    used: UpstreamResponse | None = None,
) -> None:
    """Cancel a task, and discard its response unless that is the one in use."""

    def discard_unused(ended: asyncio.Future[UpstreamResponse | None]) -> None:
        if ended.cancelled() or ended.exception() is not None:
            return
        unused = ended.result()
        if unused is not None and unused is not used:
            discard(unused)

    if not task.done():
        task.cancel()
        task.add_done_callback(discard_unused)
    else:
        discard_unused(task)
