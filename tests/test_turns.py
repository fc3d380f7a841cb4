"""Requests that wait for their turn at full engines, and routers that place alone."""

import asyncio
import math
import random

import attrs
import testtools

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import from_json, to_json
from lynxchute.fleet.messages import (
    PlaceReply,
    PlaceRequest,
    RunNewsRequest,
)
from lynxchute.http import LinkMeter
from lynxchute.overload.claim import AdmissionPending, AdmissionRefused, Claim
from lynxchute.scheduling.alone import (
    least_loaded,
    max_local_requests,
    sample_candidates,
)
from lynxchute.scheduling.asking import QUERY_TIMEOUT_SECONDS
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.scheduler import Scheduler
from lynxchute.scheduling.turns import (
    GRACE_SECONDS,
    MAX_LABELLED_ACCOUNTS,
    MAX_POLL_SECONDS,
    AdmissionQueue,
)
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.aims import Aims
from lynxchute.upstreams.cold_admission import (
    ColdLimits,
    FirstRegistered,
    RankWatch,
)
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import REPORT_VALID_SECONDS, Entry
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream
from tests.fuzz import run
from tests.support import AsyncTestCase, no_limits_kept, until
from tests.test_scheduling import generation, member
from tests.turns_machine import TurnsMachine

VMS = ("a-1", "a-2", "a-3")


def claim(account="acme", **more):
    values = {"rank": 3, "content": "", "waited": 0.0, "left": 30.0, "due_in": 1.0}
    return Claim(account, **{**values, **more})


class FleetPeers(Peers):
    """Lead one router's messages to other schedulers, some of which fail.

    Parameters
    ----------
    fate_by_vm
        What comes of messages: "killed", "frozen", "cut" (answers are lost) or "slow";
        answered otherwise.
    """

    def __init__(self, fleet, members, fate_by_vm, asked):
        self.fleet = fleet
        self.members = members
        self.fate_by_vm = fate_by_vm
        self.asked = asked

    async def ask(self, vm, message):
        fate = self.fate_by_vm.get(vm)
        if isinstance(message, PlaceRequest):
            self.asked.append((vm, message.run_id))
        if fate == "killed":
            self.members.note_silence(vm, 0.0)
            raise PeerUnreachable(vm)
        if fate == "frozen":
            await asyncio.Event().wait()
        scheduler = self.fleet[vm]
        message = from_json(to_json(message), type(message))
        if isinstance(message, RunNewsRequest):
            return await scheduler._handle_run_news(message)
        reply = await scheduler._handle_place_request(message)
        if fate == "slow":
            await asyncio.sleep(10 * QUERY_TIMEOUT_SECONDS)
        if fate == "cut":
            await asyncio.Event().wait()
        return from_json(to_json(reply), PlaceReply)


