"""Write operators' rows again after the store has come back from a copy."""

from __future__ import annotations

import asyncio
import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from lynxchute.application import BackgroundTask
from lynxchute.clock import steady_seconds
from lynxchute.store import OutcomeUnknown, Store, StoreRefused, StoreUnavailable
from lynxchute.store.feed import REWRITE_SECONDS
from lynxchute.telemetry import log_event

# Seconds over which the routers of a fleet spread their writes; the first one of each
# row is enough.
REWRITE_SPREAD_SECONDS = 0.4
RETRY_SECONDS = 0.3


class RewriteWindow:
    """The time in which routers write again what a restored store lacks.

    A change that is planned on the rows of a copy could overwrite an acknowledged one,
    so it waits until this time is over. A process that first hears of the store in a
    later era than its first one cannot know how long ago the store came back.

    Parameters
    ----------
    store
        The store, which names its era in each answer.
    clock
        Returns seconds on the steady clock.
    """

    def __init__(
        self, store: Store, clock: Callable[[], float] = steady_seconds
    ) -> None:
        self._store = store
        self._clock = clock
        self._era = 0
        self._ends_at = float("-inf")

    def observe(self) -> None:
        """Open the window if the store has come back since the last call."""
        if self._store.era.current > self._era:
            self._era = self._store.era.current
            self._ends_at = self._clock() + REWRITE_SECONDS

    @property
    def is_open(self) -> bool:
        """Return whether rows of the store may still lack acknowledged changes."""
        self.observe()
        return self._clock() < self._ends_at

    async def wait(self) -> bool:
        """Wait until the window is closed; return whether it was open."""
        if not self.is_open:
            return False
        while self.is_open:
            await asyncio.sleep(self._ends_at - self._clock())
        return True


class RestorableRows(ABC):
    """Rows that this process can write again."""

    @abstractmethod
    async def restore(self) -> None:
        """Write the rows that the store lacks, unless it has newer ones.

        Raises
        ------
        StoreUnavailable, OutcomeUnknown
            If the store cannot be reached, or its reply is lost.
        """


class RowRewriter(BackgroundTask):
    """Write rows again each time the store has come back from a copy.

    Parameters
    ----------
    owners
        The owners of the rows, in the order in which they write.
    """

    def __init__(self, owners: tuple[RestorableRows, ...]) -> None:
        super().__init__()
        self._owners = owners
        self._due = asyncio.Event()

    def request(self) -> None:
        """Request that all rows are written again."""
        self._due.set()

    async def _run(self) -> None:
        while True:
            await self._due.wait()
            self._due.clear()
            await asyncio.sleep(random.uniform(0.0, REWRITE_SPREAD_SECONDS))
            for owner in self._owners:
                await self._restore(owner)

    async def _restore(self, owner: RestorableRows) -> None:
        while True:
            try:
                await owner.restore()
                return
            except (StoreUnavailable, OutcomeUnknown) as error:
                log_event("operators' rows not written again yet", reason=str(error))
            except StoreRefused as error:
                log_event(
                    "operators' rows refused by the store",
                    level=logging.ERROR,
                    reason=str(error),
                )
                return
            await asyncio.sleep(RETRY_SECONDS)
