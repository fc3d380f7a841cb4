"""Check that the examples in pages and doc comments work."""

import ast
import doctest
import importlib
import pkgutil
import re
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.request
from pathlib import Path

import testtools

import lynxchute
from lynxchute.operators.client import exit_status, needs_confirmation
from lynxchute.reference import reference
from lynxchute.settings import load_router_settings
from lynxchute.standins.daemon import load_standin_settings
from tests.known_red import load_known_red, parse_known_red
from tests.platform_support import free_port
from tests.support import AsyncTestCase, small_shape, with_deployment

ROOT = Path(__file__).parent.parent


def iter_logged_events():
    """Yield the event names of all log lines that a router can write."""
    for path in sorted((ROOT / "lynxchute").rglob("*.py")):
        if {"bench", "standins"} & set(path.relative_to(ROOT).parts):
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if getattr(node.func, "id", None) != "log_event":
                continue
            if isinstance(node.args[0], ast.Constant):
                yield node.args[0].value


class DocsTest(AsyncTestCase):
    def test_every_log_event_is_on_the_operators_page(self):
        page = (ROOT / "docs/OPERATIONS.md").read_text(encoding="utf-8")
        events = set(iter_logged_events())
        self.assertGreater(len(events), 40)
        self.assertEqual([], sorted(e for e in events if f"`{e}`" not in page))

    def test_every_statement_of_the_language_page_runs(self):
        text = (ROOT / "docs/operators/language.md").read_text(encoding="utf-8")
        statements = text.split("```")[1].strip().splitlines()

        async def scenario(deployment):
            for statement in statements:
                _, answer = await deployment.operate("kyu-a-1", statement)
                self.assertIn(answer["state"], ("rows", "done"), (statement, answer))

        self.assertGreater(len(statements), 15)
        self.assertIsNotNone(small_shape())
        with_deployment(self, scenario)

    def test_the_settings_reference_is_up_to_date(self):
        page = ROOT / "docs/operators/settings.md"
        self.assertEqual(reference(), page.read_text(encoding="utf-8"))

    def test_doc_comment_examples_run(self):
        examples = 0
        for module in pkgutil.walk_packages(lynxchute.__path__, "lynxchute."):
            if ".bench" in module.name:
                continue
            result = doctest.testmod(importlib.import_module(module.name))
            self.assertEqual(0, result.failed, module.name)
            examples += result.attempted
        self.assertGreater(examples, 15)

    def test_the_list_of_known_red_tests_is_valid(self):
        for name in load_known_red():
            loaded = unittest.defaultTestLoader.loadTestsFromName(name)
            self.assertEqual(1, loaded.countTestCases(), name)
        expected = {"tests.t.T.test_a": "late, issue 9"}
        text = "# why\n\ntests.t.T.test_a: late, issue 9\n"
        self.assertEqual(expected, parse_known_red(text))
        self.assertRaises(ValueError, parse_known_red, "tests.t.T.test_a")

    def test_the_example_settings_load(self):
        for path in sorted((ROOT / "examples").glob("*/*.yaml")):
            text = path.read_text(encoding="utf-8")
            load = load_router_settings
            if path.name == "standins.yaml":
                load = load_standin_settings
            result = load(text, path.name)
            self.assertTrue(result.is_ok(), (path, result))


class ClientTest(testtools.TestCase):
    def test_each_answer_state_has_its_exit_status(self):
        self.assertEqual(5, exit_status(None))
        self.assertEqual(0, exit_status({"state": "rows", "missing": []}))
        self.assertEqual(6, exit_status({"state": "rows", "missing": ["kyu-c"]}))
        self.assertEqual(1, exit_status({"state": "not_done"}))
        self.assertEqual(2, exit_status({"state": "mistakes"}))
        self.assertEqual(4, exit_status({"state": "unknown"}))

    def test_only_destructive_statements_need_confirmation(self):
        self.assertTrue(needs_confirmation("drain vm kyu-a-1"))
        self.assertTrue(needs_confirmation("drop account a"))
        self.assertFalse(needs_confirmation("undrain vm kyu-a-1"))
        self.assertFalse(needs_confirmation("show vms"))


class DaemonTest(testtools.TestCase):
    """Run the daemons as processes, as on the getting-started page."""

    def setUp(self):
        super().setUp()
        self.processes = []
        self.addCleanup(self._kill_all)

    def _start_daemon(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.processes.append(process)
        return process

    def _example_on_free_ports(self, name):
        """Copy an example to free ports, since another test run may use its own.

        Returns the directory of the copy and the new port by the original one.
        """
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        folder = Path(temporary.name)
        ports = {}
        for source in sorted((ROOT / "examples" / name).glob("*.yaml")):
            text = source.read_text(encoding="utf-8")
            for port in set(re.findall(r"127\.0\.0\.1:(\d+)", text)) - set(ports):
                ports[port] = free_port()
            replaced = re.sub(
                r"(127\.0\.0\.1:)(\d+)",
                lambda match: f"{match[1]}{ports[match[2]]}",
                text,
            )
            (folder / source.name).write_text(replaced, encoding="utf-8")
        return folder, ports

    def _kill_all(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.communicate()

    def test_wrong_settings_exit_with_status_2_and_list_every_error(self):
        process = self._start_daemon(
            "lynxchute.daemon", "examples/amagumo/standins.yaml"
        )
        _, errors = process.communicate(timeout=30)
        self.assertEqual(2, process.returncode)
        self.assertIn(b"standins.yaml:3:1: control: No setting", errors)
        self.assertIn(b"'vm' is missing", errors)

    def test_routers_serve_after_a_kill_and_stop_on_sigterm(self):
        folder, ports = self._example_on_free_ports("amagumo")
        self._start_daemon("lynxchute.standins.daemon", folder / "standins.yaml")
        routers = [
            self._start_daemon("lynxchute.daemon", folder / f"kyu-a-{number}.yaml")
            for number in (1, 2, 3)
        ]
        self._wait_for(b"200", ports["21100"])
        routers[0].kill()
        self._wait_for(b"200", ports["21101"])
        routers[1].send_signal(signal.SIGTERM)
        output, errors = routers[1].communicate(timeout=30)
        self.assertEqual((0, b""), (routers[1].returncode, errors))
        self.assertIn(b'"event":"started"', output)
        self.assertIn(b'"event":"ended"', output)

    def _wait_for(self, status, port):
        """Send requests until one is answered with the status; fail after 30 s."""
        body = (
            b'{"model": "dispatch-7b", "max_tokens": 4,'
            b' "messages": [{"role": "user", "content": "hi"}]}'
        )
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            request = urllib.request.Request(
                f"http://127.0.0.1:{port}/v1/chat/completions",
                data=body,
                headers={"Authorization": "Bearer key-of-coop"},
            )
            try:
                with urllib.request.urlopen(request, timeout=10) as answer:
                    if str(answer.status).encode() == status:
                        return
            except OSError:
                time.sleep(0.1)
        self.fail(f"no answer with status {status} at port {port}")
