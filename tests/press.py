"""Press a deployment's routers with requests."""

import asyncio

from tests.platform_support import PlatformCaller


async def press(deployment, ask, *, seconds, pause=0.05):
    """Have every router asked again and again; return the statuses."""

    async def one(vm):
        caller = PlatformCaller(deployment, vm)
        loop, statuses = asyncio.get_running_loop(), []
        end = loop.time() + seconds
        while loop.time() < end:
            statuses.append((await ask(caller))[0])
            await asyncio.sleep(pause)
        return statuses

    found = await asyncio.gather(*(one(vm) for vm in deployment.routers))
    return [status for statuses in found for status in statuses]


def stream(caller):
    return caller.stream()


def plain(caller):
    return caller.send("GET", "/safe/x")
