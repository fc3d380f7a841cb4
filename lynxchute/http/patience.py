"""Wait for others, without counting the time in which this process was late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

# A wait is counted in so many steps. Each of them ends with a turn of the event loop at
# least, and a connection takes three turns from its handshake's end to its use.
STEPS = 4


async def unless_silent(
    work: Coroutine[Any, Any, T], seconds: float, drop: Callable[[T], None]
) -> T:
    """Return what comes of some work, unless nothing has come for so many seconds.

    Where the event loop is busy for longer than that, an answer waits in the socket
    meanwhile: a timer alone would take it for silence, since it is due as well.

    Parameters
    ----------
    drop
        Gives up what has come where nobody waits for it any longer.

    Raises
    ------
    TimeoutError
        Where nothing has come.
    """
    task = asyncio.ensure_future(work)
    try:
        for _ in range(STEPS):
            await asyncio.wait((task,), timeout=seconds / STEPS)
            if task.done():
                return task.result()
    except asyncio.CancelledError:
        if task.done() and not task.cancelled() and task.exception() is None:
            drop(task.result())
        raise
    finally:
        # Nothing is left to do after an answer.
        task.cancel()
    raise TimeoutError
