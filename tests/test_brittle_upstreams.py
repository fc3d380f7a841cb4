"""Upstreams that fall over if they have to reject many requests.

Guards against routers that go on filling them, so that all of them fall again and
again.
"""

import asyncio

import attrs
import testtools
from hypothesis import given
from hypothesis import strategies as st

from lynxchute.standins.link import Partition
from lynxchute.standins.places import Places
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.slot_shares import (
    REJECTED_SECONDS,
    SERVICE_SECONDS,
    FleetPosition,
    SlotShares,
    slot_share,
)
from lynxchute.upstreams.statement import DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream
from tests.platform_support import PlatformTestCase
from tests.press import plain
from tests.test_lost_upstream_links import call_all, served_share

ROUTERS = ("a-1", "a-2", "b-1", "b-2")
UPSTREAMS, SLOTS, ROOM, MAX_REJECTIONS = 4, 2, 16, 4
WORK_SECONDS = 0.133
NOTICE_SECONDS, MEASURED_SECONDS = 3.0, 6.0
# The guarantee: in one time in which they are brittle, the upstreams of a service fall
# no more often than this.
MAX_FALLS = 2 + 0.1 * UPSTREAMS
# Most of what the upstreams bear must be served.
MIN_SERVED_SHARE = 0.7


class SlotShareTest(testtools.TestCase):
    @given(
        slots=st.dictionaries(st.text(max_size=3), st.integers(0, 70), max_size=12),
        routers=st.integers(1, 40),
    )
    def test_each_slot_belongs_to_one_router(self, slots, routers):
        positions = [FleetPosition(rank, routers) for rank in range(routers)]
        totals = [0] * routers
        for name, count in slots.items():
            shares = [slot_share(name, slots, position) for position in positions]
            self.assertEqual(count, sum(shares))
            self.assertGreaterEqual(min(shares), 0)
            for rank, share in enumerate(shares):
                totals[rank] += share
        self.assertLessEqual(max(totals) - min(totals), 1)


class SlotSharesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        for name in ("u1", "u2", "v1"):
            self.directory.put(Upstream(name, name[0], f"{name}:1", "a", slots=4))
        self.position = FleetPosition(0, 2)
        self.shares = SlotShares(self.directory, lambda service: self.position)

    def entry(self, name):
        return self.directory.entries_by_id[name]

    def record(self, name, max_rejections, now, *, asked_at=None, is_served=True):
        self.directory.record_declaration(
            self.entry(name),
            DeclaredBackpressure(max_rejections=max_rejections),
            asked_at=now if asked_at is None else asked_at,
            now=now,
            is_served=is_served,
        )

    def share(self, name, now):
        return self.shares.share(self.entry(name), now)

    def test_one_upstream_speaks_for_its_service(self):
        self.record("u1", 4, 10.0)
        self.assertEqual(
            [2, 2, None], [self.share(n, 10.0) for n in ("u1", "u2", "v1")]
        )
        self.assertIsNone(self.share("u2", 10.0 + SERVICE_SECONDS))
        self.assertEqual(2, self.share("u1", 10.0 + SERVICE_SECONDS))

    def test_a_newer_answer_without_the_word_ends_it_and_a_refusal_does_not(self):
        self.record("u1", 4, 10.0)
        self.record("u1", None, 10.2, asked_at=9.9)
        self.assertEqual(2, self.share("u1", 10.2))
        self.record("u1", None, 10.3, is_served=False)
        self.assertEqual(1, self.share("u1", 10.3))
        self.record("u1", None, 10.4)
        self.assertIsNone(self.share("u1", 10.4))

    def test_a_rejection_halves_the_share_for_a_while(self):
        self.record("u1", 4, 10.0)
        self.record("u1", 4, 10.5, is_served=False)
        self.assertEqual(1, self.share("u1", 10.6))
        self.assertEqual(2, self.share("u1", 10.5 + REJECTED_SECONDS))

    def test_the_word_ends_with_the_process(self):
        self.directory.put(attrs.evolve(self.entry("u1").upstream, started_ms=1000))
        self.record("u1", 4, 10.0)
        self.directory.put(attrs.evolve(self.entry("u1").upstream, started_ms=2000))
        self.assertIsNone(self.share("u1", 10.1))

    def test_a_router_without_a_rank_uses_one_slot(self):
        self.record("u1", 4, 10.0)
        self.position = None
        self.assertEqual(1, self.share("u1", 10.0))


class BrittleUpstreamsTest(PlatformTestCase):
    def with_brittle(self, scenario):
        async def prepared(deployment):
            for app in deployment.apps:
                app.event_delay = WORK_SECONDS
            return await scenario(deployment)

        return self.with_platform(
            prepared,
            routers=ROUTERS,
            apps=UPSTREAMS,
            engines=0,
            places=lambda: Places(SLOTS, ROOM),
            has_upstream_links=True,
        )

    def press(self, *, pause, cut=(), apart=False):
        """Return falls and requests served in a second while upstreams are brittle."""

        async def scenario(deployment):
            if apart:
                for router in deployment.routers.values():
                    router.peers.address_of = lambda member: "127.0.0.1:1"
            await call_all(deployment, ROUTERS, plain, 1.0, pause)
            for app in deployment.apps:
                app.places.become_brittle(MAX_REJECTIONS)
            await call_all(deployment, ROUTERS, plain, NOTICE_SECONDS, pause)
            if cut:
                deployment.partition(cut, Partition.REFUSE)
            calls = await call_all(deployment, ROUTERS, plain, MEASURED_SECONDS, pause)
            falls = sum(app.falls for app in deployment.apps)
            for app in deployment.apps:
                app.places.become_brittle(None)
            await asyncio.sleep(0.5)
            await call_all(deployment, ROUTERS, plain, 1.0, 0.2)
            after = await call_all(deployment, ROUTERS, plain, 1.0, 0.2)
            served = sum(
                status == 200 for found in calls.values() for status, _ in found
            )
            return falls, served / MEASURED_SECONDS, served_share(after, ROUTERS)

        return self.with_brittle(scenario)

    def test_upstreams_stay_up_beyond_what_they_bear(self):
        falls, served, after = self.press(pause=4 / 90)
        self.assertLessEqual(falls, MAX_FALLS)
        borne = UPSTREAMS * SLOTS / WORK_SECONDS
        self.assertGreaterEqual(served, MIN_SERVED_SHARE * borne)
        self.assertEqual(1.0, after)

    def test_all_is_served_below_what_they_bear(self):
        falls, served, _ = self.press(pause=4 / 30)
        self.assertEqual(0, falls)
        self.assertGreaterEqual(served, 0.95 * 30)

    def test_upstreams_stay_up_while_some_routers_have_lost_their_links(self):
        falls, _, _ = self.press(pause=4 / 90, cut=("a-1",))
        self.assertLessEqual(falls, MAX_FALLS)

    def test_upstreams_stay_up_while_routers_do_not_reach_one_another(self):
        falls, served, _ = self.press(pause=4 / 90, apart=True)
        self.assertLessEqual(falls, MAX_FALLS)
        borne = UPSTREAMS * SLOTS / WORK_SECONDS
        self.assertGreaterEqual(served, MIN_SERVED_SHARE * borne)
