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
import json

from lynxchute.config.role import Role
from lynxchute.containment.judge import JUDGE_KEY, QUARANTINE_ROW_ID
from lynxchute.edge.state import state_of
from lynxchute.fleet.client import PeerUnreachable
from lynxchute.http import ExchangeFailed
from lynxchute.operators.runner import StatementRunner
from lynxchute.platform.daemon import make_platform
from lynxchute.quarantine import QuarantineRecord
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.upstream_run import Fault
from tests.platform_support import ACCOUNT, PlatformCaller, PlatformTestCase, ids_of
from tests.support import AsyncTestCase, Caller, question, until, with_deployment

DEADLY = b"a prompt that no engine survives"
# Seconds from the end of an upstream until its next process takes work.
RESTART_SECONDS = 0.3
# Ends after which a request must be known to be their cause, and attempts that may
# still reach an upstream after that.
ENDS_KNOWN = 3
ATTEMPTS_LEFT = 3
# Seconds in which all routers must know it.
KNOWN_SECONDS = 1.0
VMS = ("a-1", "a-2", "b-1")


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


def play(case, scenario, **more):
    """Run a scenario in which one request ends every upstream that runs it."""

    async def work(deployment):
        for upstream in deployment.upstreams:
            upstream.deadly_bodies.add(DEADLY)
        restarting = asyncio.create_task(restart_upstreams(deployment))
        try:
            return await scenario(deployment)
        finally:
            restarting.cancel()

    shape = {"routers": VMS, "engines": 4, **more}
    return case.with_platform(work, **shape)


async def ask_deadly(deployment, vm, path="/stream/x"):
    tokens = (100, 60) if path.startswith("/stream") else None
    return await PlatformCaller(deployment, vm).send(
        "POST", path, DEADLY, tokens=tokens, deadline_ms=3000
    )


async def repeat(deployment, times, vms=VMS, path="/stream/x"):
    """Send the deadly request to one router after the other; return answers."""
    answers = []
    for number in range(times):
        answers.append(await ask_deadly(deployment, vms[number % len(vms)], path))
        await asyncio.sleep(0.1)
    return answers


class DeadlyRequestTest(PlatformTestCase):
    def play(self, scenario, **more):
        return play(self, scenario, **more)

    def test_a_request_that_ends_upstreams_is_not_sent_for_ever(self):
        async def scenario(deployment):
            while ends(deployment) < ENDS_KNOWN:
                await repeat(deployment, 1)
            await asyncio.sleep(KNOWN_SECONDS)
            before = ends(deployment)
            answers = await repeat(deployment, 9)
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
            await repeat(deployment, 6)
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


