"""Stand-ins of upstreams that fall silent for a while and go on."""

import asyncio
import random

import testtools

from lynxchute.callers import names
from lynxchute.http import HttpClient
from lynxchute.standins.callers import Callers
from lynxchute.standins.service import ServiceServer
from lynxchute.standins.silences import (
    BETWEEN_SECONDS,
    SILENCE_SECONDS,
    plan_silences,
    singles_and_data_centres,
)
from lynxchute.upstreams.load_report import LOAD_PATH
from tests.support import (
    ACCOUNT,
    AsyncTestCase,
    Caller,
    question,
    stream_text,
    with_deployment,
)

NAMES_BY_DATA_CENTRE = {"a": ("a-1", "a-2"), "b": ("b-1",)}
SILENT_SECONDS = 0.6
RELOAD_SECONDS = 2.0


class PlanTest(testtools.TestCase):
    def test_each_upstream_and_each_data_centre_is_silent_once(self):
        groups = list(singles_and_data_centres(NAMES_BY_DATA_CENTRE))
        expected = [("a-1",), ("a-2",), ("b-1",), ("a-1", "a-2"), ("b-1",)]
        self.assertEqual(expected, groups)
        plan = plan_silences(groups, random.Random(3))
        self.assertEqual(sorted(groups), sorted(silence.names for silence in plan))

    def test_a_seed_fixes_order_and_moments(self):
        groups = [(str(number),) for number in range(20)]
        plan = plan_silences(groups, random.Random(3))
        self.assertEqual(plan, plan_silences(groups, random.Random(3)))
        self.assertNotEqual(plan, plan_silences(groups, random.Random(4)))
        for silence in plan:
            self.assertTrue(SILENCE_SECONDS[0] <= silence.seconds <= SILENCE_SECONDS[1])
            self.assertTrue(BETWEEN_SECONDS[0] <= silence.after <= BETWEEN_SECONDS[1])


class SilentDeploymentTest(AsyncTestCase):
    def test_a_silent_engine_runs_on_and_sends_its_events_later(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1")
            stream = asyncio.create_task(caller.ask(question(stream=True)))
            engines = deployment.engines_by_name.values()
            busy = None
            while busy is None:
                await asyncio.sleep(0.01)
                for engine in engines:
                    if engine.runs and engine.runs[0].done > 2:
                        busy = engine
            run = busy.runs[0]
            self.assertTrue(run.is_stream and run.is_running)
            deployment.silence([busy.name])
            await asyncio.sleep(SILENT_SECONDS)
            self.assertFalse(run.is_running)
            self.assertFalse(stream.done())
            await deployment.end_silence([busy.name])
            _, _, body = await stream
            self.assertTrue(stream_text(body)[1])
            self.assertEqual(1, sum(len(engine.runs) for engine in engines))

        with_deployment(self, scenario, token_delay=0.01)

    def test_changed_settings_are_reloaded(self):
        async def scenario(deployment):
            deployment.reload_settings("kyu-a-1", retry_share=0.4)
            async with asyncio.timeout(RELOAD_SECONDS):
                router = deployment.routers_by_vm["kyu-a-1"]
                while router.settings.bounds.retry_share != 0.4:
                    await asyncio.sleep(0.01)

        with_deployment(self, scenario)


class BrokenAnswerTest(AsyncTestCase):
    def test_answers_that_a_router_ends_count_as_broken_off(self):
        async def scenario(deployment):
            callers = Callers(deployment, random.Random(1))
            scene = asyncio.create_task(callers.run(SILENT_SECONDS, 40.0))
            await asyncio.sleep(SILENT_SECONDS / 2)
            await deployment.kill_router("kyu-a-1")
            await scene
            attempts = [a for item in callers.sent for a in item.attempts]
            broken = {a.vm for a in attempts if a.is_broken_off}
            self.assertEqual({"kyu-a-1"}, broken)

        with_deployment(self, scenario, token_delay=0.02, budgets={ACCOUNT: 1_000_000})


class ProbedServiceTest(AsyncTestCase):
    """Guards against records of calls that nobody made."""

    def test_a_plain_service_records_calls_but_no_probes(self):
        async def work():
            service = ServiceServer("app")
            await service.server.start("127.0.0.1", 0)
            client = HttpClient(f"127.0.0.1:{service.server.port}")
            try:
                for headers in ([], [(names.REQUEST_ID, "r1")]):
                    response = await client.request("GET", LOAD_PATH, headers=headers)
                    await response.body()
            finally:
                client.close()
                await service.server.kill()
            self.assertEqual(["r1"], [run["request_id"] for run in service.runs])

        self.run_async(work())
