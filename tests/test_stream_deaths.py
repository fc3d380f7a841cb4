"""Streams that are taken up after all routers died, while versions come and leave.

The versions are observed too seldom to be written by chance before the deaths.
"""

import asyncio
from unittest import mock

from lynxchute.resumption import origin_rows, stream_origins, version_record
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.platform_support import free_port
from tests.support import until
from tests.test_stream_versions import STREAMS, StreamVersionCase
from tests.version_play import (
    EVENTS,
    NEW,
    OLD,
    ROUTERS,
    VERSIONS,
    begin,
    mixed,
    take_up,
    whole_share,
)

SELDOM_SECONDS = 60.0
# Seconds until a router that starts on a busy machine has read the versions.
START_SECONDS = 0.6


class StreamDeathsCase(StreamVersionCase):
    def with_seldom_observed(self, scenario, **options):
        with mock.patch.object(version_record, "OBSERVE_SECONDS", SELDOM_SECONDS):
            self.with_versions(scenario, **options)

    async def kill_routers(self, deployment):
        for vm in ROUTERS:
            await deployment.routers[vm].kill()

    async def start_routers(self, deployment):
        for vm in ROUTERS:
            await deployment.start_router(vm)
        routers = deployment.routers
        await until(lambda: all(routers[vm].is_ready() for vm in ROUTERS))

    async def add_engines(self, deployment, version, count):
        """Register engines, and wait until all routers know them."""
        for number in range(count):
            engine = PlatformUpstreamStandin("pool", "ab"[number % 2], events=EVENTS)
            engine.event_delay, engine.software_version = 0.01, version
            await engine.start(free_port())
            await engine.register(deployment.store)
            deployment.engines.append(engine)
        routers = deployment.routers.values()
        total = len(deployment.upstreams)
        await until(lambda: all(r.directory.count() == total for r in routers))

    async def remove_engines(self, deployment, version):
        for engine in deployment.engines:
            if engine.software_version == version:
                await deployment.store.drop("servers", engine.id)
                await engine.stop()

    def check_new_streams(self, new):
        self.assertGreater(whole_share(new), 0.9)


class JoinedStreamsTest(StreamDeathsCase):
    """Guards against streams joined from two versions after the death of all."""

    def test_a_new_version_that_leaves_during_the_deaths_is_not_forgotten(self):
        async def scenario(deployment):
            await self.add_engines(deployment, NEW, 2)
            streams = await begin(deployment, STREAMS)
            await self.kill_routers(deployment)
            await self.remove_engines(deployment, NEW)
            await self.start_routers(deployment)
            self.assertIn({NEW}, [stream.versions for stream in streams])
            await take_up(deployment, streams)
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")
            self.check_new_streams(await begin(deployment, STREAMS, events=None))

        self.with_seldom_observed(scenario, versions=(OLD,) * 4)

    def test_a_version_of_a_deployment_just_started_is_not_forgotten(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            await self.kill_routers(deployment)
            await self.remove_engines(deployment, NEW)
            await self.start_routers(deployment)
            await take_up(deployment, streams)
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")
            self.check_new_streams(await begin(deployment, STREAMS, events=None))

        self.with_seldom_observed(scenario)

    def test_a_version_that_cannot_be_recorded_begins_no_streams(self):
        async def scenario(deployment):
            await begin(deployment, 4, events=None)
            write = deployment.store._write

            async def fail_version_rows(faults, request, respond):
                puts = request.json().get("puts") or []
                if any(put["key"] == version_record.ROW_KEY for put in puts):
                    respond.abort()
                    return
                await write(faults, request, respond)

            with mock.patch.object(deployment.store, "_write", fail_version_rows):
                await self.add_engines(deployment, NEW, 2)
                streams = await begin(deployment, STREAMS, events=None)
            self.assertEqual(1.0, whole_share(streams))
            self.assertEqual([{OLD}] * STREAMS, [s.versions for s in streams])

        self.with_seldom_observed(scenario, versions=(OLD,) * 4)


class LargeFleetTest(StreamDeathsCase):
    """Guards against a write a stream in fleets whose rows no router reads."""

    def test_a_large_fleet_stores_no_origin_before_a_stream_begins(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS, events=None)
            self.assertEqual(1.0, whole_share(streams))
            self.assertIn({NEW}, [stream.versions for stream in streams])
            for router in deployment.routers.values():
                self.assertEqual({}, router.origins.rows._begun_by_key)

        with mock.patch.object(stream_origins, "MAX_OWNERS", len(ROUTERS) - 1):
            self.with_seldom_observed(scenario)


class StartingRouterTest(StreamDeathsCase):
    """Guards against streams refused by routers that have not read the versions yet."""

    def test_streams_wait_until_a_router_that_starts_has_read_the_versions(self):
        async def scenario(deployment):
            await begin(deployment, 4, events=None)
            loop = asyncio.get_running_loop()
            for router in deployment.routers.values():
                record = router.origins._version_record
                known = record._is_table_known, record._gone_by_service
                record._is_table_known, record._gone_by_service = (lambda: False), {}

                def learn(record=record, known=known):
                    record._is_table_known, record._gone_by_service = known

                loop.call_later(START_SECONDS, learn)
            streams = await begin(deployment, STREAMS, events=None)
            self.assertEqual(1.0, whole_share(streams))

        self.with_seldom_observed(scenario)


class FullRowTest(StreamDeathsCase):
    """Guards against streams that are cut, or joined, as a row of origins is full."""

    def test_streams_begin_while_the_row_of_origins_is_full_and_do_not_mix(self):
        async def scenario(deployment):
            whole = await begin(deployment, STREAMS, events=None)
            self.assertEqual(1.0, whole_share(whole))
            streams = await begin(deployment, STREAMS)
            at_new = sum(stream.versions == {NEW} for stream in whole + streams)
            self.assertGreater(at_new, STREAMS / 2)
            await self.kill_routers(deployment)
            await self.start_routers(deployment)
            await take_up(deployment, streams)
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")
            self.check_new_streams(await begin(deployment, STREAMS, events=None))

        with mock.patch.object(origin_rows, "MAX_ROW_ORIGINS", 3):
            self.with_seldom_observed(scenario)


class LostStreamsTest(StreamDeathsCase):
    """Guards against refusing streams after the death of all whose version serves."""

    async def check_going_on(self, deployment, streams):
        await take_up(deployment, streams)
        self.assertEqual(0, len(mixed(streams)), "streams of two versions")
        new = await begin(deployment, STREAMS, events=None)
        self.check_new_streams(new)
        self.assertGreaterEqual(whole_share(streams), 0.5 * whole_share(new))

    def test_streams_go_on_that_began_just_before_all_routers_died(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS, events=1)
            await self.kill_routers(deployment)
            await self.start_routers(deployment)
            await self.check_going_on(deployment, streams)

        self.with_seldom_observed(scenario, versions=VERSIONS)

    def test_streams_go_on_that_began_in_an_outage_at_whose_end_all_routers_died(self):
        async def scenario(deployment):
            await begin(deployment, 4, events=None)
            for vm in ROUTERS:
                deployment.faults(vm).outage = Outage.SILENT
            await asyncio.sleep(2.0)
            streams = await begin(deployment, STREAMS)
            await self.kill_routers(deployment)
            for vm in ROUTERS:
                deployment.faults(vm).outage = Outage.NONE
            await self.start_routers(deployment)
            await self.check_going_on(deployment, streams)

        self.with_seldom_observed(scenario, versions=VERSIONS)
