"""Overload of a VM: load measurement and shedding of load to other VMs."""

import asyncio
import math
import random
import time

import attrs
import testtools
from hypothesis import given
from hypothesis import strategies as st

from lynxchute.edge.settings import Features
from lynxchute.edge.state import router_state
from lynxchute.http import ExchangeError
from lynxchute.overload import (
    LINK_LIMITS,
    MEMORY_LIMITS,
    PROCESSOR_LIMITS,
    CallbackLoadSource,
    Load,
    LocalShares,
    OverloadGuard,
    ProcessorMeter,
    Resource,
)
from lynxchute.overload.guard import (
    MAX_NOT_READY_SECONDS,
    MIN_NOT_READY_SECONDS,
    MIN_READY_SECONDS,
)
from lynxchute.overload.local_shares import fair_level
from lynxchute.relay.guarded_load import LAG_HOLD_SECONDS, GuardedLoad
from lynxchute.relay.load import RouterLoad
from lynxchute.relay.own_delay import OwnDelayMeter
from lynxchute.relay.sender import UpstreamResponse
from lynxchute.telemetry import Metrics
from tests.load_play import LoadSimulation
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.support import until

INVALID = st.sampled_from([0.0, -1.0, math.nan, math.inf, -math.inf, 1e300, 1e-300])
MEASUREMENTS = st.one_of(INVALID, st.floats(0, 3))


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class ProcessorMeterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.meter = ProcessorMeter(self.clock)

    def run_iterations(self, count, *, work, sleep, late=0.0):
        for _ in range(count):
            began = self.clock.now + work
            self.clock.now = began + sleep + late
            self.meter.record_sleep(began, self.clock.now, sleep)

    def test_use_is_the_share_of_time_not_asleep(self):
        self.run_iterations(400, work=0.003, sleep=0.007)
        load = self.meter.load()
        self.assertAlmostEqual(0.3, load.use, delta=0.02)
        self.assertLess(load.delay, 0.002)

    def test_delay_includes_the_current_iteration(self):
        self.run_iterations(100, work=0.05, sleep=0.0)
        self.assertAlmostEqual(0.05, self.meter.load().delay, delta=0.01)
        self.assertAlmostEqual(1.0, self.meter.load().use, delta=0.1)
        before = self.meter.load().delay
        self.clock.now += 0.5
        self.assertGreater(self.meter.load().delay, 2 * before)

    def test_time_used_by_other_processes_counts(self):
        self.run_iterations(100, work=0.001, sleep=0.01, late=0.04)
        self.assertGreater(self.meter.load().use, 0.6)
        self.assertGreater(self.meter.load().delay, 0.02)

    def test_load_decays(self):
        self.run_iterations(100, work=0.05, sleep=0.0)
        self.run_iterations(40, work=0.0, sleep=0.1)
        self.assertLess(self.meter.load().use, 0.01)

    def test_a_suspension_is_not_load(self):
        self.run_iterations(10, work=0.001, sleep=0.1)
        self.run_iterations(1, work=30.0, sleep=0.1)
        self.assertLess(self.meter.load().use, PROCESSOR_LIMITS.min_use)

    @given(st.lists(st.tuples(MEASUREMENTS, MEASUREMENTS, MEASUREMENTS), max_size=20))
    def test_invalid_times_give_a_valid_load(self, sleeps):
        meter = ProcessorMeter(lambda: 5.0)
        for began, ended, asked in sleeps:
            meter.record_sleep(began, ended, asked)
        load = meter.load()
        for value in (load.use, load.delay):
            self.assertGreaterEqual(value, 0.0)