class TurnsTestCase(AsyncTestCase):
    """Three routers with one engine of two places, if nothing else is said."""

    ENGINES = 1
    SLOTS = 2

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.fleet = {}
        self.fate_by_vm = {}
        self.asked = []
        self.members_by_vm = {}
        self.metrics_by_vm = {}
        for vm in VMS:
            self.fleet[vm] = self.scheduler(vm)
        for scheduler in self.fleet.values():
            scheduler.refresh()
        first = self.fleet["a-1"]._scheduling_vm("pool")
        self.order = [first, *[vm for vm in VMS if vm != first]]
        self.first, self.asker = self.fleet[first], self.fleet[self.order[1]]

    def scheduler(self, vm):
        members = Members(member(vm))
        for other in VMS:
            members.put(member(other))
        self.members_by_vm[vm] = members
        self.metrics_by_vm[vm] = Metrics()
        directory = Directory()
        for number in range(self.ENGINES):
            address = f"127.0.0.1:{number + 1}"
            directory.put(
                Upstream(f"e{number}", "pool", address, "a", slots=self.SLOTS)
            )
        limits = ColdLimits()
        return Scheduler(
            members,
            FleetPeers(self.fleet, members, self.fate_by_vm, self.asked),
            directory,
            lambda service: None,
            None,
            SendGate(Evacuations(), lambda service: limits, no_limits_kept()),
            ColdPlacementLimiter(
                FirstRegistered(), RankWatch(lambda s: 0), lambda s: limits
            ),
            LinkMeter(1e6),
            lambda: self.now,
            turns=AdmissionQueue(lambda account: 1.0, self.metrics_by_vm[vm]),
        )

    async def choose(self, scheduler, run_id, **more):
        """Ask once; return the choice, the seconds to wait, or the refusal."""
        entries = list(scheduler._directory.entries_by_id.values())
        aims = Aims(claim=claim(**more))
        try:
            return await scheduler.choose(run_id, generation(), entries, aims)
        except (AdmissionPending, AdmissionRefused) as turn:
            return turn

    async def fill(self):
        for number in range(self.ENGINES * self.SLOTS):
            choice = await self.choose(self.asker, f"full{number}")
            self.assertIsNotNone(choice.entry)

    async def free(self, run_id="full0", upstream="e0"):
        self.asker.record_end(run_id, upstream, failed=False)
        await until(
            lambda: run_id not in self.first.board.engines_by_id[upstream].runs_by_id
        )

    def waiting(self, scheduler=None):
        rows = (scheduler or self.first).placing.turns.describe(self.now)
        return sum(row["waiting"] for row in rows)

    def run_fleet(self, scenario):
        async def work():
            for scheduler in self.fleet.values():
                await scheduler.start()
            try:
                await scenario()
            finally:
                for scheduler in self.fleet.values():
                    await scheduler.stop()

        self.run_async(work())


class WaitTest(TurnsTestCase):
    def test_what_finds_all_engines_full_waits_and_is_placed_in_its_turn(self):
        async def scenario():
            await self.fill()
            self.assertIsInstance(await self.choose(self.asker, "r1"), AdmissionPending)
            later = await self.choose(self.asker, "r2")
            self.assertEqual(1, later.ahead)
            await self.free()
            # A newcomer and the second one leave the place to the first one.
            self.assertIsInstance(await self.choose(self.first, "r3"), AdmissionPending)
            self.assertIsInstance(await self.choose(self.asker, "r2"), AdmissionPending)
            choice = await self.choose(self.asker, "r1")
            self.assertEqual("e0", choice.entry.upstream.id)
            self.assertEqual(2, self.waiting())
            self.assertEqual(2, len(self.first.board.engines_by_id["e0"].runs_by_id))

        self.run_fleet(scenario)

    def test_a_place_is_asked_for_again_soon_enough(self):
        self.assertLessEqual(MAX_POLL_SECONDS + QUERY_TIMEOUT_SECONDS, 0.3)

    def test_a_caller_who_leaves_gives_its_turn_up(self):
        async def scenario():
            await self.fill()
            await self.choose(self.asker, "r1")
            self.assertEqual(1, self.waiting())
            self.asker.record_end("r1", "", failed=False)
            await until(lambda: not self.waiting())

        self.run_fleet(scenario)

    def test_a_ticket_that_nobody_asks_for_is_dropped(self):
        async def scenario():
            await self.fill()
            await self.choose(self.asker, "r1")
            self.now += MAX_POLL_SECONDS + GRACE_SECONDS + 0.01
            turn = await self.choose(self.asker, "r2")
            self.assertEqual((0, 1), (turn.ahead, self.waiting()))

        self.run_fleet(scenario)

    def test_tickets_of_routers_that_are_gone_are_dropped(self):
        async def scenario():
            await self.fill()
            await self.choose(self.asker, "r1")
            self.members_by_vm[self.order[0]].remove(self.order[1])
            self.first.refresh()
            self.assertEqual(0, self.waiting())

        self.run_fleet(scenario)

    def test_an_engine_without_memory_for_it_is_full(self):
        async def scenario():
            big = generation(tokens=399_000)
            entries = list(self.asker._directory.entries_by_id.values())
            aims = Aims(claim=claim())
            choice = await self.asker.choose("big", big, entries, aims)
            self.assertIsNotNone(choice.entry)
            self.assertIsInstance(await self.choose(self.asker, "r1"), AdmissionPending)

        self.run_fleet(scenario)

    def test_what_is_larger_than_an_engine_gets_an_idle_one(self):
        async def scenario():
            big = generation(tokens=900_000)
            entries = list(self.asker._directory.entries_by_id.values())
            aims = Aims(claim=claim())
            choice = await self.asker.choose("big", big, entries, aims)
            self.assertIsNotNone(choice.entry)

        self.run_fleet(scenario)


