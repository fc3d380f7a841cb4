"""Ledgers on a store that comes back from a copy, in a new era."""

import asyncio
import contextlib
import json
import math

import testtools

from lynxchute.budgets import DemandPolicy, Ledger, LimitLine
from lynxchute.budgets.ledger import GRANT_HOLD_SECONDS
from lynxchute.budgets.rows import (
    HOLDERS_TABLE,
    TOTALS_TABLE,
    HolderRow,
    Totals,
    holder_id,
    totals_id,
)
from lynxchute.budgets.share import Terms
from lynxchute.clock import steady_seconds
from lynxchute.fleet.era_mark import EraMark
from lynxchute.relay.budgets import BudgetExhausted, BudgetUnreachable
from lynxchute.spending.keeper import LedgerSync
from lynxchute.store import (
    Committed,
    Conflict,
    Row,
    Snapshot,
    Store,
    StoreClock,
    StoreUnavailable,
)
from lynxchute.store.era import join_version
from tests import ledger_mutants
from tests.fuzz import run
from tests.ledger_fleet import HELD_MS, InMemoryStore, LedgerFleet
from tests.ledger_machine import LedgerMachine
from tests.platform_support import ACCOUNT, PlatformTestCase
from tests.support import AsyncTestCase, until
from tests.test_spending import granted, reserve

HELD_MS_AT_LEAST = int(GRANT_HOLD_SECONDS * 1000) - 1


def written_fleet(vms=("x", "y"), **options):
    """Return a fleet that leaves a part of each budget free."""
    fleet = LedgerFleet(vms, **options)
    for router in fleet.routers:
        fleet.write(router, "answered")
        fleet.write(router, "answered")
    return fleet


def stored_grants(fleet, account="a"):
    row = fleet.store.get(totals_id(account))
    return Totals.decode(row.value).granted_by_vm if row else {}


def stored_row(fleet, router):
    return HolderRow.decode(fleet.store.get(holder_id(router.vm)).value)


def claim(fleet, router, tokens, account="a"):
    """Have a router's grant raised, as for a waiting request."""
    share = router.ledger.share(account)
    share.waiting += share.headroom + tokens
    for _ in range(2):
        fleet.write(router, "answered")
    share.waiting = 0


def write_after_restore(fleet, router, **options):
    """Write three times: the first writes meet the own row and the totals."""
    for _ in range(3):
        fleet.write(router, "answered", **options)


