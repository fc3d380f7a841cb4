"""What upstreams of the product's own interface state is kept to as well."""

import asyncio

from lynxchute.standins.arrivals import most_within
from tests.support import AsyncTestCase, Caller, question, until, with_deployment

LIMIT = 0.5
# Of all routers together: 1.5 x 0.5 x 4 s + 5 within four seconds, three seconds after
# an upstream has first named it.
MOST, SPAN_SECONDS, CONTACT_SECONDS = 8, 4.0, 3.0


async def ask_for(deployment, seconds, pause=0.05):
    loop = asyncio.get_running_loop()
    callers = [Caller(deployment, vm) for vm in deployment.routers_by_vm]
    end, statuses = loop.time() + seconds, []
    while loop.time() < end:
        replies = await asyncio.gather(*(c.ask(question()) for c in callers))
        statuses.extend(reply[0] for reply in replies)
        await asyncio.sleep(pause)
    return statuses


class OwnInterfaceTest(AsyncTestCase):
    def test_a_limit_is_kept_shown_and_ends(self):
        async def scenario(deployment):
            limited = next(iter(deployment.engines_by_name.values()))
            limited.limit = LIMIT
            began = asyncio.get_running_loop().time()
            statuses = await ask_for(deployment, 8.0)
            self.assertEqual({200}, set(statuses))
            times = limited.taken.since(began + CONTACT_SECONDS)
            self.assertLessEqual(most_within(times, SPAN_SECONDS), MOST)
            vm = next(iter(deployment.routers_by_vm))
            _, shown = await deployment.operate(vm, "show upstreams")
            wants_by_name = {row["upstream"]: row["wants"] for row in shown["rows"]}
            self.assertEqual("limit 0.5/s", wants_by_name[limited.name])
            limited.limit = None
            before = len(limited.taken.times)
            await ask_for(deployment, 8.0)
            self.assertGreater(len(limited.taken.times) - before, 20)

        with_deployment(self, scenario)

    def test_one_that_leaves_gets_nothing_until_it_says_so_no_more(self):
        async def scenario(deployment):
            leaving = next(iter(deployment.engines_by_name.values()))
            leaving.says_it_leaves = True
            await ask_for(deployment, 1.0)
            before = len(leaving.taken.times)
            self.assertEqual({200}, set(await ask_for(deployment, 1.0)))
            self.assertEqual(before, len(leaving.taken.times))
            # Its next process has its name, and does not say when it started.
            leaving.says_it_leaves = False
            entries = [
                router.directory.entries_by_id[leaving.name]
                for router in deployment.routers_by_vm.values()
            ]
            await until(lambda: all(entry.takes_work for entry in entries))
            await ask_for(deployment, 2.0)
            self.assertGreater(len(leaving.taken.times), before)

        with_deployment(self, scenario)

    def test_one_that_wants_backoff_gets_it(self):
        async def scenario(deployment):
            backing_off = next(iter(deployment.engines_by_name.values()))
            backing_off.backoff_until = asyncio.get_running_loop().time() + 2.0
            self.assertEqual({200}, set(await ask_for(deployment, 2.0)))
            self.assertLessEqual(
                len(backing_off.refusals), len(deployment.routers_by_vm)
            )

        with_deployment(self, scenario)
