"""Send requests continuously to all routers of a deployment."""

import asyncio

from tests.platform_support import PlatformCaller


async def press(deployment, ask, *, seconds, pause=0.05):
    """Call every router repeatedly, pausing between calls; return all statuses."""

    async def call_router(vm):
        caller = PlatformCaller(deployment, vm)
        loop, statuses = asyncio.get_running_loop(), []
        end = loop.time() + seconds
        while loop.time() < end:
            statuses.append((await ask(caller))[0])
            await asyncio.sleep(pause)
        return statuses

    statuses_by_router = await asyncio.gather(
        *(call_router(vm) for vm in deployment.routers)
    )
    return [status for statuses in statuses_by_router for status in statuses]


def stream(caller):
    return caller.stream()


def plain(caller):
    return caller.send("GET", "/safe/x")
