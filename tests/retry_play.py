"""Routers that die and start again while most first sends of requests fail."""

import asyncio
import itertools
import random

import attrs

from lynxchute.http import ExchangeError
from lynxchute.standins.budget_rules import arrivals_by_service, worst_window
from lynxchute.standins.upstream_run import Fault
from tests.platform_support import PlatformCaller

ROUTERS = ("a-1", "a-2", "b-1", "b-2")
UPSTREAMS = 6
# Requests a second for each service, over all routers.
RATE = 15.0
# Share of first sends that fail.
FAILED_SHARE = 0.8
# Seconds for which a router that was killed is away.
DOWN_SECONDS = 0.4
PATHS_BY_SERVICE = {"app": ("GET", "/safe/x"), "pool": ("POST", "/stream/x")}


@attrs.define
class RetryPlay:
    """Sends requests through a deployment and counts their retries.

    Attributes
    ----------
    request_times_by_service
        When callers sent requests, in seconds of the loop's clock.
    statuses
        Status of each answer, 0 for none.
    vms
        The VMs that callers use.
    """

    deployment: object
    fault: Fault = Fault.RESET
    request_times_by_service: dict = attrs.field(
        factory=lambda: {"app": [], "pool": []}
    )
    statuses: list = attrs.Factory(list)
    vms: tuple = ROUTERS
    _numbers: object = attrs.Factory(lambda: itertools.count(1))
    _random: random.Random = attrs.Factory(lambda: random.Random(74))

    def prepare(self):
        for upstream in self.deployment.upstreams:
            upstream.faults = FailingFirstSends(self)

    def has_failure(self):
        return self._random.random() < FAILED_SHARE

    async def run(self, seconds, *, service=None):
        """Send requests to the routers in turn, whether these run or not."""
        loop = asyncio.get_running_loop()
        services = [service] if service else list(PATHS_BY_SERVICE)
        tasks, began = [], loop.time()
        for number in range(int(seconds * RATE)):
            await asyncio.sleep(max(began + number / RATE - loop.time(), 0.0))
            vm = self.vms[number % len(self.vms)]
            for name in services:
                tasks.append(asyncio.create_task(self._send(vm, name)))
        await asyncio.gather(*tasks)

    async def _send(self, vm, service):
        now = asyncio.get_running_loop().time()
        self.request_times_by_service[service].append(now)
        method, path = PATHS_BY_SERVICE[service]
        caller = PlatformCaller(self.deployment, vm)
        tokens = (100, 60) if service == "pool" else None
        try:
            status, _, _ = await caller.send(
                method, path, request_id=f"r{next(self._numbers)}", tokens=tokens
            )
        except (ExchangeError, OSError):
            status = 0
        finally:
            caller.client.close()
        self.statuses.append(status)

    async def kill(self, vms):
        for vm in vms:
            await self.deployment.routers[vm].kill()

    async def restart(self, vms):
        """Start the next processes of routers that were killed or stopped."""
        for vm in vms:
            await self.deployment.start_router(vm)

    async def kill_and_restart(self, vms=ROUTERS):
        await self.kill(vms)
        await asyncio.sleep(DOWN_SECONDS)
        await self.restart(vms)

    async def replace(self, vms):
        """Kill all routers and start others on VMs of other names."""
        await self.kill(self.vms)
        await self.restart(vms)
        self.vms = vms

    async def stop(self, vms):
        """Stop routers in order; they finish what they have begun."""

        async def stop_one(vm):
            router = self.deployment.routers[vm]
            await router.drain()
            await router.kill()

        await asyncio.gather(*(stop_one(vm) for vm in vms))

    def peak(self, service):
        """Return the window with the most retries beyond the limit."""
        bounds = next(iter(self.deployment.settings.values())).bounds
        arrivals = arrivals_by_service(self.deployment.upstreams)[service]
        return worst_window(arrivals, self.request_times_by_service[service], bounds)


class FailingFirstSends(list):
    """Faults that make most first sends of requests fail, and no retry."""

    def __init__(self, play):
        super().__init__()
        self._play = play

    def __bool__(self):
        return True

    def pop(self, index=0):
        return self._play.fault if self._play.has_failure() else None
