"""A request that ends each upstream that runs it.

What users saw: quick questions, rulings and reports not served for seconds at a time,
48 processes of six engines ended in 85 s. The order of events: a request began to run
at an engine, which ended 0.04 to 0.12 s later with everything open there; its router
sent it to a second engine, which ended as well; its caller got 502 and sent it again,
with the same path, key and body, to another router, where it was new. The cause:
nothing in the fleet remembered that a request had ended an upstream.

The evidence: of 25 ends that the routers' lines show whole, 23 had just one request
whose answer had a head and no event, and all of these with a known client account were
of one account; two attempts alone, each sent twice, were open at four of them.
"""

import asyncio
import contextlib

from lynxchute.http import ExchangeFailed
from tests.platform_support import (
    PlatformCaller,
    PlatformTestCase,
    ids_of,
)

DEADLY = b"a prompt that no engine survives"
# Seconds from the end of an upstream until its next process takes work.
RESTART_SECONDS = 0.3
# Ends after which a request must be known to be their cause, and attempts that may
# still reach an upstream after that.
ENDS_KNOWN = 3
ATTEMPTS_LEFT = 3
# Seconds in which all routers must know it.
KNOWN_SECONDS = 1.0


async def restart_upstreams(deployment):
    """Start each upstream that has ended as a new process."""
    seen = {upstream: 0 for upstream in deployment.upstreams}
    while True:
        await asyncio.sleep(0.02)
        for upstream in deployment.upstreams:
            if upstream.crashes == seen[upstream]:
                continue
            seen[upstream] = upstream.crashes
            await asyncio.sleep(RESTART_SECONDS)
            await upstream.start_anew(deployment.store)


def ends(deployment):
    return sum(upstream.crashes for upstream in deployment.upstreams)


class DeadlyRequestTest(PlatformTestCase):
    def play(self, scenario, **more):
        async def work(deployment):
            for upstream in deployment.upstreams:
                upstream.deadly_bodies.add(DEADLY)
            restarting = asyncio.create_task(restart_upstreams(deployment))
            try:
                return await scenario(deployment)
            finally:
                restarting.cancel()

        shape = {"routers": ("a-1", "a-2", "b-1"), "engines": 4, **more}
        return self.with_platform(work, **shape)

    async def repeat(self, deployment, times, vms=("a-1", "a-2", "b-1")):
        """Send the deadly request to one router after the other; return answers."""
        answers = []
        for number in range(times):
            caller = PlatformCaller(deployment, vms[number % len(vms)])
            answer = await caller.send(
                "POST", "/stream/x", DEADLY, tokens=(100, 60), deadline_ms=3000
            )
            answers.append(answer)
            await asyncio.sleep(0.1)
        return answers

    def test_a_request_that_ends_upstreams_is_not_sent_for_ever(self):
        async def scenario(deployment):
            while ends(deployment) < ENDS_KNOWN:
                await self.repeat(deployment, 1)
            await asyncio.sleep(KNOWN_SECONDS)
            before = ends(deployment)
            answers = await self.repeat(deployment, 9)
            return ends(deployment) - before, answers

        more, answers = self.play(scenario)
        self.assertLessEqual(more, ATTEMPTS_LEFT)
        last = answers[ATTEMPTS_LEFT:]
        self.assertEqual([503] * len(last), [status for status, _, _ in last])
        for _, headers, body in last:
            self.assertIn(b'"run": "not_run"', body)
            self.assertIn(b"unchanged", body)
            self.assertGreater(float(headers["retry-after"]), 0.0)

    def test_requests_that_were_open_beside_it_are_served(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 30, 0.02
            streams = []
            bodies = [f"question {number}".encode() for number in range(12)]
            for number, body in enumerate(bodies):
                caller = PlatformCaller(deployment, ("a-1", "a-2", "b-1")[number % 3])
                streams.append(ask_until_served(caller, body))
            asking = asyncio.gather(*streams)
            await asyncio.sleep(0.1)
            await self.repeat(deployment, 6)
            answers = await asking
            again = []
            for number, body in enumerate(bodies):
                caller = PlatformCaller(deployment, ("b-1", "a-1", "a-2")[number % 3])
                again.append(await ask(caller, body))
            return answers, again

        answers, again = self.play(scenario)
        for events in answers:
            self.assertEqual(list(range(1, 31)), events)
        self.assertEqual([200] * len(again), [status for status, _, _ in again])


async def ask(caller, body):
    return await caller.send("POST", "/stream/x", body, tokens=(100, 60))


async def ask_until_served(caller, body):
    """Ask as a caller does whose stream may be broken off; return its events."""
    for _ in range(12):
        with contextlib.suppress(ExchangeFailed):
            status, _, answer = await ask(caller, body)
            if status == 200 and len(ids_of(answer)) == 30:
                return ids_of(answer)
        await asyncio.sleep(0.2)
    return []
