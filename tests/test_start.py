"""What a router on the platform loads before it serves its first request."""

import subprocess
import sys

from testtools import TestCase

# What only operators, stand-ins and measurements need; operators' documents alone are
# 34 of the 1,139 million instructions that a router took to load.
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
    def test_a_router_loads_only_what_it_needs(self):
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
