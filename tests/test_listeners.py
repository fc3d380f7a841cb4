"""Callbacks that fail beside others that must run."""

import json
from unittest import mock

from testtools import TestCase

from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.registry import Registry
from lynxchute.listeners import MAX_LINES, LogLimit
from lynxchute.store import Row, RowId
from lynxchute.upstreams.directory import Directory
from tests.odd_rows import ErrorLog


def fail(*_):
    raise ValueError("a listener that fails")


class FailingListenerTest(TestCase):
    """Guards against callbacks that are skipped since one before them failed."""

    def setUp(self):
        super().setUp()
        self.called = []

    def test_directory_calls_all_listeners(self):
        directory = Directory()
        directory.listeners += [fail, lambda: self.called.append(1), fail]
        directory.changed()
        self.assertEqual([1], self.called)

    def test_registry_calls_all_listeners_and_handlers(self):
        members = Members(Member("a-1", "a", "run-1", "127.0.0.1:1"))
        registry = Registry(mock.Mock(), members, is_first_start=False)
        registry.handlers_by_key["odd"] = fail
        registry.handlers_by_key["sound"] = lambda row: self.called.append(row.id.key)
        registry.listeners += [fail, lambda: self.called.append("batch")]
        rows = [Row(RowId("fleet", key), b"{}", 1) for key in ("odd", "sound")]
        registry.feed.apply_rows(tuple(rows))
        self.assertEqual(["sound", "batch"], self.called)

    def test_a_row_that_changes_at_each_write_fills_no_log(self):
        members = Members(Member("a-1", "a", "run-1", "127.0.0.1:1"))
        registry = Registry(mock.Mock(), members, is_first_start=False)
        registry.handlers_by_key["odd"] = fail
        errors = ErrorLog()
        with errors.attached():
            for version in range(1, 500):
                value = json.dumps(version).encode()
                row = Row(RowId("fleet", "odd"), value, version)
                registry.feed.apply_rows((row, row))
        self.assertEqual(MAX_LINES, len(errors.messages))
        self.assertIn("row odd of table fleet", errors.messages[0])

    def test_a_limit_allows_lines_again_after_its_window(self):
        now = [0.0]
        limit = LogLimit(lambda: now[0])
        allowed = sum(limit.allows() for _ in range(100))
        now[0] = 61.0
        self.assertEqual((MAX_LINES, True), (allowed, limit.allows()))
        self.assertEqual(100 - MAX_LINES, limit.take_suppressed())
