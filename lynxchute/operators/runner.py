"""Run the statements of operators on the store's rows."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import Any

import attrs
from expression import Result

from lynxchute.config.document import Version
from lynxchute.config.role import Role
from lynxchute.edge.platform import Platform
from lynxchute.operators.changes import change_for, differences
from lynxchute.operators.collections import COLUMNS_BY_COLLECTION, STORE, Collections
from lynxchute.operators.evacuation_rows import AskRouters, EvacuationRows
from lynxchute.operators.history import ConfigurationHistory, Order
from lynxchute.operators.language import parse, to_text
from lynxchute.operators.quarantine_row import QuarantineRow
from lynxchute.operators.query import nearest, run_query
from lynxchute.operators.statements import (
    Command,
    Compare,
    Evacuate,
    Release,
    SetDraining,
    Show,
    Statement,
    TakeBack,
    TopUpStatement,
)
from lynxchute.store import StoreUnavailable

RANK_BY_ROLE = {Role.READ: 0, Role.OPERATE: 1, Role.CONFIGURE: 2}
OPERATION_BYTES = 8

DONE = "done"
NOT_DONE = "not_done"
UNKNOWN = "unknown"
ROWS = "rows"
MISTAKES = "mistakes"


@attrs.frozen
class Answer:
    """What an operator is told.

    Attributes
    ----------
    state
        ``rows``, ``mistakes``, ``done``, ``unknown`` or ``not_done``.
    missing
        What the rows lack.
    taken_at
        When the rows were gathered, in seconds since 1970.
    """

    state: str
    detail: str = ""
    operation: str = ""
    columns: tuple[str, ...] = ()
    rows: tuple[dict[str, Any], ...] = ()
    missing: tuple[str, ...] = ()
    taken_at: float = attrs.Factory(time.time)

    def to_json(self) -> dict[str, Any]:
        """Return the answer as JSON values."""
        return {**attrs.asdict(self), "complete": not self.missing}


def _nothing_heard(upstream_id: str) -> str:
    return ""


class StatementRunner:
    """Run statements for an operator.

    Parameters
    ----------
    platform
        Where the rows stand.
    ask_routers
        Asks all routers of an evacuated data centre; None where none can be asked.
    wants_of
        Returns what the router that answers has heard that an upstream wants, by id;
        None where no router answers.
    """

    def __init__(
        self,
        platform: Platform,
        ask_routers: AskRouters | None = None,
        wants_of: Callable[[str], str] | None = None,
    ) -> None:
        self._evacuations = EvacuationRows(platform, ask_routers)
        self._collections = Collections(
            platform, self._evacuations, wants_of or _nothing_heard
        )
        self._history = ConfigurationHistory(platform.store)
        self._quarantine = QuarantineRow(platform.store)

    async def run(self, text: str, *, operator: str, role: Role) -> Answer:
        """Return the answer to a statement.

        Parameters
        ----------
        operator
            Who asks.
        role
            What that permits.
        """
        parsed = parse(text)
        if parsed.is_error():
            return Answer(MISTAKES, "\n".join(str(mistake) for mistake in parsed.error))
        statement: Statement = parsed.ok
        needed = _role_for(statement)
        if RANK_BY_ROLE[role] < RANK_BY_ROLE[needed]:
            detail = f"This needs the role {needed.value!r}; yours is {role.value!r}."
            return Answer(NOT_DONE, detail)
        if isinstance(statement, Show):
            return await self._show(statement)
        if isinstance(statement, Compare):
            return await self._compare(statement)
        if isinstance(statement, Release):
            return await self._release(statement)
        if isinstance(statement, Evacuate):
            return await self._evacuate(statement, operator)
        if isinstance(statement, TakeBack):
            return _told(await self._evacuations.take_back(statement.data_centre))
        return await self._change(statement, operator)

    async def _show(self, show: Show) -> Answer:
        columns = COLUMNS_BY_COLLECTION.get(show.collection)
        if columns is None:
            advice = nearest(show.collection, COLUMNS_BY_COLLECTION)
            return Answer(MISTAKES, f"No collection {show.collection!r}. {advice}")
        found = await self._collections.find(show.collection)
        result = run_query(show, columns, found.rows)
        if result.is_error():
            return Answer(MISTAKES, "\n".join(result.error))
        if show.group:
            columns = tuple(result.ok[0]) if result.ok else show.group
        return Answer(
            ROWS, columns=columns, rows=tuple(result.ok), missing=found.missing
        )

    async def _change(self, statement: Command, operator: str) -> Answer:
        operation = statement.operation or secrets.token_hex(OPERATION_BYTES)
        order = Order(
            operation, operator, to_text(attrs.evolve(statement, operation=""))
        )
        result = await self._history.change(change_for(statement), order)
        if result.is_error():
            refused = result.error
            state = UNKNOWN if refused.is_unknown else NOT_DONE
            return Answer(state, refused.reason, operation)
        accepted = result.ok
        detail = f"Version {accepted.version}."
        if accepted.is_repeated:
            detail += " It was done before; it counts once."
        if accepted.before:
            detail += f" Came first: {', '.join(accepted.before)}."
        return Answer(DONE, detail, operation)

    async def _release(self, release: Release) -> Answer:
        return _told(await self._quarantine.release(release.content))

    async def _evacuate(self, statement: Evacuate, operator: str) -> Answer:
        try:
            known = await self._collections.data_centre_names()
        except StoreUnavailable:
            return Answer(NOT_DONE, "The store is out of reach. Try again.")
        done = await self._evacuations.order(
            statement.data_centre,
            known=known,
            operator=operator,
            is_certain=statement.is_certain,
        )
        return _told(done)

    async def _compare(self, statement: Compare) -> Answer:
        try:
            snapshot = await self._history.versions()
        except StoreUnavailable:
            return Answer(ROWS, "The store is out of reach.", missing=(STORE,))
        documents = {}
        for row in snapshot.rows:
            version = Version.decode(row.value).default_value(None)
            if version is not None:
                documents[version.number] = version.document
        for number in (statement.first, statement.second):
            if number not in documents:
                return Answer(MISTAKES, f"There is no version {number}.")
        found = differences(documents[statement.first], documents[statement.second])
        return Answer(
            ROWS, columns=("what", "name", "first", "second"), rows=tuple(found)
        )


def _told(done: Result[str, str]) -> Answer:
    """Return the answer to an order that is no version of the configuration."""
    if done.is_error():
        return Answer(NOT_DONE, done.error)
    return Answer(DONE, done.ok)


def _role_for(statement: Statement) -> Role:
    if isinstance(statement, Show | Compare):
        return Role.READ
    if isinstance(
        statement, TopUpStatement | SetDraining | Release | Evacuate | TakeBack
    ):
        return Role.OPERATE
    return Role.CONFIGURE
