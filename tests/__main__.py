"""Run all tests, or those named as arguments, and print how many passed and failed.

All tests run a module at a time in a process of its own, several of them side by side.
Tests that KNOWN-RED.txt lists are printed when they fail, but not counted as failed.
"""

import sys
import unittest

import testtools
from hypothesis import HealthCheck, settings

from tests.fuzz import load_product
from tests.known_red import known_cause, load_known_red
from tests.module_runs import TestReport, find_modules, run_modules

REPORT_OPTION = "--report"

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


def run_tests(names):
    """Run the tests with some names in this process; return what they found."""
    suite = unittest.TestLoader().loadTestsFromNames(names)
    result = PrintingResult(sys.stdout)
    result.startTestRun()
    suite.run(result)
    result.stopTestRun()
    # A module that can't be imported counts as a failing test.
    traces_by_test = {
        test.id(): str(trace) for test, trace in [*result.failures, *result.errors]
    }
    for test in result.unexpectedSuccesses:
        traces_by_test[test.id()] = "passed, and was expected to fail"
    return TestReport(result.testsRun, traces_by_test)


def print_result(report):
    """Print the failing tests and the numbers; return how many count as failed."""
    causes_by_test = load_known_red()
    failed = {}
    for test_id, trace in report.traces_by_test.items():
        cause = known_cause(test_id, causes_by_test)
        if cause is None:
            failed[test_id] = trace
            continue
        print(f"known red: {test_id}: {cause}")
    for test_id, trace in failed.items():
        print(f"failed: {test_id}\n{trace}")
    passed = report.run - len(report.traces_by_test)
    print(f"{passed} passed, {len(failed)} failed")
    return len(failed)


def main() -> int:
    names = sys.argv[1:]
    if names[:1] == [REPORT_OPTION]:
        run_tests(names[2:]).write(names[1])
        return 0
    report = run_tests(names) if names else run_modules(find_modules())
    return 1 if print_result(report) else 0


if __name__ == "__main__":
    sys.exit(main())
