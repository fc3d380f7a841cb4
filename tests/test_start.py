"""Modules that a platform router imports before it serves its first request."""

import subprocess
import sys

from testtools import TestCase

# Modules that only operators, stand-ins and benchmarks need. The operators' documents
# alone took 34 of the 1,139 million instructions of a router's import.
NOT_LOADED = (
    "defopt",
    "difflib",
    "lark",
    "lynxchute._structure",
    "lynxchute.bench",
    "lynxchute.config.document",
    "lynxchute.config.from_document",
    "lynxchute.operators",
    "lynxchute.standins",
    "prometheus_client",
    "prompt_toolkit",
    "rich",
)


class StartTest(TestCase):
    def test_router_imports_no_unneeded_modules(self):
        program = (
            "import sys, lynxchute.platform.daemon; print('\\n'.join(sys.modules))"
        )
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        loaded = done.stdout.split()
        self.assertIn("lynxchute.edge.application", loaded)
        for name in NOT_LOADED:
            found = [m for m in loaded if m == name or m.startswith(f"{name}.")]
            self.assertEqual([], found)
