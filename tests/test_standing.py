"""Local reserves: tokens held where an account's callers arrive."""

import asyncio
import socket

import attrs
import hypothesis.strategies as st
import testtools
from hypothesis import given

from lynxchute.budgets import DemandLinePolicy, DemandPolicy, ShareView
from lynxchute.budgets.standing import (
    LocalReservePolicy,
    LocalReserveView,
    reserve_loan_size,
)
from lynxchute.edge.settings import Features
from lynxchute.fleet.messages import LendRequest
from lynxchute.relay.budgets import BudgetUnreachable
from tests.ledger_fleet import LedgerFleet
from tests.platform_support import ACCOUNT, PlatformCaller, PlatformTestCase
from tests.support import until
from tests.test_spending import ROUTERS, cut_off_all, home_of, reserve

AMOUNTS = st.integers(0, 10**9)


def reserve_view(**more):
    values = {"demand": 500.0, "requests": 2.0, "available": 0, "prepaid": 10**6}
    return LocalReserveView(**{**values, **more})


def share_view(**more):
    values = {
        "granted": 100_000,
        "used": 0,
        "free": 0,
        "prepaid": 300_000,
        "demand": 0.0,
        "largest": 0.0,
        "waiting": 0,
        "is_home": True,
        "parts": 3,
    }
    return ShareView(**{**values, **more})