class RestoredRowTest(testtools.TestCase):
    def assert_written_again(self, fleet, router):
        """Check that the router's own row and the totals agree with its memory."""
        share = router.ledger.share("a")
        row = stored_row(fleet, router)
        self.assertEqual(router.ledger.incarnation, row.incarnation)
        self.assertEqual(share.terms, row.terms_by_account["a"])
        self.assertEqual(share.terms.granted, stored_grants(fleet)[router.vm])

    def test_a_row_that_the_copy_lacks_is_written_again(self):
        fleet = written_fleet()
        router = fleet.routers[0]
        before = router.ledger.share("a").terms.granted
        fleet.restore(fleet.store.number)
        self.assertIsNone(fleet.store.get(holder_id("x")))
        write_after_restore(fleet, router)
        self.assertEqual(before, router.ledger.share("a").terms.granted)
        self.assert_written_again(fleet, router)

    def test_an_older_own_row_is_not_adopted(self):
        fleet = written_fleet()
        router = fleet.routers[0]
        copy = fleet.store.number
        claim(fleet, router, 100)
        before = router.ledger.share("a").terms
        fleet.restore(fleet.store.number - copy)
        self.assertLess(stored_grants(fleet)["x"], before.granted)
        fleet.write(router, "answered")
        self.assertEqual(before, router.ledger.share("a").terms)
        write_after_restore(fleet, router, with_grants=False)
        self.assertEqual(before.granted, router.ledger.share("a").terms.granted)
        self.assert_written_again(fleet, router)

    def test_the_row_of_the_predecessor_is_replaced(self):
        fleet = written_fleet()
        fleet.restart(0)
        router = fleet.routers[0]
        fleet.write(router, "answered")
        fleet.restore(1)
        self.assertEqual("x0", stored_row(fleet, router).incarnation)
        write_after_restore(fleet, router)
        self.assertFalse(router.ledger.fenced)
        self.assert_written_again(fleet, router)

    def test_the_row_of_an_unknown_process_fences(self):
        fleet = written_fleet()
        router = fleet.routers[0]
        row = HolderRow("other", 1, {"a": Terms(5, LimitLine.flat(5))})
        fleet.restore(0)
        plan = router.ledger.plan(now_ms=fleet.now_ms, now=fleet.seconds())
        self.assertTrue(plan.write.expected[0].version)
        version = join_version(1, 1)
        own = holder_id("x")
        router.ledger.apply_outcome(Conflict({own: Row(own, row.encode(), version)}))
        self.assertTrue(router.ledger.fenced)

    def test_the_row_of_the_predecessor_fences_within_an_era(self):
        fleet = written_fleet()
        fleet.restart(0)
        router = fleet.routers[0]
        fleet.write(router, "answered")
        ledger = router.ledger
        row = HolderRow(ledger.predecessor, 99, {})
        own = holder_id("x")
        ledger.plan(now_ms=fleet.now_ms, now=fleet.seconds())
        ledger.apply_outcome(Conflict({own: Row(own, row.encode(), 999)}))
        self.assertTrue(ledger.fenced)

    def test_a_process_that_has_not_written_yet_keeps_what_it_took_over(self):
        fleet = written_fleet()
        copy = fleet.store.number
        claim(fleet, fleet.routers[0], 100)
        fleet.restart(0)
        router = fleet.routers[0]
        before = router.ledger.share("a").terms
        fleet.store.restore(copy)
        self.assertLess(stored_grants(fleet)["x"], before.granted)
        write_after_restore(fleet, router)
        self.assertTrue(router.ledger.is_open)
        self.assertEqual(before.granted, router.ledger.share("a").terms.granted)
        self.assert_written_again(fleet, router)

    def test_a_grant_that_may_have_been_reduced_is_not_restored(self):
        fleet = written_fleet()
        lender, taker = fleet.routers[:2]
        copy = fleet.store.number
        before = lender.ledger.share("a").terms.granted
        lender.ledger.release("a", needed=50, wanted=50, now=fleet.seconds())
        fleet.write(lender, "answered")
        lender.ledger.release("a", needed=50, wanted=50, now=fleet.seconds())
        fleet.write(lender, "unanswered")
        reduced = stored_row(fleet, lender).terms_by_account["a"].granted
        claim(fleet, taker, 100)
        fleet.restore(fleet.store.number - copy)
        fleet.write_again()
        self.assertLess(reduced, before)
        self.assertEqual(reduced, lender.ledger.share("a").terms.granted)
        self.assertEqual(0, lender.ledger.share("a").releasing)
        fleet.check()


class RestoredTotalsTest(testtools.TestCase):
    def test_totals_that_the_copy_lacks_are_written_again(self):
        fleet = written_fleet()
        before = {account: stored_grants(fleet, account) for account in fleet.prepaid}
        fleet.restore(fleet.store.number)
        self.assertEqual({}, stored_grants(fleet))
        fleet.write_again()
        for account, grants in before.items():
            self.assertEqual(grants, stored_grants(fleet, account))
        fleet.check()

    def test_totals_missing_from_a_scan_are_discarded(self):
        ledger = written_fleet().routers[0].ledger
        ledger.discard_totals_before(0)
        self.assertEqual({"a", "b"}, set(ledger.totals_by_account))
        ledger.discard_totals_before(1)
        self.assertEqual({}, ledger.totals_by_account)

    def test_unreadable_totals_do_not_delay_the_own_row(self):
        fleet = written_fleet()
        ledger = fleet.routers[0].ledger
        fleet.restore(0)
        broken = totals_id("a")
        ledger.update_totals([Row(broken, b"[", join_version(1, 99))])
        fleet.write(fleet.routers[0], "answered", with_grants=False)
        fleet.write(fleet.routers[0], "answered", with_grants=False)
        self.assertNotIn("x", fleet.unrestored)
        self.assertTrue(ledger.is_restored)


