"""Decisions of routers whose view of the others, or of the store, is out of date.

Clocks and the age of a view are set, so that the order of the events decides and not
their times. The page on design, docs/design/freshness.md, lists the decisions.
"""

import asyncio
from unittest import mock

from lynxchute.clock import steady_seconds
from lynxchute.edge import application
from lynxchute.resumption import version_record
from lynxchute.store import Row, RowId, TableFeed
from lynxchute.store.feed import FeedTimes
from lynxchute.store.rows import Changes, Snapshot
from lynxchute.upstreams.cold_admission import HeldRank
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.rate_sharing import MostlyCentral, TurnPosition
from lynxchute.upstreams.statement import DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream
from tests.partition_play import RouterPartitions
from tests.platform_support import ACCOUNT, PlatformTestCase
from tests.support import AsyncTestCase, until
from tests.test_stream_versions import STREAMS
from tests.test_versions_out_of_step import (
    LONG_SECONDS,
    SHORT_SECONDS,
    OutOfStepCase,
)
from tests.version_play import NEW, OLD, ROUTERS, VERSIONS, begin, mixed, take_up

# Routers that run before a cut, and others that start during it.
EARLY, LATE = ("a-1", "b-1"), ("a-2", "b-2")
# Room for a row that names one version of each service.
ONE_VERSION_BYTES = 45
# Seconds after which the row has dropped a version that left, with streams of 4 s.
DROPPED_SECONDS = 11.0
# Batches of streams of which one is at a process that was replaced.
MAX_BATCHES = 5


async def start_apart(deployment, partitions):
    """Start routers that those which are cut off from the store do not hear of."""
    partitions.cut_store(EARLY)
    for vm in LATE:
        await deployment.start_router(vm)
        await partitions.follow(vm)
    partitions.cut_peers(EARLY, LATE)
    routers = [deployment.routers[vm] for vm in LATE]
    total = len(EARLY) + len(LATE)
    await until(lambda: all(r.members.count == total for r in routers))
    await until(lambda: all(r.is_ready() for r in routers))
    for vm in EARLY:
        assert deployment.routers[vm].members.count == len(EARLY)


class SoleVersionClaimTest(OutOfStepCase):
    """Guards against streams joined from two versions if one counts as the only one."""

    def test_routers_that_missed_the_start_of_others_agree_on_no_version(self):
        async def scenario(deployment):
            async with RouterPartitions(deployment) as partitions:
                await begin(deployment, 4, vms=EARLY, events=None)
                await start_apart(deployment, partitions)
                await self.add_engines(deployment, LATE)
                streams = await self.begin_at_both(deployment, LATE)
                await take_up(deployment, streams, vms=EARLY)
                self.assertEqual(0, len(mixed(streams)), "streams of two versions")

        self.with_view_age(SHORT_SECONDS, scenario, routers=EARLY)

    def test_a_version_that_the_row_has_no_room_for_is_not_left_out(self):
        async def scenario(deployment):
            async with RouterPartitions(deployment) as partitions:
                await begin(deployment, len(ROUTERS), events=None)
                others = [vm for vm in ROUTERS if vm != "a-2"]
                deployment.faults("a-2").hides_changes = True
                partitions.cut_peers(["a-2"], ROUTERS)
                await self.add_engines(deployment, others)
                streams = await self.begin_at_both(deployment, others)
                await take_up(deployment, streams, vms=["a-2"])
                self.assertEqual(0, len(mixed(streams)), "streams of two versions")

        with mock.patch.object(version_record, "MAX_ROW_BYTES", ONE_VERSION_BYTES):
            self.with_view_age(SHORT_SECONDS, scenario)

    async def check_replaced(self, deployment):
        """Check streams that begin at an engine which has come back as another one."""
        streams = []
        for _ in range(MAX_BATCHES):
            streams = await begin(deployment, STREAMS, vms=["a-2"])
            if any(stream.versions == {NEW} for stream in streams):
                break
        self.assertIn({NEW}, [stream.versions for stream in streams])
        await take_up(deployment, streams, vms=["a-2"])
        self.assertEqual(0, len(mixed(streams)), "streams of two versions")

    def test_a_stream_at_a_process_replaced_unseen_is_not_joined(self):
        async def scenario(deployment):
            async with RouterPartitions(deployment) as partitions:
                await begin(deployment, len(ROUTERS), events=None)
                partitions.cut(["a-2"])
                engine = deployment.engines[0]
                await self.restart_with(engine, NEW, deployment.store)
                await self.check_replaced(deployment)

        self.with_view_age(LONG_SECONDS, scenario)

    def test_answers_without_changes_do_not_prove_that_no_process_was_replaced(self):
        async def scenario(deployment):
            await begin(deployment, len(ROUTERS), events=None)
            deployment.faults("a-2").hides_changes = True
            await self.restart_with(deployment.engines[0], NEW, deployment.store)
            registered_at = steady_seconds()
            directory = deployment.routers["a-2"].directory
            await until(lambda: directory.restarts_known_until() > registered_at)
            await self.check_replaced(deployment)

        self.with_versions(scenario, versions=(OLD,) * 3)


