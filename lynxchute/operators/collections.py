"""The collections that operators can query, built from rows of the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from lynxchute.budgets.rows import HOLDERS_TABLE, TOTALS_TABLE, HolderRow, Totals
from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.config.document import Version
from lynxchute.edge.platform import Platform
from lynxchute.fleet.members import Member
from lynxchute.fleet.registry import ROUTER_PREFIX, TABLE
from lynxchute.operators.evacuation_rows import COLUMNS as EVACUATION_COLUMNS
from lynxchute.operators.evacuation_rows import EvacuationRows
from lynxchute.operators.history import ConfigurationHistory
from lynxchute.operators.quarantine_row import QuarantineRow
from lynxchute.store import StoreUnavailable
from lynxchute.telemetry import log_event

Row = dict[str, Any]
STORE = "store"


@attrs.frozen
class CollectionRows:
    """Rows of a collection, and the sources that could not be read.

    Attributes
    ----------
    missing
        Names of the sources that did not answer.
    """

    rows: list[Row]
    missing: tuple[str, ...] = ()


@attrs.frozen
class _GrantSnapshot:
    """Snapshot of how the budgets are divided among routers.

    Attributes
    ----------
    now_ms
        Time of the store when the rows were read, in milliseconds.
    """

    totals_by_account: dict[str, Totals]
    holders_by_vm: dict[str, HolderRow]
    now_ms: int

    def rows(self) -> list[Row]:
        """Return one row per router and account that holds part of a budget."""
        found = []
        for vm, holder in self.holders_by_vm.items():
            for account, terms in holder.terms_by_account.items():
                written_ms = terms.line.start_ms
                age = (self.now_ms - written_ms) / 1000.0 if written_ms else None
                found.append(
                    {
                        "vm": vm,
                        "account": account,
                        "granted": terms.granted,
                        "used_at_most": terms.limit(self.now_ms),
                        "age_s": round(age, 1) if age is not None else None,
                    }
                )
        return found


class Collections:
    """Build the rows of collections from the store.

    Parameters
    ----------
    platform
        Names the store and its tables, and decodes their rows.
    evacuations
        Reads the rows of evacuated data centres.
    describe_backpressure
        Returns the backpressure that an upstream, given by id, has signalled to the
        answering router.
    software_version_of
        Returns the software version that an upstream, given by id, has stated to the
        answering router; empty if none.
    """

    def __init__(
        self,
        platform: Platform,
        evacuations: EvacuationRows,
        describe_backpressure: Callable[[str], str],
        software_version_of: Callable[[str], str],
    ) -> None:
        self._platform = platform
        self._software_version_of = software_version_of
        self._describe_backpressure = describe_backpressure
        self._store = platform.store
        self._history = ConfigurationHistory(platform.store)
        self._readers_by_collection: dict[str, Callable[[], Awaitable[list[Row]]]] = {
            "accounts": self._accounts,
            "budgets": self._budgets,
            "data_centres": self._data_centres,
            "evacuations": evacuations.rows,
            "grants": self._grant_rows,
            "quarantine": QuarantineRow(platform.store).rows,
            "routes": self._routes,
            "upstreams": self._upstreams,
            "versions": self._versions,
            "vms": self._vms,
        }

    async def read_rows(self, collection: str) -> CollectionRows:
        """Return the rows of a collection; list the store as missing if it fails."""
        try:
            return CollectionRows(await self._readers_by_collection[collection]())
        except StoreUnavailable as error:
            log_event(
                "reading rows for a query failed",
                collection=collection,
                reason=str(error),
            )
            return CollectionRows([], (STORE,))

    async def data_centre_names(self) -> set[str]:
        """Return the names of data centres that have a VM or an upstream."""
        rows = [*await self._vms(), *await self._upstreams()]
        return {row["data_centre"] for row in rows}

    async def _read_configuration(self) -> Configuration | None:
        platform = self._platform
        snapshot = await self._store.scan(platform.configuration_table)
        for row in snapshot.rows:
            if row.id.key == platform.configuration_key:
                decoded = platform.decode_configuration(row.value)
                return decoded.ok if decoded.is_ok() else None
        return None

    async def _read_grants(self) -> _GrantSnapshot:
        totals = await self._store.scan(TOTALS_TABLE)
        holders = {}
        for part in await self._holder_partitions():
            for row in (await self._store.scan(HOLDERS_TABLE, part=part)).rows:
                holders[row.id.key] = HolderRow.decode(row.value)
        return _GrantSnapshot(
            {row.id.key: Totals.decode(row.value) for row in totals.rows},
            holders,
            self._store.clock.earliest_ms(steady_seconds()),
        )

    async def _holder_partitions(self) -> list[str]:
        """Return the partitions of the holders table in which routers may have rows."""
        return ["", *[row["vm"] for row in await self._vms()]]

    async def _accounts(self) -> list[Row]:
        configuration = await self._read_configuration()
        if configuration is None:
            return []
        key_owners = [
            account.name for account in configuration.accounts_by_key.values()
        ]
        rows = []
        for account in configuration.accounts_by_name.values():
            rows.append(
                {
                    "account": account.name,
                    "keys": key_owners.count(account.name),
                    "weight": account.weight,
                }
            )
        return rows

    async def _budgets(self) -> list[Row]:
        configuration = await self._read_configuration()
        grants = await self._read_grants()
        used: dict[str, int] = {}
        for row in grants.rows():
            account = row["account"]
            used[account] = used.get(account, 0) + row["used_at_most"]
        accounts = configuration.accounts_by_name if configuration else {}
        rows = []
        for account in accounts.values():
            if account.prepaid is None:
                continue
            totals = grants.totals_by_account.get(account.name, Totals())
            rows.append(
                {
                    "account": account.name,
                    "paid": account.prepaid,
                    "granted": sum(totals.granted_by_vm.values()),
                    "withheld": sum(totals.withheld.values()),
                    "free": account.prepaid - totals.granted,
                    "used_at_most": used.get(account.name, 0),
                }
            )
        return rows

    async def _grant_rows(self) -> list[Row]:
        return (await self._read_grants()).rows()

    async def _vms(self) -> list[Row]:
        snapshot = await self._store.scan(TABLE)
        rows = []
        for row in snapshot.rows:
            if not row.id.key.startswith(ROUTER_PREFIX):
                continue
            decoded = Member.decode(row.value)
            if decoded.is_error():
                log_event("router row could not be decoded", problem=decoded.error)
                continue
            member = decoded.ok
            rows.append(
                {
                    "vm": member.vm,
                    "data_centre": member.data_centre,
                    "incarnation": member.incarnation,
                    "state": "leaving" if member.is_leaving else "registered",
                    "address": member.address,
                }
            )
        return rows

    async def _data_centres(self) -> list[Row]:
        rows: dict[str, Row] = {}
        for vm in await self._vms():
            name = vm["data_centre"]
            row = rows.setdefault(name, {"data_centre": name, "vms": 0, "leaving": 0})
            row["vms"] += 1
            row["leaving"] += vm["state"] == "leaving"
        return list(rows.values())

    async def _routes(self) -> list[Row]:
        configuration = await self._read_configuration()
        rows = []
        for route in configuration.routes if configuration else ():
            rows.append(
                {
                    "route": route.name,
                    "host": route.host,
                    "prefix": route.prefix,
                    "kind": route.kind.value,
                    "services": ", ".join(target.service for target in route.targets),
                    "priority": route.priority,
                }
            )
        return rows

    async def _upstreams(self) -> list[Row]:
        configuration = await self._read_configuration()
        upstreams = list(configuration.upstreams) if configuration else []
        table = self._platform.upstream_table
        if table:
            for row in (await self._store.scan(table)).rows:
                decoded = self._platform.decode_upstream(row)
                if decoded.is_ok():
                    upstreams.append(decoded.ok)
        rows = []
        for upstream in upstreams:
            rows.append(
                {
                    "upstream": upstream.id,
                    "service": upstream.service,
                    "data_centre": upstream.data_centre,
                    "state": "leaving" if upstream.is_leaving else "active",
                    "software": upstream.software_version
                    or self._software_version_of(upstream.id),
                    "wants": self._describe_backpressure(upstream.id),
                    "address": upstream.address,
                }
            )
        return rows

    async def _versions(self) -> list[Row]:
        snapshot = await self._history.versions()
        rows = []
        for row in snapshot.rows:
            decoded = Version.decode(row.value)
            if decoded.is_error():
                log_event(
                    "configuration version cannot be decoded", problem=decoded.error
                )
                continue
            version = decoded.ok
            rows.append(
                {
                    "version": version.number,
                    "operation": version.operation,
                    "operator": version.operator,
                }
            )
        return rows


COLUMNS_BY_COLLECTION: dict[str, tuple[str, ...]] = {
    "accounts": ("account", "keys", "weight"),
    "budgets": ("account", "paid", "granted", "withheld", "free", "used_at_most"),
    "data_centres": ("data_centre", "vms", "leaving"),
    "evacuations": EVACUATION_COLUMNS,
    "grants": ("vm", "account", "granted", "used_at_most", "age_s"),
    "quarantine": ("content", "left_s", "times", "parts", "scope", "accounts"),
    "routes": ("route", "host", "prefix", "kind", "services", "priority"),
    "upstreams": (
        "upstream",
        "service",
        "data_centre",
        "state",
        "software",
        "wants",
        "address",
    ),
    "versions": ("version", "operation", "operator"),
    "vms": ("vm", "data_centre", "incarnation", "state", "address"),
}
