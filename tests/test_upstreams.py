"""Faulty upstreams, callers that disconnect, and limits."""

import asyncio
import json

from lynxchute.config.document import LimitDocument
from lynxchute.http import (
    BadRequest,
    ExchangeError,
    HttpClient,
    HttpServer,
    ServerLimits,
    Timeouts,
)
from lynxchute.standins.counts import counted_by_account
from lynxchute.standins.faults import Faults
from tests.support import (
    AsyncTestCase,
    Caller,
    engine_runs,
    question,
    until,
    with_deployment,
)


def engines(deployment):
    return list(deployment.engines_by_name.values())


def completed_tokens(deployment):
    return sum(run["completion_tokens"] for run in engine_runs(deployment))


class UpstreamsTest(AsyncTestCase):
    def test_an_answer_to_another_request_is_never_forwarded(self):
        async def scenario(deployment):
            async def wrong(request, respond):
                answer = {"choices": [], "usage": {"total_tokens": 3}}
                await respond.json(200, answer, [("X-Request-Id", "another")])

            for engine in engines(deployment):
                engine.server.handler = wrong
            caller = Caller(deployment, "kyu-a-1")
            shorter = asyncio.create_task(caller.ask(question()))
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await shorter

        with_deployment(self, scenario)

    def test_a_caller_that_disconnects_frees_the_engine_and_pays_for_delivery(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1")
            stream = asyncio.create_task(caller.ask(question(stream=True)))
            await until(lambda: completed_tokens(deployment) > 5)
            stream.cancel()
            await asyncio.gather(stream, return_exceptions=True)
            await until(lambda: engine_runs(deployment)[0]["state"] == "cancelled")
            (run,) = engine_runs(deployment)
            await until(lambda: not open_reservations(deployment))
            counted = counted_by_account(deployment)["kanda"]
            # Without a usage report the prompt counts at its upper bound.
            self.assertGreaterEqual(counted, run["total_tokens"])
            self.assertLess(run["completion_tokens"], 60)

        with_deployment(self, scenario, token_delay=0.05)

    def test_an_engine_outage_yields_not_run_and_a_retry_time(self):
        async def scenario(deployment):
            for engine in engines(deployment):
                engine.faults.outage = True
            caller = Caller(deployment, "kyu-a-1")
            status, headers, body = await caller.ask(question())
            self.assertEqual((503, "not_run"), (status, json.loads(body)["run"]))
            self.assertIn("retry-after", headers)
            self.assertEqual([], engine_runs(deployment))
            await until(lambda: not open_reservations(deployment))
            self.assertEqual(0, counted_by_account(deployment)["kanda"])

        with_deployment(self, scenario)

    def test_one_account_cannot_occupy_every_slot(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1")
            first = asyncio.create_task(caller.ask(question(stream=True)))
            await until(lambda: completed_tokens(deployment))
            status, headers, body = await caller.ask(question("second"))
            self.assertEqual((429, "not_run"), (status, json.loads(body)["run"]))
            self.assertIn("retry-after", headers)
            other = Caller(deployment, "kyu-a-1", "poor")
            status, _, _ = await other.ask(question("third"))
            self.assertEqual(402, status)
            self.assertEqual(200, (await first)[0])
            self.assertEqual(200, (await caller.ask(question("fourth")))[0])

        limits = LimitDocument(max_open_per_account=1)
        with_deployment(self, scenario, token_delay=0.02, limits=limits)


def open_reservations(deployment):
    found = {}
    for router in deployment.routers_by_vm.values():
        found.update(router.ledger_sync.ledger.reservations_by_id)
    return found


class ExchangeTest(AsyncTestCase):
    def test_only_an_unsent_request_is_reported_as_unsent(self):
        async def work():
            unreachable_client = HttpClient(
                "127.0.0.1:1", timeouts=Timeouts(connect=0.5)
            )
            with self.assertRaises(ExchangeError) as caught:
                await unreachable_client.get_json("/")
            self.assertFalse(caught.exception.sent)

            async def silent(request, respond):
                respond.abort()

            server = HttpServer(silent)
            await server.start("127.0.0.1", 0)
            client = HttpClient(f"127.0.0.1:{server.port}")
            with self.assertRaises(ExchangeError) as caught:
                await client.get_json("/")
            self.assertTrue(caught.exception.sent)
            await server.kill()

        self.run_async(work())

    def test_an_unfinished_connection_is_not_reused(self):
        async def work():
            async def slow(request, respond):
                await respond.start(200, [("Transfer-Encoding", "chunked")])
                await respond.send(b"first")
                await asyncio.sleep(0.05)
                await respond.send(b"rest")
                await respond.finish()

            server = HttpServer(slow)
            await server.start("127.0.0.1", 0)
            client = HttpClient(f"127.0.0.1:{server.port}")
            response = await client.request("GET", "/")
            async for _ in response.chunks():
                response.close()
                break
            again = await client.request("GET", "/")
            self.assertEqual(b"firstrest", await again.body())
            client.close()
            await server.kill()

        self.run_async(work())

    def test_a_stalled_answer_times_out(self):
        async def work():
            async def stall(request, respond):
                await respond.start(200, [("Transfer-Encoding", "chunked")])
                await respond.send(b"first")
                await asyncio.sleep(30)

            server = HttpServer(stall)
            await server.start("127.0.0.1", 0)
            limits = Timeouts(between_bytes=0.05)
            client = HttpClient(f"127.0.0.1:{server.port}", timeouts=limits)
            response = await client.request("GET", "/")
            with self.assertRaises(ExchangeError):
                await response.body()
            await server.kill()

        self.run_async(work())

    def test_an_incomplete_request_is_refused_after_a_timeout(self):
        async def work():
            async def unexpected_handler(request, respond):
                self.fail("the handler was called for an incomplete request")

            server = HttpServer(
                unexpected_handler, limits=lambda: ServerLimits(body_timeout=0.05)
            )
            await server.start("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
            answer = await reader.read(2000)
            self.assertIn(b" 408 ", answer)
            self.assertIn(b'"run": "not_run"', answer)
            writer.close()
            await server.kill()

        self.run_async(work())

    def test_faults_are_switched_by_name_and_type(self):
        faults = Faults()
        faults.change({"outage": True, "delay": 2})
        self.assertEqual((True, 2.0), (faults.outage, faults.delay))
        for wrong in ({"outrage": True}, {"delay": "long"}):
            self.assertRaises(BadRequest, faults.change, wrong)
