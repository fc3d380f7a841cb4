"""Emulated engines that get other software while streams break off."""

import attrs
import testtools

from lynxchute.bench.emulator.play import Play
from lynxchute.bench.emulator.policies import POLICIES_BY_NAME
from lynxchute.bench.emulator.results import figures_by_kind
from lynxchute.bench.emulator.scenario import read_scenario

SEEDS = (1, 2)
# Value for callers that binding streams to a version may cost.
MAX_LOST_VALUE = 0.03


class EmulatedRolloutTest(testtools.TestCase):
    def play(self, seed, *, is_version_bound):
        scenario = attrs.evolve(
            read_scenario("rollout").ok, is_version_bound=is_version_bound
        )
        return Play(scenario, POLICIES_BY_NAME["board"], seed).run()

    def test_no_stream_is_mixed_at_little_cost(self):
        for seed in SEEDS:
            bound = self.play(seed, is_version_bound=True)
            unbound = self.play(seed, is_version_bound=False)
            self.assertEqual(0, bound.mixed_streams)
            self.assertGreater(unbound.mixed_streams, 0)
            self.assertLess(self.value(unbound) - self.value(bound), MAX_LOST_VALUE)

    def value(self, played):
        return figures_by_kind(played)["all"].value
