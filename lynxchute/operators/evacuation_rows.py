"""Evacuations of data centres: their rows in the store, written and listed."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from expression import Error, Ok, Result

from lynxchute.clock import steady_seconds
from lynxchute.edge.platform import Platform
from lynxchute.operators.query import suggest_name
from lynxchute.operators.restore import RewriteWindow
from lynxchute.store import (
    Committed,
    Expected,
    OutcomeUnknown,
    Put,
    Row,
    RowId,
    StoreRefused,
    StoreUnavailable,
    Write,
)
from lynxchute.store.row_value import RowValue, RowValueError

STORE_UNREACHABLE = "The store is out of reach. Try again."
UNKNOWN_OUTCOME = "It may have been done. `show evacuations` tells; it can be repeated."
NOT_WRITABLE = "The store takes no such orders from here; write its row instead."
SINCE_KEY, OPERATOR_KEY = "since_ms", "operator"
# Key prefix of the rows that hold the last revoked order of each data centre. Routers
# that know the order do not write it again after a restore of the store.
REVOKED_PREFIX = "revoked-evacuation/"
# Attempts per revocation. Each conflict means that the order was replaced meanwhile.
MAX_ATTEMPTS = 5


@attrs.frozen
class EvacuationState:
    """State of one data centre's evacuation, collected from the routers.

    Attributes
    ----------
    heard_by, not_heard_by
        VMs whose routers have applied the evacuation and send nothing new there, and
        those whose routers have not.
    open_requests
        Requests still running in the data centre.
    cold_seconds
        Seconds until the last of its upstreams has warmed up, as far as the routers
        know.
    unresponsive
        VMs whose routers did not answer.
    """

    heard_by: tuple[str, ...] = ()
    not_heard_by: tuple[str, ...] = ()
    open_requests: int = 0
    cold_seconds: float = 0.0
    unresponsive: tuple[str, ...] = ()


QueryRouters = Callable[[str], Awaitable[EvacuationState]]


class EvacuationRows:
    """Write and read the store's rows of evacuated data centres.

    Parameters
    ----------
    platform
        Names the store, the table and the key prefix of the rows.
    query_routers
        Queries all routers for the state of an evacuation; None if there is no access
        to them.
    window
        The time after a restore of the store in which orders wait for other routers;
        None to observe the store anew.
    """

    def __init__(
        self,
        platform: Platform,
        query_routers: QueryRouters | None = None,
        window: RewriteWindow | None = None,
    ) -> None:
        self._window = window or RewriteWindow(platform.store)
        self._platform = platform
        self._store = platform.store
        self._query_routers = query_routers

    async def rows(self) -> list[dict[str, Any]]:
        """Return a row for each evacuated data centre.

        Columns that only routers can fill are None if they cannot be queried.
        """
        now_ms = self._store.clock.earliest_ms(steady_seconds())
        found = []
        for row in await self._read_rows():
            name = self._data_centre_name(row)
            since_ms = ordered_at_ms(row)
            age = None if since_ms is None else max(now_ms - since_ms, 0) / 1000.0
            columns: dict[str, Any] = {
                "data_centre": name,
                "since_s": None if age is None else round(age, 1),
            }
            columns.update(await self._router_columns(name))
            found.append(columns)
        return found

    async def evacuate(
        self, name: str, *, known: set[str], operator: str, is_forced: bool
    ) -> Result[str, str]:
        """Evacuate a data centre; return a confirmation or the reason for failure.

        Parameters
        ----------
        known
            Names of the data centres that have a VM or an upstream.
        is_forced
            Whether to evacuate it even if it is the last data centre in use.
        """
        if name not in known:
            return Error(
                f"No data centre is called {name!r}. {suggest_name(name, known)}"
            )
        return await _write_or_error(
            self._write_evacuation(name, known, operator, is_forced)
        )

    async def revoke(self, name: str) -> Result[str, str]:
        """Revoke an evacuation; return a confirmation or the reason for failure."""
        return await _write_or_error(self._delete_evacuation(name))

    async def _write_evacuation(
        self, name: str, known: set[str], operator: str, is_forced: bool
    ) -> Result[str, str]:
        rows = await self._read_settled_rows()
        evacuated = {self._data_centre_name(row) for row in rows}
        if not is_forced and not known - evacuated - {name}:
            return Error(
                "Nothing would be served: all other data centres are evacuated. "
                f"Say `evacuate data centre {name} anyway`."
            )
        now_ms = self._store.clock.earliest_ms(steady_seconds())
        value = json.dumps({SINCE_KEY: now_ms, OPERATOR_KEY: operator}).encode()
        if name not in evacuated:
            await self._store.write(Write(puts=(Put(self._row_id(name), value),)))
        return Ok(f"Nothing new is sent to {name}; what runs there goes on to its end.")

    async def _delete_evacuation(self, name: str) -> Result[str, str]:
        revoked_id = RowId(self._platform.configuration_table, REVOKED_PREFIX + name)
        for _ in range(MAX_ATTEMPTS):
            rows = await self._read_settled_rows()
            row_by_name = {self._data_centre_name(row): row for row in rows}
            row = row_by_name.get(name)
            if row is None:
                known = set(row_by_name)
                return Error(f"{name!r} is not evacuated. {suggest_name(name, known)}")
            write = Write(
                (Expected(row.id, row.version),),
                (Put(revoked_id, row.value),),
                (row.id,),
            )
            if isinstance(await self._store.write(write), Committed):
                return Ok(f"{name} is used again, by what its upstreams bear.")
        return Error("The order changes all the time. Try again.")

    async def _read_settled_rows(self) -> list[Row]:
        """Return the rows after routers had time to write lost ones again."""
        rows = await self._read_rows()
        while await self._window.wait():
            rows = await self._read_rows()
        return rows

    async def _router_columns(self, name: str) -> dict[str, Any]:
        if self._query_routers is None:
            return dict.fromkeys(STATE_COLUMNS)
        state = await self._query_routers(name)
        return {
            "heard_by": len(state.heard_by),
            "not_heard_by": ", ".join((*state.not_heard_by, *state.unresponsive)),
            "open_requests": state.open_requests,
            "cold_s": round(state.cold_seconds, 1),
        }

    async def _read_rows(self) -> list[Row]:
        snapshot = await self._store.scan(self._platform.configuration_table)
        prefix = self._platform.evacuation_prefix
        return [row for row in snapshot.rows if row.id.key.startswith(prefix)]

    def _data_centre_name(self, row: Row) -> str:
        return row.id.key.removeprefix(self._platform.evacuation_prefix)

    def _row_id(self, name: str) -> RowId:
        platform = self._platform
        return RowId(platform.configuration_table, platform.evacuation_prefix + name)


STATE_COLUMNS = ("heard_by", "not_heard_by", "open_requests", "cold_s")
COLUMNS = ("data_centre", "since_s", *STATE_COLUMNS)


async def _write_or_error(write: Awaitable[Result[str, str]]) -> Result[str, str]:
    """Await a write, and turn errors of the store into messages for operators."""
    try:
        return await write
    except StoreRefused:
        return Error(NOT_WRITABLE)
    except StoreUnavailable:
        return Error(STORE_UNREACHABLE)
    except OutcomeUnknown:
        return Error(UNKNOWN_OUTCOME)


def ordered_at_ms(row: Row) -> int | None:
    """Return the time of the evacuation, or None if its row does not state it."""
    try:
        since_ms: int | None = RowValue.decode(row.value).count(SINCE_KEY, default=None)
    except RowValueError:
        return None
    return since_ms
