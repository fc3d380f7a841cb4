"""Requests avoid upstreams that are slow, permanently or for a moment."""

import asyncio
import math
import random

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxchute.bench.emulator.scenario import Noise, read_scenario
from lynxchute.edge.plain_calls import PlainCallPlacement
from lynxchute.edge.settings import Features
from lynxchute.http import AbortHandle
from lynxchute.scheduling.board import Candidate, EngineBoard
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.upstreams.cold_admission import ColdLimits
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import OpenSend
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.expected_finish import (
    ExpectedCompletion,
    UpstreamState,
    weights,
)
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.health import SendOutcome
from lynxchute.upstreams.learned_speed import (
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    ChangeDetector,
    TwoTimescaleSpeeds,
)
from lynxchute.upstreams.permits import Permits
from lynxchute.upstreams.placement import LeastOpen
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.service_times import MAX_ROUTES, ServiceTimes
from lynxchute.upstreams.upstream import Upstream
from tests.support import unlimited_rates

ESTIMATORS = (TwoTimescaleSpeeds, ChangeDetector)
WORK = 0.045
# Values that a faulty clock or configuration may yield.
ANY = st.one_of(
    st.floats(allow_nan=True, allow_infinity=True), st.sampled_from((0.0, -1.0, 0.02))
)
COUNTS = st.integers(min_value=-5, max_value=10**9)
STATES = st.builds(
    UpstreamState,
    open_requests=COUNTS,
    slots=COUNTS,
    slowness=ANY,
    overdue=ANY,
    lost_share=ANY,
    is_far=st.booleans(),
)


class SpeedsTest(testtools.TestCase):
    def test_a_lasting_speed_is_learned_within_ten_calls(self):
        for estimator in ESTIMATORS:
            for ratio in (0.7, 1.7):
                speeds, rng = estimator(), random.Random(1)
                for number in range(10):
                    seconds = WORK * ratio * rng.uniform(0.95, 1.05)
                    speeds.record("u", WORK, seconds, number * 0.2)
                seen = speeds.slowness("u", 2.0)
                self.assertTrue(
                    abs(seen - ratio) < 0.1 * ratio, (estimator, ratio, seen)
                )

    def test_a_slow_call_counts_at_once_and_decays_within_a_second(self):
        speeds = TwoTimescaleSpeeds()
        for number in range(20):
            speeds.record("u", WORK, WORK, number * 0.1)
        speeds.record("u", WORK, 2.5 * WORK, 2.0)
        self.assertGreater(speeds.slowness("u", 2.01), 1.8)
        self.assertLess(speeds.slowness("u", 3.0), 1.1)

    def test_slow_periods_do_not_count_as_a_lasting_speed(self):
        for estimator in ESTIMATORS:
            speeds, rng = estimator(), random.Random(2)
            now, seen = 0.0, []
            for _ in range(300):
                slow_until = now + 0.6 if rng.random() < 0.03 else 0.0
                for _ in range(3):
                    now += 0.1
                    ratio = 2.5 if now < slow_until else 1.0
                    speeds.record("u", WORK, ratio * WORK, now)
                seen.append(speeds.slowness("u", now + 1.5))
            self.assertLess(sorted(seen)[int(0.9 * len(seen))], 1.3, estimator)

    def test_slowness_decays_without_samples(self):
        for estimator in ESTIMATORS:
            speeds = estimator()
            for number in range(40):
                speeds.record("u", WORK, 8 * WORK, number * 0.05)
            self.assertGreater(speeds.slowness("u", 2.0), 6)
            self.assertLess(speeds.slowness("u", 30.0), 1.2, estimator)
            speeds.record("u", WORK, WORK, 30.0)
            self.assertLess(speeds.slowness("u", 30.5), 1.2, estimator)

    @settings(max_examples=300, deadline=None)
    @given(
        st.sampled_from(ESTIMATORS),
        st.lists(st.tuples(ANY, ANY, ANY), max_size=40),
        ANY,
    )
    def test_slowness_is_always_positive_and_finite(self, estimator, samples, now):
        speeds = estimator()
        for typical_seconds, seconds, at in samples:
            speeds.record("u", typical_seconds, seconds, at)
            seen = speeds.slowness("u", at)
            self.assertTrue(MIN_SLOWNESS <= seen <= MAX_SLOWNESS, seen)
        seen = speeds.slowness("u", now)
        self.assertTrue(MIN_SLOWNESS <= seen <= MAX_SLOWNESS, seen)
        speeds.discard_upstream("u")
        self.assertEqual(1.0, speeds.slowness("u", 1.0))


