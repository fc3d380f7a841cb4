"""Upstreams that say in their answers that they leave.

An engine said in an answer that it leaves, while the store answered nobody and its
entry stood as ready for eleven seconds more. Five of eight routers sent it 11 more
requests; two of them reached it 2.9 and 4.4 s after its word had been passed on, where
2 s are allowed. They were served; had the engine ended in time, their streams would
have been cut.
"""

import asyncio

from tests.platform_support import PlatformTestCase
from tests.press import plain, press, stream

ROUTERS = ("a-1", "a-2", "b-1", "b-2")
# The promise: so long after a router has passed on the word, nothing new comes from it.
DRAIN_SECONDS = 2.0


class LeavingFleetTest(PlatformTestCase):
    def check(self, upstreams_of, ask):
        async def scenario(deployment):
            leaving = upstreams_of(deployment)[0]
            leaving.says_it_leaves = True
            # All routers have passed on an answer of it by the end of this.
            await press(deployment, ask, seconds=1.0)
            await asyncio.sleep(DRAIN_SECONDS)
            before = len(leaving.arrivals)
            statuses = await press(deployment, ask, seconds=2.0)
            self.assertEqual({200}, set(statuses))
            self.assertEqual(before, len(leaving.arrivals))

        self.with_platform(scenario, routers=ROUTERS)

    def test_an_engine_that_says_so_in_an_answer_gets_nothing_new(self):
        self.check(lambda deployment: deployment.engines, stream)

    def test_a_plain_upstream_that_says_so_in_an_answer_gets_nothing_new(self):
        self.check(lambda deployment: deployment.apps, plain)
