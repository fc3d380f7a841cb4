"""Reads that callers share, whose results are not older than their calls."""

import asyncio

import testtools

from lynxchute.application import Tasks
from lynxchute.store.fresh_read import FreshRead
from tests.virtual_loop import run_virtual

INTERVAL = 0.3
READ_SECONDS = 0.1
# Turns of the loop take a little time.
MARGIN = 1e-3


class Reader:
    """Reads that return when they started, and last for as long as each is told."""

    def __init__(self, *durations):
        self.started_at = []
        self._durations = list(durations)

    async def read(self):
        started_at = asyncio.get_running_loop().time()
        self.started_at.append(started_at)
        await asyncio.sleep(self._durations.pop(0) if self._durations else READ_SECONDS)
        return started_at


class FreshReadTest(testtools.TestCase):
    def with_reads(self, scenario, *durations):
        async def run():
            tasks, reader = Tasks(), Reader(*durations)
            clock = asyncio.get_running_loop().time
            reading = FreshRead(reader.read, tasks, interval=INTERVAL, clock=clock)
            await scenario(reading, reader, clock)
            await tasks.stop()

        run_virtual(run())

    async def call(self, reading, clock):
        """Return when a call was made, and when its read started."""
        called_at = clock()
        return called_at, await reading.get()

    def check(self, results, reader):
        for called_at, started_at in results:
            self.assertGreaterEqual(started_at, called_at)
        for before, after in zip(
            reader.started_at, reader.started_at[1:], strict=False
        ):
            self.assertGreaterEqual(after - before, INTERVAL - MARGIN)

    def test_a_result_never_comes_from_a_read_that_started_before_the_call(self):
        for duration in (0.0, 0.05, 0.3, 0.31, 1.0):

            async def scenario(reading, reader, clock):
                calls = []
                for _ in range(100):
                    calls.append(asyncio.create_task(self.call(reading, clock)))
                    await asyncio.sleep(0.017)
                results = await asyncio.gather(*calls)
                self.check(results, reader)
                self.assertLess(len(reader.started_at), 10)
                # Nobody waits for more than an interval and a read.
                for called_at, started_at in results:
                    self.assertLessEqual(started_at - called_at, INTERVAL + MARGIN)

            self.with_reads(scenario, *[duration] * 100)

    def test_a_call_made_while_a_read_runs_gets_the_next_one(self):
        async def scenario(reading, reader, clock):
            first = asyncio.create_task(self.call(reading, clock))
            await asyncio.sleep(0.001)
            self.assertEqual(1, len(reader.started_at))
            second = await self.call(reading, clock)
            self.check([await first, second], reader)
            self.assertEqual(2, len(reader.started_at))

        self.with_reads(scenario)

    def test_calls_at_one_moment_share_a_read(self):
        async def scenario(reading, reader, clock):
            await asyncio.gather(*(reading.get() for _ in range(50)))
            self.assertEqual(1, len(reader.started_at))

        self.with_reads(scenario)

    def test_a_cancelled_caller_does_not_cancel_the_others(self):
        for seconds in (0.0, 0.001, READ_SECONDS / 2):

            async def scenario(reading, reader, clock, seconds=seconds):
                cancelled = asyncio.create_task(reading.get())
                other = asyncio.create_task(self.call(reading, clock))
                await asyncio.sleep(seconds)
                cancelled.cancel()
                self.check([await other], reader)
                self.assertTrue(cancelled.cancelled())
                self.assertEqual(1, len(reader.started_at))

            self.with_reads(scenario)

    def test_a_read_whose_only_caller_is_cancelled_serves_the_next_one(self):
        async def scenario(reading, reader, clock):
            await reading.get()
            cancelled = asyncio.create_task(reading.get())
            await asyncio.sleep(0.01)
            cancelled.cancel()
            self.check([await self.call(reading, clock)], reader)
            self.assertEqual(2, len(reader.started_at))

        self.with_reads(scenario)

    def test_a_read_that_hangs_does_not_hold_later_ones_up(self):
        async def scenario(reading, reader, clock):
            hanging = asyncio.create_task(reading.get())
            await asyncio.sleep(0.01)
            called_at = clock()
            results = [await self.call(reading, clock)]
            self.assertLess(clock() - called_at, INTERVAL + READ_SECONDS + MARGIN)
            self.check(results, reader)
            self.assertFalse(hanging.done())

        self.with_reads(scenario, 1e6)