class ContainmentTest(PlatformTestCase):
    """The same while something else goes wrong."""

    def play(self, scenario, **more):
        return play(self, scenario, **more)

    def test_a_router_that_starts_again_knows_it(self):
        async def scenario(deployment):
            await end_until_known(deployment, VMS)
            await until(lambda: row_of(deployment) is not None)
            before = ends(deployment)
            for vm in VMS:
                await deployment.routers.pop(vm).kill()
            for vm in VMS:
                await deployment.start_router(vm)
            await until(lambda: all(deployment.routers[v].is_ready() for v in VMS))
            await until(lambda: all(knows(deployment, vm) for vm in VMS))
            statuses = await statuses_of(deployment, VMS)
            return ends(deployment) - before, statuses

        self.assertEqual((0, [503] * 3), self.play(scenario))

    def test_a_request_is_caught_while_routers_start_again_all_the_time(self):
        async def scenario(deployment):
            for _ in range(6):
                await repeat(deployment, 1, ["a-1"])
                for vm in ("a-2", "b-1"):
                    await deployment.routers.pop(vm).kill()
                    await deployment.start_router(vm)
                await until(lambda: deployment.is_settled("a-1"))
                await asyncio.sleep(KNOWN_SECONDS / 2)
            before = ends(deployment)
            await repeat(deployment, 3, VMS)
            return ends(deployment) - before, before

        more, before = self.play(scenario)
        self.assertEqual(0, more)
        self.assertLessEqual(before, ENDS_KNOWN + ATTEMPTS_LEFT)

    def test_a_router_that_is_cut_off_from_the_store_knows_it(self):
        async def scenario(deployment):
            deployment.faults("b-1").outage = Outage.SILENT
            await end_until_known(deployment, ("a-1", "a-2"), known_at=VMS)
            before = ends(deployment)
            statuses = await statuses_of(deployment, ["b-1"])
            return ends(deployment) - before, statuses

        self.assertEqual((0, [503]), self.play(scenario))

    def test_all_know_it_while_the_store_is_away_and_keep_it_afterwards(self):
        async def scenario(deployment):
            for vm in VMS:
                deployment.faults(vm).outage = Outage.SILENT
            await end_until_known(deployment, VMS)
            before = ends(deployment)
            statuses = await statuses_of(deployment, VMS)
            self.assertIsNone(row_of(deployment))
            for vm in VMS:
                deployment.faults(vm).outage = Outage.NONE
            await until(lambda: row_of(deployment) is not None)
            statuses += await statuses_of(deployment, VMS)
            return ends(deployment) - before, statuses

        self.assertEqual((0, [503] * 6), self.play(scenario))

    def test_who_was_told_tells_it_on_where_the_judge_died_before_it_wrote(self):
        # The soak's seed 9734: the store was away as the judge found it; every router
        # knew, then all but one were killed. The three that started again had nobody
        # to hear it from, and five more attempts reached an engine.
        async def scenario(deployment):
            for vm in VMS:
                deployment.faults(vm).outage = Outage.SILENT
            judge = deployment.routers["a-1"].members.first_for(JUDGE_KEY)
            left = next(vm for vm in VMS if vm != judge)
            started = [vm for vm in VMS if vm != left]
            # The one that is left has seen none of the ends itself.
            await end_until_known(deployment, started, known_at=VMS)
            for vm in started:
                await deployment.routers.pop(vm).kill()
            for vm in VMS:
                deployment.faults(vm).outage = Outage.NONE
            for vm in started:
                await deployment.start_router(vm)
            await until(lambda: all(deployment.routers[v].is_ready() for v in VMS))
            await until(lambda: row_of(deployment) is not None)
            await until(lambda: all(knows(deployment, vm) for vm in VMS))
            before = ends(deployment)
            statuses = await statuses_of(deployment, VMS)
            return ends(deployment) - before, statuses

        self.assertEqual((0, [503] * 3), self.play(scenario))

    def test_another_router_writes_what_a_judge_that_is_gone_had_found(self):
        # The soak's seed 9702: the judge died before its write came through, and was
        # not back for seven seconds. The others knew and could reach the store, but
        # waited for it; then they died as well, and nobody knew any more.
        async def scenario(deployment):
            for vm in VMS:
                deployment.faults(vm).outage = Outage.SILENT
            judge = deployment.routers["a-1"].members.first_for(JUDGE_KEY)
            # All ends were seen by the judge alone.
            await end_until_known(deployment, [judge], known_at=VMS)
            await deployment.routers.pop(judge).kill()
            for vm in VMS:
                deployment.faults(vm).outage = Outage.NONE
            await until(lambda: row_of(deployment) is not None)
            before = ends(deployment)
            statuses = await statuses_of(deployment, [vm for vm in VMS if vm != judge])
            return ends(deployment) - before, statuses

        self.assertEqual((0, [503] * 2), self.play(scenario))

    def test_another_router_judges_where_the_first_one_is_gone(self):
        async def scenario(deployment):
            await repeat(deployment, 1, ["b-1"])
            await asyncio.sleep(KNOWN_SECONDS / 2)
            judge = deployment.routers["a-1"].members.first_for(JUDGE_KEY)
            await deployment.routers.pop(judge).kill()
            left = [vm for vm in VMS if vm != judge]
            await end_until_known(deployment, left, ends(deployment) + ENDS_KNOWN)
            before = ends(deployment)
            statuses = await statuses_of(deployment, left)
            return ends(deployment) - before, statuses

        self.assertEqual((0, [503] * 2), self.play(scenario))

    def test_a_router_that_was_out_of_reach_is_told_again(self):
        async def scenario(deployment):
            judge = deployment.routers["a-1"].members.first_for(JUDGE_KEY)
            deaf = next(vm for vm in VMS if vm != judge)
            others = [vm for vm in VMS if vm != deaf]
            # Neither the store's row nor the others' word comes through.
            router = deployment.routers[deaf]
            router.registry.takers_by_key.clear()
            broadcast = deployment.routers[judge].containment.judge._broadcast
            peers, asked = broadcast._peers, []
            broadcast._peers = DeafPeers(peers, deaf, asked)
            await end_until_known(deployment, others)
            self.assertEqual({}, router.containment.quarantine.by_content)
            broadcast._peers = peers
            await until(lambda: router.containment.quarantine.by_content)
            return len(asked)

        self.assertGreater(self.play(scenario), 0)

    def test_calls_to_a_plain_service_are_judged_as_well(self):
        async def scenario(deployment):
            return await self.play_calls(deployment, "/unsafe/x")

        more, statuses = self.play(scenario, apps=4)
        self.assertLessEqual(more, ATTEMPTS_LEFT)
        self.assertEqual([503] * 4, statuses[-4:])

    def test_calls_that_may_be_repeated_are_judged_as_well(self):
        async def scenario(deployment):
            return await self.play_calls(deployment, "/safe/x")

        more, statuses = self.play(scenario, apps=4)
        self.assertLessEqual(more, ATTEMPTS_LEFT)
        self.assertEqual([503] * 4, statuses[-4:])

    async def play_calls(self, deployment, path):
        while not all(knows(deployment, vm) for vm in VMS):
            await repeat(deployment, 1, VMS, path)
            self.assertLessEqual(ends(deployment), ENDS_KNOWN + ATTEMPTS_LEFT)
        before = ends(deployment)
        answers = await repeat(deployment, 7, VMS, path)
        return ends(deployment) - before, [status for status, _, _ in answers]

    def test_what_waits_at_an_engine_is_withdrawn(self):
        async def scenario(deployment):
            # One engine keeps it waiting, the others run it and end.
            slow = deployment.engines[0]
            slow.deadly_bodies.clear()
            for engine in deployment.engines[1:]:
                engine.state = "draining"
                await engine.register(deployment.store)
            await asyncio.sleep(KNOWN_SECONDS)
            slow.faults.append(Fault.HANG)
            waiting = asyncio.create_task(ask_deadly(deployment, "a-1"))
            await until(lambda: slow.runs)
            slow.state = "draining"
            await slow.register(deployment.store)
            for engine in deployment.engines[1:]:
                engine.state = "ready"
                await engine.register(deployment.store)
            await asyncio.sleep(KNOWN_SECONDS)
            await end_until_known(deployment, ("a-2", "b-1"))
            return await waiting

        status, _, body = self.play(scenario)
        self.assertEqual(502, status)
        self.assertIn(b"unchanged", body)

    def test_the_same_words_of_another_path_are_taken(self):
        async def scenario(deployment):
            await end_until_known(deployment, VMS)
            for upstream in deployment.upstreams:
                upstream.deadly_bodies.clear()
            await until(lambda: deployment.is_settled("a-1"))
            caller = PlatformCaller(deployment, "a-1")
            same = await caller.send("POST", "/stream/x", DEADLY, tokens=(100, 60))
            other = await caller.send("POST", "/stream/y", DEADLY, tokens=(100, 60))
            return same[0], other[0]

        self.assertEqual((503, 200), self.play(scenario))

    def test_what_is_served_elsewhere_is_not_refused(self):
        # Three upstreams reset the same call, and another router is served with it: it
        # is not the call that ends them.
        async def scenario(deployment):
            first, second, third = deployment.apps
            served = asyncio.create_task(serve_all_along(deployment, "b-1"))
            for app in (first, second, third):
                await asyncio.sleep(0.1)
                app.faults.extend([Fault.RESET] * 2)
                await PlatformCaller(deployment, "a-1").send("GET", "/safe/popular")
            await asyncio.sleep(KNOWN_SECONDS)
            served.cancel()
            answers = []
            for vm in VMS:
                caller = PlatformCaller(deployment, vm)
                answers.append(await caller.send("GET", "/safe/popular"))
            return [status for status, _, _ in answers]

        self.assertEqual([200] * 3, self.play(scenario, apps=3))

    def test_an_operator_sees_it_and_has_it_sent_again(self):
        async def scenario(deployment):
            await end_until_known(deployment, VMS)
            for upstream in deployment.upstreams:
                upstream.deadly_bodies.clear()
            await until(lambda: deployment.is_settled("a-1"))
            platform = make_platform(deployment.settings["a-1"].store)
            runner = StatementRunner(platform)

            async def run(text, role=Role.OPERATE):
                return await runner.run(text, operator="o", role=role)

            shown = (await run("show quarantine", Role.READ)).rows
            content = shown[0]["content"]
            refused = await run(f"release request {content}", Role.READ)
            self.assertEqual("not_done", refused.state)
            released = await run(f"release request {content}")
            self.assertEqual("done", released.state)
            await until(lambda: not any(knows(deployment, vm) for vm in VMS))
            platform.store.close()
            return shown, await statuses_of(deployment, VMS)

        shown, statuses = self.play(scenario)
        self.assertEqual([1], [row["times"] for row in shown])
        self.assertGreater(shown[0]["left_s"], 500)
        self.assertEqual([200] * 3, statuses)

    def test_a_quarantined_request_costs_no_tokens_and_is_seen(self):
        async def scenario(deployment):
            await end_until_known(deployment, VMS)
            router = deployment.routers["a-1"]
            used = used_tokens(deployment)
            await statuses_of(deployment, VMS)
            self.assertEqual(used, used_tokens(deployment))
            return state_of(router)["quarantine"]

        (entry,) = self.play(scenario)
        self.assertGreater(entry["left"], 0)
        self.assertEqual(1, entry["times"])


