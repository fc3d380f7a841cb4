"""Tests for the admission queue of full engines and for local placement."""

import asyncio
import math
import random

import attrs
import testtools

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import from_json, to_json
from lynxchute.fleet.messages import (
    PlacementReply,
    PlacementRequest,
    RunUpdateRequest,
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
from lynxchute.upstreams.aims import LatencyObjectives
from lynxchute.upstreams.cold_admission import (
    ColdLimits,
    FirstRegistered,
    RankWatch,
)
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import REPORT_VALID_SECONDS, UpstreamEntry
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream
from tests.fuzz import run
from tests.support import AsyncTestCase, unlimited_rates, until
from tests.test_scheduling import generation, member
from tests.turns_machine import TurnsMachine

VMS = ("a-1", "a-2", "a-3")


def claim(account="acme", **more):
    values = {"rank": 3, "content": "", "waited": 0.0, "left": 30.0, "due_in": 1.0}
    return Claim(account, **{**values, **more})


class FleetPeers(Peers):
    """Deliver the messages of one router to other schedulers, some with faults.

    Parameters
    ----------
    fault_by_vm
        The fault of each VM: "killed", "frozen", "cut" (replies are lost) or "slow".
        VMs without an entry answer.
    """

    def __init__(self, fleet, members, fault_by_vm, queries):
        self.fleet = fleet
        self.members = members
        self.fault_by_vm = fault_by_vm
        self.queries = queries

    async def ask(self, vm, message):
        fault = self.fault_by_vm.get(vm)
        if isinstance(message, PlacementRequest):
            self.queries.append((vm, message.run_id))
        if fault == "killed":
            self.members.record_failure(vm, 0.0)
            raise PeerUnreachable(vm)
        if fault == "frozen":
            await asyncio.Event().wait()
        scheduler = self.fleet[vm]
        message = from_json(to_json(message), type(message))
        if isinstance(message, RunUpdateRequest):
            return await scheduler._handle_run_news(message)
        reply = await scheduler._handle_place_request(message)
        if fault == "slow":
            await asyncio.sleep(10 * QUERY_TIMEOUT_SECONDS)
        if fault == "cut":
            await asyncio.Event().wait()
        return from_json(to_json(reply), PlacementReply)


class AdmissionTestCase(AsyncTestCase):
    """Three routers that share one engine with two slots, unless overridden."""

    ENGINES = 1
    SLOTS = 2

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.fleet = {}
        self.fault_by_vm = {}
        self.queries = []
        self.members_by_vm = {}
        self.metrics_by_vm = {}
        for vm in VMS:
            self.fleet[vm] = self.scheduler(vm)
        for scheduler in self.fleet.values():
            scheduler.refresh()
        first = self.fleet["a-1"]._scheduling_vm("pool")
        self.order = [first, *[vm for vm in VMS if vm != first]]
        self.first, self.requester = self.fleet[first], self.fleet[self.order[1]]

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
            FleetPeers(self.fleet, members, self.fault_by_vm, self.queries),
            directory,
            lambda service: None,
            None,
            SendGate(Evacuations(), lambda service: limits, unlimited_rates()),
            ColdPlacementLimiter(
                FirstRegistered(), RankWatch(lambda s: 0), lambda s: limits
            ),
            LinkMeter(1e6),
            lambda: self.now,
            turns=AdmissionQueue(lambda account: 1.0, self.metrics_by_vm[vm]),
        )

    async def choose(self, scheduler, run_id, **more):
        """Query once; return the choice, or the exception raised instead."""
        entries = list(scheduler._directory.entries_by_id.values())
        objectives = LatencyObjectives(claim=claim(**more))
        try:
            return await scheduler.choose(run_id, generation(), entries, objectives)
        except (AdmissionPending, AdmissionRefused) as outcome:
            return outcome

    async def fill(self):
        for number in range(self.ENGINES * self.SLOTS):
            choice = await self.choose(self.requester, f"full{number}")
            self.assertIsNotNone(choice.entry)

    async def free(self, run_id="full0", upstream="e0"):
        self.requester.record_end(run_id, upstream, failed=False)
        await until(
            lambda: run_id not in self.first.board.engines_by_id[upstream].runs_by_id
        )

    def waiting(self, scheduler=None):
        rows = (scheduler or self.first).placing.admission_queue.describe(self.now)
        return sum(row["waiting"] for row in rows)

    def run_fleet(self, scenario):
        async def run_all():
            for scheduler in self.fleet.values():
                await scheduler.start()
            try:
                await scenario()
            finally:
                for scheduler in self.fleet.values():
                    await scheduler.stop()

        self.run_async(run_all())


