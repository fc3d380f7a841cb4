"""Streams that go on while engines of two software versions serve.

Guards against streams that hold events of two software versions, and against broken
streams that are refused although engines of their version serve.
"""

import asyncio

from lynxchute.standins.platform_store import Outage, PlatformStoreStandin
from lynxchute.standins.upstream_run import Fault
from lynxchute.upstreams.engines import EngineUnavailable
from tests.platform_support import KEY, PlatformCaller, PlatformTestCase
from tests.support import until
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
# Seconds until routers know that the store or other routers are away.
OUTAGE_SECONDS = 3.0
# Seconds until routers have written the origins that they know.
PUBLISH_SECONDS = 1.0
# Seconds until streams have brought several events.
BEGUN_SECONDS = 0.5
EIGHT_ROUTERS = (*ROUTERS, "a-3", "a-4", "b-3", "b-4")
OTHER_KEY = "key-of-another"


class StreamVersionCase(PlatformTestCase):
    def with_versions(self, scenario, *, versions=VERSIONS, routers=ROUTERS):
        async def prepared(deployment):
            prepare(deployment)
            tenants = [
                {"name": "kanda", "api_keys": [KEY], "prepaid": 1_000_000},
                {"name": "another", "api_keys": [OTHER_KEY], "prepaid": 1_000_000},
            ]
            await deployment.configure(version=2, tenants=tenants)
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

    async def replace(self, deployment, engine):
        """Replace an engine by a process with another id and other software."""
        await deployment.store.drop("servers", engine.id)
        await engine.stop()
        engine.software_version = NEW
        engine.faults = []
        await engine.start_new_process(deployment.store)
        routers = deployment.routers.values()
        await until(
            lambda: all(engine.id in r.directory.entries_by_id for r in routers)
        )

    async def restart_routers(self, deployment):
        for vm in ROUTERS:
            await deployment.routers[vm].kill()
        for vm in ROUTERS:
            await deployment.start_router(vm)
        vms = deployment.routers
        await until(lambda: all(deployment.routers[vm].is_ready() for vm in vms))