class RefuseTest(TurnsTestCase):
    def test_who_would_wait_too_long_is_told_when_to_come_and_is_first_then(self):
        async def scenario():
            await self.fill()
            for number in range(10):
                await self.choose(self.asker, f"r{number}")
            refused = await self.choose(
                self.asker, "short", account="b", content="c", left=0.5
            )
            self.assertIsInstance(refused, AdmissionRefused)
            self.assertLess(0.0, refused.retry_after)
            self.now += refused.retry_after
            back = await self.choose(self.asker, "back", account="b", content="c")
            self.assertEqual(0, back.ahead)

        self.run_fleet(scenario)

    def test_who_comes_at_once_gains_nothing_and_pays(self):
        async def scenario():
            await self.fill()
            for number in range(10):
                await self.choose(self.asker, f"r{number}")
            for number in range(40):
                await self.choose(
                    self.asker, f"s{number}", account="b", content="c", left=0.3
                )
            shares = self.first.placing.turns.shares
            self.assertGreater(shares.excess("b", self.now), 1.5)
            patient = await self.choose(self.asker, "p", account="b", content="d")
            newest = await self.choose(self.asker, "n", account="small")
            self.assertLess(newest.ahead, patient.ahead + 1)

        self.run_fleet(scenario)

    def test_asking_again_is_no_new_attempt(self):
        async def scenario():
            await self.fill()
            await self.choose(self.asker, "r1", account="b")
            shares = self.first.placing.turns.shares
            before = shares.excess("b", self.now)
            for _ in range(20):
                await self.choose(self.asker, "r1", account="b")
            self.assertEqual(before, shares.excess("b", self.now))

        self.run_fleet(scenario)


class LabelsTest(TurnsTestCase):
    def test_metrics_tell_a_bounded_number_of_accounts_apart(self):
        async def scenario():
            await self.fill()
            await self.choose(self.asker, "first")
            for number in range(3 * MAX_LABELLED_ACCOUNTS):
                account = f"acct-{number}"
                refused = await self.choose(
                    self.asker, f"r{number}", account=account, left=0.0
                )
                self.assertIsInstance(refused, AdmissionRefused)
            text, _ = self.metrics_by_vm[self.order[0]].exposition()
            lines = [
                line
                for line in text.decode().splitlines()
                if line.startswith("lynxchute_turns_refused_total")
            ]
            self.assertEqual(MAX_LABELLED_ACCOUNTS + 1, len(lines))
            self.assertIn("lynxchute_waiting_requests 1", text.decode())

        self.run_fleet(scenario)


