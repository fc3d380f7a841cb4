"""Tests of store calls that are relayed through other routers."""

import asyncio

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import from_json, to_json
from lynxchute.fleet.relayed_store import RelayedStore
from lynxchute.fleet.store_messages import StoreReply, StoreStatus, StoreWriteRequest
from lynxchute.standins.platform_store import Outage
from lynxchute.store import (
    Changes,
    Committed,
    Conflict,
    Expected,
    HistoryLost,
    OutcomeUnknown,
    Put,
    Row,
    RowId,
    Snapshot,
    Store,
    StoreClock,
    StoreUnavailable,
    Write,
)
from lynxchute.store.era import join_version
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.support import AsyncTestCase, until

ID = RowId("t", "k", "p")
WRITE = Write((Expected(ID, 3),), (Put(ID, b"\x00\xff"),), (RowId("t", "x"),))


class FakeStore(Store):
    def __init__(self):
        self.clock = StoreClock()
        self.failure = None
        self.writes = []
        self.conflict = None

    async def write(self, write):
        self._fail()
        self.writes.append(write)
        self.clock.observe(told_ms=5_000, now=self.now(), asked_at=self.now())
        return self.conflict or Committed(7)

    async def scan(self, table, *, part=""):
        self._fail()
        return Snapshot((Row(ID, b"\x00\xff", 3),), 9)

    async def changes(self, table, *, after, wait):
        self._fail()
        return Changes((Row(ID, b"", 4, deleted=True),), 11)

    def now(self):
        return asyncio.get_running_loop().time()

    def _fail(self):
        if self.failure is not None:
            raise self.failure


class DirectPeers(Peers):
    """Pass messages between stores in one process, encoded as JSON."""

    def __init__(self, stores_by_vm):
        self.stores_by_vm = stores_by_vm
        self.silent = set()
        self.asked = []

    async def ask(self, vm, message):
        self.asked.append((vm, type(message)))
        if vm in self.silent:
            raise PeerUnreachable(vm)
        server = FakeServer()
        self.stores_by_vm[vm].serve(server)
        request = from_json(to_json(message), type(message))
        reply = await server.handlers_by_class[type(message)](request)
        return from_json(to_json(reply), type(message).REPLY)


class FakeServer:
    def __init__(self):
        self.handlers_by_class = {}


