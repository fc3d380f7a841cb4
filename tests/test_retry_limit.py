"""Retries of all routers together, over the deaths and stops of their processes."""

import asyncio

from lynxchute.standins.upstream_run import Fault
from tests.platform_support import PlatformTestCase
from tests.retry_play import ROUTERS, UPSTREAMS, RetryPlay

PLAY_SECONDS = 9.0


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