class LocalSharesTest(testtools.TestCase):
    def shares(self, sustainable_share, **uses):
        shares = LocalShares(lambda: sustainable_share)
        for account, use in uses.items():
            shares.record_use(account, use, 0.0)
        return shares

    def test_only_the_large_account_has_excess(self):
        shares = self.shares(0.5, hot=9.0, small=1.0)
        self.assertEqual(0.25, shares.use_ratio("small", 0.0))
        self.assertEqual(9.0 / 4.0, shares.use_ratio("hot", 0.0))

    def test_a_lone_account_may_use_all_capacity(self):
        self.assertEqual(1.0, self.shares(1.0, hot=9.0).use_ratio("hot", 0.0))
        self.assertEqual(2.0, self.shares(0.5, hot=9.0).use_ratio("hot", 0.0))

    def test_use_expires(self):
        shares = self.shares(0.5, hot=9.0, small=1.0)
        self.assertEqual(0.0, shares.use_ratio("hot", 100.0))
        self.assertEqual(0.0, shares.use_ratio("nobody", 100.0))

    @given(st.lists(st.floats(0, 1e6), min_size=1, max_size=30), st.floats(0, 1e6))
    def test_the_fair_level_is_max_min_fair(self, uses, capacity):
        level = fair_level(uses, capacity)
        served = sum(min(use, level) for use in uses)
        if sum(uses) <= capacity:
            self.assertEqual(max(uses), level)
        else:
            self.assertAlmostEqual(capacity, served, delta=1e-6 * (capacity + 1))

    @given(
        MEASUREMENTS,
        st.lists(st.tuples(st.sampled_from("ab"), MEASUREMENTS, MEASUREMENTS)),
    )
    def test_invalid_measurements_give_a_valid_excess(self, sustainable_share, uses):
        shares = LocalShares(lambda: sustainable_share)
        now = 0.0
        for account, cost, passed in uses:
            shares.record_use(account, cost, now)
            now += passed if 0 <= passed <= 3 else 0.0
        for account in "abc":
            self.assertGreaterEqual(shares.use_ratio(account, now), 0.0)


class FakeResource:
    """A resource whose load is set by the test."""

    def __init__(self, name, limits):
        self.now = Load()
        source = CallbackLoadSource(name, lambda: self.now.use, lambda: self.now.delay)
        self.resource = Resource(source, limits)


class OverloadGuardTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.processor = FakeResource("processor", PROCESSOR_LIMITS)
        self.link = FakeResource("link", LINK_LIMITS)
        self.memory = FakeResource("memory", MEMORY_LIMITS)
        resources = [s.resource for s in (self.processor, self.link, self.memory)]
        self.shares = LocalShares(lambda: self.guard.sustainable_share())
        self.guard = OverloadGuard(resources, self.clock, random.Random(1), self.shares)

    def poll(self):
        self.guard.record_request("small")
        return self.guard.poll()

    def test_a_vm_with_capacity_serves_all_requests(self):
        self.processor.now = Load(0.5, 0.004)
        self.assertEqual("", self.poll())
        self.assertTrue(self.guard.is_ready)
        self.assertEqual("", self.guard.full_resource)
        self.assertEqual("", self.guard.shed_reason(0.1, "small"))
        self.assertFalse(self.guard.closes_after_response("small"))

    def test_any_single_resource_can_be_full(self):
        for source, load in (
            (self.processor, Load(1.0, 0.05)),
            (self.link, Load(0.9, 0.5)),
            (self.memory, Load(0.9, 0.0)),
        ):
            source.now = load
            self.poll()
            self.assertEqual(source.resource.name, self.guard.full_resource)
            source.now = Load()
            self.poll()
            self.assertEqual("", self.guard.full_resource)

    def test_more_connections_are_closed_with_higher_delay(self):
        closed = []
        for times in (0.5, 1.0, 1.5):
            self.processor.now = Load(0.9, times * PROCESSOR_LIMITS.full_delay)
            closed.append(sum(self.guard.closes_new_connection() for _ in range(1000)))
        self.assertEqual(0, closed[0])
        self.assertAlmostEqual(500, closed[1], delta=60)
        self.assertEqual(1000, closed[2])

    def test_one_long_event_sheds_no_load(self):
        self.processor.now = Load(0.3, 0.1)
        self.assertEqual("", self.poll())
        self.assertTrue(self.guard.is_ready)
        self.assertEqual("", self.guard.full_resource)

    def test_load_without_requests_keeps_the_vm_ready(self):
        self.processor.now = Load(1.0, 0.2)
        self.guard.poll()
        self.assertTrue(self.guard.is_ready)

    def test_it_becomes_ready_at_intervals_under_lasting_load(self):
        self.processor.now = Load(1.0, 0.05)
        ready = 0
        for _ in range(1000):
            self.poll()
            ready += self.guard.is_ready
            self.clock.now += 0.05
        share = MIN_READY_SECONDS / (MIN_READY_SECONDS + MAX_NOT_READY_SECONDS)
        self.assertAlmostEqual(1000 * share, ready, delta=120)

    def test_it_becomes_ready_after_the_load_and_the_minimum_time(self):
        self.processor.now = Load(0.9, 0.01)
        self.assertEqual("processor", self.poll())
        self.processor.now = Load(0.1, 0.001)
        self.clock.now += MIN_NOT_READY_SECONDS - 0.1
        self.poll()
        self.assertFalse(self.guard.is_ready)
        self.clock.now += 0.2
        self.poll()
        self.assertTrue(self.guard.is_ready)

    def test_only_excess_connections_of_the_large_account_end(self):
        self.processor.now = Load(1.6, 0.01)
        self.poll()
        for _ in range(90):
            self.guard.record_request("hot")
        for _ in range(10):
            self.guard.record_request("small")
        ended = sum(self.guard.closes_after_response("hot") for _ in range(1000))
        kept_share = (100 * 0.5 - 11) / 90
        self.assertAlmostEqual(1000 * (1 - kept_share), ended, delta=60)
        self.assertFalse(
            any(self.guard.closes_after_response("small") for _ in range(100))
        )

    def test_a_lone_account_keeps_what_the_vm_can_sustain(self):
        self.processor.now = Load(1.6, 0.01)
        for _ in range(90):
            self.guard.record_request("hot")
        self.guard.poll()
        ended = sum(self.guard.closes_after_response("hot") for _ in range(1000))
        self.assertAlmostEqual(500, ended, delta=60)

    def test_requests_that_would_be_very_late_are_always_refused(self):
        self.processor.now = Load(1.0, 0.2)
        self.assertEqual("processor", self.guard.shed_reason_for_all(0.2))
        self.assertEqual("processor", self.guard.shed_reason(0.2, "small"))
        # A plain call consists of fewer events, so that it waits less.
        self.assertEqual("", self.guard.shed_reason_for_all(0.2, is_plain_call=True))
        self.assertEqual("", self.guard.shed_reason(2.0, "small"))

    def test_accounts_within_their_share_are_refused_last(self):
        self.link.now = Load(1.0, 0.4)
        self.processor.now = Load(1.6, 0.0)
        for _ in range(90):
            self.guard.record_request("hot")
        self.guard.record_request("small")
        asked = [self.guard.shed_reason(1.0, "small") for _ in range(100)]
        self.assertEqual({""}, set(asked))
        hot = sum(bool(self.guard.shed_reason(1.0, "hot")) for _ in range(1000))
        self.assertGreater(hot, 300)

    @given(
        st.lists(
            st.tuples(
                MEASUREMENTS,
                MEASUREMENTS,
                MEASUREMENTS,
                st.sampled_from(["", "a", "b"]),
            ),
            max_size=30,
        ),
        st.booleans(),
    )
    def test_invalid_measurements_break_no_decision(self, steps, has_shares):
        clock = Clock()
        source = FakeResource("processor", PROCESSOR_LIMITS)
        shares = LocalShares(lambda: guard.sustainable_share()) if has_shares else None
        guard = OverloadGuard([source.resource], clock, random.Random(1), shares)
        for use, delay, objective, account in steps:
            source.now = Load(use, delay)
            clock.now += 0.05
            guard.poll()
            self.assertTrue(0.0 <= guard.sustainable_share() <= 1.0)
            self.assertIn(guard.shed_reason(objective, account), ("", "processor"))
            self.assertIn(guard.closes_after_response(account), (True, False))
            guard.record_request(account)
        source.now = Load(math.nan, -math.inf)
        clock.now += 20.0
        guard.poll()
        self.assertTrue(guard.is_ready)
        self.assertEqual("", guard.full_resource)
        self.assertEqual("", guard.shed_reason(0.1, "a"))


class OwnDelayTest(testtools.TestCase):
    def test_delay_includes_the_link_and_the_event_loop(self):
        clock = Clock()
        processor = ProcessorMeter(clock)
        meter = OwnDelayMeter(8.0, processor, clock)
        meter.record_sent(100_000)
        self.assertEqual(meter.link_delay(), meter.delay())
        for _ in range(50):
            clock.now += 0.1
            processor.record_sleep(clock.now, clock.now, 0.0)
        self.assertEqual(0.0, meter.link_delay())
        self.assertGreater(meter.own_delay(), 0.2)
        self.assertEqual(meter.own_delay(), meter.delay())

    def test_has_lagged_holds_for_a_while(self):
        clock = Clock()
        source = FakeResource("processor", PROCESSOR_LIMITS)
        guard = OverloadGuard([source.resource], clock, random.Random(1))
        meter = OwnDelayMeter(8.0, source.resource.source, clock)
        load = GuardedLoad(guard, meter, clock, Metrics())
        load.poll()
        self.assertFalse(load.has_lagged())
        source.now = Load(1.0, 0.1)
        load.poll()
        source.now = Load()
        clock.now += LAG_HOLD_SECONDS / 2
        load.poll()
        self.assertTrue(load.has_lagged())
        clock.now += LAG_HOLD_SECONDS
        self.assertFalse(load.has_lagged())


