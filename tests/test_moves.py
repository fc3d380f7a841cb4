"""Callers that move to another data centre while their session goes on."""

from lynxchute.standins.upstream_run import Fault
from tests.platform_support import PlatformCaller, PlatformTestCase, ids_of


class MoveTest(PlatformTestCase):
    def test_a_session_keeps_the_engine_that_has_its_prompt(self):
        async def scenario(deployment):
            near = PlatformCaller(deployment, "a-1")
            far = PlatformCaller(deployment, "b-1")
            for caller in (near, far, near, far):
                status, _, body = await caller.stream(tokens=(12_000, 60))
                self.assertEqual((200, 6), (status, len(ids_of(body))))
            runs = sorted(len(engine.runs) for engine in deployment.engines)
            self.assertEqual([0, 4], runs)

        self.with_platform(scenario)

    def test_a_stream_that_broke_in_one_goes_on_in_the_other(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults = [Fault.CUT, Fault.CUT]
            path = "/once/x"
            near = PlatformCaller(deployment, "a-1")
            self.assertTrue(await near.fails("POST", path, b"p", tokens=(100, 60)))
            # It may not be resumed by the router; its caller has three events.
            for engine in deployment.engines:
                engine.faults = []
            far = PlatformCaller(deployment, "b-1")
            extra = [("Last-Event-Id", "2")]
            status, _, body = await far.stream("/stream/x", extra=extra)
            self.assertEqual((200, [3, 4, 5, 6]), (status, ids_of(body)))

        self.with_platform(scenario)

    def test_a_call_that_may_have_run_runs_nowhere_else(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.faults = [Fault.LOSE]
            status, _, _ = await PlatformCaller(deployment, "a-1").send(
                "POST", "/unsafe/x", request_id="ticket-1"
            )
            self.assertEqual(502, status)
            self.assertEqual(1, sum(len(app.runs) for app in deployment.apps))

        self.with_platform(scenario)
