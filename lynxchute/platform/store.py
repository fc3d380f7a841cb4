"""Adapter that makes the platform's metadata store a `Store`."""

from __future__ import annotations

import asyncio
import base64
from typing import Any
from urllib.parse import urlencode

from lynxchute.http import ExchangeError, HttpClient, Timeouts
from lynxchute.platform.names import ROWS_FEED, ROWS_READ, ROWS_WRITE
from lynxchute.store import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Outcome,
    OutcomeUnknown,
    Row,
    RowId,
    Snapshot,
    Store,
    StoreClock,
    StoreRefused,
    StoreUnavailable,
    Write,
)

# Seconds. The store normally answers in 4 ms; a store that is sixty times slower takes
# 240 ms.
ANSWER_TIMEOUT = 1.0
CONNECT_TIMEOUT = 0.5
# Maximum rows per response; the store enforces the same limit.
PAGE_ROWS = 500
MAX_CONNECTIONS = 8


class PlatformStore(Store):
    """Client of the platform's store, with JSON over HTTP.

    Parameters
    ----------
    address
        Address of the store, as ``IP:port``.
    """

    def __init__(self, address: str) -> None:
        self.clock = StoreClock()
        self._client = HttpClient(address, max_connections=MAX_CONNECTIONS)

    async def write(self, write: Write) -> Outcome:
        """Apply a conditional write and return whether it was committed."""
        body = _encode_write(write)
        asked_at = asyncio.get_running_loop().time()
        try:
            status, answer = await self._client.post_json(
                ROWS_WRITE, body, timeouts=_timeouts(0.0)
            )
        except ExchangeError as error:
            if error.sent:
                raise OutcomeUnknown(
                    str(error), is_unresponsive=error.is_timeout
                ) from error
            raise StoreUnavailable(str(error)) from error
        if status in (429, 503):
            raise StoreUnavailable(f"the store answered {status}")
        self._record_time(answer, asked_at)
        if status == 200:
            return Committed(int(answer["ver"]))
        if status == 412:
            return _decode_conflict(write, answer)
        if 400 <= status < 500:
            raise StoreRefused(f"the store answered {status}: {answer}")
        raise OutcomeUnknown(f"the store answered {status}")

    async def scan(self, table: str, *, part: str = "") -> Snapshot:
        """Read all rows of a table, or of one of its partitions, in pages."""
        rows: list[Row] = []
        version: int | None = None
        start_key = ""
        while True:
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if start_key:
                query["from"] = start_key
            answer = await self._get(ROWS_READ, query, wait=0.0)
            page = _decode_rows(answer, table)
            rows.extend(page)
            version = int(answer["ver"]) if version is None else version
            if not answer.get("has_more") or not page:
                return Snapshot(tuple(rows), version)
            # The smallest key that sorts after the last one received.
            start_key = page[-1].id.key + "\0"

    async def changes(self, table: str, *, after: int, wait: float) -> Changes:
        """Long-poll for changes to a table after a version, at most `wait` seconds."""
        query = {
            "table": table,
            "after_revision": after,
            "wait_ms": int(wait * 1000),
        }
        answer = await self._get(ROWS_FEED, query, wait=wait)
        return Changes(tuple(_decode_rows(answer, table)), int(answer["ver"]))

    def move(self, address: str) -> None:
        """Reconnect to the same store at another address."""
        self._client.close()
        self._client = HttpClient(address, max_connections=MAX_CONNECTIONS)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def _get(
        self, path: str, query: dict[str, Any], *, wait: float
    ) -> dict[str, Any]:
        asked_at = asyncio.get_running_loop().time()
        try:
            status, answer = await self._client.get_json(
                f"{path}?{urlencode(query)}", timeouts=_timeouts(wait)
            )
        except ExchangeError as error:
            raise StoreUnavailable(str(error)) from error
        if status == 410:
            raise HistoryLost
        if status in (429, 503):
            raise StoreUnavailable(f"the store answered {status}")
        if status != 200 or not isinstance(answer, dict):
            raise StoreRefused(f"the store answered {status}: {answer}")
        self._record_time(answer, asked_at)
        return answer

    def _record_time(self, answer: Any, asked_at: float) -> None:
        if isinstance(answer, dict) and "now_ms" in answer:
            now = asyncio.get_running_loop().time()
            now_ms = int(answer["now_ms"])
            self.clock.observe(told_ms=now_ms, now=now, asked_at=asked_at)


def _timeouts(wait: float) -> Timeouts:
    limit = wait + ANSWER_TIMEOUT
    return Timeouts(connect=CONNECT_TIMEOUT, first_byte=limit, between_bytes=limit)


def _encode_write(write: Write) -> dict[str, Any]:
    expected = []
    for item in write.expected:
        expected.append({**_encode_id(item.id), "ver": item.version})
    puts = []
    for put in write.puts:
        value = base64.b64encode(put.value).decode("ascii")
        puts.append({**_encode_id(put.id), "value": value})
    deletes = [_encode_id(row_id) for row_id in write.deletes]
    return {"expected_revision": expected, "puts": puts, "deletes": deletes}


def _encode_id(row_id: RowId) -> dict[str, Any]:
    return {"table": row_id.table, "part": row_id.part, "key": row_id.key}


def _decode_conflict(write: Write, answer: dict[str, Any]) -> Conflict:
    rows_by_id: dict[RowId, Row | None] = {item.id: None for item in write.expected}
    for row in _decode_rows(answer, ""):
        if not row.deleted:
            rows_by_id[row.id] = row
    return Conflict(rows_by_id)


def _decode_rows(answer: dict[str, Any], table: str) -> list[Row]:
    rows = []
    for item in answer.get("rows", ()):
        row_id = RowId(item.get("table", table), item["key"], item.get("part", ""))
        value = base64.b64decode(item.get("value") or "")
        # The store reports a missing row with version 0.
        deleted = bool(item.get("deleted")) or not item.get("ver")
        rows.append(Row(row_id, value, int(item.get("ver", 0)), deleted))
    return rows
