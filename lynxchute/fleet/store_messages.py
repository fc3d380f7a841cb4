"""Messages for store calls that one router makes for another."""

from __future__ import annotations

import base64
import enum
from collections.abc import Iterable

import attrs

from lynxchute.fleet.message import Message
from lynxchute.http.client import MAX_RESPONSE_BYTES
from lynxchute.store import Expected, Put, Row, RowId, Write
from lynxchute.store.era import era_of, join_version, number_of


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
    """A row in a message; its value is in base64.

    Attributes
    ----------
    version
        The number of the version; its era is that of the message.
    """

    id: WireId
    value: str
    version: int
    deleted: bool

    @classmethod
    def of(cls, row: Row) -> WireRow:
        """Encode a row."""
        number = number_of(row.version)
        return cls(WireId.of(row.id), _base64(row.value), number, row.deleted)

    def decoded(self, era: int) -> Row:
        """Return the row with its value decoded."""
        value = base64.b64decode(self.value)
        version = join_version(era, self.version)
        return Row(self.id.decoded(), value, version, self.deleted)


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
        The number of the version of the rows written, or up to which rows were read.
    era
        The era of all versions; None from a router that knows none.
    told_ms
        The store's time that it last reported to the relaying router, in milliseconds
        on its clock; 0 if unknown.
    """

    end: StoreStatus
    rows: tuple[WireRow, ...] = ()
    version: int = 0
    told_ms: int = 0
    era: int | None = None


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
    era
        The earliest era of the expected versions; None from a router that knows none.
    """

    NAME = "store-write"
    REPLY = StoreReply

    expected: tuple[tuple[WireId, int], ...]
    puts: tuple[tuple[WireId, str], ...]
    deletes: tuple[WireId, ...]
    era: int | None = None

    @classmethod
    def of(cls, write: Write) -> StoreWriteRequest:
        """Encode a write."""
        expected = []
        for item in write.expected:
            expected.append((WireId.of(item.id), number_of(item.version)))
        eras = [era_of(item.version) for item in write.expected if item.version]
        return cls(
            tuple(expected),
            tuple((WireId.of(put.id), _base64(put.value)) for put in write.puts),
            tuple(WireId.of(row_id) for row_id in write.deletes),
            min(eras, default=None),
        )

    def decoded(self, era: int = 0) -> Write:
        """Return the write with its values decoded.

        Parameters
        ----------
        era
            The era of the expected versions, unless the message names it.
        """
        era = era if self.era is None else self.era
        expected = []
        for row_id, number in self.expected:
            expected.append(Expected(row_id.decoded(), join_version(era, number)))
        return Write(
            tuple(expected),
            tuple(
                Put(row_id.decoded(), base64.b64decode(value))
                for row_id, value in self.puts
            ),
            tuple(row_id.decoded() for row_id in self.deletes),
        )


@attrs.frozen
class StoreScanRequest(Message[StoreReply]):
    """Relay a scan of a table, or of one of its partitions, or the read of a row.

    Attributes
    ----------
    key
        The only row to return; None for all. A router that does not know the field
        returns all.
    """

    NAME = "store-scan"
    REPLY = StoreReply
    MAX_REPLY_BYTES = MAX_RESPONSE_BYTES

    table: str
    part: str
    key: str | None = None


@attrs.frozen
class StoreChangesRequest(Message[StoreReply]):
    """Relay a request for changes of a table after a version, without long-polling.

    Attributes
    ----------
    after
        The number of the version.
    era
        The era of the version; None from a router that knows none.
    """

    NAME = "store-changes"
    REPLY = StoreReply
    MAX_REPLY_BYTES = MAX_RESPONSE_BYTES

    table: str
    after: int
    era: int | None = None


def wire_rows(rows: Iterable[Row | None]) -> tuple[WireRow, ...]:
    """Encode rows; None values, for rows that do not exist, are left out."""
    return tuple(WireRow.of(row) for row in rows if row is not None)


def _base64(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")
