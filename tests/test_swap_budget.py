"""All five limits of budgets, as upstreams of seven router processes see them."""

import pathlib
import tempfile

from lynxchute.standins.upstream_run import Fault
from tests.support import AsyncTestCase
from tests.swap_play import play

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
