"""Run all tests, or those named as arguments, and print how many passed and failed.

Tests that KNOWN-RED.txt lists are printed when they fail, but not counted as failed.
"""

import sys
import unittest

import testtools
from hypothesis import HealthCheck, settings

from tests.fuzz import load_product
from tests.known_red import known_cause, load_known_red

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    database=None,
)
settings.load_profile("ci")
load_product()


class PrintingResult(testtools.TextTestResult):
    def startTest(self, test):  # noqa: N802
        super().startTest(test)
        print(test.id(), flush=True)


def main() -> int:
    loader = unittest.TestLoader()
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover("tests", top_level_dir=".")
    result = PrintingResult(sys.stdout)
    result.startTestRun()
    suite.run(result)
    result.stopTestRun()
    # A module that can't be imported counts as a failing test.
    failing = [test.id() for test, _ in [*result.failures, *result.errors]]
    failing += [test.id() for test in result.unexpectedSuccesses]
    causes_by_test = load_known_red()
    failed = 0
    for test_id in failing:
        cause = known_cause(test_id, causes_by_test)
        failed += cause is None
        if cause is not None:
            print(f"known red: {test_id}: {cause}")
    print(f"{result.testsRun - len(failing)} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