class QueueTest(AdmissionTestCase):
    def test_request_waits_at_full_engines_and_is_placed_in_order(self):
        async def scenario():
            await self.fill()
            self.assertIsInstance(
                await self.choose(self.requester, "r1"), AdmissionPending
            )
            later = await self.choose(self.requester, "r2")
            self.assertEqual(1, later.ahead)
            await self.free()
            # Neither a new request nor the second in the queue overtakes the first one.
            self.assertIsInstance(await self.choose(self.first, "r3"), AdmissionPending)
            self.assertIsInstance(
                await self.choose(self.requester, "r2"), AdmissionPending
            )
            choice = await self.choose(self.requester, "r1")
            self.assertEqual("e0", choice.entry.upstream.id)
            self.assertEqual(2, self.waiting())
            self.assertEqual(2, len(self.first.board.engines_by_id["e0"].runs_by_id))

        self.run_fleet(scenario)

    def test_dead_scheduling_router_is_detected_within_300_ms(self):
        self.assertLessEqual(MAX_POLL_SECONDS + QUERY_TIMEOUT_SECONDS, 0.3)

    def test_cancelled_request_leaves_the_queue(self):
        async def scenario():
            await self.fill()
            await self.choose(self.requester, "r1")
            self.assertEqual(1, self.waiting())
            self.requester.record_end("r1", "", failed=False)
            await until(lambda: not self.waiting())

        self.run_fleet(scenario)

    def test_ticket_without_polls_is_discarded(self):
        async def scenario():
            await self.fill()
            await self.choose(self.requester, "r1")
            self.now += MAX_POLL_SECONDS + GRACE_SECONDS + 0.01
            outcome = await self.choose(self.requester, "r2")
            self.assertEqual((0, 1), (outcome.ahead, self.waiting()))

        self.run_fleet(scenario)

    def test_tickets_of_removed_routers_are_discarded(self):
        async def scenario():
            await self.fill()
            await self.choose(self.requester, "r1")
            self.members_by_vm[self.order[0]].remove(self.order[1])
            self.first.refresh()
            self.assertEqual(0, self.waiting())

        self.run_fleet(scenario)

    def test_engine_without_free_memory_is_full(self):
        async def scenario():
            big = generation(tokens=399_000)
            entries = list(self.requester._directory.entries_by_id.values())
            objectives = LatencyObjectives(claim=claim())
            choice = await self.requester.choose("big", big, entries, objectives)
            self.assertIsNotNone(choice.entry)
            self.assertIsInstance(
                await self.choose(self.requester, "r1"), AdmissionPending
            )

        self.run_fleet(scenario)

    def test_request_larger_than_an_engine_gets_an_idle_one(self):
        async def scenario():
            big = generation(tokens=900_000)
            entries = list(self.requester._directory.entries_by_id.values())
            objectives = LatencyObjectives(claim=claim())
            choice = await self.requester.choose("big", big, entries, objectives)
            self.assertIsNotNone(choice.entry)

        self.run_fleet(scenario)


class RefusalTest(AdmissionTestCase):
    def test_refused_request_is_first_after_a_timely_retry(self):
        async def scenario():
            await self.fill()
            for number in range(10):
                await self.choose(self.requester, f"r{number}")
            refused = await self.choose(
                self.requester, "short", account="b", content="c", left=0.5
            )
            self.assertIsInstance(refused, AdmissionRefused)
            self.assertLess(0.0, refused.retry_after)
            self.now += refused.retry_after
            back = await self.choose(self.requester, "back", account="b", content="c")
            self.assertEqual(0, back.ahead)

        self.run_fleet(scenario)

    def test_early_retries_are_charged_and_gain_nothing(self):
        async def scenario():
            await self.fill()
            for number in range(10):
                await self.choose(self.requester, f"r{number}")
            for number in range(40):
                await self.choose(
                    self.requester, f"s{number}", account="b", content="c", left=0.3
                )
            shares = self.first.placing.admission_queue.shares
            self.assertGreater(shares.use_ratio("b", self.now), 1.5)
            patient = await self.choose(self.requester, "p", account="b", content="d")
            newest = await self.choose(self.requester, "n", account="small")
            self.assertLess(newest.ahead, patient.ahead + 1)

        self.run_fleet(scenario)

    def test_polls_are_not_charged(self):
        async def scenario():
            await self.fill()
            await self.choose(self.requester, "r1", account="b")
            shares = self.first.placing.admission_queue.shares
            before = shares.use_ratio("b", self.now)
            for _ in range(20):
                await self.choose(self.requester, "r1", account="b")
            self.assertEqual(before, shares.use_ratio("b", self.now))

        self.run_fleet(scenario)


