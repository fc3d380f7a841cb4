"""All five limits of budgets, as upstreams of seven router processes see them."""

import asyncio
import pathlib
import tempfile
from unittest import mock

from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from lynxchute.standins.upstream_run import Fault
from tests.support import AsyncTestCase
from tests.swap_play import SwapFleet, play

PLAY_TIMEOUT = 90


class ProcessBudgetTest(AsyncTestCase):
    """Guards against limits of the whole fleet that are passed as processes end."""

    def check(self, series, *, mix, fault):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            fleet = self.run_async(
                play(path, series, mix=mix, fault=fault), PLAY_TIMEOUT
            )
        self.assertEqual([], fleet.violations())
        self.assertEqual([], fleet.rules().extra_attempts())
        self.assertGreater(fleet.summary()["retries"]["app"], 0)

    def test_all_routers_are_killed_three_times(self):
        self.check("all_killed_three_times", mix="repeatable", fault=Fault.DECLINE)

    def test_routers_are_suspended_and_killed_in_series_that_overlap(self):
        self.check("suspended_in_series", mix="usual", fault=Fault.RESET)


class StoppedRouterTest(AsyncTestCase):
    """Guards against a backoff that is lost as its refusal waits in a socket."""

    # Seconds until upstreams refuse, for which the process stands still meanwhile, and
    # of the backoff; requests are over before the process goes on.
    REFUSED_AFTER, STOPPED, BACKOFF = 0.3, 1.2, 4.0
    EARLY, LATE = 3, 30

    def test_a_refusal_that_came_while_the_process_stood_still_is_read(self):
        async def scenario(fleet):
            await fleet.start(("a-1",))
            loop = asyncio.get_running_loop()
            apps = [u for u in fleet.upstreams if u.service == "app"]
            for app in apps:
                app.places = None
                app.backoff_until = loop.time() + self.BACKOFF
            requests = [fleet.send("a-1", "safe") for _ in range(self.EARLY)]
            await asyncio.sleep(self.REFUSED_AFTER / 2)
            suspending = asyncio.create_task(fleet.suspend(["a-1"], self.STOPPED))
            await asyncio.sleep(self.REFUSED_AFTER / 6)
            requests += [fleet.send("a-1", "safe") for _ in range(self.LATE)]
            await suspending
            await asyncio.gather(*requests)
            fleet.disturbed.clear()
            self.assertGreater(sum(len(app.received) for app in apps), self.EARLY)
            self.assertEqual({}, fleet.rules().sends_in_backoff())

        answer = PlatformUpstreamStandin._answer

        async def answer_late(upstream, exchange):
            await asyncio.sleep(self.REFUSED_AFTER)
            return await answer(upstream, exchange)

        async def run(folder):
            fleet = SwapFleet(folder)
            try:
                with mock.patch.object(PlatformUpstreamStandin, "_answer", answer_late):
                    await scenario(fleet)
            finally:
                await fleet.stop()

        with tempfile.TemporaryDirectory() as folder:
            self.run_async(run(pathlib.Path(folder)), PLAY_TIMEOUT)
