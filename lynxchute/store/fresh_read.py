"""Reads whose results are not older than the question."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from lynxchute.application import Tasks

ResultT = TypeVar("ResultT")


class FreshRead(Generic[ResultT]):
    """Shares reads among callers, each of which needs one that starts after its call.

    A result that is older may lack what led to the call: a caller who takes a stream up
    knows of an event that a read under way need not include.

    Parameters
    ----------
    read
        Reads what is shared; raises nothing.
    tasks
        Run the reads; whoever owns them cancels them at a stop.
    interval
        Minimum seconds between the starts of two reads.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        read: Callable[[], Awaitable[ResultT]],
        tasks: Tasks,
        *,
        interval: float,
        clock: Callable[[], float],
    ) -> None:
        self._tasks = tasks
        self._read = read
        self._interval = interval
        self._clock = clock
        self._started_at = -math.inf
        # Has not started to read.
        self._next: asyncio.Task[ResultT] | None = None

    async def get(self) -> ResultT:
        """Return the result of a read that starts after this call."""
        if self._next is None:
            self._next = self._tasks.spawn(self._read_next())
        return await asyncio.shield(self._next)

    async def _read_next(self) -> ResultT:
        wait = self._started_at + self._interval - self._clock()
        if wait > 0:
            await asyncio.sleep(wait)
        self._started_at, self._next = self._clock(), None
        return await self._read()
