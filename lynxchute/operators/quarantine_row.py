"""List and release quarantined requests in the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from expression import Error, Ok, Result

from lynxchute.clock import steady_seconds
from lynxchute.containment.judge import QUARANTINE_ROW_ID
from lynxchute.operators.restore import RewriteWindow
from lynxchute.quarantine import QuarantineRecord, part_key
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

# Attempts per release. The containment judge of a router may update the row between
# the read and the conditional write.
MAX_ATTEMPTS = 5
STORE_UNREACHABLE = "The store is out of reach. Try again."


class QuarantineRow:
    """Read the row of quarantined requests, and remove requests from it.

    Parameters
    ----------
    store
        Holds the row.
    window
        The time after a restore of the store in which a release waits for the judge;
        None to observe the store anew.
    """

    def __init__(self, store: Store, window: RewriteWindow | None = None) -> None:
        self._store = store
        self._window = window or RewriteWindow(store)

    async def rows(self) -> list[dict[str, Any]]:
        """Return one result row per quarantined request."""
        record, _ = await self._read()
        now_ms = self._store.clock.earliest_ms(steady_seconds())
        rows = []
        for item in record.quarantined:
            left = max((item.until_ms - now_ms) / 1000.0, 0.0)
            rows.append(
                {
                    "content": item.content,
                    "left_s": round(left, 1),
                    "times": item.times,
                    "parts": list(item.parts),
                    "scope": item.scope,
                    "accounts": list(item.accounts),
                }
            )
        return rows

    async def release(self, content: str) -> Result[str, str]:
        """Release a request; return a confirmation or the reason for failure.

        Releasing a request that is not in quarantine succeeds without a write.
        """
        return await self._remove(
            lambda record: _remove_content(record, content),
            f"No request {content!r} is in quarantine.",
        )

    async def release_part(self, part_id: str) -> Result[str, str]:
        """Release all entries with a prompt part; like `release` otherwise."""
        part = part_key(part_id)
        return await self._remove(
            lambda record: _remove_part(record, part),
            f"No part {part_id!r} is in quarantine.",
        )

    async def _remove(
        self, remove: Callable[[QuarantineRecord], QuarantineRecord], not_found: str
    ) -> Result[str, str]:
        """Rewrite the row without what is released."""
        try:
            for _ in range(MAX_ATTEMPTS):
                record, version = await self._read()
                while await self._window.wait():
                    record, version = await self._read()
                remaining = remove(record)
                if remaining == record:
                    return Ok(not_found)
                expected = Expected(QUARANTINE_ROW_ID, version)
                write = Write(
                    (expected,), (Put(QUARANTINE_ROW_ID, remaining.encode()),)
                )
                if isinstance(await self._store.write(write), Committed):
                    return Ok("It is sent to upstreams again.")
        except (StoreUnavailable, OutcomeUnknown):
            return Error(STORE_UNREACHABLE)
        return Error("The row changes all the time. Try again.")

    async def _read(self) -> tuple[QuarantineRecord, int]:
        snapshot = await self._store.scan(QUARANTINE_ROW_ID.table)
        row = _find_row(snapshot.rows)
        if row is None:
            return QuarantineRecord(), ABSENT
        return QuarantineRecord.decode(row.value).default_value(
            QuarantineRecord()
        ), row.version


def _find_row(rows: tuple[Row, ...]) -> Row | None:
    for row in rows:
        if row.id.key == QUARANTINE_ROW_ID.key:
            return row
    return None


def _remove_content(record: QuarantineRecord, content: str) -> QuarantineRecord:
    return attrs.evolve(
        record,
        quarantined=tuple(q for q in record.quarantined if q.content != content),
        suspects=tuple(s for s in record.suspects if s.content != content),
    )


def _remove_part(record: QuarantineRecord, part: str) -> QuarantineRecord:
    entries = tuple(entry for entry in record.quarantined if part not in entry.parts)
    return attrs.evolve(record, quarantined=entries)
