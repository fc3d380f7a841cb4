"""Tokens paid, used and counted by account, from the records of the stand-ins."""

from __future__ import annotations

from collections.abc import Mapping

from lynxchute.standins.deployment import Deployment


def paid_by_account(deployment: Deployment) -> dict[str, int]:
    """Return the prepaid tokens by account, the highest that any router knows."""
    paid: dict[str, int] = {}
    for router in deployment.routers_by_vm.values():
        current = router.configurations.current
        for account in current.accounts_by_name.values() if current else ():
            known = paid.get(account.name, 0)
            paid[account.name] = max(known, account.prepaid or 0)
    return paid


def served_by_account(deployment: Deployment) -> dict[str, int]:
    """Return the tokens that upstreams recorded as used, by account."""
    served = dict.fromkeys(deployment.shape.budgets, 0)
    tokens_by_request: dict[tuple[str, str], int] = {}
    for engine in deployment.engines_by_name.values():
        for record in engine.records():
            # A request that was resumed at another engine counts its prompt once.
            key = (record["account"], record["request_id"])
            tokens = max(tokens_by_request.get(key, 0), record["total_tokens"])
            tokens_by_request[key] = tokens
    for (account, _), tokens in tokens_by_request.items():
        served[account] += tokens
    for service in deployment.services_by_name.values():
        for record in service.records():
            served[record["account"]] += 1
    return served


def delivered_by_account(
    deployment: Deployment, output_by_request: Mapping[str, int]
) -> dict[str, int]:
    """Return the tokens that accounts owe: prompts that ran, and delivered output.

    Parameters
    ----------
    output_by_request
        Output tokens that reached the caller, by request id. All that engines made for
        other requests counts as delivered.
    """
    owed = served_by_account(deployment)
    made_by_request: dict[tuple[str, str], int] = {}
    for engine in deployment.engines_by_name.values():
        for record in engine.records():
            key = (record["account"], record["request_id"])
            made = record["completion_tokens"]
            made_by_request[key] = max(made_by_request.get(key, 0), made)
    for (account, request_id), made in made_by_request.items():
        owed[account] -= made - min(made, output_by_request.get(request_id, made))
    return owed


def counted_by_account(deployment: Deployment) -> dict[str, int]:
    """Return the tokens that the routers' ledgers count as used, by account."""
    counted = dict.fromkeys(deployment.shape.budgets, 0)
    for router in deployment.routers_by_vm.values():
        for account, share in router.ledger_sync.ledger.shares_by_account.items():
            counted[account] += share.own_use
    return counted
