"""What connections hold of requests that have not been answered."""

import asyncio
import contextlib
import socket
import tracemalloc
from unittest import mock

import hypothesis
import hypothesis.strategies as st
import testtools

from lynxchute.edge.limits import internal_answer_bounds
from lynxchute.http import HttpServer, ServerLimits, not_found
from lynxchute.http.connection import ServerConnection
from lynxchute.overload.connection_limit import ConnectionLimit
from lynxchute.overload.inbound_memory import (
    SOUND_SECONDS,
    InboundBuffer,
    InboundMemory,
)
from lynxchute.overload.memory_guard import BufferBounds, MemoryGuard
from lynxchute.platform.names import READY_PATH
from tests.platform_support import PlatformDeployment
from tests.support import AsyncTestCase, until

BOUND = 1000
READ_SECONDS = 0.5
# Memory of a small VM, and the size of the state dump beside 11,000 upstreams.
SMALL_MEMORY_MB = 150.0
LARGE_DUMP_BYTES = 4_000_000
# Less than a body may take to arrive.
ANSWER_SECONDS = 2.0


class FakeBuffer(InboundBuffer):
    def __init__(self):
        self.memory = None
        self.droppable = self.served = self.drops = 0

    def drop_inbound(self):
        self.drops += 1
        self.droppable = 0

    def hold(self, droppable, served=0, now=0.0):
        self.droppable, self.served = droppable, served
        self.memory.update(self, droppable=droppable, served=served, now=now)


class InboundMemoryTest(testtools.TestCase):
    """Guards against requests that hold memory without an end."""

    def setUp(self):
        super().setUp()
        self.dropped = []
        self.memory = InboundMemory(
            lambda: BOUND, lambda size, seconds: self.dropped.append((size, seconds))
        )

    def buffers(self, count):
        found = [FakeBuffer() for _ in range(count)]
        for buffer in found:
            buffer.memory = self.memory
        return found

    def test_the_oldest_large_request_makes_room(self):
        small, old, young, newcomer = self.buffers(4)
        small.hold(10, now=0.0)
        old.hold(400, now=1.0)
        young.hold(400, now=2.0)
        self.assertTrue(self.memory.make_room(newcomer, 500, 3.5))
        self.assertEqual([0, 1, 0], [b.drops for b in (small, old, young)])
        self.assertEqual([(400, 2.5)], self.dropped)

    def test_requests_that_have_just_begun_make_no_room(self):
        first, second = self.buffers(2)
        first.hold(800, now=10.0)
        now = 10.0 + SOUND_SECONDS / 2
        self.assertFalse(self.memory.make_room(second, 500, now))
        self.assertEqual(0, first.drops)

    def test_a_request_makes_no_room_for_itself(self):
        [buffer] = self.buffers(1)
        buffer.hold(700, now=0.0)
        self.assertFalse(self.memory.make_room(buffer, 500, 5.0))
        self.assertEqual(0, buffer.drops)

    def test_what_arrives_last_is_dropped_if_nothing_else_can_be(self):
        first, second = self.buffers(2)
        first.hold(900, now=10.0)
        second.hold(200, now=10.1)
        self.assertEqual([0, 1], [first.drops, second.drops])

    def test_requests_that_are_served_are_kept(self):
        served, other = self.buffers(2)
        served.hold(0, served=900, now=0.0)
        other.hold(200, now=9.0)
        self.assertEqual((0, 1), (served.drops, other.drops))
        self.assertEqual(900, self.memory.held)

    def test_what_arrives_after_a_served_request_is_dropped(self):
        [buffer] = self.buffers(1)
        buffer.hold(800, served=300, now=0.0)
        self.assertEqual((1, 300), (buffer.drops, self.memory.held))

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(0, 7),
                st.integers(0, 600),
                st.booleans(),
                st.floats(0.0, 2.0),
            ),
            max_size=60,
        )
    )
    def test_only_served_requests_exceed_the_bound(self, steps):
        self.memory = InboundMemory(lambda: BOUND)
        buffers = self.buffers(8)
        now = 0.0
        for index, size, is_served, seconds in steps:
            now += seconds
            buffer = buffers[index]
            if is_served:
                buffer.hold(0, served=size, now=now)
            elif self.memory.make_room(buffer, size // 2, now):
                buffer.hold(size, served=0, now=now)
            held = sum(b.droppable + b.served for b in buffers)
            served = sum(b.served for b in buffers)
            self.assertEqual(held, self.memory.held)
            self.assertLessEqual(held, max(BOUND, served))


class HeldByConnectionsTest(AsyncTestCase):
    """Guards against connections that hold more than is counted."""

    CONNECTIONS, BODY_BYTES = 60, 199_000
    LIMITS = ServerLimits(max_body_bytes=200_000, max_buffered_bytes=1_000_000)
    # The bound, and as much again for what is being copied.
    MAX_BYTES = 2_000_000
    BODY = (
        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 199000\r\n\r\n"
        + b"x" * 198_000
    )
    AHEAD = b"GET /x HTTP/1.1\r\nHost: h\r\nX-A: " + b"x" * 4000 + b"\r\n\r\n"

    async def most_held(self, data, handler=not_found):
        """Return the most bytes that were allocated as connections sent data."""
        server = HttpServer(handler, limits=lambda: self.LIMITS)
        await server.start("127.0.0.1", 0)
        sockets = []
        tracemalloc.start()
        try:
            async with asyncio.TaskGroup() as group:
                for _ in range(self.CONNECTIONS):
                    sock = socket.socket()
                    sock.setblocking(False)
                    sockets.append(sock)
                    group.create_task(self.send(sock, server.port, data))
            # The server reads what the kernel has taken.
            await asyncio.sleep(READ_SECONDS)
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            for sock in sockets:
                sock.close()
            await server.kill()

    async def send(self, sock, port, data):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.8):
                await loop.sock_connect(sock, ("127.0.0.1", port))
                await loop.sock_sendall(sock, data)

    def test_refused_bodies_are_released(self):
        most = self.run_async(self.most_held(self.BODY))
        self.assertLess(most, self.MAX_BYTES)

    def test_requests_ahead_of_one_that_is_served_are_counted(self):
        async def wait(request, respond):
            await asyncio.sleep(1.0)
            await not_found(request, respond)

        most = self.run_async(self.most_held(self.AHEAD * 50, wait))
        self.assertLess(most, self.MAX_BYTES)

    def test_a_head_that_took_long_is_refused_once_where_its_body_has_no_room(self):
        async def scenario():
            errors = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))
            limits = ServerLimits(max_body_bytes=200_000, max_buffered_bytes=200_000)
            server = HttpServer(not_found, limits=lambda: limits)
            await server.start("127.0.0.1", 0)
            connect = asyncio.open_connection
            reader, writer = await connect("127.0.0.1", server.port)
            writer.write(self.BODY[:51] + b"X-A: " + b"x" * 9000)
            await until(lambda: server.inbound.held > 9000)
            await asyncio.sleep(SOUND_SECONDS * 1.1)
            writer.write(b"\r\n" + self.BODY[51:])
            async with asyncio.timeout(5.0):
                answer = await reader.read()
            self.assertEqual([], errors)
            self.assertEqual(1, answer.count(b"HTTP/1.1 "))
            self.assertIn(b" 503 ", answer)
            await until(lambda: not server.connections)
            self.assertEqual(0, server.inbound.held)
            self.assertEqual(0, server.buffered_bytes)
            writer.close()
            await server.kill()

        self.run_async(scenario())

    def test_a_body_whose_caller_has_left_is_counted_while_it_is_served(self):
        async def scenario():
            may_end = asyncio.Event()

            async def wait(request, respond):
                respond.survives_disconnect = True
                await may_end.wait()

            server = HttpServer(wait, limits=lambda: self.LIMITS)
            await server.start("127.0.0.1", 0)
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(self.BODY + b"x" * 1000)
            await until(lambda: server.buffered_bytes == self.BODY_BYTES)
            await until(lambda: any(c.handler_task for c in server.connections))
            writer.transport.abort()
            await until(lambda: not server.connections)
            self.assertEqual(self.BODY_BYTES, server.buffered_bytes)
            may_end.set()
            await until(lambda: server.buffered_bytes == 0)
            self.assertEqual(0, server.inbound.held)
            await server.kill()

        self.run_async(scenario())


