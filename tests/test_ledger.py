"""Grants and lines: decisions one by one, and fuzzed against the truth."""

import attrs
import testtools
from hypothesis import given
from hypothesis import strategies as st

from lynxchute.budgets import (
    DemandPolicy,
    Ledger,
    Line,
    Release,
    ReserveProblem,
    ShareView,
)
from lynxchute.budgets.demand import Demand
from lynxchute.budgets.line import HORIZON_MS, SLOW_MS
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
    def test_a_line_never_falls_and_ends(self, base, rate, outage_rate, start, later):
        line = Line(base, rate, outage_rate, start)
        self.assertLessEqual(line.at(start), line.at(start + later))
        self.assertEqual(base, line.at(0))
        end = line.at(start + HORIZON_MS)
        self.assertEqual(end, line.at(start + HORIZON_MS + later))

    def test_it_grows_slowly_and_then_fast(self):
        line = Line(0, 10, 1000, 0)
        self.assertEqual(SLOW_MS // 100, line.at(SLOW_MS))
        self.assertEqual(SLOW_MS // 100 + 1000, line.at(SLOW_MS + 1000))
        self.assertEqual(7, Line.flat(7).at(10**9))


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
    def test_no_grant_takes_what_is_not_there(self, seen):
        # A router never uses more than it was granted.
        seen = attrs.evolve(seen, granted=seen.granted + seen.used)
        policy = DemandPolicy()
        granted = policy.grant(seen)
        self.assertGreaterEqual(granted, seen.used)
        self.assertLessEqual(granted, seen.granted + max(seen.free, 0))
        headroom = max(seen.granted - seen.used, 0)
        self.assertLessEqual(policy.burst(seen), headroom)

    def test_a_home_takes_its_stake_at_once(self):
        stake = DemandPolicy().grant(view(granted=0, used=0, demand=0.0, free=3000))
        self.assertEqual(850, stake)

    def test_who_is_no_home_gives_back_what_it_does_not_need(self):
        idle = view(is_home=False, demand=0.0, largest=0.0)
        self.assertEqual(200, DemandPolicy().grant(idle))

    def test_a_grant_near_its_end_has_little_slack(self):
        policy = DemandPolicy()
        ample, scarce = view(demand=1.0), view(demand=400.0)
        self.assertGreater(policy.burst(ample), 5 * policy.burst(scarce))
        self.assertGreater(policy.rate(ample), 5 * policy.rate(scarce))


class OutageTest(testtools.TestCase):
    """A home that serves 1,000 tokens a second and has 30 seconds of them left."""

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
        self.line = Line(
            policy.burst(seen), policy.rate(seen), policy.outage_rate(seen), start_ms=0
        )

    def test_who_is_back_after_three_seconds_has_lost_nine_of_its_demand(self):
        # Where all that was granted could be had within three seconds it lost
        # 13,100 of the 30,000 tokens.
        self.assertLess(self.line.at(3_000), 9 * self.DEMAND)

    def test_an_outage_of_nine_seconds_serves_all_who_ask(self):
        for ms in range(0, 9_000, 100):
            self.assertGreaterEqual(self.line.at(ms), self.DEMAND * ms // 1000)

    def test_who_had_no_demand_may_serve_some_in_an_outage(self):
        idle = DemandPolicy().outage_rate(
            view(granted=self.GRANTED, used=0, demand=0.0)
        )
        self.assertGreaterEqual(idle, self.GRANTED // 20)
        self.assertLess(idle, self.GRANTED // 10)


class RowsTest(testtools.TestCase):
    def test_rows_are_read_back_as_they_were_written(self):
        row = HolderRow("run", 3, {"a": Terms(9, Line(1, 2, 3, 4))})
        self.assertEqual(row, HolderRow.decode(row.encode()))
        totals = Totals({"x": 5}).with_grant("y", 7).with_grant("x", 0)
        self.assertEqual({"y": 7}, Totals.decode(totals.encode()).granted_by_vm)

    @given(st.binary(max_size=40))
    def test_no_value_breaks_the_decoder(self, value):
        for cls in (HolderRow, Totals):
            try:
                cls.decode(value)
            except RowDecodeError:
                continue


class DemandTest(testtools.TestCase):
    def test_it_follows_and_fades(self):
        demand = Demand()
        for second in range(30):
            demand.add(100, float(second))
        self.assertTrue(90 < demand.rate(29.0) < 130)
        self.assertLess(demand.rate(60.0), 1)
        self.assertEqual(100, round(demand.largest(29.0)))


class ClockTest(testtools.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 9), st.floats(0, 0.5)), max_size=20))
    def test_both_bounds_hold(self, asked):
        clock = StoreClock()
        true_offset = 5_000.0
        now = 100.0
        for pause, travel in asked:
            now += pause
            told = int((now + travel / 2) * 1000 + true_offset)
            clock.observe(told_ms=told, now=now + travel, asked_at=now)
            now += travel
            self.assertLessEqual(clock.earliest_ms(now), now * 1000 + true_offset)
        if clock.known:
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

    def test_nothing_is_reserved_before_the_row_stands(self):
        ledger = Ledger("x", "run", DemandPolicy(), parts=1)
        ledger.take_over(None, 0)
        problem = ledger.reserve("r", "a", 1, now_ms=0)
        self.assertEqual(ReserveProblem.CLOSED, problem)

    def test_a_reservation_is_made_once_and_not_after_its_end(self):
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

    def test_another_process_of_the_vm_fences_this_one(self):
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

    def test_a_late_write_of_the_run_before_is_taken_over_as_well(self):
        fleet = self.fleet()
        fleet.write(fleet.routers[0], "late")
        fleet.restart(0)
        fleet.store.write_late()
        fleet.write(fleet.routers[0], "answered")
        self.assertFalse(fleet.routers[0].ledger.is_open)
        fleet.write(fleet.routers[0], "answered")
        self.assertTrue(fleet.routers[0].ledger.is_open)
        fleet.check()

    def test_the_final_use_of_the_run_before_counts_instead_of_its_line(self):
        fleet = self.fleet()
        old = fleet.routers[0].ledger
        self.assertIsNone(old.reserve("r", "a", 5, now_ms=fleet.now_ms))
        old.settle("r", 5)
        fleet.now_ms += HORIZON_MS
        fleet.restart(0)
        new = fleet.routers[0].ledger
        self.assertGreater(new.share("a").settled, 100)
        new.learn_final_use("another run", {"a": 1})
        self.assertGreater(new.share("a").settled, 100)
        new.learn_final_use(old.incarnation, {"a": 5})
        self.assertEqual(5, new.share("a").settled)

    def test_a_run_that_wrote_its_last_line_flat_needs_no_witness(self):
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

    def test_a_conflict_over_another_row_leaves_the_own_terms(self):
        fleet = self.fleet()
        ledger = fleet.routers[0].ledger
        before = ledger.share("a").terms
        ledger.plan(now_ms=fleet.now_ms, now=fleet.seconds())
        own = fleet.store.get(holder_id("x"))
        ledger.apply_outcome(
            Conflict({holder_id("x"): Row(own.id, own.value, own.version)})
        )
        self.assertEqual(
            (before, []), (ledger.share("a").terms, ledger.share("a").uncertain)
        )

    def test_releases_are_counted_each_by_itself(self):
        fleet = self.fleet()
        router = fleet.routers[0]
        ledger, now = router.ledger, fleet.seconds()
        first = ledger.release("a", needed=20, wanted=20, now=now)
        second = ledger.release("a", needed=30, wanted=30, now=now)
        self.assertEqual(50, ledger.share("a").releasing)
        ledger.keep("a", first)
        # The first write may only tell that another router's came before it.
        fleet.write(router, "answered")
        fleet.write(router, "answered")
        self.assertEqual((20, 0), (first.left, second.left))
        self.assertEqual(0, ledger.share("a").releasing)
        ledger.keep("a", first)
        self.assertIsNone(ledger.release("a", needed=0, wanted=0, now=now))

    def test_what_came_back_in_part_goes_to_the_oldest_release(self):
        share = self.fleet().routers[0].ledger.share("a")
        first, second = Release(20, 20), Release(30, 30)
        share.releases.extend((first, second))
        share.note_given_back(25)
        self.assertEqual((0, 25, 25), (first.left, second.left, share.releasing))
        share.note_given_back(99)
        self.assertEqual((0, []), (second.left, share.releases))

    def test_fuzzing_holds(self):
        run(120, 40, machine=LedgerMachine)

    def test_fuzzing_notices_what_would_overspend(self):
        for mutant in ledger_mutants.MUTANTS[:3]:
            with mutant(), self.assertRaises(AssertionError):
                run(300, 50, shrink=False, machine=LedgerMachine)

    def test_a_loan_that_was_voided_first_is_not_given(self):
        ledger = self.fleet().routers[0].ledger
        ledger.void_loan("l1", "a")
        lent = ledger.lend("l1", "a", needed=5, wanted=5, now_ms=10**6, now=1.0)
        self.assertEqual(0, lent)
        self.assertEqual(0, ledger.void_loan("l1", "a"))
