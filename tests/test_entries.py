"""Tests of invalid rows from other writers in the tables that routers replicate."""

import json

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lynxchute.budgets.rows import HolderRow, RowDecodeError, Totals
from lynxchute.config.document import Version
from lynxchute.edge.upstreams import UpstreamWatcher
from lynxchute.fleet.members import Member
from lynxchute.http import ClientPool
from lynxchute.platform.configuration import decode_configuration
from lynxchute.platform.daemon import make_platform
from lynxchute.platform.upstreams import decode_upstream
from lynxchute.store import Row, RowId, TableFeed
from lynxchute.store.feed import FeedTimes
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import OpenSend
from tests.platform_support import (
    PlatformCaller,
    PlatformTestCase,
    configuration,
    event_ids,
    start_long_stream,
)
from tests.support import until

GOOD = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1_796_255_938_000,
}
MEMBER = Member("a-1", "a", "run-1", "127.0.0.1:7680")
HOLDER = {"incarnation": "r", "sequence": 3, "shares": {"kanda": [90, 10, 1, 2, 5]}}
# Mistaken values of a field; the longest integer is too large to convert to a float.
BAD_VALUES = [None, True, -1, 0, 0.5, "", "x", [], {}, [1], {"a": 1}, 10**400, 1e308]
BAD_TEXTS = ["1e999", "-1e999", "NaN", "Infinity", "[" * 100_000, '{"a":' * 100_000]

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def row(value, key="i-1", version=1, deleted=False):
    return Row(RowId("servers", key), value, version, deleted)


def entry(**changes):
    return json.dumps({**GOOD, **changes}).encode()


def mutations(good):
    """Yield encodings of an object with one field removed or replaced."""
    for name in good:
        yield json.dumps({k: v for k, v in good.items() if k != name}).encode()
        for bad in BAD_VALUES:
            yield json.dumps({**good, name: bad}).encode()
        for text in BAD_TEXTS:
            rest = {k: v for k, v in good.items() if k != name}
            head = json.dumps(rest)[:-1]
            yield f'{head}, "{name}": {text}}}'.encode()


def decode_holder(value):
    try:
        HolderRow.decode(value)
    except RowDecodeError:
        return


def decode_totals(value):
    try:
        Totals.decode(value)
    except RowDecodeError:
        return


DECODERS = [
    lambda value: decode_upstream(row(value)),
    decode_configuration,
    Member.decode,
    Version.decode,
    decode_holder,
    decode_totals,
]
GOOD_VALUES = [
    GOOD,
    configuration(),
    json.loads(MEMBER.encode()),
    HOLDER,
    {"a-1": 5, "b-1": 7},
]


