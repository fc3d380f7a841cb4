"""What each order changes in the configuration: pure decisions."""

from __future__ import annotations

from typing import Any

import attrs
from expression import Error, Ok, Result

from lynxchute.config.document import (
    AccountDocument,
    FleetDocument,
    UpstreamState,
    to_json,
)
from lynxchute.operators.history import Change
from lynxchute.operators.query import nearest
from lynxchute.operators.statements import (
    Command,
    CreateAccount,
    DropAccount,
    SetDraining,
    SetService,
    SetWeight,
    TopUpStatement,
)
from lynxchute.overload.weights import MAX_WEIGHT, MIN_WEIGHT, usable_weight

Changed = Result[FleetDocument, str]


def change_for(statement: Command) -> Change:
    """Return the change of the configuration that an order asks for."""
    match statement:
        case TopUpStatement(account, tokens):
            return lambda before: _top_up(before, account, tokens)
        case SetDraining("vm", name, draining):
            return lambda before: _drain_vm(before, name, draining)
        case SetDraining(_, name, draining):
            state = UpstreamState.DRAINING if draining else UpstreamState.ACTIVE
            return lambda before: _change_upstream(before, name, {"state": state})
        case SetService(name, service):
            return lambda before: _move_upstream(before, name, service)
        case SetWeight(name, weight):
            return lambda before: _set_weight(before, name, weight)
        case CreateAccount(name, key_hash):
            return lambda before: _add_key(before, name, key_hash)
        case DropAccount(name):
            return lambda before: _drop_account(before, name)


def _top_up(before: FleetDocument, name: str, tokens: int) -> Changed:
    if tokens <= 0:
        return Error("A top-up adds at least one token.")
    accounts = []
    found = False
    for account in before.accounts:
        if account.name == name:
            found = True
            account = attrs.evolve(account, paid=account.paid + tokens)
        accounts.append(account)
    if not found:
        return Error(_no_account(before, name))
    return Ok(attrs.evolve(before, accounts=tuple(accounts)))


def _drain_vm(before: FleetDocument, name: str, draining: bool) -> Changed:
    vms = [vm for vm in before.draining_vms if vm != name]
    if draining:
        vms.append(name)
    return Ok(attrs.evolve(before, draining_vms=tuple(vms)))


def _change_upstream(
    before: FleetDocument, name: str, values: dict[str, Any]
) -> Changed:
    if name not in before.upstreams_by_name:
        advice = nearest(name, before.upstreams_by_name)
        return Error(f"No upstream is called {name!r}. {advice}")
    upstreams = []
    for upstream in before.upstreams:
        if upstream.name == name:
            upstream = attrs.evolve(upstream, **values)
        upstreams.append(upstream)
    return Ok(attrs.evolve(before, upstreams=tuple(upstreams)))


def _move_upstream(before: FleetDocument, name: str, service: str) -> Changed:
    if service not in before.services_by_name:
        advice = nearest(service, before.services_by_name)
        return Error(f"No service is called {service!r}. {advice}")
    return _change_upstream(before, name, {"service": service})


def _add_key(before: FleetDocument, name: str, key_hash: str) -> Changed:
    accounts_by_name = {account.name: account for account in before.accounts}
    known = accounts_by_name.get(name)
    if known is None:
        known = AccountDocument(name=name, key_hashes=())
    keys = known.key_hashes
    if key_hash not in keys:
        keys = (*keys, key_hash)
    accounts_by_name[name] = attrs.evolve(known, key_hashes=keys)
    return Ok(attrs.evolve(before, accounts=tuple(accounts_by_name.values())))


def _set_weight(before: FleetDocument, name: str, weight: int) -> Changed:
    if usable_weight(weight) != weight:
        return Error(f"A weight is from {MIN_WEIGHT:g} to {MAX_WEIGHT:g}.")
    accounts = []
    for account in before.accounts:
        if account.name == name:
            account = attrs.evolve(account, weight=float(weight))
        accounts.append(account)
    if name not in [account.name for account in accounts]:
        return Error(_no_account(before, name))
    return Ok(attrs.evolve(before, accounts=tuple(accounts)))


def _drop_account(before: FleetDocument, name: str) -> Changed:
    accounts = tuple(a for a in before.accounts if a.name != name)
    if len(accounts) == len(before.accounts):
        return Error(_no_account(before, name))
    return Ok(attrs.evolve(before, accounts=accounts))


def _no_account(before: FleetDocument, name: str) -> str:
    advice = nearest(name, [account.name for account in before.accounts])
    return f"No client account is called {name!r}. {advice}"


def differences(first: FleetDocument, second: FleetDocument) -> list[dict[str, Any]]:
    """Return what differs between two documents, one row a difference."""
    rows = []
    left_by_collection, right_by_collection = to_json(first), to_json(second)
    for collection, left_items in left_by_collection.items():
        left = _by_name(left_items)
        right = _by_name(right_by_collection[collection])
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
    if isinstance(items, dict):
        return items
    return {item if isinstance(item, str) else item["name"]: item for item in items}
