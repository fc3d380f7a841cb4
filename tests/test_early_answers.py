"""Answers that end before the upstream has read the whole request."""

import asyncio
import contextlib
import itertools
import time

import testtools
from hypothesis import given
from hypothesis import strategies as st

from lynxchute.address import Address
from lynxchute.http import ExchangeError, HttpClient
from lynxchute.http.early_end import (
    SETTLE_SECONDS,
    STALL_SECONDS,
    EarlyEnd,
    EndVerdict,
)
from lynxchute.listening import listen
from lynxchute.relay.sender import MAX_REJECTION_SECONDS
from lynxchute.standins.early_answer import EarlyAnswer, Ending, Framing
from lynxchute.standins.link import Partition, reset_connection
from tests.platform_support import (
    ACCOUNT,
    PlatformCaller,
    PlatformTestCase,
    configuration,
    event_ids,
    settled,
)
from tests.support import AsyncTestCase, until

PART = b"a part of the answer"
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
UPLOAD_BYTES = 3_000_000
# Uploads that the kernel of the router takes whole, and the process keeps none of.
KERNEL_UPLOADS = (150_000, 400_000)
RECEIVE_BUFFER_BYTES = 4096
REQUESTS = 4
KINDS = ("safe", "unsafe", "stream", "once")
# Seconds within which a caller must know that an answer has broken off.
PROMPT_SECONDS = 2.0
_numbers = itertools.count(1)


class EarlyAnswerCase(PlatformTestCase):
    def with_upstreams(self, answer, scenario, *, is_tunnelled=False):
        async def prepared(deployment):
            document = configuration(version=2)
            document["limits"]["max_body_bytes"] = 2 * UPLOAD_BYTES
            await deployment.store.configure(document)
            routers = deployment.routers.values()
            await until(lambda: all(body_limit(r) > UPLOAD_BYTES for r in routers))
            for router in routers:
                router.retries.change(share=2.0, extra=1000.0, window=10.0)
            for upstream in deployment.upstreams:
                upstream.receive_buffer = RECEIVE_BUFFER_BYTES
                await upstream.stop()
                await upstream.start(upstream.port)
            if is_tunnelled:
                await cut_off(deployment, "a-1")
            for upstream in deployment.upstreams:
                upstream.early_answer = answer
            return await scenario(deployment)

        return self.with_platform(
            prepared, timeout=120, has_upstream_links=is_tunnelled
        )

    async def ask(self, deployment, kind, size=UPLOAD_BYTES, vm="a-1", method="POST"):
        """Return the status and the body of an upload, no body if it broke off."""
        caller = PlatformCaller(deployment, vm)
        tokens = (100, 60) if kind in ("stream", "once") else None
        status = 0
        try:
            response = await caller.client.request(
                method,
                f"/{kind}/{next(_numbers)}",
                headers=caller.headers(f"u{next(_numbers)}", 8000, tokens),
                body=bytes(size),
            )
            status = response.status
            return status, await response.body()
        except ExchangeError:
            return status, None
        finally:
            caller.client.close()

    async def answers(self, deployment, kinds=KINDS, **options):
        """Return the answers to some uploads of each kind, and the longest seconds."""
        found, slowest = [], 0.0
        for kind in kinds:
            for _ in range(REQUESTS):
                began = time.monotonic()
                found.append(await self.ask(deployment, kind, **options))
                slowest = max(slowest, time.monotonic() - began)
        return found, slowest

    def play(self, answer, *, is_tunnelled=False, **options):
        """Return the answers if each upstream answers uploads in one way."""
        return self.with_upstreams(
            answer,
            lambda deployment: self.answers(deployment, **options),
            is_tunnelled=is_tunnelled,
        )

    def assert_none_whole(self, found):
        answers, slowest = found
        self.assertEqual(
            [], [status for status, body in answers if is_whole(status, body)]
        )
        self.assertLess(slowest, PROMPT_SECONDS)

    def assert_all(self, status, body, found):
        answers, _ = found
        self.assertEqual([(status, body)] * len(answers), answers)


