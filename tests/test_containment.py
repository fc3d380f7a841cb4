"""Messages between routers about requests that crash upstreams."""

import asyncio

import attrs
from testtools import TestCase

from lynxchute.application import Tasks
from lynxchute.containment.containment import MAX_PENDING, Containment
from lynxchute.containment.news import (
    DELIVERY_SECONDS,
    MAX_UPDATES,
    QuarantineBroadcast,
)
from lynxchute.containment.part_inquiry import INQUIRY_SECONDS, PartInquirer
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import Ack, from_json, to_json
from lynxchute.fleet.quarantine_messages import (
    CrashEvidence,
    PartInquiry,
    PartReport,
    PartsServed,
    QuarantineUpdate,
)
from lynxchute.fleet.registry import FEED_TIMES
from lynxchute.http import AbortHandle
from lynxchute.platform.store import ANSWER_TIMEOUT
from lynxchute.quarantine import (
    BrokenRun,
    CrashAttribution,
    PartAttribution,
    PartGroup,
    Progress,
    PromptParts,
    QuarantineEntry,
)
from lynxchute.quarantine.part_suspicion import (
    CRASHES_TO_QUARANTINE_PART,
    SERVED_GRACE_MS,
)
from lynxchute.quarantine.suspicion import REPORT_WINDOW_MS
from lynxchute.store import StoreClock
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import CRASH_WINDOW_SECONDS, OpenSend, UpstreamEntry
from lynxchute.upstreams.upstream import Upstream
from tests.support import AsyncTestCase

ROUTERS = 195
ITEM = QuarantineEntry("q", since_ms=1, until_ms=600_000)
ENGINE = Upstream("i-1", "pool", "10.0.0.1:80", "a", slots=64)


def member(number):
    return Member(f"vm-{number}", f"dc-{number % 5}", f"run-{number}", "10.0.0.1:7340")


class RecordingPeers(Peers):
    """Accept and record every message, except to unreachable routers."""

    def __init__(self):
        self.messages = []
        self.unreachable = set()

    async def ask(self, vm, message):
        # Encodes and decodes the message as on the wire.
        self.messages.append((vm, from_json(to_json(message), type(message))))
        if vm in self.unreachable:
            raise PeerUnreachable(vm)
        return Ack()


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
        self.peers = RecordingPeers()


# Seconds within which a reconnected router must know what the others know.
MAX_CATCH_UP_SECONDS = 3.0


class FeedTest(TestCase):
    def test_a_reconnected_router_catches_up_in_time(self):
        # The judge may consider the router unreachable for some seconds longer.
        catch_up_seconds = FEED_TIMES.wait + FEED_TIMES.pause + ANSWER_TIMEOUT
        self.assertLess(catch_up_seconds, MAX_CATCH_UP_SECONDS)


class QuarantineBroadcastTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.broadcast = QuarantineBroadcast(
            self.fleet.members, self.fleet.peers, lambda: self.fleet.now
        )

    def test_each_router_is_notified_once(self):
        async def work():
            self.broadcast.publish(quarantined=(ITEM,))
            for _ in range(3):
                await self.broadcast.send_pending()

        self.run_async(work())
        notified = [vm for vm, _ in self.fleet.peers.messages]
        self.assertEqual(ROUTERS - 1, len(notified))
        self.assertEqual(len(notified), len(set(notified)))
        self.assertFalse(self.broadcast.has_undelivered)

    def test_unreachable_routers_are_retried_until_expiry(self):
        async def work():
            self.fleet.peers.unreachable.add("vm-7")
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

    def test_restarted_routers_are_notified_again(self):
        async def work():
            self.broadcast.publish(quarantined=(ITEM,))
            await self.broadcast.send_pending()
            self.fleet.members.put(Member("vm-7", "dc-2", "run-new", "10.0.0.1:7340"))
            await self.broadcast.send_pending()

        self.run_async(work())
        vm, message = self.fleet.peers.messages[-1]
        self.assertEqual(("vm-7", QuarantineUpdate((ITEM,))), (vm, message))
        self.assertEqual(ROUTERS, len(self.fleet.peers.messages))

    def test_released_requests_are_not_sent(self):
        async def work():
            self.broadcast.publish(quarantined=(ITEM,))
            self.broadcast.publish(cleared=("other",))
            self.broadcast.prune(set())
            await self.broadcast.send_pending()

        self.run_async(work())
        notified = {message.cleared for _, message in self.fleet.peers.messages}
        self.assertEqual({("other",)}, notified)

    def test_messages_are_bounded(self):
        for number in range(2 * MAX_UPDATES):
            self.broadcast.publish(cleared=(f"q{number}",))
        self.assertEqual(MAX_UPDATES, len(self.broadcast._updates))


class EvidenceTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()

    def containment(self):
        directory = Directory()
        directory.entries_by_id[ENGINE.id] = UpstreamEntry(ENGINE)
        return Containment(
            self.fleet.members,
            self.fleet.peers,
            FakeStore(),
            directory,
            Metrics(),
            lambda: self.fleet.now,
        )

    def open_send(self, content="q", progress=Progress.BEGUN):
        return OpenSend(AbortHandle(), lambda: True, content, progress=progress)

    def sent_evidence(self, work):
        """Return the runs that are reported to the fleet's judge."""

        async def send_evidence():
            containment = self.containment()
            work(containment)
            await containment._send_evidence()
            return containment

        containment = self.run_async(send_evidence())
        # Either another router is the judge, or this one is.
        messages = [message for _, message in self.fleet.peers.messages]
        if not messages:
            return containment.judge.attribution.has_pending_crashes()
        self.assertEqual([CrashEvidence], [type(message) for message in messages])
        return messages[0].broken

    def test_all_runs_of_a_crash_are_sent_together(self):
        def work(containment):
            for number in range(64):
                containment.record_broken(ENGINE, self.open_send(f"q{number}"))

        self.assertEqual(64, len(self.sent_evidence(work)))

    def test_runs_cancelled_by_the_router_are_not_reported(self):
        def work(containment):
            cancelled = self.open_send()
            cancelled.cancel()
            containment.record_broken(ENGINE, cancelled)

        self.assertEqual(False, self.sent_evidence(work))

    def test_runs_past_the_crash_window_are_not_reported(self):
        def work(containment):
            long_run = self.open_send()
            long_run.record_answering(self.fleet.now)
            self.fleet.now += CRASH_WINDOW_SECONDS
            containment.record_broken(ENGINE, long_run)
            young = self.open_send("young")
            young.record_answering(self.fleet.now)
            containment.record_broken(ENGINE, young)

        expected = (BrokenRun("young", "i-1", Progress.ANSWERING),)
        self.assertEqual(expected, self.sent_evidence(work))

    def test_requests_served_recently_are_not_reported(self):
        def work(containment):
            containment.record_end(self.open_send(), is_whole=True)
            containment.record_broken(ENGINE, self.open_send())

        self.assertEqual(False, self.sent_evidence(work))

    def test_evidence_is_bounded(self):
        def work(containment):
            for number in range(2 * MAX_PENDING):
                containment.record_broken(ENGINE, self.open_send(f"q{number}"))

        self.assertEqual(MAX_PENDING, len(self.sent_evidence(work)))

    def test_the_next_judge_gets_recent_evidence(self):
        async def work():
            containment = self.containment()
            containment.record_broken(ENGINE, self.open_send())
            await containment._send_evidence()
            first, _ = self.fleet.peers.messages[-1]
            self.fleet.members.remove(first)
            await containment._send_evidence()
            second, message = self.fleet.peers.messages[-1]
            self.assertNotEqual(first, second)
            self.assertEqual("q", message.broken[0].content)
            # Requests that were served since are not reported again.
            containment.record_end(self.open_send(), is_whole=True)
            self.fleet.members.remove(second)
            await containment._send_evidence()
            _, message = self.fleet.peers.messages[-1]
            self.assertEqual(CrashEvidence((), ("q",)), message)

        self.run_async(work())

    def parts_blamed_by_the_next_judge(
        self, *, is_served_since, progress=Progress.BEGUN
    ):
        """Return the parts that a new judge blames for crashes of some seconds ago."""
        prompt = PromptParts("pool m", "v1", "a", ("p",))

        async def work():
            containment = self.containment()
            for number in range(CRASHES_TO_QUARANTINE_PART):
                engine = attrs.evolve(ENGINE, id=f"i-{number}")
                send = self.open_send(f"q{number}")
                send.prompt, send.progress = prompt, progress
                containment.record_broken(engine, send)
            await containment._send_evidence()
            judge, _ = self.fleet.peers.messages[-1]
            self.fleet.now += 1.0
            if is_served_since:
                served = self.open_send("served")
                served.prompt = prompt
                containment.record_end(served, is_whole=True, is_served=True)
            self.fleet.now += 2 * SERVED_GRACE_MS / 1000.0
            self.fleet.members.remove(judge)
            await containment._send_evidence()
            _, message = self.fleet.peers.messages[-1]
            attribution, now_ms = CrashAttribution(), containment.judge.now_ms()
            for run in message.broken:
                attribution.record_run(run, now_ms)
            now_ms += REPORT_WINDOW_MS
            attribution.judge(now_ms)
            parts = attribution.parts
            for report in containment.parts.report(parts.suspected(now_ms)):
                parts.record_served(report.scope, report.version, report.at_ms, now_ms)
            return [entry.parts for entry in parts.quarantine_proven(now_ms)]

        return self.run_async(work())

    def test_the_next_judge_does_not_blame_parts_that_were_served_since(self):
        self.assertEqual([], self.parts_blamed_by_the_next_judge(is_served_since=True))

    def test_the_next_judge_blames_parts_for_earlier_crashes(self):
        blamed = self.parts_blamed_by_the_next_judge(is_served_since=False)
        self.assertEqual([("p",)], blamed)

    def test_the_next_judge_blames_no_part_of_a_run_that_waited(self):
        # The run that was the cause may have been at a router that has ended.
        blamed = self.parts_blamed_by_the_next_judge(
            is_served_since=False, progress=Progress.UNANSWERED
        )
        self.assertEqual([], blamed)

    def test_a_request_served_after_its_first_crash_is_cleared(self):
        async def work():
            containment = self.containment()
            since_ms = containment.judge.now_ms()
            self.fleet.now += 1.0
            containment.record_end(self.open_send(), is_whole=True)
            item = QuarantineEntry("q", since_ms, since_ms + 600_000)
            await containment._handle_update_message(QuarantineUpdate((item,)))
            self.assertIsNone(containment.quarantine_seconds_left("q"))
            await containment._send_evidence()
            _, message = self.fleet.peers.messages[-1]
            self.assertEqual(("q",), message.survived)

        self.run_async(work())

    def test_quarantine_expires_by_the_clock_of_the_store(self):
        async def work():
            containment = self.containment()
            until_ms = containment.judge.now_ms() + 5_000
            await containment._handle_update_message(
                QuarantineUpdate((QuarantineEntry("q", 0, until_ms),))
            )
            seconds_left = containment.quarantine_seconds_left("q")
            self.assertTrue(4.9 < seconds_left <= 5.0, seconds_left)
            self.fleet.now += 5.1
            self.assertIsNone(containment.quarantine_seconds_left("q"))

        self.run_async(work())


