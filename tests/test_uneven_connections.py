"""Most new connections go to one router for some seconds."""

import asyncio

from testtools.matchers import GreaterThan

from lynxchute.standins.platform_store import Outage
from tests.part_play import ENGINES, ROUTERS, PartPlay
from tests.platform_support import PlatformCaller, PlatformTestCase

EVEN_SECONDS, UNEVEN_SECONDS = 3.0, 5.0
# Seconds between requests while connections are even; then half as many more come.
INTERVAL, UNEVEN_INTERVAL = 0.06, 0.04
MIN_SERVED_SHARE = 0.95


class UnevenConnectionsTest(PlatformTestCase):
    def play(self, busy_vms, disturb=None, **options):
        """Send all requests to some routers for a while; return the shares served."""

        async def scenario(deployment):
            loop = asyncio.get_running_loop()
            begin = loop.time() + EVEN_SECONDS

            def vm_of(number):
                vms = ROUTERS if loop.time() < begin else busy_vms
                return vms[number % len(vms)]

            play = PartPlay(deployment, vm_of=vm_of, deadly_interval=0.0, **options)
            play.prepare()
            play.sound_interval = INTERVAL
            running = asyncio.create_task(play.run(EVEN_SECONDS + UNEVEN_SECONDS))
            await asyncio.sleep(EVEN_SECONDS)
            play.sound_interval = UNEVEN_INTERVAL
            if disturb is not None:
                await disturb(deployment)
            await running
            results = play.sound_results
            return (
                _served_share([r for r in results if r.sent_at < begin]),
                _served_share([r for r in results if r.sent_at >= begin]),
            )

        return self.with_platform(scenario, routers=ROUTERS, engines=ENGINES, apps=2)

    def test_streams_are_served_if_all_new_connections_go_to_one_router(self):
        before, after = self.play(("b-2",))
        self.assertThat(before, GreaterThan(MIN_SERVED_SHARE))
        self.assertThat(after, GreaterThan(MIN_SERVED_SHARE))

    def test_streams_are_served_if_a_router_stops_while_another_gets_most(self):
        async def stop_router(deployment):
            router = deployment.routers.pop("a-1")
            await router.drain()
            await router.kill()

        _, after = self.play(("b-1", "b-2"), stop_router)
        self.assertThat(after, GreaterThan(MIN_SERVED_SHARE))

    def test_streams_are_served_without_the_store_at_one_router(self):
        async def lose_store(deployment):
            for vm in ("a-1", "a-2"):
                deployment.faults(vm).outage = Outage.SILENT

        _, after = self.play(("b-2",), lose_store)
        self.assertThat(after, GreaterThan(MIN_SERVED_SHARE))

    def test_many_connections_at_once_to_one_router_are_served(self):
        async def scenario(deployment):
            callers = [PlatformCaller(deployment, "b-1") for _ in range(150)]
            answers = await asyncio.gather(
                *(caller.send("GET", "/safe/x") for caller in callers)
            )
            return [status for status, _, _ in answers]

        statuses = self.with_platform(scenario, routers=ROUTERS)
        self.assertEqual([200] * 150, statuses)


def _served_share(results):
    return sum(result.is_whole for result in results) / len(results)
