"""Read KNOWN-RED.txt, the list of tests that fail because of a known, unfixed fault."""

import pathlib
import re

KNOWN_RED_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def parse_known_red(text):
    """Return the cause of each listed test.

    >>> parse_known_red("# comment\\ntests.test_x.T.test_y: cut too late, issue 9\\n")
    {'tests.test_x.T.test_y': 'cut too late, issue 9'}
    """
    causes_by_test = {}
    for line in text.splitlines():
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, _, cause = line.partition(":")
        if not cause.strip():
            raise ValueError(f"KNOWN-RED.txt: cause and issue are missing for {name}")
        causes_by_test[name.strip()] = cause.strip()
    return causes_by_test


def load_known_red():
    """Return the cause of each test in KNOWN-RED.txt; empty without the file."""
    return (
        parse_known_red(KNOWN_RED_FILE.read_text(encoding="utf-8"))
        if KNOWN_RED_FILE.exists()
        else {}
    )


def known_cause(test_id, causes_by_test):
    """Return the cause of a failing test that is listed, or None.

    A failing seed of a test counts only if the entry of the test names that seed.

    >>> causes = {"tests.test_x.T.test_y": "cut too late, seed 7, issue 9"}
    >>> known_cause("tests.test_x.T.test_y (seed=7)", causes)
    'cut too late, seed 7, issue 9'
    >>> known_cause("tests.test_x.T.test_y (seed=70)", causes) is None
    True
    """
    name, _, subtest = test_id.partition(" (")
    cause = causes_by_test.get(name)
    if cause is None or not subtest:
        return cause
    seed = re.fullmatch(r"seed=([0-9]+)\)", subtest)
    if seed is None or not re.search(rf"[Ss]eed {seed[1]}\b", cause):
        return None
    return cause
