"""End-to-end tests of the chat API: request, response and billing."""

import json

from lynxchute.standins.counts import counted_by_account, served_by_account
from lynxchute.standins.text import answer_tokens
from tests.support import (
    ACCOUNT,
    AsyncTestCase,
    Caller,
    engine_runs,
    question,
    runs,
    stream_text,
    wait_for_matching_counts,
    with_deployment,
)


class PathTest(AsyncTestCase):
    def test_answers_whole_and_counts_once(self):
        async def scenario(deployment):
            expected = "".join(answer_tokens(question()))
            for vm in ("kyu-a-1", "kyu-a-2", "kyu-b-1"):
                caller = Caller(deployment, vm)
                status, _, body = await caller.ask(question())
                self.assertEqual(200, status, body)
                message = json.loads(body)["choices"][0]["message"]
                self.assertEqual(expected, message["content"])
                status, _, body = await caller.ask(question(stream=True))
                self.assertEqual((expected, True), stream_text(body))
            await wait_for_matching_counts(deployment)
            token_counts = [run["total_tokens"] for run in engine_runs(deployment)]
            self.assertEqual(6, len(token_counts))
            self.assertEqual(sum(token_counts), counted_by_account(deployment)[ACCOUNT])

        with_deployment(self, scenario)

    def test_usage_is_included_only_on_request(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1")
            _, _, plain = await caller.ask(question(stream=True))
            self.assertNotIn(b'"usage"', plain)
            asked = question(stream=True, stream_options={"include_usage": True})
            _, _, with_usage = await caller.ask(asked)
            self.assertEqual(1, with_usage.count(b'"usage"'))

        with_deployment(self, scenario)

    def test_request_beyond_the_budget_is_refused(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1", "poor")
            status, _, body = await caller.ask(question())
            self.assertEqual(402, status)
            self.assertEqual("not_run", json.loads(body)["run"])
            self.assertEqual([], engine_runs(deployment))

        with_deployment(self, scenario)

    def test_call_of_a_plain_service_is_billed(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1")
            status, _, body = await caller.send("POST", "/tickets/7", {"lane": 2})
            self.assertEqual((200, "/tickets/7"), (status, json.loads(body)["path"]))
            await wait_for_matching_counts(deployment)
            self.assertEqual(1, served_by_account(deployment)[ACCOUNT])
            (run,) = runs(deployment)
            self.assertEqual(ACCOUNT, run["account"])

        with_deployment(self, scenario)
