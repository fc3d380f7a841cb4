"""Log lines, with and without a log record."""

import json
import logging
import os

from testtools import TestCase

from lynxchute.telemetry import log as telemetry_log
from lynxchute.telemetry.log import (
    FIELDS_ATTRIBUTE,
    JsonFormatter,
    LogWriter,
    log_event,
)


class LogLinesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)
        self.formatter = JsonFormatter({"vm": "a-1"})

    def format_record(self, message, level, fields):
        record = logging.LogRecord("absl", level, "f.py", 7, message, (), None)
        setattr(record, FIELDS_ATTRIBUTE, fields)
        return json.loads(self.formatter.format(record))

    def use_writer(self, writer):
        before = (
            telemetry_log._sink.writer,
            telemetry_log._sink.formatter,
        )

        def restore():
            (
                telemetry_log._sink.writer,
                telemetry_log._sink.formatter,
            ) = before

        self.addCleanup(restore)
        telemetry_log._sink.writer = writer
        telemetry_log._sink.formatter = self.formatter

    def test_direct_line_equals_the_line_of_a_record(self):
        fields = {"at": (1, 2), "word": "ü\n", "object": ValueError("x"), "no": None}
        direct = json.loads(self.formatter.format_event("50% sent", "info", fields))
        recorded = self.format_record("50% sent", logging.INFO, fields)
        self.assertEqual(list(recorded), list(direct))
        self.assertLess(abs(recorded.pop("time") - direct.pop("time")), 60.0)
        self.assertEqual(recorded, direct)

    def test_lines_are_written_in_order(self):
        writer = LogWriter(self.descriptor)
        writer.setFormatter(self.formatter)
        self.use_writer(writer)
        logger = logging.getLogger("absl")
        logger.addHandler(writer)
        self.addCleanup(logger.removeHandler, writer)
        log_event("first", number=1)
        log_event("second", level=logging.ERROR, number=2)
        log_event("third", number=3)
        lines = [json.loads(line) for line in os.read(self.reader, 65536).splitlines()]
        self.assertEqual([1, 2, 3], [line["number"] for line in lines])
        self.assertEqual(["info", "error", "info"], [line["level"] for line in lines])
        self.assertIn("where", lines[1])
        self.assertNotIn("where", lines[0])

    def test_unread_lines_are_limited_and_dropped_ones_counted(self):
        writer = LogWriter(self.descriptor, max_queued_bytes=1000)
        self.use_writer(writer)
        # The pipe buffers some lines; the queue behind it is limited.
        for number in range(5000):
            log_event("a line of a test", number=number)
        self.assertGreater(writer.dropped, 0)
        self.assertLessEqual(writer._queued_bytes, 1000)