class GrantHoldTest(testtools.TestCase):
    def restored_fleet(self):
        fleet = written_fleet()
        fleet.restore(0)
        fleet.write_again()
        return fleet, fleet.routers[0]

    def test_no_grant_rises_during_the_hold(self):
        fleet, router = self.restored_fleet()
        before = router.ledger.share("a").terms.granted
        fleet.now_ms += HELD_MS_AT_LEAST
        self.assertTrue(router.ledger.are_grants_held(fleet.seconds()))
        claim(fleet, router, 100)
        self.assertEqual(before, router.ledger.share("a").terms.granted)
        fleet.now_ms += 1
        self.assertFalse(router.ledger.are_grants_held(fleet.seconds()))
        claim(fleet, router, 100)
        self.assertLess(before, router.ledger.share("a").terms.granted)

    def test_spending_and_releases_go_on_during_the_hold(self):
        fleet, router = self.restored_fleet()
        ledger = router.ledger
        before = ledger.share("a").terms.granted
        self.assertIsNone(ledger.reserve("r", "a", 20, now_ms=fleet.now_ms))
        release = ledger.release("a", needed=50, wanted=50, now=fleet.seconds())
        fleet.write(router, "answered")
        fleet.write(router, "answered")
        self.assertEqual(0, release.left)
        self.assertEqual(before - release.tokens, ledger.share("a").terms.granted)
        fleet.check()

    def test_a_second_restore_extends_the_hold(self):
        fleet, router = self.restored_fleet()
        fleet.now_ms += HELD_MS_AT_LEAST
        fleet.restore(0)
        fleet.write_again()
        fleet.now_ms += HELD_MS_AT_LEAST
        self.assertTrue(router.ledger.are_grants_held(fleet.seconds()))

    def test_grants_listed_twice_reduce_no_grant_during_the_hold(self):
        fleet = written_fleet()
        first, second = fleet.routers[:2]
        copy = fleet.store.number
        first.ledger.is_closing = True
        fleet.write(first, "answered")
        fleet.write(first, "answered")
        claim(fleet, second, sum(fleet.prepaid.values()))
        before = second.ledger.share("a").terms.granted
        fleet.restore(fleet.store.number - copy)
        for _ in range(3):
            fleet.write(second, "answered")
        self.assertLess(second.ledger.free("a"), 0)
        self.assertEqual(before, second.ledger.share("a").terms.granted)
        fleet.write_again()
        fleet.check()

    def test_a_grant_written_as_the_store_came_back_does_not_count(self):
        ledger = Ledger("x", "run", DemandPolicy(), parts=1)
        ledger.prepaid_by_account["a"] = 1_000
        ledger.take_over(None, 0)
        ledger.share("a").is_home = True
        planned = ledger.plan(now_ms=0, now=1.0)
        self.assertEqual(850, planned.row.terms_by_account["a"].granted)
        self.assertTrue(ledger.apply_outcome(Committed(join_version(1, 1))))
        self.assertEqual(0, ledger.available("a", 0))
        again = ledger.plan(now_ms=0, now=2.0)
        self.assertEqual(join_version(1, 1), again.write.expected[0].version)
        self.assertEqual({}, again.totals_by_account["a"].granted_by_vm)
        ledger.apply_outcome(Committed(join_version(1, 2)))
        self.assertTrue(ledger.is_open)
        self.assertTrue(ledger.is_restored)

    def test_a_process_started_in_a_later_era_holds_its_grants(self):
        fleet, _ = self.restored_fleet()
        fleet.restart(0)
        router = fleet.routers[0]
        fleet.write(router, "answered")
        self.assertTrue(router.ledger.are_grants_held(fleet.seconds()))
        fleet.check_free_is_granted(router, "a")


class EraMarkTest(PlatformTestCase):
    def grants_of_restarted_router(self, marked_ms_ago):
        """Return a restarted router's grants after a second in a later era."""

        async def scenario(deployment):
            store = deployment.store
            await store.restore_copy(store.version)
            await until(lambda: store.value("fleet", "era"))
            now_ms = store._version_fields()["now_ms"]
            mark = {"era": store.era, "since_ms": now_ms - marked_ms_ago}
            await store.put("fleet", "era", json.dumps(mark).encode())
            await deployment.routers.pop("a-1").kill()
            router = await deployment.start_router("a-1")
            await until(lambda: router.ledger_sync.ledger.is_open)
            return router.ledger_sync.ledger.are_grants_held(steady_seconds())

        return self.with_platform(scenario, routers=("a-1",))

    def test_router_that_starts_long_after_a_restore_may_get_grants_at_once(self):
        self.assertFalse(self.grants_of_restarted_router(60_000))

    def test_router_that_starts_right_after_a_restore_holds_its_grants(self):
        self.assertTrue(self.grants_of_restarted_router(1_000))