class RelayedStoreTest(AsyncTestCase):
    def with_stores(self, scenario, count=3):
        async def work():
            vms = [f"a-{number}" for number in range(1, count + 1)]
            direct = {vm: FakeStore() for vm in vms}
            stores = {}
            peers = DirectPeers(stores)
            for vm in vms:
                members = Members(Member(vm, "a", vm, "x:1"))
                for other in vms:
                    members.put(Member(other, "a", other, "x:1"))
                stores[vm] = RelayedStore(direct[vm], members, peers)
            await scenario(stores, direct, peers)

        self.run_async(work())

    def test_calls_go_directly_while_the_store_answers(self):
        async def scenario(stores, direct, peers):
            self.assertEqual(Committed(7), await stores["a-1"].write(WRITE))
            self.assertEqual([], peers.asked)

        self.with_stores(scenario)

    def test_every_call_comes_through_as_it_was(self):
        async def scenario(stores, direct, peers):
            store = stores["a-1"]
            direct["a-1"].failure = StoreUnavailable("away")
            self.assertEqual(Committed(7), await store.write(WRITE))
            written = [w for s in direct.values() for w in s.writes]
            self.assertEqual([WRITE], written)
            snapshot = await store.scan("t", part="p")
            self.assertEqual(Snapshot((Row(ID, b"\x00\xff", 3),), 9), snapshot)
            changes = await store.changes("t", after=3, wait=1.0)
            self.assertEqual(Changes((Row(ID, b"", 4, deleted=True),), 11), changes)
            self.assertEqual(5_000, direct["a-1"].clock.last_reported_ms)

        self.with_stores(scenario)

    def test_conflicts_tell_every_expected_row(self):
        async def scenario(stores, direct, peers):
            other = RowId("t", "none")
            row = Row(ID, b"newer", 8)
            for store in direct.values():
                store.conflict = Conflict({ID: row, other: None})
            direct["a-1"].failure = StoreUnavailable("away")
            write = Write((Expected(ID, 3), Expected(other, 2)))
            outcome = await stores["a-1"].write(write)
            self.assertEqual({ID: row, other: None}, outcome.rows_by_id)

        self.with_stores(scenario)

    def test_relay_that_has_not_heard_of_a_restore_is_passed_over(self):
        async def scenario(stores, direct, peers):
            store = stores["a-1"]
            direct["a-1"].failure = StoreUnavailable("away")
            store.era.observe(1)
            for other in ("a-2", "a-3"):
                direct[other].era.observe(0)
            with self.assertRaises(StoreUnavailable):
                await store.scan("t", part="p")

        self.with_stores(scenario)

    def test_relay_of_a_build_without_eras_answers_as_before(self):
        async def scenario(stores, direct, peers):
            store = stores["a-1"]
            direct["a-1"].failure = StoreUnavailable("away")
            store.era.observe(1)

            async def ask(vm, message):
                return StoreReply(StoreStatus.DONE, version=7)

            peers.ask = ask
            write = Write((Expected(ID, join_version(1, 3)),), (Put(ID, b"x"),))
            self.assertEqual(Committed(join_version(1, 7)), await store.write(write))

        self.with_stores(scenario)

    def test_expected_versions_of_two_eras_are_sent_as_the_earlier_one(self):
        write = Write(
            (
                Expected(ID, join_version(2, 3)),
                Expected(RowId("t", "x"), join_version(1, 9)),
                Expected(RowId("t", "y"), 0),
            )
        )
        decoded = StoreWriteRequest.of(write).decoded(2)
        expected = [join_version(1, 3), join_version(1, 9), 0]
        self.assertEqual(expected, [item.version for item in decoded.expected])

    def test_a_write_of_unknown_outcome_is_not_repeated(self):
        async def scenario(stores, direct, peers):
            direct["a-1"].failure = OutcomeUnknown("no answer", is_unresponsive=True)
            with self.assertRaises(OutcomeUnknown):
                await stores["a-1"].write(WRITE)
            self.assertEqual([], peers.asked)
            # The next write goes through a relay, which dies meanwhile.
            peers.silent = {"a-2", "a-3"}
            with self.assertRaises(OutcomeUnknown):
                await stores["a-1"].write(WRITE)
            self.assertEqual(1, len(peers.asked))

        self.with_stores(scenario)

    def test_a_lost_answer_does_not_make_the_store_seem_away(self):
        async def scenario(stores, direct, peers):
            direct["a-1"].failure = OutcomeUnknown("reset")
            with self.assertRaises(OutcomeUnknown):
                await stores["a-1"].write(WRITE)
            direct["a-1"].failure = None
            await stores["a-1"].write(WRITE)
            self.assertEqual([], peers.asked)

        self.with_stores(scenario)

    def test_a_router_without_the_store_does_not_ask_on(self):
        async def scenario(stores, direct, peers):
            for store in direct.values():
                store.failure = StoreUnavailable("away")
            for _ in range(5):
                with self.assertRaises(StoreUnavailable):
                    await stores["a-1"].write(WRITE)
            # Both relays were tried once; then none until the retry delay has passed.
            self.assertEqual(2, len(peers.asked))
            self.assertEqual([], [w for s in direct.values() for w in s.writes])

        self.with_stores(scenario)

    def test_the_store_is_tried_directly_again(self):
        async def scenario(stores, direct, peers):
            direct["a-1"].failure = StoreUnavailable("away")
            await stores["a-1"].write(WRITE)
            direct["a-1"].failure = None
            stores["a-1"]._direct_tried_at -= 10.0
            await stores["a-1"].changes("t", after=0, wait=0.0)
            peers.asked.clear()
            await stores["a-1"].write(WRITE)
            self.assertEqual([], peers.asked)

        self.with_stores(scenario)

    def test_a_store_that_is_back_is_found_within_half_a_second(self):
        async def scenario(stores, direct, peers):
            direct["a-1"].failure = StoreUnavailable("away")
            await stores["a-1"].write(WRITE)
            direct["a-1"].failure = None
            stores["a-1"]._direct_tried_at -= 0.5
            await stores["a-1"].scan("t")
            peers.asked.clear()
            await stores["a-1"].write(WRITE)
            self.assertEqual([], peers.asked)

        self.with_stores(scenario)

    def test_a_store_that_has_lost_its_history_is_there(self):
        async def scenario(stores, direct, peers):
            store = stores["a-1"]
            for other in direct.values():
                other.failure = StoreUnavailable("away")
            with self.assertRaises(StoreUnavailable):
                await store.write(WRITE)
            store._direct_tried_at -= 10.0
            direct["a-1"].failure = HistoryLost()
            with self.assertRaises(HistoryLost):
                await store.changes("t", after=1, wait=0.0)
            # The table can be listed directly, though no relay reaches the store.
            direct["a-1"].failure = None
            peers.asked.clear()
            self.assertEqual(9, (await store.scan("t")).version)
            self.assertEqual([], peers.asked)

        self.with_stores(scenario)

    def test_a_write_goes_over_the_wire_whole(self):
        request = StoreWriteRequest.of(WRITE)
        again = from_json(to_json(request), StoreWriteRequest)
        self.assertEqual(WRITE, again.decoded())


class CutOffRouterTest(PlatformTestCase):
    """One router is cut off from the store; the others reach it."""

    def test_it_serves_on_and_learns_what_is_new(self):
        async def scenario(deployment):
            for outage in (Outage.BUSY, Outage.RESET, Outage.SILENT):
                router = deployment.routers["a-1"]
                deployment.faults("a-1").outage = outage
                await asyncio.sleep(0.2)
                version = router.configurations.current.version + 1
                await deployment.configure(version=version)
                await until(
                    lambda router=router, version=version: (
                        router.configurations.current.version == version
                    ),
                    timeout=8,
                )
                # Uses more tokens than any limit line allows without the store.
                caller = PlatformCaller(deployment, "a-1")
                for _ in range(8):
                    status, _, _ = await caller.stream(tokens=(20_000, 60))
                    self.assertEqual(200, status, outage)
                leaving = deployment.engines[0]
                leaving.state = "draining"
                await leaving.register(deployment.store)
                entry = router.directory.entries_by_id[leaving.id]
                await until(lambda entry=entry: not entry.takes_work, timeout=8)
                leaving.state = "ready"
                await leaving.register(deployment.store)
                deployment.faults("a-1").outage = Outage.NONE
                await until(lambda entry=entry: entry.takes_work, timeout=8)

        self.with_platform(scenario, routers=("a-1", "a-2", "b-1"))
