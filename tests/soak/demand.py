"""Demanding load beside all other faults: a hot client account, and uneven upstreams.

It draws its own numbers, so that kept seeds have the faults that they always had.
"""

import asyncio
import collections
import random

from tests.soak.fleet import AMPLE, EVENT_DELAY
from tests.soak.traffic import KINDS

# What the routers' settings ask for, where they ask for anything.
CONTRACTS = ("pool", "pressure")
DEMANDING_SHARE = 0.6
FIRST_AFTER = (0.5, 3.0)
PAUSES = (0.5, 2.0)
# Callers of the hot account at one router, and how soon each comes back.
HOT_CALLERS = 8
HOT_PAUSE = (0.005, 0.02)
HOT_LASTS = (1.5, 4.0)
# An upstream works so many times as slowly for short spans, and for a long one.
SLOWNESS = 2.5
SLOW_SPAN = 0.6
SLOW_SPANS = (1, 5)


def contracts_of(seed):
    """Return what the settings of a seed's routers ask for."""
    is_demanding = random.Random(f"settings of {seed}").random() < DEMANDING_SHARE
    return CONTRACTS if is_demanding else ()


class DemandSetter:
    """Have one account press on one router, and upstreams slow down, by turns."""

    def __init__(self, fleet, callers, seed):
        self.counts = collections.Counter()
        self._fleet = fleet
        self._rng = random.Random(f"demand of {seed}")
        self._callers = callers.beside(self._rng)

    async def run(self, seconds):
        if not self._fleet.contracts:
            return
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.sleep(self._rng.uniform(*FIRST_AFTER))
        while loop.time() < end:
            if self._rng.random() < 0.5:
                await self._press()
            else:
                await self._slow_down()
            await asyncio.sleep(self._rng.uniform(*PAUSES))

    async def _press(self):
        self.counts["hot account"] += 1
        vm = self._rng.choice(sorted(self._fleet.routers_by_vm))
        tasks = [asyncio.create_task(self._call(vm)) for _ in range(HOT_CALLERS)]
        try:
            await asyncio.sleep(self._rng.uniform(*HOT_LASTS))
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, vm):
        client = self._callers.client(vm)
        while True:
            kind = self._rng.choice(KINDS)
            record = await self._callers.send(
                client, vm, kind, account=AMPLE, may_leave=False
            )
            # A refusal is met as callers who repeat at once do.
            await asyncio.sleep(0.1 if record.status == 0 else 0.0)
            await asyncio.sleep(self._rng.uniform(*HOT_PAUSE))

    async def _slow_down(self):
        self.counts["slow upstream"] += 1
        up = [upstream for upstream in self._fleet.upstreams if upstream.is_up]
        standin = self._rng.choice(up).standin
        standin.event_delay = EVENT_DELAY * SLOWNESS
        try:
            await asyncio.sleep(SLOW_SPAN * self._rng.randint(*SLOW_SPANS))
        finally:
            standin.event_delay = EVENT_DELAY
