"""Log lines, whichever way they are built."""

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


class LinesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)
        self.formatter = JsonFormatter({"vm": "a-1"})

    def record(self, message, level, fields):
        record = logging.LogRecord("absl", level, "f.py", 7, message, (), None)
        setattr(record, FIELDS_ATTRIBUTE, fields)
        return json.loads(self.formatter.format(record))

    def direct(self, writer):
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

    def test_a_line_without_a_record_is_the_same_as_with_one(self):
        fields = {"at": (1, 2), "word": "ü\n", "object": ValueError("x"), "no": None}
        direct = json.loads(self.formatter.format_event("50% sent", "info", fields))
        made = self.record("50% sent", logging.INFO, fields)
        self.assertEqual(list(made), list(direct))
        self.assertLess(abs(made.pop("time") - direct.pop("time")), 60.0)
        self.assertEqual(made, direct)

    def test_lines_come_in_order_whichever_way_they_were_built(self):
        writer = LogWriter(self.descriptor)
        writer.setFormatter(self.formatter)
        self.direct(writer)
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

    def test_lines_that_nobody_reads_are_bounded_and_counted(self):
        writer = LogWriter(self.descriptor, max_queued_bytes=1000)
        self.direct(writer)
        # The pipe holds some; those that wait for it are bounded.
        for number in range(5000):
            log_event("a line of a test", number=number)
        self.assertGreater(writer.dropped, 0)
        self.assertLessEqual(writer._queued_bytes, 1000)
