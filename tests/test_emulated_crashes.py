"""Emulated engines that crash under requests with one prompt part."""

import attrs
import testtools

from lynxchute.bench.emulator.play import Outcome, Play
from lynxchute.bench.emulator.policies import POLICIES_BY_NAME
from lynxchute.bench.emulator.scenario import read_scenario

SEEDS = (1, 2, 3)
MAX_CRASHES = 10
MIN_SERVED_SHARE = 0.95


class EmulatedCrashesTest(testtools.TestCase):
    def play(self, seed, *, is_part_quarantined):
        scenario = attrs.evolve(
            read_scenario("crashing-parts").ok, is_part_quarantined=is_part_quarantined
        )
        return Play(scenario, POLICIES_BY_NAME["board"], seed).run()

    def served_share(self, played, since=10.0):
        outcomes = [
            request.outcome
            for request in played.requests
            if request.arrival.at > since and request.arrival.kind.value
        ]
        not_served = (Outcome.REFUSED, Outcome.FAILED, None)
        return sum(outcome not in not_served for outcome in outcomes) / len(outcomes)

    def test_a_crashing_part_is_refused_and_others_are_served(self):
        for seed in SEEDS:
            played = self.play(seed, is_part_quarantined=True)
            self.assertLess(played.crashes, MAX_CRASHES)
            self.assertGreater(self.served_share(played), MIN_SERVED_SHARE)

    def test_without_a_quarantine_engines_crash_on_and_on(self):
        played = self.play(1, is_part_quarantined=False)
        self.assertGreater(played.crashes, 3 * MAX_CRASHES)
