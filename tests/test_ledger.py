"""Grants, limit lines and the ledger: unit tests, and fuzzing against a model."""

import attrs
import testtools
from hypothesis import given
from hypothesis import strategies as st

from lynxchute.budgets import (
    DemandPolicy,
    Ledger,
    LimitLine,
    Release,
    ReserveProblem,
    ShareView,
)
from lynxchute.budgets.demand import DemandEstimate
from lynxchute.budgets.line import HORIZON_MS, SLOW_PHASE_MS
from lynxchute.budgets.rows import HolderRow, RowDecodeError, Totals, holder_id
from lynxchute.budgets.share import Terms
from lynxchute.store import Conflict, Row, StoreClock
from tests import ledger_mutants
from tests.fuzz import run
from tests.ledger_fleet import LedgerFleet
from tests.ledger_machine import LedgerMachine

AMOUNTS = st.integers(0, 10**9)


def view(**changes):
    values = {
        "granted": 1000,
        "used": 200,
        "free": 500,
        "prepaid": 3000,
        "demand": 10.0,
        "largest": 50.0,
        "waiting": 0,
        "is_home": True,
        "parts": 3,
    }
    return ShareView(**{**values, **changes})


class LineTest(testtools.TestCase):
    @given(AMOUNTS, AMOUNTS, AMOUNTS, st.integers(0, 10**7), st.integers(0, 10**8))
    def test_a_limit_line_never_falls_and_stops_growing(
        self, base, rate, outage_rate, start, later
    ):
        line = LimitLine(base, rate, outage_rate, start)
        self.assertLessEqual(line.at(start), line.at(start + later))
        self.assertEqual(base, line.at(0))
        end = line.at(start + HORIZON_MS)
        self.assertEqual(end, line.at(start + HORIZON_MS + later))

    def test_a_limit_line_grows_slowly_and_then_fast(self):
        line = LimitLine(0, 10, 1000, 0)
        self.assertEqual(SLOW_PHASE_MS // 100, line.at(SLOW_PHASE_MS))
        self.assertEqual(SLOW_PHASE_MS // 100 + 1000, line.at(SLOW_PHASE_MS + 1000))
        self.assertEqual(7, LimitLine.flat(7).at(10**9))


class PolicyTest(testtools.TestCase):
    @given(
        st.builds(
            ShareView,
            granted=AMOUNTS,
            used=AMOUNTS,
            free=st.integers(-(10**9), 10**9),
            prepaid=AMOUNTS,
            demand=st.floats(0, 1e6),
            largest=st.floats(0, 1e6),
            waiting=st.integers(0, 10**6),
            is_home=st.booleans(),
            parts=st.integers(1, 20),
        )
    )
    def test_grants_stay_within_the_free_budget(self, seen):
        # A router never uses more than its grant.
        seen = attrs.evolve(seen, granted=seen.granted + seen.used)
        policy = DemandPolicy()
        granted = policy.grant(seen)
        self.assertGreaterEqual(granted, seen.used)
        self.assertLessEqual(granted, seen.granted + max(seen.free, 0))
        headroom = max(seen.granted - seen.used, 0)
        self.assertLessEqual(policy.burst(seen), headroom)

    def test_a_home_is_granted_its_minimum_at_once(self):
        initial_grant = DemandPolicy().grant(
            view(granted=0, used=0, demand=0.0, free=3000)
        )
        self.assertEqual(850, initial_grant)

    def test_a_router_that_is_not_a_home_returns_unneeded_tokens(self):
        idle = view(is_home=False, demand=0.0, largest=0.0)
        self.assertEqual(200, DemandPolicy().grant(idle))

    def test_a_nearly_spent_grant_has_a_low_limit_line(self):
        policy = DemandPolicy()
        ample, scarce = view(demand=1.0), view(demand=400.0)
        self.assertGreater(policy.burst(ample), 5 * policy.burst(scarce))
        self.assertGreater(policy.rate(ample), 5 * policy.rate(scarce))


class OutageTest(testtools.TestCase):
    """A home that serves 1,000 tokens per second and holds 30 seconds' worth."""

    DEMAND = 1000
    GRANTED = 30_000

    def setUp(self):
        super().setUp()
        policy = DemandPolicy()
        seen = view(
            granted=self.GRANTED,
            used=0,
            demand=float(self.DEMAND),
            largest=400.0,
            prepaid=self.GRANTED,
        )
        self.line = LimitLine(
            policy.burst(seen), policy.rate(seen), policy.outage_rate(seen), start_ms=0
        )

    def test_a_restart_after_three_seconds_loses_at_most_nine_seconds_of_demand(self):
        # With a limit line that allowed the whole grant within three seconds, it lost
        # 13,100 of the 30,000 tokens.
        self.assertLess(self.line.at(3_000), 9 * self.DEMAND)

    def test_all_demand_is_served_in_an_outage_of_nine_seconds(self):
        for ms in range(0, 9_000, 100):
            self.assertGreaterEqual(self.line.at(ms), self.DEMAND * ms // 1000)

    def test_a_router_without_demand_can_serve_some_requests_in_an_outage(self):
        idle = DemandPolicy().outage_rate(
            view(granted=self.GRANTED, used=0, demand=0.0)
        )
        self.assertGreaterEqual(idle, self.GRANTED // 20)
        self.assertLess(idle, self.GRANTED // 10)


class RowsTest(testtools.TestCase):
    def test_rows_survive_encoding_and_decoding(self):
        row = HolderRow("run", 3, {"a": Terms(9, LimitLine(1, 2, 3, 4))})
        self.assertEqual(row, HolderRow.decode(row.encode()))
        totals = Totals({"x": 5}).with_grant("y", 7).with_grant("x", 0)
        self.assertEqual({"y": 7}, Totals.decode(totals.encode()).granted_by_vm)

    @given(st.binary(max_size=40))
    def test_arbitrary_bytes_raise_only_decode_errors(self, value):
        for cls in (HolderRow, Totals):
            try:
                cls.decode(value)
            except RowDecodeError:
                continue


class DemandTest(testtools.TestCase):
    def test_the_estimate_follows_demand_and_decays(self):
        demand = DemandEstimate()
        for second in range(30):
            demand.add(100, float(second))
        self.assertTrue(90 < demand.rate(29.0) < 130)
        self.assertLess(demand.rate(60.0), 1)
        self.assertEqual(100, round(demand.largest(29.0)))


class ClockTest(testtools.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 9), st.floats(0, 0.5)), max_size=20))
    def test_both_clock_bounds_hold(self, asked):
        clock = StoreClock()
        true_offset = 5_000.0
        now = 100.0
        for pause, round_trip in asked:
            now += pause
            reported_ms = int((now + round_trip / 2) * 1000 + true_offset)
            clock.observe(told_ms=reported_ms, now=now + round_trip, asked_at=now)
            now += round_trip
            self.assertLessEqual(clock.earliest_ms(now), now * 1000 + true_offset)
        if clock.is_known:
            self.assertGreaterEqual(
                clock.latest_ms(99.0) + 1, int(99.0 * 1000 + true_offset)
            )


class LedgerTest(testtools.TestCase):
    def fleet(self):
        fleet = LedgerFleet()
        for router in fleet.routers:
            fleet.write(router, "answered")
            fleet.write(router, "answered")
        return fleet

    def test_nothing_is_reserved_before_the_first_write(self):
        ledger = Ledger("x", "run", DemandPolicy(), parts=1)
        ledger.take_over(None, 0)
        problem = ledger.reserve("r", "a", 1, now_ms=0)
        self.assertEqual(ReserveProblem.CLOSED, problem)

    def test_a_reservation_is_idempotent_and_not_repeated_after_settlement(self):
        fleet = self.fleet()
        ledger = fleet.routers[0].ledger
        for _ in range(2):
            self.assertIsNone(ledger.reserve("r", "a", 5, now_ms=fleet.now_ms))
        self.assertEqual(5, ledger.share("a").reserved)
        ledger.settle("r", 3)
        ledger.settle("r", 3)
        self.assertEqual(
            (3, 0), (ledger.share("a").settled, ledger.share("a").reserved)
        )
        again = ledger.reserve("r", "a", 5, now_ms=fleet.now_ms)
        self.assertEqual(ReserveProblem.CLOSED, again)

    def test_a_settlement_that_overtakes_its_reservation_ends_it(self):
        fleet = self.fleet()
        ledger = fleet.routers[0].ledger
        ledger.settle("r", 0)
        problem = ledger.reserve("r", "a", 5, now_ms=fleet.now_ms)
        self.assertEqual(ReserveProblem.CLOSED, problem)

    def test_a_newer_process_of_the_vm_fences_this_one(self):
        fleet = self.fleet()
        old = fleet.routers[0].ledger
        fleet.restart(0)
        new = fleet.routers[0]
        fleet.write(new, "answered")
        plan = old.plan(now_ms=fleet.now_ms, now=fleet.seconds())
        old.apply_outcome(fleet.store.write(plan.write))
        self.assertTrue(old.fenced)
        self.assertEqual(
            ReserveProblem.CLOSED, old.reserve("r", "a", 1, now_ms=fleet.now_ms)
        )

    def test_a_late_write_of_the_previous_process_is_taken_over(self):
        fleet = self.fleet()
        fleet.write(fleet.routers[0], "late")
        fleet.restart(0)
        fleet.store.deliver_late()
        fleet.write(fleet.routers[0], "answered")
        self.assertFalse(fleet.routers[0].ledger.is_open)
        fleet.write(fleet.routers[0], "answered")
        self.assertTrue(fleet.routers[0].ledger.is_open)
        fleet.check()

    def test_the_final_use_of_the_previous_process_replaces_its_limit_line(self):
        fleet = self.fleet()
        old = fleet.routers[0].ledger
        self.assertIsNone(old.reserve("r", "a", 5, now_ms=fleet.now_ms))
        old.settle("r", 5)
        fleet.now_ms += HORIZON_MS
        fleet.restart(0)
        new = fleet.routers[0].ledger
        self.assertGreater(new.share("a").settled, 100)
        new.apply_final_use("another run", {"a": 1})
        self.assertGreater(new.share("a").settled, 100)
        new.apply_final_use(old.incarnation, {"a": 5})
        self.assertEqual(5, new.share("a").settled)

    def test_a_constant_last_limit_line_needs_no_final_use(self):
        fleet = self.fleet()
        fleet.now_ms += 3_000
        fleet.restart(0)
        self.assertEqual(3_000, fleet.routers[0].ledger.silent_ms)
        fleet.write(fleet.routers[0], None)
        self.assertIsNone(fleet.routers[0].ledger.silent_ms)
        fleet.routers[0].ledger.is_closing = True
        fleet.write(fleet.routers[0], None)
        fleet.now_ms += 3_000
        fleet.restart(0)
        self.assertIsNone(fleet.routers[0].ledger.silent_ms)

    def test_a_conflict_over_another_row_keeps_the_own_terms(self):
        fleet = self.fleet()
        ledger = fleet.routers[0].ledger
        before = ledger.share("a").terms
        ledger.plan(now_ms=fleet.now_ms, now=fleet.seconds())
        own = fleet.store.get(holder_id("x"))
        ledger.apply_outcome(
            Conflict({holder_id("x"): Row(own.id, own.value, own.version)})
        )
        self.assertEqual(
            (before, []), (ledger.share("a").terms, ledger.share("a").unconfirmed)
        )

    def test_releases_are_tracked_separately(self):
        fleet = self.fleet()
        router = fleet.routers[0]
        ledger, now = router.ledger, fleet.seconds()
        first = ledger.release("a", needed=20, wanted=20, now=now)
        second = ledger.release("a", needed=30, wanted=30, now=now)
        self.assertEqual(50, ledger.share("a").releasing)
        ledger.cancel_release("a", first)
        # The first write may end in a conflict with another router's write.
        fleet.write(router, "answered")
        fleet.write(router, "answered")
        self.assertEqual((20, 0), (first.left, second.left))
        self.assertEqual(0, ledger.share("a").releasing)
        ledger.cancel_release("a", first)
        self.assertIsNone(ledger.release("a", needed=0, wanted=0, now=now))

    def test_partly_returned_tokens_count_for_the_oldest_release(self):
        share = self.fleet().routers[0].ledger.share("a")
        first, second = Release(20, 20), Release(30, 30)
        share.releases.extend((first, second))
        share.record_returned(25)
        self.assertEqual((0, 25, 25), (first.left, second.left, share.releasing))
        share.record_returned(99)
        self.assertEqual((0, []), (second.left, share.releases))

    def test_fuzzing_finds_no_overspend(self):
        run(120, 40, machine=LedgerMachine)

    def test_fuzzing_detects_the_first_mutants(self):
        for mutant in ledger_mutants.MUTANTS[:3]:
            with mutant(), self.assertRaises(AssertionError):
                run(300, 50, shrink=False, machine=LedgerMachine)

    def test_a_loan_that_was_voided_first_is_refused(self):
        ledger = self.fleet().routers[0].ledger
        ledger.cancel_loan("l1", "a")
        lent = ledger.lend("l1", "a", needed=5, wanted=5, now_ms=10**6, now=1.0)
        self.assertEqual(0, lent)
        self.assertEqual(0, ledger.cancel_loan("l1", "a"))