class EndBeforeTheRequestTest(EarlyAnswerCase):
    """Guards against a part of an answer that callers get as the whole answer."""

    def check(self, body, **options):
        is_stream = body is EVENTS
        answer = EarlyAnswer(body, Ending.END_THEN_RESET, is_stream=is_stream)
        self.assert_none_whole(self.play(answer, **options))

    def test_an_end_before_the_upload_was_sent_proves_no_answer_whole(self):
        self.check(PART)

    def test_an_end_before_the_upload_was_sent_proves_no_events_whole(self):
        self.check(EVENTS)

    def test_an_end_before_the_kernel_has_sent_the_upload_proves_nothing(self):
        for size in KERNEL_UPLOADS:
            self.check(PART, size=size)

    def test_an_end_through_a_tunnel_before_the_upload_was_sent_proves_nothing(self):
        self.check(PART, is_tunnelled=True)

    def test_events_through_a_tunnel_before_the_upload_was_sent_prove_nothing(self):
        self.check(EVENTS, is_tunnelled=True)

    def test_a_kernel_upload_through_a_tunnel_proves_nothing(self):
        self.check(PART, is_tunnelled=True, size=KERNEL_UPLOADS[0])

    def test_a_reset_without_an_end_proves_nothing(self):
        for ending in (Ending.RESET, Ending.CLOSE):
            answer = EarlyAnswer(PART, ending)
            self.assert_none_whole(self.play(answer, kinds=("safe", "unsafe")))

    def test_an_upload_that_is_never_read_proves_nothing(self):
        answer = EarlyAnswer(PART, Ending.END_THEN_RESET, delay=6.0)
        self.assert_none_whole(self.play(answer, kinds=("unsafe",)))

    def test_a_reset_once_the_upload_was_read_proves_nothing(self):
        answer = EarlyAnswer(PART, Ending.READ_THEN_RESET)
        self.assert_none_whole(self.play(answer, kinds=("unsafe",)))

    def test_an_end_of_an_older_protocol_version_proves_nothing(self):
        answer = EarlyAnswer(PART, Ending.END_THEN_RESET, version="HTTP/1.0")
        self.assert_none_whole(self.play(answer, kinds=("unsafe",)))

    def test_an_end_after_an_informational_response_proves_nothing(self):
        answer = EarlyAnswer(PART, Ending.END_THEN_RESET, is_informed=True)
        self.assert_none_whole(self.play(answer, kinds=("unsafe",)))

    def test_a_failure_that_ends_early_is_not_passed_on_as_whole(self):
        answer = EarlyAnswer(PART, Ending.END_THEN_RESET, status="500 Failed")
        answers, _ = self.play(answer, kinds=("unsafe",))
        self.assertEqual([502] * REQUESTS, [status for status, _ in answers])

    def test_an_upstream_that_answers_early_is_avoided(self):
        answer = EarlyAnswer(PART, Ending.END_THEN_RESET)

        async def scenario(deployment):
            sound, broken = deployment.apps
            sound.early_answer = None
            for _ in range(12):
                await self.ask(deployment, "safe")
            return len(broken.arrivals)

        self.assertLess(self.with_upstreams(answer, scenario), 6)

    def test_streams_that_end_early_go_on_elsewhere_once(self):
        answer = EarlyAnswer(EVENTS, Ending.END_THEN_RESET, is_stream=True)

        async def scenario(deployment):
            for engine in deployment.engines:
                engine.early_answer = None
            deployment.engines[0].early_answer = answer
            bodies = []
            for _ in range(6):
                status, body = await self.ask(deployment, "stream")
                self.assertEqual(200, status)
                bodies.append(event_ids(body))
            return bodies, await used_tokens(deployment)

        bodies, used = self.with_upstreams(answer, scenario)
        self.assertEqual([list(range(1, 7))] * 6, bodies)
        # 100 tokens of prompt, and three tokens in each event.
        self.assertEqual(6 * (100 + 3 * 6), used)


