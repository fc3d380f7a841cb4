"""Requests that travel through another router, as links to upstreams are lost."""

import asyncio
import time
from unittest import mock

import testtools

from lynxchute.clock import steady_seconds
from lynxchute.http import ExchangeError, LinkShare
from lynxchute.http.link_meter import UNLIMITED_LINK
from lynxchute.standins.link import Direction, Partition
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.upstream_run import Fault
from lynxchute.telemetry import Metrics
from lynxchute.tunnels.errors import FrameError
from lynxchute.tunnels.frames import (
    MAX_PAYLOAD_BYTES,
    Frame,
    FrameDecoder,
    FrameKind,
    decode_end,
    encode_data,
    encode_end,
)
from lynxchute.tunnels.paths import PathState
from lynxchute.tunnels.server import TunnelServer
from tests.platform_support import (
    ACCOUNT,
    PlatformCaller,
    PlatformTestCase,
    event_ids,
)
from tests.press import plain, stream
from tests.support import AsyncTestCase, until
from tests.test_lost_upstream_links import call_all, call_repeatedly, served_share

ROUTERS = ("a-1", "a-2", "b-1")


class FrameTest(testtools.TestCase):
    def test_bytes_arrive_as_written_in_pieces_of_any_size(self):
        sent = [b"a", b"", b"b" * (MAX_PAYLOAD_BYTES + 1), b"c" * 70_000]
        data = b"".join(encode_data(piece) for piece in sent)
        for size in (1, 7, 4096, len(data)):
            decoder, payloads = FrameDecoder(), []
            step = size if size > 1 else 1000
            for start in range(0, len(data), step):
                frames = decoder.decode(data[start : start + step])
                payloads.extend(frame.payload for frame in frames)
            self.assertEqual(b"".join(sent), b"".join(payloads))

    def test_other_bytes_are_no_frames(self):
        for data in (b"HTTP/1.1 200 OK", b"\x09\0\0\0\0", b"\0\xff\xff\xff\xff"):
            self.assertRaises(FrameError, FrameDecoder().decode, data)

    def test_an_end_says_how_much_was_acknowledged_or_nothing(self):
        for data, acknowledged in (
            (encode_end(0), 0),
            (encode_end(3_000_000), 3_000_000),
            (Frame(FrameKind.END).encode(), None),
        ):
            (frame,) = FrameDecoder().decode(data)
            self.assertEqual(acknowledged, decode_end(frame))

    def test_an_end_is_a_frame_of_its_own(self):
        frames = FrameDecoder().decode(
            encode_data(b"x") + Frame(FrameKind.END).encode()
        )
        self.assertEqual([FrameKind.DATA, FrameKind.END], [f.kind for f in frames])


async def stream_begun(deployment, events=1):
    """Wait until an engine has sent some events of its first run."""
    engines = deployment.engines
    await until(
        lambda: any(e.runs and e.runs[0].events_sent >= events for e in engines)
    )


