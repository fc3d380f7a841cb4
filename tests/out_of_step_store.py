"""A store that reaches some routers, and messages between routers, in virtual time.

Calls take a while, and cuts lose requests and answers that are under way.
"""

import asyncio

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.store import (
    Changes,
    Committed,
    Conflict,
    OutcomeUnknown,
    Row,
    Snapshot,
    Store,
    StoreClock,
    StoreUnavailable,
)

HOP_SECONDS = 0.002
# Seconds until a call that gets no answer fails.
UNANSWERED_SECONDS = 0.2


class Rows:
    """The rows of the store, each call at one moment."""

    def __init__(self):
        self.rows_by_id = {}
        self.version = 0

    def write(self, write):
        found = {item.id: self._live(item.id) for item in write.expected}
        for item in write.expected:
            row = found[item.id]
            if (row.version if row else 0) != item.version:
                return Conflict(found)
        self.version += 1
        for put in write.puts:
            self.rows_by_id[put.id] = Row(put.id, put.value, self.version)
        for row_id in write.deletes:
            self.rows_by_id[row_id] = Row(row_id, b"", self.version, deleted=True)
        return Committed(self.version)

    def _live(self, row_id):
        row = self.rows_by_id.get(row_id)
        return None if row is None or row.deleted else row

    def scan(self, table, part):
        rows = []
        for row in self.rows_by_id.values():
            if row.id.table == table and row.id.part == part and not row.deleted:
                rows.append(row)
        return Snapshot(tuple(rows), self.version)

    def changes(self, table, after):
        rows = []
        for row in self.rows_by_id.values():
            if row.id.table == table and row.version > after:
                rows.append(row)
        return Changes(tuple(rows), self.version)


class DirectStore(Store):
    """The store as one router reaches it."""

    def __init__(self, fleet, vm):
        self.clock = StoreClock()
        self._fleet, self._vm = fleet, vm

    async def _call(self, operation, failure):
        fleet, hop = self._fleet, self._fleet.store_hops.get(self._vm, HOP_SECONDS)
        if self._vm in fleet.store_cuts:
            await asyncio.sleep(UNANSWERED_SECONDS)
            raise StoreUnavailable("cut off")
        await asyncio.sleep(hop)
        asked_at = fleet.loop.time() - hop
        if self._vm in fleet.store_cuts:
            await asyncio.sleep(UNANSWERED_SECONDS)
            raise failure("request lost")
        result, told_ms = operation(), int(fleet.loop.time() * 1000)
        await asyncio.sleep(hop)
        if self._vm in fleet.store_cuts:
            await asyncio.sleep(UNANSWERED_SECONDS)
            raise failure("answer lost")
        await fleet.routers[self._vm].awake.wait()
        now = fleet.loop.time()
        self.clock.observe(told_ms=told_ms, now=now, asked_at=asked_at)
        return result

    async def write(self, write):
        rows = self._fleet.rows
        return await self._call(lambda: rows.write(write), OutcomeUnknown)

    async def scan(self, table, *, part=""):
        rows = self._fleet.rows
        return await self._call(lambda: rows.scan(table, part), StoreUnavailable)

    async def changes(self, table, *, after, wait):
        rows = self._fleet.rows
        return await self._call(lambda: rows.changes(table, after), StoreUnavailable)


class FleetPeers(Peers):
    """Messages to other routers, which cuts lose and routers that stand still delay."""

    def __init__(self, fleet, router):
        self._fleet, self._router = fleet, router

    async def ask(self, vm, message):
        members = self._router.members
        try:
            async with asyncio.timeout(UNANSWERED_SECONDS):
                reply = await self._exchange(vm, message)
        except TimeoutError:
            members.record_failure(vm, self._fleet.loop.time())
            raise PeerUnreachable(vm) from None
        finally:
            await self._router.awake.wait()
        members.record_success(vm)
        return reply

    async def _exchange(self, vm, message):
        await self._cross(vm)
        other = self._fleet.routers.get(vm)
        if other is None:
            await asyncio.Event().wait()
        # What was asked is answered even if the other side has given up meanwhile.
        reply = await asyncio.shield(other.spawn(other.handle(message)))
        await self._cross(vm)
        return reply

    async def _cross(self, vm):
        await asyncio.sleep(HOP_SECONDS)
        if frozenset((vm, self._router.vm)) in self._fleet.cuts:
            await asyncio.Event().wait()
