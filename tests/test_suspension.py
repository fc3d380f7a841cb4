"""Routers on a VM that is suspended for some seconds.

While a VM is suspended, its monotonic clock stops; the boot time clock, the wall clock
and all other machines go on. A router that uses the monotonic clock underestimates
every age: it takes an old configuration for confirmed, an idle connection for recently
used and an expired deadline for open.

Each of these tests guards against that and fails with the monotonic clock.
"""

import asyncio
import time
from unittest import mock

from lynxchute.standins.upstream_run import Fault
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.support import AsyncTestCase, until

SUSPENDED_SECONDS = 6.0
# Time in which a router must detect the suspension, also on a busy machine.
MAX_DETECTION_SECONDS = 1.5
_clock_gettime = time.clock_gettime


class SuspendedClocks:
    """Clocks after suspensions, in which only the boot time clock advanced."""

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

    def test_expired_request_is_answered_after_resume(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults.append(Fault.HANG)
            caller = PlatformCaller(deployment)
            pending = asyncio.create_task(caller.stream(deadline_ms=5000))
            await until(lambda: any(engine.runs for engine in deployment.engines))
            self.clocks.suspend()
            resumed = time.perf_counter()
            status, _, _ = await pending
            return status, time.perf_counter() - resumed

        status, seconds = self.with_platform(scenario)
        self.assertEqual(504, status)
        self.assertLess(seconds, MAX_DETECTION_SECONDS)

    def test_retry_gets_only_the_time_left(self):
        async def scenario(deployment):
            first, second = deployment.engines
            for engine in (first, second):
                engine.events, engine.event_delay = 8, 0.05
                engine.faults.append(Fault.CUT)
            caller = PlatformCaller(deployment)
            pending = asyncio.create_task(caller.stream(deadline_ms=3000))
            await until(lambda: first.runs or second.runs)
            idle = second if first.runs else first
            idle.faults.clear()
            self.clocks.suspend(1.5)
            await pending
            left = []
            for engine in deployment.engines:
                left += [int(run.headers["x-deadline-ms"]) for run in engine.runs]
            return sorted(left)

        left = self.with_platform(scenario)
        self.assertEqual(2, len(left))
        self.assertLess(left[0], 3000 - 1500)

    def test_non_idempotent_call_does_not_reuse_an_old_connection(self):
        async def scenario(deployment):
            (app,) = deployment.apps
            caller = PlatformCaller(deployment)
            await caller.send("POST", "/unsafe/x")
            before = app.connections
            self.clocks.suspend()
            status, _, _ = await caller.send("POST", "/unsafe/x")
            return status, app.connections - before

        self.assertEqual((200, 1), self.with_platform(scenario, apps=1))

    def test_configuration_age_includes_the_suspension(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            self.clocks.suspend()
            return router.configurations.unconfirmed_seconds()

        self.assertGreaterEqual(self.with_platform(scenario), SUSPENDED_SECONDS)

    def test_store_time_advances_during_the_suspension(self):
        async def scenario(deployment):
            ledger_sync = deployment.routers["a-1"].ledger_sync
            before_ms = ledger_sync.now_ms()
            self.clocks.suspend()
            return ledger_sync.now_ms() - before_ms

        elapsed_ms = self.with_platform(scenario)
        # Two steady clocks may drift apart by at most 0.1%.
        self.assertGreaterEqual(elapsed_ms, SUSPENDED_SECONDS * 1000 * 0.999 - 1)

    def test_retry_budget_window_expires_during_the_suspension(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            window = router.settings.bounds.retry_window
            loop = asyncio.get_running_loop()
            while router.retries.spend("pool", loop.time()):
                continue
            self.clocks.suspend(window)
            return router.retries.spend("pool", loop.time())

        self.assertTrue(self.with_platform(scenario))

    def test_requests_are_served_after_each_suspension(self):
        async def scenario(deployment):
            statuses = []
            for _ in range(3):
                self.clocks.suspend()
                await asyncio.sleep(MAX_DETECTION_SECONDS)
                status, _, _ = await PlatformCaller(deployment).stream()
                statuses.append(status)
            return statuses

        self.assertEqual([200] * 3, self.with_platform(scenario))


class LoopTest(AsyncTestCase):
    def test_idle_loop_detects_a_suspension(self):
        clocks = SuspendedClocks()

        async def work():
            sleeping = asyncio.create_task(asyncio.sleep(30.0))
            await asyncio.sleep(0)
            clocks.suspend(40.0)
            resumed = time.perf_counter()
            await sleeping
            return time.perf_counter() - resumed

        with mock.patch("time.clock_gettime", clocks.read):
            self.assertLess(self.run_async(work(), timeout=100), MAX_DETECTION_SECONDS)
