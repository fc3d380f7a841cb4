"""Inject rushes of new connections to one router, and answers without framing.

It has a random generator of its own, so that its draws don't shift the other faults'.
"""

import asyncio
import collections
import random

from tests.soak.traffic import REQUEST_KINDS

START_DELAY = (0.5, 3.0)
PHASE_INTERVAL = (0.5, 2.0)
RUSH_SECONDS = (1.0, 3.0)
# Concurrent callers in a rush, and the seconds that each waits between two requests,
# each of which takes a new connection.
RUSH_CALLERS = 6
RUSH_REQUEST_INTERVAL = (0.01, 0.06)
UNFRAMED_SECONDS = (1.0, 4.0)


class ConnectionInjector:
    """Alternate at random between a rush to one router and unframed answers."""

    def __init__(self, fleet, callers, seed):
        self.counts = collections.Counter()
        self._fleet = fleet
        self._rng = random.Random(f"connections of {seed}")
        self._callers = callers.with_rng(self._rng)

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.sleep(self._rng.uniform(*START_DELAY))
        while loop.time() < end:
            if self._rng.random() < 0.5:
                await self._rush_to_one_router()
            else:
                await self._leave_out_framing()
            await asyncio.sleep(self._rng.uniform(*PHASE_INTERVAL))

    async def _rush_to_one_router(self):
        self.counts["rush of connections"] += 1
        vm = self._rng.choice(sorted(self._fleet.routers_by_vm))
        tasks = [
            asyncio.create_task(self._send_on_new_connections(vm))
            for _ in range(RUSH_CALLERS)
        ]
        try:
            await asyncio.sleep(self._rng.uniform(*RUSH_SECONDS))
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_on_new_connections(self, vm):
        while True:
            client = self._callers.client(vm)
            try:
                kind = self._rng.choice(REQUEST_KINDS)
                record = await self._callers.send(
                    client, vm, kind, may_disconnect=False
                )
            finally:
                client.close()
            # A router that is down is not asked more often than this.
            pause = 0.3 if record.status == 0 else 0.0
            await asyncio.sleep(pause + self._rng.uniform(*RUSH_REQUEST_INTERVAL))

    async def _leave_out_framing(self):
        """Let some upstreams end their answers with their connections."""
        self.counts["unframed answers"] += 1
        upstreams = self._fleet.upstreams
        count = self._rng.randint(1, len(upstreams))
        chosen = [u.standin for u in self._rng.sample(upstreams, count)]
        for standin in chosen:
            standin.ends_with_connection = True
        try:
            await asyncio.sleep(self._rng.uniform(*UNFRAMED_SECONDS))
        finally:
            for standin in chosen:
                standin.ends_with_connection = False
