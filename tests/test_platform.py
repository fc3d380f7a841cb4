"""Tests of the platform's decoders and of its store client under faults."""

import asyncio
import json

import hypothesis.strategies as st
import testtools
from hypothesis import given, settings

from lynxchute.config import RequestKind
from lynxchute.platform.configuration import decode_configuration
from lynxchute.platform.settings import METRICS_VARIABLE, decode_settings
from lynxchute.platform.store import PlatformStore
from lynxchute.platform.upstreams import decode_upstream
from lynxchute.standins.platform_store import Outage, PlatformStoreStandin
from lynxchute.store import (
    Committed,
    Conflict,
    Expected,
    HistoryLost,
    OutcomeUnknown,
    Put,
    Row,
    RowId,
    StoreRefused,
    StoreUnavailable,
    TableFeed,
    Write,
)
from lynxchute.store.feed import MISSED_SECONDS, FeedTimes
from tests.platform_support import HOST, KEY, configuration, route
from tests.support import AsyncTestCase, until

SETTINGS_TEXT = """
node_name: "front-hall-a-1"
zone: "hall-a"
zones: {hall-a: "south", hall-b: "south"}
listen: {front: "10.1.0.40:8227", ready: "10.1.0.40:8220"}
ip: "10.1.0.40"
internal_ports: [7340, 7355]
bootstrap: true
limits: {memory_mb: 150}
bounds: {grace_s: 8, drain_timeout_ms: 2000, retry_budget_ratio: 0.2}
platform: {address: "10.200.1.7:8223"}
unheard_of: [1, 2]
"""


class SettingsTest(testtools.TestCase):
    def test_decodes_fields(self):
        found = decode_settings(SETTINGS_TEXT, {METRICS_VARIABLE: "9464"}).ok
        self.assertEqual("front-hall-a-1", found.vm)
        self.assertEqual(("hall-a", "hall-b"), found.data_centres)
        self.assertEqual("10.1.0.40:7340", str(found.peers))
        self.assertEqual("10.1.0.40:9464", str(found.metrics))
        self.assertEqual("10.200.1.7:8223", found.store)
        self.assertEqual((8.0, 2.0), (found.bounds.stop, found.bounds.drain))
        # Bounds missing from the file keep their defaults.
        self.assertEqual(10.0, found.bounds.retry_window)
        self.assertTrue(found.is_first_start)

    def test_reports_all_findings_at_once(self):
        text = "node_name: a\nlisten: {front: nowhere}\ninternal_ports: none\n"
        findings = decode_settings(text, {METRICS_VARIABLE: "x"}).error
        self.assertGreater(len(findings), 5)
        self.assertTrue(any("listen.front" in finding for finding in findings))

    @given(st.text(max_size=80))
    @settings(max_examples=150)
    def test_arbitrary_text_is_an_error(self, text):
        self.assertTrue(decode_settings(text, {}).is_error())