class HangingPeers(RecordingPeers):
    """Accept messages, and never answer those to some routers."""

    def __init__(self, hanging):
        super().__init__()
        self.hanging = hanging

    async def ask(self, vm, message):
        if vm in self.hanging:
            await asyncio.sleep(60)
        await super().ask(vm, message)
        return PartReport((PartsServed("pool m", "v1", {"p": 7}, 2),))


class PartInquiryTest(AsyncTestCase):
    def test_routers_that_do_not_answer_do_not_delay_a_verdict(self):
        async def work():
            fleet = Fleet(routers=300)
            hanging = {f"vm-{number}" for number in range(1, 300, 30)}
            tasks = Tasks()
            inquirer = PartInquirer(
                fleet.members, HangingPeers(hanging), lambda groups: PartReport(), tasks
            )
            group = PartGroup("pool m", "v1", ("p",), 0)
            begin = asyncio.get_running_loop().time()
            served = (await inquirer.ask([group])).served
            seconds = asyncio.get_running_loop().time() - begin
            await tasks.stop()
            return served, seconds

        served, seconds = self.run_async(work())
        self.assertEqual(299 - 10, len(served))
        self.assertLess(seconds, 2 * INQUIRY_SECONDS)

    def blamed_parts(self, crashes, served=()):
        """Return the parts that are blamed, given what one router has served.

        Parameters
        ----------
        crashes
            The version of each upstream that crashed, and the parts of its runs.
        served
            Parts that another version has served a second after the first crash.
        """

        async def work():
            fleet, attribution = Fleet(), PartAttribution()
            containment = Containment(
                fleet.members,
                fleet.peers,
                FakeStore(),
                Directory(),
                Metrics(),
                lambda: fleet.now,
            )
            for number, (version, prompts) in enumerate(crashes):
                runs = [
                    BrokenRun(
                        f"q{number}.{run}",
                        f"i-{number}",
                        Progress.BEGUN,
                        prompt=PromptParts("pool m", version, "a", parts),
                    )
                    for run, parts in enumerate(prompts)
                ]
                now_ms = containment.judge.now_ms()
                attribution.record_crash(f"i-{number}", runs, now_ms)
                fleet.now += 1.0
                if not number and served:
                    send = OpenSend(
                        AbortHandle(),
                        lambda: True,
                        prompt=PromptParts("pool m", "v3", "a", served),
                    )
                    containment.record_end(send, is_whole=True, is_served=True)
            now_ms = containment.judge.now_ms()
            for report in containment.parts.report(attribution.suspected(now_ms)):
                attribution.record_served(
                    report.scope, report.version, report.at_ms, now_ms
                )
            return [e.parts for e in attribution.quarantine_proven(now_ms)]

        return self.run_async(work())

    def test_a_crash_at_an_unknown_version_is_cleared_by_any_version(self):
        # A restarted engine names its version in its first response.
        crashes = [(version, [("p",)]) for version in ("", "", "v1", "v1")]
        self.assertEqual([("p",)], self.blamed_parts(crashes))
        self.assertEqual([], self.blamed_parts(crashes, served=("p",)))

    def test_a_crash_at_a_known_version_is_not_cleared_by_another_one(self):
        crashes = [("v1", [("p",)])] * CRASHES_TO_QUARANTINE_PART
        self.assertEqual([("p",)], self.blamed_parts(crashes, served=("p",)))

    def test_a_part_is_known_to_work_where_a_version_without_crashes_serves_it(self):
        crashes = [
            ("v1", [("d",), ("shared",)]),
            ("v1", [("shared", "p"), ("shared",)]),
            ("v1", [("d",), ("shared",)]),
            ("v1", [("p",), ("shared",)]),
        ]
        self.assertEqual([("shared",)], self.blamed_parts(crashes))
        self.assertEqual([], self.blamed_parts(crashes, served=("shared",)))

    def test_a_router_reports_parts_that_it_serves_and_has_served(self):
        async def work():
            fleet = Fleet()
            directory = Directory()
            entry = directory.entries_by_id[ENGINE.id] = UpstreamEntry(ENGINE)
            containment = Containment(
                fleet.members,
                fleet.peers,
                FakeStore(),
                directory,
                Metrics(),
                lambda: fleet.now,
            )
            ended, running, young = (
                OpenSend(
                    AbortHandle(),
                    lambda: True,
                    part,
                    prompt=PromptParts("pool m", "v1", "a", (part,)),
                )
                for part in ("ended", "running", "young")
            )
            containment.record_end(ended, is_whole=True, is_served=True)
            running.record_answering(fleet.now)
            fleet.now += CRASH_WINDOW_SECONDS
            young.record_answering(fleet.now)
            entry.open_sends.update({running, young})
            group = PartGroup("pool m", "v1", ("ended", "running", "young"), 0)
            other = PartGroup("pool m", "v2", ("ended",), 0)
            report = await containment._handle_inquiry(PartInquiry((group, other)))
            return [sorted(served.at_ms) for served in report.served]

        self.assertEqual([["ended", "running"], []], self.run_async(work()))
