"""Fuzzing of routers that are out of step with the software versions."""

import testtools

from tests.fuzz import run
from tests.out_of_step_machine import (
    EightRoutersMachine,
    ManyRoutersMachine,
    OutOfStepMachine,
)

STEPS = 50
EXAMPLES_BY_MACHINE = {
    OutOfStepMachine: 20,
    EightRoutersMachine: 4,
    ManyRoutersMachine: 1,
}


class OutOfStepFuzzTest(testtools.TestCase):
    def test_no_stream_goes_on_at_another_version(self):
        for machine, examples in EXAMPLES_BY_MACHINE.items():
            run(examples, STEPS, machine=machine)
