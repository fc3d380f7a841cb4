"""Find VMs whose use of budgets is not known in full after a restore of the store."""

from __future__ import annotations

from lynxchute.budgets import Ledger
from lynxchute.budgets.audit import MAX_SILENCE_MS, is_incomplete
from lynxchute.budgets.rows import HOLDERS_TABLE, HolderRow, RowDecodeError
from lynxchute.clock import steady_seconds
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.registry import Registry
from lynxchute.store import Store
from lynxchute.telemetry import log_event


class RestoreAuditor:
    """Audit the rows of routers before grants rise after a restore of the store.

    Parameters
    ----------
    ledger
        This router's ledger, which withholds what the routers may have used.
    store
        The store that holds the rows.
    members, registry
        The registered routers, and what registers this one.
    """

    def __init__(
        self, ledger: Ledger, store: Store, members: Members, registry: Registry
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._members = members
        self._registry = registry
        self._members_before_restore: list[Member] = []

    def restored_ms(self) -> int | None:
        """Return when the fleet noticed the store's newest era, on the store's clock.

        None if that is unknown.
        """
        now = steady_seconds()
        seconds = self._registry.era_mark.seconds(now)
        if not seconds:
            return None
        # Longer times make no difference, and a first start counts as an infinite one.
        ms = min(seconds * 1000, 2 * MAX_SILENCE_MS)
        return self._store.clock.earliest_ms(now) - int(ms)

    @property
    def is_done(self) -> bool:
        """Return whether the rows have been audited since the last restore."""
        return self._ledger.audit.era >= self._store.era.current

    def record_restore(self) -> None:
        """Remember the members, as the restored store may lack some of them."""
        self._members_before_restore = list(self._members.by_vm.values())

    async def audit(self) -> None:
        """Read the rows once grants may rise, and update what is known of them.

        Raises
        ------
        StoreUnavailable
            If the store cannot be read. Grants must not rise then.
        """
        audit, era = self._ledger.audit, self._store.era.current
        if audit.era < era and not self._ledger.are_grants_held(steady_seconds()):
            audit.record(era, await self._incomplete_vms(era))
            self._members_before_restore = []
            log_event("budgets audited", era=era, incomplete=sorted(audit.vms))
        for vm in audit.vms:
            member = self._members.by_vm.get(vm)
            if member is not None and (member.budget_era or 0) >= audit.era:
                audit.record_complete(vm)
                log_event("budgets of a router complete again", era=era, peer=vm)

    def announce(self) -> None:
        """Register the era up to which this router has written all that it used."""
        era = self._ledger.complete_era
        if era > (self._members.own.budget_era or 0):
            self._registry.announce_budget_era(era)

    async def _incomplete_vms(self, era: int) -> list[str]:
        if self._registry.era_mark.is_new_fleet:
            return []
        vms = self._vms_behind(era)
        rows_by_vm = await self._read_rows(vms)
        restored_ms = self.restored_ms()
        incomplete = []
        for vm in vms:
            if is_incomplete(rows_by_vm.get(vm), era, restored_ms):
                incomplete.append(vm)
        return incomplete

    def _vms_behind(self, era: int) -> set[str]:
        """Return the VMs whose routers have not registered that they wrote again."""
        missing = []
        for member in self._members_before_restore:
            if member.vm not in self._members.by_vm:
                missing.append(member)
        vms = set()
        for member in [*self._members.by_vm.values(), *missing]:
            if member.budget_era is not None and member.budget_era < era:
                vms.add(member.vm)
        vms.discard(self._ledger.vm)
        if not self._ledger.is_complete:
            vms.add(self._ledger.vm)
        return vms

    async def _read_rows(self, vms: set[str]) -> dict[str, HolderRow]:
        is_partitioned = bool(self._ledger.store_partition)
        rows_by_vm = {}
        for partition in sorted(vms) if is_partitioned else [""] if vms else []:
            snapshot = await self._store.scan(HOLDERS_TABLE, part=partition)
            for row in snapshot.rows:
                try:
                    rows_by_vm[row.id.key] = HolderRow.decode(row.value)
                except RowDecodeError as error:
                    log_event(
                        "budget row not decoded", peer=row.id.key, problem=str(error)
                    )
        return rows_by_vm
