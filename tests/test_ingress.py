"""Fuzzes a router, which must reject malformed requests and keep serving."""

import asyncio

import hypothesis
import hypothesis.strategies as st

from tests.platform_support import (
    HOST,
    KEY,
    PlatformCaller,
    PlatformDeployment,
    event_ids,
)
from tests.support import AsyncTestCase

EXAMPLES = 600
# Statuses that a fuzzed request may get: those of invalid and of valid requests, and of
# an interim response (100).
STATUSES = frozenset(
    {100, 200, 400, 401, 402, 404, 408, 411, 413, 414, 431, 501, 503, 505}
)
RESPONSE_TIMEOUT = 5.0
LINE = st.sampled_from(
    (
        "POST /stream/x HTTP/1.1",
        "GET /safe/x HTTP/1.1",
        "GET /safe/../stream/x HTTP/1.1",
        "POST /unsafe/x HTTP/1.0",
        "GET http://other.example/safe/x HTTP/1.1",
        "OPTIONS * HTTP/1.1",
        "GET /safe/x HTTP/3.7",
        "GET /" + "a" * 9_000 + " HTTP/1.1",
        "\x00\x01\x02",
        "GET  /safe/x  HTTP/1.1",
    )
)
HEADER = st.sampled_from(
    (
        f"Host: {HOST}",
        "Host: unknown.example",
        "Host:",
        "X-Request-Id: fuzz",
        "X-Request-Id: " + "i" * 3_000,
        "X-Deadline-Ms: 500",
        "X-Deadline-Ms: -1",
        "X-Deadline-Ms: 1e9",
        "X-Deadline-Ms: soon",
        f"X-Credential: {KEY}",
        "X-Credential: guess",
        "X-Tenant: kanda",
        "X-Model: m",
        "X-Token-Counts: 100,60",
        "X-Token-Counts: 100",
        "X-Token-Counts: -5,99999999999999999999",
        "X-Prompt-Prefix: aa:100,bb:1",
        "X-Prompt-Prefix: :::,,",
        "Last-Event-Id: 3",
        "Last-Event-Id: x",
        "Content-Length: 3",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 99999999999",
        "Content-Length: -1",
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Expect: 100-continue",
        "Connection: close",
        "Connection: X-Tenant",
        "No colon",
        " folded: line",
        "X-Long: " + "v" * 9_000,
    )
)
# Each fuzzed request has one of the BASES as its first headers: none, the headers of a
# valid plain request, or those of a valid generation.
VALID_HEADERS = (f"Host: {HOST}", "X-Request-Id: fuzz", f"X-Credential: {KEY}")
PROMPT_HEADERS = (
    "X-Model: m",
    "X-Token-Counts: 100,60",
    "X-Prompt-Prefix: aa:100,bb:1",
)
BASES = ((), VALID_HEADERS, (*VALID_HEADERS, *PROMPT_HEADERS))
BODY = st.sampled_from(
    (
        b"",
        b"abc",
        b"3\r\nabc\r\n0\r\n\r\n",
        b"zz\r\nabc",
        b"FFFFFFFFFFFFFFFF\r\n",
        b"3\r\nabc\r\n0\r\nX-Tenant: other\r\n\r\n",
        b"abcGET /unsafe/smuggled HTTP/1.1\r\nHost: app.example\r\n\r\n",
        b"\xff" * 2_000,
    )
)


async def send_raw(port, data):
    """Return the status of the first response, or 0 if the connection was closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        async with asyncio.timeout(RESPONSE_TIMEOUT):
            line = await reader.readline()
    except ConnectionError:
        return 0
    finally:
        writer.transport.abort()
    return int(line.split()[1]) if line.startswith(b"HTTP/1.1 ") else 0


class IngressTest(AsyncTestCase):
    def test_router_survives_arbitrary_requests(self):
        async def work():
            deployment = PlatformDeployment(routers=("a-1",))
            await deployment.start()
            port = deployment.settings["a-1"].callers.port
            loop = asyncio.get_running_loop()

            @hypothesis.settings(max_examples=EXAMPLES)
            @hypothesis.given(
                LINE, st.sampled_from(BASES), st.lists(HEADER, max_size=4), BODY
            )
            def example(line, base, headers, body):
                head = "\r\n".join([line, *base, *headers]) + "\r\n\r\n"
                sending = send_raw(port, head.encode("latin-1") + body)
                future = asyncio.run_coroutine_threadsafe(sending, loop)
                status = future.result()
                assert status == 0 or status in STATUSES, status

            try:
                await asyncio.to_thread(example)
                self._assert_only_valid_runs(deployment)
                status, _, body = await PlatformCaller(deployment).stream()
                self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, event_ids(body)))
                self.assertEqual(0, deployment.routers["a-1"].relay.open_requests)
            finally:
                await deployment.stop()

        self.run_async(work(), timeout=300)

    def _assert_only_valid_runs(self, deployment):
        """Assert that only requests with an id, a credential and a route ran."""
        for upstream in deployment.upstreams:
            for run in upstream.runs:
                self.assertIn("fuzz", run.request_id)
                self.assertEqual("kanda", run.headers.get("x-tenant"))
                self.assertNotIn("x-credential", run.headers)
                self.assertNotIn("smuggled", run.target)
