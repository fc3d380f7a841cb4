"""Adapter that makes the platform's metadata store a `Store`."""

from __future__ import annotations

import asyncio
import base64
from typing import Any
from urllib.parse import urlencode

from lynxchute.http import ExchangeError, HttpClient, Response, Timeouts
from lynxchute.http.json_text import encode_json
from lynxchute.platform.answers import (
    AnswerItems,
    answer_version,
    decode_conflict,
    decode_era,
    decode_items,
    decode_time,
    key_after,
)
from lynxchute.platform.names import ROWS_FEED, ROWS_READ, ROWS_WRITE, STORE_ERA
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
from lynxchute.store.era import era_of, number_of

# Seconds. The store normally answers in 4 ms; a store that is sixty times slower takes
# 240 ms.
ANSWER_TIMEOUT = 1.0
CONNECT_TIMEOUT = 0.5
BODY_TIMEOUT = 5.0
# Maximum rows per response; the store enforces the same limit.
PAGE_ROWS = 500
MAX_CONNECTIONS = 8
EARLIER_ERA = "the answer is older than the copy that the store came back from"


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
        """Apply a conditional write and return whether it was committed.

        A version of an earlier era may have been given out again, so a write that
        expects one conflicts without being sent.
        """
        planned_era = self.era.current
        if any(_is_earlier(item.version, planned_era) for item in write.expected):
            return await self._read_conflict(write)
        body = _encode_write(write)
        asked_at = asyncio.get_running_loop().time()
        try:
            response = await self._client.request(
                "POST",
                ROWS_WRITE,
                headers=[("Content-Type", "application/json")],
                body=encode_json(body),
                timeouts=_timeouts(0.0),
            )
            answer = await response.json()
        except ExchangeError as error:
            if error.sent:
                raise OutcomeUnknown(
                    str(error), is_unresponsive=error.is_timeout
                ) from error
            raise StoreUnavailable(str(error)) from error
        return self._outcome(write, response, answer, asked_at, planned_era)

    def _outcome(
        self,
        write: Write,
        response: Response,
        answer: Any,
        asked_at: float,
        planned_era: int,
    ) -> Outcome:
        """Return the outcome of a write that was sent.

        Parameters
        ----------
        asked_at
            When it was sent, in seconds on the clock of the event loop.
        planned_era
            The newest known era at that time.
        """
        status = response.status
        era = decode_era(response.headers.get(STORE_ERA.lower(), ""), self.era.current)
        is_newest = self.era.observe(era)
        if status in (429, 503) or (status == 412 and not is_newest):
            raise StoreUnavailable(f"the store answered {status} in era {era}")
        if not is_newest:
            raise OutcomeUnknown(EARLIER_ERA)
        self._record_time(answer, asked_at)
        if status == 412:
            return decode_conflict(write, answer, era)
        if 400 <= status < 500:
            raise StoreRefused(f"the store answered {status}: {answer}")
        if status != 200:
            raise OutcomeUnknown(f"the store answered {status}")
        if era > planned_era and any(item.version for item in write.expected):
            # The expected versions may have been given out again for other values.
            raise OutcomeUnknown("the store came back from a copy meanwhile")
        try:
            return Committed(answer_version(answer, era))
        except StoreUnavailable as error:
            raise OutcomeUnknown(str(error)) from error

    async def scan(self, table: str, *, part: str = "") -> Snapshot:
        """Read all rows of a table, or of one of its partitions, in pages."""
        rows: list[Row] = []
        version: int | None = None
        first_era: int | None = None
        start_key = ""
        while True:
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if start_key:
                query["from"] = start_key
            answer, era = await self._get(ROWS_READ, query, wait=0.0)
            first_era = era if first_era is None else first_era
            if era != first_era:
                raise StoreUnavailable("the store came back from a copy meanwhile")
            page = decode_items(answer, table, era)
            rows.extend(page.rows)
            if version is None:
                version = answer_version(answer, era)
            if not answer.get("has_more") or not page.count:
                return Snapshot(tuple(rows), version)
            start_key = _next_key(page, start_key)

    async def read(self, row_id: RowId) -> Row | None:
        """Read a row."""
        query = {
            "table": row_id.table,
            "part": row_id.part,
            "from": row_id.key,
            "to": row_id.key + "\0",
        }
        answer, era = await self._get(ROWS_READ, query, wait=0.0)
        rows = decode_items(answer, row_id.table, era).rows
        return rows[0] if rows else None

    async def changes(self, table: str, *, after: int, wait: float) -> Changes:
        """Long-poll for changes to a table after a version, at most `wait` seconds."""
        if _is_earlier(after, self.era.current):
            raise HistoryLost
        query = {
            "table": table,
            "after_revision": number_of(after),
            "wait_ms": int(wait * 1000),
        }
        answer, era = await self._get(ROWS_FEED, query, wait=wait)
        if _is_earlier(after, era):
            raise HistoryLost
        items = decode_items(answer, table, era)
        rows = tuple(items.rows + items.tombstones)
        if items.skipped and not any(row.version > after for row in rows):
            # The same items would be returned again at once; a listing goes past them.
            raise HistoryLost
        return Changes(rows, answer_version(answer, era))

    def move(self, address: str) -> None:
        """Reconnect to the same store at another address."""
        self._client.close()
        self._client = HttpClient(address, max_connections=MAX_CONNECTIONS)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def _read_conflict(self, write: Write) -> Conflict:
        """Return the current rows of a write's preconditions."""
        rows_by_id: dict[RowId, Row | None] = {}
        for item in write.expected:
            rows_by_id[item.id] = await self.read(item.id)
        return Conflict(rows_by_id)

    async def _get(
        self, path: str, query: dict[str, Any], *, wait: float
    ) -> tuple[dict[str, Any], int]:
        """Return the body of an answer, and the era of the store that gave it."""
        asked_at = asyncio.get_running_loop().time()
        try:
            response = await self._client.request(
                "GET", f"{path}?{_encode_query(query)}", timeouts=_timeouts(wait)
            )
            status, answer = response.status, await response.json()
        except ExchangeError as error:
            raise StoreUnavailable(str(error)) from error
        era = decode_era(response.headers.get(STORE_ERA.lower(), ""), self.era.current)
        if not self.era.observe(era):
            raise StoreUnavailable(EARLIER_ERA)
        if status == 410:
            raise HistoryLost
        if status in (429, 503):
            raise StoreUnavailable(f"the store answered {status}")
        if status != 200 or not isinstance(answer, dict):
            raise StoreRefused(f"the store answered {status}: {answer}")
        self._record_time(answer, asked_at)
        return answer, era

    def _record_time(self, answer: Any, asked_at: float) -> None:
        now_ms = decode_time(answer)
        if now_ms is not None:
            now = asyncio.get_running_loop().time()
            self.clock.observe(told_ms=now_ms, now=now, asked_at=asked_at)


