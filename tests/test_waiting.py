"""End-to-end tests of requests that are queued for an engine."""

import asyncio
from unittest import mock

import attrs

from lynxchute.edge.settings import Features
from lynxchute.fleet.messages import PlacementRequest
from lynxchute.relay import wait
from lynxchute.scheduling.place_requests import scheduling_key
from lynxchute.settings import RouterSettings
from lynxchute.standins.deployment import ENGINES
from tests.support import (
    ACCOUNT,
    AsyncTestCase,
    Caller,
    engine_runs,
    question,
    until,
    with_deployment,
)

# Slots of the one engine, as configured by default.
SLOTS = 16
REQUESTS = 24
# More than a router waits for the scheduling router, and less than a request takes.
LATE_SECONDS = 0.4
SHAPE = {
    "routers_by_data_centre": {"kyu-a": 2},
    "budgets": {ACCOUNT: 1_000_000},
    "engines": 1,
    "token_delay": 0.01,
}


class WaitingTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        edge = RouterSettings.edge
        features = Features(fair_shares=True)

        def with_shares(settings):
            return attrs.evolve(edge(settings), features=features)

        patch = mock.patch.object(RouterSettings, "edge", with_shares)
        self.addCleanup(patch.stop)
        patch.start()
        self.events = []
        log = mock.patch.object(
            wait, "log_event", lambda event, **_: self.events.append(event)
        )
        self.addCleanup(log.stop)
        log.start()

    def waiting(self, deployment):
        routers = deployment.routers_by_vm.values()
        return sum(sum_of(router.turns.describe(0.0)) for router in routers)

    def test_requests_beyond_the_engine_slots_are_all_served_once(self):
        async def scenario(deployment):
            callers = [Caller(deployment, vm) for vm in deployment.routers_by_vm]
            calls = []
            for number in range(REQUESTS):
                caller = callers[number % len(callers)]
                calls.append(caller.ask(question(f"which road, {number}?")))
            answers = await asyncio.gather(*calls)
            self.assertEqual({200}, {status for status, _, _ in answers})
            self.assertEqual(REQUESTS, len(engine_runs(deployment)))
            self.assertEqual(0, self.waiting(deployment))

        with_deployment(self, scenario, **SHAPE)
        self.assertEqual(
            REQUESTS - SLOTS, self.events.count("request queued for an engine")
        )
        self.assertEqual(
            self.events.count("queued request assigned to an engine"),
            self.events.count("request queued for an engine"),
        )

    def test_queued_requests_wait_on_if_the_scheduling_router_is_late(self):
        async def scenario(deployment):
            vms = set(deployment.routers_by_vm)
            members = deployment.routers_by_vm[min(vms)].members
            vm = members.owner_of_key(scheduling_key(ENGINES))
            scheduling = deployment.routers_by_vm[vm]
            (other,) = vms - {vm}
            caller = Caller(deployment, other)
            calls = [
                asyncio.create_task(caller.ask(question(f"which road, {number}?")))
                for number in range(REQUESTS)
            ]
            await until(lambda: self.waiting(deployment) == REQUESTS - SLOTS)
            handlers = scheduling.peer_server.handlers_by_class
            answer = handlers[PlacementRequest]

            async def answer_late(request):
                await asyncio.sleep(LATE_SECONDS)
                return await answer(request)

            handlers[PlacementRequest] = answer_late
            await asyncio.sleep(LATE_SECONDS)
            handlers[PlacementRequest] = answer
            answers = await asyncio.gather(*calls)
            self.assertEqual({200}, {status for status, _, _ in answers})
            self.assertEqual(REQUESTS, len(engine_runs(deployment)))

        with_deployment(self, scenario, **SHAPE)

    def test_a_caller_that_disconnects_while_queued_is_not_run(self):
        async def scenario(deployment):
            vm = next(iter(deployment.routers_by_vm))
            caller = Caller(deployment, vm)
            calls = []
            for number in range(SLOTS):
                ask = caller.ask(question(f"which road, {number}?"))
                calls.append(asyncio.create_task(ask))
            await until(lambda: len(engine_runs(deployment)) == SLOTS)
            leaving_caller = Caller(deployment, vm)
            leaving = asyncio.create_task(leaving_caller.ask(question("who leaves?")))
            await until(lambda: self.waiting(deployment) == 1)
            leaving.cancel()
            leaving_caller.client.close()
            await until(lambda: not self.waiting(deployment))
            await asyncio.gather(*calls)
            self.assertEqual(SLOTS, len(engine_runs(deployment)))

        with_deployment(self, scenario, **SHAPE)


def sum_of(rows):
    return sum(row["waiting"] for row in rows)
