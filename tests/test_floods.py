"""Bytes without end: memory stays bounded, and other callers are served."""

import asyncio
import pathlib
import tempfile
import tracemalloc
from unittest import mock

import testtools

from lynxchute.fleet.client import TIMEOUTS as PEER_TIMEOUTS
from lynxchute.http import (
    ExchangeError,
    HttpClient,
    HttpServer,
    LinkMeter,
    Timeouts,
    not_found,
)
from lynxchute.http.client_connection import ClientConnection, OutgoingRequest
from lynxchute.http.connection import AbortCause, ServerConnection
from lynxchute.http.link_meter import UNLIMITED_LINK
from lynxchute.http.parsing_turns import MAX_EVENTS
from lynxchute.platform.engines import PROBE_TIMEOUTS
from lynxchute.platform.store import _timeouts
from lynxchute.relay.load import FULL_DELAY, RouterLoad
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.tunnels.connection import TunnelledConnection, TunnelProtocol
from lynxchute.upstreams.http_engines import LIST_TIMEOUTS, MAX_REPORT_BYTES
from tests.flood_play import FLOOD_SECONDS, FLOODS_BY_NAME, FloodingUpstream, play
from tests.support import AsyncTestCase, until

PLAY_TIMEOUT = 60
# Megabytes that a router may use whose limit is 200.
MAX_MEGABYTES = 150.0
# Seconds within which a request is answered whose upstream fails without end.
ANSWER_SECONDS = 1.5
# Bytes a second and seconds of a flood, and of a link of a megabyte a second.
FLOOD_RATE = 60_000_000
LINK_MBPS = 8.0
# A slow link of a small site.
SLOW_LINK_MBPS = 5.0
STEP_SECONDS = 0.01


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class FloodedMeterTest(testtools.TestCase):
    """Guards against a link that counts as full though more bytes have arrived."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.meter = LinkMeter(LINK_MBPS, self.clock)

    def flood(self, seconds, *, is_passed_on=False, rate=FLOOD_RATE):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            self.meter.record_received(round(rate * STEP_SECONDS))
            if is_passed_on:
                self.meter.record_sent(round(rate * STEP_SECONDS))

    def test_a_link_is_not_full_after_a_flood_that_it_carried(self):
        self.flood(3.0)
        self.assertLess(self.meter.delay(), FULL_DELAY)

    def test_a_link_is_not_full_after_a_flood_that_was_passed_on(self):
        self.flood(3.0, is_passed_on=True)
        self.assertFalse(RouterLoad(self.meter, self.clock).is_full)

    def test_a_link_is_not_full_while_it_carries_a_flood(self):
        self.flood(0.5)
        for _ in range(10):
            self.flood(0.1)
            self.assertLess(self.meter.delay(), FULL_DELAY)

    def test_bytes_that_waited_while_the_process_stood_still_prove_nothing(self):
        self.flood(1.0, rate=500_000)
        self.clock.now += 1.0
        self.meter.record_received(1_000_000)
        self.flood(0.5, rate=1_000_000)
        self.assertGreater(self.meter.use(), 0.7)
        self.meter.record_sent(500_000)
        self.assertGreater(self.meter.delay(), FULL_DELAY)

    def test_a_link_that_is_full_for_long_is_not_full_for_long_after_it(self):
        self.flood(30.0, rate=1_000_000)
        self.clock.now += 1.0
        self.assertLess(self.meter.delay(), FULL_DELAY)


class FloodTestCase(AsyncTestCase):
    def play(self, flood, **options):
        with tempfile.TemporaryDirectory() as folder:
            return self.run_async(
                play(pathlib.Path(folder), flood, **options), PLAY_TIMEOUT
            )

    def check(self, found):
        for answers in (found.beside, found.after):
            served = [status == 200 and is_whole for status, is_whole, _ in answers]
            self.assertEqual([True] * len(answers), served, found.summary())
        self.assertEqual([], found.ended)
        self.assertLess(found.peak_megabytes, MAX_MEGABYTES)


class AnswerFloodTest(FloodTestCase):
    """Guards against sound callers who are refused beside and after a flood."""

    def test_chunks_without_end(self):
        self.check(self.play("chunked"))

    def test_tiny_chunks_without_end(self):
        self.check(self.play("tiny"))

    def test_small_events_without_end(self):
        self.check(self.play("small"))

    def test_a_body_of_unlimited_length(self):
        self.check(self.play("huge"))

    def test_a_body_that_ends_with_its_connection(self):
        self.check(self.play("close"))

    def test_events_without_end_on_a_slow_link(self):
        self.check(self.play("events", link_mbps=SLOW_LINK_MBPS))

    def test_events_without_end_that_a_caller_does_not_read(self):
        self.check(self.play("events", is_read=False))

    def test_head_lines_without_end(self):
        self.check(self.play("lines"))

    def test_an_event_without_end(self):
        self.check(self.play("event"))


class FailureFloodTest(FloodTestCase):
    """Guards against failures without end that are passed on as broken answers."""

    def check_answered(self, flood):
        found = self.play(flood)
        self.check(found)
        for status, is_whole, seconds in found.bad:
            self.assertTrue(is_whole, found.summary())
            self.assertIn(status, (502, 503))
            self.assertLess(seconds, ANSWER_SECONDS)

    def test_errors_without_end(self):
        self.check_answered("error")

    def test_refusals_without_end(self):
        self.check_answered("refuse")

    def test_rejections_without_end(self):
        self.check_answered("declined")

    def test_errors_that_trickle_end_with_the_time_of_their_requests(self):
        found = self.play("trickle")
        self.check(found)
        self.assertLess(max(s for _, _, s in found.bad), FLOOD_SECONDS + 0.5)


class TunnelFloodTest(FloodTestCase):
    """Guards against a router that refuses callers as it forwards a flood."""

    def test_chunks_without_end_through_another_router(self):
        self.check(self.play("chunked", has_tunnels=True))

    def test_events_without_end_through_another_router(self):
        self.check(self.play("events", has_tunnels=True))

    def test_events_without_end_through_another_router_on_slow_links(self):
        play = self.play("events", has_tunnels=True, link_mbps=SLOW_LINK_MBPS)
        self.check(play)

    def test_events_that_a_caller_does_not_read_through_another_router(self):
        self.check(self.play("events", has_tunnels=True, is_read=False))

    def test_tiny_chunks_without_end_through_another_router(self):
        self.check(self.play("tiny", has_tunnels=True))


class ReportFloodTest(FloodTestCase):
    """Guards against memory that load reports without end take."""

    REPORTS = 24

    def test_reports_without_end(self):
        self.check(self.play("chunked", reports=self.REPORTS))

    def test_reports_of_deeply_repeated_json(self):
        self.check(self.play("json", reports=self.REPORTS))

    def test_reports_that_trickle(self):
        self.check(self.play("trickle", reports=self.REPORTS))


class PeerFloodTest(FloodTestCase):
    """Guards against routers and a store whose answers do not end."""

    ROUTERS = 12

    def test_replies_of_other_routers_without_end(self):
        self.check(self.play("json", routers=self.ROUTERS))

    def test_answers_of_the_store_without_end(self):
        self.check(self.play("json", stores=True))


class WholeBodyTest(AsyncTestCase):
    """Guards against whole answers that are read without a bound in size or time."""

    def read(self, flood, timeouts):
        """Return why an answer without end was given up, and after how many seconds."""

        async def scenario():
            upstream = FloodingUpstream("bad-pool", flood)
            await upstream.start(PlatformStoreStandin())
            client = HttpClient(upstream.standin.address, timeouts=timeouts)
            loop = asyncio.get_running_loop()
            began = loop.time()
            try:
                await client.get_json("/x", limit=MAX_REPORT_BYTES)
            except ExchangeError as error:
                return str(error), loop.time() - began
            finally:
                client.close()
                await upstream.stop()

        return self.run_async(scenario())

    def test_a_body_that_trickles_ends_with_its_timeout(self):
        timeouts = Timeouts(between_bytes=1.0, whole_body=0.5)
        reason, seconds = self.read("trickle", timeouts)
        self.assertEqual("the answer took too long", reason)
        self.assertLess(seconds, 1.0)

    def test_a_body_without_end_is_closed_at_its_limit(self):
        reason, _ = self.read("chunked", Timeouts())
        self.assertEqual("the answer is too large", reason)

    def test_every_peer_has_a_timeout_for_whole_bodies(self):
        for timeouts in (PROBE_TIMEOUTS, LIST_TIMEOUTS, PEER_TIMEOUTS, _timeouts(9.0)):
            self.assertIsNotNone(timeouts.whole_body)


class TunnelRefusalTest(AsyncTestCase):
    """Guards against a router that refuses a tunnel with bytes without end."""

    def test_a_refusal_without_end_is_closed(self):
        async def scenario():
            protocol = TunnelProtocol(
                "127.0.0.1:1", [], TunnelledConnection(UNLIMITED_LINK, "a-2"), list
            )
            transport = mock.create_autospec(asyncio.Transport, instance=True)
            protocol.connection_made(transport)
            head, chunk = FLOODS_BY_NAME["refuse"]
            protocol.data_received(head)
            protocol.data_received(chunk)
            self.assertTrue(protocol.opened.done())
            transport.abort.assert_called()

        self.run_async(scenario())


class TinyChunksTest(AsyncTestCase):
    """Guards against bodies that take many times their size of memory."""

    # Bytes of the body, and times its size that it may take.
    SIZE, FACTOR = 100_000, 4

    def test_a_body_of_tiny_chunks_takes_no_more_than_its_size(self):
        async def scenario():
            server = HttpServer(not_found)
            await server.start("127.0.0.1", 0)
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            head = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            body = b"2\r\nxy\r\n" * (self.SIZE // 2)
            tracemalloc.start()
            try:
                writer.write(head + body)
                # The last chunk is not sent, so that the body is kept.
                await until(lambda: server.buffered_bytes == self.SIZE, 20.0)
                taken, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            writer.close()
            await server.kill()
            self.assertLess(taken, self.FACTOR * self.SIZE)

        self.run_async(scenario())


class ParsingTurnTest(AsyncTestCase):
    """Guards against tiny chunks that keep a router from all other work."""

    CHUNKS = b"2\r\nxy\r\n" * 20_000

    def test_a_response_in_tiny_chunks_is_parsed_in_turns(self):
        async def scenario():
            connection = ClientConnection()
            transport = mock.create_autospec(asyncio.Transport, instance=True)
            transport.is_closing.return_value = False
            connection.connection_made(transport)
            headers = [(b"Host", b"h"), (b"Content-Length", b"0")]
            connection.send(OutgoingRequest("GET", "/x", headers), b"")
            connection.data_received(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self.CHUNKS
            )
            await connection.read_head()
            first = connection.read_available()
            self.assertEqual(2 * MAX_EVENTS, len(first))

        self.run_async(scenario())

    def test_a_request_in_tiny_chunks_is_parsed_in_turns(self):
        async def scenario():
            server = HttpServer(not_found)
            connection = ServerConnection(server)
            transport = mock.create_autospec(asyncio.Transport, instance=True)
            transport.is_closing.return_value = False
            connection.connection_made(transport)
            connection.data_received(
                b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                + self.CHUNKS
            )
            self.assertLessEqual(server.buffered_bytes, 2 * MAX_EVENTS)
            transport.pause_reading.assert_called_once()
            await until(lambda: server.buffered_bytes > 2 * MAX_EVENTS)
            connection.abort(AbortCause.STOPPED)

        self.run_async(scenario())
