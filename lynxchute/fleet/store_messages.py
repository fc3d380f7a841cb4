"""Messages for store calls that one router makes for another."""

from __future__ import annotations

import base64
import enum
from collections.abc import Iterable

import attrs

from lynxchute.fleet.message import Message
from lynxchute.store import Expected, Put, Row, RowId, Write


class StoreStatus(enum.Enum):
    """The result of a relayed store call.

    Attributes
    ----------
    DONE
        The call succeeded.
    CONFLICT
        A precondition of a write failed.
    UNAVAILABLE
        The store did nothing.
    UNKNOWN
        A write may have been applied, or may still be applied.
    HISTORY_LOST
        The store no longer has all changes after the version.
    """

    DONE = "done"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history lost"


@attrs.frozen
class WireId:
    """A row id in a message."""

    table: str
    key: str
    part: str

    @classmethod
    def of(cls, row_id: RowId) -> WireId:
        """Encode a row id."""
        return cls(row_id.table, row_id.key, row_id.part)

    def decoded(self) -> RowId:
        """Return the row id."""
        return RowId(self.table, self.key, self.part)


@attrs.frozen
class WireRow:
    """A row in a message; its value is in base64."""

    id: WireId
    value: str
    version: int
    deleted: bool

    @classmethod
    def of(cls, row: Row) -> WireRow:
        """Encode a row."""
        return cls(WireId.of(row.id), _base64(row.value), row.version, row.deleted)

    def decoded(self) -> Row:
        """Return the row with its value decoded."""
        value = base64.b64decode(self.value)
        return Row(self.id.decoded(), value, self.version, self.deleted)


@attrs.frozen
class StoreReply:
    """The result of a relayed store call.

    Attributes
    ----------
    end
        The status of the call.
    rows
        The rows read, or the current rows after a conflict.
    version
        The version of the rows written, or the version up to which rows were read.
    told_ms
        The store's time that it last reported to the relaying router, in milliseconds
        on its clock; 0 if unknown.
    """

    end: StoreStatus
    rows: tuple[WireRow, ...] = ()
    version: int = 0
    told_ms: int = 0


@attrs.frozen
class StoreWriteRequest(Message[StoreReply]):
    """Relay a write.

    Attributes
    ----------
    expected
        Row ids and the versions that the rows must have.
    puts
        Row ids and new values, in base64.
    deletes
        Ids of the rows to delete.
    """

    NAME = "store-write"
    REPLY = StoreReply

    expected: tuple[tuple[WireId, int], ...]
    puts: tuple[tuple[WireId, str], ...]
    deletes: tuple[WireId, ...]

    @classmethod
    def of(cls, write: Write) -> StoreWriteRequest:
        """Encode a write."""
        return cls(
            tuple((WireId.of(item.id), item.version) for item in write.expected),
            tuple((WireId.of(put.id), _base64(put.value)) for put in write.puts),
            tuple(WireId.of(row_id) for row_id in write.deletes),
        )

    def decoded(self) -> Write:
        """Return the write with its values decoded."""
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
    """Relay a scan of a table, or of one of its partitions."""

    NAME = "store-scan"
    REPLY = StoreReply

    table: str
    part: str


@attrs.frozen
class StoreChangesRequest(Message[StoreReply]):
    """Relay a request for changes of a table after a version, without long-polling."""

    NAME = "store-changes"
    REPLY = StoreReply

    table: str
    after: int


def wire_rows(rows: Iterable[Row | None]) -> tuple[WireRow, ...]:
    """Encode rows; None values, for rows that do not exist, are left out."""
    return tuple(WireRow.of(row) for row in rows if row is not None)


def _base64(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")
