"""Rows of the store, and the writes that change them."""

from __future__ import annotations

import attrs

ABSENT = 0


@attrs.frozen
class RowId:
    """Where a row stands.

    Attributes
    ----------
    part
        Rows of one part are changed together at the least cost.
    """

    table: str
    key: str
    part: str = ""


@attrs.frozen
class Row:
    """A row as the store has it.

    Attributes
    ----------
    version
        Grows with each change anywhere in the store.
    deleted
        Whether this is the news that the row was dropped.
    """

    id: RowId
    value: bytes
    version: int
    deleted: bool = False


@attrs.frozen
class Expected:
    """A row that must still have a version; `ABSENT` means that there is none."""

    id: RowId
    version: int


@attrs.frozen
class Put:
    """A row's new value."""

    id: RowId
    value: bytes


@attrs.frozen
class Write:
    """Changes that take effect together or not at all."""

    expected: tuple[Expected, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[RowId, ...] = ()


@attrs.frozen
class Committed:
    """Say that a write took effect, and which version its rows now have."""

    version: int


@attrs.frozen
class Conflict:
    """Say that a write had no effect.

    Attributes
    ----------
    rows_by_id
        The rows that it expected, as they stand; None where there is none.
    """

    rows_by_id: dict[RowId, Row | None]


Outcome = Committed | Conflict


@attrs.frozen
class Snapshot:
    """The rows of a part of a table.

    Attributes
    ----------
    version
        The store's newest version when the first of them were read; changes
        after it may or may not be in the rows.
    """

    rows: tuple[Row, ...]
    version: int


@attrs.frozen
class Changes:
    """What has changed in a table since a version.

    Attributes
    ----------
    version
        The version to ask from next.
    """

    rows: tuple[Row, ...]
    version: int