class OwnInterfaceTest(AsyncTestCase):
    """The same for chat completions, at engines that keep their names."""

    def test_a_question_that_ends_engines_is_refused_and_others_are_answered(self):
        async def scenario(deployment):
            engines = list(deployment.engines_by_name.values())
            for engine in engines:
                engine.deadly_texts.add(DEADLY.decode())
            vms = sorted(deployment.routers_by_vm)
            while sum(engine.ends for engine in engines) < ENDS_KNOWN:
                await Caller(deployment, vms[0]).ask(deadly)
                await asyncio.sleep(0.1)
            await asyncio.sleep(KNOWN_SECONDS)
            before = sum(engine.ends for engine in engines)
            refused = [await Caller(deployment, vm).ask(deadly) for vm in vms]
            other = [await Caller(deployment, vm).ask(question()) for vm in vms]
            ended = sum(engine.ends for engine in engines) - before
            return ended, refused, [status for status, _, _ in other]

        deadly = question(DEADLY.decode(), stream=True)
        ended, refused, other = with_deployment(self, scenario)
        self.assertEqual(0, ended)
        for status, headers, body in refused:
            self.assertEqual(503, status)
            self.assertGreater(float(headers["retry-after"]), 500)
            self.assertIn("ends-upstreams", json.loads(body)["type"])
        self.assertEqual([200] * len(other), other)


