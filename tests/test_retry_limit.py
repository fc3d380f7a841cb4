"""Retries of all routers together, over the deaths and stops of their processes."""

import asyncio
import itertools
from typing import ClassVar
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
MAX_ROUTERS = 12
LEAVING_SECONDS = 8.0


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
    """Routers whose processes follow one another, and the mark that they share.

    Processes that leave go on beside their successors, and permits may wait.
    """

    def __init__(self, vms, budget_class):
        self.now = 100.0
        self._budget_class = budget_class
        self.marked_until = 0.0
        self.has_store = True
        self.arrivals, self.request_times = [], []
        self._numbers = itertools.count()
        self._leaving, self._waiting, self._cut = [], [], set()
        self.budgets, self._confirmed_at, self._left_at = [], {}, {}
        for _ in range(vms):
            self.budgets.append(self._start())
        self._tell_routers()

    def _start(self, *, is_killed=True):
        budget = self._budget_class(
            share=BOUNDS.retry_share,
            extra=BOUNDS.retry_extra,
            window=BOUNDS.retry_window,
            started_at=self.now,
            marked_until=lambda: self.marked_until,
            leaving_seconds=LEAVING_SECONDS,
            routers_confirmed_at=lambda: self._confirmed_at[budget],
        )
        budget.routers = 0
        self._confirmed_at[budget] = self.now
        if not is_killed:
            budget.record_joined(self.now)
        if self.has_store and self.marked_until + BOUNDS.retry_window <= self.now:
            budget.record_unused()
        return budget

    def _tell_routers(self):
        """Let routers that reach the store know of all others."""
        if not self.has_store:
            return
        for budget in set(self.budgets) - self._cut:
            self._confirmed_at[budget] = self.now
            budget.record_routers(len(self.budgets), self.now)
        for budget in self._leaving:
            self._confirmed_at[budget] = self.now

    def store(self, is_there):
        self.has_store = is_there

    def cut(self, index):
        """Cut a router off from the store."""
        self._cut.add(self.budgets[index % len(self.budgets)])

    def heal(self):
        self._cut.clear()
        self._tell_routers()

    def restart_all(self):
        for index in range(len(self.budgets)):
            self.restart(index)

    def restart(self, index):
        self.budgets[index % len(self.budgets)] = self._start()
        self._tell_routers()

    def hand_over(self, index):
        """Start a router's next process while the last one still sends."""
        index %= len(self.budgets)
        leaving = self.budgets[index]
        self._leaving.append(leaving)
        self._left_at[leaving] = self.now
        self.budgets[index] = self._start(is_killed=False)
        self._tell_routers()

    def join(self):
        """Start a router on another VM, if the store can register it."""
        if self.has_store and len(self.budgets) < MAX_ROUTERS:
            self.budgets.append(self._start(is_killed=False))
            self._tell_routers()

    def wait(self, seconds):
        self.now += seconds
        ended = self.now - LEAVING_SECONDS
        self._leaving = [b for b in self._leaving if self._left_at[b] > ended]
        self._tell_routers()

    def burst_late(self, index, retries):
        """Send a request whose retries wait for an upstream."""
        self.burst(index, retries, waits=True)

    def burst_all(self, has_store):
        had_store, self.has_store = self.has_store, has_store
        for index in range(len(self.budgets)):
            self.burst(index, 40)
        self.has_store = had_store

    def burst(self, index, retries, *, waits=False):
        """Send a request and, as far as that is permitted, retries of it."""
        budgets = [*self.budgets, *self._leaving]
        budget, request_id = budgets[index % len(budgets)], next(self._numbers)
        budget.record_request("app", self.now)
        self.request_times.append(self.now)
        self.arrivals.append((self.now, request_id))
        for _ in range(retries):
            if not budget.is_available("app", self.now) and self.has_store:
                self.marked_until = max(self.marked_until, self.now + MARK_SECONDS)
            if not budget.permit("app", self.now):
                continue
            self._waiting.append((budget, request_id))
        if not waits:
            self.send_waiting()

    def send_waiting(self):
        """Send all retries that have a permit and whose process lives."""
        for budget, request_id in self._waiting:
            if budget in self.budgets or budget in self._leaving:
                budget.record_sent("app", self.now)
                self.arrivals.append((self.now, request_id))
        self._waiting.clear()


_steps = st.lists(
    st.one_of(
        st.tuples(st.just("burst"), st.integers(0, 5), st.integers(1, 40)),
        st.tuples(st.just("burst late"), st.integers(0, 5), st.integers(1, 40)),
        st.tuples(st.just("burst all"), st.booleans()),
        st.tuples(st.just("send waiting")),
        st.tuples(st.just("restart"), st.integers(0, 5)),
        st.tuples(st.just("restart all")),
        st.tuples(st.just("hand over"), st.integers(0, 5)),
        st.tuples(st.just("join")),
        st.tuples(st.just("cut"), st.integers(0, 5)),
        st.tuples(st.just("heal")),
        st.tuples(st.just("wait"), st.sampled_from((0.3, 1.0, 4.0, 9.9, 70.0))),
        st.tuples(st.just("store"), st.booleans()),
    ),
    max_size=60,
)


