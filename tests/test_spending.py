"""Budget spending through the store, between routers and during outages."""

import asyncio
import json

from lynxchute.budgets import DemandPolicy, Ledger
from lynxchute.budgets.line import LimitLine
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
from lynxchute.config import ClientAccount
from lynxchute.fleet.messages import LendRequest
from lynxchute.relay.budgets import BudgetExhausted, BudgetUnreachable
from lynxchute.spending.keeper import LedgerSync
from lynxchute.standins.platform_store import Outage
from lynxchute.store import (
    Committed,
    Conflict,
    Row,
    Snapshot,
    Store,
    StoreClock,
    StoreUnavailable,
)
from tests.platform_support import ACCOUNT, PlatformCaller, PlatformTestCase, settled
from tests.support import AsyncTestCase, until

ROUTERS = ("a-1", "a-2", "b-1")
# Attempts within which a budget must be fully reserved; a few hundred are usual.
MAX_TRIES = 3_000
KANDA = ClientAccount(ACCOUNT, prepaid=1_000_000)


def home_of(deployment, data_centre):
    for vm, router in deployment.routers.items():
        if vm[0] == data_centre:
            return deployment.routers[router.members.homes(ACCOUNT)[0]]
    raise AssertionError(data_centre)


def others(deployment, *routers):
    return [r for r in deployment.routers.values() if r not in routers]


def granted(deployment):
    value = deployment.store.value(TOTALS_TABLE, ACCOUNT)
    return json.loads(value) if value else {}


def cut_off_all(deployment, outage=Outage.BUSY):
    """Cut all routers off from the store, since one could relay for the others."""
    for vm in deployment.routers:
        deployment.faults(vm).outage = outage


async def reserve(router, tokens, request_id):
    return await router.relay._budgets.reserve(request_id, KANDA, tokens)