class TunnelTest(PlatformTestCase):
    def with_links(self, scenario, **options):
        options = {"routers": ROUTERS, "has_upstream_links": True, **options}
        return self.with_platform(scenario, **options)

    async def cut_off(self, deployment, vms, how=Partition.REFUSE):
        """Cut routers off, and wait until they reach all upstreams through others."""
        deployment.partition(vms, how)
        await call_all(deployment, vms, plain, 1.0)
        await call_all(deployment, vms, stream, 1.0)
        for vm in vms:
            paths = deployment.routers[vm].clients.paths
            await until(lambda paths=paths: paths.lost_addresses)

    def assert_run_once(self, deployment):
        for upstream in deployment.upstreams:
            ids = [run.request_id for run in upstream.runs]
            self.assertEqual(len(set(ids)), len(ids))

    def test_nothing_is_waited_for_where_no_router_reaches_an_upstream(self):
        async def scenario(deployment):
            for how in (Partition.HANG, Partition.REFUSE):
                deployment.partition(ROUTERS, how)
                await call_all(deployment, ROUTERS, plain, 1.5)
                await call_all(deployment, ROUTERS, stream, 1.5)
                for ask in (plain, stream):
                    calls = await call_all(deployment, ROUTERS, ask, 1.0)
                    found = [call for calls in calls.values() for call in calls]
                    self.assertEqual({503}, {status for status, _ in found})
                    seconds = sorted(seconds for _, seconds in found)
                    self.assertLess(seconds[len(seconds) // 2], 0.1)
                await deployment.restore(ROUTERS)
                await call_all(deployment, ROUTERS, plain, 2.0)
                calls = await call_all(deployment, ROUTERS, plain, 1.0)
                self.assertEqual(1.0, served_share(calls, ROUTERS))

        self.with_links(scenario)

    def test_calls_that_may_not_be_repeated_run_once(self):
        async def scenario(deployment):
            async def unsafe(caller):
                return await caller.send("POST", "/unsafe/x", b"order")

            calls = asyncio.create_task(call_all(deployment, ROUTERS, unsafe, 6.0))
            await asyncio.sleep(0.5)
            for how in (Partition.KEEP_REFUSE, Partition.HANG, Partition.REFUSE):
                deployment.partition(("a-1",), how)
                await asyncio.sleep(1.2)
                await deployment.restore(("a-1",))
                await asyncio.sleep(0.6)
            statuses = [call[0] for found in (await calls).values() for call in found]
            runs = sum(len(app.runs) for app in deployment.apps)
            self.assertLessEqual(statuses.count(200), runs)
            self.assert_run_once(deployment)

        self.with_links(scenario)

    def test_a_stream_on_an_open_connection_goes_on_while_new_ones_are_refused(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 3, 0.9
            caller = PlatformCaller(deployment, "a-1")
            running = asyncio.create_task(caller.stream())
            await until(lambda: any(engine.runs for engine in deployment.engines))
            deployment.partition(("a-1",), Partition.KEEP_REFUSE)
            status, _, body = await running
            self.assertEqual((200, [1, 2, 3]), (status, event_ids(body)))
            self.assertEqual(1, sum(len(e.runs) for e in deployment.engines))

        self.with_links(scenario)

    def test_a_stream_goes_on_through_another_router_where_its_connection_hangs(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 40, 0.05
            caller = PlatformCaller(deployment, "a-1")
            running = asyncio.create_task(caller.stream())
            await stream_begun(deployment)
            deployment.partition(("a-1",), Partition.HANG)
            begun = time.monotonic()
            status, _, body = await running
            self.assertEqual((200, list(range(1, 41))), (status, event_ids(body)))
            self.assertLess(time.monotonic() - begun, 4.0)

        self.with_links(scenario)

    def test_tokens_are_counted_once_through_another_router(self):
        async def scenario(deployment):
            await self.cut_off(deployment, ("a-1",))
            ledgers = [r.ledger_sync.ledger for r in deployment.routers.values()]

            async def used():
                # An open reservation counts at its most.
                await until(lambda: not any(x.reservations_by_id for x in ledgers))
                return sum(x.shares_by_account[ACCOUNT].own_use for x in ledgers)

            before = await used()
            for _ in range(5):
                self.assertEqual(200, (await stream(PlatformCaller(deployment)))[0])
            after_five = await used()
            await deployment.restore(("a-1",))
            await call_all(deployment, ("a-1",), plain, 1.5)
            for _ in range(5):
                self.assertEqual(200, (await stream(PlatformCaller(deployment)))[0])
            self.assertEqual(after_five - before, await used() - after_five)

        self.with_links(scenario)

    def test_a_caller_that_leaves_stops_the_run(self):
        async def scenario(deployment):
            await self.cut_off(deployment, ("a-1",))
            for engine in deployment.engines:
                engine.events, engine.event_delay = 200, 0.05
                engine.runs.clear()
            running = asyncio.create_task(PlatformCaller(deployment).stream())
            await stream_begun(deployment)
            running.cancel()
            await until(
                lambda: any(
                    e.runs and e.runs[0].router_disconnected for e in deployment.engines
                ),
                timeout=0.5,
            )

        self.with_links(scenario)

    def test_an_answer_without_a_length_is_incomplete_if_its_forwarder_dies(self):
        async def scenario(deployment):
            await self.cut_off(deployment, ("a-1", "a-2"))
            for app in deployment.apps:
                app.faults = [Fault.UNFRAMED]
                app.event_delay = 0.3
            caller = PlatformCaller(deployment)
            running = asyncio.create_task(caller.send("POST", "/unsafe/x", b"order"))
            await asyncio.sleep(0.1)
            await deployment.routers.pop("b-1").kill()
            try:
                status = (await running)[0]
            except ExchangeError:
                return
            self.assertEqual(502, status)

        self.with_links(scenario)

    def test_an_answer_without_a_length_is_complete_through_another_router(self):
        async def scenario(deployment):
            await self.cut_off(deployment, ("a-1", "a-2"))
            for app in deployment.apps:
                app.faults = [Fault.UNFRAMED]
            direct = await PlatformCaller(deployment, "b-1").send("GET", "/safe/x")
            for app in deployment.apps:
                app.faults = [Fault.UNFRAMED]
            status, _, body = await PlatformCaller(deployment).send("GET", "/safe/x")
            self.assertEqual((direct[0], len(direct[2])), (status, len(body)))

        self.with_links(scenario)

    def test_a_stop_of_the_router_that_helps_cuts_nothing(self):
        async def scenario(deployment):
            await self.cut_off(deployment, ("a-1", "a-2"))
            for engine in deployment.engines:
                engine.events, engine.event_delay = 30, 0.05
            running = [
                asyncio.create_task(PlatformCaller(deployment, vm).stream())
                for vm in ("a-1", "a-2")
            ]
            await asyncio.sleep(0.4)
            runs = sum(len(engine.runs) for engine in deployment.engines)
            await deployment.start_router("b-2")
            router = deployment.routers.pop("b-1")
            router.request_stop(None)
            await router.drain()
            await router.kill()
            for status, _, body in await asyncio.gather(*running):
                self.assertEqual((200, list(range(1, 31))), (status, event_ids(body)))
            self.assertEqual(
                runs, sum(len(engine.runs) for engine in deployment.engines)
            )
            calls = await call_all(deployment, ("a-1", "a-2"), plain, 1.0)
            self.assertEqual(1.0, served_share(calls, ("a-1", "a-2")))

        self.with_links(scenario)

    def test_work_goes_direct_again_at_once_and_without_a_rush(self):
        async def scenario(deployment):
            await self.cut_off(deployment, ("a-1",), Partition.HANG)
            paths = deployment.routers["a-1"].clients.paths
            await deployment.restore(("a-1",))
            before = sum(upstream.connections for upstream in deployment.upstreams)
            await call_all(deployment, ("a-1",), plain, 1.5)
            self.assertEqual([], paths.lost_addresses)
            opened = sum(u.connections for u in deployment.upstreams) - before
            self.assertLessEqual(opened, 3 * len(deployment.upstreams))
            await until(lambda: not paths.tunnel_count)

        self.with_links(scenario)

    def test_routers_with_links_blame_no_upstream_for_a_router_without(self):
        async def scenario(deployment):
            await self.cut_off(deployment, ("a-1",), Partition.HANG)
            for vm in ("a-2", "b-1"):
                router = deployment.routers[vm]
                self.assertFalse(router.members.reachability.is_any_unreachable)
                for entry in router.directory.entries_by_id.values():
                    self.assertEqual(0, entry.health.bad_in_row)
                    self.assertFalse(
                        router.clients.paths.is_lost(entry.upstream.address)
                    )

        self.with_links(scenario)

    def test_a_router_that_starts_without_links_serves(self):
        async def scenario(deployment):
            for link in deployment.upstream_links_by_vm["a-2"]:
                link.partition(Partition.HANG)
            router = deployment.routers.pop("a-2")
            await router.kill()
            await deployment.start_router("a-2")
            await until(lambda: deployment.routers["a-2"].is_ready())
            await until(lambda: deployment.routers["a-2"].directory.count() == 4)
            await call_all(deployment, ("a-2",), plain, 0.7)
            for ask in (plain, stream):
                calls = await call_all(deployment, ("a-2",), ask, 1.0)
                self.assertEqual(1.0, served_share(calls, ("a-2",)))

        self.with_links(scenario)

    def test_callers_are_served_without_links_and_store(self):
        async def scenario(deployment):
            await call_all(deployment, ROUTERS, stream, 0.5)
            for vm in ROUTERS:
                deployment.faults(vm).outage = Outage.SILENT
            await self.cut_off(deployment, ("a-1", "a-2"), Partition.HANG_REFUSE)
            for ask in (plain, stream):
                calls = await call_all(deployment, ROUTERS, ask, 1.0)
                self.assertEqual(1.0, served_share(calls, ROUTERS))

        self.with_links(scenario)

    def test_a_flapping_cut_costs_nobody_an_answer(self):
        async def scenario(deployment):
            async def safe(caller):
                return await caller.send("GET", "/safe/x")

            calls = asyncio.create_task(
                call_repeatedly(deployment, "a-1", safe, 5.0, 0.1)
            )
            for _ in range(5):
                deployment.partition(("a-1",), Partition.KEEP_REFUSE)
                await asyncio.sleep(0.6)
                await deployment.restore(("a-1",))
                await asyncio.sleep(0.4)
            statuses = [status for status, _ in await calls]
            self.assertEqual({200}, set(statuses))

        self.with_links(scenario)

    def test_a_silence_of_a_second_changes_no_path(self):
        async def scenario(deployment):
            await call_all(deployment, ROUTERS, plain, 0.5)
            link = deployment.upstream_links_by_vm["a-1"][2]
            for vm in ROUTERS:
                deployment.upstream_links_by_vm[vm][2].hold(*Direction)
            calls = asyncio.create_task(call_all(deployment, ROUTERS, plain, 1.5))
            await asyncio.sleep(1.0)
            for vm in ROUTERS:
                deployment.upstream_links_by_vm[vm][2].hold()
            found = await calls
            self.assertEqual(1.0, served_share(found, ROUTERS))
            for vm in ROUTERS:
                paths = deployment.routers[vm].clients.paths
                self.assertEqual(PathState.DIRECT, paths.state(link.target))
                self.assertEqual([], paths.lost_addresses)

        self.with_links(scenario)

    def test_a_silence_of_a_second_breaks_no_stream_off(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 20, 0.05
            caller = PlatformCaller(deployment, "a-1")
            running = asyncio.create_task(caller.stream())
            await stream_begun(deployment, events=3)
            links = [deployment.upstream_links_by_vm[vm] for vm in ROUTERS]
            busy = 0 if deployment.engines[0].runs else 1
            for link in links:
                link[busy].hold(*Direction)
            await asyncio.sleep(1.0)
            for link in links:
                link[busy].hold()
            status, _, body = await running
            self.assertEqual((200, list(range(1, 21))), (status, event_ids(body)))
            self.assertEqual(1, sum(len(e.runs) for e in deployment.engines))

        self.with_links(scenario)

    def test_an_upstream_that_is_down_is_not_taken_for_a_lost_path(self):
        async def scenario(deployment):
            await call_all(deployment, ROUTERS, plain, 0.3)
            await deployment.apps[0].stop()
            calls = await call_all(deployment, ROUTERS, plain, 1.0)
            self.assertEqual(1.0, served_share(calls, ROUTERS))
            for vm in ROUTERS:
                self.assertEqual(
                    [], deployment.routers[vm].clients.paths.lost_addresses
                )

        self.with_links(scenario)


class PathOfADroppedClientTest(PlatformTestCase):
    def test_an_upstream_is_checked_whose_client_was_dropped_as_it_was_lost(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            await call_all(deployment, ("a-1",), plain, 0.3)
            for app in deployment.apps:
                # A restart drops the client; an attempt of the old one ends later.
                router.clients.drop(app.address)
                router.clients.paths.record_unreachable(
                    app.address, steady_seconds(), hangs=False
                )
            await asyncio.sleep(1.0)
            self.assertEqual(200, (await plain(PlatformCaller(deployment)))[0])

        self.with_platform(scenario)


class StoppingForwarderTest(AsyncTestCase):
    """Guards against requests through a router that stops while a tunnel opens."""

    def test_a_tunnel_that_opens_as_its_router_stops_takes_no_request(self):
        async def scenario():
            is_stopping = False
            directory, clients, load = mock.Mock(), mock.Mock(), mock.Mock()
            directory.is_backing_off.return_value = False
            clients.paths.is_lost.return_value = False
            load.is_shedding = False
            server = TunnelServer(
                directory,
                clients,
                load,
                UNLIMITED_LINK,
                LinkShare(1000.0),
                Metrics(),
                lambda: is_stopping,
            )

            async def connect_as_the_router_stops(tunnel):
                nonlocal is_stopping
                is_stopping = True
                server.announce_stop()

            server._connect = connect_as_the_router_stops
            transport = mock.create_autospec(asyncio.Transport, instance=True)
            transport.is_closing.return_value = False
            request, respond = mock.Mock(headers={}), mock.Mock()
            respond.switch_protocol.side_effect = lambda protocol, name: (
                protocol.connection_made(transport)
            )
            await server._handle(request, respond)
            self.assertEqual(1, server.count)
            transport.write.assert_called_with(Frame(FrameKind.CLOSING).encode())

        self.run_async(scenario())
