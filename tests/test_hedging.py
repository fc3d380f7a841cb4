"""Hedging of repeatable calls that are slow at their first upstream."""

import asyncio
import contextlib
import itertools
import time
from unittest import mock

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxchute.edge.settings import Features
from lynxchute.relay import hedge_rules, hedging, sender
from lynxchute.relay.hedge_rules import allows_hedge, hedge_delay
from lynxchute.relay.hedging import Hedger
from lynxchute.relay.refusal import Reason, Refusal, RunStatus
from lynxchute.standins.upstream_run import Fault
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.expected_finish import UpstreamState
from lynxchute.upstreams.learned_speed import TwoTimescaleSpeeds
from lynxchute.upstreams.retry_budget import RetryBudget
from lynxchute.upstreams.service_times import ServiceTimes
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.support import AsyncTestCase, until

HEDGING = Features(hedging=True)
# The latency objective of the test routes is 0.4 s; calls are hedged after this delay
# until latencies are known.
UNKNOWN_DELAY = 0.4 * hedge_rules.DEFAULT_DELAY_SHARE
SLOW = 0.6
# Longer than any hedge delay of these tests.
LAG = 0.4
HEDGED_BY_ONE = {"apps": 3, "features": HEDGING, "routers": ("a-1",)}


class HedgeDelayTest(testtools.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        st.none() | st.floats(0, 100),
        st.none() | st.floats(0.0002, 100),
        st.floats(allow_nan=True, allow_infinity=True),
    )
    def test_the_delay_is_at_least_twice_the_median(self, quantile, median, objective):
        delay = hedge_delay(quantile, median, objective)
        if delay is None:
            self.assertFalse(objective > 0)
        elif median is not None:
            self.assertTrue(2 * median <= delay <= 3 * median)

    def test_nothing_is_hedged_while_more_than_half_are_busy(self):
        normal = UpstreamState(slots=6)
        slow = UpstreamState(slots=6, slowness=2.5)
        full = UpstreamState(slots=6, open_requests=6)
        waiting = UpstreamState(slots=6, overdue=3.0)
        self.assertTrue(allows_hedge([normal, normal, slow], 0))
        self.assertTrue(allows_hedge([normal, waiting], 0))
        self.assertFalse(allows_hedge([normal, slow, full], 0))
        self.assertFalse(allows_hedge([waiting, slow], 0))
        self.assertFalse(allows_hedge([normal], 0))
        self.assertFalse(allows_hedge([], 0))

    def test_only_a_small_share_of_open_calls_is_hedged(self):
        open_here = [UpstreamState(slots=64, open_requests=20) for _ in range(2)]
        self.assertTrue(allows_hedge(open_here, 4))
        self.assertFalse(allows_hedge(open_here, 5))


class RetryBudgetTest(testtools.TestCase):
    def test_hedges_leave_most_of_the_budget_to_retries(self):
        budget = RetryBudget(share=0.2, extra=0.0, window=10.0)
        for _ in range(100):
            budget.record_request("app", 1.0)
        share = hedge_rules.HEDGE_BUDGET_SHARE
        hedges = sum(budget.spend("app", 1.0, used_share=share) for _ in range(50))
        self.assertEqual(8, hedges)
        tries = sum(budget.spend("app", 1.0) for _ in range(50))
        self.assertEqual(8, tries)


def record_latencies(deployment, router):
    """Record latencies of 20 ms at each upstream for a router."""
    times = deployment.routers[router].plain_calls.times
    now = asyncio.get_running_loop().time()
    for route in ("safe", "unsafe"):
        for app in deployment.apps:
            for _ in range(25):
                times.record("app", route, app.id, 0.02, now - 5.0)


