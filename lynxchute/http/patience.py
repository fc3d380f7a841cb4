"""A timeout that tolerates event loop lag in this process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

# Steps that a timeout is divided into. Each step takes at least one iteration of the
# event loop, and a connection needs three iterations from the end of its handshake
# until it can be used.
TIMEOUT_STEPS = 4


async def lag_tolerant_wait(
    coroutine: Coroutine[Any, Any, T], seconds: float, discard: Callable[[T], None]
) -> T:
    """Wait for a coroutine with a timeout that tolerates event loop lag.

    If the event loop is blocked for longer than the timeout, a response that arrived in
    time is still unread in the socket. A single timer would report a timeout then, as
    it expires in the same iteration.

    Parameters
    ----------
    coroutine
        Runs in a task, which is cancelled when the timeout expires.
    seconds
        The timeout.
    discard
        Releases a result that arrives as the waiting task is cancelled.

    Raises
    ------
    TimeoutError
        If the coroutine does not finish in time.
    """
    task = asyncio.ensure_future(coroutine)
    try:
        for _ in range(TIMEOUT_STEPS):
            await asyncio.wait((task,), timeout=seconds / TIMEOUT_STEPS)
            if task.done():
                return task.result()
    except asyncio.CancelledError:
        if task.done() and not task.cancelled() and task.exception() is None:
            discard(task.result())
        raise
    finally:
        # Does nothing if the task has finished.
        task.cancel()
    raise TimeoutError
