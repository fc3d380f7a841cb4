"""What a router still takes while it stops is answered, and nothing that cannot end."""

import asyncio
import json
import pathlib
import tempfile

from lynxchute.edge.application import SERVE_AFTER_STOP_SECONDS
from tests.late_stop_play import play
from tests.platform_support import HOST, KEY, PlatformCaller, PlatformTestCase
from tests.support import until
from tests.test_lost_answers import allow_longer_than_a_stop, connect, read_slowly

PLAY_TIMEOUT = 60
# Seconds that a step of the hand-over takes if nobody answers.
SLOW_SECONDS = 3.0
# Seconds by which a check that is due may be late.
LATE_SECONDS = 0.4
# Seconds between two bytes of a body that arrives slowly.
TRICKLE_SECONDS = 0.1


def request_bytes(path, body):
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Request-Id: half1",
        "X-Deadline-Ms: 9000",
        f"X-Credential: {KEY}",
        f"Content-Length: {len(body)}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode(), body


class LateRequestTest(PlatformTestCase):
    """Guards against requests that are taken late in a stop and end with it."""

    def slow_hand_over(self, slow_down):
        """Return the status of a request sent as new ones must be refused."""

        async def scenario(deployment):
            router = deployment.routers["a-1"]
            slow_down(router)
            stopping = asyncio.create_task(router.drain())
            await asyncio.sleep(SERVE_AFTER_STOP_SECONDS + LATE_SECONDS)
            status, headers, body = await PlatformCaller(deployment).send(
                "POST", "/unsafe/x"
            )
            self.assertFalse(any(app.runs for app in deployment.apps))
            await stopping
            self.assertIn("retry-after", headers)
            return status, json.loads(body)["run"]

        return self.with_platform(scenario, routers=("a-1",))

    def test_requests_are_refused_in_time_though_the_registration_waits(self):
        def slow_down(router):
            async def register(member):
                await asyncio.sleep(SLOW_SECONDS)
                return False

            router.registry.register = register

        self.assertEqual((503, "not_run"), self.slow_hand_over(slow_down))

    def test_requests_are_refused_in_time_though_tokens_are_not_taken(self):
        def slow_down(router):
            async def transfer():
                await asyncio.sleep(SLOW_SECONDS)

            router.balance.transfer_borrowed = transfer

        self.assertEqual((503, "not_run"), self.slow_hand_over(slow_down))

    def test_a_hand_over_that_fails_ends_no_answer(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            for app in deployment.apps:
                app.event_delay = 1.0

            async def register(member):
                raise ValueError("not decoded")

            router.registry.register = register
            call = asyncio.create_task(
                PlatformCaller(deployment).send("POST", "/unsafe/x")
            )
            await until(lambda: any(app.runs for app in deployment.apps))
            router.components.clear()
            await router.drain()
            status, _, _ = await call
            self.assertEqual(200, status)

        self.with_platform(scenario, routers=("a-1",))

    def test_final_reports_that_fail_end_no_answer(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]

            async def flush():
                raise ValueError("not decoded")

            router.settlements.flush = flush
            idle = await connect(router)
            await router.drain()
            self.assertEqual(b"", await read_slowly(idle))

        self.with_platform(scenario, routers=("a-1",))


class EndlessRequestTest(PlatformTestCase):
    """Guards against requests that are passed on though they end after the stop."""

    # Seconds that answers take, and from the stop to the request.
    ANSWER, AFTER = 2.5, 1.5

    def send_late(self, path, *, answered_before, deadline_ms=9000):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            await allow_longer_than_a_stop(deployment, router)
            for app in deployment.apps:
                app.event_delay = self.ANSWER if answered_before else 0.05
            if answered_before:
                status, _, _ = await PlatformCaller(deployment).send("POST", path)
                self.assertEqual(200, status)
            for app in deployment.apps:
                app.event_delay = self.ANSWER
                app.arrivals.clear()
            stopping = asyncio.create_task(router.drain())
            await asyncio.sleep(self.AFTER)
            status, headers, body = await PlatformCaller(deployment).send(
                "POST", path, deadline_ms=deadline_ms
            )
            await stopping
            arrivals = [a for app in deployment.apps for a in app.arrivals]
            return status, json.loads(body) if status != 200 else {}, headers, arrivals

        return self.with_platform(scenario, routers=("a-1",))

    def check_refused(self, status, problem, headers, arrivals):
        self.assertEqual((503, "not_run"), (status, problem["run"]))
        self.assertIn("retry-after", headers)
        self.assertEqual([], arrivals)

    def test_a_call_whose_answers_take_longer_is_refused_before_it_is_sent(self):
        self.check_refused(*self.send_late("/unsafe/x", answered_before=True))

    def test_a_call_that_may_take_longer_and_run_only_once_is_refused(self):
        self.check_refused(*self.send_late("/unsafe/x", answered_before=False))

    def test_a_call_whose_time_ends_before_is_served(self):
        status, _, _, arrivals = self.send_late(
            "/unsafe/x", answered_before=False, deadline_ms=1500
        )
        self.assertEqual((504, 1), (status, len(arrivals)))


class HalfReadRequestTest(PlatformTestCase):
    """Guards against a request that is not read to its end and gets no answer."""

    def test_a_body_that_has_not_arrived_is_refused_at_the_end(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            head, body = request_bytes("/unsafe/x", b"x" * 1000)
            sock = await connect(router)
            sock.send(head)

            async def send_slowly():
                for number in range(len(body) - 1):
                    sock.send(body[number : number + 1])
                    await asyncio.sleep(TRICKLE_SECONDS)

            reading = asyncio.create_task(read_slowly(sock))
            sending = asyncio.create_task(send_slowly())
            await until(lambda: router.callers.unanswered)
            await router.drain()
            sending.cancel()
            await router.kill()
            answer = await reading
            self.assertEqual(b"HTTP/1.1 503", answer[:12])
            self.assertIn(b"retry-after", answer.lower())
            problem = json.loads(answer.partition(b"\r\n\r\n")[2])
            self.assertEqual("not_run", problem["run"])
            self.assertTrue(problem["type"].endswith(":stopping"), problem)

        self.with_platform(scenario, routers=("a-1",))


class ProcessStopTest(PlatformTestCase):
    """Guards against answers that a stopping process cuts or requests it takes late."""

    # Seconds after the signal from which nothing may be passed on.
    LAST_PASSED_ON = SERVE_AFTER_STOP_SECONDS + LATE_SECONDS

    def check(self, name):
        with tempfile.TemporaryDirectory() as folder:
            fleet = self.run_async(play(pathlib.Path(folder), name), PLAY_TIMEOUT)
        self.assertEqual([], fleet.rules().violations())
        self.assertEqual([], [o.request_id for o in fleet.unknown()])
        self.assertLess(max(fleet.arrivals_after_stop()), self.LAST_PASSED_ON)

    def test_a_stop_in_calm(self):
        self.check("calm")

    def test_a_stop_beside_a_store_and_routers_that_are_silent(self):
        self.check("all_silent")

    def test_a_stop_of_the_only_router_that_reaches_upstreams(self):
        self.check("forwarding")
