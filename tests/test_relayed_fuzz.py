"""Fuzz tests of relayed store calls, with asymmetric partitions and lost answers."""

import asyncio
import enum

import hypothesis.strategies as st
from hypothesis import given, settings

from lynxchute.bench.memory_rows import MemoryRows
from lynxchute.fleet.client import PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.relayed_store import RelayedStore
from lynxchute.store import (
    Changes,
    Committed,
    Conflict,
    Expected,
    HistoryLost,
    OutcomeUnknown,
    Put,
    RowId,
    Snapshot,
    Store,
    StoreClock,
    StoreUnavailable,
    Write,
)
from tests.support import AsyncTestCase
from tests.test_relayed_store import DirectPeers

VMS = ("a-1", "a-2", "b-1")
TABLE = "t"


class Link(enum.Enum):
    """The state of a link: whether requests and their answers get through."""

    UP = "up"
    REFUSED = "refused"
    LOST = "lost"
    ANSWER_LOST = "answer lost"


LINKS = st.sampled_from([Link.UP, Link.UP, Link.UP, *Link])
STEPS = st.one_of(
    st.tuples(st.just("store"), st.sampled_from(VMS), LINKS),
    st.tuples(st.just("peer"), st.permutations(VMS), LINKS),
    st.tuples(st.just("write"), st.sampled_from(VMS), st.integers(0, 2)),
    st.tuples(st.just("stale write"), st.sampled_from(VMS), st.integers(0, 2)),
    st.tuples(st.just("scan"), st.sampled_from(VMS), st.none()),
    st.tuples(st.just("changes"), st.sampled_from(VMS), st.integers(0, 9)),
    st.tuples(st.just("wait"), st.none(), st.floats(0.0, 3.0)),
    st.tuples(st.just("forget"), st.none(), st.none()),
)


class ReferenceStore:
    """The reference store; counts how often each value was written."""

    def __init__(self):
        self.rows = MemoryRows()
        self.writes_by_value = {}
        self.pruned_version = 0

    def write(self, write):
        outcome = self.rows.write(write)
        if isinstance(outcome, Committed):
            for put in write.puts:
                writes = self.writes_by_value.get(put.value, 0)
                self.writes_by_value[put.value] = writes + 1
        return outcome

    def scan(self):
        rows = sorted(self.rows.rows_by_id.values(), key=lambda row: row.id.key)
        return Snapshot(tuple(rows), self.rows.version)


class FaultyStore(Store):
    """A router's direct connection to the store, which may fail."""

    def __init__(self, reference):
        self.clock = StoreClock()
        self.link = Link.UP
        self._reference = reference

    async def write(self, write):
        await asyncio.sleep(0)
        if self.link is Link.REFUSED:
            raise StoreUnavailable("refused")
        if self.link is Link.LOST:
            raise OutcomeUnknown("lost", is_unresponsive=True)
        outcome = self._reference.write(write)
        if self.link is Link.ANSWER_LOST:
            raise OutcomeUnknown("answer lost", is_unresponsive=True)
        return outcome

    async def scan(self, table, *, part=""):
        self._read()
        return self._reference.scan()

    async def changes(self, table, *, after, wait):
        self._read()
        if after < self._reference.pruned_version:
            raise HistoryLost
        rows = [row for row in self._reference.scan().rows if row.version > after]
        return Changes(tuple(rows), self._reference.rows.version)

    def _read(self):
        if self.link is not Link.UP:
            raise StoreUnavailable(self.link.value)


class FaultyPeers(DirectPeers):
    """The links from one router to the others, each of which can fail separately."""

    def __init__(self, own, stores_by_vm, links):
        super().__init__(stores_by_vm)
        self._own = own
        self._links = links

    async def ask(self, vm, message):
        link = self._links.get((self._own, vm), Link.UP)
        if link in (Link.REFUSED, Link.LOST):
            raise PeerUnreachable(vm)
        reply = await super().ask(vm, message)
        if link is Link.ANSWER_LOST:
            raise PeerUnreachable(vm)
        return reply


class Fleet:
    def __init__(self, case):
        self.case = case
        self.now = 100.0
        self.reference = ReferenceStore()
        self.links = {}
        self.direct = {vm: FaultyStore(self.reference) for vm in VMS}
        self.stores = {}
        for vm in VMS:
            members = Members(Member(vm, vm[0], vm, "x:1"))
            for other in VMS:
                members.put(Member(other, other[0], other, "x:1"))
            peers = FaultyPeers(vm, self.stores, self.links)
            self.stores[vm] = RelayedStore(
                self.direct[vm], members, peers, lambda: self.now
            )
        self.refused = []
        self.unknown = []
        self.value_count = 0

    async def step(self, kind, vm, what):
        if kind == "store":
            self.direct[vm].link = what
        elif kind == "peer":
            self.links[vm[0], vm[1]] = what
        elif kind == "wait":
            self.now += what
        elif kind == "forget":
            self.reference.pruned_version = self.reference.rows.version
        elif kind == "scan":
            await self.scan(vm)
        elif kind == "changes":
            await self.changes(vm, what)
        else:
            await self.write(vm, f"k{what}", stale=kind == "stale write")

    async def write(self, vm, key, *, stale):
        self.value_count += 1
        value = f"v{self.value_count}".encode()
        row_id = RowId(TABLE, key)
        row = self.reference.rows.get(row_id)
        version = (row.version if row else 0) + (1 if stale else 0)
        write = Write((Expected(row_id, version),), (Put(row_id, value),))
        try:
            outcome = await self.stores[vm].write(write)
        except StoreUnavailable:
            self.refused.append(value)
            return
        except OutcomeUnknown:
            self.unknown.append(value)
            return
        now = self.reference.rows.get(row_id)
        if isinstance(outcome, Conflict):
            self.case.assertEqual({row_id: now}, outcome.rows_by_id)
            self.refused.append(value)
            return
        self.case.assertEqual((value, outcome.version), (now.value, now.version))
        self.case.assertEqual(1, self.reference.writes_by_value[value])

    async def scan(self, vm):
        try:
            found = await self.stores[vm].scan(TABLE)
        except StoreUnavailable:
            return
        self.case.assertEqual(self.reference.scan(), found)

    async def changes(self, vm, after):
        try:
            found = await self.stores[vm].changes(TABLE, after=after, wait=0.0)
        except (StoreUnavailable, HistoryLost):
            return
        rows = [row for row in self.reference.scan().rows if row.version > after]
        self.case.assertEqual(tuple(rows), found.rows)

    def check(self):
        writes = self.reference.writes_by_value
        for value in self.refused:
            self.case.assertNotIn(value, writes)
        for value in self.unknown:
            self.case.assertLessEqual(writes.get(value, 0), 1)


class RelayedFuzzTest(AsyncTestCase):
    @given(st.lists(STEPS, max_size=40))
    @settings(max_examples=300)
    def test_every_answer_is_the_stores_own_and_no_write_comes_twice(self, steps):
        async def work():
            fleet = Fleet(self)
            for step in steps:
                await fleet.step(*step)
                fleet.check()

        self.run_async(work())

    def test_where_one_router_has_the_store_all_have_it(self):
        async def work():
            fleet = Fleet(self)
            for vm in ("a-1", "b-1"):
                fleet.direct[vm].link = Link.REFUSED
            for vm in VMS:
                await fleet.write(vm, "k0", stale=False)
            self.assertEqual(([], []), (fleet.refused, fleet.unknown))
            self.assertEqual(3, len(fleet.reference.writes_by_value))

        self.run_async(work())