class EndThatCountsTest(EarlyAnswerCase):
    """Guards against sound answers that are taken for broken ones."""

    def test_an_early_answer_with_a_length_reaches_the_caller(self):
        for ending in (Ending.READ, Ending.END_THEN_READ):
            for framing in (Framing.LENGTH, Framing.CHUNKS):
                answer = EarlyAnswer(PART, ending, framing)
                found = self.play(answer, kinds=("safe", "unsafe"))
                self.assert_all(200, PART, found)

    def test_an_early_refusal_reaches_the_caller(self):
        for framing in (Framing.LENGTH, Framing.CONNECTION):
            answer = EarlyAnswer(
                PART, Ending.END_THEN_READ, framing, "413 Content Too Large"
            )
            for is_tunnelled in (False, True):
                found = self.play(answer, kinds=("unsafe",), is_tunnelled=is_tunnelled)
                self.assert_all(413, PART, found)

    def test_an_early_refusal_that_a_reset_follows_reaches_the_caller(self):
        answer = EarlyAnswer(
            PART, Ending.END_THEN_RESET, status="413 Content Too Large"
        )
        self.assert_all(413, PART, self.play(answer, kinds=("unsafe",)))

    def test_an_early_rejection_is_not_waited_for(self):
        answer = EarlyAnswer(
            PART,
            Ending.END_THEN_RESET,
            status="503 Full",
            delay=6.0,
            is_declined=True,
        )
        answers, slowest = self.play(answer, kinds=("unsafe",))
        self.assertEqual({503}, {status for status, _ in answers})
        self.assertLess(slowest, MAX_REJECTION_SECONDS)

    def test_an_early_answer_whose_request_is_read_to_its_end_is_whole(self):
        answer = EarlyAnswer(PART, Ending.END_THEN_READ)
        for is_tunnelled in (False, True):
            found = self.play(answer, kinds=("unsafe",), is_tunnelled=is_tunnelled)
            self.assert_all(200, PART, found)

    def test_an_answer_to_a_request_that_was_read_whole_is_not_delayed(self):
        async def scenario(deployment):
            for upstream in deployment.upstreams:
                upstream.early_answer = None
                upstream.ends_with_connection = True
            return await self.answers(deployment, ("unsafe",), size=400_000)

        (answers, slowest) = self.with_upstreams(None, scenario)
        self.assertEqual({200}, {status for status, _ in answers})
        self.assertLess(slowest, 0.2)

    def test_an_answer_without_a_body_needs_no_proof(self):
        for status, method in (("204 No Content", "POST"), ("200 OK", "HEAD")):
            answer = EarlyAnswer(b"", Ending.END_THEN_READ, status=status)
            found = self.play(answer, kinds=("unsafe",), method=method)
            self.assert_all(int(status[:3]), b"", found)


class EndFromAnyPeerTest(AsyncTestCase):
    """Guards against a part of the answer of a router, the store or an upstream."""

    def post(self, size, ending):
        """Return the answer of a peer that answers the head of a request at once."""

        ended = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n{"rows": []}')
            writer.write_eof()
            await asyncio.sleep(0.03)
            if ending is Ending.END_THEN_RESET:
                reset_connection(writer)
            else:
                writer.transport.resume_reading()
                with contextlib.suppress(ConnectionError):
                    while await reader.read(65536):
                        pass
                writer.transport.abort()
            ended.set()

        async def work():
            address = Address("127.0.0.1", 0)
            listener = listen(address, receive_buffer=RECEIVE_BUFFER_BYTES)
            server = await asyncio.start_server(serve, sock=listener)
            client = HttpClient(f"127.0.0.1:{listener.getsockname()[1]}")
            try:
                return await client.post_json("/", "x" * size)
            except ExchangeError as error:
                return str(error)
            finally:
                client.close()
                server.close()
                await ended.wait()

        return self.run_async(work())

    def test_an_end_before_the_request_was_sent_is_not_that_of_the_answer(self):
        self.assertIn(
            "end of the request", self.post(UPLOAD_BYTES, Ending.END_THEN_RESET)
        )

    def test_an_end_after_the_request_was_sent_is_that_of_the_answer(self):
        for size in (10, UPLOAD_BYTES):
            found = self.post(size, Ending.END_THEN_READ)
            self.assertEqual((200, {"rows": []}), found)