class DelayedMeter(OwnDelayMeter):
    """A meter of an idle link on a router with a given delay of its own."""

    def __init__(self, seconds):
        super().__init__(1e6, CallbackLoadSource("processor", float), Clock())
        self.seconds = seconds

    def own_delay(self):
        return self.seconds


class OwnDelayReportTest(PlatformTestCase):
    """A router that is late itself must not blame its own delay on engines.

    Guards against a router of a busy account that reported slow engines while its own
    event loop was late. It then placed requests alone by these reports and refused 75
    of 1,062 requests for engines that were idle.
    """

    def test_the_time_to_first_event_excludes_the_own_delay(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            reported = []
            sender = router.relay._sender
            original_record = sender._generations.record_first_event

            def spy(run_id, upstream_id, *, took_ms):
                reported.append(took_ms)
                original_record(run_id, upstream_id, took_ms=took_ms)

            sender._generations.record_first_event = spy
            caller = PlatformCaller(deployment)
            for seconds in (0.0, 5.0):
                router.clients.meter = DelayedMeter(seconds)
                self.assertEqual(200, (await caller.stream())[0])
            self.assertGreater(reported[0], 0.0)
            self.assertEqual(0.0, reported[1])

        self.with_platform(scenario, routers=("a-1",))

    def test_pauses_explained_by_the_own_delay_are_not_reported(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            reported = []
            sender = router.relay._sender
            sender._generations.record_pause = lambda *run: reported.append(run)
            entry = next(iter(router.directory.entries_by_id.values()))
            answer = UpstreamResponse(None, entry, 0, "run", None, 0.0)
            router.clients.meter = DelayedMeter(0.3)
            sender.record_pause(answer, 0.6, 0.4)
            self.assertEqual([], reported)
            sender.record_pause(answer, 0.8, 0.4)
            self.assertEqual([("run", entry.upstream.id)], reported)

        self.with_platform(scenario, routers=("a-1",))

    def test_a_late_router_that_places_alone_does_not_refuse(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            chooser = router.relay._sender._chooser
            caller = PlatformCaller(deployment)
            is_late = is_alone = False
            router.load.has_lagged = lambda: is_late

            async def choose(*request):
                found = await placed(*request)
                return attrs.evolve(
                    found, expected_seconds=60.0, is_placed_alone=is_alone
                )

            placed = chooser._generations.choose
            chooser._generations.choose = choose
            for is_late, is_alone, expected in (  # noqa: B007
                (False, True, 503),
                (True, True, 200),
                (True, False, 503),
            ):
                self.assertEqual(expected, (await caller.stream())[0])

        self.with_platform(scenario, routers=("a-1",))


class FeatureTest(PlatformTestCase):
    def test_without_the_feature_only_the_link_is_measured(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            self.assertEqual([], asyncio.get_running_loop().sleep_observers)
            self.assertEqual(["link"], list(router_state(router)["load"]))
            self.assertIs(RouterLoad, type(router.load))

        self.with_platform(scenario, routers=("a-1",))

    def test_with_the_feature_all_resources_are_measured(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            self.assertEqual(1, len(asyncio.get_running_loop().sleep_observers))
            load = router_state(router)["load"]
            self.assertEqual({"processor", "link", "memory"}, set(load))
            self.assertGreater(load["processor"]["use"], 0.0)

        features = Features(processor_guard=True)
        self.with_platform(scenario, routers=("a-1",), features=features)


class HotAccountTest(testtools.TestCase):
    """Simulated callers while one account sends 1.5 to 5 times a VM's capacity.

    A VM carries some 40 requests a second here, and there are five other VMs.
    """

    SMALL = [f"small-{number}" for number in range(8)]

    def simulate(self, seed, peak, limits):
        orders = {"hot": list(range(6))}
        rng = random.Random(seed)
        for number, account in enumerate(self.SMALL):
            order = list(range(6))
            rng.shuffle(order)
            if number < 2:
                order.remove(0)
                order.insert(0, 0)
            orders[account] = order
        simulation = LoadSimulation(vms=6, orders=orders, limits=limits, seed=seed)
        rates = {account: lambda now: 2.0 for account in orders}
        rates["hot"] = lambda now: peak if 10.0 <= now < 16.0 else 30.0
        simulation.run(24.0, rates)
        return simulation

    def small_share(self, simulation, begin, end):
        shares = [
            simulation.share("served", begin, end, account)
            for account in self.SMALL[:2]
        ]
        return sum(shares) / len(shares)

    def test_all_are_in_time_at_one_and_a_half_times_the_capacity(self):
        for seed in (1, 2):
            simulation = self.simulate(seed, 60.0, PROCESSOR_LIMITS)
            self.assertGreater(simulation.share("served", 2.0, 24.0), 0.97)

    def test_small_accounts_are_protected_at_higher_load(self):
        for peak in (120.0, 200.0):
            simulation = self.simulate(1, peak, PROCESSOR_LIMITS)
            without = self.simulate(1, peak, None)
            begin, end = 10.0, 16.0
            self.assertGreater(
                simulation.share("served", begin, end, "hot"),
                without.share("served", begin, end, "hot") + 0.1,
            )
            self.assertGreater(
                self.small_share(simulation, begin, end),
                self.small_share(without, begin, end) + 0.3,
            )
            self.assertGreater(simulation.share("served", 18.0, 24.0), 0.95)
            self.assertLess(without.share("served", 18.0, 24.0), 0.6)

    def test_a_lone_account_uses_several_vms(self):
        simulation = self.simulate(1, 120.0, PROCESSOR_LIMITS)
        busy = [vm for vm in simulation.vms if vm.busy_seconds > 5.0]
        self.assertGreaterEqual(len(busy), 2)


class BusyRouterTest(PlatformTestCase):
    """A router with a busy event loop sheds load to other VMs, and recovers."""

    async def keep_busy(self, seconds):
        while True:
            # Blocks the event loop on purpose.
            time.sleep(seconds)  # noqa: ASYNC251
            await asyncio.sleep(0)

    def with_busy(self, seconds, scenario):
        async def work(deployment):
            router = deployment.routers["a-1"]
            kept = PlatformCaller(deployment)
            self.assertEqual(200, (await kept.send("GET", "/safe/x"))[0])
            self.assertTrue(router.is_ready())
            busy = asyncio.ensure_future(self.keep_busy(seconds))
            try:
                await scenario(deployment, router, kept)
            finally:
                busy.cancel()
            await until(router.is_ready)
            await until(router.load.may_accept)
            await until(
                lambda: not router.load.shed_reason_for_all(0.4, is_plain_call=False)
            )
            new_caller = PlatformCaller(deployment)
            answer = await new_caller.stream(deadline_ms=8000)
            self.assertEqual(200, answer[0], answer)

        features = Features(processor_guard=True)
        self.with_platform(work, routers=("a-1",), features=features)

    def test_new_connections_are_closed_and_open_ones_are_served(self):
        async def scenario(deployment, router, kept):
            await until(lambda: not router.is_ready())
            most = 1.5 * PROCESSOR_LIMITS.full_delay
            await until(lambda: router.load.loads()["processor"].delay > most)
            load = router_state(router)["load"]["processor"]
            self.assertGreater(load["use"], PROCESSOR_LIMITS.min_use)
            new_caller = PlatformCaller(deployment)
            arrived = sum(len(app.arrivals) for app in deployment.apps)
            with self.assertRaises(ExchangeError):
                await new_caller.send("GET", "/safe/x")
            self.assertEqual(arrived, sum(len(a.arrivals) for a in deployment.apps))
            self.assertGreater(
                sum(router.metrics.connections_closed.values_by_labels.values()), 0
            )
            self.assertEqual(200, (await kept.send("GET", "/safe/x"))[0])

        self.with_busy(0.08, scenario)

    def test_what_would_be_late_by_far_is_refused_with_a_short_retry(self):
        async def scenario(deployment, router, kept):
            stream = "stream"
            route = next(
                r for r in router.configurations.current.routes if r.name == stream
            )
            await until(
                lambda: router.load.shed_reason_for_all(
                    route.latency_objective, is_plain_call=False
                )
            )
            status, headers, body = await kept.stream(deadline_ms=8000)
            self.assertEqual(503, status)
            self.assertIn(b'"run": "not_run"', body)
            self.assertLess(float(headers["retry-after"]), 0.1)
            self.assertEqual([], [run for e in deployment.engines for run in e.runs])

        self.with_busy(0.6, scenario)
