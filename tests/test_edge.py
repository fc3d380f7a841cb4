"""Whole routers: process, stop, settings reload, readiness, directory and members."""

import asyncio
import json
import signal

from lynxchute.fleet.client import PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.http import HttpClient
from lynxchute.spending.balance import PendingTransfer
from lynxchute.spending.settlements import Settlement
from lynxchute.standins.platform_store import Outage
from lynxchute.store import Row, RowId
from tests.platform_support import (
    PlatformCaller,
    PlatformDeployment,
    PlatformTestCase,
    configuration,
    event_ids,
)
from tests.router_process import RouterProcess
from tests.support import AsyncTestCase, until


class ProcessDeployment(PlatformDeployment):
    """Deployment whose router is a separate process started from a settings file."""

    def __init__(self, path, **more):
        super().__init__(routers=(), **more)
        self.path = path
        self.router = None

    async def start_process(self):
        port = await self.store.open_port()
        self.router = RouterProcess(self.path, "a-1", port)
        await self.router.start()
        await self.router.ready()

    def caller(self):
        caller = PlatformCaller.__new__(PlatformCaller)
        caller.client = HttpClient(f"127.0.0.1:{self.router.ports['front']}")
        caller.key = "key-of-kanda"
        return caller

    async def stop(self):
        if self.router is not None:
            await self.router.kill()
        await super().stop()


