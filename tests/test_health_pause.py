"""Pauses of upstreams that were found silent, beside other failures."""

import asyncio
import itertools

import attrs

from lynxchute.reachability import Reachability
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import OpenSend, UpstreamEntry
from lynxchute.upstreams.health import SendOutcome
from lynxchute.upstreams.silence import (
    MIN_PAUSE_SECONDS,
    REPROBE_SECONDS,
    STEP_SECONDS,
    UNREACHABLE_PROBE_SECONDS,
    SilenceWatch,
)
from lynxchute.upstreams.upstream import Upstream
from tests.support import AsyncTestCase
from tests.test_reachability import FakeEngineClient, FakeHandle


class SilenceVerdictTestCase(AsyncTestCase):
    """Watch one upstream that falls silent and another one that answers."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.directory = Directory()
        self.engines = FakeEngineClient({"b"})
        self.reach = Reachability("a")
        self.watch = SilenceWatch(
            self.directory, self.engines, self.reach, lambda: self.now
        )
        for name in ("a1", "b1"):
            self.directory.put(Upstream(name, "s", f"{name}:1", name[0]))

    async def step(self):
        await self.watch._step()
        while self.watch.tasks._tasks:
            await asyncio.sleep(0)

    async def find_silent(self, name="b1"):
        """Let an upstream be found silent; return its entry and its open send."""
        entry = self.directory.entries_by_id[name]
        send = OpenSend(FakeHandle([], name), lambda: True, heard_at=self.now - 0.4)
        entry.open_sends.add(send)
        entry.heard_at = send.heard_at
        await self.step()
        self.assertTrue(entry.health.is_paused(self.now))
        return entry, send

    async def hear(self, entry, send):
        """Let a part of an answer arrive."""
        self.now += 0.05
        send.answering_since = send.heard_at = entry.heard_at = self.now
        await self.step()


class VerdictPauseTest(SilenceVerdictTestCase):
    """Guards against pauses for silence that other failures change."""

    def test_a_failed_connection_does_not_keep_the_pause_after_the_silence(self):
        self.check_pause_ends(SendOutcome.UNREACHED)

    def test_a_broken_answer_does_not_keep_the_pause_after_the_silence(self):
        # A send that is given up for the silence ends like this.
        self.check_pause_ends(SendOutcome.BROKEN)

    def check_pause_ends(self, outcome):
        """Check that the pause ends, if another send fails, as bytes arrive."""

        async def work():
            entry, send = await self.find_silent()
            self.now += 0.2
            entry.health.record(outcome, self.now)
            await self.step()
            self.assertTrue(entry.health.is_paused(self.now))
            await self.hear(entry, send)
            self.assertFalse(entry.health.is_paused(self.now))

        self.run_async(work())

    def test_no_failure_shortens_the_pause(self):
        async def work():
            entry, _ = await self.find_silent()
            found_at = self.now
            for outcome in (
                SendOutcome.DECLINED,
                SendOutcome.BROKEN,
                SendOutcome.FAILED,
            ):
                self.now += 0.01
                entry.health.record(outcome, self.now)
                last = found_at + MIN_PAUSE_SECONDS - 0.01
                self.assertTrue(entry.health.is_paused(last), outcome)

        self.run_async(work())

    def test_bytes_before_a_failed_connection_do_not_end_the_pause(self):
        self.check_pause_lasts(SendOutcome.UNREACHED)

    def test_bytes_before_a_broken_answer_do_not_end_the_pause(self):
        self.check_pause_lasts(SendOutcome.BROKEN)

    def check_pause_lasts(self, outcome):
        """Check that the pause lasts if another send fails after bytes arrive."""

        async def work():
            entry, send = await self.find_silent()
            self.now += 0.2
            send.answering_since = send.heard_at = self.now
            self.now += 0.05
            entry.health.record(outcome, self.now)
            await self.step()
            self.assertTrue(entry.health.is_paused(self.now))

        self.run_async(work())

    def test_the_pause_for_a_declined_request_outlasts_the_silence(self):
        async def work():
            entry, send = await self.find_silent()
            self.now += 0.1
            declined_at = self.now
            entry.health.record(SendOutcome.DECLINED, self.now)
            await self.hear(entry, send)
            self.assertTrue(entry.health.is_paused(declined_at + 0.09))
            self.assertFalse(entry.health.is_paused(declined_at + 0.11))

        self.run_async(work())

    def test_a_complete_response_ends_all_pauses(self):
        async def work():
            entry, _ = await self.find_silent()
            entry.health.record(SendOutcome.BROKEN, self.now)
            entry.health.record(SendOutcome.SERVED, self.now)
            self.assertFalse(entry.health.is_paused(self.now))

        self.run_async(work())


class IdleSilenceTest(SilenceVerdictTestCase):
    """Guards against pauses of idle upstreams that outlast their silence."""

    async def find_silent_and_idle(self):
        """Let an upstream be found silent, and its send end; return its entry."""
        entry, send = await self.find_silent()
        entry.open_sends.discard(send)
        return entry

    async def watch_for(self, seconds):
        """Let time pass; return when the silent data centre was probed."""
        probed_at = []
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.engines.probed.clear()
            if self.watch._may_need_probe():
                await self.step()
            silent = [name for name in self.engines.probed if name[0] == "b"]
            probed_at.extend([self.now] * len(silent))
        return probed_at

    def test_an_idle_upstream_that_answers_a_probe_is_used_again(self):
        async def work():
            entry = await self.find_silent_and_idle()
            self.engines.cut = set()
            await self.watch_for(REPROBE_SECONDS + STEP_SECONDS)
            self.assertFalse(entry.health.is_paused(self.now))

        self.run_async(work())

    def test_so_is_one_with_a_request_that_may_not_run_elsewhere(self):
        async def work():
            entry = await self.find_silent_and_idle()
            entry.open_sends.add(OpenSend(FakeHandle([], "b1"), lambda: False))
            self.engines.cut = set()
            await self.watch_for(REPROBE_SECONDS + STEP_SECONDS)
            self.assertFalse(entry.health.is_paused(self.now))

        self.run_async(work())

    def test_an_idle_upstream_that_stays_silent_is_paused_as_long_as_before(self):
        async def work():
            found_at = self.now
            entry = await self.find_silent_and_idle()
            bad_in_row, until = entry.health.bad_in_row, entry.health.paused_until
            probed_at = [found_at, *await self.watch_for(MIN_PAUSE_SECONDS * 3)]
            self.assertEqual(until, entry.health.paused_until)
            self.assertEqual(bad_in_row, entry.health.bad_in_row)
            # The last probe is sent before the pause ends.
            self.assertLess(probed_at[-1], until)
            for earlier, later in itertools.pairwise(probed_at):
                self.assertGreaterEqual(later - earlier, REPROBE_SECONDS)

        self.run_async(work())

    def test_an_idle_upstream_that_is_leaving_is_not_probed(self):
        async def work():
            entry = await self.find_silent_and_idle()
            entry.removed_at = self.now
            self.assertEqual([], await self.watch_for(MIN_PAUSE_SECONDS))

        self.run_async(work())

    def test_an_idle_upstream_that_was_replaced_is_not_probed(self):
        async def work():
            entry = await self.find_silent_and_idle()
            upstream = attrs.evolve(entry.upstream, address="b1:2")
            self.directory.entries_by_id["b1"] = UpstreamEntry(upstream)
            self.assertEqual([], await self.watch_for(MIN_PAUSE_SECONDS))

        self.run_async(work())

    def test_an_unreachable_data_centre_is_probed_no_more_often(self):
        async def work():
            await self.find_silent_and_idle()
            for name in ("b1", "b2"):
                self.reach.record_timeout("b", name, self.now, is_upstream=True)
            probed_at = await self.watch_for(MIN_PAUSE_SECONDS * 3)
            for earlier, later in itertools.pairwise(probed_at):
                self.assertGreaterEqual(later - earlier, REPROBE_SECONDS)

        self.run_async(work())

    def test_several_idle_upstreams_of_an_unreachable_data_centre_take_turns(self):
        async def work():
            for name in ("b2", "b3"):
                self.directory.put(Upstream(name, "s", f"{name}:1", "b"))
            for name in ("b1", "b2", "b3"):
                entry, send = await self.find_silent(name)
                entry.open_sends.discard(send)
            self.assertTrue(self.reach.is_unreachable("b"))
            probed_at = await self.watch_for(MIN_PAUSE_SECONDS * 3)
            self.assertGreater(len(probed_at), 1)
            for earlier, later in itertools.pairwise(probed_at):
                self.assertGreaterEqual(later - earlier, UNREACHABLE_PROBE_SECONDS)

        self.run_async(work())
