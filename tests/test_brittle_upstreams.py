"""Upstreams that fall over if they have to reject many requests.

Guards against routers that go on filling them, so that all of them fall again and
again.
"""

import asyncio

from lynxchute.standins.link import Partition
from lynxchute.standins.places import Places
from tests.platform_support import PlatformTestCase
from tests.press import plain
from tests.test_lost_upstream_links import call_all, served_share

ROUTERS = ("a-1", "a-2", "b-1", "b-2")
UPSTREAMS, SLOTS, ROOM, MAX_REJECTIONS = 4, 2, 16, 4
SERVICE_SECONDS = 0.133
NOTICE_SECONDS, MEASURED_SECONDS = 3.0, 6.0
# The guarantee: in one time in which they are brittle, the upstreams of a service fall
# no more often than this.
MAX_FALLS = 2 + 0.1 * UPSTREAMS
# Most of what the upstreams bear must be served.
MIN_SERVED_SHARE = 0.7


class BrittleUpstreamsTest(PlatformTestCase):
    def with_brittle(self, scenario):
        async def prepared(deployment):
            for app in deployment.apps:
                app.event_delay = SERVICE_SECONDS
            return await scenario(deployment)

        return self.with_platform(
            prepared,
            routers=ROUTERS,
            apps=UPSTREAMS,
            engines=0,
            places=lambda: Places(SLOTS, ROOM),
            has_upstream_links=True,
        )

    def press(self, *, pause, cut=()):
        """Return falls and requests served in a second while upstreams are brittle."""

        async def scenario(deployment):
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
        borne = UPSTREAMS * SLOTS / SERVICE_SECONDS
        self.assertGreaterEqual(served, MIN_SERVED_SHARE * borne)
        self.assertEqual(1.0, after)

    def test_all_is_served_below_what_they_bear(self):
        falls, served, _ = self.press(pause=4 / 30)
        self.assertEqual(0, falls)
        self.assertGreaterEqual(served, 0.95 * 30)

    def test_upstreams_stay_up_while_some_routers_have_lost_their_links(self):
        falls, _, _ = self.press(pause=4 / 90, cut=("a-1",))
        self.assertLessEqual(falls, MAX_FALLS)
