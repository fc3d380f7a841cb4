"""Upstreams that declare in their answers that they are leaving.

Guards against routers that learn of a leaving upstream only from its entry in the
store, and ignore what its answers declare. While the store was unavailable, the entry
of a leaving engine read as ready for eleven seconds more. Five of eight routers sent it
11 more requests; two of these arrived 2.9 and 4.4 s after its answer had been
forwarded, where 2 s are permitted. They were served, but their streams would have been
cut if the engine had ended in time.

With an entry that stays ready, an engine got half of all requests three seconds after
its declaration in the first test of LeavingFleetTest.
"""

import asyncio
import contextlib

import attrs
import testtools

from lynxchute.http import ExchangeError
from lynxchute.scheduling.backpressure_news import (
    known_backpressure,
    merge_backpressure,
)
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.statement import NO_BACKPRESSURE, DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream
from tests.platform_support import (
    PlatformCaller,
    PlatformTestCase,
    start_long_stream,
)
from tests.press import plain, press, stream

ROUTERS = ("a-1", "a-2", "b-1", "b-2")
# The guarantee: a router sends nothing new from DRAIN_SECONDS after it has forwarded
# the answer.
DRAIN_SECONDS = 2.0


LEAVING = DeclaredBackpressure(is_leaving=True)
ENGINE = Upstream("e", "pool", "127.0.0.1:1", "a", started_ms=1, keeps_id=True)


class LeavingTest(testtools.TestCase):
    def leaving(self):
        directory = Directory()
        directory.put(ENGINE)
        entry = directory.entries_by_id["e"]
        directory.record_declaration(entry, LEAVING, asked_at=0.0, now=1.0)
        return directory

    def test_neither_a_later_entry_nor_a_later_answer_revokes_leaving(self):
        directory = self.leaving()
        entry = directory.entries_by_id["e"]
        directory.put(attrs.evolve(ENGINE, slots=2), 2.0)
        directory.record_declaration(entry, NO_BACKPRESSURE, asked_at=2.0, now=3.0)
        directory.record_probe_answer(entry, NO_BACKPRESSURE, 4.0)
        self.assertFalse(entry.takes_work)
        self.assertEqual([], list(directory.available("pool", 4.0)))

    def test_a_lapsed_entry_does_not_revoke_leaving(self):
        directory = self.leaving()
        directory.remove("e", 2.0, expires_at=9.0)
        self.assertEqual([], list(directory.available("pool", 3.0)))
        directory.put(ENGINE, 4.0)
        self.assertEqual([], list(directory.available("pool", 5.0)))

    def test_a_new_process_with_its_id_accepts_work(self):
        for started_ms in (2, 0):
            directory = self.leaving()
            directory.put(attrs.evolve(ENGINE, started_ms=started_ms), 2.0)
            self.assertTrue(directory.entries_by_id["e"].takes_work)

    def test_other_routers_learn_that_it_is_leaving(self):
        informed, other = self.leaving(), Directory()
        other.put(ENGINE)
        received = known_backpressure(informed, "pool", 1.0)
        merge_backpressure(other, received, 1.0)
        self.assertFalse(other.entries_by_id["e"].takes_work)
        later = Directory()
        later.put(attrs.evolve(ENGINE, started_ms=2))
        merge_backpressure(later, received, 1.0)
        self.assertTrue(later.entries_by_id["e"].takes_work)


def record_after_each_choice(router, upstream_id, statement):
    """Record a statement between the choice of an upstream and the send."""
    chooser = router.relay._sender._chooser
    choose = chooser.choose

    async def choose_and_record(exchange):
        choice = await choose(exchange)
        if choice.entry.upstream.id == upstream_id:
            now = asyncio.get_running_loop().time()
            router.directory.record_declaration(
                choice.entry, statement, asked_at=now, now=now
            )
        return choice

    chooser.choose = choose_and_record


class LeavingFleetTest(PlatformTestCase):
    def check(self, upstreams_of, ask):
        async def scenario(deployment):
            leaving = upstreams_of(deployment)[0]
            leaving.announces_leaving = True
            # By the end of this load, every router has forwarded one of the upstream's
            # answers.
            await press(deployment, ask, seconds=1.0)
            await asyncio.sleep(DRAIN_SECONDS)
            before = len(leaving.arrivals)
            statuses = await press(deployment, ask, seconds=2.0)
            self.assertEqual({200}, set(statuses))
            self.assertEqual(before, len(leaving.arrivals))

        self.with_platform(scenario, routers=ROUTERS)

    def test_an_engine_that_declares_leaving_gets_nothing_new(self):
        self.check(lambda deployment: deployment.engines, stream)

    def test_a_plain_upstream_that_declares_leaving_gets_nothing_new(self):
        self.check(lambda deployment: deployment.apps, plain)

    def test_placed_requests_are_not_sent_to_a_leaving_upstream(self):
        for kind in ("engines", "apps"):

            async def scenario(deployment, kind=kind):
                leaving = getattr(deployment, kind)[0]
                for router in deployment.routers.values():
                    record_after_each_choice(router, leaving.id, LEAVING)
                ask = stream if kind == "engines" else plain
                statuses = await press(deployment, ask, seconds=0.5)
                self.assertEqual({200}, set(statuses))
                self.assertEqual([], leaving.arrivals)

            self.with_platform(scenario)

    def arrivals_after_a_broken_stream(self, *, is_gate_active=True):
        """Return the arrivals at a leaving engine after a stream broke elsewhere."""

        async def scenario(deployment):
            stream_, busy, idle = await start_long_stream(deployment)
            for router in deployment.routers.values():
                record_after_each_choice(router, idle.id, LEAVING)
                if not is_gate_active:
                    gate = router.relay._sender._gate
                    self.patch(gate, "withheld_reason", lambda entry, **more: None)
            await busy.stop()
            with contextlib.suppress(ExchangeError):
                await stream_
            return idle.arrivals

        return self.with_platform(scenario)

    def test_a_stream_is_not_resumed_at_a_leaving_engine(self):
        self.assertEqual([], self.arrivals_after_a_broken_stream())

    def test_without_the_gate_a_stream_is_resumed_at_a_leaving_engine(self):
        arrivals = self.arrivals_after_a_broken_stream(is_gate_active=False)
        self.assertNotEqual([], arrivals)

    def test_running_requests_of_a_leaving_engine_complete(self):
        async def scenario(deployment):
            stream_, busy, _ = await start_long_stream(deployment)
            busy.announces_leaving = True
            await press(deployment, stream, seconds=0.5)
            status, _, body = await stream_
            self.assertEqual(200, status)
            self.assertIn(b"id: 30", body)

        self.with_platform(scenario)

    def test_a_restarted_router_learns_of_leaving_from_others(self):
        async def scenario(deployment):
            leaving = deployment.engines[0]
            leaving.announces_leaving = True
            await press(deployment, stream, seconds=1.0)
            await deployment.routers.pop("b-2").kill()
            await deployment.start_router("b-2")
            router = deployment.routers["b-2"]
            async with asyncio.timeout(10):
                while not router.is_ready() or not router.ledger_sync.ledger.is_open:
                    await asyncio.sleep(0.02)
            before = len(leaving.arrivals)
            caller = PlatformCaller(deployment, "b-2")
            for _ in range(10):
                self.assertEqual(200, (await caller.stream())[0])
            self.assertEqual(before, len(leaving.arrivals))

        self.with_platform(scenario, routers=ROUTERS)
