"""Tokens that stand where an account's callers arrive."""

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
    lent_to_keep,
)
from lynxchute.edge.settings import Features
from lynxchute.fleet.messages import LendRequest
from lynxchute.relay.budgets import BudgetUnreachable
from tests.ledger_fleet import LedgerFleet
from tests.platform_support import ACCOUNT, PlatformCaller, PlatformTestCase
from tests.support import until
from tests.test_spending import ROUTERS, cut_off_all, home_of, reserve

AMOUNTS = st.integers(0, 10**9)


def retained(**more):
    values = {"demand": 500.0, "requests": 2.0, "at_hand": 0, "prepaid": 10**6}
    return LocalReserveView(**{**values, **more})


def share(**more):
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


class RuleTest(testtools.TestCase):
    def test_callers_who_come_regularly_are_kept_tokens_for_a_cut(self):
        self.assertEqual(3_000, LocalReservePolicy().shortfall(retained()))

    def test_nothing_is_kept_for_a_request_now_and_then(self):
        self.assertEqual(0, LocalReservePolicy().shortfall(retained(requests=0.1)))
        self.assertEqual(0, LocalReservePolicy().retained(retained(requests=0.1)))

    def test_who_has_enough_asks_nobody(self):
        self.assertEqual(0, LocalReservePolicy().shortfall(retained(at_hand=1_500)))
        self.assertEqual(1_501, LocalReservePolicy().shortfall(retained(at_hand=1_499)))

    def test_a_small_budget_is_not_cut_into_pieces(self):
        self.assertEqual(100, LocalReservePolicy().full(retained(prepaid=3_200)))

    @given(AMOUNTS, st.integers(-(10**9), 10**9))
    def test_a_lender_gives_a_part_of_what_it_can_spare(self, wanted, spare):
        lent = lent_to_keep(wanted, spare)
        self.assertLessEqual(lent, max(spare, 0) // 8)
        self.assertLessEqual(lent, wanted)
        self.assertGreaterEqual(lent, 0)


class LinePolicyTest(testtools.TestCase):
    """The load: an account that sends many times its usual, at a slow router."""

    def test_the_line_of_a_busy_account_covers_a_slow_write(self):
        busy = share(demand=15_000.0)
        self.assertGreaterEqual(DemandLinePolicy().burst(busy), 7_500)
        self.assertLess(DemandPolicy().burst(busy), 2_000)
        self.assertGreaterEqual(DemandLinePolicy().rate(busy), 8_000)

    def test_the_line_of_a_quiet_account_is_as_it_was(self):
        for demand in (0.0, 10.0, 1_000.0):
            quiet = share(demand=demand)
            self.assertEqual(
                DemandPolicy().burst(quiet), DemandLinePolicy().burst(quiet)
            )
            self.assertEqual(DemandPolicy().rate(quiet), DemandLinePolicy().rate(quiet))

    @given(
        st.builds(
            share,
            granted=AMOUNTS,
            used=AMOUNTS,
            demand=st.floats(0, 1e9),
            waiting=st.integers(0, 10**6),
        )
    )
    def test_a_death_costs_a_bounded_part_of_the_grant(self, seen):
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

    def test_what_others_keep_counts_as_the_lenders_demand_and_may_be_unused(self):
        lent = self.lend("l1", 400)
        self.assertEqual(400, lent)
        self.assertEqual(100.0, self.ledger.share("a").demand.rate(1.0))
        self.assertEqual(400, self.ledger.kept_elsewhere("a", 1.0))
        self.assertLess(self.ledger.kept_elsewhere("a", 30.0), 5)

    def test_a_lender_keeps_what_its_own_callers_ask_for(self):
        share = self.ledger.share("a")
        share.demand.add(2 * share.headroom, 1.0)
        self.assertEqual(0, self.lend("l1", 400))

    def test_a_loan_does_not_pass_the_lenders_line(self):
        at_hand = self.ledger.available("a", self.fleet.now_ms)
        total = sum(self.lend(f"l{n}", 10**6) for n in range(50))
        self.assertLessEqual(total, at_hand)
        self.assertEqual(at_hand - total, self.ledger.available("a", self.fleet.now_ms))


class StandingTest(PlatformTestCase):
    FEATURES = Features(demand_lines=True)

    def part(self, deployment):
        """Cut all routers off from one another and from the store."""
        cut_off_all(deployment)
        for router in deployment.routers.values():
            router.peers.address_of = lambda member: "127.0.0.1:1"

    async def serve_and_part(self, deployment):
        home = home_of(deployment, "a")
        (other,) = [
            r for vm, r in deployment.routers.items() if vm[0] == "a" and r != home
        ]
        for number in range(12):
            reservation = await reserve(other, 500, f"before {number}")
            reservation.settle(500)
        return home, other

    def test_a_router_that_is_alone_serves_callers_who_came_before(self):
        async def scenario(deployment):
            _, other = await self.serve_and_part(deployment)
            ledger = other.keeper.ledger
            await until(lambda: ledger.share(ACCOUNT).borrowed > 0)
            at_hand = ledger.available(ACCOUNT, other.keeper.now_ms())
            self.part(deployment)
            for number in range(at_hand // 500):
                await reserve(other, 500, f"alone {number}")
            self.assertEqual(0, ledger.share(ACCOUNT).own_use)

        self.with_platform(scenario, routers=ROUTERS, features=self.FEATURES)

    def test_nothing_is_sent_for_a_caller_whose_close_has_arrived(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            ledger = router.keeper.ledger
            await until(lambda: ledger.available(ACCOUNT, router.keeper.now_ms()) > 900)
            head = PlatformCaller(deployment).headers("left", tokens=(100, 60))
            lines = "".join(f"{name}: {value}\r\n" for name, value in head)
            request = f"POST /stream/x HTTP/1.1\r\n{lines}Content-Length: 1\r\n\r\nx"
            # Both arrive before the router reads: its loop runs only after that.
            with socket.create_connection(("127.0.0.1", router.callers.port)) as sock:
                await until(lambda: router.callers.connections)
                sock.sendall(request.encode())
            await asyncio.sleep(0.2)
            self.assertEqual([], [run for e in deployment.engines for run in e.runs])
            self.assertEqual({}, ledger.reservations_by_id)

        self.with_platform(scenario, routers=("a-1",), features=self.FEATURES)

    def test_without_the_feature_it_has_nothing(self):
        async def scenario(deployment):
            _, other = await self.serve_and_part(deployment)
            self.part(deployment)
            with self.assertRaises(BudgetUnreachable):
                await reserve(other, 500, "alone")
            self.assertEqual(0, other.keeper.ledger.share(ACCOUNT).borrowed)

        self.with_platform(scenario, routers=ROUTERS)

    def test_tokens_go_back_when_callers_stay_away(self):
        async def scenario(deployment):
            home, other = await self.serve_and_part(deployment)
            ledger = other.keeper.ledger
            await until(lambda: ledger.share(ACCOUNT).borrowed > 0)
            now_ms = other.keeper.now_ms
            await until(lambda: not ledger.available(ACCOUNT, now_ms()), timeout=40)
            total = home.keeper.ledger.share(ACCOUNT).own_use
            self.assertEqual(12 * 500, total)

        self.with_platform(scenario, routers=ROUTERS, features=self.FEATURES)

    def test_a_home_that_has_nothing_left_asks_who_keeps_some(self):
        async def scenario(deployment):
            home = home_of(deployment, "a")
            (other,) = [
                r for vm, r in deployment.routers.items() if vm[0] == "a" and r != home
            ]
            vm = other.settings.vm
            ask = LendRequest("l1", ACCOUNT, 0, 900, by_store=False, kept_by=vm)
            await until(
                lambda: (
                    home.keeper.ledger.available(ACCOUNT, home.keeper.now_ms()) > 900
                )
            )
            reply = await other.peers.ask(home.settings.vm, ask)
            self.assertEqual(900, reply.lent)
            self.assertIn(vm, home.balance._lenders.in_order(ACCOUNT))

        self.with_platform(scenario, routers=ROUTERS, features=self.FEATURES)
