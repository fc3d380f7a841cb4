"""Read KNOWN-RED.txt, the list of tests that fail because of a known, unfixed fault."""

import pathlib

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
