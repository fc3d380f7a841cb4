"""What several tests need."""

import asyncio
import json

import testtools

from lynxchute.http import HttpClient
from lynxchute.standins.deployment import (
    MODEL,
    OPERATOR_KEY,
    Deployment,
    Shape,
    caller_key,
)

ACCOUNT = "kanda"


class AsyncTestCase(testtools.TestCase):
    """Run each test's coroutine on a loop of its own."""

    def run_async(self, work, timeout=60):
        async def limited():
            async with asyncio.timeout(timeout):
                return await work

        return asyncio.run(limited())


def small_shape(**changes):
    values = {
        "routers_by_data_centre": {"kyu-a": 2, "kyu-b": 2},
        "budgets": {ACCOUNT: 100_000, "poor": 10},
    }
    return Shape(**{**values, **changes})


def with_deployment(case, scenario, **changes):
    """Run a scenario on a deployment and stop that afterwards."""

    async def work():
        deployment = Deployment(small_shape(**changes))
        await deployment.start()
        try:
            return await scenario(deployment)
        finally:
            await deployment.stop()

    return case.run_async(work())


def question(text="which road first?", **more):
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 64,
        **more,
    }


class Caller:
    """Send requests to one router of a deployment."""

    def __init__(self, deployment, vm, account=ACCOUNT):
        self.client = HttpClient(f"127.0.0.1:{deployment.caller_port(vm)}")
        self.headers = [("Authorization", f"Bearer {caller_key(account)}")]

    async def send(self, method, target, value=None, key=""):
        headers = list(self.headers)
        if key:
            headers.append(("Idempotency-Key", key))
        body = json.dumps(value).encode() if value is not None else b""
        response = await self.client.request(method, target, headers=headers, body=body)
        return response.status, response.headers, await response.body()

    async def ask(self, value, key=""):
        return await self.send("POST", "/v1/chat/completions", value, key)


async def operate(deployment, vm, statement):
    """Run an operator's statement at a router."""
    client = HttpClient(f"127.0.0.1:{deployment.caller_port(vm)}")
    headers = [("Authorization", f"Bearer {OPERATOR_KEY}")]
    return await client.post_json(
        "/v1/operator/commands", {"statement": statement}, headers=headers
    )


async def until(condition, timeout=10):
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.02)


def rows(deployment, prefix):
    found = deployment.table.store.rows_by_key.items()
    return {key[len(prefix) :]: row for key, row in found if key.startswith(prefix)}


def stream_text(body):
    """Return the text of a streamed answer and whether it ended whole."""
    text = ""
    for event in body.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if not data or data == "[DONE]":
            continue
        for choice in json.loads(data).get("choices", ()):
            text += choice["delta"].get("content", "")
    return text, body.endswith(b"data: [DONE]\n\n")
