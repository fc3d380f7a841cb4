"""Structured logs on standard output that never block the event loop."""

from __future__ import annotations

import json
import logging as standard_logging
import os
import sys
import time
from collections import deque
from typing import Any

import attrs
from absl import flags, logging

# About two seconds of log lines of the busiest VM; more would use too much memory of a
# small VM.
MAX_QUEUED_BYTES = 1_000_000
# Maximum bytes per write: the default capacity of a pipe.
WRITE_BYTES = 65536
# Attribute of a log record that holds the structured fields.
FIELDS_ATTRIBUTE = "fields"
# Reused, since `json.dumps` with these arguments creates an encoder for each call.
_encode = json.JSONEncoder(separators=(",", ":"), default=str).encode
# Names of the levels whose lines omit the source location. They are formatted without a
# log record.
_DIRECT_LEVELS = {standard_logging.INFO: "info"}


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as one line of JSON.

    Parameters
    ----------
    fields
        Fields that are added to every line.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        super().__init__()
        self._fields = fields

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a record as a line of JSON."""
        line = {
            "time": round(record.created, 4),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **self._fields,
            **getattr(record, FIELDS_ATTRIBUTE, {}),
        }
        if record.levelno >= standard_logging.WARNING:
            line["where"] = f"{record.module}:{record.lineno}"
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return _encode(line)

    def format_event(self, message: str, level: str, fields: dict[str, Any]) -> str:
        """Return an event as a line of JSON without a source location."""
        line = {
            "time": round(time.time(), 4),
            "level": level,
            "event": message,
            **self._fields,
            **fields,
        }
        return _encode(line)


class LogWriter(standard_logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines that the reader is too slow for are queued in memory, up to a bound. Beyond
    it, new lines are dropped and counted, and their number is logged once the queue
    is empty again.

    Parameters
    ----------
    descriptor
        The file descriptor; it is set to non-blocking mode.
    max_queued_bytes
        Maximum size of the queue.

    Attributes
    ----------
    dropped
        Lines dropped so far.
    """

    def __init__(
        self, descriptor: int, *, max_queued_bytes: int = MAX_QUEUED_BYTES
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._max_queued_bytes = max_queued_bytes
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._unreported_drops = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a log record."""
        self.write_line(self.format(record))

    def write_line(self, text: str) -> None:
        """Write a line, or drop it if the queue is full."""
        line = text.encode() + b"\n"
        if self._queued_bytes + len(line) > self._max_queued_bytes:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._enqueue(line)
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._queue:
            if not self._write(self._queue[0]):
                return
            if self._unreported_drops and not self._queue:
                notice = {
                    "event": "log lines were dropped",
                    "count": self._unreported_drops,
                }
                self._unreported_drops = 0
                self._enqueue(json.dumps(notice).encode() + b"\n")

    def _enqueue(self, line: bytes) -> None:
        self._queue.append(line)
        self._queued_bytes += len(line)

    def _write(self, line: bytes) -> bool:
        """Write the first queued line; return whether it was written completely."""
        try:
            written = os.write(self._descriptor, line[:WRITE_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            # The reader of the logs is gone, and there is nowhere to report that.
            self._queue.clear()
            self._queued_bytes = 0
            return False
        self._queue.popleft()
        self._queued_bytes -= written
        if written < len(line):
            self._queue.appendleft(line[written:])
            return False
        return True


@attrs.define(eq=False)
class _Sink:
    """Output for lines without a log record; unset until `log_to_stdout` is called."""

    writer: LogWriter | None = None
    formatter: JsonFormatter | None = None


_sink = _Sink()


def log_event(
    message: str, /, *, level: int = standard_logging.INFO, **fields: Any
) -> None:
    """Log a decision or a change of state with its context.

    Parameters
    ----------
    message
        What happened, in constant words, so that events can be searched for.
    level
        A level of the `logging` module.
    fields
        The inputs and the outcome.
    """
    level_name = _DIRECT_LEVELS.get(level)
    if level_name and _sink.writer is not None and _sink.formatter is not None:
        # Skips the log record, which is slower to create than the line, as it looks up
        # the source location.
        _sink.writer.write_line(
            _sink.formatter.format_event(message, level_name, fields)
        )
        return
    logger = logging.get_absl_logger()
    if logger.isEnabledFor(level):
        logger.log(level, message, extra={FIELDS_ATTRIBUTE: fields})


def log_to_stdout(**fields: Any) -> LogWriter:
    """Send the logs of this process to standard output as JSON lines."""
    # No flags are used, but absl logs only warnings until its flags are parsed.
    flags.FLAGS(["lynxchute"])
    logging.set_verbosity(logging.INFO)
    writer = LogWriter(sys.stdout.fileno())
    formatter = JsonFormatter(fields)
    writer.setFormatter(formatter)
    logger = logging.get_absl_logger()
    for handler in list(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(writer)
    logger.propagate = False
    _sink.writer, _sink.formatter = writer, formatter
    return writer
