"""Decoding of the store's answers, of which single items may be invalid."""

from __future__ import annotations

import base64
import sys
from typing import Any

import attrs

from lynxchute.listeners import LogLimit
from lynxchute.store import Conflict, Row, RowId, StoreUnavailable, Write
from lynxchute.store.era import NUMBER_MASK, join_version
from lynxchute.store.json_value import is_encodable
from lynxchute.telemetry import log_event

# Maximum characters of a row's key, table or partition.
MAX_NAME_LENGTH = 1024
# Far more than the store has copies; a larger era would outrank all later ones.
MAX_ERA_DIGITS = 6
# Unix milliseconds up to the year 10,000.
MAX_TIME_MS = 253_402_300_800_000
# Characters of an invalid key in a log line.
LOGGED_KEY_LENGTH = 100
# Key of the deleted rows that stand for changes whose own key cannot be used.
TOMBSTONE_KEY = ""

_log_limit = LogLimit()


@attrs.define
class AnswerItems:
    """The items of one answer.

    Attributes
    ----------
    rows
        The items that could be decoded, in order.
    tombstones
        Deleted rows with the versions of items whose key cannot be used, so that
        changes are requested from a later version on.
    count, skipped
        The number of all items, and of those that could not be decoded.
    last_key
        The largest key of all items, valid or not.
    """

    rows: list[Row] = attrs.Factory(list)
    tombstones: list[Row] = attrs.Factory(list)
    count: int = 0
    skipped: int = 0
    last_key: str = ""


def decode_items(answer: Any, table: str, era: int) -> AnswerItems:
    """Decode the items of an answer, each by itself.

    Parameters
    ----------
    table
        The table of items that do not name theirs.
    era
        The era of the answer.
    """
    found = AnswerItems()
    items = answer.get("rows") if isinstance(answer, dict) else None
    for item in items if isinstance(items, list) else ():
        found.count += 1
        row_id = _decode_id(item, table)
        number = _decode_number(item)
        found.last_key = max(found.last_key, _raw_key(item))
        if row_id is not None and number is not None:
            found.rows.append(_decode_row(item, row_id, number, era))
            continue
        found.skipped += 1
        _log_skipped(item, table, number)
        if number:
            version = join_version(era, number)
            row_id = RowId(table, TOMBSTONE_KEY)
            found.tombstones.append(Row(row_id, b"", version, deleted=True))
    return found


def decode_conflict(write: Write, answer: Any, era: int) -> Conflict:
    """Return the current rows of a write's preconditions."""
    rows_by_id: dict[RowId, Row | None] = {item.id: None for item in write.expected}
    for row in decode_items(answer, "", era).rows:
        if not row.deleted:
            rows_by_id[row.id] = row
    return Conflict(rows_by_id)


def answer_version(answer: Any, era: int) -> int:
    """Return the version of the store that an answer names.

    Raises
    ------
    StoreUnavailable
        When it names none that is valid.
    """
    number = _decode_number(answer)
    if number is None or "ver" not in answer:
        raise StoreUnavailable("the store's answer has no valid version")
    return join_version(era, number)


def decode_era(value: str, known: int) -> int:
    """Return the era in an answer's header, or the known one if it has no valid one."""
    if not value.isascii() or not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return known
    return int(value)


def decode_time(answer: Any) -> int | None:
    """Return the store's time in an answer, in milliseconds; None if it has none."""
    told_ms = answer.get("now_ms") if isinstance(answer, dict) else None
    if isinstance(told_ms, bool) or not isinstance(told_ms, int | float):
        return None
    return int(told_ms) if 0 <= told_ms <= MAX_TIME_MS else None


def key_after(key: str) -> str:
    """Return the smallest valid key that sorts after a key."""
    if len(key) > MAX_NAME_LENGTH:
        # All keys that begin like a key that is too long are too long themselves.
        return key[:MAX_NAME_LENGTH] + chr(sys.maxunicode)
    return key + "\0"


def _raw_key(item: Any) -> str:
    key = item.get("key") if isinstance(item, dict) else None
    return key if isinstance(key, str) else ""


def _decode_id(item: Any, table: str) -> RowId | None:
    """Return the id of an item, or None if it has no valid one."""
    if not isinstance(item, dict):
        return None
    row_id = RowId(item.get("table", table), item.get("key", ""), item.get("part", ""))
    for name in (row_id.table, row_id.key, row_id.part):
        if not isinstance(name, str) or len(name) > MAX_NAME_LENGTH:
            return None
        if not is_encodable(name):
            return None
    return row_id if row_id.key else None


def _decode_number(item: Any) -> int | None:
    """Return the number of an item's version; None if it is not valid.

    The store reports a missing row with version 0.
    """
    number = item.get("ver", 0) if isinstance(item, dict) else None
    if isinstance(number, bool) or not isinstance(number, int):
        return None
    return number if 0 <= number <= NUMBER_MASK else None


def _decode_row(item: dict[str, Any], row_id: RowId, number: int, era: int) -> Row:
    """Return an item's row; a value that is not base64 counts as an empty one."""
    try:
        value = base64.b64decode(item.get("value") or "")
    except (TypeError, ValueError):
        value = b""
        _log_skipped(item, row_id.table, number)
    deleted = bool(item.get("deleted")) or not number
    return Row(row_id, value, join_version(era, number), deleted)


def _log_skipped(item: Any, table: str, number: int | None) -> None:
    if not _log_limit.allows():
        return
    log_event(
        "row of the store cannot be decoded",
        table=table,
        key=ascii(_raw_key(item)[:LOGGED_KEY_LENGTH]),
        version=number,
        suppressed=_log_limit.take_suppressed(),
    )
