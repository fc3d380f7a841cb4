"""Kill routers in series while upstreams fail most of what they are sent.

It has a random generator of its own, so that its draws don't shift the other faults'.
"""

import asyncio
import collections
import random

from lynxchute.edge.settings import DeploymentBounds
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.upstream_run import Fault
from lynxchute.telemetry import log_event
from tests.soak.out_of_step import is_out_of_step

# Most retries are those that are permitted whatever the requests.
BOUNDS = DeploymentBounds(retry_extra=60.0)
# Earlier seeds keep the faults that they had.
FIRST_SEED_WITH_DEATHS = 74_000
# Ranges in seconds: before a series, between two deaths, and before a death in which
# the store is away.
SERIES_INTERVAL = (0.2, 1.5)
DEATH_INTERVAL = (0.3, 1.2)
OUTAGE_DURATION = (0.3, 2.0)
MAX_DEATHS = 4
OUTAGE_SHARE = 0.3
# Share of the deaths that end all routers.
ALL_SHARE = 0.8
FAILED_SHARE = 0.7
# Failures that no router may take for a crash.
FAILURES = (Fault.DECLINE, Fault.BUSY, Fault.FAIL)
# Seconds between two additions of failures, and the failures ahead at an upstream.
FAILURE_INTERVAL = 0.05
FAILURES_AHEAD = 20


def has_deaths(seed):
    """Return whether routers die in series in a seed."""
    return seed >= FIRST_SEED_WITH_DEATHS and not is_out_of_step(seed)


class DeathInjector:
    """Inject series of deaths, some at the end of an outage of the store."""

    def __init__(self, fleet, fault_injector, seed):
        self.counts = collections.Counter()
        self._fleet = fleet
        self._fault_injector = fault_injector
        self._rng = random.Random(f"deaths of {seed}")

    async def run(self, seconds):
        """Kill routers in series for some seconds."""
        end = asyncio.get_running_loop().time() + seconds
        failing = asyncio.create_task(self._let_sends_fail())
        try:
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(self._rng.uniform(*SERIES_INTERVAL))
                await self._kill_in_series()
        finally:
            failing.cancel()
            await asyncio.gather(failing, return_exceptions=True)

    async def _kill_in_series(self):
        for _ in range(self._rng.randint(2, MAX_DEATHS)):
            has_outage = self._rng.random() < OUTAGE_SHARE
            if has_outage:
                await self._begin_outage()
            is_all = self._rng.random() < ALL_SHARE
            self.counts["deaths of all" if is_all else "deaths of one"] += 1
            log_event("soak fault", fault="death", all=is_all, after_outage=has_outage)
            if is_all:
                await self._fault_injector.kill_all()
            else:
                await self._fault_injector.kill_router()
            if has_outage:
                self._set_outage(Outage.NONE)
            await asyncio.sleep(self._rng.uniform(*DEATH_INTERVAL))

    async def _begin_outage(self):
        self.counts["outages before a death"] += 1
        self._set_outage(
            self._rng.choice([outage for outage in Outage if outage is not Outage.NONE])
        )
        await asyncio.sleep(self._rng.uniform(*OUTAGE_DURATION))

    def _set_outage(self, outage):
        if outage is not Outage.NONE:
            self._fault_injector.record_store_fault()
        for router in self._fleet.routers_by_vm.values():
            self._fleet.store.faults_by_port[router.store_port].outage = outage

    async def _let_sends_fail(self):
        while True:
            for upstream in self._fleet.upstreams:
                faults = upstream.standin.faults
                while len(faults) < FAILURES_AHEAD:
                    fails = self._rng.random() < FAILED_SHARE
                    faults.append(self._rng.choice(FAILURES) if fails else None)
            await asyncio.sleep(FAILURE_INTERVAL)
