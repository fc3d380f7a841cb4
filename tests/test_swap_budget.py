"""All five limits of budgets, as upstreams of seven router processes see them."""

import asyncio
import pathlib
import tempfile

from lynxchute.standins.upstream_run import Fault
from tests.support import AsyncTestCase
from tests.swap_play import SwapFleet, late_answers, play

PLAY_TIMEOUT = 90


class ProcessBudgetTest(AsyncTestCase):
    """Guards against limits of the whole fleet that are passed as processes end."""

    def check(self, series, *, mix, fault):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            fleet = self.run_async(
                play(path, series, mix=mix, fault=fault), PLAY_TIMEOUT
            )
        self.assertEqual([], fleet.violations())
        self.assertEqual([], fleet.rules().extra_attempts())
        self.assertGreater(fleet.summary()["retries"]["app"], 0)

    def test_all_routers_are_killed_three_times(self):
        self.check("all_killed_three_times", mix="repeatable", fault=Fault.DECLINE)

    def test_routers_are_suspended_and_killed_in_series_that_overlap(self):
        self.check("suspended_in_series", mix="usual", fault=Fault.RESET)

    def test_upstreams_ask_for_backoff_again_and_again(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            fleet = self.run_async(
                play(path, "refused_for_long", mix="repeatable", share=0.0),
                PLAY_TIMEOUT,
            )
        self.assertEqual([], fleet.violations())
        refused = sum(r.backoff > 0 for u in fleet.upstreams for r in u.received)
        self.assertGreater(refused, 0)

    def test_late_refusals_leave_the_time_that_is_left(self):
        options = {"mix": "repeatable", "fault": Fault.DECLINE}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            fleet = self.run_async(
                play(path, "undisturbed", share=0.3, delay=0.6, **options),
                PLAY_TIMEOUT,
            )
        self.assertEqual([], fleet.violations())
        wrong, late = fleet.rules().wrong_deadlines()
        self.assertEqual([], wrong)
        self.assertGreater(late, 0)


class MutantRouterTest(AsyncTestCase):
    """Guards against checks that find nothing where routers ignore a limit."""

    def check(self, limit, mutant, series, **options):
        """Check that the violations of a mutant's play are of one limit."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = self.run_async(
                play(pathlib.Path(folder), series, mutant=mutant, **options),
                PLAY_TIMEOUT,
            )
        found = {text.partition(":")[0] for text in fleet.violations()}
        self.assertEqual({limit}, found)

    def test_routers_without_a_limit_of_retries_are_found(self):
        options = {"mix": "repeatable", "fault": Fault.DECLINE}
        self.check("retries", "ignore_retry_limit", "undisturbed", **options)

    def test_routers_that_take_a_fresh_share_of_retries_are_found(self):
        options = {"mix": "repeatable", "fault": Fault.DECLINE}
        mutant = "forget_earlier_processes"
        self.check("retries", mutant, "all_killed_three_times", **options)

    def test_routers_that_make_an_extra_attempt_are_found(self):
        self.check("attempts", "ignore_max_attempts", "undisturbed", mix="usual")

    def test_routers_that_begin_deadlines_anew_are_found(self):
        options = {"mix": "repeatable", "fault": Fault.DECLINE}
        options |= {"share": 0.3, "delay": 0.6}
        self.check("deadlines", "begin_deadlines_anew", "undisturbed", **options)

    def test_routers_that_serve_what_is_not_paid_are_found(self):
        options = {"mix": "usual", "share": 0.0}
        self.check("prepaid", "ignore_prepaid_tokens", "undisturbed", **options)

    def test_routers_that_ignore_a_backoff_are_found(self):
        options = {"mix": "repeatable", "share": 0.0}
        self.check("backoff", "ignore_backoff", "refused_for_long", **options)


class StoppedRouterTest(AsyncTestCase):
    """Guards against a backoff that is lost as its refusal waits in a socket."""

    # Seconds until upstreams refuse, for which the process stands still meanwhile, and
    # of the backoff; requests are over before the process goes on.
    REFUSED_AFTER, STOPPED, BACKOFF = 0.3, 1.2, 4.0
    EARLY, LATE = 3, 30

    def test_a_refusal_that_came_while_the_process_stood_still_is_read(self):
        async def scenario(fleet):
            await fleet.start(("a-1",))
            loop = asyncio.get_running_loop()
            apps = [u for u in fleet.upstreams if u.service == "app"]
            for app in apps:
                app.places = None
                app.backoff_until = loop.time() + self.BACKOFF
            requests = [fleet.send("a-1", "safe") for _ in range(self.EARLY)]
            await asyncio.sleep(self.REFUSED_AFTER / 2)
            suspending = asyncio.create_task(fleet.suspend(["a-1"], self.STOPPED))
            await asyncio.sleep(self.REFUSED_AFTER / 6)
            requests += [fleet.send("a-1", "safe") for _ in range(self.LATE)]
            await suspending
            await asyncio.gather(*requests)
            fleet.disturbed.clear()
            self.assertGreater(sum(len(app.received) for app in apps), self.EARLY)
            self.assertEqual({}, fleet.rules().sends_in_backoff())

        async def run(folder):
            fleet = SwapFleet(folder)
            try:
                with late_answers(self.REFUSED_AFTER):
                    await scenario(fleet)
            finally:
                await fleet.stop()

        with tempfile.TemporaryDirectory() as folder:
            self.run_async(run(pathlib.Path(folder)), PLAY_TIMEOUT)
