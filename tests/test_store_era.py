"""The store comes back from a copy that lacks its last writes."""

import asyncio

from lynxchute.platform import names
from lynxchute.platform.store import PlatformStore
from lynxchute.standins.platform_store import Outage, PlatformStoreStandin
from lynxchute.store import (
    Committed,
    Conflict,
    Expected,
    HistoryLost,
    OutcomeUnknown,
    Put,
    RowId,
    StoreUnavailable,
    TableFeed,
    Write,
)
from lynxchute.store.era import join_version
from lynxchute.store.feed import REWRITE_SECONDS, FeedTimes
from tests.platform_support import (
    PlatformCaller,
    PlatformTestCase,
    configuration,
    route,
)
from tests.support import AsyncTestCase, until

# Seconds within which an acknowledged configuration must be in force.
CONFIGURATION_BOUND = 2.0
# Other writes between the copy and the restore; they are all lost.
LOST_WRITES = 200


async def write_rows(deployment, count=LOST_WRITES):
    """Advance the store's version by writes that no router follows."""
    for number in range(count):
        await deployment.store.put("other", "row", str(number).encode())


def newest(router):
    return router.configurations.current.version


def configuration_with(name, version):
    """Return a configuration that adds a public route."""
    added = route(name, f"/{name}/", "app", "safe", public=True)
    routes = [*configuration()["routes"], added]
    return {"version": version, "routes": routes}


