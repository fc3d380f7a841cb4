"""Inject a hot client account and slow upstreams while other faults are active.

It has a random generator of its own, so that its draws don't shift the other faults'.
"""

import asyncio
import collections
import random

from tests.soak.fleet import AMPLE_ACCOUNT
from tests.soak.traffic import REQUEST_KINDS

# Value of the routers' setting `contracts` in the share of seeds that have it.
CONTRACTS = ("pool", "pressure")
CONTRACT_SHARE = 0.6
START_DELAY = (0.5, 3.0)
PHASE_INTERVAL = (0.5, 2.0)
# Concurrent callers of the hot account at one router, and the seconds that each waits
# between two requests.
HOT_CALLERS = 8
HOT_REQUEST_INTERVAL = (0.005, 0.02)
HOT_DURATION = (1.5, 4.0)
# Factor by which a slow upstream delays its events, and the duration as a number of
# spans of 0.6 s.
SLOWDOWN_FACTOR = 2.5
SLOW_SPAN_SECONDS = 0.6
SLOW_SPAN_COUNT = (1, 5)


def contracts_for_seed(seed):
    """Return the setting `contracts` of the routers of a seed."""
    has_contracts = random.Random(f"settings of {seed}").random() < CONTRACT_SHARE
    return CONTRACTS if has_contracts else ()


class DemandInjector:
    """Alternate at random between load of a hot account and a slow upstream."""

    def __init__(self, fleet, callers, seed):
        self.counts = collections.Counter()
        self._fleet = fleet
        self._rng = random.Random(f"demand of {seed}")
        self._callers = callers.with_rng(self._rng)

    async def run(self, seconds):
        if not self._fleet.contracts:
            return
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.sleep(self._rng.uniform(*START_DELAY))
        while loop.time() < end:
            if self._rng.random() < 0.5:
                await self._send_hot_load()
            else:
                await self._slow_upstream()
            await asyncio.sleep(self._rng.uniform(*PHASE_INTERVAL))

    async def _send_hot_load(self):
        """Send many requests of one account to one router."""
        self.counts["hot account"] += 1
        vm = self._rng.choice(sorted(self._fleet.routers_by_vm))
        tasks = [
            asyncio.create_task(self._send_repeatedly(vm)) for _ in range(HOT_CALLERS)
        ]
        try:
            await asyncio.sleep(self._rng.uniform(*HOT_DURATION))
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_repeatedly(self, vm):
        client = self._callers.client(vm)
        while True:
            kind = self._rng.choice(REQUEST_KINDS)
            record = await self._callers.send(
                client, vm, kind, account=AMPLE_ACCOUNT, may_disconnect=False
            )
            # Refused requests are repeated at once.
            await asyncio.sleep(0.1 if record.status == 0 else 0.0)
            await asyncio.sleep(self._rng.uniform(*HOT_REQUEST_INTERVAL))

    async def _slow_upstream(self):
        """Slow down a random upstream for a while."""
        self.counts["slow upstream"] += 1
        running = [upstream for upstream in self._fleet.upstreams if upstream.is_up]
        standin = self._rng.choice(running).standin
        standin.event_delay = self._fleet.event_delay * SLOWDOWN_FACTOR
        try:
            await asyncio.sleep(SLOW_SPAN_SECONDS * self._rng.randint(*SLOW_SPAN_COUNT))
        finally:
            standin.event_delay = self._fleet.event_delay
