"""Upstreams that refuse a request with 503 and ask for backoff.

Guards against routers that ignore the backoff. A refusal with a backoff was handled
like any other refusal: the upstream was skipped for 0.05 s, doubled with each refusal
in a row, so that routers retried within tenths of a second. With a backoff of three
seconds, an engine got three requests from one router between half a second after its
refusal and the end of the backoff, where two are permitted. Callers whose requests were
first sent to such an engine got late answers.

If all upstreams of a service were skipped, the one whose pause ended first got the
request anyway: 22 requests in the three seconds of the second test of BackoffTest.
"""

import asyncio
import contextlib
import json

import testtools

from lynxchute.http import ExchangeError
from lynxchute.standins.link import Partition
from lynxchute.standins.upstream_run import Fault
from lynxchute.upstreams.backpressure import Backpressure
from lynxchute.upstreams.statement import NO_BACKPRESSURE, DeclaredBackpressure
from tests import backpressure_mutants, mutants
from tests.fuzz import run
from tests.platform_support import (
    PlatformCaller,
    PlatformTestCase,
    start_long_stream,
)
from tests.press import plain, press, stream
from tests.support import until
from tests.test_lost_upstream_links import call_all
from tests.words_machine import WordsMachine

BACKOFF_SECONDS = 3.0
# The guarantee: from GRACE_SECONDS after the refusal to the end of the backoff, at most
# MAX_IN_BACKOFF requests arrive.
GRACE_SECONDS = 0.5
MAX_IN_BACKOFF = 2


class BackpressureTest(testtools.TestCase):
    def test_a_later_shorter_backoff_does_not_shorten_a_longer_one(self):
        backpressure = Backpressure()
        for backoff, now in ((3.0, 1.0), (0.5, 2.0), (0.0, 3.0)):
            statement = DeclaredBackpressure(backoff=backoff)
            backpressure.record_answer(statement, asked_at=now, now=now, clock_ms=0)
        backpressure.record_probe_answer(NO_BACKPRESSURE, 3.5, 0)
        self.assertTrue(backpressure.is_backing_off(3.9))
        self.assertFalse(backpressure.is_backing_off(4.0))


class BackoffFuzzTest(testtools.TestCase):
    """Backoff and announced shutdown, learned from answers, probes and entries.

    The upstream also restarts.
    """

    def test_nothing_is_sent_during_backoff_or_to_leaving_upstreams(self):
        run(300, 40, machine=WordsMachine)

    def test_fuzzing_detects_each_mutant(self):
        self.patch(mutants, "EXAMPLES", 200)
        self.patch(mutants, "STEPS", 30)
        for mutant in backpressure_mutants.WORD_MUTANTS:
            self.assertIsNotNone(mutants.first_violation(mutant), mutant.__name__)


