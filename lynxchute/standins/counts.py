"""What was paid, served and counted, from the stand-ins' own records."""

from __future__ import annotations

from lynxchute.standins.deployment import Deployment


def paid_by_account(deployment: Deployment) -> dict[str, int]:
    """Return what was paid, as the newest version in force says."""
    paid: dict[str, int] = {}
    for router in deployment.routers_by_vm.values():
        current = router.configurations.current
        for account in current.accounts_by_name.values() if current else ():
            known = paid.get(account.name, 0)
            paid[account.name] = max(known, account.prepaid or 0)
    return paid


def served_by_account(deployment: Deployment) -> dict[str, int]:
    """Return the tokens that upstreams truly used, by account."""
    served = dict.fromkeys(deployment.shape.budgets, 0)
    most_by_request: dict[tuple[str, str], int] = {}
    for engine in deployment.engines_by_name.values():
        for record in engine.records():
            # A request that went on elsewhere counts its prompt once.
            key = (record["account"], record["request_id"])
            tokens = max(most_by_request.get(key, 0), record["total_tokens"])
            most_by_request[key] = tokens
    for (account, _), tokens in most_by_request.items():
        served[account] += tokens
    for service in deployment.services_by_name.values():
        for record in service.records():
            served[record["account"]] += 1
    return served


def counted_by_account(deployment: Deployment) -> dict[str, int]:
    """Return what the routers count as used, by account."""
    counted = dict.fromkeys(deployment.shape.budgets, 0)
    for router in deployment.routers_by_vm.values():
        for account, share in router.ledger_sync.ledger.shares_by_account.items():
            counted[account] += share.own_use
    return counted
