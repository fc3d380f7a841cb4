"""The orders to evacuate data centres, as operators give them and see them."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from expression import Error, Ok, Result

from lynxchute.clock import steady_seconds
from lynxchute.edge.platform import Platform
from lynxchute.operators.query import nearest
from lynxchute.store import (
    OutcomeUnknown,
    Put,
    Row,
    RowId,
    StoreRefused,
    StoreUnavailable,
    Write,
)
from lynxchute.store.row_value import RowValue, RowValueError

OUT_OF_REACH = "The store is out of reach. Try again."
UNKNOWN_OUTCOME = "It may have been done. `show evacuations` tells; it can be repeated."
NOT_WRITTEN_HERE = "The store takes no such orders from here; write its row instead."
SINCE, OPERATOR = "since_ms", "operator"


@attrs.frozen
class EvacuationState:
    """What the routers tell of one evacuated data centre.

    Attributes
    ----------
    heard_by, not_heard_by
        The VMs whose routers send nothing there, and those that still may.
    open_requests
        Requests that still run there.
    cold_seconds
        How long the last of its upstreams stays cold, as far as is known.
    silent
        The VMs that did not answer.
    """

    heard_by: tuple[str, ...] = ()
    not_heard_by: tuple[str, ...] = ()
    open_requests: int = 0
    cold_seconds: float = 0.0
    silent: tuple[str, ...] = ()


AskRouters = Callable[[str], Awaitable[EvacuationState]]


class EvacuationRows:
    """Write a row for each evacuated data centre, and read them.

    Parameters
    ----------
    platform
        Where they stand.
    ask_routers
        Asks all routers of a data centre; None where they cannot be asked.
    """

    def __init__(
        self, platform: Platform, ask_routers: AskRouters | None = None
    ) -> None:
        self._platform = platform
        self._store = platform.store
        self._ask_routers = ask_routers

    async def rows(self) -> list[dict[str, Any]]:
        """Return a row for each evacuated data centre.

        Columns that only routers know are None where they cannot be asked.
        """
        now_ms = self._store.clock.earliest_ms(steady_seconds())
        found = []
        for row in await self._standing():
            name = self._name(row)
            since_ms = _since_ms(row)
            age = None if since_ms is None else max(now_ms - since_ms, 0) / 1000.0
            shown: dict[str, Any] = {
                "data_centre": name,
                "since_s": None if age is None else round(age, 1),
            }
            shown.update(await self._state(name))
            found.append(shown)
        return found

    async def order(
        self, name: str, *, known: set[str], operator: str, is_certain: bool
    ) -> Result[str, str]:
        """Have nothing more sent to a data centre; return what was done, or why not.

        Parameters
        ----------
        known
            The data centres that any VM or upstream has.
        is_certain
            Whether the last one may go as well.
        """
        if name not in known:
            return Error(f"No data centre is called {name!r}. {nearest(name, known)}")
        return await _or_why_not(self._order(name, known, operator, is_certain))

    async def take_back(self, name: str) -> Result[str, str]:
        """Use a data centre again; return what was done, or why not."""
        return await _or_why_not(self._take_back(name))

    async def _order(
        self, name: str, known: set[str], operator: str, is_certain: bool
    ) -> Result[str, str]:
        standing = {self._name(row) for row in await self._standing()}
        if not is_certain and not known - standing - {name}:
            return Error(
                "Nothing would be served: all other data centres are evacuated. "
                f"Say `evacuate data centre {name} anyway`."
            )
        now_ms = self._store.clock.earliest_ms(steady_seconds())
        value = json.dumps({SINCE: now_ms, OPERATOR: operator}).encode()
        if name not in standing:
            await self._store.write(Write(puts=(Put(self._row_id(name), value),)))
        return Ok(f"Nothing new is sent to {name}; what runs there goes on to its end.")

    async def _take_back(self, name: str) -> Result[str, str]:
        standing = {self._name(row) for row in await self._standing()}
        if name not in standing:
            return Error(f"{name!r} is not evacuated. {nearest(name, standing)}")
        await self._store.write(Write(deletes=(self._row_id(name),)))
        return Ok(f"{name} is used again, by what its upstreams bear.")

    async def _state(self, name: str) -> dict[str, Any]:
        if self._ask_routers is None:
            return dict.fromkeys(STATE_COLUMNS)
        state = await self._ask_routers(name)
        return {
            "heard_by": len(state.heard_by),
            "not_heard_by": ", ".join((*state.not_heard_by, *state.silent)),
            "open_requests": state.open_requests,
            "cold_s": round(state.cold_seconds, 1),
        }

    async def _standing(self) -> list[Row]:
        snapshot = await self._store.scan(self._platform.configuration_table)
        prefix = self._platform.evacuation_prefix
        return [row for row in snapshot.rows if row.id.key.startswith(prefix)]

    def _name(self, row: Row) -> str:
        return row.id.key.removeprefix(self._platform.evacuation_prefix)

    def _row_id(self, name: str) -> RowId:
        platform = self._platform
        return RowId(platform.configuration_table, platform.evacuation_prefix + name)


STATE_COLUMNS = ("heard_by", "not_heard_by", "open_requests", "cold_s")
COLUMNS = ("data_centre", "since_s", *STATE_COLUMNS)


async def _or_why_not(work: Awaitable[Result[str, str]]) -> Result[str, str]:
    """Return what was done, or what the store has said against it."""
    try:
        return await work
    except StoreRefused:
        return Error(NOT_WRITTEN_HERE)
    except StoreUnavailable:
        return Error(OUT_OF_REACH)
    except OutcomeUnknown:
        return Error(UNKNOWN_OUTCOME)


def _since_ms(row: Row) -> int | None:
    """Return when an order was given, where its row says so."""
    try:
        since_ms: int | None = RowValue.decode(row.value).count(SINCE, default=None)
    except RowValueError:
        return None
    return since_ms
