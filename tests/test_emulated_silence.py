"""Emulated engines that are silent for a second: waiting against a second run."""

import random

import attrs
import testtools

from lynxchute.bench.emulator.play import Play
from lynxchute.bench.emulator.policies import POLICIES_BY_NAME
from lynxchute.bench.emulator.results import figures_by_kind
from lynxchute.bench.emulator.scenario import Silences, read_scenario

SEEDS = (1, 2, 3, 4, 5)
# Seconds of silence after which a stream that has begun runs again, where a router does
# not wait: as soon as a probe has not been answered either.
AT_ONCE = 0.4
SILENCE_SECONDS = 1.0
# Seconds that the pause of a stream may be longer than its engine's silence.
MAX_FURTHER_PAUSE = 0.5


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def value(played):
    return figures_by_kind(played)["all"].value


def pauses(played):
    return [r.longest_silence for r in played.requests if r.longest_silence]


class EmulatedSilenceTest(testtools.TestCase):
    def play(self, together, **changes):
        """Return one play for each seed, with this many engines silent at a time."""
        scenario = read_scenario("silences").ok
        silences = attrs.evolve(scenario.silences, together=together)
        scenario = attrs.evolve(scenario, **{"silences": silences, **changes})
        policy = POLICIES_BY_NAME["board"]
        return [Play(scenario, policy, seed).run() for seed in SEEDS]

    def check_waiting(self, together):
        """Check that waiting runs nothing twice, and return both kinds of plays."""
        waiting = self.play(together)
        at_once = self.play(together, resend_after=AT_ONCE)
        for played in waiting:
            self.assertEqual(0, played.second_runs)
            self.assertLess(max(pauses(played)), SILENCE_SECONDS + MAX_FURTHER_PAUSE)
        for played in at_once:
            self.assertGreater(played.second_runs, 0)
        self.assertGreater(mean(map(value, waiting)), mean(map(value, at_once)))
        return waiting, at_once

    def test_a_second_run_shortens_the_pause_of_one_engine_but_not_the_loss(self):
        waiting, at_once = self.check_waiting(1)
        for waited, ran_again in zip(waiting, at_once, strict=True):
            self.assertLess(mean(pauses(ran_again)), mean(pauses(waited)))

    def test_second_runs_read_prompts_again_where_several_are_silent(self):
        waiting, at_once = self.check_waiting(3)
        read_again = mean(played.read_again for played in at_once)
        self.assertGreater(read_again, mean(played.read_again for played in waiting))
        longest = mean(max(pauses(played)) for played in at_once)
        self.assertGreater(longest, mean(max(pauses(played)) for played in waiting))

    def test_a_seed_fixes_the_silences(self):
        silences = Silences(every=3.0, together=2)
        spans = silences.spans(60.0, 6, random.Random(1))
        self.assertEqual(spans, silences.spans(60.0, 6, random.Random(1)))
        self.assertNotEqual(spans, silences.spans(60.0, 6, random.Random(2)))
        for begin, end, engines in spans:
            self.assertAlmostEqual(silences.seconds, end - begin)
            self.assertEqual(2, len(set(engines)))

    def test_without_silences_none_is_played(self):
        self.assertEqual([], Silences().spans(60.0, 6, random.Random(1)))
        played = self.play(1, silences=Silences())
        self.assertEqual([], [pause for one in played for pause in pauses(one)])
