"""The store through other routers, fuzzed with one-way cuts and lost answers."""

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


class Way(enum.Enum):
    """What becomes of a question on its way there, and of its answer."""

    UP = "up"
    REFUSED = "refused"
    LOST = "lost"
    ANSWER_LOST = "answer lost"


WAYS = st.sampled_from([Way.UP, Way.UP, Way.UP, *Way])
STEPS = st.one_of(
    st.tuples(st.just("store"), st.sampled_from(VMS), WAYS),
    st.tuples(st.just("peer"), st.permutations(VMS), WAYS),
    st.tuples(st.just("write"), st.sampled_from(VMS), st.integers(0, 2)),
    st.tuples(st.just("stale write"), st.sampled_from(VMS), st.integers(0, 2)),
    st.tuples(st.just("scan"), st.sampled_from(VMS), st.none()),
    st.tuples(st.just("changes"), st.sampled_from(VMS), st.integers(0, 9)),
    st.tuples(st.just("wait"), st.none(), st.floats(0.0, 3.0)),
    st.tuples(st.just("forget"), st.none(), st.none()),
)


class Truth:
    """The store itself; counts how often each value was written."""

    def __init__(self):
        self.rows = MemoryRows()
        self.times_by_value = {}
        self.forgotten = 0

    def write(self, write):
        outcome = self.rows.write(write)
        if isinstance(outcome, Committed):
            for put in write.puts:
                times = self.times_by_value.get(put.value, 0)
                self.times_by_value[put.value] = times + 1
        return outcome

    def scan(self):
        rows = sorted(self.rows.rows_by_id.values(), key=lambda row: row.id.key)
        return Snapshot(tuple(rows), self.rows.version)


class CutStore(Store):
    """A router's own way to the store."""

    def __init__(self, truth):
        self.clock = StoreClock()
        self.way = Way.UP
        self._truth = truth

    async def write(self, write):
        await asyncio.sleep(0)
        if self.way is Way.REFUSED:
            raise StoreUnavailable("refused")
        if self.way is Way.LOST:
            raise OutcomeUnknown("lost", is_unresponsive=True)
        outcome = self._truth.write(write)
        if self.way is Way.ANSWER_LOST:
            raise OutcomeUnknown("answer lost", is_unresponsive=True)
        return outcome

    async def scan(self, table, *, part=""):
        self._read()
        return self._truth.scan()

    async def changes(self, table, *, after, wait):
        self._read()
        if after < self._truth.forgotten:
            raise HistoryLost
        rows = [row for row in self._truth.scan().rows if row.version > after]
        return Changes(tuple(rows), self._truth.rows.version)

    def _read(self):
        if self.way is not Way.UP:
            raise StoreUnavailable(self.way.value)


class CutPeers(DirectPeers):
    """The ways from one router to the others, each with a state of its own."""

    def __init__(self, own, stores_by_vm, ways):
        super().__init__(stores_by_vm)
        self._own = own
        self._ways = ways

    async def ask(self, vm, message):
        way = self._ways.get((self._own, vm), Way.UP)
        if way in (Way.REFUSED, Way.LOST):
            raise PeerUnreachable(vm)
        reply = await super().ask(vm, message)
        if way is Way.ANSWER_LOST:
            raise PeerUnreachable(vm)
        return reply


class Fleet:
    def __init__(self, case):
        self.case = case
        self.now = 100.0
        self.truth = Truth()
        self.ways = {}
        self.direct = {vm: CutStore(self.truth) for vm in VMS}
        self.stores = {}
        for vm in VMS:
            members = Members(Member(vm, vm[0], vm, "x:1"))
            for other in VMS:
                members.put(Member(other, other[0], other, "x:1"))
            peers = CutPeers(vm, self.stores, self.ways)
            self.stores[vm] = RelayedStore(
                self.direct[vm], members, peers, lambda: self.now
            )
        self.refused = []
        self.unsure = []
        self.values = 0

    async def step(self, kind, who, what):
        if kind == "store":
            self.direct[who].way = what
        elif kind == "peer":
            self.ways[who[0], who[1]] = what
        elif kind == "wait":
            self.now += what
        elif kind == "forget":
            self.truth.forgotten = self.truth.rows.version
        elif kind == "scan":
            await self.scan(who)
        elif kind == "changes":
            await self.changes(who, what)
        else:
            await self.write(who, f"k{what}", stale=kind == "stale write")

    async def write(self, vm, key, *, stale):
        self.values += 1
        value = f"v{self.values}".encode()
        row_id = RowId(TABLE, key)
        row = self.truth.rows.get(row_id)
        version = (row.version if row else 0) + (1 if stale else 0)
        write = Write((Expected(row_id, version),), (Put(row_id, value),))
        try:
            outcome = await self.stores[vm].write(write)
        except StoreUnavailable:
            self.refused.append(value)
            return
        except OutcomeUnknown:
            self.unsure.append(value)
            return
        now = self.truth.rows.get(row_id)
        if isinstance(outcome, Conflict):
            self.case.assertEqual({row_id: now}, outcome.rows_by_id)
            self.refused.append(value)
            return
        self.case.assertEqual((value, outcome.version), (now.value, now.version))
        self.case.assertEqual(1, self.truth.times_by_value[value])

    async def scan(self, vm):
        try:
            found = await self.stores[vm].scan(TABLE)
        except StoreUnavailable:
            return
        self.case.assertEqual(self.truth.scan(), found)

    async def changes(self, vm, after):
        try:
            found = await self.stores[vm].changes(TABLE, after=after, wait=0.0)
        except (StoreUnavailable, HistoryLost):
            return
        rows = [row for row in self.truth.scan().rows if row.version > after]
        self.case.assertEqual(tuple(rows), found.rows)

    def check(self):
        times = self.truth.times_by_value
        for value in self.refused:
            self.case.assertNotIn(value, times)
        for value in self.unsure:
            self.case.assertLessEqual(times.get(value, 0), 1)


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
                fleet.direct[vm].way = Way.REFUSED
            for vm in VMS:
                await fleet.write(vm, "k0", stale=False)
            self.assertEqual(([], []), (fleet.refused, fleet.unsure))
            self.assertEqual(3, len(fleet.truth.times_by_value))

        self.run_async(work())
