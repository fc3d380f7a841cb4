"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio

from lynxchute.http import ExchangeError
from lynxchute.standins.upstream_run import Fault
from tests.platform_support import (
    ACCOUNT,
    PlatformCaller,
    PlatformTestCase,
    event_ids,
    settled,
)
from tests.support import until

EVENTS = 6
WHOLE = list(range(1, EVENTS + 1))


class UnframedAnswerTest(PlatformTestCase):
    def play(self, scenario, **options):
        async def prepared(deployment):
            for upstream in deployment.upstreams:
                upstream.ends_with_connection = True
                upstream.resets_on_crash = False
            return await scenario(deployment)

        return self.with_platform(prepared, **options)

    async def streams(self, deployment, count, **options):
        callers = [PlatformCaller(deployment) for _ in range(count)]
        return await asyncio.gather(*(caller.stream(**options) for caller in callers))

    def test_whole_streams_are_delivered_and_billed_once(self):
        async def scenario(deployment):
            answers = await self.streams(deployment, 20)
            ledger = deployment.routers["a-1"].ledger_sync.ledger
            await settled(ledger)
            used = sum(
                router.ledger_sync.ledger.shares_by_account[ACCOUNT].own_use
                for router in deployment.routers.values()
                if ACCOUNT in router.ledger_sync.ledger.shares_by_account
            )
            return answers, used

        answers, used = self.play(scenario)
        self.assertEqual([WHOLE] * 20, [event_ids(body) for _, _, body in answers])
        # 100 tokens of prompt, and three tokens in each event.
        self.assertEqual(20 * (100 + 3 * EVENTS), used)

    def test_streams_that_end_inside_an_event_go_on_elsewhere(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults = [None, None, Fault.CUT, None]
            return await self.streams(deployment, 8)

        answers = self.play(scenario)
        self.assertEqual([WHOLE] * 8, [event_ids(body) for _, _, body in answers])

    def test_a_stream_without_events_goes_on_elsewhere(self):
        async def scenario(deployment):
            crashing = deployment.engines[0]
            crashing.faults = [Fault.CRASH]
            answers = []
            while not crashing.crashes and len(answers) < 20:
                answers += await self.streams(deployment, 1)
            return crashing.crashes, answers

        crashes, answers = self.play(scenario)
        self.assertEqual(1, crashes)
        for _, _, body in answers:
            self.assertEqual(WHOLE, event_ids(body))

    def test_an_engine_crash_before_the_first_event_is_no_whole_stream(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults = [Fault.CRASH]
            return await self.streams(deployment, 1)

        ((status, _, _),) = self.play(scenario)
        self.assertEqual(502, status)

    def test_a_crash_between_two_events_does_not_end_a_stream(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 30, 0.02
                engine.cuts_inside_event = False
            stream = asyncio.create_task(self.streams(deployment, 1))
            await until(lambda: any(engine.runs for engine in deployment.engines))
            (busy,) = [engine for engine in deployment.engines if engine.runs]
            await until(lambda: busy.runs[0].events_sent > 3)
            busy.crash()
            return await stream

        ((_, _, body),) = self.play(scenario)
        self.assertEqual(list(range(1, 31)), event_ids(body))

    def test_the_end_of_a_leaving_engine_between_two_events_does_not_end_a_stream(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 30, 0.02
                engine.cuts_inside_event = False
            stream = asyncio.create_task(self.streams(deployment, 1))
            await until(lambda: any(engine.runs for engine in deployment.engines))
            (busy,) = [engine for engine in deployment.engines if engine.runs]
            busy.state = "draining"
            await busy.register(deployment.store)
            entries = [
                router.directory.entries_by_id[busy.id]
                for router in deployment.routers.values()
            ]
            await until(lambda: all(entry.is_leaving for entry in entries))
            busy.crash()
            return await stream

        ((_, _, body),) = self.play(scenario)
        self.assertEqual(list(range(1, 31)), event_ids(body))

    def test_a_leaving_engine_ends_its_streams_as_whole(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.announces_leaving = True
            return await self.streams(deployment, 2)

        answers = self.play(scenario)
        self.assertEqual([WHOLE] * 2, [event_ids(body) for _, _, body in answers])

    def test_a_crash_inside_a_plain_answer_does_not_end_it(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.faults = [Fault.CUT_AND_CRASH]
            return await PlatformCaller(deployment).send("GET", "/safe/x")

        status, _, _ = self.play(scenario)
        self.assertEqual(502, status)

    def test_a_stream_resumed_after_its_last_event_gets_its_end(self):
        async def scenario(deployment):
            extra = [("Last-Event-Id", str(EVENTS))]
            return await self.streams(deployment, 1, extra=extra)

        ((status, _, body),) = self.play(scenario)
        self.assertEqual((200, b""), (status, body))

    def test_plain_answers_and_answers_to_head_are_delivered(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            answers = []
            for method in ("GET", "HEAD", "GET", "HEAD", "GET"):
                answers.append(await caller.send(method, "/safe/x"))
            return answers

        answers = self.play(scenario)
        self.assertEqual([200] * 5, [status for status, _, _ in answers])
        bodies = [body for _, _, body in answers]
        self.assertEqual([b"", b""], [bodies[1], bodies[3]])
        self.assertTrue(all(body.startswith(b"answer to") for body in bodies[::2]))

    def test_answers_that_have_no_body_take_no_further_connection(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            before = sum(app.connections for app in deployment.apps)
            answers = [await caller.send("HEAD", "/safe/x") for _ in range(6)]
            opened = sum(app.connections for app in deployment.apps) - before
            return [status for status, _, _ in answers], opened

        statuses, opened = self.play(scenario)
        self.assertEqual([200] * 6, statuses)
        self.assertEqual(6, opened)

    def test_a_stream_that_may_not_be_resumed_is_not_ended_as_whole(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults = [Fault.CUT]
            try:
                return await PlatformCaller(deployment).stream("/once/x")
            except ExchangeError:
                return None

        self.assertIsNone(self.play(scenario))
