"""Test modules that run in processes of their own."""

import contextlib
import io
import pathlib
import tempfile
import textwrap
import time
from unittest import mock

import testtools

import tests.__main__ as runner
from tests import module_runs
from tests.module_runs import LONGEST, TestReport, find_modules, run_modules

ROOT = pathlib.Path(__file__).parent.parent


class ModuleRunsTest(testtools.TestCase):
    """Guards against tests that are left out, or fail unseen, in a run of all."""

    def run_code(self, code):
        """Return what a run of a module with some code finds, and its output."""
        name = f"test_of_{self.id().rpartition('.')[2]}"
        with tempfile.TemporaryDirectory() as folder:
            pathlib.Path(folder, f"{name}.py").write_text(textwrap.dedent(code))
            output = io.StringIO()
            path = f"{folder}:{ROOT}"
            with (
                mock.patch.dict(module_runs.os.environ, {"PYTHONPATH": path}),
                contextlib.redirect_stdout(output),
            ):
                return run_modules([name]), output.getvalue()

    def test_each_module_is_found_once_and_the_longest_ones_first(self):
        names = find_modules()
        files = {path.stem for path in ROOT.joinpath("tests").glob("test_*.py")}
        self.assertEqual(files, {name.rpartition(".")[2] for name in names})
        self.assertEqual(len(files), len(names))
        self.assertEqual(set(LONGEST), set(names[: len(LONGEST)]))

    def test_failing_tests_and_their_tracebacks_are_reported(self):
        report, output = self.run_code(
            """
            import testtools
            class T(testtools.TestCase):
                def test_a(self):
                    self.assertEqual(1, 2)
                def test_b(self):
                    pass
            """
        )
        self.assertEqual(2, report.run)
        [(name, trace)] = report.traces_by_test.items()
        self.assertTrue(name.endswith("T.test_a"))
        self.assertIn("1 != 2", trace)
        self.assertIn("T.test_b", output)

    def test_a_module_that_cannot_be_imported_fails(self):
        report, _ = self.run_code("import there_is_no_such_module")
        self.assertEqual(1, len(report.traces_by_test))

    def test_a_module_whose_process_ends_early_fails(self):
        report, _ = self.run_code("import os\nos._exit(0)")
        [trace] = report.traces_by_test.values()
        self.assertIn("without a report", trace)

    def test_a_module_that_runs_alone_runs_after_the_others(self):
        running, seen = set(), []

        def run(module):
            running.add(module)
            time.sleep(0.05)
            seen.append((module, len(running)))
            running.discard(module)
            return "", TestReport(1)

        with (
            mock.patch.object(module_runs, "_run_module", run),
            mock.patch.object(module_runs, "ALONE", ("a", "c")),
        ):
            report = run_modules(["a", "b", "c", "d"], jobs=4)
        self.assertEqual(4, report.run)
        self.assertEqual({"b", "d"}, {module for module, _ in seen[:2]})
        self.assertEqual([1, 1], [number for _, number in seen[2:]])

    def test_only_listed_failures_are_passed_over(self):
        traces = {"t.listed": "known", "t.other": "new"}
        output = io.StringIO()
        with (
            mock.patch.object(runner, "load_known_red", lambda: {"t.listed": "why"}),
            contextlib.redirect_stdout(output),
        ):
            failed = runner.print_result(TestReport(3, traces))
        self.assertEqual(1, failed)
        lines = output.getvalue().splitlines()
        self.assertEqual("known red: t.listed: why", lines[0])
        self.assertEqual(["failed: t.other", "new"], lines[1:3])
        self.assertEqual("1 passed, 1 failed", lines[-1])
