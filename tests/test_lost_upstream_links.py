"""Routers that lose their links to all upstreams, while callers still reach them.

Guards against callers of such routers being refused although other routers reach the
upstreams.
"""

import asyncio

from lynxchute.standins.link import Partition
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.press import plain, stream
from tests.support import AsyncTestCase, Caller, question, with_deployment

ROUTERS = ("a-1", "a-2", "b-1", "b-2")
# A partition may take this many seconds to be noticed.
NOTICE_SECONDS = 3.0
MEASURED_SECONDS = 3.0
# Requests of each router that are sent on connections that hang.
HUNG_REQUESTS = 3
# Seconds within which these must be answered: such a connection is given up after 2.5,
# and the request needs another attempt.
HUNG_SECONDS = 4.0
# First tries at routers that are cut off must be served nearly as often as at the
# others.
MIN_SHARE = 0.95


async def call_repeatedly(deployment, vm, ask, seconds, pause):
    """Call one router repeatedly; return statuses and durations of the calls."""
    caller, loop = PlatformCaller(deployment, vm), asyncio.get_running_loop()
    end, found = loop.time() + seconds, []

    async def call():
        begun = loop.time()
        try:
            status = (await ask(caller))[0]
        except Exception as error:
            status = repr(error)
        found.append((status, loop.time() - begun))

    calls = []
    while loop.time() < end:
        calls.append(asyncio.create_task(call()))
        await asyncio.sleep(pause)
    await asyncio.gather(*calls)
    return found


async def call_all(deployment, vms, ask, seconds, pause=0.1):
    """Call routers at the same time; return the calls of all of them by router."""
    calls = [call_repeatedly(deployment, vm, ask, seconds, pause) for vm in vms]
    return dict(zip(vms, await asyncio.gather(*calls), strict=True))


def served_share(calls_by_vm, vms):
    calls = [call for vm in vms for call in calls_by_vm[vm]]
    return sum(status == 200 for status, _ in calls) / len(calls)


def unsafe(caller):
    return caller.send("POST", "/unsafe/x", b"order")


class LostUpstreamLinksTest(PlatformTestCase):
    def check_served(self, cut, how, ask, pause=0.1):
        """Check that callers of routers that are cut off are served as the others."""

        async def scenario(deployment):
            await call_all(deployment, ROUTERS, ask, 1.0, pause)
            deployment.partition(cut, how)
            await call_all(deployment, ROUTERS, ask, NOTICE_SECONDS, pause)
            calls = await call_all(deployment, ROUTERS, ask, MEASURED_SECONDS, pause)
            others = [vm for vm in ROUTERS if vm not in cut]
            shares = served_share(calls, cut), served_share(calls, others)
            await deployment.restore(cut)
            await call_all(deployment, ROUTERS, ask, 1.0, pause)
            after = await call_all(deployment, ROUTERS, ask, 1.0, pause)
            return shares, served_share(after, ROUTERS)

        (here, there), after = self.with_platform(
            scenario, routers=ROUTERS, has_upstream_links=True
        )
        self.assertGreaterEqual(here, MIN_SHARE * there)
        self.assertGreaterEqual(there, MIN_SHARE)
        self.assertGreaterEqual(after, MIN_SHARE)

    def test_a_router_whose_links_hang_serves_calls(self):
        self.check_served(("a-1",), Partition.HANG, plain)

    def test_a_router_whose_links_hang_serves_streams(self):
        self.check_served(("a-1",), Partition.HANG, stream)

    def test_a_data_centre_whose_links_refuse_serves_calls(self):
        self.check_served(("a-1", "a-2"), Partition.REFUSE, plain)

    def test_a_data_centre_whose_links_hang_and_refuse_serves_streams(self):
        self.check_served(("a-1", "a-2"), Partition.HANG_REFUSE, stream)

    def test_most_routers_with_old_connections_only_serve_calls(self):
        # Calls that may not be repeated use no connection that was idle for long.
        self.check_served(("a-1", "a-2", "b-1"), Partition.KEEP_REFUSE, unsafe, 0.4)


class ProductApiTest(AsyncTestCase):
    def test_routers_with_the_products_own_interface_serve(self):
        async def scenario(deployment):
            vms = [vm for vm in deployment.routers_by_vm if vm.startswith("kyu-a")]
            callers = [Caller(deployment, vm) for vm in vms]
            for how in Partition:
                deployment.partition(vms, how)
                await asyncio.sleep(0.5)
                for is_stream in (False, True):
                    for caller in callers:
                        await caller.ask(question(stream=is_stream))
                        await caller.send("GET", "/tickets/1")
                for number in range(10):
                    caller = callers[number % len(callers)]
                    found = await caller.ask(question(stream=number % 2 == 0))
                    self.assertEqual(200, found[0], how)
                    found = await caller.send("GET", "/tickets/1")
                    self.assertEqual(200, found[0], how)
                await deployment.restore(vms)

        with_deployment(self, scenario)

    def check_hung(self, how):
        """Check that requests on connections that hang are answered elsewhere."""

        async def scenario(deployment):
            vms = [vm for vm in deployment.routers_by_vm if vm.startswith("kyu-a")]
            callers = [Caller(deployment, vm) for vm in vms] * HUNG_REQUESTS
            await asyncio.gather(*(caller.ask(question()) for caller in callers))
            deployment.partition(vms, how)
            async with asyncio.timeout(HUNG_SECONDS):
                found = await asyncio.gather(*(c.ask(question()) for c in callers))
            self.assertEqual([200] * len(callers), [status for status, *_ in found])

        with_deployment(self, scenario)

    def test_requests_on_connections_that_hang_are_answered_elsewhere(self):
        self.check_hung(Partition.HANG)

    def test_requests_on_hanging_connections_are_answered_where_new_ones_fail(self):
        self.check_hung(Partition.HANG_REFUSE)
