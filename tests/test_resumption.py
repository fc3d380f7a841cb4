"""Decisions about where streams began, without a network."""

import asyncio
import json

import testtools

from lynxchute.fleet.client import HttpPeers
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.messages import PingRequest
from lynxchute.fleet.origin_messages import OriginQuery
from lynxchute.fleet.server import PeerServer
from lynxchute.http.link_meter import UNLIMITED_LINK
from lynxchute.resumption.origin_memory import OriginMemory
from lynxchute.resumption.origin_owners import OriginOwners
from lynxchute.resumption.version_record import ROW_KEY, VersionRecord
from lynxchute.store import Committed, Conflict, Row, RowId, StoreClock
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.neighbourhood import FULL_SCAN_LIMIT, Neighbourhood
from lynxchute.upstreams.stream_origin import StreamOrigin
from lynxchute.upstreams.upstream import Upstream
from tests.fuzz import run
from tests.origins_machine import OriginsMachine
from tests.origins_mutants import trust_each_entry, trust_each_origin
from tests.support import AsyncTestCase

EXAMPLES, MUTANT_EXAMPLES, STEPS = 120, 400, 50
KEEP_SECONDS = 45.0


class OriginFuzzTest(testtools.TestCase):
    def test_no_stream_goes_on_at_another_version(self):
        run(EXAMPLES, STEPS, machine=OriginsMachine)

    def test_fuzzing_detects_trusted_origins_and_entries(self):
        for mutant in (trust_each_origin, trust_each_entry):
            with (
                mutant(),
                testtools.ExpectedException(AssertionError, ".*goes on at.*"),
            ):
                run(MUTANT_EXAMPLES, STEPS, shrink=False, machine=OriginsMachine)


class OriginMemoryTest(testtools.TestCase):
    def test_expired_and_oldest_origins_are_dropped(self):
        memory = OriginMemory(max_origins=100)
        for number in range(1_000):
            origin = StreamOrigin("pool", "v1")
            memory.put(str(number), origin, expires_at=number + 50.0, now=number)
        self.assertEqual(50, len(memory))
        for number in range(1_000, 2_000):
            memory.put(str(number), StreamOrigin("pool", "v1"), expires_at=1e9, now=1.0)
        self.assertEqual(100, len(memory))
        self.assertIsNone(memory.get("1899", 1.0))
        self.assertIsNotNone(memory.get("1900", 1.0))


class OwnersTest(testtools.TestCase):
    def members(self, own, vms):
        members = Members(Member(own, own[0], "1", "127.0.0.1:1"))
        for vm in vms:
            members.put(Member(vm, vm[0], "1", "127.0.0.1:1"))
        return members

    def test_the_copies_of_an_origin_are_in_two_data_centres(self):
        vms = [f"{place}-{number}" for place in "abc" for number in range(5)]
        owners = OriginOwners(self.members("a-0", vms))
        for number in range(50):
            told = owners.in_order(f"k{number}")[:2]
            self.assertGreater(len({vm[0] for vm in ("a-0", *told)}), 1)

    def test_few_routers_have_owners(self):
        self.assertEqual([], OriginOwners(self.members("a-0", [])).in_order("k"))
        self.assertEqual(
            ["b-0"], OriginOwners(self.members("a-0", ["b-0"])).in_order("k")
        )

    def test_routers_agree_on_the_owners(self):
        vms = [f"{place}-{number}" for place in "ab" for number in range(5)]
        teller = OriginOwners(self.members("a-0", vms))
        asker = OriginOwners(self.members("b-0", vms))
        for number in range(50):
            key = f"k{number}"
            told = set(teller.in_order(key)[:2])
            asked = set(asker.in_order(key)[:3])
            # The asking router itself may be one of the owners.
            self.assertLessEqual(told - {"b-0"}, asked)


class NeighbourhoodTest(testtools.TestCase):
    def test_all_upstreams_of_a_version_are_found_in_a_large_service(self):
        directory = Directory()
        for number in range(3 * FULL_SCAN_LIMIT):
            version = "rare" if number < 3 else "common"
            directory.put(
                Upstream(
                    f"i-{number}",
                    "pool",
                    f"10.0.0.1:{number + 1}",
                    "a",
                    software_version=version,
                )
            )
        found = Neighbourhood(directory).entries(
            "pool", "key", 0.0, software_version="rare"
        )
        self.assertEqual({"i-0", "i-1", "i-2"}, {e.upstream.id for e in found})


