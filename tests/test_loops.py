"""Periodic tasks and the alignment of their ticks."""

import asyncio
import random

from lynxchute.application import PeriodicTask, _next_tick
from tests.support import AsyncTestCase

INTERVAL = 0.01


class TickTest(AsyncTestCase):
    def test_tick_is_within_the_interval_and_never_immediate(self):
        rng = random.Random(7)
        for _ in range(2000):
            interval = rng.choice((0.05, 0.1, 0.3, 0.5))
            now = rng.uniform(0.0, 1e6)
            for _ in range(5):
                tick = _next_tick(now, interval)
                self.assertGreater(tick - now, interval * 0.005)
                self.assertLess(tick - now, interval * 1.02)
                now = tick

    def test_ticks_of_long_and_short_intervals_are_aligned(self):
        now = 1234.5
        long = _next_tick(now, 0.5)
        ticks = []
        while now < long - 0.001:
            now = _next_tick(now, 0.05)
            ticks.append(now)
        self.assertLess(abs(ticks[-1] - long), 1e-6)


class LoopTest(AsyncTestCase):
    def run_loop(self, scenario, **more):
        steps = []

        async def step():
            steps.append(1)
            if more.get("fails"):
                raise ValueError("step failed")

        async def work():
            loop = PeriodicTask(
                "tested", step, INTERVAL, more.get("is_due", lambda: True)
            )
            await loop.start()
            try:
                await scenario(loop, steps)
            finally:
                await loop.stop()

        self.run_async(work())
        return steps

    async def wait_for(self, steps, count):
        async with asyncio.timeout(5):
            while len(steps) < count:
                await asyncio.sleep(INTERVAL / 4)

    def test_each_interval_ends_with_a_step(self):
        async def scenario(loop, steps):
            await self.wait_for(steps, 3)

        self.run_loop(scenario)

    def test_step_runs_only_while_it_is_due(self):
        due = []

        async def scenario(loop, steps):
            await asyncio.sleep(INTERVAL * 5)
            self.assertEqual([], steps)
            due.append(1)
            await self.wait_for(steps, 2)

        self.run_loop(scenario, is_due=lambda: bool(due))

    def test_wake_runs_a_step_that_is_not_due(self):
        async def scenario(loop, steps):
            loop.wake()
            await self.wait_for(steps, 1)
            await asyncio.sleep(INTERVAL * 3)
            loop.wake()
            await self.wait_for(steps, 2)

        self.assertEqual(2, len(self.run_loop(scenario, is_due=lambda: False)))

    def test_failed_steps_and_due_checks_do_not_end_the_task(self):
        async def scenario(loop, steps):
            await self.wait_for(steps, 3)

        def is_due():
            raise ValueError("due check failed")

        self.run_loop(scenario, fails=True, is_due=is_due)
