"""A row that tells until when routers may send more retries than their reserve."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable

from lynxchute.application import Tasks
from lynxchute.store import (
    Committed,
    Expected,
    OutcomeUnknown,
    Put,
    Row,
    RowId,
    Store,
    StoreUnavailable,
    Write,
)
from lynxchute.store.row_value import RowValue, RowValueError
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import log_event

MARK_KEY = "retries"
# Seconds for which a mark holds. A write each half of it serves the whole fleet.
MARK_SECONDS = 60.0
# Seconds by which a mark counts as ended earlier here, as an answer of the store may
# have been under way for as long.
MARGIN_SECONDS = 2.0
# Seconds that a retry waits for the mark.
WAIT_SECONDS = 0.3


class RetryMark:
    """Follows and writes the mark that all routers share.

    A process that starts does not know which retries earlier processes sent. It may
    use the whole retry budget at once only if no mark held within the last window, so
    each router has the mark written before it sends more than its reserve.

    Parameters
    ----------
    store
        The store that holds the row.
    table
        The table of the row.
    clock
        Steady clock in seconds.

    Attributes
    ----------
    until
        Until when the mark holds, in seconds on the steady clock.
    tasks
        Writes that are under way.
    """

    def __init__(self, store: Store, table: str, clock: Callable[[], float]) -> None:
        self.until = -math.inf
        self.tasks = Tasks()
        self._store = store
        self._row_id = RowId(table, MARK_KEY)
        self._clock = clock
        self._version = ABSENT
        self._until_ms = 0
        self._writing: asyncio.Task[None] | None = None

    def handle_row(self, row: Row) -> None:
        """Apply the row as the store has it."""
        if row.version < self._version:
            return
        self._version = ABSENT if row.deleted else row.version
        if row.deleted:
            was_held = self._clock() < self.until
            self._until_ms, self.until = 0, -math.inf
            if was_held:
                # The store came back from a copy that lacks the mark.
                self.renew()
            return
        try:
            self._until_ms = RowValue.decode(row.value).count("until_ms")
        except RowValueError as error:
            log_event("retry mark cannot be decoded", problem=str(error))
            return
        now = self._clock()
        left_ms = self._until_ms - self._store.clock.earliest_ms(now)
        self.until = now + left_ms / 1000.0 - MARGIN_SECONDS

    def has_ended_for(self, seconds: float) -> bool:
        """Return whether no mark has held for some seconds, as far as was read."""
        now_ms = self._store.clock.earliest_ms(self._clock())
        return self._until_ms + seconds * 1000.0 <= now_ms

    def renew(self) -> None:
        """Write the mark in the background if it ends soon or does not hold."""
        if self.until - self._clock() >= MARK_SECONDS / 2:
            return
        if self._writing is None or self._writing.done():
            self._writing = self.tasks.spawn(self._write())

    async def ensure(self) -> None:
        """Wait briefly until the mark holds."""
        self.renew()
        if self._clock() < self.until or self._writing is None:
            return
        await asyncio.wait([self._writing], timeout=WAIT_SECONDS)

    async def _write(self) -> None:
        now = self._clock()
        now_ms = self._store.clock.earliest_ms(now)
        if not now_ms:
            return
        until_ms = now_ms + int(MARK_SECONDS * 1000)
        put = Put(self._row_id, json.dumps({"until_ms": until_ms}).encode())
        # A write that the store performs late must not shorten a later mark.
        expected = Expected(self._row_id, self._version)
        try:
            outcome = await self._store.write(Write((expected,), (put,)))
        except (StoreUnavailable, OutcomeUnknown) as error:
            log_event("retry mark not written", reason=str(error))
            return
        if isinstance(outcome, Committed):
            self._version, self._until_ms = outcome.version, until_ms
            self.until = now + MARK_SECONDS - MARGIN_SECONDS
            log_event("retry mark written", until_ms=until_ms)
            return
        # Another router has written it meanwhile, or the store has lost it.
        self._version = ABSENT
        row = outcome.rows_by_id.get(self._row_id)
        if row is not None:
            self.handle_row(row)