class EarlyEndFuzzTest(testtools.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3), st.floats(0.01, STALL_SECONDS, allow_nan=False)
            ),
            min_size=1,
            max_size=40,
        )
    )
    def test_an_end_counts_only_once_the_peer_has_the_request(self, steps):
        end, now, quiet_since, before = EarlyEnd(3, 0.0), 0.0, 0.0, 3
        for unacknowledged, seconds in steps:
            now += seconds
            unacknowledged = min(unacknowledged, before)
            verdict = end.observe(unacknowledged, now)
            if unacknowledged < before:
                quiet_since, before = now, unacknowledged
            if verdict is EndVerdict.WHOLE:
                self.assertEqual(0, unacknowledged)
                self.assertLessEqual(SETTLE_SECONDS, now - quiet_since)
                return
            if verdict is EndVerdict.BROKEN:
                self.assertLess(0, unacknowledged)
                self.assertLessEqual(STALL_SECONDS, now - quiet_since)
                return
            self.assertLess(now - quiet_since, STALL_SECONDS)


class InvalidStatusTest(EarlyAnswerCase):
    """Guards against statuses that are none and reach callers."""

    def check(self, status, *, is_tunnelled=False):
        answer = EarlyAnswer(PART, Ending.READ, Framing.LENGTH, status, delay=0.0)
        answers, _ = self.play(answer, size=10, is_tunnelled=is_tunnelled)
        self.assertEqual({502}, {status for status, _ in answers})

    def test_statuses_over_599_are_not_passed_on(self):
        for status in ("600 Odd", "999", "799 Odd"):
            self.check(status)

    def test_statuses_over_599_are_not_passed_on_from_a_tunnel(self):
        self.check("600 Odd", is_tunnelled=True)

    def test_statuses_under_100_are_not_passed_on(self):
        for status in ("000", "099 Odd"):
            self.check(status)

    def test_an_upstream_with_such_a_status_is_avoided(self):
        answer = EarlyAnswer(PART, Ending.READ, Framing.LENGTH, "999 Odd", delay=0.0)

        async def scenario(deployment):
            sound, broken = deployment.apps
            sound.early_answer = None
            statuses = []
            for _ in range(12):
                statuses.append((await self.ask(deployment, "safe", size=10))[0])
            return statuses, len(broken.arrivals)

        statuses, arrivals = self.with_upstreams(answer, scenario)
        self.assertEqual([200] * 12, statuses)
        self.assertLess(arrivals, 6)


def body_limit(router):
    return router.configurations.current.limits.max_body_bytes


def is_whole(status, body):
    return status == 200 and body is not None


async def used_tokens(deployment):
    """Return the tokens that the routers have counted once all requests are settled."""
    shares = []
    for router in deployment.routers.values():
        ledger = router.ledger_sync.ledger
        await settled(ledger)
        if ACCOUNT in ledger.shares_by_account:
            shares.append(ledger.shares_by_account[ACCOUNT].own_use)
    return sum(shares)


async def cut_off(deployment, vm):
    """Cut a router off from upstreams, so that another one forwards its requests.

    That one has no links, which would take what an upstream does not read.
    """
    deployment.partition((vm,), Partition.REFUSE)
    for other in set(deployment.routers) - {vm}:
        deployment.routers[other].clients.address_of = str
    caller = PlatformCaller(deployment, vm)
    paths = deployment.routers[vm].clients.paths
    async with asyncio.timeout(10):
        while not paths.lost_addresses:
            await caller.send_fails("POST", "/unsafe/x", b"x")
            await caller.send_fails("POST", "/once/x", b"x", tokens=(10, 10))