class DeafPeers:
    """Reach all routers but one."""

    def __init__(self, peers, deaf, asked):
        self.peers, self.deaf, self.asked = peers, deaf, asked

    async def ask(self, vm, message):
        if vm == self.deaf:
            self.asked.append(vm)
            raise PeerUnreachable(vm)
        return await self.peers.ask(vm, message)


def row_of(deployment):
    value = deployment.store.value(QUARANTINE_ROW_ID.table, QUARANTINE_ROW_ID.key)
    if value is None:
        return None
    record = QuarantineRecord.decode(value).ok
    return record if record.quarantined else None


def used_tokens(deployment):
    used = 0
    for router in deployment.routers.values():
        share = router.keeper.ledger.shares_by_account.get(ACCOUNT)
        used += share.own_use + share.reserved if share is not None else 0
    return used


async def end_until_known(deployment, vms, least=ENDS_KNOWN, known_at=()):
    """Have the request end upstreams until it is known at these routers, or others."""
    while ends(deployment) < least:
        await repeat(deployment, 1, vms)
    await until(lambda: all(knows(deployment, vm) for vm in known_at or vms))


def knows(deployment, vm):
    return bool(deployment.routers[vm].containment.quarantine.by_content)


async def statuses_of(deployment, vms):
    answers = [await ask_deadly(deployment, vm) for vm in vms]
    return [status for status, _, _ in answers]


async def serve_all_along(deployment, vm):
    caller = PlatformCaller(deployment, vm)
    while True:
        with contextlib.suppress(ExchangeFailed):
            await caller.send("GET", "/safe/popular")
        await asyncio.sleep(0.03)


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