class ExhaustedRetryBudgetTest(PlatformTestCase):
    def test_a_retry_without_budget_is_logged(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.faults = [Fault.FAIL, Fault.FAIL]
            deployment.routers["a-1"].retries.change(share=0.0, extra=0.0, window=10.0)
            with mock.patch.object(sender, "log_event") as logged:
                status, _, _ = await PlatformCaller(deployment).send("GET", "/safe/x")
            self.assertEqual(500, status)
            self.assertEqual(1, sum(len(app.arrivals) for app in deployment.apps))
            fields = [call.kwargs for call in logged.call_args_list if call.args]
            events = [call.args[0] for call in logged.call_args_list]
            self.assertIn("retry budget used up", events)
            self.assertEqual(
                "app", fields[events.index("retry budget used up")]["service"]
            )

        self.with_platform(scenario)


class HedgedCallsTest(PlatformTestCase):
    def run_scenario(self, scenario, **more):
        self.with_platform(scenario, **{**HEDGED_BY_ONE, **more})

    def hedges(self, deployment):
        values = deployment.routers["a-1"].metrics.hedges.values_by_labels
        return {labels[0]: int(value) for labels, value in values.items()}

    def assert_nothing_open(self, deployment):
        for entry in deployment.routers["a-1"].directory.entries_by_id.values():
            self.assertEqual((0, set()), (entry.open_requests, entry.open_sends))

    def test_calls_to_a_slow_upstream_are_answered_by_another(self):
        async def scenario(deployment):
            record_latencies(deployment, "a-1")
            deployment.apps[0].event_delay = SLOW
            caller = PlatformCaller(deployment)
            loop = asyncio.get_running_loop()
            durations = []
            for number in range(12):
                began = loop.time()
                status, _, body = await caller.send("GET", f"/safe/{number}")
                durations.append(loop.time() - began)
                self.assertEqual(200, status)
                self.assertTrue(body.startswith(b"answer to"))
            self.assertLess(max(durations), SLOW / 2)
            self.assertGreater(self.hedges(deployment)["won"], 0)
            await asyncio.sleep(0)
            self.assert_nothing_open(deployment)

        self.run_scenario(scenario)

    def test_without_the_feature_calls_are_not_hedged(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.event_delay = SLOW
            status, _, _ = await PlatformCaller(deployment).send("GET", "/safe/x")
            self.assertEqual(200, status)
            self.assertEqual(1, sum(len(app.arrivals) for app in deployment.apps))
            self.assertEqual({}, self.hedges(deployment))

        self.run_scenario(scenario, features=Features())

    def test_the_losing_send_is_cancelled_at_once(self):
        async def scenario(deployment):
            near, far = deployment.apps
            near.faults = [Fault.HANG]
            status, _, body = await PlatformCaller(deployment).send(
                "GET", "/safe/x", request_id="one"
            )
            self.assertEqual((200, b"answer to one"), (status, body))
            await until(lambda: near.runs[0].router_disconnected)
            self.assertEqual(["one"], far.arrivals)
            self.assertEqual({"won": 1}, self.hedges(deployment))
            self.assert_nothing_open(deployment)

        self.run_scenario(scenario, apps=2)

    def test_a_slower_hedge_is_cancelled(self):
        async def scenario(deployment):
            near, far = deployment.apps
            near.event_delay = UNKNOWN_DELAY + 0.15
            far.faults = [Fault.HANG]
            status, _, body = await PlatformCaller(deployment).send(
                "GET", "/safe/x", request_id="one"
            )
            self.assertEqual((200, b"answer to one"), (status, body))
            self.assertEqual(1, len(near.runs))
            await until(lambda: far.runs[0].router_disconnected)
            self.assertEqual({"lost": 1}, self.hedges(deployment))
            self.assert_nothing_open(deployment)

        self.run_scenario(scenario, apps=2)

    def test_the_first_upstream_stops_while_the_hedge_runs(self):
        async def scenario(deployment):
            near, far = deployment.apps
            near.faults = [Fault.HANG]
            far.event_delay = 0.2
            call = asyncio.create_task(PlatformCaller(deployment).send("GET", "/safe/"))
            await until(lambda: far.runs)
            await near.stop()
            status, _, _ = await call
            self.assertEqual(200, status)
            self.assertEqual(1, len(far.runs))

        self.run_scenario(scenario, apps=2)

    def test_a_disconnect_frees_both_upstreams(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.faults = [Fault.HANG]
            call = asyncio.create_task(PlatformCaller(deployment).send("GET", "/safe/"))
            await until(lambda: all(app.runs for app in deployment.apps))
            call.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await call
            await until(
                lambda: all(app.runs[0].router_disconnected for app in deployment.apps)
            )
            await until(lambda: self.hedges(deployment) == {"left": 1})
            self.assert_nothing_open(deployment)

        self.run_scenario(scenario, apps=2)

    def test_a_call_that_may_have_run_is_not_reported_as_not_run(self):
        async def scenario(deployment):
            near, far = deployment.apps
            near.faults, far.faults = [Fault.HANG], [Fault.DECLINE]
            call = asyncio.create_task(PlatformCaller(deployment).send("GET", "/safe/"))
            await until(lambda: far.arrivals)
            await near.stop()
            status, headers, _ = await call
            self.assertEqual(502, status)
            self.assertIsNone(headers.get("retry-after"))
            self.assertEqual(1, len(far.arrivals))

        self.run_scenario(scenario, apps=2)

    def test_a_call_quarantined_in_the_meantime_is_not_hedged(self):
        async def scenario(deployment):
            near, far = deployment.apps
            near.faults = [Fault.HANG]
            call = asyncio.create_task(PlatformCaller(deployment).send("GET", "/safe/"))
            await until(lambda: near.runs)
            router = deployment.routers["a-1"]
            asked = []

            def quarantine_seconds_left(content):
                asked.append(content)
                return 5.0

            router.containment.quarantine_seconds_left = quarantine_seconds_left
            await until(lambda: asked or far.arrivals, timeout=2)
            await near.stop()
            status, _, _ = await call
            self.assertEqual(502, status)
            self.assertEqual([], far.arrivals)

        self.run_scenario(scenario, apps=2)

    def test_calls_that_may_not_be_repeated_are_not_hedged(self):
        async def scenario(deployment):
            record_latencies(deployment, "a-1")
            for app in deployment.apps:
                app.event_delay = 0.3
            status, _, _ = await PlatformCaller(deployment).send("POST", "/unsafe/x")
            self.assertEqual(200, status)
            self.assertEqual(1, sum(len(app.arrivals) for app in deployment.apps))

        self.run_scenario(scenario)

    def test_link_delay_does_not_count_as_upstream_latency(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            router.clients.meter.delay = lambda: 0.12
            for app in deployment.apps:
                app.event_delay = UNKNOWN_DELAY + 0.05
            status, _, _ = await PlatformCaller(deployment).send("GET", "/safe/x")
            self.assertEqual(200, status)
            self.assertEqual(1, sum(len(app.arrivals) for app in deployment.apps))
            self.assertEqual({}, self.hedges(deployment))

        self.run_scenario(scenario)

    def hedges_around_a_block(self, is_blocked):
        """Return the hedges of a call during which the event loop stands still."""

        async def scenario(deployment):
            record_latencies(deployment, "a-1")
            caller = PlatformCaller(deployment)
            await caller.send("GET", "/safe/first")
            call = asyncio.create_task(caller.send("GET", "/safe/x"))
            while not is_blocked(deployment):
                await asyncio.sleep(0)
            time.sleep(LAG)  # noqa: ASYNC251
            status, _, _ = await call
            self.assertEqual(200, status)
            self.assertEqual(2, sum(len(app.arrivals) for app in deployment.apps))
            return self.hedges(deployment)

        return self.with_platform(scenario, **HEDGED_BY_ONE)

    def test_a_call_not_sent_yet_as_the_router_was_late_is_not_hedged(self):
        def is_chosen(deployment):
            entries = deployment.routers["a-1"].directory.entries_by_id.values()
            return any(entry.open_requests for entry in entries)

        self.assertEqual({}, self.hedges_around_a_block(is_chosen))

    def test_a_call_answered_while_the_router_was_late_is_not_hedged(self):
        def has_arrived(deployment):
            return sum(len(app.arrivals) for app in deployment.apps) == 2

        self.assertEqual({}, self.hedges_around_a_block(has_arrived))

    def test_hedges_add_at_most_a_tenth_of_load_if_all_are_slow(self):
        async def scenario(deployment):
            record_latencies(deployment, "a-1")
            for app in deployment.apps:
                app.event_delay = 0.3
            caller = PlatformCaller(deployment)
            calls = [caller.send("GET", f"/safe/{number}") for number in range(40)]
            answers = await asyncio.gather(*calls)
            self.assertEqual({200}, {status for status, _, _ in answers})
            arrivals = sum(len(app.arrivals) for app in deployment.apps)
            self.assertLessEqual(arrivals, 44)
            self.assertGreater(self.hedges(deployment)["busy"], 30)

        self.run_scenario(scenario)


@attrs.define(eq=False)
class FakeEntry:
    upstream: object


@attrs.define(eq=False)
class FakeUpstream:
    id: str
    slots: int = 6


@attrs.define(eq=False)
class FakeResponse:
    status: int


@attrs.define(eq=False)
class FakeAnswer:
    entry: FakeEntry
    response: FakeResponse


@attrs.define(eq=False)
class FakeRoute:
    name: str = "safe"
    is_repeatable: bool = True
    max_attempts: int = 2
    latency_objective: float = 0.001


@attrs.define(eq=False)
class FakeCall:
    request_id: str = "one"
    generation: object = None


@attrs.define(eq=False)
class FakeExchange:
    call: FakeCall = attrs.Factory(FakeCall)
    route: FakeRoute = attrs.Factory(FakeRoute)
    service: str = "app"
    sends: int = 0
    sent_at: float = 0.0
    run_status: RunStatus = RunStatus.NOT_RUN
    tried: set = attrs.Factory(set)
    begun: None = None
    has_retry_permit: bool = False

    def refuse(self, reason, title, now):
        return Refusal(reason, title, run=self.run_status)


@attrs.define(eq=False)
class FakeChoice:
    entry: FakeEntry


ENTRIES = tuple(FakeEntry(FakeUpstream(name)) for name in "ab")


class FakeChooser:
    async def choose(self, exchange):
        for entry in ENTRIES:
            if entry.upstream.id not in exchange.tried:
                return FakeChoice(entry)
        raise Refusal(Reason.NO_UPSTREAM, "none")


class FakeDirectory:
    def available(self, service, now):
        return ENTRIES


class Race:
    """One race whose sends end with given outcomes, in a given order."""

    OUTCOMES = ("good", "failed", "declined", "lost", "too late")

    def __init__(self):
        self.exchange = FakeExchange()
        self.dropped, self.answers, self.open = [], [], {}
        self.clock = asyncio.get_running_loop().time
        self.hedger = Hedger(
            FakeChooser(),
            FakeDirectory(),
            ServiceTimes(TwoTimescaleSpeeds()),
            RetryBudget(share=0.0, extra=10.0, window=10.0),
            lambda entry, now: UpstreamState(slots=6),
            Metrics(),
            self.clock,
        )

    async def attempt(self, exchange, choice):
        name = choice.entry.upstream.id
        self.open[name] = asyncio.get_running_loop().create_future()
        exchange.sends += 1
        exchange.sent_at = self.clock()
        exchange.run_status = RunStatus.UNKNOWN
        try:
            outcome = await self.open[name]
        finally:
            del self.open[name]
        if outcome in ("declined", "lost"):
            return None
        if outcome == "too late":
            # Raised before the other send left.
            raise Refusal(Reason.TOO_LATE, "late", run=RunStatus.NOT_RUN)
        status = 200 if outcome == "good" else 500
        answer = FakeAnswer(choice.entry, FakeResponse(status))
        self.answers.append(answer)
        return answer

    def start(self):
        choice = FakeChoice(ENTRIES[0])
        work = self.hedger.send(
            self.exchange, choice, self.attempt, self.dropped.append
        )
        return asyncio.create_task(work)


async def run_loop(count=8):
    for _ in range(count):
        await asyncio.sleep(0)


async def run_scenario(outcomes, order, together, is_cancelled):
    """Run one race; return it, its answer or None, and its error or None."""
    race = Race()
    task = race.start()
    while len(race.open) < 2:
        await asyncio.sleep(0.0005)
    if is_cancelled:
        task.cancel()
    for name in order:
        if name in race.open:
            race.open[name].set_result(outcomes[name])
        if not together:
            await run_loop()
    await run_loop()
    answer = error = None
    try:
        answer = await task
    except Refusal as refusal:
        error = refusal
    except asyncio.CancelledError:
        error = is_cancelled
    await run_loop()
    return race, answer, error


def check(case, race, answer, error, outcomes, is_cancelled):
    case.assertEqual({}, race.open)
    kept = [] if answer is None else [answer]
    unread = [given for given in race.answers if given not in kept]
    case.assertEqual(unread, race.dropped)
    case.assertLessEqual(race.exchange.sends, 2)
    if is_cancelled:
        case.assertTrue(error)
        return
    statuses = [given.response.status for given in race.answers]
    if "good" in outcomes.values():
        case.assertEqual(200, answer.response.status)
    elif statuses:
        case.assertEqual(500, answer.response.status)
    else:
        case.assertIsNone(answer)
    if isinstance(error, Refusal):
        case.assertIsNot(RunStatus.NOT_RUN, error.run)


def all_races():
    pairs = itertools.product(Race.OUTCOMES, Race.OUTCOMES)
    for (a, b), order, together, is_cancelled in itertools.product(
        pairs, ("ab", "ba"), (False, True), (False, True)
    ):
        yield {"a": a, "b": b}, order, together, is_cancelled


async def check_all_races(case):
    for outcomes, order, together, is_cancelled in all_races():
        race, answer, error = await run_scenario(
            outcomes, order, together, is_cancelled
        )
        check(case, race, answer, error, outcomes, is_cancelled)


def mutant_keep_losers():
    return mock.patch.object(hedging, "cancel_attempt", lambda *_, used: None)


def mutant_cancel_without_drop():
    def cancel_task(task, discard, *, used):
        task.cancel()

    return mock.patch.object(hedging, "cancel_attempt", cancel_task)


def mutant_accept_any_status():
    return mock.patch.object(hedging, "SERVER_ERROR", 600)


def mutant_report_stale_refusal():
    def no_answer_refusal(exchange, now):
        return Refusal(Reason.TOO_LATE, "late", run=RunStatus.NOT_RUN)

    return mock.patch.object(hedging, "no_answer_refusal", no_answer_refusal)


def mutant_drop_the_winner():
    def cancel_task(task, discard, *, used):
        task.cancel()
        if used is not None:
            discard(used)

    return mock.patch.object(hedging, "cancel_attempt", cancel_task)


MUTANTS = (
    mutant_keep_losers,
    mutant_cancel_without_drop,
    mutant_accept_any_status,
    mutant_report_stale_refusal,
    mutant_drop_the_winner,
)


class RaceTest(AsyncTestCase):
    def test_one_answer_is_returned_and_all_others_are_dropped(self):
        self.run_async(check_all_races(self))

    def test_each_mutant_is_detected(self):
        for mutant in MUTANTS:
            with mutant():
                try:
                    self.run_async(check_all_races(self))
                except AssertionError:
                    continue
            self.fail(f"{mutant.__name__} was not detected")
