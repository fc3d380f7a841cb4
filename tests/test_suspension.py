"""A VM that is suspended for some seconds.

What was announced: while a VM is suspended its monotonic clock stands still; the boot
time clock and the time of day go on, and so does everybody else. Whatever a router
dates by a clock that stands still is younger to it than it is: a version of the
configuration that the store confirmed "just now", a connection that was used "just
now", a caller who has "three seconds left".

The evidence: each of these tests fails on a router that goes by the monotonic clock.
"""

import asyncio
import time
from unittest import mock

from lynxchute.standins.upstream_run import Fault
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.support import AsyncTestCase, until

SUSPENDED_SECONDS = 6.0
# What a router may take to notice, beside the work of a busy machine.
NOTICED_SECONDS = 1.5
_clock_gettime = time.clock_gettime


class SuspendedClocks:
    """Clocks as they are after suspensions: only the boot time clock has gone on."""

    def __init__(self):
        self.seconds = 0.0

    def read(self, clock):
        ahead = self.seconds if clock == time.CLOCK_BOOTTIME else 0.0
        return _clock_gettime(clock) + ahead

    def suspend(self, seconds=SUSPENDED_SECONDS):
        self.seconds += seconds


class SuspensionTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.clocks = SuspendedClocks()
        patch = mock.patch("time.clock_gettime", self.clocks.read)
        patch.start()
        self.addCleanup(patch.stop)

    def test_a_caller_whose_time_is_over_is_answered_at_once(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults.append(Fault.HANG)
            caller = PlatformCaller(deployment)
            asked = asyncio.create_task(caller.stream(deadline_ms=5000))
            await until(lambda: any(engine.runs for engine in deployment.engines))
            self.clocks.suspend()
            resumed = time.perf_counter()
            status, _, _ = await asked
            return status, time.perf_counter() - resumed

        status, seconds = self.with_platform(scenario)
        self.assertEqual(504, status)
        self.assertLess(seconds, NOTICED_SECONDS)

    def test_no_upstream_is_handed_time_that_has_passed(self):
        async def scenario(deployment):
            first, second = deployment.engines
            for engine in (first, second):
                engine.events, engine.event_delay = 8, 0.05
                engine.faults.append(Fault.CUT)
            caller = PlatformCaller(deployment)
            asked = asyncio.create_task(caller.stream(deadline_ms=3000))
            await until(lambda: first.runs or second.runs)
            idle = second if first.runs else first
            idle.faults.clear()
            self.clocks.suspend(1.5)
            await asked
            left = []
            for engine in deployment.engines:
                left += [int(run.headers["x-deadline-ms"]) for run in engine.runs]
            return sorted(left)

        left = self.with_platform(scenario)
        self.assertEqual(2, len(left))
        self.assertLess(left[0], 3000 - 1500)

    def test_a_kept_connection_of_before_is_not_used_for_a_call_that_runs_once(self):
        async def scenario(deployment):
            (app,) = deployment.apps
            caller = PlatformCaller(deployment)
            await caller.send("POST", "/unsafe/x")
            before = app.connections
            self.clocks.suspend()
            status, _, _ = await caller.send("POST", "/unsafe/x")
            return status, app.connections - before

        self.assertEqual((200, 1), self.with_platform(scenario, apps=1))

    def test_the_configuration_is_as_old_as_it_is(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            self.clocks.suspend()
            return router.configurations.unconfirmed_seconds()

        self.assertGreaterEqual(self.with_platform(scenario), SUSPENDED_SECONDS)

    def test_what_is_known_of_the_stores_time_goes_on(self):
        async def scenario(deployment):
            keeper = deployment.routers["a-1"].ledger_sync
            before_ms = keeper.now_ms()
            self.clocks.suspend()
            return keeper.now_ms() - before_ms

        passed_ms = self.with_platform(scenario)
        # Two steady clocks differ by a thousandth at most.
        self.assertGreaterEqual(passed_ms, SUSPENDED_SECONDS * 1000 * 0.999 - 1)

    def test_repeats_of_before_do_not_count_for_ever(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            window = router.settings.bounds.retry_window
            loop = asyncio.get_running_loop()
            while router.retries.spend("pool", loop.time()):
                continue
            self.clocks.suspend(window)
            return router.retries.spend("pool", loop.time())

        self.assertTrue(self.with_platform(scenario))

    def test_requests_are_served_again_after_it(self):
        async def scenario(deployment):
            statuses = []
            for _ in range(3):
                self.clocks.suspend()
                await asyncio.sleep(NOTICED_SECONDS)
                status, _, _ = await PlatformCaller(deployment).stream()
                statuses.append(status)
            return statuses

        self.assertEqual([200] * 3, self.with_platform(scenario))


class LoopTest(AsyncTestCase):
    def test_an_idle_loop_notices_a_suspension(self):
        clocks = SuspendedClocks()

        async def work():
            resting = asyncio.create_task(asyncio.sleep(30.0))
            await asyncio.sleep(0)
            clocks.suspend(40.0)
            resumed = time.perf_counter()
            await resting
            return time.perf_counter() - resumed

        with mock.patch("time.clock_gettime", clocks.read):
            self.assertLess(self.run_async(work(), timeout=100), NOTICED_SECONDS)
