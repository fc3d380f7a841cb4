"""Evacuated data centres receive no new requests.

Guards against requests that are sent after an evacuation order: before routers followed
such orders, 422 requests reached upstreams of an evacuated data centre after the bound,
in a run with 22 VMs and two evacuations. Each way of sending is tested with an order
that arrives between the choice of an upstream and the send.
"""

import asyncio
import json

import hypothesis.strategies as st
import testtools
from hypothesis import given

from lynxchute.config.role import Role
from lynxchute.operators.language import parse, to_text
from lynxchute.operators.runner import StatementRunner
from lynxchute.platform.daemon import make_platform
from lynxchute.platform.names import EVACUATION_PREFIX, OPERATOR_TABLE
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.upstream_run import Fault
from lynxchute.upstreams.evacuations import Evacuations
from tests.platform_support import (
    PlatformCaller,
    PlatformDeployment,
    PlatformTestCase,
    event_ids,
)
from tests.support import (
    AsyncTestCase,
    Caller,
    engine_runs,
    question,
    until,
    with_deployment,
)

# Target while the store answers; the guaranteed bound is a few seconds.
TARGET_SECONDS = 1.0


class EvacuationsTest(testtools.TestCase):
    def test_order_newer_than_a_revocation_stays_in_force(self):
        evacuations = Evacuations()
        evacuations.order("a", 1, 0.0)
        evacuations.revoke("a", 2)
        self.assertTrue(evacuations.order("a", 3, 2.0))
        self.assertFalse(evacuations.revoke("a", 2))
        self.assertTrue(evacuations.is_evacuated("a"))
        self.assertFalse(evacuations.is_evacuated("b"))

    def test_listeners_are_notified_only_of_changes(self):
        evacuations, notified = Evacuations(), []
        evacuations.listeners.append(notified.append)
        for version in (1, 2, 2):
            evacuations.order("a", version, 0.0)
        evacuations.revoke("b", 3)
        evacuations.revoke("a", 3)
        self.assertEqual(["a", "a"], notified)

    @given(
        st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=12),
        st.randoms(use_true_random=False),
    )
    def test_newest_version_counts_despite_reordering_and_duplicates(
        self, changes, rng
    ):
        orders = [(version, *change) for version, change in enumerate(changes, start=1)]
        expected = {name: is_order for _, name, is_order in orders}
        received = [*orders, *rng.sample(orders, len(orders) // 2)]
        rng.shuffle(received)
        evacuations = Evacuations()
        for version, name, is_order in received:
            if is_order:
                evacuations.order(name, version, 0.0)
            else:
                evacuations.revoke(name, version)
        for name, is_order in expected.items():
            self.assertEqual(is_order, evacuations.is_evacuated(name), received)


async def order_evacuation(deployment, data_centre, value=b"{}"):
    return await deployment.store.put(
        OPERATOR_TABLE, EVACUATION_PREFIX + data_centre, value
    )


async def revoke_evacuation(deployment, data_centre):
    return await deployment.store.drop(OPERATOR_TABLE, EVACUATION_PREFIX + data_centre)


async def wait_for_evacuation_state(deployment, data_centre, expected=True):
    await until(
        lambda: all(
            router.evacuations.is_evacuated(data_centre) is expected
            for router in deployment.routers.values()
        )
    )


def arrivals_in(deployment, data_centre):
    found = []
    for upstream in deployment.upstreams:
        if upstream.data_centre == data_centre:
            found.extend(upstream.arrivals)
    return found


async def send_all_kinds(caller, times=4):
    statuses = []
    for _ in range(times):
        statuses.append((await caller.stream())[0])
        statuses.append((await caller.send("GET", "/safe/x"))[0])
        statuses.append((await caller.send("POST", "/unsafe/x"))[0])
    return statuses


def order_evacuation_after_choice(router, data_centre):
    """Apply an evacuation order between the choice of an upstream and the send."""
    chooser = router.relay._sender._chooser
    choose = chooser.choose

    async def choose_then_evacuate(exchange):
        choice = await choose(exchange)
        if choice.entry.upstream.data_centre == data_centre:
            router.evacuations.order(data_centre, 10**9, 0.0)
        return choice

    chooser.choose = choose_then_evacuate


class EvacuationTest(PlatformTestCase):
    def test_no_requests_until_the_order_is_revoked(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            await order_evacuation(deployment, "a")
            await asyncio.sleep(TARGET_SECONDS)
            before = len(arrivals_in(deployment, "a"))
            self.assertEqual({200}, set(await send_all_kinds(caller)))
            self.assertEqual(before, len(arrivals_in(deployment, "a")))
            await revoke_evacuation(deployment, "a")
            await wait_for_evacuation_state(deployment, "a", False)
            await send_all_kinds(caller)
            self.assertGreater(len(arrivals_in(deployment, "a")), before)

        self.with_platform(scenario)

    def test_request_placed_before_the_order_is_not_sent_after_it(self):
        async def scenario(deployment):
            order_evacuation_after_choice(deployment.routers["a-1"], "a")
            caller = PlatformCaller(deployment)
            self.assertEqual({200}, set(await send_all_kinds(caller)))
            self.assertEqual([], arrivals_in(deployment, "a"))

        self.with_platform(scenario)

    def test_retry_avoids_the_evacuated_data_centre(self):
        async def scenario(deployment):
            order_evacuation_after_choice(deployment.routers["a-1"], "a")
            deployment.routers["a-1"].evacuations.order("a", 1, 0.0)
            for app in deployment.apps:
                app.faults.append(Fault.DECLINE)
            status, _, body = await PlatformCaller(deployment).send("GET", "/safe/x")
            self.assertEqual((503, "not_run"), (status, json.loads(body)["run"]))
            self.assertEqual([], arrivals_in(deployment, "a"))

        self.with_platform(scenario)

    def test_stream_does_not_resume_in_the_evacuated_data_centre(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                if engine.data_centre == "b":
                    engine.faults.append(Fault.CUT)
            await order_evacuation(deployment, "a")
            await wait_for_evacuation_state(deployment, "a")
            caller = PlatformCaller(deployment)
            self.assertTrue(
                await caller.send_fails("POST", "/stream/x", tokens=(100, 60))
            )
            self.assertEqual([], arrivals_in(deployment, "a"))

        self.with_platform(scenario)

    def test_open_requests_run_to_their_end(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 30, 0.02
            stream = asyncio.create_task(PlatformCaller(deployment).stream())
            await until(lambda: any(engine.runs for engine in deployment.engines))
            for data_centre in ("a", "b"):
                await order_evacuation(deployment, data_centre)
                await wait_for_evacuation_state(deployment, data_centre)
            status, _, body = await stream
            self.assertEqual((200, list(range(1, 31))), (status, event_ids(body)))

        self.with_platform(scenario)

    def test_request_is_refused_immediately_if_all_are_evacuated(self):
        async def scenario(deployment):
            for data_centre in ("a", "b"):
                await order_evacuation(deployment, data_centre)
                await wait_for_evacuation_state(deployment, data_centre)
            caller = PlatformCaller(deployment)
            began = asyncio.get_running_loop().time()
            status, headers, body = await caller.stream()
            took = asyncio.get_running_loop().time() - began
            problem = json.loads(body)
            self.assertEqual((503, "not_run"), (status, problem["run"]))
            self.assertEqual("urn:lynxchute:problem:evacuated", problem["type"])
            self.assertGreater(float(headers["retry-after"]), 0)
            # The router does not wait for an upstream, which would take a fifth of the
            # latency objective of 0.4 s.
            self.assertLess(took, 0.08)

        self.with_platform(scenario)

    def test_router_started_during_an_evacuation_follows_it(self):
        async def scenario(deployment):
            await order_evacuation(deployment, "a")
            await deployment.routers.pop("a-1").kill()
            await deployment.start_router("a-1")
            caller = PlatformCaller(deployment)
            statuses = await send_all_kinds(caller)
            self.assertIn(200, statuses)
            self.assertEqual([], arrivals_in(deployment, "a"))

        self.with_platform(scenario)

    def test_router_refused_by_the_store_gets_orders_through_another(self):
        async def scenario(deployment):
            deployment.faults("a-1").outage = Outage.BUSY
            await asyncio.sleep(0.3)
            await order_evacuation(deployment, "a")
            await wait_for_evacuation_state(deployment, "a")

        self.with_platform(scenario)

    def test_orders_are_found_by_a_list_after_history_loss(self):
        async def scenario(deployment):
            for vm in deployment.routers:
                deployment.faults(vm).hides_changes = True
            await order_evacuation(deployment, "a")
            await revoke_evacuation(deployment, "a")
            await order_evacuation(deployment, "b")
            deployment.store.discard_history()
            for vm in deployment.routers:
                deployment.faults(vm).hides_changes = False
            await wait_for_evacuation_state(deployment, "b")
            await wait_for_evacuation_state(deployment, "a", False)

        self.with_platform(scenario)

    def test_undecodable_orders_count_and_affect_no_other_rows(self):
        async def scenario(deployment):
            await order_evacuation(deployment, "nowhere", b'{"more": [1]}')
            await order_evacuation(deployment, "a", b"\xff\xfe")
            await wait_for_evacuation_state(deployment, "a")
            caller = PlatformCaller(deployment)
            self.assertEqual({200}, set(await send_all_kinds(caller, times=2)))
            self.assertEqual([], arrivals_in(deployment, "a"))

        self.with_platform(scenario)

    def test_cached_prompts_there_are_kept_but_not_fetched(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            await send_all_kinds(PlatformCaller(deployment))
            await order_evacuation(deployment, "a")
            await wait_for_evacuation_state(deployment, "a")
            for vm in deployment.routers:
                scheduler = deployment.routers[vm].relay._sender._generations
                sources = scheduler.placing._fetch_sources("pool", "key")
                evacuated_engines = [
                    e.id for e in deployment.engines if e.data_centre == "a"
                ]
                self.assertEqual(set(), set(sources) & set(evacuated_engines))
                if scheduler._scheduling_vm("pool") == vm:
                    self.assertTrue(
                        set(evacuated_engines) <= set(scheduler.board.engines_by_id)
                    )
            self.assertEqual(4, len(router.directory.entries_by_id))

        self.with_platform(scenario)


class OperatorsTest(AsyncTestCase):
    """Evacuation and its revocation through the operator language."""

    def test_order_is_validated_reaches_all_routers_and_is_revoked(self):
        async def scenario(deployment):
            async def run_statement(statement):
                _, answer = await deployment.operate("kyu-a-1", statement)
                return answer

            answer = await run_statement("evacuate data centre kyu-z")
            self.assertEqual("not_done", answer["state"])
            self.assertIn("Did you mean 'kyu-", answer["detail"])
            self.assertEqual(
                "done", (await run_statement("evacuate data centre kyu-a"))["state"]
            )
            await until(lambda: self.is_evacuated_everywhere(deployment, "kyu-a"))
            (row,) = (await run_statement("show evacuations"))["rows"]
            self.assertEqual("kyu-a", row["data_centre"])
            self.assertEqual((4, ""), (row["heard_by"], row["not_heard_by"]))
            self.assertLess(row["since_s"], 10)
            answer = await run_statement("evacuate data centre kyu-b")
            self.assertIn("anyway", answer["detail"])
            caller = Caller(deployment, "kyu-a-1")
            for _ in range(4):
                self.assertEqual(200, (await caller.ask(question()))[0])
            evacuated_engines = [
                engine
                for name, engine in deployment.engines_by_name.items()
                if name.startswith("kyu-a")
            ]
            self.assertEqual(4, len(engine_runs(deployment)))
            self.assertEqual(
                [], [run for e in evacuated_engines for run in e.records()]
            )
            answer = await run_statement("take back data centre kyu-a")
            self.assertEqual("done", answer["state"])
            await until(lambda: not self.is_evacuated_everywhere(deployment, "kyu-a"))
            self.assertEqual([], (await run_statement("show evacuations"))["rows"])
            answer = await run_statement("take back data centre kyu-a")
            self.assertEqual("not_done", answer["state"])

        with_deployment(self, scenario)

    def is_evacuated_everywhere(self, deployment, data_centre):
        routers = deployment.routers_by_vm.values()
        return all(r.evacuations.is_evacuated(data_centre) for r in routers)

    def test_users_platform_accepts_no_evacuation_statements(self):
        async def scenario():
            deployment = PlatformDeployment()
            await deployment.start()
            try:
                platform = make_platform(deployment.settings["a-1"].store)
                runner = StatementRunner(platform)
                answer = await runner.run(
                    "evacuate data centre a", operator="x", role=Role.OPERATE
                )
                self.assertEqual("not_done", answer.state)
                self.assertIn("write its row", answer.detail)
                await order_evacuation(deployment, "a")
                answer = await runner.run(
                    "show evacuations", operator="x", role=Role.READ
                )
                self.assertEqual(["a"], [row["data_centre"] for row in answer.rows])
                platform.store.close()
            finally:
                await deployment.stop()

        self.run_async(scenario())

    def test_statements_round_trip_through_the_parser(self):
        for text in (
            "evacuate data centre a",
            "evacuate data centre a anyway",
            "take back data centre a",
        ):
            self.assertEqual(text, to_text(parse(text).ok))
