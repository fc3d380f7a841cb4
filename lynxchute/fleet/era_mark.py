"""A row that tells since when the fleet has known the store's era."""

from __future__ import annotations

import json
import math

from lynxchute.clock import steady_seconds
from lynxchute.store import Expected, Put, Row, RowId, Store, Write
from lynxchute.store.row_value import RowValue, RowValueError
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import log_event

ERA_KEY = "era"


class EraMark:
    """Follow and write the row with the store's era.

    A process that starts cannot know when the store last came back from a copy. The
    routers that notice it write the time here. A copy never has the mark of the era
    that begins with it.

    Parameters
    ----------
    store
        The store that holds the row.
    table
        The table of the row.
    is_first_start
        Whether the whole fleet starts for the first time, so that no copy matters.
    """

    def __init__(self, store: Store, table: str, *, is_first_start: bool) -> None:
        self._store = store
        self._row_id = RowId(table, ERA_KEY)
        self._is_first_start = is_first_start
        self._first_era: int | None = None
        self._version = ABSENT
        self._era = 0
        self._since_ms = 0

    def handle_row(self, row: Row) -> None:
        """Apply the row as the store has it."""
        self._version = ABSENT if row.deleted else row.version
        if row.deleted:
            return
        try:
            value = RowValue.decode(row.value)
            era, since_ms = value.count("era"), value.count("since_ms")
        except RowValueError as error:
            log_event("era mark cannot be decoded", problem=str(error))
            return
        self._era, self._since_ms = era, since_ms

    @property
    def is_new_fleet(self) -> bool:
        """Return whether the whole fleet has started for the first time in this era."""
        first_era = self._first_era
        is_first_era = first_era is None or first_era == self._store.era.current
        return self._is_first_start and is_first_era

    def seconds(self, now: float) -> float:
        """Return for how many seconds the fleet has known the store's era, or 0."""
        if self.is_new_fleet:
            return math.inf
        if self._era != self._store.era.current:
            return 0.0
        return max(self._store.clock.earliest_ms(now) - self._since_ms, 0) / 1000.0

    async def write(self) -> None:
        """Write the mark unless the store has it; the first writer wins.

        Raises
        ------
        StoreUnavailable, OutcomeUnknown
            If the store cannot be reached, or its reply is lost.
        """
        era = self._store.era.current
        if self._first_era is None:
            self._first_era = era
        if not era or self._era == era:
            return
        since_ms = 0
        if not self.is_new_fleet:
            since_ms = self._store.clock.earliest_ms(steady_seconds())
        value = json.dumps({"era": era, "since_ms": since_ms}).encode()
        expected = Expected(self._row_id, self._version)
        await self._store.write(Write((expected,), (Put(self._row_id, value),)))
