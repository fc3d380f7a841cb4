"""The row that names requests in quarantine, as operators see and change it."""

from __future__ import annotations

from typing import Any

import attrs
from expression import Error, Ok, Result

from lynxchute.clock import steady_seconds
from lynxchute.containment.judge import QUARANTINE_ROW_ID
from lynxchute.quarantine import QuarantineRecord
from lynxchute.store import (
    Committed,
    Expected,
    OutcomeUnknown,
    Put,
    Row,
    Store,
    StoreUnavailable,
    Write,
)
from lynxchute.store.rows import ABSENT

# A judge may write the row between the reading and the writing here.
TRIES = 5
OUT_OF_REACH = "The store is out of reach. Try again."


class QuarantineRow:
    """Read the row of the store, and take requests out of it.

    Parameters
    ----------
    store
        Where it stands.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def rows(self) -> list[dict[str, Any]]:
        """Return a row for each request in quarantine."""
        record, _ = await self._read()
        now_ms = self._store.clock.earliest_ms(steady_seconds())
        rows = []
        for item in record.quarantined:
            left = max((item.until_ms - now_ms) / 1000.0, 0.0)
            rows.append(
                {"content": item.content, "left_s": round(left, 1), "times": item.times}
            )
        return rows

    async def release(self, content: str) -> Result[str, str]:
        """Have a request sent to upstreams again; return what was done, or why not.

        Where it is not in quarantine there is nothing to do.
        """
        try:
            for _ in range(TRIES):
                record, version = await self._read()
                without = _without(record, content)
                if without == record:
                    return Ok(f"No request {content!r} is in quarantine.")
                expected = Expected(QUARANTINE_ROW_ID, version)
                write = Write((expected,), (Put(QUARANTINE_ROW_ID, without.encode()),))
                if isinstance(await self._store.write(write), Committed):
                    return Ok("It is sent to upstreams again.")
        except (StoreUnavailable, OutcomeUnknown):
            return Error(OUT_OF_REACH)
        return Error("The row changes all the time. Try again.")

    async def _read(self) -> tuple[QuarantineRecord, int]:
        snapshot = await self._store.scan(QUARANTINE_ROW_ID.table)
        row = _row_of(snapshot.rows)
        if row is None:
            return QuarantineRecord(), ABSENT
        return QuarantineRecord.decode(row.value).default_value(
            QuarantineRecord()
        ), row.version


def _row_of(rows: tuple[Row, ...]) -> Row | None:
    for row in rows:
        if row.id.key == QUARANTINE_ROW_ID.key:
            return row
    return None


def _without(record: QuarantineRecord, content: str) -> QuarantineRecord:
    return attrs.evolve(
        record,
        quarantined=tuple(q for q in record.quarantined if q.content != content),
        suspects=tuple(s for s in record.suspects if s.content != content),
    )