class LabelsTest(AdmissionTestCase):
    def test_number_of_account_labels_is_limited(self):
        async def scenario():
            await self.fill()
            await self.choose(self.requester, "first")
            for number in range(3 * MAX_LABELLED_ACCOUNTS):
                account = f"acct-{number}"
                refused = await self.choose(
                    self.requester, f"r{number}", account=account, left=0.0
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


class InvalidClaimTest(AdmissionTestCase):
    def ask(self, bad, router=None, run_id="x"):
        router = router or member(self.order[1]).incarnation
        request = PlacementRequest(
            run_id, "pool", "a", (), 100, 10, (("p", 10),), router, claim=bad
        )
        return self.first.placing.handle_request(request)

    def test_invalid_claims_are_rejected_without_side_effects(self):
        async def scenario():
            await self.fill()
            self.assertIsInstance(
                await self.choose(self.requester, "r1"), AdmissionPending
            )
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
                self.assertEqual(PlacementReply(""), reply, item)
            for router in ("nobody", "run-of-a-1-before"):
                reply = await self.ask(good, router)
                # The router of the rejected claim places the request locally.
                self.assertEqual(PlacementReply(""), reply)
            other = member(self.order[2]).incarnation
            duplicate = await self.ask(good, other, "r1")
            self.assertEqual(PlacementReply(""), duplicate)
            self.assertEqual(1, self.waiting())
            self.assertEqual(0, (await self.choose(self.requester, "r1")).ahead)

        self.run_fleet(scenario)

    def test_unknown_router_places_locally(self):
        async def scenario():
            self.members_by_vm[self.order[0]].remove(self.order[1])
            self.first.refresh()
            choice = await self.choose(self.requester, "r1")
            self.assertEqual(self.order[1], choice.placed_by)

        self.run_fleet(scenario)


class FailureTest(AdmissionTestCase):
    """The scheduling router fails while requests are queued."""

    SLOTS = 4

    def check(self, fault):
        async def scenario():
            await self.fill()
            runs = [f"r{number}" for number in range(3)]
            # The next router by rank considers the engine full as well.
            second = self.fleet[self.order[1]]
            third = self.fleet[self.order[2]]
            names = [s._members.own.vm for s in (second, third)]
            ranked_vms = second._members.preference_order("schedule pool", names)
            successor = self.fleet[ranked_vms[0]]
            requester = self.fleet[ranked_vms[1]]
            for run_id in runs:
                self.assertIsInstance(
                    await self.choose(requester, run_id), AdmissionPending
                )
            entries = list(successor._directory.entries_by_id.values())
            for number in range(self.SLOTS):
                request = requester._placement_client.build_request(
                    f"other{number}",
                    "pool",
                    generation(),
                    {"e0": entries[0]},
                    LatencyObjectives(),
                )
                successor.placing.place(request, entries)
            self.fault_by_vm[self.order[0]] = fault
            self.queries.clear()
            # Later requests poll first.
            for waited, run_id in ((0.1, "r2"), (0.2, "r1"), (0.3, "r0")):
                outcome = await self.choose(requester, run_id, waited=waited)
                self.assertIsInstance(outcome, AdmissionPending, run_id)
            self.assertIn((ranked_vms[0], "r0"), self.queries)
            tickets = successor.placing.admission_queue._queue_by_service["pool"].queue
            order = sorted(runs, key=lambda r: tickets.position_of(r, self.now + 1.0))
            self.assertEqual(runs, order)
            successor.record_end("other0", "e0", failed=False)
            successor.board.record_end("e0", "other0", self.now)
            self.now += 0.1
            for run_id in reversed(runs):
                result = await self.choose(requester, run_id)
                is_placed = not isinstance(result, AdmissionPending)
                self.assertEqual(run_id == "r0", is_placed, run_id)
            placed = [s for s in self.fleet.values() if self.runs(s, "r0")]
            self.assertEqual([successor], placed)

        self.run_fleet(scenario)

    def runs(self, scheduler, run_id):
        engines = scheduler.board.engines_by_id.values()
        return [e for e in engines if run_id in e.runs_by_id]

    def test_killed_router(self):
        self.check("killed")

    def test_frozen_router(self):
        self.check("frozen")

    def test_router_with_lost_replies(self):
        self.check("cut")

    def test_slow_router(self):
        self.check("slow")

    def test_new_request_queries_one_router_and_is_then_placed_locally(self):
        async def scenario():
            self.fault_by_vm[self.order[0]] = "slow"
            choice = await self.choose(self.requester, "r1")
            self.assertEqual(self.order[1], choice.placed_by)
            self.assertEqual([(self.order[0], "r1")], self.queries)

        self.run_fleet(scenario)

    def test_isolated_router_places_locally_and_stops_querying(self):
        async def scenario():
            for vm in VMS:
                self.fault_by_vm[vm] = "frozen"
            for number in range(3):
                choice = await self.choose(self.requester, f"r{number}")
                # The load from other routers is unknown.
                self.assertEqual(0.0, choice.expected_seconds)
            self.assertEqual(2, len(self.queries))

        self.run_fleet(scenario)


class LocalPlacementTest(AdmissionTestCase):
    ENGINES = 4
    SLOTS = 16

    def setUp(self):
        super().setUp()
        self.entries = list(self.requester._directory.entries_by_id.values())

    def test_uncoordinated_router_fills_only_its_share(self):
        async def scenario():
            for vm in VMS:
                self.fault_by_vm[vm] = "killed"
            self.requester._random = random.Random(1)
            most = max_local_requests(self.SLOTS)
            for number in range(self.ENGINES * most):
                choice = await self.choose(self.requester, f"r{number}")
                choice.entry.open_requests += 1
            self.assertEqual({most}, {e.open_requests for e in self.entries})
            refused = await self.choose(self.requester, "more")
            self.assertIsInstance(refused, AdmissionRefused)

        self.run_fleet(scenario)

    def test_engines_reporting_high_load_are_avoided(self):
        busy, idle = self.entries[:2]
        busy.record_active_requests(12, self.now)
        self.assertEqual([idle], least_loaded([busy, idle], self.now))
        later = self.now + REPORT_VALID_SECONDS + 0.1
        self.assertEqual([busy, idle], least_loaded([busy, idle], later))

    def test_unhealthy_engines_are_a_last_resort(self):
        rng = random.Random(3)
        for entry in self.entries[1:]:
            entry.health.bad_in_row = 1
        self.assertEqual(self.entries[:1], sample_candidates(self.entries, rng))
        self.entries[0].health.bad_in_row = 1
        self.assertEqual(2, len(sample_candidates(self.entries, rng)))

    def test_random_samples_spread_requests_evenly(self):
        rng, counts_by_entry = random.Random(2), {entry: 0 for entry in self.entries}
        for _ in range(400):
            for entry in sample_candidates(self.entries, rng):
                counts_by_entry[entry] += 1
        self.assertTrue(
            all(150 < count < 250 for count in counts_by_entry.values()),
            counts_by_entry,
        )

    def test_first_ranked_router_queues_requests_without_queries(self):
        async def scenario():
            await self.fill_first()
            self.assertIsInstance(await self.choose(self.first, "r1"), AdmissionPending)

        self.run_fleet(scenario)

    async def fill_first(self):
        for number in range(self.ENGINES * self.SLOTS):
            await self.choose(self.first, f"full{number}")


class FuzzedTest(testtools.TestCase):
    def test_fuzzed_queue_respects_slots(self):
        run(60, 40, machine=TurnsMachine)


class ReportedLoadTest(testtools.TestCase):
    def test_reported_load_expires(self):
        entry = UpstreamEntry(Upstream("e", "pool", "127.0.0.1:1", "a", slots=8))
        self.assertEqual(0.0, entry.reported_load(5.0))
        entry.record_active_requests(4, 5.0)
        self.assertEqual(0.5, entry.reported_load(5.0 + REPORT_VALID_SECONDS))
        self.assertEqual(0.0, entry.reported_load(5.1 + REPORT_VALID_SECONDS))
