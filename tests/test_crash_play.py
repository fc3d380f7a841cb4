"""Router processes refuse a prompt part that crashes engines."""

import pathlib
import tempfile

from testtools.matchers import GreaterThan

from tests.crash_play import SHAPES, VARIANTS, play
from tests.part_play import MAX_LATE, MIN_SOUND_SHARE
from tests.support import AsyncTestCase

PLAY_SECONDS = 16.0


class CrashPlayTest(AsyncTestCase):
    def play(self, variant):
        with tempfile.TemporaryDirectory() as name:
            return self.run_async(
                play(
                    pathlib.Path(name),
                    SHAPES["yukimichi"],
                    VARIANTS[variant],
                    seconds=PLAY_SECONDS,
                ),
                timeout=90,
            )

    def test_a_part_that_crashes_engines_is_refused_by_all_processes(self):
        counts = self.play("calm")
        self.assertThat(sum(counts["crashes"].values()), GreaterThan(2))
        self.assertEqual([], counts["violations"])
        for late in counts["late at any router"].values():
            self.assertLessEqual(late, MAX_LATE)
        share, counted = counts["sound"]
        self.assertThat(counted, GreaterThan(20))
        self.assertThat(share, GreaterThan(MIN_SOUND_SHARE))