class EraMarkOfNewFleetTest(testtools.TestCase):
    def marked(self, store):
        """Return the milliseconds since which the store has its newest era."""
        (put,) = store.writes[-1].puts
        return json.loads(put.value)["since_ms"]

    def test_only_the_first_era_of_a_new_fleet_is_known_forever(self):
        async def work():
            store = RecordingStore()
            store.era.observe(3)
            store.clock.observe(told_ms=50_000, now=steady_seconds(), asked_at=0.0)
            mark = EraMark(store, "fleet", is_first_start=True)
            await mark.write()
            self.assertEqual(0, self.marked(store))
            self.assertEqual(math.inf, mark.seconds(steady_seconds()))
            store.era.observe(4)
            self.assertFalse(mark.is_new_fleet)
            self.assertEqual(0.0, mark.seconds(steady_seconds()))
            await mark.write()
            self.assertGreater(self.marked(store), 0)

        asyncio.run(work())


class DeathTest(testtools.TestCase):
    def test_what_a_router_used_before_it_died_outlives_a_restore(self):
        fleet = written_fleet(prepaid={"a": 1_000})
        dead, other = fleet.routers[:2]
        copy = fleet.store.number
        fleet.now_ms += 2_000
        claim(fleet, dead, 1_000)
        while fleet.reserve(dead, "a", 10) is None:
            fleet.write(dead, "answered")
        fleet.store.restore(copy)
        started = fleet._start(dead.vm, dead.runs)
        dead.ledger, dead.runs = started.ledger, started.runs
        write_after_restore(fleet, dead)
        for router in (other, dead):
            write_after_restore(fleet, router)
            fleet.now_ms += HELD_MS
            fleet.check_free_is_granted(router, "a")
            while fleet.reserve(router, "a", 10) is None:
                fleet.write(router, "answered")
        fleet.check()

    def restored_after_death(self):
        """Return a fleet whose first router spent a grant that the copy lacks."""
        fleet = written_fleet(prepaid={"a": 1_000})
        dead = fleet.routers[0]
        copy = fleet.store.number
        fleet.now_ms += 2_000
        claim(fleet, dead, 1_000)
        self.spend_all(fleet, dead)
        self.assertGreater(fleet.spent("a"), 560)
        fleet.kill_and_restore(dead, fleet.store.number - copy)
        self.assertEqual(425, stored_grants(fleet)["x"])
        return fleet

    def spend_all(self, fleet, router):
        """Reserve until a write after a refusal does not help."""
        for _ in range(200):
            if fleet.reserve(router, "a", 10) is None:
                continue
            claim(fleet, router, 10)
            if fleet.reserve(router, "a", 10) is not None:
                return
        self.fail("never refused")

    def test_a_grant_raised_after_the_copy_is_not_granted_again(self):
        for starts_late in (False, True):
            fleet = self.restored_after_death()
            dead, other = fleet.routers
            if not starts_late:
                fleet.start_again(dead)
                write_after_restore(fleet, dead)
            fleet.write_again()
            fleet.advance(HELD_MS)
            self.spend_all(fleet, other)
            if starts_late:
                fleet.start_again(dead)
                write_after_restore(fleet, dead)
                fleet.advance(HELD_MS)
            write_after_restore(fleet, dead)
            self.spend_all(fleet, dead)
            fleet.check()
            self.assertEqual(575, dead.ledger.share("a").own_use)
            self.assertEqual({"x": 575, "y": 425}, stored_grants(fleet))

    def test_what_a_router_that_stays_dead_may_have_used_is_withheld(self):
        fleet = self.restored_after_death()
        other = fleet.routers[1]
        fleet.write_again()
        fleet.advance(HELD_MS)
        self.spend_all(fleet, other)
        fleet.check()
        self.assertEqual(1_000, fleet._totals("a").granted)
        fleet.raise_prepaid("a", 500, 2)
        self.spend_all(fleet, other)
        fleet.check()
        self.assertGreater(other.ledger.share("a").own_use, 900)

    def test_a_router_that_was_cut_off_gets_the_withheld_tokens_back(self):
        fleet = written_fleet(prepaid={"a": 1_000})
        cut_off, other = fleet.routers
        copy = fleet.store.number
        fleet.now_ms += 2_000
        claim(fleet, cut_off, 50)
        held = cut_off.ledger.share("a").terms.granted
        fleet.restore(fleet.store.number - copy)
        write_after_restore(fleet, other)
        fleet.now_ms += HELD_MS
        fleet.unrestored.clear()
        claim(fleet, other, 1_000)
        self.assertEqual(425, other.ledger.share("a").terms.granted)
        self.assertEqual(1_000, fleet._totals("a").granted)
        fleet._read_totals(cut_off.ledger)
        write_after_restore(fleet, cut_off)
        self.assertEqual(held, stored_grants(fleet)["x"])
        fleet._read_totals(other.ledger)
        claim(fleet, other, 1_000)
        self.assertEqual(1_000 - held, other.ledger.share("a").terms.granted)
        fleet.check()


