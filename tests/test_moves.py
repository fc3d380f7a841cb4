"""Callers that switch to a router in another data centre during a session."""

from lynxchute.standins.upstream_run import Fault
from tests.platform_support import PlatformCaller, PlatformTestCase, event_ids


class MoveTest(PlatformTestCase):
    def test_session_stays_at_the_engine_that_cached_its_prompt(self):
        async def scenario(deployment):
            local = PlatformCaller(deployment, "a-1")
            remote = PlatformCaller(deployment, "b-1")
            for caller in (local, remote, local, remote):
                status, _, body = await caller.stream(tokens=(12_000, 60))
                self.assertEqual((200, 6), (status, len(event_ids(body))))
            runs = sorted(len(engine.runs) for engine in deployment.engines)
            self.assertEqual([0, 4], runs)

        self.with_platform(scenario)

    def test_broken_stream_is_resumed_through_another_router(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults = [Fault.CUT, Fault.CUT]
            path = "/once/x"
            local = PlatformCaller(deployment, "a-1")
            self.assertTrue(
                await local.send_fails("POST", path, b"p", tokens=(100, 60))
            )
            # The "once" route forbids resuming by the router. The caller has received
            # three events and resumes the stream itself through another router.
            for engine in deployment.engines:
                engine.faults = []
            remote = PlatformCaller(deployment, "b-1")
            extra = [("Last-Event-Id", "2")]
            status, _, body = await remote.stream("/stream/x", extra=extra)
            self.assertEqual((200, [3, 4, 5, 6]), (status, event_ids(body)))

        self.with_platform(scenario)

    def test_stream_resumed_after_its_last_event_is_answered(self):
        async def scenario(deployment):
            extra = [("Last-Event-Id", "6")]
            remote = PlatformCaller(deployment, "b-1")
            status, headers, body = await remote.stream("/stream/x", extra=extra)
            self.assertEqual((200, b""), (status, body))
            self.assertIn("x-response-stamp", headers)

        self.with_platform(scenario)

    def test_non_idempotent_call_is_not_retried(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.faults = [Fault.LOSE]
            status, _, _ = await PlatformCaller(deployment, "a-1").send(
                "POST", "/unsafe/x", request_id="ticket-1"
            )
            self.assertEqual(502, status)
            self.assertEqual(1, sum(len(app.runs) for app in deployment.apps))

        self.with_platform(scenario)
