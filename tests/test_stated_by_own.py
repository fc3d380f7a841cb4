"""Backpressure of upstreams that implement the product's own API."""

import asyncio

from lynxchute.clock import steady_seconds
from lynxchute.standins.arrivals import max_in_window
from tests.support import AsyncTestCase, Caller, question, until, with_deployment

LIMIT = 0.5
# From three seconds after the upstream first declares its limit, all routers together
# send at most this many requests within four seconds: 1.5 x 0.5/s x 4 s + 5.
MAX_IN_SPAN, SPAN_SECONDS, GRACE_SECONDS = 8, 4.0, 3.0


async def send_requests(deployment, seconds, pause=0.05):
    loop = asyncio.get_running_loop()
    callers = [Caller(deployment, vm) for vm in deployment.routers_by_vm]
    end, statuses = loop.time() + seconds, []
    while loop.time() < end:
        replies = await asyncio.gather(*(c.ask(question()) for c in callers))
        statuses.extend(reply[0] for reply in replies)
        await asyncio.sleep(pause)
    return statuses


class ProductApiTest(AsyncTestCase):
    def test_a_limit_is_kept_and_shown_until_it_ends(self):
        async def scenario(deployment):
            limited = next(iter(deployment.engines_by_name.values()))
            limited.limit = LIMIT
            began = asyncio.get_running_loop().time()
            statuses = await send_requests(deployment, 8.0)
            self.assertEqual({200}, set(statuses))
            times = limited.arrival_log.since(began + GRACE_SECONDS)
            self.assertLessEqual(max_in_window(times, SPAN_SECONDS), MAX_IN_SPAN)
            vm = next(iter(deployment.routers_by_vm))
            _, shown = await deployment.operate(vm, "show upstreams")
            wants_by_name = {row["upstream"]: row["wants"] for row in shown["rows"]}
            self.assertEqual("limit 0.5/s", wants_by_name[limited.name])
            limited.limit = None
            before = len(limited.arrival_log.times)
            await send_requests(deployment, 8.0)
            self.assertGreater(len(limited.arrival_log.times) - before, 20)

        with_deployment(self, scenario)

    def test_a_leaving_upstream_gets_nothing_until_it_restarts(self):
        async def scenario(deployment):
            leaving = next(iter(deployment.engines_by_name.values()))
            leaving.announces_leaving = True
            await send_requests(deployment, 1.0)
            before = len(leaving.arrival_log.times)
            self.assertEqual({200}, set(await send_requests(deployment, 1.0)))
            self.assertEqual(before, len(leaving.arrival_log.times))
            # The upstream's next process has the same name and reports no start time.
            leaving.announces_leaving = False
            entries = [
                router.directory.entries_by_id[leaving.name]
                for router in deployment.routers_by_vm.values()
            ]
            await until(lambda: all(entry.takes_work for entry in entries))
            await send_requests(deployment, 2.0)
            self.assertGreater(len(leaving.arrival_log.times), before)

        with_deployment(self, scenario)

    def test_brittle_engines_are_shared_by_slots(self):
        async def scenario(deployment):
            for engine in deployment.engines_by_name.values():
                engine.max_rejections = 4
            await send_requests(deployment, 1.0)
            routers = deployment.routers_by_vm.values()
            for name in deployment.engines_by_name:
                shares = []
                for router in routers:
                    entry = router.directory.entries_by_id[name]
                    shares.append(
                        router.send_gate.shares.share(entry, steady_seconds())
                    )
                slots = entry.upstream.slots
                self.assertEqual(slots, sum(shares))

        with_deployment(self, scenario)

    def test_a_backoff_is_respected(self):
        async def scenario(deployment):
            backing_off = next(iter(deployment.engines_by_name.values()))
            backing_off.backoff_until = asyncio.get_running_loop().time() + 2.0
            self.assertEqual({200}, set(await send_requests(deployment, 2.0)))
            self.assertLessEqual(
                len(backing_off.refusals), len(deployment.routers_by_vm)
            )

        with_deployment(self, scenario)