class ProcessTest(AsyncTestCase):
    def with_process(self, scenario, **more):
        import pathlib
        import tempfile

        async def work():
            with tempfile.TemporaryDirectory() as folder:
                deployment = ProcessDeployment(pathlib.Path(folder), **more)
                try:
                    for upstream in deployment.upstreams:
                        await upstream.start()
                        await upstream.register(deployment.store)
                    await deployment.configure()
                    await deployment.start_process()
                    await scenario(deployment)
                finally:
                    await deployment.stop()

        self.run_async(work())

    def test_process_from_settings_file_serves_logs_and_counts(self):
        async def scenario(deployment):
            caller = deployment.caller()
            await until(lambda: deployment.router.events("grants changed"))
            status, _, body = await caller.stream()
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, event_ids(body)))
            self.assertEqual(200, (await caller.send("POST", "/unsafe/x"))[0])
            self.assertEqual(404, (await caller.send("GET", "/none/x"))[0])
            await until(lambda: len(deployment.router.events("request ended")) == 2)
            (refused,) = deployment.router.events("request refused")
            self.assertEqual("no-route", refused["reason"])
            ended = deployment.router.events("request ended")[0]
            self.assertEqual(
                ("served", 6, 1),
                tuple(ended[k] for k in ("outcome", "events", "sends")),
            )
            self.assertLess(ended["configuration_age"], 5.0)
            request_id = ended["request_id"]
            for event in ("tokens reserved", "request sent"):
                (line,) = [
                    line
                    for line in deployment.router.events(event)
                    if line["request_id"] == request_id
                ]
            self.assertEqual(ended["upstreams"], [line["upstream"]])
            metrics = HttpClient(f"127.0.0.1:{deployment.router.ports['metrics']}")
            response = await metrics.request("GET", "/metrics")
            text = (await response.body()).decode()
            self.assertIn('lynxchute_requests_total{outcome="served"} 2.0', text)
            self.assertIn("lynxchute_request_seconds_bucket", text)
            self.assertRegex(
                text, r'store_calls_total{call="write",end="answered"} [1-9]'
            )
            self.assertIn("lynxchute_store_seconds_bucket", text)
            self.assertIn("lynxchute_log_lines_dropped 0.0", text)

        self.with_process(scenario)

    def test_stop_finishes_streams_and_returns_unused_grants(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 40, 0.05
            caller = deployment.caller()
            await until(lambda: deployment.router.events("grants changed"))
            stream = asyncio.create_task(caller.stream(tokens=(100, 120)))
            await until(lambda: any(e.runs for e in deployment.engines))
            process = deployment.router.process
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            late = await caller.send("POST", "/unsafe/x")
            self.assertEqual(200, late[0])
            self.assertEqual("close", late[1]["connection"])
            status, _, body = await stream
            self.assertEqual((200, 40), (status, len(event_ids(body))))
            self.assertEqual(0, await process.wait())
            self.assertTrue(deployment.router.events("budgets given back"))
            granted = json.loads(deployment.store.value("budget-totals", "kanda"))
            self.assertEqual({"a-1": 220}, granted)

        self.with_process(scenario)

    def test_second_stop_signal_cuts_no_open_answer(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 20, 0.05
            caller = deployment.caller()
            stream = asyncio.create_task(caller.stream())
            await until(lambda: any(engine.runs for engine in deployment.engines))
            process = deployment.router.process
            process.send_signal(signal.SIGTERM)
            await until(lambda: deployment.router.events("stopping"))
            process.send_signal(signal.SIGTERM)
            status, _, body = await stream
            self.assertEqual((200, 20), (status, len(event_ids(body))))
            self.assertEqual(0, await process.wait())

        self.with_process(scenario)

    def test_settings_are_reloaded_with_and_without_sighup(self):
        async def scenario(deployment):
            process = deployment.router.process
            text = deployment.router.file.read_text()
            deployment.router.file.write_text(text.replace("grace_s: 6", "grace_s: 5"))
            process.send_signal(signal.SIGHUP)
            await until(lambda: deployment.router.events("settings reloaded"))
            deployment.router.file.write_text(text.replace("grace_s: 6", "grace_s: 44"))
            await until(lambda: len(deployment.router.events("settings reloaded")) == 2)
            deployment.router.file.write_text("nonsense")
            process.send_signal(signal.SIGHUP)
            await until(lambda: deployment.router.events("settings rejected"))
            status, _, _ = await deployment.caller().send("GET", "/safe/x")
            self.assertEqual(200, status)

        self.with_process(scenario)


class EarlyCallerTest(ProcessTest):
    def test_caller_that_connects_during_the_start_is_served(self):
        async def scenario(deployment):
            router = deployment.router
            await router.kill()
            starts = len(router.events("started"))
            await router.start()
            reader, writer = await self.connection(router.ports["front"])
            # The HTTP server is imported only after the socket listens; "started" is
            # logged after the import.
            self.assertEqual(starts, len(router.events("started")))
            writer.write(
                b"GET /public/x HTTP/1.1\r\nHost: app.example\r\n"
                b"X-Request-Id: early\r\nX-Deadline-Ms: 9000\r\n\r\n"
            )
            async with asyncio.timeout(20):
                head = await reader.readline()
            self.assertEqual(b"HTTP/1.1 200", head[:12])
            writer.close()

        self.with_process(scenario)

    async def connection(self, port):
        async with asyncio.timeout(20):
            while True:
                try:
                    return await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    # Nothing listens there yet.
                    await asyncio.sleep(0.002)


class ArrivalTest(PlatformTestCase):
    def test_wait_for_the_first_configuration_has_a_timeout(self):
        async def scenario(deployment):
            deployment.store_ports["b-1"] = await deployment.store.open_port()
            deployment.faults("b-1").outage = Outage.BUSY
            await deployment.start_router("b-1")
            caller = PlatformCaller(deployment, "b-1")
            self.assertEqual(503, (await caller.send("GET", "/public/x"))[0])
            # Later requests do not wait; a few loop iterations are enough.
            configurations = deployment.routers["b-1"].configurations
            wait_loaded = asyncio.create_task(configurations.wait_loaded())
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertTrue(wait_loaded.done())

        self.with_platform(scenario, routers=("a-1",))


class ReadinessTest(PlatformTestCase):
    def test_router_without_configuration_is_not_ready_and_refuses(self):
        async def scenario(deployment):
            vm = "a-2"
            deployment.store_ports[vm] = await deployment.store.open_port()
            deployment.faults(vm).outage = Outage.SILENT
            router = await deployment.start_router(vm)
            self.assertFalse(router.is_ready())
            caller = PlatformCaller(deployment, vm)
            status, headers, _ = await caller.send("GET", "/safe/x")
            self.assertEqual(503, status)
            self.assertIn("retry-after", headers)
            deployment.faults(vm).outage = Outage.NONE
            await until(router.is_ready)

        self.with_platform(scenario)

    def test_other_paths_of_the_readiness_port_return_404(self):
        async def scenario(deployment):
            address = deployment.settings["a-1"].readiness
            client = HttpClient(str(address))
            self.assertEqual(200, (await client.get_json("/lynxchute/readyz"))[0])
            self.assertEqual(404, (await client.get_json("/"))[0])

        self.with_platform(scenario)


class DirectoryTest(PlatformTestCase):
    def test_a_leaving_upstream_gets_nothing_new(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            leaving = deployment.apps[0]
            leaving.state = "draining"
            await leaving.register(deployment.store)
            router = deployment.routers["a-1"]
            entry = router.directory.entries_by_id[leaving.id]
            await until(lambda: not entry.takes_work, timeout=1.0)
            for _ in range(5):
                self.assertEqual(200, (await caller.send("GET", "/safe/x"))[0])
            self.assertEqual([], leaving.arrivals)

        self.with_platform(scenario)

    def test_a_leaving_upstream_gets_nothing_while_the_store_is_away(self):
        async def scenario(deployment):
            leaving = deployment.apps[0]
            router = deployment.routers["a-1"]
            leaving.state = "draining"
            await leaving.register(deployment.store)
            entry = router.directory.entries_by_id[leaving.id]
            await until(lambda: not entry.takes_work)
            for port in deployment.store_ports.values():
                deployment.store.faults_by_port[port].outage = Outage.SILENT
            # Its entry lapses meanwhile, which does not show that it has returned.
            router.directory.remove(leaving.id, 0.0, expires_at=float("inf"))
            caller = PlatformCaller(deployment)
            for _ in range(10):
                await caller.send("GET", "/safe/x")
            self.assertEqual([], leaving.arrivals)

        self.with_platform(scenario)

    def test_stale_row_does_not_restore_a_removed_upstream(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            removed_upstream = deployment.apps[0]
            row = router.upstreams.feed.rows_by_key[removed_upstream.id]
            await deployment.store.drop("servers", removed_upstream.id)
            entry = router.directory.entries_by_id[removed_upstream.id]
            await until(lambda: not entry.takes_work)
            router.upstreams.feed.apply_rows((Row(row.id, row.value, row.version),))
            self.assertFalse(entry.takes_work)

        self.with_platform(scenario)


class MembersTest(AsyncTestCase):
    def member(self, vm, **more):
        return Member(vm, vm[0], f"{vm}-run", "127.0.0.1:1", **more)

    def test_homes_exclude_leaving_and_unreachable_routers(self):
        members = Members(self.member("a-1"))
        for vm in ("a-2", "a-3", "b-1"):
            members.put(self.member(vm))
        order = members.homes("kanda")
        self.assertEqual({"a-1", "a-2", "a-3"}, set(order))
        silent = next(vm for vm in order if vm != "a-1")
        members.record_failure(silent, 10.0)
        self.assertNotIn(silent, members.homes("kanda"))
        self.assertEqual([], members.retries_due(10.1))
        self.assertEqual([silent], members.retries_due(11.0))
        members.record_success(silent)
        self.assertEqual(order, members.homes("kanda"))
        members.put(self.member(silent, is_leaving=True))
        self.assertNotIn(silent, members.homes("kanda"))
        members.mark_leaving()
        self.assertNotIn("a-1", members.homes("kanda"))

    def test_weak_routers_are_last_among_the_homes(self):
        members = Members(Member("a-1", "a", "r1", "x:1", strength=0.05))
        for number, strength in ((2, 1.0), (3, 0.6), (4, 0.4)):
            vm = f"a-{number}"
            members.put(Member(vm, "a", f"r{number}", "x:1", strength=strength))
        for account in ("kanda", "ueno", "otaru"):
            homes = members.homes(account)
            self.assertEqual({"a-2", "a-3"}, set(homes[:2]))
            self.assertEqual({"a-1", "a-4"}, set(homes[2:]))

    def test_equal_routers_share_the_home_role(self):
        members = Members(Member("a-1", "a", "r1", "x:1", strength=0.3))
        for number in (2, 3, 4):
            vm = f"a-{number}"
            members.put(Member(vm, "a", f"r{number}", "x:1", strength=0.3))
        first_homes = {members.homes(f"account {n}")[0] for n in range(40)}
        self.assertEqual({"a-1", "a-2", "a-3", "a-4"}, first_homes)

    def test_restarted_router_is_reachable_immediately(self):
        members = Members(self.member("a-1"))
        members.put(self.member("a-2"))
        members.record_failure("a-2", 10.0)
        again = Member("a-2", "a", "another-run", "127.0.0.1:1")
        members.put(again)
        self.assertTrue(members.is_reachable("a-2"))

    def test_invalid_member_rows_are_rejected(self):
        self.assertTrue(Member.decode(b"[]").is_error())
        self.assertTrue(Member.decode(b'{"vm": "x"}').is_error())
        own = self.member("a-1")
        self.assertEqual(own, Member.decode(own.encode()).ok)
        self.assertEqual("x", Row(RowId("t", "x"), b"", 1).id.key)


class StopTest(PlatformTestCase):
    """A router that can reach nobody exits before the platform kills it.

    Guards against final reports that outlast the stop deadline: after the last request
    has ended, the router reports to routers and a store that do not answer, and each
    timeout follows the previous one. One of 22 VMs, stopped in turn while they were
    partitioned, was therefore still running at the end of its grace period.
    """

    def test_a_stream_that_ends_before_the_last_sixth_of_the_grace_is_not_cut(self):
        async def scenario(deployment):
            routes = configuration()["routes"]
            for route in routes:
                route["timeout_ms"] = 6000
            await deployment.configure(version=2, routes=routes)
            router = deployment.routers["a-1"]
            await until(lambda: router.configurations.current.version == 2)
            for engine in deployment.engines:
                engine.events, engine.event_delay = 31, 0.1
            caller = PlatformCaller(deployment)
            stream = asyncio.create_task(caller.stream(deadline_ms=6000))
            await until(lambda: router.relay.open_requests)
            await router.drain()
            status, _, body = await stream
            self.assertEqual((200, 31), (status, len(event_ids(body))))

        self.with_platform(scenario)

    def test_unanswered_final_reports_do_not_delay_the_stop(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            self.assertEqual(200, (await PlatformCaller(deployment).stream())[0])
            for engine in deployment.engines:
                engine.events, engine.event_delay = 200, 0.1
            stream = asyncio.create_task(PlatformCaller(deployment).stream())
            await until(lambda: router.relay.open_requests)
            deployment.faults("a-1").outage = Outage.SILENT
            router.peers.ask = ask_silent_peer
            router.settlements.add("b-1", Settlement("r1", 10))
            router.balance._transfers.append(
                PendingTransfer("g1", "kanda", 10, router.members.own)
            )
            began = asyncio.get_running_loop().time()
            await router.drain()
            took = asyncio.get_running_loop().time() - began
            self.assertLess(took, router.settings.bounds.stop)
            # The stream was longer than the router's stop deadline and may be broken.
            await asyncio.gather(stream, return_exceptions=True)

        self.with_platform(scenario)


async def ask_silent_peer(vm, message):
    await asyncio.sleep(0.7)
    raise PeerUnreachable(vm)
