"""A store whose calls are counted and timed."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from lynxchute.clock import steady_seconds
from lynxchute.store.rows import Changes, Outcome, Snapshot, Write
from lynxchute.store.store import (
    HistoryLost,
    OutcomeUnknown,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from lynxchute.telemetry.instruments import Counter, Histogram

ResultT = TypeVar("ResultT")

END_BY_ERROR: dict[type[Exception], str] = {
    StoreUnavailable: "unavailable",
    OutcomeUnknown: "unknown",
    HistoryLost: "history lost",
    StoreRefused: "refused",
}


class InstrumentedStore(Store):
    """Pass calls on to a store, and count how they end.

    Parameters
    ----------
    store
        What answers the calls.
    calls
        Counts them by call and end.
    seconds
        How long writes and scans take; questions for changes wait by design.
    """

    def __init__(self, store: Store, calls: Counter, seconds: Histogram) -> None:
        self.clock = store.clock
        self._store = store
        self._calls = calls
        self._seconds = seconds

    async def write(self, write: Write) -> Outcome:
        """Apply a write."""
        return await self._timed("write", self._store.write(write))

    async def scan(self, table: str, *, part: str = "") -> Snapshot:
        """Return all rows of a part of a table."""
        return await self._timed("scan", self._store.scan(table, part=part))

    async def changes(self, table: str, *, after: int, wait: float) -> Changes:
        """Return what changed in a table after a version."""
        answer = self._store.changes(table, after=after, wait=wait)
        return await self._counted("changes", answer)

    def move(self, address: str) -> None:
        """Go on with the same store at another address."""
        self._store.move(address)

    def close(self) -> None:
        """Let go of what the store holds open."""
        self._store.close()

    async def _timed(self, call: str, answer: Awaitable[ResultT]) -> ResultT:
        started = steady_seconds()
        try:
            return await self._counted(call, answer)
        finally:
            self._seconds.observe(steady_seconds() - started)

    async def _counted(self, call: str, answer: Awaitable[ResultT]) -> ResultT:
        end = "cancelled"
        try:
            result = await answer
            end = "answered"
            return result
        except tuple(END_BY_ERROR) as error:
            end = END_BY_ERROR[type(error)]
            raise
        finally:
            self._calls.inc(call, end)
