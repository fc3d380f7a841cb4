"""Calls to the store that one router makes for another."""

from __future__ import annotations

import base64
import enum
from collections.abc import Iterable

import attrs

from lynxchute.fleet.message import Message
from lynxchute.store import Expected, Put, Row, RowId, Write


class StoreEnd(enum.Enum):
    """How a call to the store ended.

    Attributes
    ----------
    UNAVAILABLE
        The store did nothing.
    UNKNOWN
        A write may have taken effect, or may yet.
    """

    DONE = "done"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history lost"


@attrs.frozen
class WireId:
    """Where a row stands."""

    table: str
    key: str
    part: str

    @classmethod
    def of(cls, row_id: RowId) -> WireId:
        """Return the id as it is sent."""
        return cls(row_id.table, row_id.key, row_id.part)

    def decoded(self) -> RowId:
        """Return the id as the store's users know it."""
        return RowId(self.table, self.key, self.part)


@attrs.frozen
class WireRow:
    """A row; its value in base64."""

    id: WireId
    value: str
    version: int
    deleted: bool

    @classmethod
    def of(cls, row: Row) -> WireRow:
        """Return the row as it is sent."""
        return cls(WireId.of(row.id), _text(row.value), row.version, row.deleted)

    def decoded(self) -> Row:
        """Return the row as the store's users know it."""
        value = base64.b64decode(self.value)
        return Row(self.id.decoded(), value, self.version, self.deleted)


@attrs.frozen
class StoreReply:
    """What came of a call.

    Attributes
    ----------
    version
        The version that a write made, or up to which rows are told.
    told_ms
        The store's time as it was last told to the router that called it.
    """

    end: StoreEnd
    rows: tuple[WireRow, ...] = ()
    version: int = 0
    told_ms: int = 0


@attrs.frozen
class StoreWriteRequest(Message[StoreReply]):
    """Apply a write.

    Attributes
    ----------
    expected
        Rows and the versions that they must still have.
    puts
        Rows and their new values, in base64.
    """

    NAME = "store-write"
    REPLY = StoreReply

    expected: tuple[tuple[WireId, int], ...]
    puts: tuple[tuple[WireId, str], ...]
    deletes: tuple[WireId, ...]

    @classmethod
    def of(cls, write: Write) -> StoreWriteRequest:
        """Return the request for a write."""
        return cls(
            tuple((WireId.of(item.id), item.version) for item in write.expected),
            tuple((WireId.of(put.id), _text(put.value)) for put in write.puts),
            tuple(WireId.of(row_id) for row_id in write.deletes),
        )

    def decoded(self) -> Write:
        """Return the write."""
        return Write(
            tuple(Expected(row_id.decoded(), v) for row_id, v in self.expected),
            tuple(
                Put(row_id.decoded(), base64.b64decode(value))
                for row_id, value in self.puts
            ),
            tuple(row_id.decoded() for row_id in self.deletes),
        )


@attrs.frozen
class StoreScanRequest(Message[StoreReply]):
    """Return all rows of a part of a table."""

    NAME = "store-scan"
    REPLY = StoreReply

    table: str
    part: str


@attrs.frozen
class StoreChangesRequest(Message[StoreReply]):
    """Return what has changed in a table after a version, without waiting."""

    NAME = "store-changes"
    REPLY = StoreReply

    table: str
    after: int


def wire_rows(rows: Iterable[Row | None]) -> tuple[WireRow, ...]:
    """Return rows as they are sent; those that do not exist are left out."""
    return tuple(WireRow.of(row) for row in rows if row is not None)


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")