class BadClaimTest(TurnsTestCase):
    def ask(self, bad, router=None, run_id="x"):
        router = router or member(self.order[1]).incarnation
        request = PlaceRequest(
            run_id, "pool", "a", (), 100, 10, (("p", 10),), router, claim=bad
        )
        return self.first.placing.handle_request(request)

    def test_what_no_router_asks_is_refused_and_harms_nothing(self):
        async def scenario():
            await self.fill()
            self.assertIsInstance(await self.choose(self.asker, "r1"), AdmissionPending)
            good = claim()
            bad = [
                attrs.evolve(good, left=value)
                for value in (-1.0, 1e9, math.inf, math.nan)
            ]
            bad.extend(attrs.evolve(good, waited=v) for v in (-1.0, 1e9, math.nan))
            bad.extend(attrs.evolve(good, due_in=v) for v in (math.inf, math.nan))
            bad.append(attrs.evolve(good, rank=-1))
            bad.append(attrs.evolve(good, rank=10**9))
            bad.append(attrs.evolve(good, account="a" * 10_000))
            for item in bad:
                reply = await self.ask(item)
                self.assertEqual(PlaceReply(""), reply, item)
            for router in ("nobody", "run-of-a-1-before"):
                reply = await self.ask(good, router)
                # Its router places by itself.
                self.assertEqual(PlaceReply(""), reply)
            other = member(self.order[2]).incarnation
            duplicate = await self.ask(good, other, "r1")
            self.assertEqual(PlaceReply(""), duplicate)
            self.assertEqual(1, self.waiting())
            self.assertEqual(0, (await self.choose(self.asker, "r1")).ahead)

        self.run_fleet(scenario)

    def test_a_router_that_is_not_known_yet_places_by_itself(self):
        async def scenario():
            self.members_by_vm[self.order[0]].remove(self.order[1])
            self.first.refresh()
            choice = await self.choose(self.asker, "r1")
            self.assertEqual(self.order[1], choice.placed_by)

        self.run_fleet(scenario)


class FailureTest(TurnsTestCase):
    """The scheduling router fails while requests wait."""

    SLOTS = 4

    def check(self, fate):
        async def scenario():
            await self.fill()
            runs = [f"r{number}" for number in range(3)]
            # The next one in line has filled the engine too, as far as it knows.
            second = self.fleet[self.order[1]]
            third = self.fleet[self.order[2]]
            names = [s._members.own.vm for s in (second, third)]
            line = second._members.in_order("schedule pool", names)
            heir = self.fleet[line[0]]
            asker = self.fleet[line[1]]
            for run_id in runs:
                self.assertIsInstance(
                    await self.choose(asker, run_id), AdmissionPending
                )
            entries = list(heir._directory.entries_by_id.values())
            for number in range(self.SLOTS):
                request = asker._placement_client.build_request(
                    f"other{number}", "pool", generation(), {"e0": entries[0]}, Aims()
                )
                heir.placing.place(request, entries)
            self.fate_by_vm[self.order[0]] = fate
            self.asked.clear()
            # Those that came later ask first.
            for waited, run_id in ((0.1, "r2"), (0.2, "r1"), (0.3, "r0")):
                turn = await self.choose(asker, run_id, waited=waited)
                self.assertIsInstance(turn, AdmissionPending, run_id)
            self.assertIn((line[0], "r0"), self.asked)
            tickets = heir.placing.turns._queue_by_service["pool"].queue
            order = sorted(runs, key=lambda r: tickets.position_of(r, self.now + 1.0))
            self.assertEqual(runs, order)
            heir.record_end("other0", "e0", failed=False)
            heir.board.record_end("e0", "other0", self.now)
            self.now += 0.1
            for run_id in reversed(runs):
                result = await self.choose(asker, run_id)
                is_placed = not isinstance(result, AdmissionPending)
                self.assertEqual(run_id == "r0", is_placed, run_id)
            placed = [s for s in self.fleet.values() if self.runs(s, "r0")]
            self.assertEqual([heir], placed)

        self.run_fleet(scenario)

    def runs(self, scheduler, run_id):
        engines = scheduler.board.engines_by_id.values()
        return [e for e in engines if run_id in e.runs_by_id]

    def test_killed(self):
        self.check("killed")

    def test_frozen(self):
        self.check("frozen")

    def test_cut_off(self):
        self.check("cut")

    def test_too_slow(self):
        self.check("slow")

    def test_what_has_just_come_asks_one_router_and_is_placed_alone_then(self):
        async def scenario():
            self.fate_by_vm[self.order[0]] = "slow"
            choice = await self.choose(self.asker, "r1")
            self.assertEqual(self.order[1], choice.placed_by)
            self.assertEqual([(self.order[0], "r1")], self.asked)

        self.run_fleet(scenario)

    def test_who_reaches_nobody_places_alone_and_soon_without_asking(self):
        async def scenario():
            for vm in VMS:
                self.fate_by_vm[vm] = "frozen"
            for number in range(3):
                choice = await self.choose(self.asker, f"r{number}")
                # It does not know what others send there.
                self.assertEqual(0.0, choice.expected_seconds)
            self.assertEqual(2, len(self.asked))

        self.run_fleet(scenario)