class ServiceTimesTest(testtools.TestCase):
    def test_median_latency_covers_a_route_at_all_upstreams(self):
        times = ServiceTimes(TwoTimescaleSpeeds())
        self.assertIsNone(times.median_latency("app", "look"))
        for number in range(30):
            for upstream_id, ratio in (("a", 1.0), ("b", 1.0), ("c", 3.0)):
                seconds = WORK * ratio
                times.record("app", "look", upstream_id, seconds, number * 0.1)
        self.assertEqual(WORK, times.median_latency("app", "look"))
        self.assertIsNone(times.median_latency("app", "book"))
        self.assertAlmostEqual(3.0, times.speeds.slowness("c", 2.9), 1)
        self.assertEqual(3 * WORK, times.latency_quantile("c", 0.95))

    def test_an_aborted_call_counts_only_if_it_was_late(self):
        times = ServiceTimes(TwoTimescaleSpeeds())
        times.record_abort("a", WORK, 0.5 * WORK, 1.0)
        self.assertEqual(1.0, times.speeds.slowness("a", 1.0))
        times.record_abort("a", WORK, 5 * WORK, 1.0)
        self.assertGreater(times.speeds.slowness("a", 1.0), 2)

    def test_invalid_times_are_ignored_and_routes_are_bounded(self):
        times = ServiceTimes(TwoTimescaleSpeeds())
        for seconds in (math.nan, math.inf, -1.0):
            times.record("app", "look", "a", seconds, 1.0)
        self.assertFalse(times.has_samples("a"))
        for number in range(MAX_ROUTES + 50):
            for _ in range(6):
                times.record("app", f"r{number}", "a", 0.0, 1.0)
        self.assertIsNone(times.median_latency("app", "r0"))
        self.assertGreater(times.median_latency("app", f"r{MAX_ROUTES + 49}"), 0)

    def test_samples_are_discarded_with_the_process(self):
        times = ServiceTimes(TwoTimescaleSpeeds())
        for _ in range(30):
            times.record("app", "look", "a", WORK, 1.0)
            times.record("app", "look", "b", 3 * WORK, 1.0)
        times.discard_upstream("b")
        self.assertEqual(1.0, times.speeds.slowness("b", 1.0))
        times.prune({"b"})
        self.assertFalse(times.has_samples("a"))


class WeightsTest(testtools.TestCase):
    @settings(max_examples=500, deadline=None)
    @given(st.lists(STATES, min_size=1, max_size=8))
    def test_every_weight_is_positive_and_they_add_up_to_one(self, states):
        parts = weights(states)
        self.assertAlmostEqual(1.0, sum(parts))
        for part in parts:
            self.assertTrue(math.isfinite(part) and part > 0, parts)

    def test_slow_full_and_failing_upstreams_get_less(self):
        usual = UpstreamState(slots=6)
        for worse in (
            UpstreamState(slots=6, slowness=2.5),
            UpstreamState(slots=6, overdue=2.5),
            UpstreamState(slots=6, open_requests=6),
            UpstreamState(slots=6, lost_share=0.5),
        ):
            part = weights([usual, worse])[1]
            self.assertLess(part, 0.05, worse)
        far = weights([usual, UpstreamState(slots=6, is_far=True)])[1]
        self.assertTrue(0.02 < far < 0.1, far)

    def test_a_far_upstream_gets_more_than_a_slow_near_one(self):
        near = UpstreamState(slots=6, slowness=2.5)
        self.assertGreater(weights([near, UpstreamState(slots=6, is_far=True)])[1], 0.9)


class NoPermits(Permits):
    async def request_permit(self, entry):
        return 0.0


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class Settings:
    data_centre = "a"

    def __init__(self, **features):
        self.features = Features(**features)


class RouterView:
    """One router's view of three upstreams of six slots each, one of which is near."""

    def __init__(self, **features):
        self.clock, self.directory = Clock(), Directory()
        for name in "abc":
            self.directory.put(Upstream(name, "app", f"127.0.0.1:{ord(name)}", name))
            self.entry(name).upstream = Upstream(
                name, "app", f"127.0.0.1:{ord(name)}", name, slots=6, started_ms=1
            )
        limits = ColdLimits(0.0, 0.0, 0.0, 0.0)
        gate = SendGate(Evacuations(), lambda _: limits, unlimited_rates())
        self.calls = PlainCallPlacement(
            Settings(**(features or {"learned_speeds": True})),
            self.directory,
            gate,
            NoPermits(),
            random.Random(3),
            self.clock,
        )

    def entry(self, name):
        return self.directory.entries_by_id[name]

    def choice_counts(self, count=300):
        entries = list(self.directory.entries_by_id.values())
        found = dict.fromkeys("abc", 0)
        for _ in range(count):
            choice = asyncio.run(self.calls.placement.choose("r", None, entries))
            found[choice.entry.upstream.id] += 1
        return found

    def serve(self, name, ratio=1.0, count=10, every=0.05):
        for _ in range(count):
            self.clock.now += every
            seconds = ratio * WORK
            self.calls.times.record("app", "look", name, seconds, self.clock.now)

    def open(self, name, sent_ago):
        send = OpenSend(AbortHandle(), lambda: True, typical_seconds=WORK)
        send.sent_at = self.clock.now - sent_ago
        self.entry(name).open_sends.add(send)
        return send