class ConfigurationTest(PlatformTestCase):
    def test_configuration_acknowledged_after_a_restore_comes_into_force(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            copy = deployment.store.version
            await write_rows(deployment)
            await deployment.configure(version=2)
            await until(lambda: newest(router) == 2)
            await deployment.store.restore_copy(copy)
            await deployment.configure(**configuration_with("added", 3))
            await until(lambda: newest(router) == 3, CONFIGURATION_BOUND)
            status, _, _ = await PlatformCaller(deployment).send("GET", "/added/x")
            self.assertEqual(200, status)

        self.with_platform(scenario, routers=("a-1",))

    def test_configuration_never_goes_back_to_that_of_the_copy(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            copy = deployment.store.version
            await deployment.configure(**configuration_with("added", 2))
            await until(lambda: newest(router) == 2)
            store = deployment.store
            await store.restore_copy(copy, rewrites_outer_rows=False)
            await until(lambda: router.configurations.feed.rows_by_key)
            for _ in range(10):
                status, _, _ = await PlatformCaller(deployment).send("GET", "/added/x")
                self.assertEqual(200, status)
                await asyncio.sleep(0.05)
            self.assertEqual(2, newest(router))

        self.with_platform(scenario, routers=("a-1",))

    def test_router_behind_a_relay_follows_a_restored_store(self):
        async def scenario(deployment):
            router = deployment.routers["b-1"]
            copy = deployment.store.version
            await write_rows(deployment)
            await deployment.configure(version=2)
            await until(lambda: newest(router) == 2)
            deployment.faults("b-1").outage = Outage.RESET
            await until(lambda: router.platform.store._is_cut_off)
            await deployment.store.restore_copy(copy)
            await deployment.configure(version=3)
            await until(lambda: newest(router) == 3, CONFIGURATION_BOUND)

        self.with_platform(scenario)


class FleetTest(PlatformTestCase):
    def test_registration_that_the_copy_lacks_is_written_again(self):
        async def scenario(deployment):
            store, router = deployment.store, deployment.routers["a-1"]
            copy = store.version
            await deployment.start_router("b-1")
            await until(lambda: router.members.count == 2)
            await store.restore_copy(copy)
            self.assertIsNone(store.value("fleet", "router/b-1"))
            await until(lambda: store.value("fleet", "router/b-1"))
            await asyncio.sleep(REWRITE_SECONDS + 0.5)
            self.assertEqual(2, router.members.count)

        self.with_platform(scenario, routers=("a-1",))

    def test_secret_that_the_copy_lacks_is_written_again(self):
        async def scenario(deployment):
            store, router = deployment.store, deployment.routers["a-1"]
            secret = router.registry.secret
            await store.restore_copy(0)
            self.assertIsNone(store.value("fleet", "secret"))
            await until(lambda: store.value("fleet", "secret"))
            self.assertEqual(secret.encode(), store.value("fleet", "secret"))

        self.with_platform(scenario)

    def test_stop_mark_that_the_copy_lacks_is_written_again(self):
        async def scenario(deployment):
            store, router = deployment.store, deployment.routers["a-1"]
            copy = store.version
            await router.registry.register(router.members.mark_leaving())
            await store.restore_copy(copy)
            other = deployment.routers["b-1"]
            await until(lambda: router.registry.feed.version > join_version(1, 0))
            await asyncio.sleep(REWRITE_SECONDS)
            self.assertTrue(other.members.by_vm["a-1"].is_leaving)

        self.with_platform(scenario)


class UpstreamsTest(PlatformTestCase):
    def test_leaving_upstream_of_the_copy_gets_no_new_work(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            leaving = deployment.engines[0]
            copy = deployment.store.version
            leaving.state = "draining"
            await leaving.register(deployment.store)
            entry = router.directory.entries_by_id[leaving.id]
            await until(lambda: entry.is_leaving)
            await write_rows(deployment)
            await deployment.store.restore_copy(copy, rewrites_outer_rows=False)
            await deployment.configure(version=2)
            await until(lambda: newest(router) == 2)
            for _ in range(10):
                await PlatformCaller(deployment).stream()
                await asyncio.sleep(0.05)
            self.assertEqual([], leaving.runs)

        self.with_platform(scenario, routers=("a-1",))

    def test_removed_upstream_of_the_copy_gets_no_new_work(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            gone = deployment.engines[0]
            copy = deployment.store.version
            await deployment.store.drop(names.UPSTREAM_TABLE, gone.id)
            await until(lambda: router.directory.entries_by_id[gone.id].removed_at)
            await write_rows(deployment)
            await deployment.store.restore_copy(copy, rewrites_outer_rows=False)
            await deployment.configure(version=2)
            await until(lambda: newest(router) == 2)
            for _ in range(10):
                await PlatformCaller(deployment).stream()
                await asyncio.sleep(0.05)
            self.assertEqual([], gone.runs)

        self.with_platform(scenario, routers=("a-1",))


class EvacuationTest(PlatformTestCase):
    def test_evacuation_missing_in_the_copy_stays_in_force_until_it_is_rewritten(self):
        async def scenario(deployment):
            router, store = deployment.routers["a-1"], deployment.store
            key = f"{names.EVACUATION_PREFIX}b"
            copy = store.version
            await store.put(names.OPERATOR_TABLE, key, b"{}")
            await until(lambda: router.evacuations.is_evacuated("b"))
            ended = []
            router.evacuations.listeners.append(ended.append)
            await write_rows(deployment)
            await store.restore_copy(copy, rewrites_outer_rows=False)
            await deployment.configure(version=2)
            await until(lambda: newest(router) == 2)
            await store.put(names.OPERATOR_TABLE, key, b"{}")
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            self.assertEqual(([], True), (ended, router.evacuations.is_evacuated("b")))

        self.with_platform(scenario, routers=("a-1",))

    def test_revoked_evacuation_of_the_copy_does_not_come_back(self):
        async def scenario(deployment):
            router, store = deployment.routers["a-1"], deployment.store
            key = f"{names.EVACUATION_PREFIX}b"
            await store.put(names.OPERATOR_TABLE, key, b"{}")
            await until(lambda: router.evacuations.is_evacuated("b"))
            copy = store.version
            await store.drop(names.OPERATOR_TABLE, key)
            await until(lambda: not router.evacuations.is_evacuated("b"))
            begun = []
            router.evacuations.listeners.append(begun.append)
            await write_rows(deployment)
            await store.restore_copy(copy, rewrites_outer_rows=False)
            await deployment.configure(version=2)
            await until(lambda: newest(router) == 2)
            self.assertEqual([], begun)

        self.with_platform(scenario, routers=("a-1",))


class EraTest(AsyncTestCase):
    """One client of the store, without a router."""

    def with_store(self, scenario):
        async def work():
            standin = PlatformStoreStandin()
            port = await standin.open_port()
            try:
                await scenario(standin, PlatformStore(f"127.0.0.1:{port}"))
            finally:
                await standin.close()

        self.run_async(work())

    async def reuse_version(self, standin):
        """Restore a copy in which another value gets the version of a lost one."""
        copy = standin.version
        lost = await standin.put("own", "row", b"lost")
        await standin.restore_copy(copy)
        self.assertEqual(lost, await standin.put("own", "row", b"other"))
        return Write(
            (Expected(RowId("own", "row"), lost),), (Put(RowId("own", "row"), b"new"),)
        )

    def test_write_planned_on_a_reused_version_conflicts(self):
        async def scenario(standin, store):
            await store.scan("own")
            write = await self.reuse_version(standin)
            await store.scan("own")
            outcome = await store.write(write)
            self.assertIsInstance(outcome, Conflict)
            row = outcome.rows_by_id[RowId("own", "row")]
            self.assertEqual(b"other", row.value)
            again = Write((Expected(row.id, row.version),), write.puts)
            self.assertIsInstance(await store.write(again), Committed)

        self.with_store(scenario)

    def test_write_that_meets_an_unseen_restore_is_not_taken_for_committed(self):
        async def scenario(standin, store):
            await store.scan("own")
            write = await self.reuse_version(standin)
            with self.assertRaises(OutcomeUnknown):
                await store.write(write)
            self.assertIsInstance(await store.write(write), Conflict)

        self.with_store(scenario)

    def test_answers_of_an_earlier_era_are_not_applied(self):
        async def scenario(standin, store):
            version = (await store.scan("own")).version
            store.era.observe(1)
            with self.assertRaises(StoreUnavailable):
                await store.scan("own")
            with self.assertRaises(HistoryLost):
                await store.changes("own", after=version or 1, wait=0.0)
            with self.assertRaises(OutcomeUnknown):
                await store.write(Write((), (Put(RowId("own", "row"), b""),)))

        self.with_store(scenario)

    def test_store_without_eras_goes_on_as_before(self):
        async def scenario(standin, store):
            standin.era = None
            version = await standin.put("own", "row", b"1")
            snapshot = await store.scan("own")
            self.assertEqual(version, snapshot.rows[0].version)
            write = Write(
                (Expected(RowId("own", "row"), version),),
                (Put(RowId("own", "row"), b"2"),),
            )
            self.assertEqual(Committed(version + 1), await store.write(write))

        self.with_store(scenario)

    def test_missing_row_counts_as_deleted_once_its_owner_had_time(self):
        async def scenario(standin, store):
            deleted = []
            feed = TableFeed(
                store,
                "own",
                times=FeedTimes(wait=0.5, retry=0.05),
                on_row=lambda row: deleted.append(row.id.key) if row.deleted else None,
            )
            await feed.start()
            await standin.put("own", "old", b"1")
            copy = standin.version
            await standin.put("own", "kept", b"2")
            await standin.put("own", "lost", b"3")
            await until(lambda: len(feed.live_rows()) == 3)
            await standin.restore_copy(copy)
            await until(lambda: feed.version >= join_version(1, 1))
            await standin.put("own", "kept", b"2")
            self.assertEqual((3, []), (len(feed.live_rows()), deleted))
            await until(lambda: deleted, REWRITE_SECONDS + 1.0)
            self.assertEqual(["lost"], deleted)
            await feed.stop()

        self.with_store(scenario)