class BackoffTest(PlatformTestCase):
    def check(self, upstreams_of, ask, **more):
        async def scenario(deployment):
            backing_off = upstreams_of(deployment)[0]
            backing_off.backoff = BACKOFF_SECONDS
            backing_off.faults = [Fault.DECLINE] * 1000
            statuses = await press(deployment, ask, seconds=BACKOFF_SECONDS)
            (refused_at, *later) = backing_off.arrival_log.times
            in_backoff = [t for t in later if t - refused_at > GRACE_SECONDS]
            self.assertLessEqual(len(in_backoff), MAX_IN_BACKOFF)
            return statuses

        return self.with_platform(scenario, routers=("a-1",), **more)

    def test_the_backoff_of_an_engine_is_respected(self):
        statuses = self.check(lambda deployment: deployment.engines, stream)
        self.assertEqual({200}, set(statuses))

    def test_the_backoff_of_the_only_engine_is_respected(self):
        statuses = self.check(lambda deployment: deployment.engines, stream, engines=1)
        self.assertEqual({503}, set(statuses))

    def test_the_backoff_of_the_only_plain_upstream_is_respected(self):
        statuses = self.check(lambda deployment: deployment.apps, plain, apps=1)
        self.assertEqual({503}, set(statuses))

    def test_requests_are_refused_at_once_if_all_upstreams_back_off(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.backoff = BACKOFF_SECONDS
                engine.faults = [Fault.DECLINE] * 1000
            caller = PlatformCaller(deployment)
            await caller.stream()
            for _ in range(5):
                began = asyncio.get_running_loop().time()
                status, headers, body = await caller.stream()
                took = asyncio.get_running_loop().time() - began
                self.assertEqual(503, status)
                problem = json.loads(body)
                self.assertEqual(
                    "urn:lynxchute:problem:upstreams-backing-off", problem["type"]
                )
                self.assertEqual("not_run", problem["run"])
                self.assertGreater(float(headers["retry-after"]), 0)
                self.assertLess(took, 0.08)
            self.assertEqual(2, sum(len(e.arrivals) for e in deployment.engines))

        self.with_platform(scenario, routers=("a-1",))

    def test_a_backoff_applies_to_the_refused_router_only(self):
        async def scenario(deployment):
            (engine,) = deployment.engines
            engine.backoff, engine.faults = BACKOFF_SECONDS, [Fault.DECLINE]
            self.assertEqual(503, (await PlatformCaller(deployment).stream())[0])
            other = PlatformCaller(deployment, "b-1")
            self.assertEqual(200, (await other.stream())[0])

        self.with_platform(scenario, engines=1)

    def test_a_stream_is_not_resumed_at_an_upstream_in_backoff(self):
        async def scenario(deployment):
            stream_, busy, idle = await start_long_stream(deployment)
            now = asyncio.get_running_loop().time()
            for router in deployment.routers.values():
                entry = router.directory.entries_by_id[idle.id]
                statement = DeclaredBackpressure(backoff=BACKOFF_SECONDS)
                router.directory.record_declaration(
                    entry, statement, asked_at=now, now=now
                )
            await busy.stop()
            with contextlib.suppress(ExchangeError):
                await stream_
            self.assertEqual([], idle.arrivals)

        self.with_platform(scenario)


class RecoveryTest(PlatformTestCase):
    """Upstreams receive requests again after a period of refusals.

    Guards against a share of bad outcomes that does not decay while nothing is sent. A
    plain upstream that had declined everything for four seconds got two requests at
    most in the last eight of the next eleven seconds, of some 40 a second: it received
    nothing because of its share, and the share stayed because nothing was sent.
    """

    def check(self, upstreams_of, ask):
        async def scenario(deployment):
            declining = upstreams_of(deployment)[0]
            declining.faults = [Fault.DECLINE] * 1000
            await press(deployment, ask, seconds=4.0)
            declining.faults = []
            await asyncio.sleep(1.0)
            before = len(declining.arrivals)
            statuses = await press(deployment, ask, seconds=4.0)
            self.assertEqual({200}, set(statuses))
            # Its share is half of the requests; it gets at least a quarter of that.
            self.assertGreater(len(declining.arrivals) - before, len(statuses) / 8)

        self.with_platform(scenario, routers=("a-1",))

    def test_an_engine_recovers_after_declining_everything(self):
        self.check(lambda deployment: deployment.engines, stream)

    def test_a_plain_upstream_recovers_after_declining_everything(self):
        self.check(lambda deployment: deployment.apps, plain)


class TunnelledBackoffTest(PlatformTestCase):
    """Guards against requests in a backoff that come through the refused router."""

    ROUTERS = ("a-1", "a-2", "a-3", "b-1")

    def test_a_router_forwards_no_requests_to_an_upstream_that_refused_it(self):
        self.check_refused("b-1")

    def test_a_router_learns_of_a_backoff_in_an_answer_that_it_forwards(self):
        self.check_refused("a-1")

    def check_refused(self, first):
        """Check the requests of all routers after a refusal of the first one's."""

        async def scenario(deployment):
            cut = self.ROUTERS[:3]
            deployment.partition(cut, Partition.REFUSE)
            await call_all(deployment, cut, plain, 1.0)
            for vm in cut:
                paths = deployment.routers[vm].clients.paths
                await until(lambda paths=paths: paths.lost_addresses)
            (app,) = deployment.apps
            loop = asyncio.get_running_loop()
            app.backoff_until = loop.time() + BACKOFF_SECONDS
            await PlatformCaller(deployment, first).send("GET", "/safe/x")
            await asyncio.sleep(GRACE_SECONDS)
            before = len(app.arrivals)
            for vm in self.ROUTERS * 2:
                await PlatformCaller(deployment, vm).send("GET", "/safe/x")
            self.assertLess(loop.time(), app.backoff_until)
            self.assertLessEqual(len(app.arrivals) - before, MAX_IN_BACKOFF)

        self.with_platform(
            scenario, routers=self.ROUTERS, apps=1, has_upstream_links=True
        )
