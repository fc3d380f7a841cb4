"""A VM whose link is full: what it waits for, and whom it sends elsewhere."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from lynxchute.http import HttpServer, LinkMeter
from lynxchute.http.client import HttpClient, Timeouts
from lynxchute.http.link_meter import MAX_DELAY
from lynxchute.relay.load import SHED_SECONDS, RouterLoad
from tests.platform_support import PlatformCaller, PlatformTestCase
from tests.support import AsyncTestCase


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class LinkMeterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        # A megabyte a second.
        self.meter = LinkMeter(8.0, self.clock)

    def test_what_is_sent_waits_for_what_was_sent_before(self):
        self.meter.note_sent(100_000)
        self.assertAlmostEqual(0.108, self.meter.delay(), places=3)
        self.clock.now += 0.1
        self.assertAlmostEqual(0.008, self.meter.delay(), places=3)
        self.clock.now += 0.1
        self.assertEqual(0.0, self.meter.delay())

    def test_arrivals_count_once_the_link_is_nearly_full(self):
        for _ in range(100):
            self.clock.now += 0.01
            self.meter.note_received(5_000)
        self.assertLess(self.meter.delay(), 0.01)
        for _ in range(200):
            self.clock.now += 0.01
            self.meter.note_received(9_600)
        self.assertGreater(self.meter.delay(), 0.1)

    @given(st.lists(st.tuples(st.integers(0, 10**8), st.floats(0, 5)), max_size=30))
    def test_delays_are_bounded_and_pass(self, sends):
        clock = Clock()
        meter = LinkMeter(5.0, clock)
        for size, pause in sends:
            meter.note_sent(size)
            meter.note_received(size)
            self.assertLessEqual(meter.delay(), 2 * MAX_DELAY)
            clock.now += pause
        clock.now += 10_000.0
        self.assertEqual(0.0, meter.delay())


class RouterLoadTest(testtools.TestCase):
    def test_callers_go_elsewhere_while_the_link_would_make_them_late(self):
        clock = Clock()
        meter = LinkMeter(8.0, clock)
        load = RouterLoad(meter, clock)
        self.assertFalse(load.is_too_slow(0.8))
        meter.note_sent(100_000)
        self.assertFalse(load.is_too_slow(0.8))
        self.assertTrue(load.is_too_slow(0.2))
        self.assertFalse(load.is_shedding)
        meter.note_sent(100_000)
        self.assertFalse(load.is_too_slow(0.8))
        self.assertTrue(load.is_shedding)
        clock.now += SHED_SECONDS - 0.1
        self.assertFalse(load.is_too_slow(0.2))
        self.assertTrue(load.is_shedding)
        clock.now += 0.2
        self.assertFalse(load.is_shedding)


class FullLinkTest(PlatformTestCase):
    def test_a_router_with_a_full_link_refuses_at_once_and_is_not_ready(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            caller = PlatformCaller(deployment)
            self.assertEqual(200, (await caller.stream())[0])
            # As much as half a second of an ample link.
            router.load._meter.note_sent(70_000_000)
            status, headers, body = await caller.stream()
            self.assertEqual(503, status)
            self.assertIn(b'"run": "not_run"', body)
            self.assertEqual("close", headers["connection"])
            self.assertLess(float(headers["retry-after"]), 0.1)
            self.assertFalse(router.is_ready())
            self.assertEqual(1, sum(len(e.runs) for e in deployment.engines))
            # Another router serves the same caller at once.
            other = PlatformCaller(deployment, "b-1")
            self.assertEqual(200, (await other.stream())[0])

        self.with_platform(scenario)


class PatienceTest(AsyncTestCase):
    def test_what_waits_for_the_own_link_is_no_silence(self):
        async def work():
            async def handle(request, respond):
                await respond.json(200, {})

            server = HttpServer(handle)
            await server.start("127.0.0.1", 0)
            meter = LinkMeter(8.0)
            client = HttpClient(
                f"127.0.0.1:{server.port}",
                timeouts=Timeouts(connect=0.0, first_byte=0.0),
                meter=meter,
            )
            meter.note_sent(400_000)
            status, _ = await client.get_json("/")
            self.assertEqual(200, status)
            client.close()
            await server.kill()

        self.run_async(work())


class SlowWayTest(PlatformTestCase):
    """A send that its link holds up until its caller has left is not begun.

    A VM whose link one account filled sent a caller's check-in with 357 ms left; it
    reached its upstream 581 ms after the caller had gone, and four did in a day.
    """

    def test_what_would_arrive_too_late_is_refused_and_not_sent(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            caller = PlatformCaller(deployment)
            for deadline_ms, expected in ((300, 503), (3000, 200)):
                # Admitted while the link was free, and full as it is to be sent.
                router.clients.meter = LinkMeter(8.0, lambda: 0.0)
                router.clients.meter.note_sent(400_000)
                status, headers, body = await caller.send(
                    "GET", "/safe/x", deadline_ms=deadline_ms
                )
                self.assertEqual(expected, status)
                arrived = [a for app in deployment.apps for a in app.arrivals]
                self.assertEqual(status == 200, bool(arrived))
                if status == 503:
                    self.assertIn(b'"run": "not_run"', body)
                    self.assertIn("retry-after", headers)

        self.with_platform(scenario)
