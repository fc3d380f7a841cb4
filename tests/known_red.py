"""Tests that are red for a fault that is known and not mended yet."""

import pathlib

FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red(text):
    """Return the cause by test of the lines of the file.

    >>> known_red("# comment\\ntests.test_x.T.test_y: cut too late, issue 9\\n")
    {'tests.test_x.T.test_y': 'cut too late, issue 9'}
    """
    causes_by_test = {}
    for line in text.splitlines():
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, _, cause = line.partition(":")
        if not cause.strip():
            raise ValueError(f"KNOWN-RED.txt: say the cause and the issue of {name}")
        causes_by_test[name.strip()] = cause.strip()
    return causes_by_test


def listed():
    """Return what the file lists; nothing where there is none."""
    return known_red(FILE.read_text(encoding="utf-8")) if FILE.exists() else {}