class SpendingTest(PlatformTestCase):
    def test_the_home_of_each_data_centre_is_granted_tokens(self):
        async def scenario(deployment):
            homes = {home_of(deployment, dc).settings.vm for dc in "ab"}
            await until(lambda: set(granted(deployment)) >= homes)
            await until(lambda: sum(granted(deployment).values()) > 800_000)
            self.assertLessEqual(sum(granted(deployment).values()), 1_000_000)

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_router_reserves_at_its_home_and_settles_there(self):
        async def scenario(deployment):
            home = home_of(deployment, "a")
            (other,) = [
                r for vm, r in deployment.routers.items() if vm[0] == "a" and r != home
            ]
            reservation = await reserve(other, 500, "r1")
            self.assertEqual(["r1"], open_requests(home))
            reservation.settle(200)
            await until(lambda: not home.ledger_sync.ledger.reservations_by_id)
            self.assertEqual(200, home.ledger_sync.ledger.share(ACCOUNT).settled)

        self.with_platform(scenario, routers=ROUTERS)

    def test_the_whole_budget_can_be_spent_and_no_more(self):
        async def scenario(deployment):
            reserved_tokens = 0
            refused = None
            for number in range(40):
                router = list(deployment.routers.values())[number % 3]
                try:
                    reservation = await reserve(router, 50_000, f"r{number}")
                    reserved_tokens += 50_000
                    reservation.settle(50_000)
                    for other in deployment.routers.values():
                        await settled(other.ledger_sync.ledger)
                except BudgetExhausted as error:
                    refused = error
                    break
            self.assertEqual(1_000_000, reserved_tokens)
            self.assertIsNotNone(refused)
            await deployment.configure(version=2, prepaid=1_100_000)
            router = deployment.routers["a-1"]
            await until(lambda: router.configurations.current.version == 2)
            await reserve(router, 50_000, "after the top-up")

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_refusal_for_the_budget_is_a_402_and_not_run(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            status, _, body = await caller.stream(tokens=(2_000_000, 10))
            self.assertEqual((402, "not_run"), (status, json.loads(body)["run"]))
            self.assertEqual([], [r for e in deployment.engines for r in e.runs])

        self.with_platform(scenario)

    def test_routers_cut_off_from_the_store_spend_their_grants(self):
        async def scenario(deployment):
            for vm in ROUTERS:
                deployment.faults(vm).outage = Outage.SILENT
            for number in range(30):
                for router in deployment.routers.values():
                    await reserve(router, 400, f"{router.settings.vm}.{number}")
                await asyncio.sleep(0.1)
            for vm in {home_of(deployment, dc).settings.vm for dc in "ab"}:
                self.assertFalse(deployment.routers[vm].ledger_sync.store_answers)

        self.with_platform(scenario, routers=ROUTERS)

    def test_in_an_outage_a_request_waits_for_the_limit_line_to_grow(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            ledger_sync, ledger = router.ledger_sync, router.ledger_sync.ledger
            own_share = ledger.share(ACCOUNT)
            await until(lambda: own_share.terms.granted > 300_000)
            cut_off_all(deployment)
            await until(lambda: not ledger_sync.store_answers)
            now_ms = ledger_sync.now_ms()
            available_soon = own_share.available(now_ms + 250)
            self.assertGreater(available_soon, own_share.available(now_ms))
            started = steady_seconds()
            await reserve(router, available_soon, "soon")
            self.assertLess(steady_seconds() - started, 0.5)
            # A request that the limit line will not cover in time is refused at once.
            started = steady_seconds()
            with self.assertRaises(BudgetUnreachable):
                await reserve(router, own_share.terms.granted - available_soon, "late")
            self.assertLess(steady_seconds() - started, 0.2)

        self.with_platform(scenario, routers=("a-1",))

    def test_a_home_that_is_cut_off_borrows_from_the_others(self):
        async def scenario(deployment):
            home, lender = home_of(deployment, "a"), home_of(deployment, "b")
            await until(lambda: lender.ledger_sync.ledger.unused(ACCOUNT) > 300_000)
            own_share = home.ledger_sync.ledger.share(ACCOUNT)
            # The whole grant is in use.
            own_share.settled = own_share.terms.granted
            home.ledger_sync.record_use()
            now_ms = home.ledger_sync.now_ms
            await until(lambda: own_share.available(now_ms()) >= 0)
            cut_off_all(deployment)
            await reserve(home, 3_000, "r1")
            self.assertGreaterEqual(own_share.borrowed, 3_000)
            self.assertGreaterEqual(
                lender.ledger_sync.ledger.share(ACCOUNT).settled, 3_000
            )

        self.with_platform(scenario, routers=ROUTERS)

    def test_tokens_not_returned_to_an_unreachable_store_can_be_lent(self):
        async def scenario(deployment):
            home, lender = home_of(deployment, "a"), home_of(deployment, "b")
            await until(lambda: lender.ledger_sync.ledger.unused(ACCOUNT) > 300_000)
            own_share = home.ledger_sync.ledger.share(ACCOUNT)
            own_share.settled = own_share.terms.granted
            # As after actual spending, the limit line must not be below the use.
            home.ledger_sync.request_write()
            await until(lambda: own_share.terms.line.base >= own_share.settled)
            cut_off_all(deployment, Outage.SILENT)
            # No router knows yet that the store is unreachable, so the lender tries
            # to return tokens there each time it is asked.
            ledger_sync = lender.ledger_sync
            releases = [ledger_sync.release(ACCOUNT, 60_000, 60_000) for _ in range(5)]
            self.assertEqual([0] * 5, await asyncio.gather(*releases))
            self.assertEqual(0, ledger_sync.ledger.share(ACCOUNT).releasing)
            # Waits for the end of the limit line's slow phase.
            await asyncio.sleep(4.0)
            await reserve(home, 30_000, "r1")
            self.assertGreaterEqual(own_share.borrowed, 30_000)

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_retry_after_a_refusal_in_an_outage_is_served(self):
        async def scenario(deployment):
            home = home_of(deployment, "a")
            own_share = home.ledger_sync.ledger.share(ACCOUNT)
            await until(lambda: own_share.terms.granted > 300_000)
            # The grant here is used up; the other data centre holds the rest.
            own_share.settled = own_share.terms.granted
            home.ledger_sync.request_write()
            await until(lambda: own_share.terms.line.base >= own_share.settled)
            cut_off_all(deployment)
            (remote,) = [r for vm, r in deployment.routers.items() if vm[0] == "b"]
            await remote.peer_server.server.kill()
            caller = PlatformCaller(deployment, home.settings.vm)
            asked = {"tokens": (30_000, 60), "deadline_ms": 12_000}
            status, headers, _ = await caller.stream(**asked)
            self.assertEqual(503, status)
            wait = float(headers["retry-after"])
            # Callers honour at most a third of the remaining deadline.
            self.assertLess(wait, 4.1)
            # The outage ends before the delay does, but not within a second.
            await asyncio.sleep(wait / 2)
            cut_off_all(deployment, Outage.NONE)
            await asyncio.sleep(wait / 2)
            self.assertEqual(200, (await caller.stream(**asked))[0])
            self.assertGreater(wait, 3.0)

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_lender_raises_its_limit_line_for_a_request(self):
        async def scenario(deployment):
            lender = home_of(deployment, "b")
            await until(lambda: lender.ledger_sync.ledger.unused(ACCOUNT) > 300_000)
            lender.ledger_sync._grant_backoff.until = float("inf")
            loan = LendRequest("l1", ACCOUNT, 200_000, 200_000, True)
            reply = await lender.relay._budgets._handle_lend(loan)
            self.assertEqual((200_000, 0), (reply.lent, reply.released))

        self.with_platform(scenario, routers=ROUTERS)

    def test_no_second_home_is_asked_after_the_first_found_no_tokens(self):
        async def scenario(deployment):
            home = home_of(deployment, "a")
            (other,) = [
                r for vm, r in deployment.routers.items() if vm[0] == "a" and r != home
            ]
            cut_off_all(deployment)
            with self.assertRaises(BudgetUnreachable):
                await reserve(other, 990_000, "r1")
            demand = other.ledger_sync.ledger.share(ACCOUNT).demand
            self.assertEqual(0.0, demand.rate(steady_seconds()))

        self.with_platform(scenario, routers=ROUTERS)

    def test_tokens_of_routers_that_are_silent_are_not_taken_for_spent(self):
        async def scenario(deployment):
            home, other = home_of(deployment, "a"), home_of(deployment, "b")
            await until(lambda: other.settings.vm in granted(deployment))
            home.ledger_sync.request_refresh()
            home.ledger_sync.request_write()
            known = home.ledger_sync.ledger.totals_by_account
            await until(
                lambda: other.settings.vm in known[ACCOUNT].totals.granted_by_vm
            )
            now = steady_seconds()
            for router in others(deployment, home):
                home.members.record_failure(router.settings.vm, now)
            own_share = home.ledger_sync.ledger.share(ACCOUNT)
            own_share.settled = own_share.terms.granted
            needed = home.ledger_sync.ledger.free(ACCOUNT) + 100
            with self.assertRaises(BudgetUnreachable):
                await reserve(home, needed, "r1")
            # More than the budget holds in total, whatever the silent routers hold.
            with self.assertRaises(BudgetExhausted):
                await reserve(home, 990_000, "r2")

        self.with_platform(scenario, routers=ROUTERS)

    def test_another_router_replaces_a_home_that_is_down(self):
        async def scenario(deployment):
            home = home_of(deployment, "a")
            (other,) = [
                r for vm, r in deployment.routers.items() if vm[0] == "a" and r != home
            ]
            await home.kill()
            await reserve(other, 3_000, "r1")
            self.assertEqual(["r1"], open_requests(other))

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_reservation_whose_answer_is_lost_is_cancelled(self):
        async def scenario(deployment):
            home = home_of(deployment, "a")
            (other,) = [
                r for vm, r in deployment.routers.items() if vm[0] == "a" and r != home
            ]
            budgets = home.relay._budgets
            server = home.peer_server
            answers = {**server.handlers_by_class}

            async def reserve_and_hang(request):
                await budgets.reserve_locally(request)
                await asyncio.sleep(2)

            for cls in answers:
                if cls.NAME == "reserve":
                    server.handlers_by_class[cls] = reserve_and_hang
            await reserve(other, 3_000, "r1")
            self.assertEqual(["r1"], open_requests(other))
            await until(
                lambda: not home.ledger_sync.ledger.reservations_by_id, timeout=5
            )

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_loan_whose_answer_is_lost_is_voided(self):
        async def scenario(deployment):
            home, lender = home_of(deployment, "a"), home_of(deployment, "b")
            await until(lambda: lender.ledger_sync.ledger.unused(ACCOUNT) > 300_000)
            ledger = lender.ledger_sync.ledger
            settled = ledger.share(ACCOUNT).settled
            answers = lender.peer_server.handlers_by_class
            lend = answers[LendRequest]
            lent = []

            async def lend_and_hang(request):
                reply = await lend(request)
                lent.append(reply.lent)
                await asyncio.sleep(2)
                return reply

            answers[LendRequest] = lend_and_hang
            lender.ledger_sync._grant_backoff.until = float("inf")
            budgets = home.relay._budgets
            gathered = await budgets.lenders.gather(
                ACCOUNT, 10**6, steady_seconds() + 0.1
            )
            self.assertEqual(0, gathered.obtained)
            # The borrower may also be cancelled before the reply arrives.
            home.members.record_success(lender.members.own.vm)
            asking = asyncio.create_task(budgets.lenders.borrow_spare(ACCOUNT, 1_000))
            await until(lambda: len(lent) == 2)
            asking.cancel()
            self.assertGreater(sum(lent), 0)
            await until(lambda: ledger.share(ACCOUNT).settled == settled, timeout=5)
            self.assertEqual(0, home.ledger_sync.ledger.share(ACCOUNT).borrowed)

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_restarted_router_counts_what_may_have_been_spent(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            for number in range(5):
                await reserve(router, 10_000, f"r{number}")
            await asyncio.sleep(0.7)
            spent = router.ledger_sync.ledger.share(ACCOUNT).used
            await router.kill()
            restarted = await deployment.start_router("a-1")
            await until(lambda: restarted.ledger_sync.ledger.is_open)
            ledger = restarted.ledger_sync.ledger
            self.assertGreaterEqual(ledger.share(ACCOUNT).settled, spent)
            await until(lambda: ledger.unused(ACCOUNT) > 100_000)
            await reserve(restarted, 10_000, "r9")

        self.with_platform(scenario, routers=("a-1",))

    def test_a_stopping_router_returns_its_unused_grant(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            await reserve(router, 10_000, "r1")
            await router.ledger_sync.close(asyncio.get_running_loop().time() + 2)
            self.assertEqual({"a-1": 10_000}, granted(deployment))

        self.with_platform(scenario, routers=("a-1",))

    def test_other_routers_keep_the_final_use_of_one_stopped_without_the_store(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            home = home_of(deployment, "a")
            await reserve(home, 10_000, "r1")
            vm = home.settings.vm
            cut_off_all(deployment)
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            self.assertFalse(await home.ledger_sync.close(now + 0.3))
            await home.final_use_exchange.announce()
            await home.kill()
            # After this time, the limit line allows the whole grant.
            await asyncio.sleep(5.0)
            cut_off_all(deployment, Outage.NONE)
            restarted = await deployment.start_router(vm)
            await until(lambda: restarted.ledger_sync.ledger.is_open)
            self.assertEqual(
                10_000, restarted.ledger_sync.ledger.share(ACCOUNT).settled
            )
            self.assertIsNot(router, restarted)

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_router_stopping_without_the_store_sends_its_final_use_early(self):
        async def scenario(deployment):
            home = home_of(deployment, "a")
            await reserve(home, 10_000, "r1")
            cut_off_all(deployment)
            await asyncio.sleep(0.1)
            stop = asyncio.create_task(home.drain())

            def is_kept(router):
                final = router.final_use_exchange._final_use_by_vm.get(home.settings.vm)
                return final is not None and final.used_by_account == {ACCOUNT: 10_000}

            await until(lambda: all(map(is_kept, others(deployment, home))), timeout=2)
            self.assertFalse(stop.done())
            stop.cancel()

        self.with_platform(scenario, routers=ROUTERS)

    def test_lost_and_late_writes_lose_no_tokens(self):
        async def scenario(deployment):
            for vm in ROUTERS:
                faults = deployment.faults(vm)
                faults.lost_share, faults.late_share = 0.3, 0.2
            reserved_tokens = 0
            number = 0
            while reserved_tokens < 900_000 and number < MAX_TRIES:
                number += 1
                router = list(deployment.routers.values())[number % 3]
                try:
                    await reserve(router, 20_000, f"r{number}")
                    reserved_tokens += 20_000
                except (BudgetExhausted, BudgetUnreachable):
                    await asyncio.sleep(0.05)
            self.assertLessEqual(reserved_tokens, 1_000_000)
            self.assertGreaterEqual(reserved_tokens, 900_000)
            home = home_of(deployment, "a").settings.vm
            lines = json.loads(deployment.store.value(HOLDERS_TABLE, home, home))
            self.assertIn(ACCOUNT, lines["shares"])

        # Half of all writes get no reply, so this takes long.
        self.with_platform(scenario, routers=ROUTERS, timeout=300)

    def test_the_peer_port_rejects_unauthenticated_requests(self):
        async def scenario(deployment):
            from lynxchute.http import HttpClient

            address = deployment.settings["a-1"].peers
            client = HttpClient(str(address))
            value = {"request_id": "x", "account": ACCOUNT, "tokens": 5}
            for headers in ([], [("Lynxchute-Fleet", "guess")]):
                status, _ = await client.post_json(
                    "/fleet/reserve", value, headers=headers
                )
                self.assertEqual(401, status)
            secret = [("Lynxchute-Fleet", deployment.routers["a-1"].registry.secret)]
            status, _ = await client.post_json("/fleet/reserve", {}, headers=secret)
            self.assertEqual(422, status)
            status, _ = await client.post_json("/fleet/nothing", {}, headers=secret)
            self.assertEqual(404, status)

        self.with_platform(scenario)


class ContendedStore(Store):
    """Store that answers every change of grants with a conflict."""

    def __init__(self):
        self.clock = StoreClock()
        self.version = 1
        self.conflicts = 0
        self.rows = {}

    async def write(self, write):
        await asyncio.sleep(0.002)
        self.version += 1
        now = asyncio.get_running_loop().time()
        self.clock.observe(told_ms=int(now * 1000), now=now, asked_at=now)
        if any(put.id.table == TOTALS_TABLE for put in write.puts):
            self.conflicts += 1
            totals = Totals({"elsewhere": 100}).encode()
            found = {item.id: self.rows.get(item.id) for item in write.expected}
            row_id = totals_id(ACCOUNT)
            found[row_id] = Row(row_id, totals, self.version)
            return Conflict(found)
        for put in write.puts:
            self.rows[put.id] = Row(put.id, put.value, self.version)
        return Committed(self.version)

    async def scan(self, table, *, part=""):
        rows = [row for row in self.rows.values() if row.id.table == table]
        return Snapshot(tuple(rows), self.version)

    async def changes(self, table, *, after, wait):
        raise StoreUnavailable("not used by this test")


class ContentionTest(AsyncTestCase):
    def test_limit_lines_are_written_despite_conflicts_over_grants(self):
        async def scenario():
            store = ContendedStore()
            own = holder_id("a-1", "a-1")
            left = HolderRow("before", 1, {ACCOUNT: Terms(10_000, LimitLine.flat(0))})
            store.rows[own] = Row(own, left.encode(), 1)
            settled = asyncio.Event()
            settled.set()

            async def no_wait():
                return None

            ledger = Ledger(
                "a-1", "now", DemandPolicy(), parts=2, store_partition="a-1"
            )
            ledger.prepaid_by_account[ACCOUNT] = 1_000_000
            ledger_sync = LedgerSync(
                ledger,
                store,
                lambda account: ["a-1"],
                settled=settled,
                started_at=steady_seconds(),
                before_first_write=no_wait,
            )
            await ledger_sync.start()
            for number in range(10):
                until_s = steady_seconds() + 2.0
                self.assertTrue(
                    await ledger_sync.wait_until_covered(ACCOUNT, 900, until_s)
                )
                problem = ledger.reserve(
                    f"r{number}", ACCOUNT, 900, now_ms=ledger_sync.now_ms()
                )
                self.assertIsNone(problem)
            await ledger_sync.stop()
            self.assertGreater(store.conflicts, 0)

        self.run_async(scenario())


def open_requests(router):
    """Return the ids of requests for which a router holds reservations."""
    reservations = router.ledger_sync.ledger.reservations_by_id
    return [reservation_id.partition(".")[0] for reservation_id in reservations]
