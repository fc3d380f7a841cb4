"""What the routers need of a store."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lynxchute.store.clock import StoreClock
from lynxchute.store.rows import Changes, Outcome, Snapshot, Write


class StoreUnavailable(Exception):
    """Report that the store did nothing: it was not reached, or declined."""


class OutcomeUnknown(Exception):
    """Report that a write may have taken effect, or may still do so.

    Parameters
    ----------
    is_silent
        Whether the store gave no sign of itself; else only the answer was lost.
    """

    def __init__(self, reason: str, *, is_unresponsive: bool = False) -> None:
        super().__init__(reason)
        self.is_unresponsive = is_unresponsive


class HistoryLost(Exception):
    """Report that changes since a version are no longer known; list again."""


class StoreRefused(Exception):
    """Report a call that the store will never take, which is a fault here."""


class Store(ABC):
    """A store of versioned rows with transactions and a feed of changes.

    Attributes
    ----------
    clock
        What is known of the store's own time.
    """

    clock: StoreClock

    @abstractmethod
    async def write(self, write: Write) -> Outcome:
        """Apply a write.

        Raises
        ------
        StoreUnavailable
            Where it certainly had no effect and never will.
        OutcomeUnknown
            Where it may have taken effect, or may do so later while what it
            expects still holds.
        """

    @abstractmethod
    async def scan(self, table: str, *, part: str = "") -> Snapshot:
        """Return all rows of a part of a table.

        Raises
        ------
        StoreUnavailable
            Where no answer came.
        """

    @abstractmethod
    async def changes(self, table: str, *, after: int, wait: float) -> Changes:
        """Return what changed in a table after a version.

        Parameters
        ----------
        wait
            Seconds that the store waits for a change before it says that
            there is none.

        Raises
        ------
        StoreUnavailable
            Where no answer came.
        HistoryLost
            Where the store has forgotten changes since that version.
        """

    def move(self, address: str) -> None:
        """Go on with the same store at another address."""

    def close(self) -> None:
        """Let go of what the store holds open."""
