"""Retries of all routers together, over the deaths and stops of their processes."""

import asyncio
import itertools
from unittest import mock

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxchute.edge.settings import DeploymentBounds
from lynxchute.relay.chooser import Chooser
from lynxchute.standins.budget_rules import arrivals_by_service, worst_window
from lynxchute.standins.upstream_run import Fault
from lynxchute.upstreams.retry_budget import MAX_USED_SHARE, RetryBudget
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.retry_play import ROUTERS, UPSTREAMS, RetryPlay

PLAY_SECONDS = 9.0
BOUNDS = DeploymentBounds(retry_share=0.2, retry_extra=40.0, retry_window=10.0)
MARK_SECONDS = 60.0


class RetryLimitTest(PlatformTestCase):
    def check_within_limit(self, disturb, *, fault=Fault.RESET, seconds=PLAY_SECONDS):
        """Check that retries stay within the limit while routers are disturbed."""

        async def scenario(deployment):
            play = RetryPlay(deployment, fault)
            play.prepare()
            await asyncio.gather(play.run(seconds), disturb(play))
            for service in play.request_times_by_service:
                peak = play.peak(service)
                self.assertGreater(peak.retries, 0)
                self.assertLessEqual(peak.excess, 0.0, f"{service}: {peak}")

        self.with_platform(scenario, routers=ROUTERS, engines=UPSTREAMS, apps=UPSTREAMS)

    def test_routers_that_stay_keep_to_the_retry_limit(self):
        async def disturb(play):
            pass

        self.check_within_limit(disturb)

    def test_retries_stay_within_the_limit_as_all_routers_die_once(self):
        async def disturb(play):
            await asyncio.sleep(3.0)
            await play.kill_and_restart()

        self.check_within_limit(disturb)

    def test_retries_stay_within_the_limit_as_all_routers_die_twice(self):
        async def disturb(play):
            for _ in range(2):
                await asyncio.sleep(2.5)
                await play.kill_and_restart()

        self.check_within_limit(disturb)

    def test_declined_requests_stay_within_the_limit_as_all_routers_die_twice(self):
        async def disturb(play):
            for _ in range(2):
                await asyncio.sleep(2.5)
                await play.kill_and_restart()

        self.check_within_limit(disturb, fault=Fault.DECLINE)

    def test_retries_stay_within_the_limit_as_routers_die_in_turn(self):
        async def disturb(play):
            await asyncio.sleep(1.5)
            for vm in (*ROUTERS, *ROUTERS):
                await play.kill_and_restart([vm])
                await asyncio.sleep(0.4)

        self.check_within_limit(disturb)

    def test_retries_stay_within_the_limit_as_half_the_routers_die_three_times(self):
        async def disturb(play):
            for _ in range(3):
                await asyncio.sleep(1.6)
                await play.kill_and_restart(ROUTERS[::2])

        self.check_within_limit(disturb)

    def test_retries_stay_within_the_limit_as_all_but_one_router_leave(self):
        async def disturb(play):
            await asyncio.sleep(2.5)
            await play.stop(ROUTERS[1:])

        self.check_within_limit(disturb)

    def test_retries_stay_within_the_limit_as_dead_routers_are_replaced(self):
        async def disturb(play):
            await asyncio.sleep(2.5)
            for names in (("a-3", "a-4", "b-3", "b-4"), ("a-5", "a-6", "b-5", "b-6")):
                await play.replace(names)
                await asyncio.sleep(1.5)

        self.check_within_limit(disturb)


class _Lives:
    """Routers whose processes follow one another, and the mark that they share."""

    def __init__(self, routers):
        self.now = 100.0
        self.marked_until = 0.0
        self.has_store = True
        self.arrivals, self.request_times = [], []
        self._numbers = itertools.count()
        self.budgets = [self._start(routers) for _ in range(routers)]

    def _start(self, routers):
        budget = RetryBudget(
            share=BOUNDS.retry_share,
            extra=BOUNDS.retry_extra,
            window=BOUNDS.retry_window,
            started_at=self.now,
            marked_until=lambda: self.marked_until,
        )
        budget.routers = routers if self.has_store else 0
        if self.has_store and self.marked_until + BOUNDS.retry_window <= self.now:
            budget.record_unused()
        return budget

    def restart(self, index):
        self.budgets[index] = self._start(len(self.budgets))

    def burst(self, index, retries):
        """Send a request and, as far as that is permitted, retries of it."""
        budget, request_id = self.budgets[index], next(self._numbers)
        budget.record_request("app", self.now)
        self.request_times.append(self.now)
        self.arrivals.append((self.now, request_id))
        for _ in range(retries):
            if not budget.is_available("app", self.now) and self.has_store:
                self.marked_until = max(self.marked_until, self.now + MARK_SECONDS)
            if budget.spend("app", self.now):
                self.arrivals.append((self.now, request_id))


