"""Data centres that become unreachable, and probes of their other upstreams."""

import asyncio

import testtools

from lynxchute.fleet.members import Member, Members
from lynxchute.reachability import TIMEOUT_WINDOW_SECONDS, Reachability
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable, Probe
from lynxchute.upstreams.entry import OpenSend
from lynxchute.upstreams.health import SendOutcome
from lynxchute.upstreams.silence import SilenceWatch
from lynxchute.upstreams.upstream import Upstream
from tests.support import AsyncTestCase


class ReachabilityTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reach = Reachability("a")

    def record_timeouts(self, *names, now=10.0, data_centre="b"):
        for name in names:
            self.reach.record_timeout(
                data_centre, name, now, is_upstream=name[0] == "u"
            )

    def test_one_silent_upstream_does_not_cut_a_data_centre(self):
        self.record_timeouts("u1", "u1")
        self.assertFalse(self.reach.is_unreachable("b"))

    def test_silent_routers_alone_do_not_cut_a_data_centre(self):
        self.record_timeouts("r1", "r2", "r3")
        self.assertFalse(self.reach.is_unreachable("b"))
        self.record_timeouts("u1")
        self.assertTrue(self.reach.is_unreachable("b"))

    def test_any_answer_resets_the_evidence(self):
        self.record_timeouts("u1")
        self.reach.record_response("b")
        self.record_timeouts("u2")
        self.assertFalse(self.reach.is_unreachable("b"))

    def test_evidence_expires_but_a_cut_lasts_until_an_answer(self):
        self.record_timeouts("u1", now=10.0)
        self.record_timeouts("u2", now=10.1 + TIMEOUT_WINDOW_SECONDS)
        self.assertFalse(self.reach.is_unreachable("b"))
        self.record_timeouts("u1", now=10.2 + TIMEOUT_WINDOW_SECONDS)
        self.record_timeouts("u1", now=60.0)
        self.assertTrue(self.reach.is_unreachable("b"))
        self.reach.record_response("b")
        self.assertFalse(self.reach.is_unreachable("b"))

    def test_the_own_data_centre_is_never_cut(self):
        self.record_timeouts("u1", "u2", data_centre="a")
        self.assertFalse(self.reach.is_unreachable("a"))

    def test_routers_of_a_cut_data_centre_are_not_asked(self):
        members = Members(Member("a-1", "a", "1", "x:1"), self.reach)
        for vm in ("b-1", "b-2", "c-1"):
            members.put(Member(vm, vm[0], "1", "x:1"))
        members.record_failure("b-1", 10.0)
        self.assertEqual(["b-2", "c-1"], members.remote_homes("account"))
        self.record_timeouts("u1")
        self.assertEqual(["c-1"], members.remote_homes("account"))
        members.record_success("b-1")
        self.assertEqual(2, len(members.remote_homes("account")))


class FakeEngineClient(EngineClient):
    def __init__(self, cut):
        self.cut = cut
        self.probed = []

    async def probe(self, upstream):
        self.probed.append(upstream.id)
        if upstream.data_centre in self.cut:
            raise EngineUnavailable(upstream.id, is_timeout=True)
        return Probe()

    async def cached_parts(self, upstream):
        return []


class FakeHandle:
    def __init__(self, aborted, name):
        self._aborted = aborted
        self._name = name

    def abort(self):
        self._aborted.append(self._name)


class SilenceWatchTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.aborted = []
        self.directory = Directory()
        self.engines = FakeEngineClient({"b"})
        self.reach = Reachability("a")
        self.watch = SilenceWatch(
            self.directory, self.engines, self.reach, lambda: self.now
        )
        for name in ("a1", "b1", "b2", "b3"):
            self.directory.put(Upstream(name, "s", f"{name}:1", name[0]))

    def entry(self, name):
        return self.directory.entries_by_id[name]

    def open_send(self, name, heard_at):
        handle = FakeHandle(self.aborted, name)
        self.entry(name).open_sends.add(OpenSend(handle, lambda: True))
        self.entry(name).heard_at = heard_at

    async def step(self):
        await self.watch._step()
        while self.watch.tasks._tasks:
            await asyncio.sleep(0)

    def test_other_upstreams_of_a_silent_data_centre_are_probed_at_once(self):
        async def work():
            self.open_send("b1", self.now - 0.4)
            self.open_send("b2", self.now - 0.15)
            self.open_send("a1", self.now - 0.15)
            await self.step()
            # The last probe shows that the sends can go on elsewhere.
            self.assertEqual(["b1", "b2", "a1"], self.engines.probed)
            self.assertEqual({"b1", "b2"}, set(self.aborted))
            self.assertTrue(self.reach.is_unreachable("b"))

        self.run_async(work())

    def test_an_answer_outlasts_the_back_off_of_tcp_after_a_second_of_silence(self):
        async def work():
            # Segments that are lost in a second of silence are sent again after 1.4 s.
            begun = self.now
            self.open_send("b1", begun)
            (send,) = self.entry("b1").open_sends
            send.answering_since = send.heard_at = begun
            for step in range(1, 19):
                self.now = begun + step / 10
                await self.step()
                if step <= 14:
                    self.assertEqual([], self.aborted, step)
            self.assertEqual(["b1"], self.aborted)

        self.run_async(work())

    def test_no_send_is_cancelled_if_a_later_probe_was_answered(self):
        async def work():
            found = asyncio.Event()

            async def probe(upstream):
                self.engines.probed.append(upstream.id)
                if self.engines.probed == ["b1"]:
                    raise EngineUnavailable(upstream.id, is_timeout=True)
                if upstream.id != "b1":
                    await found.wait()
                return Probe()

            self.engines.probe = probe
            self.open_send("b1", self.now - 0.4)
            for _ in range(2):
                await self.watch._step()
                for _ in range(5):
                    await asyncio.sleep(0)
                self.now += 0.7
            found.set()
            while self.watch.tasks._tasks:
                await asyncio.sleep(0)
            self.assertEqual(2, self.engines.probed.count("b1"))
            self.assertEqual([], self.aborted)
            self.assertFalse(self.entry("b1").health.is_paused(self.now))

        self.run_async(work())

    def test_no_send_is_cancelled_while_no_upstream_answers(self):
        async def work():
            self.engines.cut = {"a", "b"}
            self.open_send("b1", self.now - 0.4)
            self.open_send("a1", self.now - 0.4)
            await self.step()
            self.assertEqual([], self.aborted)

        self.run_async(work())

    def test_a_cut_data_centre_is_probed_until_it_answers_and_then_used_at_once(self):
        async def work():
            for name in ("b1", "b2"):
                self.reach.record_timeout("b", name, self.now, is_upstream=True)
                self.entry(name).health.record(SendOutcome.UNREACHED, self.now)
            for _ in range(10):
                self.now += 0.1
                await self.step()
            self.assertEqual(2, len(self.engines.probed))
            self.engines.cut = set()
            self.now += 0.6
            await self.step()
            self.assertFalse(self.reach.is_unreachable("b"))
            self.assertFalse(self.entry("b1").health.is_paused(self.now))
            probed = len(self.engines.probed)
            self.now += 2.0
            await self.step()
            self.assertEqual(probed, len(self.engines.probed))

        self.run_async(work())

    def test_an_upstream_that_sends_events_is_not_probed(self):
        async def work():
            self.open_send("b1", self.now - 0.05)
            await self.step()
            self.assertEqual([], self.engines.probed)

        self.run_async(work())
