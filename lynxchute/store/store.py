"""The store interface that routers depend on."""

from __future__ import annotations

from abc import ABC, abstractmethod
from functools import cached_property

from lynxchute.store.clock import StoreClock
from lynxchute.store.era import StoreEra
from lynxchute.store.rows import Changes, Outcome, Row, RowId, Snapshot, Write


class StoreUnavailable(Exception):
    """Raised when a call had no effect: the store was unreachable or overloaded."""


class OutcomeUnknown(Exception):
    """Raised when a write may have been applied, or may still be applied.

    Parameters
    ----------
    is_unresponsive
        Whether the store did not respond at all; otherwise only the answer was lost.
    """

    def __init__(self, reason: str, *, is_unresponsive: bool = False) -> None:
        super().__init__(reason)
        self.is_unresponsive = is_unresponsive


class HistoryLost(Exception):
    """Raised when the store no longer has all changes after a version.

    The table must be listed again.
    """


class StoreRefused(Exception):
    """Raised when the store rejects a call as invalid: a bug in this program."""


class Store(ABC):
    """A store of versioned rows with transactions and a change feed.

    Attributes
    ----------
    clock
        The estimate of the store's time, updated by its answers.
    """

    clock: StoreClock

    @cached_property
    def era(self) -> StoreEra:
        """Return the newest era of the store that any of its answers has named."""
        return StoreEra()

    @abstractmethod
    async def write(self, write: Write) -> Outcome:
        """Apply a write.

        Raises
        ------
        StoreUnavailable
            When the write was not applied and never will be.
        OutcomeUnknown
            When the write may have been applied, or may still be applied as long as
            its preconditions hold.
        """

    @abstractmethod
    async def scan(self, table: str, *, part: str = "") -> Snapshot:
        """Return all rows of a table, or of one of its partitions.

        Raises
        ------
        StoreUnavailable
            When the store gave no usable answer.
        """

    async def read(self, row_id: RowId) -> Row | None:
        """Return a row as it is at some moment after the call, None if there is none.

        Raises
        ------
        StoreUnavailable
            When the store gave no usable answer.
        """
        snapshot = await self.scan(row_id.table, part=row_id.part)
        for row in snapshot.rows:
            if row.id.key == row_id.key and not row.deleted:
                return row
        return None

    @abstractmethod
    async def changes(self, table: str, *, after: int, wait: float) -> Changes:
        """Return the changes of a table after a version.

        Parameters
        ----------
        after
            The version after which changes are returned.
        wait
            Seconds that the store waits for a change before it returns an empty
            answer.

        Raises
        ------
        StoreUnavailable
            When the store gave no usable answer.
        HistoryLost
            When the store no longer has all changes after that version.
        """

    def move(self, address: str) -> None:
        """Use a new address for the same store."""

    def close(self) -> None:
        """Close the connections to the store."""
