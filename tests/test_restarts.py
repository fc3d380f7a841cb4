"""Tests for upstreams that restart under the same id."""

import asyncio

import attrs
from testtools import TestCase

from lynxchute.quarantine import Progress
from lynxchute.scheduling.board import Candidate, EngineBoard
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.upstreams.aims import NO_OBJECTIVES
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import OpenSend
from lynxchute.upstreams.generation import Generation, PromptPart
from lynxchute.upstreams.health import SendOutcome
from lynxchute.upstreams.upstream import Upstream
from tests.platform_support import (
    PlatformCaller,
    PlatformTestCase,
    event_ids,
    start_long_stream,
)
from tests.support import until

FIRST = Upstream("i-1", "pool", "10.0.0.1:80", "a", slots=64, started_ms=1000)


def started(milliseconds, **more):
    return attrs.evolve(FIRST, started_ms=milliseconds, **more)


class DirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.directory.put(FIRST)
        self.aborted = 0
        self.restarted = []
        self.directory.restart_listeners.append(self.restarted.append)

    @property
    def entry(self):
        return self.directory.entries_by_id["i-1"]

    def abort(self):
        self.aborted += 1

    def open_sends(self):
        for may_resend in (True, False):
            self.entry.open_sends.add(OpenSend(self, lambda may=may_resend: may))
            self.entry.open_requests += 1

    def test_restart_resets_the_entry_and_aborts_sends(self):
        old_entry = self.entry
        self.open_sends()
        old_entry.health.record(SendOutcome.UNREACHED, 10.0)
        self.assertTrue(self.directory.put(started(2000, address="10.0.0.2:80")))
        self.assertEqual((2, [FIRST]), (self.aborted, self.restarted))
        self.assertEqual((0, set()), (self.entry.open_requests, self.entry.open_sends))
        self.assertFalse(self.entry.health.is_paused(10.0))
        self.assertEqual("10.0.0.2:80", self.entry.upstream.address)
        # Late results of runs at the old process do not affect the new entry.
        old_entry.health.record(SendOutcome.BROKEN, 11.0)
        old_entry.open_requests -= 2
        self.assertEqual(0, self.entry.open_requests)
        self.assertFalse(self.entry.health.is_paused(11.0))

    def test_a_send_that_began_after_the_news_of_a_start_is_not_aborted(self):
        old_entry = self.entry
        old_entry.open_sends.add(OpenSend(self, lambda: False, began_at=9.0))
        self.directory.put(started(2000), 10.0)
        # Its place was chosen before the news.
        old_entry.open_sends.add(OpenSend(self, lambda: False, began_at=10.1))
        for now in (10.1, 11.0, 15.0):
            self.directory.abort_replaced(now)
        self.assertEqual(1, self.aborted)

    def test_an_answer_whose_head_has_arrived_is_not_aborted_by_later_news(self):
        send = OpenSend(self, lambda: False, began_at=9.0, progress=Progress.BEGUN)
        self.entry.open_sends.add(send)
        # The process that was replaced is not known to have run at 9.0.
        self.directory.put(started(2000), 10.0)
        self.directory.abort_replaced(15.0)
        self.assertEqual(0, self.aborted)

    def test_upstream_that_operators_named_can_return_from_draining(self):
        named = attrs.evolve(FIRST, keeps_id=True)
        self.directory.put(attrs.evolve(named, is_leaving=True))
        self.assertTrue(self.entry.is_leaving)
        self.directory.put(named)
        self.assertFalse(self.entry.is_leaving)

    def test_repeated_start_time_is_no_restart(self):
        self.open_sends()
        old_entry = self.entry
        self.assertFalse(self.directory.put(started(1000)))
        self.assertTrue(self.directory.put(started(1000, is_leaving=True)))
        self.assertEqual((0, []), (self.aborted, self.restarted))
        self.assertIs(old_entry, self.entry)

    def test_late_report_of_an_older_start_is_ignored(self):
        self.directory.put(started(2000))
        self.open_sends()
        self.assertFalse(self.directory.put(started(1000, is_leaving=True)))
        self.assertFalse(self.directory.record_start(self.entry, 1000))
        self.assertEqual(2000, self.entry.upstream.started_ms)
        self.assertTrue(self.entry.takes_work)
        self.assertEqual(0, self.aborted)

    def test_entry_with_an_older_start_time_is_used_without_aborts(self):
        self.open_sends()
        self.entry.health.record(SendOutcome.UNREACHED, 10.0)
        self.assertTrue(self.directory.put(started(400, is_leaving=True)))
        self.assertFalse(self.entry.takes_work)
        self.assertFalse(self.entry.health.is_paused(10.0))
        self.assertEqual((0, 2), (self.aborted, self.entry.open_requests))
        # The newer start time counts again, since the entry with the older one was
        # outdated.
        self.assertTrue(self.directory.put(started(1000)))
        self.assertTrue(self.entry.takes_work)

    def test_entry_without_start_time_keeps_the_known_one(self):
        self.assertFalse(self.directory.put(started(None)))
        self.assertEqual(1000, self.entry.upstream.started_ms)
        self.directory.put(started(2000))
        self.assertEqual([FIRST], self.restarted)

    def test_restart_reported_before_its_entry_is_counted_once(self):
        self.open_sends()
        self.directory.remove("i-1", 5.0, expires_at=7.0)
        self.assertTrue(self.directory.record_start(self.entry, 2000))
        self.assertEqual(2, self.aborted)
        self.assertEqual((5.0, 7.0), (self.entry.removed_at, self.entry.expires_at))
        self.assertFalse(self.directory.record_start(self.entry, 2000))
        # The store still lists the old entry, and then the new one.
        self.assertFalse(self.directory.put(started(1000)))
        self.directory.put(started(2000))
        self.assertEqual([FIRST], self.restarted)
        self.assertTrue(self.entry.takes_work)

    def test_report_for_a_replaced_entry_is_ignored(self):
        old_entry = self.entry
        self.directory.put(started(2000))
        self.assertFalse(self.directory.record_start(old_entry, 3000))
        self.assertFalse(self.directory.record_start(self.entry, None))


