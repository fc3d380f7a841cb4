"""Execute operators' statements against the store."""

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
from lynxchute.operators.evacuation_rows import EvacuationRows, QueryRouters
from lynxchute.operators.history import ChangeRequest, ConfigurationHistory
from lynxchute.operators.language import parse, to_text
from lynxchute.operators.quarantine_row import QuarantineRow
from lynxchute.operators.query import run_query, suggest_name
from lynxchute.operators.statements import (
    Command,
    Compare,
    Evacuate,
    Release,
    ReleasePart,
    RevokeEvacuation,
    SetDraining,
    Show,
    Statement,
    TopUpStatement,
)
from lynxchute.store import StoreUnavailable

RANK_BY_ROLE = {Role.READ: 0, Role.OPERATE: 1, Role.CONFIGURE: 2}
OPERATION_ID_BYTES = 8

DONE = "done"
NOT_DONE = "not_done"
UNKNOWN = "unknown"
ROWS = "rows"
MISTAKES = "mistakes"


@attrs.frozen
class Answer:
    """Answer to a statement, as returned to the operator.

    Attributes
    ----------
    state
        ``rows``, ``mistakes``, ``done``, ``unknown`` or ``not_done``.
    missing
        Names of the sources that could not be read, so that the rows are incomplete.
    taken_at
        Time at which the rows were read, in Unix seconds.
    """

    state: str
    detail: str = ""
    operation: str = ""
    columns: tuple[str, ...] = ()
    rows: tuple[dict[str, Any], ...] = ()
    missing: tuple[str, ...] = ()
    taken_at: float = attrs.Factory(time.time)

    def to_json(self) -> dict[str, Any]:
        """Return the answer as a JSON-serialisable dictionary."""
        return {**attrs.asdict(self), "complete": not self.missing}


def _nothing_known(upstream_id: str) -> str:
    return ""


class StatementRunner:
    """Parse, authorise and execute statements.

    Parameters
    ----------
    platform
        Names the store and its tables.
    query_routers
        Queries all routers for the state of an evacuation; None if there is no access
        to them.
    describe_backpressure
        Returns the backpressure that an upstream, given by id, has signalled to the
        answering router; None if the statement runs outside a router.
    software_version_of
        Returns the software version that an upstream has stated to the answering
        router; None if the statement runs outside a router.
    history
        The configuration's versions, with what a router knows of them; None if the
        statement runs outside a router.
    """

    def __init__(
        self,
        platform: Platform,
        query_routers: QueryRouters | None = None,
        describe_backpressure: Callable[[str], str] | None = None,
        history: ConfigurationHistory | None = None,
        *,
        software_version_of: Callable[[str], str] | None = None,
    ) -> None:
        self._history = history or ConfigurationHistory(platform.store)
        self._evacuations = EvacuationRows(
            platform, query_routers, self._history.window
        )
        self._collections = Collections(
            platform,
            self._evacuations,
            describe_backpressure or _nothing_known,
            software_version_of or _nothing_known,
        )
        self._quarantine = QuarantineRow(platform.store, self._history.window)

    async def run(self, text: str, *, operator: str, role: Role) -> Answer:
        """Execute a statement, and return its answer.

        Parameters
        ----------
        operator
            Name of the operator, recorded with changes.
        role
            The operator's role, which must permit the statement.
        """
        parsed = parse(text)
        if parsed.is_error():
            return Answer(MISTAKES, "\n".join(str(mistake) for mistake in parsed.error))
        statement: Statement = parsed.ok
        required = _required_role(statement)
        if RANK_BY_ROLE[role] < RANK_BY_ROLE[required]:
            detail = f"This needs the role {required.value!r}; yours is {role.value!r}."
            return Answer(NOT_DONE, detail)
        if isinstance(statement, Show):
            return await self._show(statement)
        if isinstance(statement, Compare):
            return await self._compare(statement)
        if isinstance(statement, Release | ReleasePart):
            return await self._release(statement)
        if isinstance(statement, Evacuate):
            return await self._evacuate(statement, operator)
        if isinstance(statement, RevokeEvacuation):
            return _answer_from(await self._evacuations.revoke(statement.data_centre))
        return await self._change(statement, operator)

    async def _show(self, show: Show) -> Answer:
        columns = COLUMNS_BY_COLLECTION.get(show.collection)
        if columns is None:
            advice = suggest_name(show.collection, COLUMNS_BY_COLLECTION)
            return Answer(MISTAKES, f"No collection {show.collection!r}. {advice}")
        found = await self._collections.read_rows(show.collection)
        result = run_query(show, columns, found.rows)
        if result.is_error():
            return Answer(MISTAKES, "\n".join(result.error))
        if show.group:
            columns = tuple(result.ok[0]) if result.ok else show.group
        return Answer(
            ROWS, columns=columns, rows=tuple(result.ok), missing=found.missing
        )

    async def _change(self, statement: Command, operator: str) -> Answer:
        operation = statement.operation or secrets.token_hex(OPERATION_ID_BYTES)
        request = ChangeRequest(
            operation, operator, to_text(attrs.evolve(statement, operation=""))
        )
        result = await self._history.change(change_for(statement), request)
        if result.is_error():
            refused = result.error
            state = UNKNOWN if refused.is_unknown else NOT_DONE
            return Answer(state, refused.reason, operation)
        accepted = result.ok
        detail = f"Version {accepted.version}."
        if accepted.is_repeated:
            detail += " It was done before; it counts once."
        if accepted.preceding_operations:
            detail += f" Came first: {', '.join(accepted.preceding_operations)}."
        return Answer(DONE, detail, operation)

    async def _release(self, release: Release | ReleasePart) -> Answer:
        if isinstance(release, ReleasePart):
            return _answer_from(await self._quarantine.release_part(release.part))
        return _answer_from(await self._quarantine.release(release.content))

    async def _evacuate(self, statement: Evacuate, operator: str) -> Answer:
        try:
            known = await self._collections.data_centre_names()
        except StoreUnavailable:
            return Answer(NOT_DONE, "The store is out of reach. Try again.")
        result = await self._evacuations.evacuate(
            statement.data_centre,
            known=known,
            operator=operator,
            is_forced=statement.is_forced,
        )
        return _answer_from(result)

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


def _answer_from(result: Result[str, str]) -> Answer:
    """Return the answer for a statement that does not change the configuration."""
    if result.is_error():
        return Answer(NOT_DONE, result.error)
    return Answer(DONE, result.ok)


def _required_role(statement: Statement) -> Role:
    if isinstance(statement, Show | Compare):
        return Role.READ
    if isinstance(
        statement,
        TopUpStatement
        | SetDraining
        | Release
        | ReleasePart
        | Evacuate
        | RevokeEvacuation,
    ):
        return Role.OPERATE
    return Role.CONFIGURE
