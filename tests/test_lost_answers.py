"""A router that stops answers every request that it has read."""

import asyncio
import json
import socket
import time
from unittest import mock

import testtools

from lynxchute.fleet.message import Ack
from lynxchute.fleet.messages import PingRequest
from lynxchute.http import ExchangeError, HttpClient, HttpServer, ServerLimits
from lynxchute.platform.engines import PlatformEngines
from lynxchute.standins.upstream_run import Fault
from lynxchute.upstreams.engines import EngineUnavailable
from tests.platform_support import (
    HOST,
    KEY,
    PlatformCaller,
    PlatformTestCase,
    configuration,
    event_ids,
)
from tests.support import AsyncTestCase, until

# Both are far below the size of the answer, most of which stays in the process.
SOCKET_BUFFER_BYTES = 4096
ANSWER_BYTES = 60_000
READ_PAUSE_SECONDS = 0.01


def request_head(path):
    lines = (
        f"GET {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Request-Id: lost1",
        "X-Deadline-Ms: 9000",
        f"X-Credential: {KEY}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def connect(router, *, receive_buffer=None):
    sock = socket.socket()
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.setblocking(False)
    address = router.settings.callers
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (address.host, address.port))
    return sock


async def read_slowly(sock):
    loop = asyncio.get_running_loop()
    data = b""
    while True:
        try:
            chunk = await loop.sock_recv(sock, SOCKET_BUFFER_BYTES)
        except ConnectionResetError:
            return data
        if not chunk:
            return data
        data += chunk
        await asyncio.sleep(READ_PAUSE_SECONDS)


async def stop(router, *, serve_seconds=0.0):
    """Stop a router, which refuses new requests after some seconds."""
    name = "lynxchute.edge.application.SERVE_AFTER_STOP_SECONDS"
    with mock.patch(name, serve_seconds):
        await router.drain()
    await router.kill()


async def allow_longer_than_a_stop(deployment, router):
    """Set timeouts of all routes that end after the router's grace period."""
    routes = [{**route, "timeout_ms": 9000} for route in configuration()["routes"]]
    await deployment.configure(version=2, routes=routes)
    await until(lambda: router.configurations.current.version == 2)


