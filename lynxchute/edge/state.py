"""JSON dump of a router's state for debugging."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lynxchute.clock import steady_seconds

if TYPE_CHECKING:
    from lynxchute.edge.application import EdgeApplication


def router_state(router: EdgeApplication) -> dict[str, Any]:
    """Return a router's state as JSON values, with ages in seconds."""
    now = steady_seconds()
    current = router.configurations.current
    return {
        "vm": router.settings.vm,
        "data_centre": router.settings.data_centre,
        "incarnation": router.members.own.incarnation,
        "ready": router.is_ready(),
        "open_requests": router.relay.open_requests,
        "load": _load(router),
        "configuration": {
            "version": current.version if current is not None else None,
            "age": _age(router.configurations.unconfirmed_seconds()),
        },
        "store_answers": router.ledger_sync.store_answers,
        "evacuated": _evacuated(router, now),
        "routers": _routers(router),
        "upstreams": _upstreams(router, now),
        "budgets": _budgets(router),
        "quarantine": _quarantine(router),
        "waiting": router.turns.describe(now) if router.turns is not None else [],
    }


def _load(router: EdgeApplication) -> dict[str, Any]:
    rows = {}
    for name, load in router.load.loads().items():
        rows[name] = {"use": round(load.use, 3), "delay": round(load.delay, 4)}
    return rows


def _age(seconds: float) -> float | None:
    """Return an age rounded for JSON, with None for infinity, which JSON lacks."""
    return None if seconds == float("inf") else round(seconds, 3)


def _evacuated(router: EdgeApplication, now: float) -> list[dict[str, Any]]:
    rows = []
    for order in router.evacuations.by_data_centre.values():
        age = round(now - order.heard_at, 3)
        rows.append({"data_centre": order.data_centre, "heard_ago": age})
    return rows


def _routers(router: EdgeApplication) -> list[dict[str, Any]]:
    rows = []
    for member in router.members.by_vm.values():
        rows.append(
            {
                "vm": member.vm,
                "incarnation": member.incarnation,
                "is_leaving": member.is_leaving,
                "answers": router.members.is_reachable(member.vm),
            }
        )
    return rows


def _upstreams(router: EdgeApplication, now: float) -> list[dict[str, Any]]:
    rows = []
    for entry in router.directory.entries_by_id.values():
        rows.append(
            {
                "upstream": entry.upstream.id,
                "service": entry.upstream.service,
                "address": entry.upstream.address,
                "software": entry.upstream.software_version,
                "takes_work": entry.takes_work,
                "open_requests": entry.open_requests,
                "cold_for": round(max(entry.cold_until - now, 0.0), 3),
                "wants": entry.backpressure.describe(now),
                "rate": entry.backpressure.rate(now),
                "bad_in_row": entry.health.bad_in_row,
                "bad_share": round(entry.health.recent_bad_share(now), 3),
                "slowness": round(router.plain_calls.slowness(entry, now), 2),
                "paused_for": round(max(entry.health.paused_until - now, 0.0), 3),
            }
        )
    return rows


def _quarantine(router: EdgeApplication) -> list[dict[str, Any]]:
    containment = router.containment
    now_ms = containment.judge.now_ms()
    rows = []
    for item in containment.quarantine.by_content.values():
        left = round((item.until_ms - now_ms) / 1000.0, 1)
        rows.append(
            {
                "content": item.content,
                "left": left,
                "times": item.times,
                "parts": list(item.parts),
            }
        )
    return rows


def _budgets(router: EdgeApplication) -> list[dict[str, Any]]:
    ledger = router.ledger_sync.ledger
    now_ms = router.ledger_sync.now_ms()
    rows = []
    for account, share in ledger.shares_by_account.items():
        rows.append(
            {
                "account": account,
                "is_home": share.is_home,
                "granted": share.terms.granted,
                "used": share.own_use,
                "reserved": share.reserved,
                "borrowed": share.borrowed,
                "available": ledger.available(account, now_ms),
                "free": ledger.free(account),
            }
        )
    return rows
