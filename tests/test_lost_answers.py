"""A router that stops answers every request that it has read."""

import asyncio
import json
import socket
from unittest import mock

from lynxchute.standins.upstream_run import Fault
from tests.platform_support import (
    HOST,
    KEY,
    PlatformCaller,
    PlatformTestCase,
    configuration,
)
from tests.support import until

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
