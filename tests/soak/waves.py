"""Let one software version serve alone, then another one join, and the first leave.

Streams begin at routers in touch and are mostly taken up at those out of step.
"""

import asyncio

from lynxchute.platform.names import UPSTREAM_TABLE
from lynxchute.telemetry import log_event
from tests.platform_support import DATA_CENTRES
from tests.soak.rollouts import VERSIONS, RolloutInjector

ENGINES = 3
# Ranges in seconds: for which a version is alone, from a disturbance until the next one
# joins, for which both serve, and for which engines drain.
ALONE_SECONDS = (3.0, 4.5)
JOIN_DELAY = (0.0, 0.4)
BOTH_SECONDS = (0.8, 3.0)
DRAIN_SECONDS = 0.8
# Share of the streams that come to a router out of step when they are taken up.
OUT_OF_STEP_SHARE = 0.75


class WaveInjector(RolloutInjector):
    """Replace all engines by those of another version, again and again."""

    caller_count = 12

    def __init__(self, fleet, callers, checker, seed, *, disturber):
        super().__init__(fleet, callers, checker, seed, planned_only=True)
        self._disturber = disturber
        self._disturbances = set()

    async def run(self, seconds):
        await super().run(seconds)
        await asyncio.gather(*self._disturbances)

    async def _change_versions(self, end):
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(*ALONE_SECONDS))
            self._disturbances.add(asyncio.create_task(self._disturber.disturb()))
            await asyncio.sleep(self._rng.uniform(*JOIN_DELAY))
            old = [u for u in self._fleet.upstreams if u.is_up and u.standin.events]
            await self._add_engines()
            await asyncio.sleep(self._rng.uniform(*BOTH_SECONDS))
            await self._remove(old)

    async def _add_engines(self):
        others = [v for v in VERSIONS if v != self._fleet.software_version]
        self._fleet.software_version = self._rng.choice(others)
        self.counts["waves"] += 1
        log_event("soak fault", fault="joins", version=self._fleet.software_version)
        for number in range(ENGINES):
            await self._fleet.add_upstream("pool", DATA_CENTRES[number % 2])

    async def _remove(self, upstreams):
        for upstream in upstreams:
            upstream.is_up = False
            upstream.standin.state = "draining"
            await upstream.standin.register(self._fleet.store)
        await asyncio.sleep(DRAIN_SECONDS)
        for upstream in upstreams:
            await self._fleet.store.drop(UPSTREAM_TABLE, upstream.standin.id)
            await upstream.standin.stop()

    def _choose_vm(self, is_taken_up):
        vms = set(self._fleet.routers_by_vm)
        behind = sorted(self._disturber.disturbed_vms)
        if not is_taken_up:
            return self._rng.choice(sorted(vms.difference(behind)))
        if behind and self._rng.random() < OUT_OF_STEP_SHARE:
            self.counts["taken up out of step"] += 1
            return self._rng.choice(behind)
        return self._rng.choice(sorted(vms))