class SharedStore(Store):
    """A router's client of an in-memory store that takes a while to answer."""

    def __init__(self, shared):
        self.clock = StoreClock()
        self.conflicts = 0
        self._shared = shared

    async def write(self, write):
        await self._answer()
        outcome = self._shared.write(write)
        self.conflicts += isinstance(outcome, Conflict)
        return outcome

    async def scan(self, table, *, part=""):
        await self._answer()
        rows = [
            row for row in self._shared.rows_by_id.values() if row.id.table == table
        ]
        version = join_version(self._shared.era, self._shared.number)
        return Snapshot(tuple(rows), version)

    async def changes(self, table, *, after, wait):
        raise StoreUnavailable("not used by this test")

    async def _answer(self):
        await asyncio.sleep(0.005)
        self.era.observe(self._shared.era)
        now = asyncio.get_running_loop().time()
        self.clock.observe(told_ms=int(now * 1000), now=now, asked_at=now)


class RecordingStore(SharedStore):
    """Records writes and answers that they are committed."""

    def __init__(self):
        super().__init__(InMemoryStore())
        self.writes = []

    async def write(self, write):
        self.writes.append(write)
        return Committed(join_version(self.era.current, len(self.writes)))


class ContentionTest(AsyncTestCase):
    ROUTERS = 200

    def start_sync(self, store, number):
        ledger = Ledger(f"x-{number}", "run", DemandPolicy(), parts=1)
        ledger.prepaid_by_account["a"] = 1_000_000
        members_known = asyncio.Event()
        members_known.set()

        async def no_wait():
            return None

        return LedgerSync(
            ledger,
            store,
            lambda account: [],
            settled=members_known,
            started_at=0.0,
            before_first_write=no_wait,
        )

    def test_many_routers_write_the_same_totals_again(self):
        async def scenario():
            shared = InMemoryStore()
            stores = [SharedStore(shared) for _ in range(self.ROUTERS)]
            syncs = [self.start_sync(store, n) for n, store in enumerate(stores)]
            for sync in syncs:
                await sync.start()
                sync.request_write()
                await until(lambda sync=sync: sync.ledger.is_open)
                sync.ledger.share("a").waiting = 1_000
                sync.request_write()
            row = totals_id("a")
            await until(
                lambda: (
                    len(Totals.decode(shared.get(row).value).granted_by_vm)
                    == self.ROUTERS
                ),
                30,
            )
            for store in stores:
                store.conflicts = 0
            shared.restore(0)
            await until(
                lambda: (
                    shared.get(row)
                    and len(Totals.decode(shared.get(row).value).granted_by_vm)
                    == self.ROUTERS
                ),
                GRANT_HOLD_SECONDS,
            )
            conflicts = sum(store.conflicts for store in stores)
            self.assertLess(conflicts, 8 * self.ROUTERS)
            for sync in syncs:
                await sync.stop()

        self.run_async(scenario(), 60)


class RestoreFuzzTest(testtools.TestCase):
    def test_fuzzing_detects_mutants_of_restores(self):
        for mutant in (
            ledger_mutants.adopt_the_own_row_of_a_copy,
            ledger_mutants.fence_at_the_row_of_the_predecessor,
            ledger_mutants.raise_grants_right_after_a_restore,
            ledger_mutants.forget_the_own_grant_after_a_restore,
            ledger_mutants.withhold_nothing,
            ledger_mutants.trust_a_row_of_a_copy,
            ledger_mutants.count_nothing_that_was_withheld,
        ):
            with mutant(), self.assertRaises(AssertionError):
                run(3000, 50, shrink=False, machine=LedgerMachine)