def play_lives(steps, budget_class=RetryBudget):
    """Play steps with three routers at first; return the worst window."""
    lives = _Lives(3, budget_class)
    for name, *arguments in steps:
        getattr(lives, name.replace(" ", "_"))(*arguments)
    return worst_window(lives.arrivals, lives.request_times, BOUNDS)


class RetryLivesFuzzTest(testtools.TestCase):
    @settings(max_examples=400)
    @given(_steps)
    def test_any_series_of_lives_keeps_to_the_limit(self, steps):
        peak = play_lives(steps)
        self.assertLessEqual(peak.excess, 0.0, str(peak))


ALL = ("burst all", True)


def _sustained(routers):
    """Return steps in which that many routers retry whenever they may, for 9.6 s."""
    bursts = [("burst", index, 40) for index in range(routers)]
    return [step for _ in range(3) for step in (*bursts, ("wait", 4.8))]


class _BornFull(RetryBudget):
    """Takes a process that starts for one that has run for long."""

    def __init__(self, **options):
        super().__init__(**{**options, "started_at": float("-inf")})


class _CountsPermits(RetryBudget):
    """Counts retries as they are permitted."""

    def permit(self, service, now, *, used_share=MAX_USED_SHARE):
        if not super().permit(service, now, used_share=used_share):
            return False
        super().record_sent(service, now)
        return True

    def record_sent(self, service, now):
        pass


class _TrustsOldViews(RetryBudget):
    """Keeps its part of the extra retries however old its view is."""

    def __init__(self, **options):
        super().__init__(**{**options, "routers_confirmed_at": lambda: float("inf")})


class _JoinsAtOnce(RetryBudget):
    """Earns extra retries before others know that it has joined."""

    def record_joined(self, now):
        pass


class RetryMutantsTest(testtools.TestCase):
    STEPS_BY_MUTANT: ClassVar = {
        _BornFull: (ALL, ("restart all",), ALL, ("restart all",), ALL),
        _CountsPermits: (
            ("wait", 70.0),
            *[("burst late", index, 40) for index in range(3)],
            ("wait", 9.9),
            ("wait", 0.3),
            ALL,
            ("send waiting",),
            ("wait", 9.0),
            ALL,
        ),
        _TrustsOldViews: (
            ("burst", 0, 1),
            *[("cut", index) for index in range(3)],
            *[("join",) for _ in range(2)],
            ("wait", 15.0),
            ("wait", 15.0),
            *_sustained(5),
        ),
        _JoinsAtOnce: (
            ALL,
            ("wait", 9.9),
            *[("cut", index) for index in range(3)],
            *[("join",) for _ in range(9)],
            ("wait", 9.9),
            *_sustained(12),
        ),
    }

    def test_routers_that_forget_a_rule_pass_the_limit(self):
        for mutant, steps in self.STEPS_BY_MUTANT.items():
            peak = play_lives(steps, mutant)
            self.assertGreater(peak.excess, 0.0, f"{mutant.__name__}: {peak}")

    def test_the_same_series_keep_to_the_limit_otherwise(self):
        for mutant, steps in self.STEPS_BY_MUTANT.items():
            peak = play_lives(steps)
            self.assertLessEqual(peak.excess, 0.0, f"{mutant.__name__}: {peak}")


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

    def test_a_process_with_an_old_view_of_the_routers_uses_no_extra_retries(self):
        budget = self.budget(routers_confirmed_at=lambda: 60.0)
        self.assertEqual(80, self.spend_all(budget, 75.0))
        self.assertEqual(0, self.spend_all(budget, 86.0))

    def test_a_process_that_joins_uses_its_reserve_until_others_know_it(self):
        budget = self.budget()
        budget.record_joined(51.0)
        self.assertEqual(15, self.spend_all(budget, 75.0))
        self.assertEqual(65, self.spend_all(budget, 76.0))

    def test_permits_count_until_their_retries_are_sent_or_given_up(self):
        budget = self.budget()
        held = sum(budget.permit("app", 80.0) for _ in range(200))
        self.assertEqual(80, held)
        self.assertEqual(0, self.spend_all(budget, 95.0))
        budget.return_permit("app", 95.0)
        budget.record_sent("app", 95.0)
        self.assertEqual(1, self.spend_all(budget, 95.0))
        self.assertEqual(2, self.spend_all(budget, 105.0))


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