_steps = st.lists(
    st.one_of(
        st.tuples(st.just("burst"), st.integers(0, 2), st.integers(1, 40)),
        st.tuples(st.just("burst all"), st.booleans()),
        st.tuples(st.just("restart"), st.integers(0, 2)),
        st.tuples(st.just("restart all")),
        st.tuples(st.just("wait"), st.sampled_from((0.3, 1.0, 4.0, 9.9, 70.0))),
        st.tuples(st.just("store"), st.booleans()),
    ),
    max_size=60,
)


class RetryLivesFuzzTest(testtools.TestCase):
    @settings(max_examples=400)
    @given(_steps)
    def test_any_series_of_lives_keeps_to_the_limit(self, steps):
        lives = _Lives(3)
        for name, *arguments in steps:
            if name == "burst":
                lives.burst(*arguments)
            elif name == "burst all":
                had_store, lives.has_store = lives.has_store, arguments[0]
                for index in range(3):
                    lives.burst(index, 40)
                lives.has_store = had_store
            elif name == "restart":
                lives.restart(*arguments)
            elif name == "restart all":
                for index in range(3):
                    lives.restart(index)
            elif name == "store":
                lives.has_store = arguments[0]
            else:
                lives.now += arguments[0]
        peak = worst_window(lives.arrivals, lives.request_times, BOUNDS)
        self.assertLessEqual(peak.excess, 0.0, str(peak))


class RetryReserveTest(testtools.TestCase):
    def budget(self, **options):
        return RetryBudget(
            share=0.0, extra=100.0, window=10.0, started_at=50.0, **options
        )

    def spend_all(self, budget, now):
        return sum(budget.spend("app", now) for _ in range(200))

    def test_a_process_earns_its_reserve_until_a_window_has_passed(self):
        budget = self.budget()
        self.assertEqual(0, self.spend_all(budget, 50.0))
        self.assertEqual(7, self.spend_all(budget, 55.0))
        self.assertEqual(int(100 * MAX_USED_SHARE) - 7, self.spend_all(budget, 60.0))

    def test_a_process_without_a_predecessor_uses_all_at_once(self):
        budget = self.budget()
        budget.record_unused()
        self.assertEqual(int(100 * MAX_USED_SHARE), self.spend_all(budget, 50.0))

    def test_without_a_mark_only_the_reserve_is_used(self):
        budget = self.budget(marked_until=lambda: 70.0)
        self.assertEqual(15, self.spend_all(budget, 80.0))

    def test_a_process_that_knows_no_other_routers_uses_no_extra_retries(self):
        budget = self.budget()
        budget.routers = 0
        self.assertEqual(0, self.spend_all(budget, 80.0))


class LateRetryTest(PlatformTestCase):
    """Guards against retries that are permitted in one window and sent in the next."""

    EXTRA, WINDOW = 20.0, 1.0

    def test_retries_that_wait_for_an_upstream_stay_within_the_limit(self):
        async def scenario(deployment):
            retries = deployment.routers["a-1"].retries
            retries.change(share=0.0, extra=self.EXTRA, window=self.WINDOW)
            for app in deployment.apps:
                app.faults = [Fault.DECLINE] * 1000
            may_choose, choose = asyncio.Event(), Chooser.choose

            async def choose_late(chooser, exchange):
                if exchange.sends and exchange.call.request_id.startswith("held"):
                    await may_choose.wait()
                return await choose(chooser, exchange)

            with mock.patch.object(Chooser, "choose", choose_late):
                held = self.begin(deployment, "held")
                await asyncio.sleep(self.WINDOW * 1.1)
                await asyncio.gather(*self.begin(deployment, "new"))
                may_choose.set()
                await asyncio.gather(*held)
            arrivals = arrivals_by_service(deployment.apps)["app"]
            limits = DeploymentBounds(
                retry_share=0.0, retry_extra=self.EXTRA, retry_window=self.WINDOW
            )
            peak = worst_window(arrivals, [], limits)
            self.assertGreater(peak.retries, 0)
            self.assertLessEqual(peak.excess, 0.0, str(peak))

        self.with_platform(scenario, routers=("a-1",))

    def begin(self, deployment, name):
        caller = PlatformCaller(deployment)
        return [
            asyncio.create_task(
                caller.send("GET", "/safe/x", request_id=f"{name}{number}")
            )
            for number in range(int(self.EXTRA))
        ]