class StopAnswersTest(PlatformTestCase):
    def test_stop_delivers_an_answer_that_its_caller_has_not_read(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            answered = asyncio.Event()

            async def handle(request, respond):
                await respond.send_whole(200, b"x" * ANSWER_BYTES)
                answered.set()

            router.relay.handle = handle
            router.callers._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
            )
            sock = await connect(router, receive_buffer=SOCKET_BUFFER_BYTES)
            sock.send(request_head("/public/x"))
            await answered.wait()
            reading = asyncio.create_task(read_slowly(sock))
            await stop(router)
            _, _, body = (await reading).partition(b"\r\n\r\n")
            self.assertEqual(ANSWER_BYTES, len(body))

        self.with_platform(scenario, routers=("a-1",))

    def test_stop_waits_for_a_request_that_is_not_admitted_yet(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            asked = asyncio.Event()

            async def confirm_slowly():
                asked.set()
                await asyncio.sleep(0.4)
                return True

            router.configurations.confirm_current = confirm_slowly
            sock = await connect(router)
            sock.send(request_head("/none/x"))
            await asked.wait()
            reading = asyncio.create_task(read_slowly(sock))
            await stop(router)
            self.assertEqual(b"HTTP/1.1 404", (await reading)[:12])

        self.with_platform(scenario, routers=("a-1",))

    def test_stopped_router_reads_no_further_request(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            idle = await connect(router)
            await router.drain()
            self.assertEqual(b"", await read_slowly(idle))
            with testtools.ExpectedException(ConnectionRefusedError):
                await connect(router)

        self.with_platform(scenario, routers=("a-1",))

    def test_stop_answers_messages_of_other_routers(self):
        async def scenario(deployment):
            stopping, other = deployment.routers["a-1"], deployment.routers["b-1"]
            asked = asyncio.Event()

            async def answer_slowly(request):
                asked.set()
                await asyncio.sleep(0.3)
                return Ack()

            stopping.peer_server.handlers_by_class[PingRequest] = answer_slowly
            ping = asyncio.create_task(other.peers.ask("a-1", PingRequest()))
            await asked.wait()
            await stop(stopping)
            self.assertEqual(Ack(), await ping)

        self.with_platform(scenario)

    def test_router_stops_while_it_accepts_no_connections(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            await router.callers.pause_accepting()
            await stop(router)
            self.assertFalse(router.callers.connections)

        self.with_platform(scenario, routers=("a-1",))

    def test_stop_refuses_a_request_that_waits_at_the_deadline(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            await allow_longer_than_a_stop(deployment, router)
            waiting = asyncio.Event()

            async def reserve(exchange):
                waiting.set()
                await asyncio.sleep(9)

            router.relay._reserve = reserve
            call = asyncio.create_task(
                PlatformCaller(deployment).stream(deadline_ms=9000)
            )
            await waiting.wait()
            await stop(router)
            status, headers, body = await call
            self.assertEqual((503, "not_run"), (status, json.loads(body)["run"]))
            self.assertIn("retry-after", headers)

        self.with_platform(scenario, routers=("a-1",))

    def test_stop_outlasts_timeouts_that_fire_at_its_deadline(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            await allow_longer_than_a_stop(deployment, router)

            async def reserve(exchange):
                await asyncio.sleep(9)

            router.relay._reserve = reserve
            callers = [PlatformCaller(deployment) for _ in range(20)]
            calls = []
            for number, caller in enumerate(callers):
                call = caller.stream(deadline_ms=2600 + 20 * number)
                calls.append(asyncio.create_task(call))
            await until(lambda: router.relay.open_requests == len(calls))
            loop = asyncio.get_running_loop()
            started = loop.time()
            # Blocks the event loop while the drain deadline passes.
            loop.call_at(started + 2.7, time.sleep, 0.3)
            await stop(router)
            statuses = [status for status, _, _ in await asyncio.gather(*calls)]
            self.assertEqual({503}, set(statuses))

        self.with_platform(scenario, routers=("a-1",))

    def test_stop_answers_a_request_whose_upstream_is_silent(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            await allow_longer_than_a_stop(deployment, router)
            for app in deployment.apps:
                app.faults = [Fault.HANG]
            caller = PlatformCaller(deployment)
            call = asyncio.create_task(
                caller.send("POST", "/unsafe/x", deadline_ms=9000)
            )
            await until(lambda: any(app.runs for app in deployment.apps))
            await stop(router)
            status, _, body = await call
            self.assertEqual((502, "unknown"), (status, json.loads(body)["run"]))

        self.with_platform(scenario, routers=("a-1",))


class SlowReaderTest(PlatformTestCase):
    def test_complete_answer_outlasts_the_timeout_of_its_request(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            size = 4 * ANSWER_BYTES

            async def send(exchange):
                await exchange.respond.send_whole(200, b"x" * size)

            router.relay._send = send
            router.callers._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
            )
            sock = await connect(router, receive_buffer=SOCKET_BUFFER_BYTES)
            sock.send(request_head("/public/x").replace(b"9000", b"100"))
            await until(lambda: router.relay.open_requests)
            await until(lambda: not router.relay.open_requests)
            router.callers.disable_keep_alive()
            router.callers.close_idle()
            _, _, body = (await read_slowly(sock)).partition(b"\r\n\r\n")
            self.assertEqual(size, len(body))

        self.with_platform(scenario, routers=("a-1",))


class ClosingConnectionTest(AsyncTestCase):
    def answer_bytes(self, read):
        """Return what a caller gets of an answer on a connection that is closing."""

        async def handle(request, respond):
            await respond.send_whole(200, b"x" * ANSWER_BYTES)

        async def work():
            limits = ServerLimits(idle_timeout=0.3)
            server = HttpServer(handle, limits=lambda: limits)
            await server.start("127.0.0.1", 0)
            server._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
            )
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ("127.0.0.1", server.port))
            sock.send(request_head("/x"))
            data = await read(sock, server)
            await server.kill()
            return len(data.partition(b"\r\n\r\n")[2])

        return self.run_async(work())

    def test_caller_that_reads_slowly_gets_its_whole_answer(self):
        async def read(sock, server):
            with mock.patch(f"{__name__}.READ_PAUSE_SECONDS", 0.08):
                return await read_slowly(sock)

        self.assertEqual(ANSWER_BYTES, self.answer_bytes(read))

    def test_caller_that_reads_nothing_is_disconnected(self):
        async def read(sock, server):
            await until(lambda: server.connections)
            await until(lambda: not server.connections, 3.0)
            return b""

        self.assertEqual(0, self.answer_bytes(read))


def probes_time_out(silent_ids):
    """Return a probe that gets no answer from some upstreams, or from any if None."""
    probe = PlatformEngines.probe

    async def probe_or_time_out(engines, upstream):
        if silent_ids is None or upstream.id in silent_ids:
            raise EngineUnavailable("no answer", is_timeout=True)
        return await probe(engines, upstream)

    return mock.patch.object(PlatformEngines, "probe", probe_or_time_out)


def failing_once(send):
    """Make the next send of a stream fail before anything is sent."""
    failures = [ExchangeError("cannot connect", sent=False)]

    async def request(client, method, target, **options):
        if "before_send" in options and failures:
            raise failures.pop()
        return await send(client, method, target, **options)

    return request


class SilentUpstreamTest(PlatformTestCase):
    def stream(self, *, extra, engines=2, all_are_silent=False, prepare=lambda: None):
        """Return the ids of a stream that pauses for two seconds after its first event.

        Meanwhile no probe of its upstream is answered, or of any upstream.
        """

        async def scenario(deployment):
            router = deployment.routers["a-1"]
            for engine in deployment.engines:
                engine.events, engine.event_delay = 3, 0.02
                engine.first_pause = 2.0
            silent_ids = None if all_are_silent else set()
            with probes_time_out(silent_ids):
                call = asyncio.create_task(PlatformCaller(deployment).stream())
                await until(lambda: any(e.runs for e in deployment.engines))
                busy = next(e for e in deployment.engines if e.runs)
                await until(lambda: busy.runs[0].events_sent)
                for engine in deployment.engines:
                    engine.first_pause = 0.0
                # A router uses four fifths of its allowance.
                router.retries.change(share=0.0, extra=extra, window=10.0)
                prepare()
                if silent_ids is not None:
                    silent_ids.add(busy.id)
                _, _, body = await call
            moved = sum(len(engine.runs) for engine in deployment.engines) - 1
            return event_ids(body), moved

        return self.with_platform(scenario, routers=("a-1",), engines=engines)

    def test_running_answer_is_not_given_up_without_a_retry_permit(self):
        self.assertEqual(([1, 2, 3], 0), self.stream(extra=0.0))

    def test_running_answer_is_not_given_up_while_every_upstream_is_silent(self):
        found = self.stream(extra=100.0, engines=3, all_are_silent=True)
        self.assertEqual(([1, 2, 3], 0), found)

    def test_running_answer_is_not_given_up_by_the_only_upstream(self):
        self.assertEqual(([1, 2, 3], 0), self.stream(extra=100.0, engines=1))

    def test_running_answer_moves_to_an_upstream_that_answers(self):
        self.assertEqual(([1, 2, 3], 1), self.stream(extra=100.0))

    def test_retry_permit_outlasts_an_upstream_that_is_not_reached(self):
        def fail_next_send():
            send = failing_once(HttpClient.request)
            patch = mock.patch.object(HttpClient, "request", send)
            patch.start()
            self.addCleanup(patch.stop)

        found = self.stream(extra=1.25, engines=3, prepare=fail_next_send)
        self.assertEqual(([1, 2, 3], 1), found)
