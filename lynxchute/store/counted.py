"""A store wrapper that counts and times calls."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from lynxchute.clock import steady_seconds
from lynxchute.store.rows import Changes, Outcome, Row, RowId, Snapshot, Write
from lynxchute.store.store import (
    HistoryLost,
    OutcomeUnknown,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from lynxchute.telemetry.instruments import Counter, Histogram

ResultT = TypeVar("ResultT")

RESULT_BY_ERROR: dict[type[Exception], str] = {
    StoreUnavailable: "unavailable",
    OutcomeUnknown: "unknown",
    HistoryLost: "history lost",
    StoreRefused: "refused",
}


class InstrumentedStore(Store):
    """Forward calls to a store and record their results in metrics.

    Parameters
    ----------
    store
        The store that handles the calls.
    calls
        Counter of calls by method and result.
    seconds
        Histogram of the duration of writes, scans and reads, in seconds. Calls to
        `changes` are not included, since they are long polls.
    """

    def __init__(self, store: Store, calls: Counter, seconds: Histogram) -> None:
        self.clock = store.clock
        self.era = store.era
        self._store = store
        self._calls = calls
        self._seconds = seconds

    async def write(self, write: Write) -> Outcome:
        """Apply a write."""
        return await self._timed("write", self._store.write(write))

    async def scan(self, table: str, *, part: str = "") -> Snapshot:
        """Return all rows of a table, or of one of its partitions."""
        return await self._timed("scan", self._store.scan(table, part=part))

    async def read(self, row_id: RowId) -> Row | None:
        """Return a row as it is now; None if there is none."""
        return await self._timed("read", self._store.read(row_id))

    async def changes(self, table: str, *, after: int, wait: float) -> Changes:
        """Return the changes of a table after a version."""
        answer = self._store.changes(table, after=after, wait=wait)
        return await self._counted("changes", answer)

    def move(self, address: str) -> None:
        """Use a new address for the same store."""
        self._store.move(address)

    def close(self) -> None:
        """Close the connections to the store."""
        self._store.close()

    async def _timed(self, call: str, answer: Awaitable[ResultT]) -> ResultT:
        started_at = steady_seconds()
        try:
            return await self._counted(call, answer)
        finally:
            self._seconds.observe(steady_seconds() - started_at)

    async def _counted(self, call: str, answer: Awaitable[ResultT]) -> ResultT:
        outcome = "cancelled"
        try:
            result = await answer
            outcome = "answered"
            return result
        except tuple(RESULT_BY_ERROR) as error:
            outcome = RESULT_BY_ERROR[type(error)]
            raise
        finally:
            self._calls.inc(call, outcome)
