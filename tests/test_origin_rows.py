"""Rows of origins as routers read them for streams that are taken up."""

import asyncio
import json

from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import to_json
from lynxchute.fleet.origin_messages import OriginNotice
from lynxchute.resumption.origin_memory import OriginMemory
from lynxchute.resumption.origin_messages import to_message
from lynxchute.resumption.origin_rows import ROW_KEY, TABLE, OriginRows
from lynxchute.store import Row, RowId, Snapshot, Store, StoreClock, StoreUnavailable
from lynxchute.upstreams.stream_origin import StreamOrigin
from tests.support import AsyncTestCase

VM = "a-1"
OLD = StreamOrigin("pool", "v1.9", "e1", 1000, began_at=99.0)
NEW = StreamOrigin("pool", "v2.0", "e2", 1000, began_at=99.0)


class RowStore(Store):
    """A store with one row of origins, which others write."""

    def __init__(self):
        self.clock = StoreClock()
        self.value = None
        self.scans = 0

    def put(self, origin):
        known = to_message("key", origin, 200.0, 100.0)
        value = {"now_ms": 1, **to_json(OriginNotice((known,)))}
        self.value = json.dumps(value).encode()

    async def scan(self, table, *, part=""):
        self.scans += 1
        if self.value is None:
            return Snapshot((), 1)
        return Snapshot((Row(RowId(TABLE, ROW_KEY, VM), self.value, 1),), 1)

    async def write(self, write):
        raise StoreUnavailable("not needed")

    async def changes(self, table, *, after, wait):
        raise StoreUnavailable("not needed")


class OriginRowsTest(AsyncTestCase):
    """Guards against streams joined since rows were read before they began."""

    def with_rows(self, scenario):
        async def run():
            store = RowStore()
            members = Members(Member("b-1", "b", "of b-1", "127.0.0.1:1"))
            memory, clock = OriginMemory(), asyncio.get_running_loop().time
            rows = OriginRows(
                store, members, memory, lambda _: False, lambda: True, clock
            )
            await scenario(store, rows)
            await rows.tasks.stop()

        self.run_async(run())

    def test_an_origin_stored_just_after_a_read_is_found(self):
        async def scenario(store, rows):
            self.assertIsNone(await rows.find("key", [VM]))
            store.put(NEW)
            origin = await rows.find("key", [VM])
            self.assertEqual("v2.0", origin.software_version)

        self.with_rows(scenario)

    def test_an_origin_stored_again_just_after_a_read_is_the_later_one(self):
        async def scenario(store, rows):
            store.put(NEW)
            await rows.find("key", [VM])
            store.put(OLD)
            origin = await rows.find("key", [VM])
            self.assertEqual("v1.9", origin.software_version)

        self.with_rows(scenario)

    def test_streams_taken_up_together_share_a_read(self):
        async def scenario(store, rows):
            await asyncio.gather(*(rows.find("key", [VM]) for _ in range(50)))
            self.assertEqual(1, store.scans)

        self.with_rows(scenario)
