"""An in-memory store of versioned rows, without a clock or a network."""

from __future__ import annotations

import attrs

from lynxchute.store import Committed, Conflict, Outcome, Row, RowId, Write


@attrs.define
class MemoryRows:
    """Versioned rows with the conditional writes of the store.

    Examples
    --------
    >>> from lynxchute.store import Expected, Put
    >>> rows = MemoryRows()
    >>> row_id = RowId("t", "k")
    >>> rows.write(Write((Expected(row_id, 0),), (Put(row_id, b"v"),)))
    Committed(version=1)
    >>> rows.write(Write((Expected(row_id, 0),), ())).rows_by_id[row_id].value
    b'v'
    """

    rows_by_id: dict[RowId, Row] = attrs.Factory(dict)
    version: int = 0
    writes: int = 0

    def get(self, row_id: RowId) -> Row | None:
        """Return a row; None if it does not exist."""
        return self.rows_by_id.get(row_id)

    def write(self, write: Write) -> Outcome:
        """Apply a write, or return the current rows if a version is not as expected."""
        self.writes += 1
        rows = {item.id: self.get(item.id) for item in write.expected}
        for item in write.expected:
            row = rows[item.id]
            if (row.version if row is not None else 0) != item.version:
                return Conflict(rows)
        self.version += 1
        for put in write.puts:
            self.rows_by_id[put.id] = Row(put.id, put.value, self.version)
        return Committed(self.version)