class ExpectedFinishTest(testtools.TestCase):
    def test_without_learned_speeds_open_requests_decide(self):
        self.assertIsInstance(RouterView(hedging=True).calls.placement, LeastOpen)
        self.assertIsNone(RouterView(fair_shares=True).calls.times)
        self.assertIsInstance(RouterView().calls.placement, ExpectedCompletion)

    def test_the_near_upstream_gets_most_and_each_gets_some(self):
        found = RouterView().choice_counts()
        self.assertGreater(found["a"], 150)
        self.assertGreater(min(found.values()), 3)

    def test_an_upstream_with_an_overdue_call_is_avoided(self):
        view = RouterView()
        view.serve("a")
        send = view.open("a", sent_ago=0.1)
        self.assertLess(view.choice_counts()["a"], 60)
        view.entry("a").open_sends.discard(send)
        self.assertGreater(view.choice_counts()["a"], 120)

    def test_work_returns_after_a_slow_period(self):
        view = RouterView()
        for name in "abc":
            view.serve(name)
        view.serve("a", ratio=2.5, count=4)
        self.assertLess(view.choice_counts()["a"], 30)
        view.clock.now += 0.6
        self.assertGreater(view.choice_counts()["a"], 90)
        view.clock.now += 0.6
        self.assertGreater(view.choice_counts()["a"], 150)

    def test_work_is_divided_by_lasting_speeds(self):
        view = RouterView()
        for _ in range(10):
            view.serve("a", 1.7, count=1)
            view.serve("b", 1.0, count=1)
            view.serve("c", 0.7, count=1)
        found = view.choice_counts()
        self.assertGreater(found["c"], found["b"])
        self.assertGreater(found["b"], found["a"])

    def test_the_speed_of_a_restarted_upstream_is_discarded(self):
        view = RouterView()
        for _ in range(10):
            view.serve("b", 1.0, count=2)
            view.serve("a", 0.3, count=1)
        self.assertLess(view.calls.slowness(view.entry("a"), view.clock.now), 1.01)
        self.assertGreater(view.choice_counts()["a"], 250)
        entry = view.entry("a")
        view.directory.record_start(entry, 2, view.clock.now)
        self.assertFalse(view.calls.times.has_samples("a"))
        for _ in range(4):
            view.entry("a").health.record(SendOutcome.UNREACHED, view.clock.now)
        self.assertLess(view.choice_counts()["a"], 60)

    def test_an_upstream_that_declined_for_seconds_recovers(self):
        view = RouterView()
        before = view.choice_counts()["a"]
        for number in range(50):
            view.entry("a").health.record(
                SendOutcome.DECLINED, view.clock.now + number * 0.1
            )
        view.clock.now += 5.0
        self.assertGreater(view.choice_counts()["a"], 0.8 * before)

    def test_routers_with_equal_state_spread_their_calls(self):
        found = dict.fromkeys("abc", 0)
        for seed in range(60):
            view = RouterView()
            view.calls.placement._rng = random.Random(seed)
            for _ in range(6):
                for name in "abc":
                    view.serve(name, 2.5 if name == "a" else 1.0, count=1)
            for name, count in view.choice_counts(count=5).items():
                found[name] += count
        self.assertGreater(min(found["b"], found["c"]), 90)
        self.assertLess(found["a"], 60)


ENGINE_SHAPE = Candidate("e", 64, 400_000, is_far=False)
# Prompt tokens that an engine of usual speed reads in a millisecond, and its time for
# one output token.
TOKENS_PER_MS, TOKEN_SECONDS = 90.0, 0.02


