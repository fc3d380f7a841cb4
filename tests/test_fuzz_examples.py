"""Test that a fuzz test draws the same examples alone and in a run of all tests."""

import subprocess
import sys
from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent
# Prints what a property and a state machine draw after all tests are loaded, or only
# the test runner.
DRAW = """
import sys
import unittest

import tests.__main__

if sys.argv[1] == "all":
    unittest.TestLoader().discover("tests", top_level_dir=".")

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from tests.fuzz import run

NUMBERS = st.integers(0, 20_000)


class Machine(RuleBasedStateMachine):
    @rule(number=NUMBERS, text=st.text(max_size=8))
    def draw(self, number, text):
        print(number, ascii(text))


@given(st.lists(st.tuples(NUMBERS, st.floats(0, 1e6))))
def draw(values):
    print(values)


draw()
run(100, 20, machine=Machine)
"""


def drawn(loaded):
    return subprocess.run(
        [sys.executable, "-c", DRAW, loaded],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        check=True,
        encoding="ascii",
    ).stdout.splitlines()


class FuzzExamplesTest(testtools.TestCase):
    def test_examples_do_not_depend_on_the_tests_that_are_loaded(self):
        """Guards against mutants that fuzzing finds alone but not in a whole run."""
        alone, with_all = drawn("none"), drawn("all")
        self.assertGreater(len(alone), 1_000)
        differing = sum(a != b for a, b in zip(alone, with_all, strict=False))
        self.assertEqual((0, len(alone)), (differing, len(with_all)))
