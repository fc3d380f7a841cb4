"""Engines, routers and the streams that begin and are taken up there."""

import asyncio
import json
from types import SimpleNamespace

import attrs

from lynxchute.store import Put, RowId, Write
from lynxchute.upstreams.stream_origin import StreamOrigin, origin_key
from tests.origins_machine import SERVICE, STREAM_TIMEOUT
from tests.out_of_step_router import SERVERS, Router
from tests.out_of_step_store import HOP_SECONDS, Rows
from tests.virtual_loop import VirtualLoop

MAX_STREAMS = 60
STEP_SECONDS = 0.25
MAX_STEPS = 20
# Seconds after a cut within which a router reaches the store again.
RETRY_SECONDS = 4.0


@attrs.frozen
class Stream:
    """A stream of which its caller has the first event.

    Attributes
    ----------
    is_unrecorded
        Whether it began without a row, since no upstream of the default version was
        left and the store did not answer.
    """

    attempt: str
    version: str
    began_at: float
    is_unrecorded: bool


class OutOfStepFleet:
    """Routers with views of their own, in virtual time.

    Attributes
    ----------
    began
        Streams of which their callers have the first event.
    went_on, refused
        Take-ups that went on at an engine, and those of unknown streams.
    joined
        Those at a router that reaches the store while one version has ever served.
    """

    went_on = refused = joined = began = 0

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.rows = Rows()
        self.routers, self.processes = {}, {}
        self.down, self.cuts = set(), set()
        self.store_cuts, self.store_hops = set(), {}
        self.healed_at = {}
        self.versions_ever = set()
        self.streams = []
        self.attempts = self.incarnations = self.engines = 0
        self.tasks = []

    def teardown(self):
        for router in self.routers.values():
            router.kill()
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    # What runs.

    def start_router(self, vm):
        self.incarnations += 1

        async def make():
            return Router(self, vm, self.incarnations)

        self.routers[vm] = self.loop.run_until_complete(make())

    def start_engine(self, version):
        """Start an engine under an id of its own; return the id."""
        self.engines += 1
        engine = f"e{self.engines}"
        self.processes[engine] = (1000, version)
        self.versions_ever.add(version)
        row_id = RowId(SERVERS, engine)
        put = Put(row_id, json.dumps(self.processes[engine]).encode())
        self.rows.write(Write(puts=(put,)))
        return engine

    def stop_engine(self, engine):
        self.down.add(engine)
        self.rows.write(Write(deletes=(RowId(SERVERS, engine),)))

    def live_engines(self):
        return [engine for engine in self.processes if engine not in self.down]

    def vm(self, number):
        vms = sorted(self.routers)
        return vms[number % len(vms)]

    def spawn(self, work):
        async def make():
            self.tasks.append(asyncio.ensure_future(work))

        self.loop.run_until_complete(make())

    def pass_time(self, seconds):
        """Let time pass; routers do their periodic work, callers get their answers."""
        end = self.loop.now + seconds
        step = min(seconds, max(STEP_SECONDS, seconds / MAX_STEPS))
        while self.loop.now < end - 1e-6:
            if step >= STEP_SECONDS:
                for router in self.routers.values():
                    if not router.tasks:
                        self.loop.run_until_complete(self.start_work(router))
            left = end - self.loop.now
            self.loop.run_until_complete(asyncio.sleep(min(left, step)))
        self.check_tasks()

    async def start_work(self, router):
        router.spawn(router.work())

    def check_tasks(self):
        """Raise what has failed by now."""
        running = []
        for task in self.tasks:
            if not task.done():
                running.append(task)
            elif not task.cancelled():
                task.result()
        self.tasks = running

    async def begin_at(self, router, entry, attempt):
        upstream = entry.upstream
        exchange = SimpleNamespace(
            account=None,
            call=SimpleNamespace(request_id=attempt),
            route=SimpleNamespace(timeout=STREAM_TIMEOUT),
            bound_version=None,
        )

        def origin():
            now, version = self.loop.now, upstream.software_version
            return StreamOrigin(
                SERVICE, version, upstream.id, upstream.started_ms, began_at=now
            )

        if not await router.origins.may_begin(exchange, origin()):
            return
        await asyncio.sleep(HOP_SECONDS)
        if upstream.id in self.down:
            return
        version = self.processes[upstream.id][1]
        await asyncio.sleep(HOP_SECONDS)
        await router.awake.wait()
        began = origin()
        if not await router.origins.may_begin(exchange, began, has_begun=True):
            return
        if self.routers[router.vm] is not router:
            return
        router.origins.record("", attempt, began, timeout=STREAM_TIMEOUT)
        is_unrecorded = self.is_unrecorded(router, attempt)
        self.streams.append(Stream(attempt, version, self.loop.now, is_unrecorded))
        del self.streams[:-MAX_STREAMS]
        type(self).began += 1
        await router.tell()

    def is_unrecorded(self, router, attempt):
        """Return whether a stream begins without a row where that is allowed."""
        versions = router.directory.versions_by_service().get(SERVICE, set())
        if router.defaults.get(SERVICE) in versions:
            return False
        key = origin_key("", attempt).encode()
        return not any(key in row.value for row in self.rows.rows_by_id.values())

    async def take_up_at(self, router, stream):
        was_in_touch = self.is_in_touch(router)
        lookup = await router.origins.find("", stream.attempt, SERVICE)
        if lookup.origin is None:
            if (
                was_in_touch
                and self.is_in_touch(router)
                and len(self.versions_ever) == 1
            ):
                raise AssertionError(f"refused at {router.vm} as unknown")
            type(self).refused += 1
            return
        type(self).joined += was_in_touch and len(self.versions_ever) == 1
        if stream.is_unrecorded and lookup.source == "default version":
            return
        for engine in list(self.processes):
            await self.go_on(router, lookup, engine, stream.version)

    def is_in_touch(self, router):
        """Return whether a router follows the store, and reaches it directly."""
        is_known = router.is_fleet_known and router.is_registered
        is_slow = router.vm in self.store_hops
        healed_at = self.healed_at.get(router.vm, 0.0)
        # A router that was cut off tries the store again after a while.
        is_retrying = self.loop.now - healed_at < RETRY_SECONDS
        is_cut = router.vm in self.store_cuts or is_retrying
        is_running = router.awake.is_set() and self.routers[router.vm] is router
        return is_known and is_running and not is_slow and not is_cut

    async def go_on(self, router, lookup, engine, version):
        entry = router.directory.entries_by_id.get(engine)
        if entry is None or engine in self.down:
            return
        if not entry.upstream.may_run(lookup.origin.software_version):
            return
        if not await router.origins.confirm_process(entry) or engine in self.down:
            return
        type(self).went_on += 1
        found = self.processes[engine][1]
        assert found == version, (
            f"begun at {version}, goes on at {found}, known from {lookup.source}"
        )