class AloneTest(TurnsTestCase):
    ENGINES = 4
    SLOTS = 16

    def setUp(self):
        super().setUp()
        self.entries = list(self.asker._directory.entries_by_id.values())

    def test_one_router_alone_fills_a_part_of_an_engine_only(self):
        async def scenario():
            for vm in VMS:
                self.fate_by_vm[vm] = "killed"
            self.asker._random = random.Random(1)
            most = max_local_requests(self.SLOTS)
            for number in range(self.ENGINES * most):
                choice = await self.choose(self.asker, f"r{number}")
                choice.entry.open_requests += 1
            self.assertEqual({most}, {e.open_requests for e in self.entries})
            refused = await self.choose(self.asker, "more")
            self.assertIsInstance(refused, AdmissionRefused)

        self.run_fleet(scenario)

    def test_engines_that_say_that_they_are_busy_are_passed_over(self):
        busy, idle = self.entries[:2]
        busy.record_active_requests(12, self.now)
        self.assertEqual([idle], least_loaded([busy, idle], self.now))
        later = self.now + REPORT_VALID_SECONDS + 0.1
        self.assertEqual([busy, idle], least_loaded([busy, idle], later))

    def test_engines_that_fare_badly_are_a_last_resort(self):
        rng = random.Random(3)
        for entry in self.entries[1:]:
            entry.health.bad_in_row = 1
        self.assertEqual(self.entries[:1], sample_candidates(self.entries, rng))
        self.entries[0].health.bad_in_row = 1
        self.assertEqual(2, len(sample_candidates(self.entries, rng)))

    def test_two_at_random_spread_what_many_routers_send(self):
        rng, taken = random.Random(2), {entry: 0 for entry in self.entries}
        for _ in range(400):
            for entry in sample_candidates(self.entries, rng):
                taken[entry] += 1
        self.assertTrue(all(150 < count < 250 for count in taken.values()), taken)

    def test_a_first_of_the_registered_that_nobody_asks_still_waits(self):
        async def scenario():
            await self.fill_first()
            self.assertIsInstance(await self.choose(self.first, "r1"), AdmissionPending)

        self.run_fleet(scenario)

    async def fill_first(self):
        for number in range(self.ENGINES * self.SLOTS):
            await self.choose(self.first, f"full{number}")


class FuzzedTest(testtools.TestCase):
    def test_places_are_kept_to_and_given_back(self):
        run(60, 40, machine=TurnsMachine)


class StatedWorkTest(testtools.TestCase):
    def test_a_word_of_what_is_in_work_ages(self):
        entry = Entry(Upstream("e", "pool", "127.0.0.1:1", "a", slots=8))
        self.assertEqual(0.0, entry.reported_load(5.0))
        entry.record_active_requests(4, 5.0)
        self.assertEqual(0.5, entry.reported_load(5.0 + REPORT_VALID_SECONDS))
        self.assertEqual(0.0, entry.reported_load(5.1 + REPORT_VALID_SECONDS))