class DroppedVersionClaimTest(OutOfStepCase):
    """Guards against streams joined since others saw their version leave long ago."""

    def test_a_version_that_the_row_has_dropped_begins_no_streams(self):
        async def scenario(deployment):
            async with RouterPartitions(deployment) as partitions:
                await begin(deployment, len(ROUTERS), events=None)
                others = [vm for vm in ROUTERS if vm != "a-2"]
                partitions.cut(["a-2"])
                await self.add_engines(deployment, others)
                for engine in deployment.engines:
                    if engine.software_version == OLD:
                        await deployment.store.drop("servers", engine.id)
                await asyncio.sleep(DROPPED_SECONDS)
                streams = await begin(deployment, STREAMS, vms=["a-2"])
                streams = [stream for stream in streams if stream.first_attempt]
                await take_up(deployment, streams, vms=others)
                self.assertEqual(0, len(mixed(streams)), "streams of two versions")

        with mock.patch.object(application, "RETURN_SECONDS", 1.0):
            self.with_view_age(SHORT_SECONDS, scenario)


class RestoredStoreClaimTest(OutOfStepCase):
    """Guards against rows of a copy that count as all that was ever written."""

    def test_no_stream_goes_by_the_default_version_of_a_copy(self):
        async def scenario(deployment):
            await begin(deployment, STREAMS, events=None)
            copy = deployment.store.version
            streams = await begin(deployment, STREAMS)
            self.assertIn({NEW}, [stream.versions for stream in streams])
            for vm in ROUTERS:
                await deployment.routers[vm].kill()
            await deployment.store.restore_copy(copy)
            for vm in ROUTERS:
                await deployment.start_router(vm)
            routers = deployment.routers
            await until(lambda: all(routers[vm].is_ready() for vm in ROUTERS))
            # Tokens are held back after a restore, so that no stream is taken up yet.
            find = routers["a-2"].origins.find
            lookups = await asyncio.gather(
                *(find(ACCOUNT, stream.first_attempt, "pool") for stream in streams)
            )
            wrong = []
            for stream, lookup in zip(streams, lookups, strict=True):
                if lookup.origin is None:
                    continue
                if lookup.origin.software_version not in stream.versions:
                    wrong.append(lookup.source)
            self.assertEqual(0, len(wrong), wrong[:1])

        self.with_versions(scenario, versions=VERSIONS)


class RetryClaimTest(PlatformTestCase):
    """Guards against retries beyond the limit of all routers together."""

    def test_a_copy_without_the_mark_does_not_tell_that_no_retries_were_sent(self):
        async def scenario(deployment):
            first = deployment.routers["a-1"]
            copy = deployment.store.version
            await first.retry_mark.ensure()
            self.assertLess(steady_seconds(), first.retry_mark.until)
            await first.kill()
            await deployment.store.restore_copy(copy)
            router = await deployment.start_router("a-1")
            await until(router.registry.members_known.is_set)
            self.assertFalse(router.retries.knows_window(steady_seconds()))

        self.with_platform(scenario, routers=("a-1",))

    def test_routers_that_missed_the_start_of_others_share_the_retries(self):
        async def scenario(deployment):
            async with RouterPartitions(deployment) as partitions:
                for vm in EARLY:
                    await deployment.routers[vm].retry_mark.ensure()
                await start_apart(deployment, partitions)
                for vm in LATE:
                    await deployment.routers[vm].retry_mark.ensure()
                bounds = deployment.routers["a-1"].settings.bounds
                # By then each router knows its own retries of a whole window.
                now = steady_seconds() + bounds.retry_window
                sent = 0
                for router in deployment.routers.values():
                    while router.retries.spend("app", now):
                        sent += 1
                self.assertLessEqual(sent, bounds.retry_extra)

        self.with_platform(scenario, routers=EARLY)