class ConfigurationTest(testtools.TestCase):
    def decode(self, **overrides):
        return decode_configuration(json.dumps(configuration(**overrides)).encode())

    def test_routes_services_and_accounts(self):
        found = self.decode(version=4).ok
        self.assertEqual(4, found.version)
        stream = found.find_route(HOST, "/stream/a")
        self.assertEqual(RequestKind.STREAM, stream.kind)
        self.assertTrue(stream.is_generation and stream.is_resumable)
        self.assertEqual((3.0, 0.4), (stream.timeout, stream.latency_objective))
        self.assertFalse(found.find_route(HOST, "/once/a").is_repeatable)
        self.assertTrue(found.find_route(HOST, "/safe/a").is_repeatable)
        self.assertFalse(found.find_route(HOST, "/unsafe/a").is_repeatable)
        self.assertEqual(3, found.services_by_name["pool"].engine.tokens_per_event)
        self.assertEqual(1_000_000, found.accounts_by_key[KEY].prepaid)
        self.assertEqual(0.5, found.limits.header_timeout)

    def test_longest_prefix_of_the_host_wins(self):
        routes = [
            route("short", "/a/", "app", "safe"),
            route("long", "/a/b/", "app", "safe"),
            route("other", "/a/b/c/", "app", "safe", host="other.example"),
        ]
        found = self.decode(routes=routes).ok
        self.assertEqual("long", found.find_route(HOST, "/a/b/c/d").name)
        self.assertEqual("short", found.find_route(HOST.upper(), "/a/bc").name)
        self.assertIsNone(found.find_route(HOST, "/a"))
        self.assertIsNone(found.find_route("no.example", "/a/b/"))

    def test_traffic_split_becomes_weighted_targets(self):
        split = [{"service": "app", "weight": 90}, {"service": "pool", "weight": 10}]
        plain = route("r", "/a/", "", "safe", traffic_split=split)
        found = self.decode(routes=[plain]).ok
        targets = [(t.service, t.weight) for t in found.routes[0].targets]
        self.assertEqual([("app", 90.0), ("pool", 10.0)], targets)

    @given(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(("version", "routes", "services", "tenants")),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=8,
        )
    )
    @settings(max_examples=150)
    def test_arbitrary_document_never_raises(self, document):
        result = decode_configuration(json.dumps(document).encode())
        self.assertTrue(result.is_ok() or result.error)

    def test_upstreams_not_ready_are_leaving(self):
        entry = {
            "service": "app",
            "address": "1.2.3.4:5",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        for state, leaving in (("ready", False), ("draining", True), ("new", True)):
            value = json.dumps({**entry, "state": state}).encode()
            row = Row(RowId("servers", "i-1"), value, 3)
            found = decode_upstream(row).ok
            self.assertEqual(("i-1", leaving), (found.id, found.is_leaving))
        broken = Row(RowId("servers", "i-1"), b"{}", 3)
        self.assertTrue(decode_upstream(broken).is_error())


ROW_ID = RowId("own", "k")


class StoreTest(AsyncTestCase):
    def run_with_store(self, scenario):
        async def work():
            standin = PlatformStoreStandin()
            port = await standin.open_port()
            store = PlatformStore(f"127.0.0.1:{port}")
            try:
                await scenario(standin, store, standin.faults_by_port[port])
            finally:
                store.close()
                await standin.close()

        self.run_async(work())

    def test_writes_check_expected_versions(self):
        async def scenario(standin, store, faults):
            first = Write((Expected(ROW_ID, 0),), (Put(ROW_ID, b"one"),))
            outcome = await store.write(first)
            self.assertIsInstance(outcome, Committed)
            second = await store.write(first)
            self.assertIsInstance(second, Conflict)
            self.assertEqual(b"one", second.rows_by_id[ROW_ID].value)
            other = RowId("own", "missing")
            both = Write((Expected(ROW_ID, 99), Expected(other, 0)), (Put(other, b""),))
            found = (await store.write(both)).rows_by_id
            self.assertEqual(
                (outcome.version, None), (found[ROW_ID].version, found[other])
            )
            deletion = Write((Expected(ROW_ID, outcome.version),), deletes=(ROW_ID,))
            self.assertIsInstance(await store.write(deletion), Committed)
            self.assertIsNone(standin.value("own", "k"))

        self.run_with_store(scenario)

    def test_failures_tell_whether_a_write_may_be_applied(self):
        async def scenario(standin, store, faults):
            write = Write(puts=(Put(ROW_ID, b"x"),))
            for outage in (Outage.BUSY, Outage.MANY):
                faults.outage = outage
                with self.assertRaises(StoreUnavailable):
                    await store.write(write)
                with self.assertRaises(StoreUnavailable):
                    await store.scan("own")
            faults.outage = Outage.RESET
            with self.assertRaises(OutcomeUnknown):
                await store.write(write)
            faults.outage = Outage.NONE
            self.assertIsNone(standin.value("own", "k"))
            faults.lost_share = 1.0
            with self.assertRaises(OutcomeUnknown):
                await store.write(write)
            self.assertEqual(b"x", standin.value("own", "k"))
            faults.lost_share = 0.0
            foreign = Write(puts=(Put(RowId("servers", "k"), b""),))
            with self.assertRaises(StoreRefused):
                await store.write(foreign)

        self.run_with_store(scenario)

    def test_refused_connection_means_write_not_applied(self):
        async def work():
            store = PlatformStore("127.0.0.1:9")
            with self.assertRaises(StoreUnavailable):
                await store.write(Write(puts=(Put(ROW_ID, b"x"),)))

        self.run_async(work())

    def test_late_write_fails_if_its_version_is_outdated(self):
        async def scenario(standin, store, faults):
            faults.late_share, faults.late_seconds = 1.0, 0.1
            with self.assertRaises(OutcomeUnknown):
                await store.write(
                    Write((Expected(ROW_ID, 0),), (Put(ROW_ID, b"late"),))
                )
            faults.late_share = 0.0
            await store.write(Write((Expected(ROW_ID, 0),), (Put(ROW_ID, b"own"),)))
            await asyncio.sleep(0.2)
            self.assertEqual(b"own", standin.value("own", "k"))

        self.run_with_store(scenario)

    def test_long_tables_are_scanned_in_pages(self):
        async def scenario(standin, store, faults):
            for number in range(1203):
                await standin.put("own", f"{number:05}", b"x")
            snapshot = await store.scan("own")
            self.assertEqual(1203, len({row.id.key for row in snapshot.rows}))

        self.run_with_store(scenario)

    def test_returns_changes_or_reports_lost_history(self):
        async def scenario(standin, store, faults):
            before = await standin.put("own", "a", b"1")
            pending = asyncio.create_task(store.changes("own", after=before, wait=2.0))
            await asyncio.sleep(0.02)
            await standin.put("other", "a", b"no")
            await standin.drop("own", "a")
            changes = await pending
            self.assertEqual(
                [("a", True)], [(r.id.key, r.deleted) for r in changes.rows]
            )
            nothing = await store.changes("own", after=changes.version, wait=0.0)
            self.assertEqual((), nothing.rows)
            standin.discard_history()
            with self.assertRaises(HistoryLost):
                await store.changes("own", after=before, wait=0.0)

        self.run_with_store(scenario)

    def test_estimated_store_time_is_never_ahead(self):
        async def scenario(standin, store, faults):
            await store.scan("own")
            loop = asyncio.get_running_loop()
            for _ in range(20):
                now = loop.time()
                self.assertLessEqual(store.clock.earliest_ms(now), now * 1000 + 1)
                await asyncio.sleep(0.005)

        self.run_with_store(scenario)


class FeedTest(AsyncTestCase):
    def run_with_feed(self, scenario):
        async def work():
            standin = PlatformStoreStandin()
            port = await standin.open_port()
            store = PlatformStore(f"127.0.0.1:{port}")
            changes = []
            feed = TableFeed(
                store,
                "own",
                times=FeedTimes(wait=0.2, retry=0.02),
                on_row=changes.append,
            )
            await standin.put("own", "first", b"1")
            await feed.start()
            await feed.synced.wait()
            try:
                await scenario(standin, feed, standin.faults_by_port[port])
            finally:
                await feed.stop()
                store.close()
                await standin.close()

        self.run_async(work())

    def test_follows_puts_and_deletes(self):
        async def scenario(standin, feed, faults):
            await standin.put("own", "second", b"2")
            await standin.drop("own", "first")
            await until(lambda: [r.id.key for r in feed.live_rows()] == ["second"])

        self.run_with_feed(scenario)

    def test_rescans_after_lost_history(self):
        async def scenario(standin, feed, faults):
            faults.outage = Outage.BUSY
            await until(lambda: feed.unavailable_since is not None)
            await standin.drop("own", "first")
            await standin.put("own", "second", b"2")
            standin.discard_history()
            faults.outage = Outage.NONE
            await until(lambda: [r.id.key for r in feed.live_rows()] == ["second"])
            self.assertIsNone(feed.unavailable_since)

        self.run_with_feed(scenario)

    def test_long_outage_is_followed_by_a_scan_not_a_replay(self):
        async def scenario(standin, feed, faults):
            faults.outage = Outage.BUSY
            await until(lambda: feed.unavailable_since is not None)
            feed.unavailable_since -= MISSED_SECONDS
            for number in range(40):
                await standin.put("own", "first", b"%d" % number)
            received = []
            feed._on_row = received.append
            faults.outage = Outage.NONE
            await until(lambda: feed.rows_by_key["first"].value == b"39")
            self.assertEqual([b"39"], [row.value for row in received])

        self.run_with_feed(scenario)

    def test_page_with_changes_does_not_confirm_currency(self):
        async def scenario(standin, feed, faults):
            await until(lambda: feed.confirmed_at > feed.listed_at)
            # A page with changes does not confirm that the feed is current; the next,
            # empty one does.
            faults.delay = 0.1
            feed.confirmed_at = float("-inf")
            await standin.put("own", "second", b"2")
            await until(lambda: len(feed.live_rows()) == 2)
            self.assertEqual(float("-inf"), feed.confirmed_at)
            self.assertTrue(await self.confirm_current(feed, within=0.05, patience=1.0))
            self.assertGreater(feed.confirmed_at, 0.0)

        self.run_with_feed(scenario)

    def confirm_current(self, feed, within=0.0, max_list_age=9.0, patience=0.05):
        return feed.confirm_current(
            within=within, max_list_age=max_list_age, patience=patience
        )

    def test_scan_finds_changes_hidden_from_the_feed(self):
        async def scenario(standin, feed, faults):
            faults.hides_changes = True
            await standin.put("own", "second", b"2")
            self.assertTrue(await self.confirm_current(feed, within=1.0, patience=1.0))
            self.assertEqual(1, len(feed.live_rows()))
            found = await self.confirm_current(
                feed, within=1.0, max_list_age=0.0, patience=1.0
            )
            self.assertTrue(found)
            self.assertEqual(2, len(feed.live_rows()))

        self.run_with_feed(scenario)

    def test_unavailable_store_confirms_nothing(self):
        async def scenario(standin, feed, faults):
            faults.outage = Outage.SILENT
            feed.confirmed_at = float("-inf")
            self.assertFalse(await self.confirm_current(feed, within=9.0))
            feed.confirmed_at = feed._clock()
            self.assertTrue(await self.confirm_current(feed, within=9.0))

        self.run_with_feed(scenario)

    def test_changes_skipped_by_an_empty_answer_arrive_later(self):
        async def scenario(standin, feed, faults):
            faults.hides_changes = True
            await standin.put("own", "second", b"2")
            await standin.put("other", "more", b"")
            await asyncio.sleep(0.3)
            self.assertEqual(1, len(feed.live_rows()))
            faults.hides_changes = False
            await until(lambda: len(feed.live_rows()) == 2, timeout=3)

        self.run_with_feed(scenario)

    def test_ignores_older_rows(self):
        async def scenario(standin, feed, faults):
            version = await standin.put("own", "first", b"new")
            await until(lambda: feed.rows_by_key["first"].version == version)
            feed.apply_rows((Row(RowId("own", "first"), b"old", version - 1),))
            self.assertEqual(b"new", feed.rows_by_key["first"].value)

        self.run_with_feed(scenario)

    def test_rejects_an_older_scan(self):
        async def scenario(standin, feed, faults):
            await standin.put("own", "second", b"2")
            await until(lambda: len(feed.live_rows()) == 2)
            feed.version += 50
            with self.assertRaises(StoreUnavailable):
                await feed._list()
            self.assertEqual(2, len(feed.live_rows()))

        self.run_with_feed(scenario)
