"""The collections that operators can query, and where their rows come from."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from lynxchute.configurations import VERSION_PREFIX
from lynxchute.ledger import BUDGET_PREFIX, CHARGE_PREFIX
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import CollectRequest
from lynxchute.tables import Unavailable

Row = dict[str, Any]
PLATFORM = "platform"


@attrs.frozen
class Found:
    """Rows, and what they lack.

    Attributes
    ----------
    missing
        The platform or VMs that did not answer.
    missing_data_centres
        Data centres of which nothing is among the rows.
    """

    rows: list[Row]
    missing: tuple[str, ...] = ()
    missing_data_centres: tuple[str, ...] = ()


class Collections:
    """Gather the rows of collections.

    Parameters
    ----------
    node
        This incarnation.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._sources: dict[str, Callable[[], Awaitable[Found]]] = {
            "accounts": self._accounts,
            "budgets": self._budgets,
            "charges": self._charges,
            "data_centres": self._data_centres,
            "reservations": lambda: self._everywhere("reservations"),
            "routes": self._routes,
            "shares": lambda: self._everywhere("shares"),
            "upstreams": self._upstreams,
            "versions": self._versions,
            "vms": lambda: self._everywhere("vms"),
        }
        self._local: dict[str, Callable[[], list[Row]]] = {
            "reservations": self._local_reservations,
            "shares": self._local_shares,
            "vms": self._local_vms,
        }

    @property
    def columns_by_collection(self) -> dict[str, tuple[str, ...]]:
        """Return the columns of each collection."""
        return COLUMNS_BY_COLLECTION

    async def find(self, collection: str) -> Found:
        """Return the rows of a collection, from wherever they are."""
        return await self._sources[collection]()

    def local(self, collection: str) -> list[Row]:
        """Return this router's own rows of a collection."""
        source = self._local.get(collection)
        return source() if source else []

    async def _everywhere(self, collection: str) -> Found:
        """Ask every router of the fleet for its rows."""
        peers = self._node.settings.peers
        replies = await asyncio.gather(
            *[self._ask(peer.vm, collection) for peer in peers]
        )
        rows = self.local(collection)
        missing = []
        seen = {self._node.data_centre}
        for peer, reply in zip(peers, replies, strict=True):
            if reply is None:
                missing.append(peer.vm)
                continue
            rows.extend(reply)
            seen.add(peer.data_centre)
        unseen = sorted({peer.data_centre for peer in peers} - seen)
        return Found(rows, tuple(missing), tuple(unseen))

    async def _ask(self, vm: str, collection: str) -> tuple[Row, ...] | None:
        try:
            reply = await self._node.peers.ask(vm, CollectRequest(collection))
        except PeerUnreachable:
            return None
        return reply.rows

    def _local_reservations(self) -> list[Row]:
        rows = []
        for record in self._node.holder.held():
            rows.append(
                {
                    "vm": self._node.settings.vm,
                    "data_centre": self._node.data_centre,
                    "account": record.account,
                    "request_id": record.request_id,
                    "upstream": record.upstream,
                    "entry": record.entry,
                    "reserved": record.reserved if record.used is None else 0,
                    "used": record.used,
                }
            )
        return rows

    def _local_shares(self) -> list[Row]:
        rows = []
        now = self._node.now()
        for account, share in self._node.holder.shares_by_account.items():
            rows.append(
                {
                    "vm": self._node.settings.vm,
                    "data_centre": self._node.data_centre,
                    "account": account,
                    "owned": share.owned or 0,
                    "reserved": share.reserved,
                    "unbilled": share.spent,
                    "provisional": share.provisional,
                    "available": self._node.holder.available(account),
                    "tokens_per_s": int(share.rate.at(now)),
                }
            )
        return rows

    def _local_vms(self) -> list[Row]:
        node = self._node
        return [
            {
                "vm": node.settings.vm,
                "data_centre": node.data_centre,
                "incarnation": node.incarnation,
                "state": "leaving" if node.members.own.leaving else "alive",
                "version": node.configuration_version,
                "open": len(node.holder.open_by_attempt),
                "unbilled": len(node.holder.finished_by_attempt),
            }
        ]

    async def _data_centres(self) -> Found:
        found = await self._everywhere("vms")
        rows: dict[str, Row] = {}
        for vm in found.rows:
            name = vm["data_centre"]
            row = rows.setdefault(
                name, {"data_centre": name, "reachable": 1, "vms": 0, "open": 0}
            )
            row["vms"] += 1
            row["open"] += vm["open"]
        for name in found.missing_data_centres:
            rows[name] = {"data_centre": name, "reachable": 0, "vms": 0, "open": 0}
        return Found(list(rows.values()), found.missing, found.missing_data_centres)

    async def _from_platform(
        self, prefix: str, to_row: Callable[[str, Row], Row]
    ) -> Found:
        try:
            rows = await self._node.table.read(prefixes=(prefix,))
        except Unavailable:
            return Found([], (PLATFORM,))
        return Found(
            [to_row(key.removeprefix(prefix), row) for key, row in rows.items()]
        )

    async def _budgets(self) -> Found:
        return await self._from_platform(
            BUDGET_PREFIX, lambda name, row: {"account": name, **row}
        )

    async def _charges(self) -> Found:
        return await self._from_platform(
            CHARGE_PREFIX, lambda name, row: {"request_id": name, **row}
        )

    async def _versions(self) -> Found:
        return await self._from_platform(
            VERSION_PREFIX,
            lambda name, row: {
                "version": int(name),
                "operation": row["operation"],
                "operator": row["operator"],
            },
        )

    async def _accounts(self) -> Found:
        rows = []
        for account in self._node.configuration.accounts:
            rows.append({"account": account.name, "keys": len(account.key_hashes)})
        return Found(rows)

    async def _routes(self) -> Found:
        rows = []
        for route in self._node.configuration.routes:
            rows.append(
                {
                    "route": route.name,
                    "model": route.model,
                    "prefix": route.prefix,
                    "upstreams": ", ".join(route.upstreams),
                    "cost": route.cost,
                }
            )
        return Found(rows)

    async def _upstreams(self) -> Found:
        rows = []
        for upstream in self._node.configuration.upstreams:
            rows.append(
                {
                    "upstream": upstream.name,
                    "kind": upstream.kind.value,
                    "data_centre": upstream.data_centre,
                    "state": upstream.state.value,
                    "models": ", ".join(upstream.models),
                }
            )
        return Found(rows)


COLUMNS_BY_COLLECTION: dict[str, tuple[str, ...]] = {
    "accounts": ("account", "keys"),
    "budgets": ("account", "paid", "free", "granted", "charged", "written_off"),
    "charges": ("request_id", "account", "tokens", "holder", "upstream", "attempt"),
    "data_centres": ("data_centre", "reachable", "vms", "open"),
    "reservations": (
        "vm", "data_centre", "account", "request_id", "upstream", "entry",
        "reserved", "used",
    ),
    "routes": ("route", "model", "prefix", "upstreams", "cost"),
    "shares": (
        "vm", "data_centre", "account", "owned", "reserved", "unbilled",
        "provisional", "available", "tokens_per_s",
    ),
    "upstreams": ("upstream", "kind", "data_centre", "state", "models"),
    "versions": ("version", "operation", "operator"),
    "vms": (
        "vm", "data_centre", "incarnation", "state", "version", "open", "unbilled",
    ),
}  # fmt: skip
