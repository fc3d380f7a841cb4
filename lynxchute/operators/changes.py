"""Pure functions that apply statements to a configuration document."""

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
from lynxchute.operators.query import suggest_name
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

ChangeResult = Result[FleetDocument, str]


def change_for(statement: Command) -> Change:
    """Return the function that applies a statement to a configuration document."""
    match statement:
        case TopUpStatement(account, tokens):
            return lambda document: _top_up(document, account, tokens)
        case SetDraining("vm", name, draining):
            return lambda document: _drain_vm(document, name, draining)
        case SetDraining(_, name, draining):
            state = UpstreamState.DRAINING if draining else UpstreamState.ACTIVE
            return lambda document: _update_upstream(document, name, {"state": state})
        case SetService(name, service):
            return lambda document: _set_service(document, name, service)
        case SetWeight(name, weight):
            return lambda document: _set_weight(document, name, weight)
        case CreateAccount(name, key_hash):
            return lambda document: _add_key(document, name, key_hash)
        case DropAccount(name):
            return lambda document: _drop_account(document, name)


def _top_up(document: FleetDocument, name: str, tokens: int) -> ChangeResult:
    if tokens <= 0:
        return Error("A top-up adds at least one token.")
    accounts = []
    found = False
    for account in document.accounts:
        if account.name == name:
            found = True
            account = attrs.evolve(account, paid=account.paid + tokens)
        accounts.append(account)
    if not found:
        return Error(_unknown_account_text(document, name))
    return Ok(attrs.evolve(document, accounts=tuple(accounts)))


def _drain_vm(document: FleetDocument, name: str, draining: bool) -> ChangeResult:
    vms = [vm for vm in document.draining_vms if vm != name]
    if draining:
        vms.append(name)
    return Ok(attrs.evolve(document, draining_vms=tuple(vms)))


def _update_upstream(
    document: FleetDocument, name: str, values: dict[str, Any]
) -> ChangeResult:
    if name not in document.upstreams_by_name:
        advice = suggest_name(name, document.upstreams_by_name)
        return Error(f"No upstream is called {name!r}. {advice}")
    upstreams = []
    for upstream in document.upstreams:
        if upstream.name == name:
            upstream = attrs.evolve(upstream, **values)
        upstreams.append(upstream)
    return Ok(attrs.evolve(document, upstreams=tuple(upstreams)))


def _set_service(document: FleetDocument, name: str, service: str) -> ChangeResult:
    if service not in document.services_by_name:
        advice = suggest_name(service, document.services_by_name)
        return Error(f"No service is called {service!r}. {advice}")
    return _update_upstream(document, name, {"service": service})


def _add_key(document: FleetDocument, name: str, key_hash: str) -> ChangeResult:
    accounts_by_name = {account.name: account for account in document.accounts}
    known = accounts_by_name.get(name)
    if known is None:
        known = AccountDocument(name=name, key_hashes=())
    keys = known.key_hashes
    if key_hash not in keys:
        keys = (*keys, key_hash)
    accounts_by_name[name] = attrs.evolve(known, key_hashes=keys)
    return Ok(attrs.evolve(document, accounts=tuple(accounts_by_name.values())))


def _set_weight(document: FleetDocument, name: str, weight: int) -> ChangeResult:
    if usable_weight(weight) != weight:
        return Error(f"A weight is from {MIN_WEIGHT:g} to {MAX_WEIGHT:g}.")
    accounts = []
    for account in document.accounts:
        if account.name == name:
            account = attrs.evolve(account, weight=float(weight))
        accounts.append(account)
    if name not in [account.name for account in accounts]:
        return Error(_unknown_account_text(document, name))
    return Ok(attrs.evolve(document, accounts=tuple(accounts)))


def _drop_account(document: FleetDocument, name: str) -> ChangeResult:
    accounts = tuple(a for a in document.accounts if a.name != name)
    if len(accounts) == len(document.accounts):
        return Error(_unknown_account_text(document, name))
    return Ok(attrs.evolve(document, accounts=accounts))


def _unknown_account_text(document: FleetDocument, name: str) -> str:
    advice = suggest_name(name, [account.name for account in document.accounts])
    return f"No client account is called {name!r}. {advice}"


def differences(first: FleetDocument, second: FleetDocument) -> list[dict[str, Any]]:
    """Return one row for each item that differs between two documents."""
    rows = []
    left_by_collection, right_by_collection = to_json(first), to_json(second)
    for collection, left_items in left_by_collection.items():
        left = _items_by_name(left_items)
        right = _items_by_name(right_by_collection[collection])
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


def _items_by_name(items: Any) -> dict[str, Any]:
    if isinstance(items, dict):
        return items
    return {item if isinstance(item, str) else item["name"]: item for item in items}