class RestoredSpendingTest(PlatformTestCase):
    def test_a_router_restarted_after_the_copy_spends_on(self):
        async def scenario(deployment):
            store = deployment.store
            await deployment.routers["a-1"].kill()
            copy = store.version
            router = await deployment.start_router("a-1")
            ledger = router.ledger_sync.ledger
            await until(lambda: ledger.is_open)
            await reserve(router, 10_000, "r1")
            await store.restore_copy(copy)

            def is_written():
                row = HolderRow.decode(store.value(HOLDERS_TABLE, "a-1", "a-1"))
                return row.incarnation == ledger.incarnation

            await until(is_written)
            await until(lambda: ledger.is_restored)
            self.assertFalse(ledger.fenced)
            await reserve(router, 10_000, "r2")
            self.assertEqual(
                ledger.share(ACCOUNT).terms.granted, granted(deployment)["a-1"]
            )

        self.with_platform(scenario, routers=("a-1",))

    def test_a_spent_grant_that_the_copy_lacks_is_written_again(self):
        async def scenario(deployment):
            store, router = deployment.store, deployment.routers["a-1"]
            copy = store.version
            before = granted(deployment)
            for number in range(10):
                await reserve(router, 100_000, f"r{number}")
            self.assertFalse(router.ledger_sync.ledger.has_headroom)
            await store.restore_copy(copy)
            self.assertEqual(before, granted(deployment))
            await until(lambda: granted(deployment) == {"a-1": 1_000_000})

        self.with_platform(scenario, routers=("a-1",))

    def test_grants_lost_with_a_restore_are_restored_before_any_rises(self):
        async def scenario(deployment):
            store = deployment.store
            copy = store.version
            for number, router in enumerate(deployment.routers.values()):
                await reserve(router, 300_000, f"before-{number}")
            await store.restore_copy(copy)
            ledgers = [r.ledger_sync.ledger for r in deployment.routers.values()]
            await until(
                lambda: all(
                    ledger.are_grants_held(steady_seconds()) and ledger.is_restored
                    for ledger in ledgers
                )
            )
            self.assertLessEqual(sum(granted(deployment).values()), 1_000_000)
            value = json.loads(store.value(TOTALS_TABLE, ACCOUNT))
            held = {
                ledger.vm: ledger.share(ACCOUNT).terms.granted for ledger in ledgers
            }
            self.assertEqual(held, {vm: value.get(vm, 0) for vm in held})
            await deployment.configure(version=2, prepaid=2_000_000)
            for _ in range(10):
                self.assertEqual(held, granted(deployment))
                await asyncio.sleep(1.0)
            await until(
                lambda: sum(granted(deployment).values()) > sum(held.values()),
                GRANT_HOLD_SECONDS,
            )
            await reserve(deployment.routers["a-1"], 300_000, "after")
            self.assertLessEqual(sum(granted(deployment).values()), 2_000_000)

        self.with_platform(scenario)

    def test_a_grant_of_a_router_that_died_is_not_granted_again(self):
        async def scenario(deployment):
            store = deployment.store
            await deployment.routers["b-1"].kill()
            # One of a new fleet; what it starts with says nothing of later restores.
            other = await deployment.start_router("b-1", is_first_start=True)
            await until(lambda: other.ledger_sync.ledger.is_open)
            dead = deployment.routers["a-1"]
            copy = store.version
            for number in range(2):
                await reserve(dead, 300_000, f"before-{number}")
            await dead.kill()
            used = 600_000
            await store.restore_copy(copy)
            ledger = other.ledger_sync.ledger
            await until(lambda: ledger.audit.era == 1, 2 * GRANT_HOLD_SECONDS)
            self.assertEqual({"a-1"}, ledger.audit.vms)
            with contextlib.suppress(BudgetExhausted, BudgetUnreachable):
                while True:
                    await reserve(other, 50_000, f"after-{used}")
                    used += 50_000
            self.assertLessEqual(used, 1_000_000)
            totals = Totals.decode(store.value(TOTALS_TABLE, ACCOUNT))
            self.assertEqual(1_000_000, totals.granted)
            router = await deployment.start_router("a-1")
            own = router.ledger_sync.ledger
            await until(lambda: own.is_open and own.is_complete, 2 * GRANT_HOLD_SECONDS)
            self.assertGreaterEqual(own.share(ACCOUNT).own_use, 600_000)
            await until(lambda: "a-1" not in ledger.audit.vms)
            totals = Totals.decode(store.value(TOTALS_TABLE, ACCOUNT))
            self.assertEqual(1_000_000, sum(totals.granted_by_vm.values()))

        self.with_platform(scenario)
