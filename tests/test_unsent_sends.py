"""Sends that are given up, or on a path that is lost, before they have left."""

import asyncio
from unittest import mock

from lynxchute.http import HttpClient
from lynxchute.http.client import AbortHandle
from lynxchute.upstreams.entry import OpenSend
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.test_health_pause import SilenceVerdictTestCase


class GivenUpBeforeSentTest(PlatformTestCase):
    """Guards against sends that leave although they were given up."""

    def test_a_send_that_is_given_up_as_it_connects_is_not_sent(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            connect, given_up = HttpClient._connect, []

            async def give_up(client, *arguments):
                connection = await connect(client, *arguments)
                for entry in router.directory.entries_by_id.values():
                    for send in entry.open_sends:
                        if not given_up:
                            given_up.append(send)
                            send.cancel()
                return connection

            with mock.patch.object(HttpClient, "_connect", give_up):
                status, _, _ = await PlatformCaller(deployment).send(
                    "POST", "/unsafe/x", b"order"
                )
            self.assertEqual(1, len(given_up))
            arrivals = [a for app in deployment.apps for a in app.arrivals]
            self.assertEqual((200, 1), (status, len(arrivals)))

        self.with_platform(scenario, routers=("a-1",), apps=2)


class LostPathTest(SilenceVerdictTestCase):
    """Guards against sends that are given up while they have no connection yet."""

    def give_up(self, connection):
        async def work():
            handle = AbortHandle(connection)
            send = OpenSend(handle, lambda: True, heard_at=self.now)
            self.directory.entries_by_id["b1"].open_sends.add(send)
            self.watch.give_up_direct_sends("b1:1", hangs=True)
            while self.watch.tasks._tasks:
                await asyncio.sleep(0)
            return send.is_cancelled

        return self.run_async(work())

    def test_a_send_without_a_connection_is_kept(self):
        self.assertFalse(self.give_up(None))

    def test_a_send_on_a_direct_connection_is_given_up(self):
        self.assertTrue(self.give_up(mock.Mock(via="")))

    def test_a_send_through_another_router_is_kept(self):
        self.assertFalse(self.give_up(mock.Mock(via="a-2")))
