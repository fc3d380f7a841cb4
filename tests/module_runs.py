"""Run test modules in processes of their own, several at a time."""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

import attrs

# Half of the processors: tests with time bounds need some that are idle.
JOBS = max((os.cpu_count() or 1) // 2, 1)
# Modules that take several minutes and start first, so that the others run beside them.
LONGEST = (
    "tests.test_soak",
    "tests.test_ledger_era",
    "tests.test_crashing_parts",
    "tests.test_silent_upstreams",
    "tests.test_swap_budget",
)
# Modules that run after all others, one at a time, since they measure memory.
ALONE = ("tests.test_uncontrolled_callers",)
# Characters of the output of a process that ended without a report.
MAX_OUTPUT = 4000


@attrs.define
class TestReport:
    """What a run of tests found.

    Attributes
    ----------
    run
        Number of tests that ran.
    traces_by_test
        Tracebacks of the failing tests.
    """

    run: int = 0
    traces_by_test: dict[str, str] = attrs.Factory(dict)

    def write(self, path):
        """Write the report to a file for `run_modules`."""
        Path(path).write_text(json.dumps(attrs.asdict(self)), encoding="utf-8")

    def add(self, other):
        """Add what another run found."""
        self.run += other.run
        self.traces_by_test.update(other.traces_by_test)


def find_modules(folder="tests"):
    """Return the names of all test modules below a folder, the longest ones first."""
    paths = Path(folder).rglob("test_*.py")
    names = [".".join(path.with_suffix("").parts) for path in paths]
    return sorted(names, key=lambda name: (name not in LONGEST, name))


def run_modules(modules, jobs=JOBS):
    """Run test modules and print the output of each; return what they found.

    A module whose process ends without a report counts as a failing test.
    """
    report = TestReport()
    beside_others = [module for module in modules if module not in ALONE]
    _run_side_by_side(beside_others, jobs, report)
    alone = [module for module in modules if module in ALONE]
    _run_side_by_side(alone, 1, report)
    return report


def _run_side_by_side(modules, jobs, report):
    with ThreadPoolExecutor(jobs) as executor:
        for future in as_completed(executor.submit(_run_module, m) for m in modules):
            output, module_report = future.result()
            print(output, end="", flush=True)
            report.add(module_report)


def _run_module(module):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "report.json")
        process = subprocess.run(
            [sys.executable, "-m", "tests", "--report", str(path), module],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            encoding="utf-8",
            errors="replace",
        )
        if path.exists():
            loaded = json.loads(path.read_text(encoding="utf-8"))
            return process.stdout, TestReport(**loaded)
    ended = f"the process ended with {process.returncode} without a report"
    trace = f"{ended}\n{process.stdout[-MAX_OUTPUT:]}"
    return process.stdout, TestReport(1, {module: trace})