class CutConnectionTest(AsyncTestCase):
    """Guards against an error in one connection as another one makes room for it."""

    HEAD = (
        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )

    def test_a_connection_whose_answer_was_cut_makes_room_and_place(self):
        async def scenario():
            guard = MemoryGuard(BufferBounds(total=1, by_account=1, by_connection=1))
            limit = ConnectionLimit(lambda: 1)
            server = HttpServer(not_found, guard=guard, connection_limit=limit)
            transport = mock.create_autospec(asyncio.Transport, instance=True)
            transport.is_closing.return_value = False
            transport.get_write_buffer_size.return_value = 100
            connection = ServerConnection(server)
            connection.connection_made(transport)
            connection.data_received(self.HEAD + b"x" * 1000)
            transport.abort.assert_called()
            connection.drop_inbound()
            self.assertFalse(limit.admit(ServerConnection(server)))
            connection.connection_lost(None)
            self.assertEqual(0, server.inbound.held)

        self.run_async(scenario())


class InternalPortsTest(AsyncTestCase):
    """Guards against bodies that are kept though nobody has a use for them."""

    def test_one_dump_of_a_large_fleet_fits_into_the_bounds(self):
        bounds = internal_answer_bounds(SMALL_MEMORY_MB)
        self.assertLess(LARGE_DUMP_BYTES, bounds.by_account)
        self.assertLess(LARGE_DUMP_BYTES, bounds.total)

    async def send_head(self, port, path):
        """Return the status that a request gets before its body is sent."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
            writer.write(head.encode())
            async with asyncio.timeout(ANSWER_SECONDS):
                line = await reader.readline()
        finally:
            writer.transport.abort()
        return int(line.split()[1])

    def test_bodies_are_refused_by_their_heads(self):
        async def scenario():
            deployment = PlatformDeployment(routers=("a-1",))
            await deployment.start()
            settings = deployment.settings["a-1"]
            try:
                status = await self.send_head(settings.readiness.port, READY_PATH)
                self.assertEqual(413, status)
                status = await self.send_head(settings.peers.port, "/x")
                self.assertEqual(401, status)
            finally:
                await deployment.stop()

        self.run_async(scenario())
