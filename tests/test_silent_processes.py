"""Answers and budgets of router processes whose upstream processes stand still."""

import pathlib
import tempfile

import testtools

from lynxchute.standins.budget_rules import Received
from lynxchute.standins.lost_answers import AnswerRules, Outcome
from lynxchute.standins.upstream_run import Fault
from tests.support import AsyncTestCase
from tests.suspension_play import play

PLAY_SECONDS = 9.0
PLAY_TIMEOUT = 90


def outcome(status=200, ended_at=0.1, **options):
    values = {"is_whole": status != 0, "status": status, "ended_at": ended_at}
    return Outcome("r1", "a-1", 0.0, 1.0, 1.0, False, **(values | options))


def arrival(upstream_id="i-1", *, has_run=True):
    return Received(0.01, "r1", upstream_id, has_run=has_run)


class AnswerRulesTest(testtools.TestCase):
    def check(self, expected, found, *arrivals, **options):
        rules = AnswerRules.of([found], arrivals, **options)
        names = [text.partition(":")[0] for text in rules.violations()]
        self.assertEqual(expected, names)

    def test_a_whole_answer_breaks_no_rule(self):
        self.check([], outcome(), arrival())

    def test_a_request_that_was_passed_on_and_got_no_answer_is_cut(self):
        self.check(["cut"], outcome(0), arrival())

    def test_a_request_that_a_router_held_and_did_not_answer_is_cut(self):
        self.check(["cut"], outcome(0, ended_at=0.3))

    def test_a_request_that_crossed_the_close_of_its_connection_is_not_cut(self):
        self.check([], outcome(0))

    def test_an_answer_that_ends_early_is_cut(self):
        self.check(["cut"], outcome(200, is_whole=False), arrival())

    def test_an_answer_that_ends_with_its_time_is_not_cut(self):
        self.check([], outcome(0, ended_at=1.0), arrival())

    def test_a_request_without_an_answer_after_its_time_is_late(self):
        self.check(["late"], outcome(504, ended_at=1.6), arrival())

    def test_a_refusal_of_a_request_that_ran_is_untrue(self):
        self.check(["untrue"], outcome(503), arrival())
        self.check([], outcome(502), arrival())

    def test_a_request_that_ran_twice_is_found(self):
        self.check(["twice"], outcome(), arrival(), arrival("i-2"))
        self.check([], outcome(), arrival(), arrival("i-2", has_run=False))

    def test_requests_at_a_killed_router_are_excused(self):
        self.check([], outcome(0), arrival(), is_excused=lambda _: True)


class ProcessPlayTestCase(AsyncTestCase):
    def play(self, series, mix, **options):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            return self.run_async(
                play(path, series, mix, seconds=PLAY_SECONDS, **options), PLAY_TIMEOUT
            )


class SilentProcessTest(ProcessPlayTestCase):
    """Guards against answers that silent upstreams, changes and stops cost."""

    def check(self, series, mix, **options):
        fleet = self.play(series, mix, **options)
        self.assertEqual([], fleet.violations())
        self.assertGreater(fleet.summary()["statuses"]["200"], 0)

    def test_upstreams_stand_still_beside_configurations(self):
        self.check("in_series", "naipes")

    def test_routers_stop_in_turn_while_upstreams_stand_still(self):
        self.check("stopped_in_turn", "yukimichi")

    def test_all_routers_are_killed_while_upstreams_stand_still(self):
        self.check("all_killed", "naipes", failed_share=0.5, fault=Fault.DECLINE)


class MutantRouterTest(ProcessPlayTestCase):
    """Guards against a check of answers that finds nothing."""

    def check(self, rule, mutant, series, **options):
        fleet = self.play(series, "naipes", mutant=mutant, **options)
        found = {text.partition(":")[0] for text in fleet.answer_rules().violations()}
        self.assertEqual({rule}, found)

    def test_routers_that_cut_answers_as_they_are_configured_are_found(self):
        self.check("cut", "cut_answers_as_configured", "in_series")

    def test_routers_that_stop_without_draining_are_found(self):
        self.check("cut", "stop_without_draining", "stopped_in_turn")

    def test_routers_that_call_what_may_have_run_not_run_are_found(self):
        self.check("untrue", "refuse_what_may_have_run", "in_series")

    def test_routers_that_repeat_what_may_have_run_are_found(self):
        options = {"failed_share": 0.5, "fault": Fault.RESET}
        self.check("twice", "repeat_what_may_have_run", "engines_suspended", **options)

    def test_routers_that_answer_late_are_found(self):
        options = {"failed_share": 0.2, "fault": Fault.HANG}
        self.check("late", "extend_deadlines", "engines_suspended", **options)