class ReservePolicyTest(testtools.TestCase):
    def test_steady_callers_get_a_reserve(self):
        self.assertEqual(3_000, LocalReservePolicy().shortfall(reserve_view()))

    def test_occasional_requests_get_no_reserve(self):
        self.assertEqual(0, LocalReservePolicy().shortfall(reserve_view(requests=0.1)))
        self.assertEqual(0, LocalReservePolicy().retained(reserve_view(requests=0.1)))

    def test_no_tokens_are_borrowed_above_the_refill_threshold(self):
        self.assertEqual(
            0, LocalReservePolicy().shortfall(reserve_view(available=1_500))
        )
        self.assertEqual(
            1_501, LocalReservePolicy().shortfall(reserve_view(available=1_499))
        )

    def test_a_reserve_is_a_small_part_of_the_budget(self):
        self.assertEqual(100, LocalReservePolicy().target(reserve_view(prepaid=3_200)))

    @given(AMOUNTS, st.integers(-(10**9), 10**9))
    def test_a_lender_lends_at_most_an_eighth_of_its_spare_tokens(self, wanted, spare):
        lent = reserve_loan_size(wanted, spare)
        self.assertLessEqual(lent, max(spare, 0) // 8)
        self.assertLessEqual(lent, wanted)
        self.assertGreaterEqual(lent, 0)


class LinePolicyTest(testtools.TestCase):
    """An account has many times its usual load, at a router with slow writes."""

    def test_the_limit_line_of_a_busy_account_covers_a_slow_write(self):
        busy = share_view(demand=15_000.0)
        self.assertGreaterEqual(DemandLinePolicy().burst(busy), 7_500)
        self.assertLess(DemandPolicy().burst(busy), 2_000)
        self.assertGreaterEqual(DemandLinePolicy().rate(busy), 8_000)

    def test_the_limit_line_of_a_quiet_account_is_unchanged(self):
        for demand in (0.0, 10.0, 1_000.0):
            quiet = share_view(demand=demand)
            self.assertEqual(
                DemandPolicy().burst(quiet), DemandLinePolicy().burst(quiet)
            )
            self.assertEqual(DemandPolicy().rate(quiet), DemandLinePolicy().rate(quiet))

    @given(
        st.builds(
            share_view,
            granted=AMOUNTS,
            used=AMOUNTS,
            demand=st.floats(0, 1e9),
            waiting=st.integers(0, 10**6),
        )
    )
    def test_a_crash_loses_a_bounded_part_of_the_grant(self, seen):
        seen = attrs.evolve(seen, granted=seen.granted + seen.used)
        headroom = seen.granted - seen.used
        policy = DemandLinePolicy()
        self.assertLessEqual(policy.burst(seen), headroom)
        self.assertLessEqual(policy.burst(seen), headroom * 0.08 + seen.waiting + 1)
        self.assertLessEqual(policy.rate(seen), headroom * 0.08)


class LoanTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = LedgerFleet(prepaid={"a": 100_000})
        self.fleet.write(self.fleet.routers[0], "answered")
        self.fleet.write(self.fleet.routers[0], "answered")
        self.ledger = self.fleet.routers[0].ledger

    def lend(self, name, wanted, now=1.0):
        now_ms = self.fleet.now_ms
        return self.ledger.lend(
            name, "a", needed=0, wanted=wanted, now_ms=now_ms, now=now, for_reserve=True
        )

    def test_reserve_loans_count_as_demand_of_the_lender(self):
        lent = self.lend("l1", 400)
        self.assertEqual(400, lent)
        self.assertEqual(100.0, self.ledger.share("a").demand.rate(1.0))
        self.assertEqual(400, self.ledger.lent_reserves("a", 1.0))
        self.assertLess(self.ledger.lent_reserves("a", 30.0), 5)

    def test_a_lender_holds_back_tokens_for_its_own_demand(self):
        share = self.ledger.share("a")
        share.demand.add(2 * share.headroom, 1.0)
        self.assertEqual(0, self.lend("l1", 400))

    def test_loans_stay_below_the_lenders_limit_line(self):
        at_hand = self.ledger.available("a", self.fleet.now_ms)
        total = sum(self.lend(f"l{n}", 10**6) for n in range(50))
        self.assertLessEqual(total, at_hand)
        self.assertEqual(at_hand - total, self.ledger.available("a", self.fleet.now_ms))


class LocalReserveTest(PlatformTestCase):
    FEATURES = Features(demand_lines=True)

    def isolate_routers(self, deployment):
        """Cut all routers off from each other and from the store."""
        cut_off_all(deployment)
        for router in deployment.routers.values():
            router.peers.address_of = lambda member: "127.0.0.1:1"

    async def serve_requests(self, deployment):
        home = home_of(deployment, "a")
        (other,) = [
            r for vm, r in deployment.routers.items() if vm[0] == "a" and r != home
        ]
        for number in range(12):
            reservation = await reserve(other, 500, f"before {number}")
            reservation.settle(500)
        return home, other

    def test_an_isolated_router_serves_earlier_callers(self):
        async def scenario(deployment):
            _, other = await self.serve_requests(deployment)
            ledger = other.ledger_sync.ledger
            await until(lambda: ledger.share(ACCOUNT).borrowed > 0)
            at_hand = ledger.available(ACCOUNT, other.ledger_sync.now_ms())
            self.isolate_routers(deployment)
            for number in range(at_hand // 500):
                await reserve(other, 500, f"alone {number}")
            self.assertEqual(0, ledger.share(ACCOUNT).own_use)

        self.with_platform(scenario, routers=ROUTERS, features=self.FEATURES)

    def test_nothing_is_sent_for_a_caller_that_has_closed(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            ledger = router.ledger_sync.ledger
            await until(
                lambda: ledger.available(ACCOUNT, router.ledger_sync.now_ms()) > 900
            )
            head = PlatformCaller(deployment).headers("left", tokens=(100, 60))
            lines = "".join(f"{name}: {value}\r\n" for name, value in head)
            request = f"POST /stream/x HTTP/1.1\r\n{lines}Content-Length: 1\r\n\r\nx"
            # The request and the close both arrive before the router's loop runs and
            # reads them.
            with socket.create_connection(("127.0.0.1", router.callers.port)) as sock:
                await until(lambda: router.callers.connections)
                sock.sendall(request.encode())
            await asyncio.sleep(0.2)
            self.assertEqual([], [run for e in deployment.engines for run in e.runs])
            self.assertEqual({}, ledger.reservations_by_id)

        self.with_platform(scenario, routers=("a-1",), features=self.FEATURES)

    def test_without_the_feature_there_is_no_reserve(self):
        async def scenario(deployment):
            _, other = await self.serve_requests(deployment)
            self.isolate_routers(deployment)
            with self.assertRaises(BudgetUnreachable):
                await reserve(other, 500, "alone")
            self.assertEqual(0, other.ledger_sync.ledger.share(ACCOUNT).borrowed)

        self.with_platform(scenario, routers=ROUTERS)

    def test_unused_reserves_return_to_the_home(self):
        async def scenario(deployment):
            home, other = await self.serve_requests(deployment)
            ledger = other.ledger_sync.ledger
            await until(lambda: ledger.share(ACCOUNT).borrowed > 0)
            now_ms = other.ledger_sync.now_ms
            await until(lambda: not ledger.available(ACCOUNT, now_ms()), timeout=40)
            # The tokens have left this ledger before the home has them, and a transfer
            # that is on its way is in no list.
            home_ledger = home.ledger_sync.ledger
            await until(
                lambda: (
                    not other.balance._transfers
                    and home_ledger.share(ACCOUNT).own_use <= 12 * 500
                )
            )
            self.assertEqual(12 * 500, home_ledger.share(ACCOUNT).own_use)

        self.with_platform(scenario, routers=ROUTERS, features=self.FEATURES)

    def test_a_home_asks_routers_that_hold_reserves(self):
        async def scenario(deployment):
            home = home_of(deployment, "a")
            (other,) = [
                r for vm, r in deployment.routers.items() if vm[0] == "a" and r != home
            ]
            vm = other.settings.vm
            ask = LendRequest("l1", ACCOUNT, 0, 900, by_store=False, kept_by=vm)
            await until(
                lambda: (
                    home.ledger_sync.ledger.available(
                        ACCOUNT, home.ledger_sync.now_ms()
                    )
                    > 900
                )
            )
            reply = await other.peers.ask(home.settings.vm, ask)
            self.assertEqual(900, reply.lent)
            self.assertIn(vm, home.balance._lenders.candidates(ACCOUNT))

        self.with_platform(scenario, routers=ROUTERS, features=self.FEATURES)
