"""A prompt part that crashes the engines is refused by all routers."""

import asyncio

from testtools.matchers import GreaterThan, LessThan

from lynxchute.config.role import Role
from lynxchute.containment.judge import JUDGE_KEY
from lynxchute.operators.runner import StatementRunner
from lynxchute.platform.daemon import make_platform
from lynxchute.quarantine import part_entries
from lynxchute.standins.platform_store import Outage
from tests.part_play import (
    ENGINES,
    MAX_LATE,
    MIN_SOUND_SHARE,
    PART,
    ROUTERS,
    PartPlay,
)
from tests.platform_support import PlatformTestCase
from tests.support import until

PLAY_SECONDS = 11.0
# Duration of the first quarantine of a part in tests that wait for its end.
SHORT_QUARANTINE_MS = 3_000


class CrashingPartTest(PlatformTestCase):
    def play(
        self,
        *,
        seconds=PLAY_SECONDS,
        prepare=lambda play: None,
        disturb=None,
        **options,
    ):
        """Play requests with a crashing part beside sound ones; return the play."""

        async def scenario(deployment):
            play = PartPlay(deployment, **options)
            play.prepare()
            prepare(play)
            running = asyncio.create_task(play.run(seconds))
            if disturb is not None:
                await disturb(deployment, play)
            await running
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

    def permit_retries(self, deployment):
        for router in deployment.routers.values():
            router.retries.change(share=100.0, extra=1000.0, window=10.0)

    def test_a_part_is_not_forgotten_as_all_routers_die_at_the_end_of_an_outage(self):
        async def disturb(deployment, play):
            await asyncio.sleep(1.0)
            for vm in ROUTERS:
                deployment.faults(vm).outage = Outage.SILENT
            await asyncio.sleep(1.0)
            self.permit_retries(deployment)
            await play.send_deadly(range(4), 0.3)
            await until(lambda: play.crashes >= 5)
            for vm in ROUTERS:
                await deployment.routers.pop(vm).kill()
            for vm in ROUTERS:
                deployment.faults(vm).outage = Outage.NONE
                await deployment.start_router(vm)
            self.permit_retries(deployment)
            # All routers are in touch, and all engines are back.
            await asyncio.sleep(4.0)
            await play.send_deadly(range(4, 9), 0.3)

        play = self.play(disturb=disturb, deadly_interval=0.0, seconds=13.0)
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

    def test_a_part_is_refused_after_the_judge_has_died(self):
        async def kill_judge(deployment, play):
            await until(lambda: play.crashes >= 2)
            await restart(deployment, judge_of(deployment))

        play = self.play(disturb=kill_judge)
        self.assertThat(play.late, LessThan(MAX_LATE + 1))
        self.assertThat(play.sound_share, GreaterThan(MIN_SOUND_SHARE))

    def test_a_part_is_refused_after_all_routers_have_restarted(self):
        async def restart_all(deployment, play):
            await until(lambda: has_part_entry(deployment), timeout=8)
            await asyncio.sleep(0.5)
            crashes = play.crashes
            for vm in list(deployment.routers):
                await deployment.routers[vm].kill()
            for vm in list(deployment.routers):
                await deployment.start_router(vm)
            await asyncio.sleep(3)
            play.crashes_after_restart = play.crashes - crashes

        play = self.play(disturb=restart_all, seconds=8)
        self.assertEqual(0, play.crashes_after_restart)

    def test_a_part_is_refused_while_the_store_is_away(self):
        async def lose_store(deployment, play):
            await asyncio.sleep(1.0)
            for vm in deployment.routers:
                deployment.faults(vm).outage = Outage.SILENT

        play = self.play(
            disturb=lose_store,
            prepare=lambda play: setattr(play, "down_seconds", 0.3),
        )
        self.assertThat(play.late, LessThan(MAX_LATE + 1))

    def test_an_operator_releases_a_part(self):
        async def release(deployment, play):
            await until(lambda: has_part_entry(deployment), timeout=8)
            play.deadly_interval = 0.0
            for engine in deployment.engines:
                engine.crash_parts.clear()
            await asyncio.sleep(1.0)
            runner = StatementRunner(make_platform(deployment.settings["a-1"].store))
            shown = await runner.run("show quarantine", operator="o", role=Role.READ)
            play.shown_parts = [row["parts"] for row in shown.rows if row["parts"]]
            answer = await runner.run(
                f"release part {PART.upper()}", operator="o", role=Role.OPERATE
            )
            play.release_state = answer.state
            await until(lambda: not has_part_entry(deployment), timeout=5)

        play = self.play(disturb=release, seconds=8)
        self.assertEqual([[PART]], play.shown_parts)
        self.assertEqual("done", play.release_state)

    def test_one_request_at_a_time_tries_a_part_whose_time_is_over(self):
        self.patch(part_entries, "PART_QUARANTINE_MS", SHORT_QUARANTINE_MS)

        async def expire(deployment, play):
            await until(lambda: has_part_entry(deployment), timeout=8)
            await asyncio.sleep(1.0)
            assert_refused(deployment)
            play.crashes_before = play.crashes
            await until(lambda: play.crashes > play.crashes_before, timeout=10)
            await asyncio.sleep(3.0)
            play.crashes_in_trial = play.crashes - play.crashes_before

        play = self.play(disturb=expire, seconds=PLAY_SECONDS, deadly_interval=0.1)
        self.assertEqual(1, play.crashes_in_trial)

    def test_a_part_that_crashes_nothing_any_more_comes_free_by_a_trial(self):
        self.patch(part_entries, "PART_QUARANTINE_MS", SHORT_QUARANTINE_MS)

        async def mend(deployment, play):
            await until(lambda: has_part_entry(deployment), timeout=8)
            await asyncio.sleep(1.0)
            for engine in deployment.engines:
                engine.crash_parts.clear()
            assert_refused(deployment)
            await until(lambda: not has_part_entry(deployment), timeout=10)
            play.answered_before = len(play.deadly_answers)
            await asyncio.sleep(1.0)

        play = self.play(disturb=mend, seconds=8, deadly_interval=0.1)
        statuses = {status for status, _ in play.deadly_answers[play.answered_before :]}
        self.assertEqual({200}, statuses)


def has_part_entry(deployment):
    """Return whether any router refuses a part."""
    return any(
        router.containment.quarantine.part_entries
        for router in deployment.routers.values()
    )


def assert_refused(deployment):
    """Assert that the quarantine of a part is not over yet at any router."""
    for router in deployment.routers.values():
        (entry,) = router.containment.quarantine.part_entries
        assert router.containment.judge.now_ms() < entry.until_ms


def judge_of(deployment):
    router = next(iter(deployment.routers.values()))
    return router.members.owner_of_key(JUDGE_KEY)


async def restart(deployment, vm, down_seconds=0.5):
    router = deployment.routers.pop(vm)
    await router.kill()
    await asyncio.sleep(down_seconds)
    await deployment.start_router(vm)
