"""Answer operators over HTTP."""

from __future__ import annotations

import secrets
import time
from typing import Any

import attrs
from expression import Error, Ok, Result

from lynxchute.configuration import (
    AccountConfiguration,
    Configuration,
    OperatorConfiguration,
    Role,
    UpstreamState,
    hash_key,
)
from lynxchute.configurations import Change, Configurations, to_body, version_key
from lynxchute.http import Request, Responder
from lynxchute.node import Node
from lynxchute.operators.collections import Collections
from lynxchute.operators.language import parse
from lynxchute.operators.query import nearest, run_query
from lynxchute.operators.statements import (
    Compare,
    CreateAccount,
    DropAccount,
    SetDraining,
    SetModels,
    Show,
    Statement,
    TopUpStatement,
)
from lynxchute.operators.topups import TopUps, TopUpState
from lynxchute.tables import Unavailable

COMMANDS_PATH = "/v1/operator/commands"
RANK_BY_ROLE = {Role.READ: 0, Role.OPERATE: 1, Role.CONFIGURE: 2}

DONE = "done"
IN_PART = "in_force_in_part"
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
        ``rows``, ``mistakes``, ``done``, ``in_force_in_part``,
        ``provisional``, ``unknown`` or ``not_done``.
    missing
        What the answer lacks: the platform, VMs or data centres.
    in_force
        VMs, by data centre, where the change is in force.
    taken_at
        When the rows were gathered, in seconds since 1970.
    """

    state: str
    detail: str = ""
    operation: str = ""
    columns: tuple[str, ...] = ()
    rows: tuple[dict[str, Any], ...] = ()
    missing: tuple[str, ...] = ()
    in_force: dict[str, list[str]] = attrs.Factory(dict)
    taken_at: float = attrs.Factory(time.time)

    def to_json(self) -> dict[str, Any]:
        """Return the answer as JSON values."""
        return {**attrs.asdict(self), "complete": not self.missing}


class OperatorService:
    """Run the statements of operators.

    Parameters
    ----------
    node
        This incarnation.
    configurations
        Makes and spreads versions.
    collections
        Gathers rows.
    top_ups
        Credits client accounts.
    """

    def __init__(
        self,
        node: Node,
        configurations: Configurations,
        collections: Collections,
        top_ups: TopUps,
    ) -> None:
        self._node = node
        self._configurations = configurations
        self._collections = collections
        self._top_ups = top_ups

    async def serve(self, request: Request, respond: Responder, key: str) -> None:
        """Answer one statement, sent as ``{"statement": "…"}``."""
        operators = self._node.configuration.operators_by_key_hash
        operator = operators.get(hash_key(key)) if key else None
        if operator is None:
            answer = Answer(NOT_DONE, "No operator has this key.")
            await respond.json(401, answer.to_json())
            return
        value = request.json()
        text = value.get("statement") if isinstance(value, dict) else None
        if not isinstance(text, str):
            answer = Answer(MISTAKES, 'Send {"statement": "…"}.')
            await respond.json(422, answer.to_json())
            return
        parsed = parse(text)
        if parsed.is_error():
            detail = "\n".join(str(mistake) for mistake in parsed.error)
            await respond.json(422, Answer(MISTAKES, detail).to_json())
            return
        answer, status = await self._run(parsed.ok, operator)
        await respond.json(status, answer.to_json())

    async def _run(
        self, statement: Statement, operator: OperatorConfiguration
    ) -> tuple[Answer, int]:
        needed = _role_for(statement)
        if RANK_BY_ROLE[operator.role] < RANK_BY_ROLE[needed]:
            detail = f"This needs the role {needed.value!r}; yours is "
            detail += f"{operator.role.value!r}."
            return Answer(NOT_DONE, detail), 403
        if isinstance(statement, Show):
            answer = await self._show(statement)
        elif isinstance(statement, Compare):
            answer = await self._compare(statement)
        elif isinstance(statement, TopUpStatement):
            answer = await self._top_up(statement, operator)
        else:
            change = _change_for(statement)
            operation = statement.operation or secrets.token_hex(8)
            answer = await self._configure(change, operation, operator)
        return answer, 422 if answer.state == MISTAKES else 200

    async def _show(self, show: Show) -> Answer:
        columns_by_collection = self._collections.columns_by_collection
        columns = columns_by_collection.get(show.collection)
        if columns is None:
            advice = nearest(show.collection, columns_by_collection)
            return Answer(MISTAKES, f"No collection {show.collection!r}. {advice}")
        found = await self._collections.find(show.collection)
        result = run_query(show, columns, found.rows)
        if result.is_error():
            return Answer(MISTAKES, "\n".join(result.error))
        if show.group:
            columns = tuple(result.ok[0]) if result.ok else show.group
        return Answer(
            ROWS,
            columns=columns,
            rows=tuple(result.ok),
            missing=(*found.missing, *found.missing_data_centres),
        )

    async def _top_up(
        self, statement: TopUpStatement, operator: OperatorConfiguration
    ) -> Answer:
        if statement.tokens <= 0:
            return Answer(MISTAKES, "A top-up adds at least one token.")
        answer = await self._top_ups.credit(
            statement.account, statement.tokens, statement.operation, operator.name
        )
        state = DONE if answer.state is TopUpState.DURABLE else answer.state.value
        return Answer(state, answer.detail, answer.top_up_id)

    async def _configure(
        self, change: Change, operation: str, operator: OperatorConfiguration
    ) -> Answer:
        result = await self._configurations.change(change, operation, operator.name)
        if result.is_error():
            state = UNKNOWN if result.error.startswith(UNKNOWN) else NOT_DONE
            return Answer(state, result.error, operation)
        accepted = result.ok
        versions = await self._configurations.spread(accepted.version)
        in_force, missing = self._places(versions, accepted.version)
        detail = f"Version {accepted.version}."
        if accepted.before:
            detail += f" Came first: {', '.join(accepted.before)}."
        state = IN_PART if missing else DONE
        return Answer(state, detail, operation, missing=missing, in_force=in_force)

    def _places(
        self, versions_by_vm: dict[str, int], version: int
    ) -> tuple[dict[str, list[str]], tuple[str, ...]]:
        """Return where a version is in force, and the VMs where it is not."""
        node = self._node
        places = {node.settings.vm: node.data_centre}
        for peer in node.settings.peers:
            places[peer.vm] = peer.data_centre
        in_force: dict[str, list[str]] = {}
        missing = []
        for vm, data_centre in places.items():
            if versions_by_vm.get(vm, 0) >= version:
                in_force.setdefault(data_centre, []).append(vm)
            else:
                missing.append(vm)
        return in_force, tuple(missing)

    async def _compare(self, statement: Compare) -> Answer:
        keys = (version_key(statement.first), version_key(statement.second))
        try:
            rows = await self._node.table.read(keys=keys)
        except Unavailable:
            return Answer(NOT_DONE, "The platform is out of reach.")
        for key, version in zip(keys, (statement.first, statement.second), strict=True):
            if key not in rows:
                return Answer(MISTAKES, f"There is no version {version}.")
        differences = _differences(rows[keys[0]]["body"], rows[keys[1]]["body"])
        columns = ("what", "name", "first", "second")
        return Answer(ROWS, columns=columns, rows=tuple(differences))


def _role_for(statement: Statement) -> Role:
    if isinstance(statement, Show | Compare):
        return Role.READ
    if isinstance(statement, TopUpStatement | SetDraining):
        return Role.OPERATE
    return Role.CONFIGURE


def _change_for(
    statement: SetDraining | CreateAccount | DropAccount | SetModels,
) -> Change:
    """Return the change of the configuration that a statement asks for."""
    match statement:
        case SetDraining("vm", name, draining):
            return lambda before: _drain_vm(before, name, draining)
        case SetDraining(_, name, draining):
            state = UpstreamState.DRAINING if draining else UpstreamState.ACTIVE
            return lambda before: _change_upstream(before, name, {"state": state})
        case SetModels(name, models):
            return lambda before: _change_upstream(before, name, {"models": models})
        case CreateAccount(name, key_hash):
            return lambda before: _add_key(before, name, key_hash)
        case DropAccount(name):
            return lambda before: _drop_account(before, name)


def _drain_vm(
    before: Configuration, name: str, draining: bool
) -> Result[Configuration, str]:
    vms = [vm for vm in before.draining_vms if vm != name]
    if draining:
        vms.append(name)
    return Ok(attrs.evolve(before, draining_vms=tuple(vms)))


def _change_upstream(
    before: Configuration, name: str, values: dict[str, Any]
) -> Result[Configuration, str]:
    if name not in before.upstreams_by_name:
        advice = nearest(name, before.upstreams_by_name)
        return Error(f"not done: no upstream is called {name!r}. {advice}")
    upstreams = []
    for upstream in before.upstreams:
        if upstream.name == name:
            upstream = attrs.evolve(upstream, **values)
        upstreams.append(upstream)
    return Ok(attrs.evolve(before, upstreams=tuple(upstreams)))


def _add_key(
    before: Configuration, name: str, key_hash: str
) -> Result[Configuration, str]:
    accounts = {account.name: account for account in before.accounts}
    known = accounts.get(name)
    keys = known.key_hashes if known else ()
    if key_hash not in keys:
        keys = (*keys, key_hash)
    accounts[name] = AccountConfiguration(name=name, key_hashes=keys)
    return Ok(attrs.evolve(before, accounts=tuple(accounts.values())))


def _drop_account(before: Configuration, name: str) -> Result[Configuration, str]:
    accounts = tuple(a for a in before.accounts if a.name != name)
    if len(accounts) == len(before.accounts):
        advice = nearest(name, [account.name for account in accounts])
        return Error(f"not done: no client account is called {name!r}. {advice}")
    return Ok(attrs.evolve(before, accounts=accounts))


def _differences(first: dict[str, Any], second: dict[str, Any]) -> list[dict[str, Any]]:
    """Return what differs between two versions, one row a difference."""
    rows = []
    for collection in to_body(Configuration()):
        left = _by_name(first.get(collection, ()))
        right = _by_name(second.get(collection, ()))
        for name in sorted({*left, *right}):
            if left.get(name) == right.get(name):
                continue
            rows.append(
                {
                    "what": collection,
                    "name": name,
                    "first": left.get(name),
                    "second": right.get(name),
                }
            )
    return rows


def _by_name(items: Any) -> dict[str, Any]:
    found = {}
    for item in items:
        if isinstance(item, str):
            found[item] = item
            continue
        found[item["name"]] = item
    return found