class DecoderTest(TestCase):
    def test_good_entries_are_taken(self):
        upstream = decode_upstream(row(entry())).ok
        self.assertEqual(
            ("i-1", "pool", "10.128.0.9:8080", "a", 64, False, GOOD["born"]),
            (
                upstream.id,
                upstream.service,
                upstream.address,
                upstream.data_centre,
                upstream.slots,
                upstream.is_leaving,
                upstream.started_ms,
            ),
        )
        without = {k: v for k, v in GOOD.items() if k != "born"}
        self.assertIsNone(
            decode_upstream(row(json.dumps(without).encode())).ok.started_ms
        )
        self.assertEqual(MEMBER, Member.decode(MEMBER.encode()).ok)

    def test_what_is_missing_or_of_another_type_names_no_upstream(self):
        needed = ("service", "address", "zone", "version", "slots", "state", "sequence")
        for name in (*needed, "cold_remaining_ms"):
            missing = {k: v for k, v in GOOD.items() if k != name}
            decoded = decode_upstream(row(json.dumps(missing).encode()))
            self.assertTrue(decoded.is_error(), name)
        wrong = [
            {"address": 5},
            {"address": "nonsense"},
            {"address": "host:80"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:٣"},
            {"address": "10.0.0.1:99999"},
            {"service": ["pool"]},
            {"zone": {"a": 1}},
            {"zone": None},
            {"state": 1},
            {"slots": -1},
            {"slots": 0},
            {"slots": True},
            {"slots": 1.5},
            {"slots": "64"},
            {"cold_remaining_ms": -1},
            {"cold_remaining_ms": float("nan")},
            {"cold_remaining_ms": float("inf")},
            {"cold_remaining_ms": 10**400},
            {"sequence": -1},
            {"version": 2},
            {"born": 1.5},
            {"born": "1"},
            {"born": True},
            {"born": -1},
        ]
        for change in wrong:
            decoded = decode_upstream(row(entry(**change)))
            self.assertTrue(decoded.is_error(), change)

    def test_endless_numbers_and_deep_values_are_told_not_raised(self):
        for text in BAD_TEXTS:
            value = entry()[:-1] + f', "slots": {text}}}'.encode()
            self.assertTrue(decode_upstream(row(value)).is_error())

    def test_an_unnamed_state_takes_no_new_work(self):
        for state in ("starting", "READY", "gone"):
            self.assertTrue(decode_upstream(row(entry(state=state))).ok.is_leaving)

    def test_no_mutation_of_a_good_value_raises(self):
        for good in GOOD_VALUES:
            for value in mutations(good):
                for decode in DECODERS:
                    decode(value)

    @given(json_values)
    def test_no_json_raises(self, value):
        encoded = json.dumps(value).encode()
        for decode in DECODERS:
            decode(encoded)

    @given(st.binary(max_size=64))
    def test_no_bytes_raise(self, value):
        for decode in DECODERS:
            decode(value)


class FeedTest(TestCase):
    def test_a_row_that_a_listener_cannot_take_costs_no_other_row(self):
        applied, batches = [], []

        def on_row(item):
            if item.id.key == "bad":
                raise ValueError("invalid row")
            applied.append(item.id.key)

        feed = TableFeed(
            None,
            "t",
            times=FeedTimes(),
            on_row=on_row,
            on_batch=lambda: batches.append(len(applied)),
        )
        feed.apply_rows((row(b"", "a"), row(b"", "bad"), row(b"", "b")))
        self.assertEqual((["a", "b"], [2]), (applied, batches))


class WatcherTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.aborted = []
        self.watcher = UpstreamWatcher(
            make_platform("127.0.0.1:1"), self.directory, ClientPool(), bound=2.0
        )

    def apply(self, *rows):
        self.watcher.feed.apply_rows(rows)

    def abort(self):
        self.aborted.append(True)

    def test_good_entries_behind_a_bad_one_are_known(self):
        bad = entry()[:-1] + b', "slots": 1e999}'
        deep = b"[" * 100_000
        self.apply(row(bad, "i-0"), row(deep, "i-1"), row(entry(), "i-2"))
        self.assertEqual(["i-2"], list(self.directory.entries_by_id))

    def test_an_entry_overwritten_by_what_cannot_be_read_takes_no_work(self):
        for version, value in enumerate((b"\xff", b"{}", entry(address=5)), 2):
            self.apply(row(entry(), version=version * 2))
            found = self.directory.entries_by_id["i-1"]
            found.open_sends.add(OpenSend(self, lambda: True))
            self.assertTrue(found.takes_work)
            self.apply(row(value, version=version * 2 + 1))
            self.assertFalse(found.takes_work)
        self.assertEqual([], self.aborted)


class ForeignEntriesTest(PlatformTestCase):
    def test_a_deployment_serves_beside_entries_of_other_writers(self):
        async def scenario(deployment):
            store = deployment.store
            for number, value in enumerate(mutations(GOOD)):
                if decode_upstream(row(value)).is_error():
                    await store.put("servers", f"a-{number:04d}", value)
            await store.put("servers", "zz", b"\x00\xff")
            # Once a later row is known, all rows before it have been processed.
            await deployment.apps[0].register(store)
            router = deployment.routers["a-1"]
            await until(lambda: "zz" in router.upstreams.feed.rows_by_key)
            self.assertEqual(len(deployment.upstreams), router.directory.count())
            caller = PlatformCaller(deployment)
            status, _, body = await caller.stream()
            self.assertEqual((200, 6), (status, len(event_ids(body))))
            self.assertEqual(200, (await caller.send("POST", "/unsafe/x"))[0])

        self.with_platform(scenario)

    def test_what_runs_at_an_upstream_goes_on_when_its_entry_is_overwritten(self):
        async def scenario(deployment):
            stream, busy, idle = await start_long_stream(deployment)
            await deployment.store.put("servers", busy.id, b"\xff")
            router = deployment.routers["a-1"]
            found = router.directory.entries_by_id[busy.id]
            await until(lambda: not found.takes_work)
            status, _, body = await stream
            self.assertEqual((200, 30), (status, len(event_ids(body))))
            self.assertEqual(1, len(busy.runs))
            self.assertEqual([], idle.runs)
            await PlatformCaller(deployment).stream()
            self.assertEqual((1, 1), (len(busy.runs), len(idle.runs)))

        self.with_platform(scenario)