class BoardTest(TestCase):
    def test_news_of_an_older_start_is_ignored(self):
        board = EngineBoard()
        candidate = Candidate("i-1", 64, 400_000, False)
        generation = Generation("m", 500, 60, (PromptPart("aa", 400),))
        board.place(
            PendingRequest("r1.0", generation, NO_OBJECTIVES, "run"), [candidate], 1.0
        )
        board.discard_upstream("i-1")
        board.track_new([candidate])
        board.record_failure("i-1", "r1.0", 2.0)
        board.record_first_event("i-1", "r1.0", 2.0)
        board.record_end("i-1", "r1.0", 2.0)
        state = board.engines_by_id["i-1"]
        self.assertEqual((0.0, {}), (state.avoided_until, state.runs_by_id))
        self.assertEqual(0, state.cache.cached_tokens(generation.parts))


class RestartTest(PlatformTestCase):
    """Old connections stay open without data, as after a power loss."""

    def test_stream_resumes_elsewhere_and_restarted_engine_is_used(self):
        async def scenario(deployment):
            stream, busy, idle = await start_long_stream(deployment)
            await busy.lose_power()
            await busy.restart()
            await busy.register(deployment.store)
            status, _, body = await stream
            self.assertEqual((200, list(range(1, 31))), (status, event_ids(body)))
            self.assertEqual(1, len(idle.runs))
            await idle.stop()
            self.assertEqual(200, (await PlatformCaller(deployment).stream())[0])
            self.assertEqual(1, len(busy.runs))

        self.with_platform(scenario)

    def test_restart_is_detected_by_report_while_store_is_away(self):
        async def scenario(deployment):
            stream, busy, idle = await start_long_stream(deployment)
            await busy.lose_power()
            await busy.restart()
            status, _, body = await stream
            self.assertEqual((200, 30), (status, len(event_ids(body))))
            self.assertEqual(1, len(idle.runs))
            found = deployment.routers["a-1"].directory.entries_by_id[busy.id]
            self.assertEqual(busy.started_ms, found.upstream.started_ms)

        self.with_platform(scenario)

    def test_call_that_may_have_run_fails_at_once_and_is_not_retried(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.event_delay = 5.0
            caller = PlatformCaller(deployment)
            call = asyncio.create_task(caller.send("POST", "/unsafe/x"))
            await until(lambda: any(a.runs for a in deployment.apps))
            busy, idle = sorted(deployment.apps, key=lambda a: -len(a.runs))
            await busy.lose_power()
            await busy.restart()
            await busy.register(deployment.store)
            async with asyncio.timeout(2.0):
                status, _, _ = await call
            self.assertEqual(502, status)
            self.assertEqual(([], []), (busy.runs, idle.runs))

        self.with_platform(scenario)
