"""Rows, writes and their results."""

from __future__ import annotations

import attrs

# The version that `Expected` uses for a row that must not exist.
ABSENT = 0


@attrs.frozen
class RowId:
    """The table, key and partition of a row.

    Attributes
    ----------
    part
        The partition; a write to rows of one partition is the cheapest.
    """

    table: str
    key: str
    part: str = ""


@attrs.frozen
class Row:
    """A version of a row.

    Attributes
    ----------
    version
        The store-wide version of the change; it grows with each change to any row, also
        when the store comes back from a copy (see `lynxchute.store.era`).
    deleted
        Whether the change deleted the row.
    """

    id: RowId
    value: bytes
    version: int
    deleted: bool = False


@attrs.frozen
class Expected:
    """A precondition of a write: the row has this version, or is `ABSENT`."""

    id: RowId
    version: int


@attrs.frozen
class Put:
    """The new value of a row in a write."""

    id: RowId
    value: bytes


@attrs.frozen
class Write:
    """A set of changes that are applied atomically, if all preconditions hold."""

    expected: tuple[Expected, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[RowId, ...] = ()


@attrs.frozen
class Committed:
    """The result of a write that was applied, with the new version of its rows."""

    version: int


@attrs.frozen
class Conflict:
    """The result of a write that was not applied since a precondition failed.

    Attributes
    ----------
    rows_by_id
        The current rows of all preconditions; None for a row that does not exist.
    """

    rows_by_id: dict[RowId, Row | None]


Outcome = Committed | Conflict


@attrs.frozen
class Snapshot:
    """The rows of a table, or of one of its partitions.

    Attributes
    ----------
    version
        The newest version of the store when the first rows were read. Later changes
        may or may not be included in the rows.
    """

    rows: tuple[Row, ...]
    version: int


@attrs.frozen
class Changes:
    """The changes of a table after a version.

    Attributes
    ----------
    version
        The version from which to request the next changes.
    """

    rows: tuple[Row, ...]
    version: int
