"""How the fleet's routers tell one another of requests that end upstreams."""

from testtools import TestCase

from lynxchute.containment.containment import MAX_PENDING, Containment
from lynxchute.containment.news import (
    DELIVERY_SECONDS,
    MAX_UPDATES,
    QuarantineBroadcast,
)
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import Done, from_json, to_json
from lynxchute.fleet.quarantine_messages import QuarantineNews, RunEvidence
from lynxchute.fleet.registry import FEED_TIMES
from lynxchute.http import AbortHandle
from lynxchute.platform.store import ANSWER_TIMEOUT
from lynxchute.quarantine import BrokenRun, Progress, QuarantineEntry
from lynxchute.store import StoreClock
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import CRASH_WINDOW_SECONDS, Entry, OpenSend
from lynxchute.upstreams.upstream import Upstream
from tests.support import AsyncTestCase

ROUTERS = 195
ITEM = QuarantineEntry("q", since_ms=1, until_ms=600_000)
ENGINE = Upstream("i-1", "pool", "10.0.0.1:80", "a", slots=64)


def member(number):
    return Member(f"vm-{number}", f"dc-{number % 5}", f"run-{number}", "10.0.0.1:7340")


class CountingPeers(Peers):
    """Take every message, but those to routers that are gone."""

    def __init__(self):
        self.messages = []
        self.gone = set()

    async def ask(self, vm, message):
        # What comes over the wire is what was sent.
        self.messages.append((vm, from_json(to_json(message), type(message))))
        if vm in self.gone:
            raise PeerUnreachable(vm)
        return Done()


class FakeStore:
    def __init__(self):
        self.clock = StoreClock()
        self.clock.observe(told_ms=1_000_000, now=0.0)


class Fleet:
    def __init__(self, routers=ROUTERS):
        self.now = 0.0
        self.members = Members(member(0))
        for number in range(1, routers):
            self.members.put(member(number))
        self.peers = CountingPeers()


# Seconds in which a router that is in touch again must know what the others know.
CONTACT_SECONDS = 3.0


class FeedTest(TestCase):
    def test_a_router_that_was_cut_off_hears_in_time(self):
        # The judge may take it for out of reach for some seconds more.
        heard_within = FEED_TIMES.wait + FEED_TIMES.pause + ANSWER_TIMEOUT
        self.assertLess(heard_within, CONTACT_SECONDS)


class NewscastTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.broadcast = QuarantineBroadcast(
            self.fleet.members, self.fleet.peers, lambda: self.fleet.now
        )

    def test_each_router_is_told_once(self):
        async def work():
            self.broadcast.publish(quarantined=(ITEM,))
            for _ in range(3):
                await self.broadcast.send_pending()

        self.run_async(work())
        told = [vm for vm, _ in self.fleet.peers.messages]
        self.assertEqual(ROUTERS - 1, len(told))
        self.assertEqual(len(told), len(set(told)))
        self.assertFalse(self.broadcast.has_undelivered)

    def test_who_was_gone_is_told_until_it_is_too_late(self):
        async def work():
            self.fleet.peers.gone.add("vm-7")
            self.broadcast.publish(cleared=("q",))
            await self.broadcast.send_pending()
            await self.broadcast.send_pending()
            self.assertTrue(self.broadcast.has_undelivered)
            self.assertEqual(ROUTERS, len(self.fleet.peers.messages))
            self.fleet.now += DELIVERY_SECONDS
            await self.broadcast.send_pending()
            self.assertFalse(self.broadcast.has_undelivered)

        self.run_async(work())
        self.assertEqual(ROUTERS, len(self.fleet.peers.messages))

    def test_who_has_started_again_is_told_again(self):
        async def work():
            self.broadcast.publish(quarantined=(ITEM,))
            await self.broadcast.send_pending()
            self.fleet.members.put(Member("vm-7", "dc-2", "run-new", "10.0.0.1:7340"))
            await self.broadcast.send_pending()

        self.run_async(work())
        vm, message = self.fleet.peers.messages[-1]
        self.assertEqual(("vm-7", QuarantineNews((ITEM,))), (vm, message))
        self.assertEqual(ROUTERS, len(self.fleet.peers.messages))

    def test_nobody_is_told_of_what_was_taken_back(self):
        async def work():
            self.broadcast.publish(quarantined=(ITEM,))
            self.broadcast.publish(cleared=("other",))
            self.broadcast.retain_only(set())
            await self.broadcast.send_pending()

        self.run_async(work())
        told = {message.cleared for _, message in self.fleet.peers.messages}
        self.assertEqual({("other",)}, told)

    def test_no_more_news_are_kept_than_fit(self):
        for number in range(2 * MAX_UPDATES):
            self.broadcast.publish(cleared=(f"q{number}",))
        self.assertEqual(MAX_UPDATES, len(self.broadcast._updates))


class EvidenceTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()

    def containment(self):
        directory = Directory()
        directory.entries_by_id[ENGINE.id] = Entry(ENGINE)
        return Containment(
            self.fleet.members,
            self.fleet.peers,
            FakeStore(),
            directory,
            Metrics(),
            lambda: self.fleet.now,
        )

    def send(self, content="q", progress=Progress.BEGUN):
        return OpenSend(AbortHandle(), lambda: True, content, progress)

    def evidence_of(self, work):
        """Return what reaches the fleet's judge."""

        async def report():
            containment = self.containment()
            work(containment)
            await containment._send_evidence()
            return containment

        containment = self.run_async(report())
        # At this size another router judges, or this one does.
        messages = [message for _, message in self.fleet.peers.messages]
        if not messages:
            return containment.judge.attribution.has_pending_crashes()
        self.assertEqual([RunEvidence], [type(message) for message in messages])
        return messages[0].broken

    def test_all_runs_of_an_end_go_out_together(self):
        def work(containment):
            for number in range(64):
                containment.record_broken(ENGINE, self.send(f"q{number}"))

        self.assertEqual(64, len(self.evidence_of(work)))

    def test_what_a_router_leaves_is_no_end(self):
        def work(containment):
            left = self.send()
            left.cancel()
            containment.record_broken(ENGINE, left)

        self.assertEqual(False, self.evidence_of(work))

    def test_what_an_upstream_has_run_for_a_while_is_no_cause(self):
        def work(containment):
            long_run = self.send()
            long_run.note_answering(self.fleet.now)
            self.fleet.now += CRASH_WINDOW_SECONDS
            containment.record_broken(ENGINE, long_run)
            young = self.send("young")
            young.note_answering(self.fleet.now)
            containment.record_broken(ENGINE, young)

        expected = (BrokenRun("young", "i-1", Progress.ANSWERING),)
        self.assertEqual(expected, self.evidence_of(work))

    def test_what_was_just_served_here_is_no_cause(self):
        def work(containment):
            containment.record_end(self.send(), is_whole=True)
            containment.record_broken(ENGINE, self.send())

        self.assertEqual(False, self.evidence_of(work))

    def test_evidence_is_bounded(self):
        def work(containment):
            for number in range(2 * MAX_PENDING):
                containment.record_broken(ENGINE, self.send(f"q{number}"))

        self.assertEqual(MAX_PENDING, len(self.evidence_of(work)))

    def test_the_next_judge_gets_what_the_first_one_got(self):
        async def work():
            containment = self.containment()
            containment.record_broken(ENGINE, self.send())
            await containment._send_evidence()
            first, _ = self.fleet.peers.messages[-1]
            self.fleet.members.remove(first)
            await containment._send_evidence()
            second, message = self.fleet.peers.messages[-1]
            self.assertNotEqual(first, second)
            self.assertEqual("q", message.broken[0].content)
            # What has survived since is not told again.
            containment.record_end(self.send(), is_whole=True)
            self.fleet.members.remove(second)
            await containment._send_evidence()
            _, message = self.fleet.peers.messages[-1]
            self.assertEqual(RunEvidence((), ("q",)), message)

        self.run_async(work())

    def test_a_request_that_was_served_after_its_first_end_is_cleared(self):
        async def work():
            containment = self.containment()
            since_ms = containment.judge.now_ms()
            self.fleet.now += 1.0
            containment.record_end(self.send(), is_whole=True)
            item = QuarantineEntry("q", since_ms, since_ms + 600_000)
            await containment._handle_news_message(QuarantineNews((item,)))
            self.assertIsNone(containment.quarantine_seconds_left("q"))
            await containment._send_evidence()
            _, message = self.fleet.peers.messages[-1]
            self.assertEqual(("q",), message.survived)

        self.run_async(work())

    def test_quarantine_goes_on_by_the_stores_time_and_lapses(self):
        async def work():
            containment = self.containment()
            until_ms = containment.judge.now_ms() + 5_000
            await containment._handle_news_message(
                QuarantineNews((QuarantineEntry("q", 0, until_ms),))
            )
            left = containment.quarantine_seconds_left("q")
            self.assertTrue(4.9 < left <= 5.0, left)
            self.fleet.now += 5.1
            self.assertIsNone(containment.quarantine_seconds_left("q"))

        self.run_async(work())
