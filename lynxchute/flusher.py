"""Write a holder's changes to the platform, as fast as the platform takes them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from absl import logging

from lynxchute.application import Background
from lynxchute.entry import Entry
from lynxchute.node import Node
from lynxchute.tables import Committed, OutcomeUnknown, Unavailable

SLOWER = 2.0
FASTER = 0.7
IDLE_INTERVAL = 1.0
LEAST_RETRY = 0.05


class Flusher(Background):
    """Send the holder's transactions one after another.

    Parameters
    ----------
    node
        The incarnation whose changes are written.
    on_fenced
        Called once the journal is found sealed.
    """

    def __init__(self, node: Node, on_fenced: Callable[[], None]) -> None:
        super().__init__()
        self.reachable = False
        self.writes = 0
        self.listeners: list[Callable[[Entry], None]] = []
        self._node = node
        self._on_fenced = on_fenced
        self._woken = asyncio.Event()
        self._changed = asyncio.Event()
        self._interval = node.settings.platform.flush_interval

    def wake(self) -> None:
        """Write as soon as possible."""
        self._woken.set()

    async def wrote(self, timeout: float) -> bool:
        """Wait for the next outcome of a write.

        Returns
        -------
        bool
            Whether one came in time.
        """
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await changed.wait()
            return True
        return False

    async def _run(self) -> None:
        while not self._node.holder.journal.fenced:
            wrote = await self._write_once()
            await self._pause(wrote)
        self._on_fenced()

    async def _write_once(self) -> bool:
        """Write what there is; return whether there was anything."""
        holder = self._node.holder
        transaction = holder.next_write(self._node.now())
        if transaction is None:
            return False
        try:
            outcome = await self._node.table.write(transaction)
        except (Unavailable, OutcomeUnknown) as error:
            self._slow_down(error)
            return True
        self.reachable = True
        self._speed_up()
        entry = holder.wrote(outcome)
        if isinstance(outcome, Committed):
            self.writes += 1
        if entry is not None:
            for listener in self.listeners:
                listener(entry)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return True

    async def _pause(self, wrote: bool) -> None:
        """Wait before the next write: jittered, so that a fleet spreads out."""
        settings = self._node.settings.platform
        if not self.reachable:
            await asyncio.sleep(self._interval * self._node.random.uniform(0.5, 1.5))
            return
        if wrote:
            await asyncio.sleep(min(self._interval, settings.flush_interval) * 0.1)
        wait = self._interval if wrote else min(IDLE_INTERVAL, self._interval * 2)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait * self._node.random.uniform(0.8, 1.2)):
                await self._woken.wait()
        self._woken.clear()

    def _slow_down(self, error: Exception) -> None:
        if self.reachable:
            logging.warning("the platform's table is out of reach: %s", error)
        self.reachable = False
        limit = self._node.settings.platform.max_flush_interval
        self._interval = min(max(self._interval, LEAST_RETRY) * SLOWER, limit)

    def _speed_up(self) -> None:
        least = self._node.settings.platform.flush_interval
        self._interval = max(self._interval * FASTER, least)
