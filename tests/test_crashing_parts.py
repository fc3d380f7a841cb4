"""A prompt part that crashes the engines is refused by all routers."""

from testtools.matchers import GreaterThan, LessThan

from tests.part_play import (
    ENGINES,
    MAX_LATE,
    MIN_SOUND_SHARE,
    PART,
    ROUTERS,
    PartPlay,
)
from tests.platform_support import PlatformTestCase

PLAY_SECONDS = 11.0


class CrashingPartTest(PlatformTestCase):
    def play(self, *, seconds=PLAY_SECONDS, prepare=lambda play: None, **options):
        """Play requests with a crashing part beside sound ones; return the play."""

        async def scenario(deployment):
            play = PartPlay(deployment, **options)
            play.prepare()
            prepare(play)
            await play.run(seconds)
            print(self.id().rpartition(".")[2], play.summary(), flush=True)
            return play

        return self.with_platform(scenario, routers=ROUTERS, engines=ENGINES, apps=0)

    def assert_contained(self, play):
        # The requests do crash engines.
        self.assertThat(play.crashes, GreaterThan(2))
        self.assertThat(play.late, LessThan(MAX_LATE + 1))
        self.assertThat(play.sound_share, GreaterThan(MIN_SOUND_SHARE))

    def test_a_first_part_that_crashes_engines_is_refused(self):
        self.assert_contained(self.play())

    def test_a_crashing_part_behind_one_that_sound_requests_share_is_refused(self):
        play = self.play(deadly_parts=lambda number: [("aa", 50), (PART, 30)])
        self.assert_contained(play)

    def test_a_crashing_part_among_varied_decoys_is_refused(self):
        play = self.play(
            deadly_parts=lambda number: [
                (f"a{number % 3}", 50),
                (PART, 30),
                (f"c{number % 2}", 20),
            ],
            sound_parts=lambda number: [
                (f"a{number % 3}", 50),
                (f"c{number % 2}", 20),
            ],
        )
        self.assert_contained(play)

    def test_a_part_that_comes_with_the_crashing_one_stays_free(self):
        # One in five sound requests has the part that all crashing requests have too.
        play = self.play(
            deadly_parts=lambda number: [("dd", 50), (PART, 30)],
            sound_parts=lambda number: [("dd" if number % 5 == 0 else "aa", 50)],
        )
        self.assert_contained(play)

    def test_two_crashing_parts_in_turn_are_both_refused(self):
        other = "beefdead"
        play = self.play(
            deadly_parts=lambda number: [("aa", 9), ((PART, other)[number % 2], 30)],
            prepare=lambda play: play.prepare(PART, other),
            seconds=PLAY_SECONDS + 2,
        )
        self.assert_contained(play)

    def assert_nothing_quarantined(self, play):
        self.assertThat(play.crashes, GreaterThan(19))
        self.assertEqual([], play.refused_sound)
        for router in play.deployment.routers.values():
            entries = router.containment.quarantine.by_content
            self.assertEqual([], [entry for entry in entries if "part" in entry])

    def test_crashes_of_busy_engines_quarantine_no_part(self):
        play = self.play(deadly_interval=0.0, crash_interval=0.4)
        self.assert_nothing_quarantined(play)

    def test_crashes_as_sound_requests_begin_quarantine_no_part(self):
        play = self.play(
            deadly_interval=0.0,
            prepare=lambda play: play.prepare(crash_share=0.2),
            sound_parts=lambda number: [("aa", 50), (f"b{number % 7}", 20)],
        )
        self.assert_nothing_quarantined(play)

    def test_a_part_is_refused_beside_crashes_by_chance(self):
        play = self.play(
            deadly_parts=lambda number: [("aa", 50), (PART, 30)],
            prepare=lambda play: play.prepare(crash_share=0.03),
            sound_parts=lambda number: [("aa", 50), (f"b{number % 7}", 20)],
        )
        self.assertThat(play.late, LessThan(MAX_LATE + 1))
        self.assertEqual([], play.refused_sound)

    def test_parts_in_other_spelling_are_the_same(self):
        play = self.play(
            deadly_parts=lambda number: [
                (PART.upper() if number % 2 else PART, 10 + number),
                ("aa", 5),
                (PART, 7),
            ],
        )
        self.assert_contained(play)

    def test_a_part_is_refused_if_answers_end_with_their_connection(self):
        play = self.play(
            prepare=lambda play: play.prepare(
                ends_with_connection=True, resets_on_crash=False
            ),
        )
        self.assert_contained(play)
