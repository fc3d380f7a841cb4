"""Upstreams that turn a request away and ask for rest.

Two engines turned routers away with 503 and asked for three seconds of rest. Each
router came back within tenths of a second: three requests reached each engine from one
router between half a second after its refusal and the end of the rest, where two are
the most. Callers whose questions were first sent where they were not wanted were late.
"""

import asyncio

from lynxchute.standins.upstream_run import Fault
from tests.platform_support import PlatformTestCase
from tests.press import plain, press, stream

REST_SECONDS = 3.0
# The promise: from so long after the refusal to the end of the rest, no more than two.
SOON_SECONDS = 0.5
MOST_IN_REST = 2


class RestTest(PlatformTestCase):
    def check(self, upstreams_of, ask, **more):
        async def scenario(deployment):
            resting = upstreams_of(deployment)[0]
            resting.rest = REST_SECONDS
            resting.faults = [Fault.DECLINE] * 1000
            statuses = await press(deployment, ask, seconds=REST_SECONDS)
            (refused_at, *later) = resting.taken.times
            in_rest = [t for t in later if t - refused_at > SOON_SECONDS]
            self.assertLessEqual(len(in_rest), MOST_IN_REST)
            return statuses

        return self.with_platform(scenario, routers=("a-1",), **more)

    def test_an_engine_gets_the_rest_that_it_asks_for(self):
        statuses = self.check(lambda deployment: deployment.engines, stream)
        self.assertEqual({200}, set(statuses))

    def test_the_only_engine_gets_the_rest_that_it_asks_for(self):
        statuses = self.check(lambda deployment: deployment.engines, stream, engines=1)
        self.assertEqual({503}, set(statuses))

    def test_the_only_plain_upstream_gets_the_rest_that_it_asks_for(self):
        statuses = self.check(lambda deployment: deployment.apps, plain, apps=1)
        self.assertEqual({503}, set(statuses))


class ReturnTest(PlatformTestCase):
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
            # A quarter of its half, at least.
            self.assertGreater(len(declining.arrivals) - before, len(statuses) / 8)

        self.with_platform(scenario, routers=("a-1",))

    def test_work_comes_back_to_an_engine_that_declined_everything(self):
        self.check(lambda deployment: deployment.engines, stream)

    def test_work_comes_back_to_a_plain_upstream_that_declined_everything(self):
        self.check(lambda deployment: deployment.apps, plain)