class StreamVersionTest(StreamVersionCase):
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

    def test_a_stream_is_refused_once_no_engine_of_its_version_serves(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            old = [s for s in streams if s.versions == {OLD}]
            for engine in deployment.engines[1:3]:
                await deployment.store.drop("servers", engine.id)
            (last,) = deployment.engines[:1]
            last.state = "draining"
            await last.register(deployment.store)
            routers = deployment.routers.values()
            await until(lambda: all(r.directory.count() == 5 for r in routers))
            await take_up(deployment, streams)
            await self.check(deployment, [s for s in streams if s not in old])
            self.assertGreater(len(old), 0)
            for stream in old:
                self.assertEqual([200, 503], stream.statuses)
                self.assertIn("software-version-gone", stream.reasons[0])
                self.assertIn('"run": "not_run"', stream.reasons[0])

        self.with_versions(scenario)

    def test_a_stream_that_no_router_knows_is_refused_at_once(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            loop = asyncio.get_running_loop()
            began = loop.time()
            for stream in streams:
                stream.first_attempt = "not-" + stream.first_attempt
            await take_up(deployment, streams)
            self.assertLess(loop.time() - began, 1.0)
            for stream in streams:
                self.assertEqual([200, 503], stream.statuses)
                self.assertIn("stream-origin-unknown", stream.reasons[0])

        self.with_versions(scenario)

    def test_a_stream_of_another_account_is_not_found(self):
        async def scenario(deployment):
            (stream,) = await begin(deployment, 1)
            caller = PlatformCaller(deployment, "b-1", key=OTHER_KEY)
            extra = [("Last-Event-Id", "4"), ("Resumes", stream.first_attempt)]
            status, _, body = await caller.stream(extra=extra)
            self.assertEqual(503, status)
            self.assertIn(b"stream-origin-unknown", body)

        self.with_versions(scenario)

    def test_streams_go_on_after_all_routers_restart_while_one_version_serves(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            await self.restart_routers(deployment)
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario, versions=(OLD,) * 6)

    def test_streams_go_on_after_all_routers_restart(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            await asyncio.sleep(PUBLISH_SECONDS)
            await self.restart_routers(deployment)
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario)

    def test_streams_go_on_after_routers_are_replaced_one_by_one(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            for vm in ROUTERS:
                await deployment.routers[vm].drain()
                await deployment.routers[vm].kill()
                await deployment.start_router(vm)
                await until(lambda vm=vm: deployment.is_settled(vm))
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario)

    def test_streams_go_on_while_engines_are_replaced_one_by_one(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            for engine in deployment.engines:
                await self.replace(deployment, engine)
                streams += await begin(deployment, STREAMS // 4)
                await take_up(deployment, streams)
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")
            await self.check(deployment, await begin(deployment, STREAMS, events=None))

        self.with_versions(scenario, versions=(OLD,) * 6)

    def test_a_version_that_has_left_is_not_confused_with_the_only_one(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            for engine in deployment.engines[:3]:
                await engine.stop()
                await deployment.store.drop("servers", engine.id)
            routers = deployment.routers.values()
            await until(lambda: all(r.directory.count() == 5 for r in routers))
            await self.restart_routers(deployment)
            await take_up(deployment, streams)
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")

        self.with_versions(scenario)


class StreamVersionOutageTest(StreamVersionCase):
    """The store, other routers, or both are away when streams are taken up."""

    async def lose_store(self, deployment):
        for vm in ROUTERS:
            deployment.faults(vm).outage = Outage.BUSY
        await asyncio.sleep(OUTAGE_SECONDS)

    def test_streams_go_on_without_the_store(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            await self.lose_store(deployment)
            streams += await begin(deployment, STREAMS)
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario)

    def test_streams_of_unnamed_attempts_go_on_without_the_store_at_one_version(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            await self.lose_store(deployment)
            for stream in streams:
                stream.first_attempt = ""
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario, versions=(OLD,) * 6)

    def test_an_engine_back_with_new_software_without_the_store_gets_no_old_streams(
        self,
    ):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            await self.lose_store(deployment)
            for engine in deployment.engines[:2]:
                await self.restart_with(engine, NEW, deployment.store, registers=False)
            streams += await begin(deployment, STREAMS)
            await take_up(deployment, streams)
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")

        self.with_versions(scenario, versions=(OLD,) * 6)

    def test_streams_of_an_engine_that_restarted_unseen_and_ended_do_not_mix(self):
        async def scenario(deployment):
            await self.lose_store(deployment)
            for engine in deployment.engines[:2]:
                await self.restart_with(engine, NEW, deployment.store, registers=False)
            streams = await begin(deployment, STREAMS)
            for engine in deployment.engines[:2]:
                await engine.stop()
            await take_up(deployment, streams)
            self.assertIn({NEW}, [stream.versions for stream in streams])
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")

        self.with_versions(scenario)

    def test_such_streams_do_not_mix_either_once_the_store_is_back(self):
        async def scenario(deployment):
            await self.lose_store(deployment)
            restarted = {engine.id for engine in deployment.engines[:2]}
            for engine in deployment.engines[:2]:
                await self.restart_with(engine, NEW, deployment.store, registers=False)
            self.lose_probes(deployment, restarted)
            streams = await begin(deployment, STREAMS)
            for engine in deployment.engines[:2]:
                await engine.stop()
            for vm in ROUTERS:
                deployment.faults(vm).outage = Outage.NONE
            await asyncio.sleep(2 * OUTAGE_SECONDS)
            await take_up(deployment, streams)
            self.assertIn({NEW}, [stream.versions for stream in streams])
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")

        self.with_versions(scenario)

    def lose_probes(self, deployment, upstream_ids):
        """Lose the probes of some upstreams, as if they had ended just before."""
        for router in deployment.routers.values():
            engines = router.origins._prover._engines

            async def probe(upstream, ask=engines.probe):
                if upstream.id in upstream_ids:
                    raise EngineUnavailable("lost")
                return await ask(upstream)

            engines.probe = probe

    def test_streams_broken_off_by_an_engine_that_restarted_unseen_do_not_mix(self):
        async def scenario(deployment):
            await self.lose_store(deployment)
            for engine in deployment.engines[:2]:
                await self.restart_with(engine, NEW, deployment.store, registers=False)
                engine.event_delay = 0.1
            begun = asyncio.create_task(begin(deployment, STREAMS, events=None))
            restarted = deployment.engines[:2]
            await until(lambda: any(engine.runs for engine in restarted))
            await asyncio.sleep(BEGUN_SECONDS)
            for engine in deployment.engines[:2]:
                await engine.stop()
            streams = await begun
            self.assertIn({NEW}, [stream.versions for stream in streams])
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")

        self.with_versions(scenario)

    def test_streams_go_on_while_routers_do_not_reach_one_another(self):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS)
            for router in deployment.routers.values():
                router.peers.address_of = lambda member: "127.0.0.1:1"
            await asyncio.sleep(OUTAGE_SECONDS)
            streams += await begin(deployment, STREAMS)
            await take_up(deployment, streams)
            await self.check(deployment, streams)

        self.with_versions(scenario)

    def test_eight_routers_that_do_not_reach_one_another_find_origins_in_the_store(
        self,
    ):
        async def scenario(deployment):
            streams = await begin(deployment, STREAMS, vms=EIGHT_ROUTERS)
            for router in deployment.routers.values():
                router.peers.address_of = lambda member: "127.0.0.1:1"
            await asyncio.sleep(OUTAGE_SECONDS)
            # What routers send one another tells them that they are apart.
            streams += await begin(deployment, STREAMS, vms=EIGHT_ROUTERS)
            await asyncio.sleep(OUTAGE_SECONDS)
            await take_up(deployment, streams, vms=EIGHT_ROUTERS)
            self.assertEqual(0, len(mixed(streams)), "streams of two versions")
            # Budgets refuse some, as they do new streams.
            reasons = "".join(reason for s in streams for reason in s.reasons)
            self.assertNotIn("stream-origin-unknown", reasons)
            begun = [stream for stream in streams if stream.first_attempt]
            new = await begin(deployment, STREAMS, vms=EIGHT_ROUTERS, events=None)
            self.assertGreaterEqual(whole_share(begun), MIN_SHARE * whole_share(new))

        self.with_versions(scenario, routers=EIGHT_ROUTERS)