class RowStore:
    """A store of one row."""

    def __init__(self):
        self.clock = StoreClock()
        self.version, self.writes = 0, []

    async def write(self, write):
        (expected,), (put,) = write.expected, write.puts
        if expected.version != self.version:
            return Conflict({})
        self.version += 1
        self.writes.append(json.loads(put.value))
        self.row = Row(RowId("fleet", ROW_KEY), put.value, self.version)
        return Committed(self.version)


class VersionRecordTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.now, self.store = 100.0, RowStore()

    def record(self, directory, store=None):
        store = store or self.store
        store.clock.observe(told_ms=int(self.now * 1000), now=self.now)
        return VersionRecord(
            store,
            "fleet",
            Members(Member("a-1", "a", "1", "127.0.0.1:1")),
            directory,
            keep_seconds=lambda: KEEP_SECONDS,
            is_table_known=lambda: True,
            clock=lambda: self.now,
        )

    def directory(self, *versions):
        directory = Directory()
        for number, version in enumerate(versions):
            upstream = Upstream(
                f"i-{number}", "pool", "10.0.0.1:1", "a", software_version=version
            )
            directory.put(upstream, self.now)
        return directory

    def test_a_router_that_starts_learns_which_version_was_there_before(self):
        directory = self.directory("v1", "v2")
        record = self.record(directory)
        self.run_async(record.observe())
        record.handle_row(self.store.row)
        self.now += 1.0
        directory.remove("i-0", self.now)
        self.run_async(record.observe())
        self.now += 1.0
        fresh = self.directory("v2")
        other = self.record(fresh, RowStore())
        other.handle_row(self.store.row)
        since = self.now - KEEP_SECONDS
        self.assertEqual({"v1", "v2"}, fresh.versions.versions("pool", since=since))
        later = self.now + KEEP_SECONDS
        fresh.observe_versions(later)
        self.assertEqual({"v2"}, fresh.versions.versions("pool", since=later - 1.0))

    def test_a_row_is_written_once_per_change(self):
        directory = self.directory("v1")
        record = self.record(directory)
        for _ in range(5):
            self.run_async(record.observe())
            record.handle_row(self.store.row)
            self.now += 1.0
        self.assertEqual([{"pool": {"v1": None}}], self.store.writes)

    def test_a_version_is_kept_while_an_upstream_has_not_stated_its_own(self):
        directory = self.directory("v1", "v2")
        record = self.record(directory)
        self.run_async(record.observe())
        record.handle_row(self.store.row)
        entry = directory.entries_by_id["i-1"]
        entry.upstream = Upstream(
            "i-1", "pool", "10.0.0.1:1", "a", software_version=None
        )
        self.run_async(record.observe())
        self.assertEqual([{"pool": {"v1": None, "v2": None}}], self.store.writes)

    def test_an_unreadable_row_changes_nothing(self):
        directory = self.directory("v1")
        record = self.record(directory)
        for value in (b"", b"[]", b'{"pool": 1}', b'{"pool": {"v1": "x"}}', b"\xff"):
            record.handle_row(Row(RowId("fleet", ROW_KEY), value, 7))
        self.assertEqual({"v1"}, directory.versions.versions("pool", since=0.0))


class OlderBuildTest(AsyncTestCase):
    def test_a_router_that_does_not_know_a_message_counts_as_answering(self):
        async def scenario():
            server = PeerServer(lambda: "secret", UNLIMITED_LINK)

            async def ping(message):
                return PingRequest.REPLY()

            server.handlers_by_class[PingRequest] = ping
            await server.server.start("127.0.0.1", 0)
            members = Members(Member("a-1", "a", "1", "127.0.0.1:1"))
            address = f"127.0.0.1:{server.server.port}"
            members.put(Member("a-2", "a", "1", address))
            clock = asyncio.get_running_loop().time
            peers = HttpPeers(members, lambda: "secret", clock, UNLIMITED_LINK)
            try:
                await peers.ask("a-2", OriginQuery("key", "pool"))
            except Exception as error:
                self.assertIn("does not know", str(error))
            self.assertTrue(members.is_reachable("a-2"))
            peers.close()
            await server.server.kill()

        self.run_async(scenario())
