"""What is secured for a request that may go on elsewhere is used or released.

Guards against places of engines that are held by requests which have ended.
"""

from unittest import mock

import testtools

from lynxchute.relay import resender
from lynxchute.relay.resend_planner import ResendPlanner
from lynxchute.relay.resender import Resender
from tests.fuzz import run
from tests.planner_machine import PlannerMachine


def release_nothing():
    return mock.patch.object(ResendPlanner, "release", lambda self, exchange: None)


def take_without_waiting():
    async def take(self, exchange):
        planned, exchange.planned = exchange.planned, None
        return planned

    return mock.patch.object(ResendPlanner, "take", take)


def forget_the_end():
    def end(self, exchange):
        self.release(exchange)

    return mock.patch.object(ResendPlanner, "end", end)


def use_every_plan():
    return mock.patch.object(ResendPlanner, "_is_usable", lambda *arguments: True)


def keep_begun_sends():
    return mock.patch.object(Resender, "_drop", lambda self, exchange: None)


def repeat_events():
    def take(self, exchange):
        begun, exchange.begun = exchange.begun, None
        return begun

    return mock.patch.object(Resender, "take", take)


def lose_answers():
    async def result(self, begun):
        return await begun.attempt

    return mock.patch.object(Resender, "result", result)


def ignore_declines():
    return mock.patch.object(resender, "_has_failed", lambda begun: False)


MUTANTS = (
    release_nothing,
    take_without_waiting,
    forget_the_end,
    use_every_plan,
    keep_begun_sends,
    repeat_events,
    ignore_declines,
    lose_answers,
)


class PlannerFuzzTest(testtools.TestCase):
    def test_random_histories_leave_no_place_behind(self):
        run(400, 40, machine=PlannerMachine)

    def test_a_place_is_released_though_another_send_failed_as_it_was_taken(self):
        machine = PlannerMachine()
        machine.start()
        machine.pass_time()
        machine.move()
        machine.fail_elsewhere(name="u2")
        machine.teardown()

    def test_fuzzing_detects_each_mutant(self):
        for mutant in MUTANTS:
            with mutant():
                error = self.assertRaises(
                    AssertionError, run, 3000, 40, shrink=False, machine=PlannerMachine
                )
            self.assertIsNotNone(error, mutant.__name__)
