"""Structured logs on standard output that never hold up the event loop."""

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

# About two seconds of the busiest VM's lines; more would count against the
# memory of a small VM.
MAX_WAITING_BYTES = 1_000_000
# A pipe takes this much at once.
WRITE_BYTES = 65536
FIELDS = "fields"
# Kept, since `json.dumps` makes another one for each line.
_encode = json.JSONEncoder(separators=(",", ":"), default=str).encode
# Lines of these levels bear no place in the code and are built without a record.
_PLAIN_LEVELS = {standard_logging.INFO: "info"}


class JsonFormatter(standard_logging.Formatter):
    """Write each record as one JSON object on a line.

    Parameters
    ----------
    fields
        What every line says besides.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        super().__init__()
        self._fields = fields

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        line = {
            "time": round(record.created, 4),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **self._fields,
            **getattr(record, FIELDS, {}),
        }
        if record.levelno >= standard_logging.WARNING:
            line["where"] = f"{record.module}:{record.lineno}"
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return _encode(line)

    def plain(self, message: str, level: str, fields: dict[str, Any]) -> str:
        """Return the line of an event that bears no place in the code."""
        line = {
            "time": round(time.time(), 4),
            "level": level,
            "event": message,
            **self._fields,
            **fields,
        }
        return _encode(line)


class LogWriter(standard_logging.Handler):
    """Write lines to a file descriptor without ever waiting for its reader.

    Lines that the reader does not take wait in memory, up to a bound; beyond
    it new lines are dropped and counted, and the count is written once there
    is room again.

    Parameters
    ----------
    descriptor
        Where the lines go.
    max_waiting_bytes
        Bytes of lines that may wait.

    Attributes
    ----------
    dropped
        Lines dropped so far.
    """

    def __init__(
        self, descriptor: int, *, max_waiting_bytes: int = MAX_WAITING_BYTES
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._dropped_since = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Take one record."""
        self.take(self.format(record))

    def take(self, text: str) -> None:
        """Take one line."""
        line = text.encode() + b"\n"
        if self._waiting_bytes + len(line) > self._max_waiting_bytes:
            self.dropped += 1
            self._dropped_since += 1
            return
        self._append(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._waiting:
            if not self._write(self._waiting[0]):
                return
            if self._dropped_since and not self._waiting:
                note = {"event": "log lines were dropped", "count": self._dropped_since}
                self._dropped_since = 0
                self._append(json.dumps(note).encode() + b"\n")

    def _append(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _write(self, line: bytes) -> bool:
        """Write the first line; return whether all of it went out."""
        try:
            written = os.write(self._descriptor, line[:WRITE_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the logs any more, and there is nowhere to say so.
            self._waiting.clear()
            self._waiting_bytes = 0
            return False
        self._waiting.popleft()
        self._waiting_bytes -= written
        if written < len(line):
            self._waiting.appendleft(line[written:])
            return False
        return True


@attrs.define(eq=False)
class _Direct:
    """Where lines go without a record; nowhere until logs go to standard output."""

    writer: LogWriter | None = None
    formatter: JsonFormatter | None = None


_direct = _Direct()


def log_event(
    message: str, /, *, level: int = standard_logging.INFO, **fields: Any
) -> None:
    """Log one decision or change with what led to it.

    Parameters
    ----------
    message
        What happened, the same words each time.
    level
        A level of the standard library.
    fields
        The inputs and the outcome.
    """
    name = _PLAIN_LEVELS.get(level)
    if name and _direct.writer is not None and _direct.formatter is not None:
        # A record takes longer than the line: it looks for its place in the code.
        _direct.writer.take(_direct.formatter.plain(message, name, fields))
        return
    logger = logging.get_absl_logger()
    if logger.isEnabledFor(level):
        logger.log(level, message, extra={FIELDS: fields})


def log_to_stdout(**fields: Any) -> LogWriter:
    """Send the logs of this process to standard output as JSON lines."""
    # The settings say everything; absl only warns until its flags are parsed.
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
    _direct.writer, _direct.formatter = writer, formatter
    return writer
