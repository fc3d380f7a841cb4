"""A stand-in for the platform's table service."""

from __future__ import annotations

import time
from collections import deque
from typing import Any

import attrs

from lynxchute.http import (
    HttpServer,
    Request,
    Responder,
    not_found,
)
from lynxchute.standins.faults import FAULTS_PATH, Faults
from lynxchute.tables.transaction import (
    Add,
    Committed,
    Conflict,
    Outcome,
    Row,
    Swap,
    Transaction,
)

WRITES_PER_SECOND = 500
RATE_WINDOW = 1.0


@attrs.define
class TableStore:
    """Rows in memory, changed by transactions.

    Examples
    --------
    >>> store = TableStore()
    >>> swap = Swap(key="a", expect=None, row={"n": 1})
    >>> store.apply(Transaction((swap,)))
    Committed(rows_by_key={'a': {'n': 1}})
    >>> store.apply(Transaction((swap,)))
    Conflict(rows_by_key={'a': {'n': 1}})
    """

    rows_by_key: dict[str, Row] = attrs.Factory(dict)
    writes: int = 0
    rows_written: int = 0
    reads: int = 0

    def apply(self, transaction: Transaction) -> Outcome:
        """Apply all operations, or none of them."""
        changed: dict[str, Row | None] = {}
        blocked: dict[str, Row | None] = {}
        for operation in transaction.operations:
            key = operation.key
            row = changed[key] if key in changed else self.rows_by_key.get(key)
            if not _possible(operation, row):
                blocked[key] = row
                continue
            changed[key] = _row_after(operation, row)
        if blocked:
            return Conflict(blocked)
        self._keep(changed)
        self.writes += 1
        self.rows_written += len(changed)
        return Committed({key: row for key, row in changed.items() if row is not None})

    def _keep(self, changed: dict[str, Row | None]) -> None:
        for key, row in changed.items():
            if row is None:
                self.rows_by_key.pop(key, None)
                continue
            self.rows_by_key[key] = row

    def read(self, keys: tuple[str, ...], prefixes: tuple[str, ...]) -> dict[str, Row]:
        """Return the rows under the keys and key prefixes."""
        self.reads += 1
        found = {key: self.rows_by_key[key] for key in keys if key in self.rows_by_key}
        if prefixes:
            for key, row in self.rows_by_key.items():
                if key.startswith(prefixes):
                    found[key] = row
        return found


def _possible(operation: Swap | Add, row: Row | None) -> bool:
    """Return whether an operation can be done to a row."""
    if isinstance(operation, Swap):
        return row == operation.expect
    if row is None:
        return False
    return all(
        row.get(column, 0) + amount >= 0 for column, amount in operation.columns.items()
    )


def _row_after(operation: Swap | Add, row: Row | None) -> Row | None:
    """Return the row after an operation that is possible."""
    if isinstance(operation, Swap):
        return None if operation.row is None else dict(operation.row)
    after = dict(row or {})
    for column, amount in operation.columns.items():
        after[column] = after.get(column, 0) + amount
    return after


class TableServer:
    """Serve a table over HTTP, with faults.

    Parameters
    ----------
    store
        The rows.
    writes_per_second
        Further transactions are refused with 429.
    """

    def __init__(
        self,
        store: TableStore | None = None,
        *,
        writes_per_second: int = WRITES_PER_SECOND,
    ) -> None:
        self.store = store or TableStore()
        self.faults = Faults()
        self.server = HttpServer(self._handle)
        self._limit = writes_per_second
        self._recent: deque[float] = deque()

    async def _handle(self, request: Request, respond: Responder) -> None:
        if request.path == FAULTS_PATH:
            await self.faults.serve(request, respond)
            return
        if request.path == "/state":
            await respond.json(200, attrs.asdict(self.store))
            return
        if not await self.faults.before():
            await respond.json(503, {"error": "outage"})
            return
        if request.path == "/v1/transactions":
            await self._write(request.json(), respond)
            return
        if request.path == "/v1/reads":
            await self._read(request.json(), respond)
            return
        await not_found(request, respond)

    async def _write(self, value: dict[str, Any], respond: Responder) -> None:
        if self._over_limit():
            await respond.json(429, {"error": "too many writes"})
            return
        outcome = self.store.apply(Transaction.from_json(value))
        if self.faults.loses_answer():
            respond.abort()
            return
        status = 200 if isinstance(outcome, Committed) else 409
        await respond.json(status, {"rows_by_key": outcome.rows_by_key})

    async def _read(self, value: dict[str, Any], respond: Responder) -> None:
        keys = tuple(value.get("keys", ()))
        prefixes = tuple(value.get("prefixes", ()))
        rows = self.store.read(keys, prefixes)
        await respond.json(200, {"rows_by_key": rows})

    def _over_limit(self) -> bool:
        now = time.monotonic()
        while self._recent and self._recent[0] < now - RATE_WINDOW:
            self._recent.popleft()
        if len(self._recent) >= self._limit:
            return True
        self._recent.append(now)
        return False