class EngineSpeedTest(testtools.TestCase):
    """Engines of 0.7 and 1.7 times the usual speed, with slow periods."""

    def setUp(self):
        super().setUp()
        self.board = EngineBoard(tracks_transients=True)
        self.now = 10.0
        self.count = 0

    def run_alone(self, name, speed, prompt=8_000, answer=100):
        """Serve one request at an otherwise idle engine."""
        self.count += 1
        run_id = f"r{self.count}"
        generation = Generation("m", prompt, answer, (), expected_output_tokens=answer)
        candidate = attrs.evolve(ENGINE_SHAPE, upstream_id=name)
        place = self.board.place(
            PendingRequest(run_id, generation), [candidate], self.now
        )
        took_ms = 35.0 + prompt / (TOKENS_PER_MS * speed)
        self.now += took_ms / 1000.0
        self.board.record_first_event(name, run_id, self.now, took_ms=took_ms)
        self.now += answer * TOKEN_SECONDS / speed
        self.board.record_end(name, run_id, self.now)
        return place.expected_ms, took_ms

    def state(self, name):
        return self.board.engines_by_id[name]

    def test_prompt_and_token_speeds_are_learned_within_ten_requests(self):
        for name, speed in (("slow", 0.7), ("fast", 1.7)):
            for _ in range(10):
                self.run_alone(name, speed)
            expected, took = self.run_alone(name, speed)
            self.assertTrue(abs(expected - took) < 0.15 * took, (name, expected, took))
            reported = self.state(name).seconds_per_token * speed
            self.assertTrue(
                abs(reported - TOKEN_SECONDS) < 0.12 * TOKEN_SECONDS, reported
            )

    def test_a_slow_period_decays_and_a_lasting_speed_does_not(self):
        for _ in range(30):
            self.run_alone("e", 1.0)
        usual = self.state("e").slowness_now(self.now)
        for _ in range(3):
            self.run_alone("e", 0.4, answer=1)
        slow = self.state("e").slowness_now(self.now)
        self.assertGreater(slow, 1.4 * usual)
        later = self.state("e").slowness_now(self.now + 4.0)
        self.assertLess(later, 1.25 * usual)
        for _ in range(40):
            self.run_alone("e", 0.4, answer=1)
        expected, took = self.run_alone("e", 0.4)
        self.assertTrue(abs(expected - took) < 0.2 * took, (expected, took))
        self.now += 10.0
        expected, took = self.run_alone("e", 0.4)
        self.assertTrue(abs(expected - took) < 0.2 * took, (expected, took))

    def test_a_new_engine_starts_with_the_speed_of_the_others(self):
        for name in "abc":
            for _ in range(10):
                self.run_alone(name, 1.0)
        expected, took = self.run_alone("new", 1.0)
        self.assertTrue(abs(expected - took) < 0.2 * took, (expected, took))
        self.board.discard_upstream("a")
        expected, took = self.run_alone("a", 1.0)
        self.assertTrue(abs(expected - took) < 0.2 * took, (expected, took))

    def test_without_learned_speeds_estimates_do_not_decay(self):
        self.board = EngineBoard()
        for _ in range(10):
            self.run_alone("e", 1.0)
        before = self.state("e").slowness_now(self.now)
        self.assertEqual(before, self.state("e").slowness_now(self.now + 60.0))
        self.run_alone("new", 1.0)
        self.assertLess(self.state("new").prefill_speed.tokens_per_ms, 60.0)

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 30_000), ANY, ANY), max_size=30))
    def test_invalid_times_leave_estimates_finite(self, runs):
        board = EngineBoard(tracks_transients=True)
        for number, (prompt, took_ms, at) in enumerate(runs):
            now = at if math.isfinite(at) else 1.0
            generation = Generation("m", prompt, 10, ())
            run_id = str(number)
            newcomer = PendingRequest(run_id, generation)
            place = board.place(newcomer, [ENGINE_SHAPE], now)
            self.assertTrue(math.isfinite(place.expected_ms), place)
            if math.isfinite(took_ms):
                board.record_first_event("e", run_id, now, took_ms=took_ms)
            board.record_end("e", run_id, now)
            slowness = board.engines_by_id["e"].slowness_now(now)
            self.assertTrue(0 < slowness < 100, slowness)


class NoiseTest(testtools.TestCase):
    def test_engines_are_slow_for_the_configured_share(self):
        noise = Noise(share=0.15, times=2.5, seconds=0.6)
        spans = noise.spans(10_000.0, random.Random(1))
        slow = sum(end - begin for begin, end in spans)
        self.assertTrue(1_350 < slow < 1_650, slow)
        self.assertEqual([], Noise().spans(100.0, random.Random(1)))

    def test_the_scenario_with_uneven_engines_can_be_read(self):
        scenario = read_scenario("uneven-stands").ok
        self.assertEqual((1.43, 1.43, 0.59), scenario.slowness)
        self.assertEqual(0.15, scenario.noise.share)
