"""Which connections stay open while there are too many."""

import asyncio

import hypothesis
import hypothesis.strategies as st
import testtools

from lynxchute.http import HttpServer, not_found
from lynxchute.overload.connection_limit import ConnectionLimit, LimitedConnection
from tests.support import AsyncTestCase, until

LIMIT = 20
# With the connections that end to make room.
MOST = 22


class FakeConnection(LimitedConnection):
    is_idle = True
    waiting_since = None
    has_ended = False

    def end_waiting(self):
        self.has_ended = True


class ConnectionLimitTest(testtools.TestCase):
    """Guards against connections that use up the descriptors."""

    def setUp(self):
        super().setUp()
        self.limit = ConnectionLimit(lambda: LIMIT)

    def admit(self, *, since=None, is_idle=True):
        connection = FakeConnection()
        connection.waiting_since, connection.is_idle = since, is_idle
        return connection, self.limit.admit(connection)

    def test_the_longest_idle_connection_ends_first(self):
        ends = [self.admit(since=9.0, is_idle=False)[0]]
        ends += [self.admit(since=5.0 - n / 10)[0] for n in range(LIMIT - 1)]
        _, is_admitted = self.admit()
        self.assertTrue(is_admitted)
        self.assertEqual([ends[-1]], [c for c in ends if c.has_ended])

    def test_incomplete_requests_end_where_nothing_is_idle(self):
        found = [self.admit(since=float(n), is_idle=False)[0] for n in range(LIMIT)]
        self.admit()
        self.assertEqual([found[0]], [c for c in found if c.has_ended])

    def test_connections_that_are_served_stay(self):
        found = [self.admit()[0] for _ in range(LIMIT)]
        _, is_admitted = self.admit()
        self.assertFalse(is_admitted)
        self.assertEqual([], [c for c in found if c.has_ended])

    def test_a_connection_that_has_begun_to_be_served_stays(self):
        found = [self.admit(since=float(n))[0] for n in range(LIMIT)]
        self.admit()
        found[1].waiting_since = None
        found[2].waiting_since = 99.0
        self.admit()
        ended = [number for number, c in enumerate(found) if c.has_ended]
        self.assertEqual([0, 3], ended)

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 40), st.booleans(), st.booleans()), max_size=120
        )
    )
    def test_no_more_are_open_than_the_limit_permits(self, steps):
        self.limit = ConnectionLimit(lambda: LIMIT)
        admitted = []
        for number, is_waiting, is_closed in steps:
            since = float(number) if is_waiting else None
            connection, is_admitted = self.admit(since=since)
            if is_admitted:
                admitted.append(connection)
            if is_closed and admitted:
                self.limit.discard(admitted.pop(number % len(admitted)))
            self.assertEqual(len(admitted), self.limit.count)
            self.assertLessEqual(self.limit.count, MOST)
            staying = [c for c in admitted if not c.has_ended]
            self.assertLessEqual(len(staying), LIMIT)


class LimitedServerTest(AsyncTestCase):
    """Guards against refusals that are not true as connections end for others."""

    def test_an_incomplete_request_is_refused_and_an_idle_connection_closed(self):
        async def scenario():
            limit = ConnectionLimit(lambda: 2)
            server = HttpServer(not_found, connection_limit=limit)
            await server.start("127.0.0.1", 0)
            connect = asyncio.open_connection
            incomplete = await connect("127.0.0.1", server.port)
            incomplete[1].write(b"POST /x HTTP/1.1\r\n")
            idle = await connect("127.0.0.1", server.port)
            await until(lambda: limit.count == 2)
            await until(lambda: sum(c.is_idle for c in server.connections) == 1)
            writers = [incomplete[1], idle[1]]
            async with asyncio.timeout(5.0):
                writers.append((await connect("127.0.0.1", server.port))[1])
                self.assertEqual(b"", await idle[0].read())
                writers.append((await connect("127.0.0.1", server.port))[1])
                answer = await incomplete[0].read()
            self.assertIn(b" 503 ", answer)
            self.assertIn(b'"run": "not_run"', answer)
            self.assertIn(b"Too many connections", answer)
            for writer in writers:
                writer.close()
            await until(lambda: limit.count == 0)
            await server.kill()

        self.run_async(scenario())
