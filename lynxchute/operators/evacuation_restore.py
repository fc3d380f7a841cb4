"""Write evacuation orders and revocations again that a restored store lacks."""

from __future__ import annotations

from lynxchute.edge.platform import Platform
from lynxchute.operators.evacuation_rows import REVOKED_PREFIX, ordered_at_ms
from lynxchute.operators.restore import RestorableRows
from lynxchute.store import Committed, Expected, Put, Row, RowId, TableFeed, Write
from lynxchute.store.era import era_of
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import log_event


class EvacuationRestore(RestorableRows):
    """Write again what this router knows of evacuations and the store has lost.

    A router that hears of the restore late may miss an order since it was revoked, not
    since the copy lacks it. The row of the revocation names the revoked order, so that
    such an order is not written again.

    Parameters
    ----------
    platform
        Names the store, the table and the key prefix of the rows.
    feed
        The replica of the table.
    """

    def __init__(self, platform: Platform, feed: TableFeed) -> None:
        self._store = platform.store
        self._table = platform.configuration_table
        self._prefix = platform.evacuation_prefix
        self._feed = feed
        self._listed_version = 0
        self._lost_orders: list[Row] = []
        self._lost_revocations: list[Row] = []
        self._revoked_keys: list[str] = []

    def handle_restore(self) -> None:
        """Record what the first listing of a restored store lacks."""
        self._listed_version = self._feed.version
        self._lost_orders, self._lost_revocations = [], []
        self._revoked_keys = []
        for key, row in self._feed.rows_by_key.items():
            if key.startswith(self._prefix) and row.deleted:
                self._revoked_keys.append(key)
            if row.deleted or era_of(row.version) == era_of(self._listed_version):
                continue
            if key.startswith(self._prefix):
                self._lost_orders.append(row)
            elif key.startswith(REVOKED_PREFIX):
                self._lost_revocations.append(row)

    async def restore(self) -> None:
        """Write lost orders and revocations again, unless the store has newer ones.

        Raises
        ------
        StoreUnavailable, OutcomeUnknown
            If the store cannot be reached, or its reply is lost.
        """
        for row in self._lost_revocations:
            expected = Expected(row.id, ABSENT)
            await self._store.write(Write((expected,), (Put(row.id, row.value),)))
        snapshot = await self._store.scan(self._table)
        row_by_key = {row.id.key: row for row in snapshot.rows}
        for order in self._lost_orders:
            await self._restore_order(order, row_by_key)
        for key, row in row_by_key.items():
            if not key.startswith(self._prefix) or row.version > self._listed_version:
                continue
            revocation = row_by_key.get(self._revocation_id(row).key)
            if key in self._revoked_keys or _is_revoked(row, revocation):
                await self._restore_revocation(row, revocation)

    def _revocation_id(self, order: Row) -> RowId:
        name = order.id.key.removeprefix(self._prefix)
        return RowId(self._table, REVOKED_PREFIX + name)

    async def _restore_order(self, order: Row, row_by_key: dict[str, Row]) -> None:
        """Write an order again unless the store has it, or has its revocation."""
        name = order.id.key.removeprefix(self._prefix)
        revocation_id = self._revocation_id(order)
        revocation = row_by_key.get(revocation_id.key)
        if _is_revoked(order, revocation):
            return
        expected = (
            Expected(order.id, ABSENT),
            Expected(revocation_id, revocation.version if revocation else ABSENT),
        )
        write = Write(expected, (Put(order.id, order.value),))
        if isinstance(await self._store.write(write), Committed):
            log_event("evacuation written again", data_centre=name)

    async def _restore_revocation(self, order: Row, revocation: Row | None) -> None:
        """Delete an order of the copy that was revoked since."""
        name = order.id.key.removeprefix(self._prefix)
        puts: tuple[Put, ...] = (Put(self._revocation_id(order), order.value),)
        if _is_revoked(order, revocation):
            # The row names this order already, or a later one.
            puts = ()
        write = Write((Expected(order.id, order.version),), puts, (order.id,))
        if isinstance(await self._store.write(write), Committed):
            log_event("evacuation revoked again", data_centre=name)


def _is_revoked(order: Row, revocation: Row | None) -> bool:
    """Return whether a revocation is one of this order or of a later one."""
    if revocation is None:
        return False
    if revocation.value == order.value:
        return True
    ordered, revoked = ordered_at_ms(order), ordered_at_ms(revocation)
    return ordered is not None and revoked is not None and ordered < revoked
