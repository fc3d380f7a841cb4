"""Streams that go on while engines of two software versions serve.

Guards against streams that hold events of two software versions, and against broken
streams that are refused although engines of their version serve.
"""

import asyncio

from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.upstream_run import Fault
from tests.platform_support import PlatformTestCase
from tests.version_play import (
    EVENTS,
    NEW,
    OLD,
    ROUTERS,
    VERSIONS,
    begin,
    mixed,
    prepare,
    take_up,
    whole_share,
)

STREAMS = 40
# Streams that are taken up go on at least half as often as new ones begin.
MIN_SHARE = 0.5


class StreamVersionTest(PlatformTestCase):
    def with_versions(self, scenario, *, versions=VERSIONS, routers=ROUTERS):
        async def prepared(deployment):
            prepare(deployment)
            await scenario(deployment)

        self.with_platform(
            prepared, routers=routers, engines=len(versions), versions=versions
        )

    async def check(self, deployment, streams, *, vms=ROUTERS):
        """Check that streams hold one version and go on as new ones begin."""
        self.assertEqual(0, len(mixed(streams)), "streams of two versions")
        new = await begin(deployment, len(streams), vms=vms, events=None)
        self.assertGreaterEqual(whole_share(streams), MIN_SHARE * whole_share(new))
        self.assertGreater(whole_share(new), MIN_SHARE)

    def test_a_stream_broken_off_by_its_engine_goes_on_at_its_version(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults = [Fault.CUT] * 5
            streams = await begin(deployment, STREAMS, events=None)
            for engine in deployment.engines:
                engine.faults = []
            await self.check(deployment, streams)

        self.with_versions(scenario)

    def test_a_stream_taken_up_at_another_router_goes_on_at_its_version(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario)

    def test_a_stream_taken_up_twice_goes_on_at_its_first_version(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            await take_up(deployment, streams, events=2 * EVENTS // 3)
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario)

    def test_a_stream_whose_router_died_goes_on_at_its_version(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS, vms=ROUTERS[:1])
            await deployment.routers[ROUTERS[0]].kill()
            await take_up(deployment, streams, vms=ROUTERS[1:])
            await self.check(deployment, streams, vms=ROUTERS[1:])

        self.with_versions(scenario)

    def test_an_engine_back_with_new_software_gets_no_streams_of_the_old_one(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            for engine in deployment.engines[:1]:
                await self.restart_with(engine, NEW, deployment.store)
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario, versions=(OLD,) * 6)

    async def restart_with(
        self, engine, version, store: PlatformStoreStandin, *, registers=True
    ):
        await engine.stop()
        await asyncio.sleep(0.3)
        engine.software_version = version
        await engine.restart()
        engine.faults = []
        if registers:
            await engine.register(store)