def _encode_query(query: dict[str, Any]) -> str:
    """Return a URL's query; its keys may be those of rows that are skipped."""
    return urlencode(query, errors="surrogatepass")


def _next_key(page: AnswerItems, start_key: str) -> str:
    """Return the key from which to request the rows after a page."""
    next_key = key_after(page.last_key)
    if next_key <= start_key:
        raise StoreUnavailable("the store's answer has no key that can be decoded")
    return next_key


def _is_earlier(version: int, era: int) -> bool:
    """Return whether a version was given out before an era."""
    return version != 0 and era_of(version) < era


def _timeouts(wait: float) -> Timeouts:
    limit = wait + ANSWER_TIMEOUT
    return Timeouts(
        connect=CONNECT_TIMEOUT,
        first_byte=limit,
        between_bytes=limit,
        whole_body=BODY_TIMEOUT,
    )


def _encode_write(write: Write) -> dict[str, Any]:
    expected = []
    for item in write.expected:
        expected.append({**_encode_id(item.id), "ver": number_of(item.version)})
    puts = []
    for put in write.puts:
        value = base64.b64encode(put.value).decode("ascii")
        puts.append({**_encode_id(put.id), "value": value})
    deletes = [_encode_id(row_id) for row_id in write.deletes]
    return {"expected_revision": expected, "puts": puts, "deletes": deletes}


def _encode_id(row_id: RowId) -> dict[str, Any]:
    return {"table": row_id.table, "part": row_id.part, "key": row_id.key}