class SlotClaimTest(PlatformTestCase):
    """Guards against slots of a brittle upstream that belong to two routers."""

    def test_routers_that_missed_the_start_of_others_share_the_slots(self):
        async def scenario(deployment):
            async with RouterPartitions(deployment) as partitions:
                await start_apart(deployment, partitions)
                engine, now = deployment.engines[0], steady_seconds()
                shares = []
                for router in deployment.routers.values():
                    entry = router.directory.entries_by_id[engine.id]
                    statement = DeclaredBackpressure(max_rejections=1)
                    router.directory.record_declaration(
                        entry, statement, asked_at=now, now=now
                    )
                    shares.append(router.send_gate.shares.share(entry, now))
                self.assertLessEqual(sum(shares), entry.upstream.slots)

        self.with_platform(scenario, routers=EARLY)


class _LateStore:
    """A store whose answer with changes waits while the router's process is stopped.

    Attributes
    ----------
    now
        The time on the router's clock, in seconds.
    """

    def __init__(self, stopped_seconds):
        self.now = 0.0
        self._stopped_seconds = stopped_seconds
        self._has_answered = False

    async def scan(self, table):
        return Snapshot((), 1)

    async def changes(self, table, *, after, wait):
        if self._has_answered:
            # The router is cut off from here on.
            await asyncio.Event().wait()
        self._has_answered = True
        self.now += self._stopped_seconds
        return Changes((Row(RowId(table, "row"), b"{}", 2),), 2)


class ConfirmedRankTest(AsyncTestCase):
    """Guards against two routers that both admit requests as the first one."""

    RATE = 100.0
    # A process may stand still for almost as long as a poll may last.
    STOPPED_SECONDS = 2.4
    # When another router has been registered that comes first, in seconds; the answer
    # that waits is older.
    REGISTERED_AT = 0.2
    BEGIN, END, STEP = 3.3, 4.6, 0.001
    # Share of the limit that may be admitted centrally: routers send a quarter of it by
    # turns, and an upstream tolerates one and a half times its limit.
    MAX_SHARE = 1.25

    def rates(self, began_at, silence):
        return RateLimits(
            MostlyCentral(),
            lambda service, now: HeldRank(0, now - began_at),
            lambda service: TurnPosition(0, 2),
            lambda now: int(now * 1000.0) + 1,
            silence,
        )

    def test_an_answer_that_waited_in_the_socket_confirms_no_rank(self):
        async def scenario():
            store = _LateStore(self.STOPPED_SECONDS)
            feed = TableFeed(
                store,
                "fleet",
                times=FeedTimes(),
                on_row=lambda row: None,
                clock=lambda: store.now,
            )
            await feed.start()
            await until(lambda: feed.rows_by_key)
            before = self.rates(-60.0, feed.seconds_since_answer)
            after = self.rates(self.REGISTERED_AT, lambda now: 0.0)
            entry = UpstreamEntry(Upstream("e", "pool", "127.0.0.1:1", "a"))
            entry.backpressure.record_answer(
                DeclaredBackpressure(self.RATE), asked_at=0.0, now=0.0, clock_ms=0
            )
            admitted, now = 0, self.BEGIN
            while now < self.END:
                admitted += before.admit(entry, now) + after.admit(entry, now)
                now += self.STEP
            await feed.stop()
            most = self.MAX_SHARE * self.RATE * (self.END - self.BEGIN)
            self.assertLessEqual(admitted, most)

        self.run_async(scenario())
