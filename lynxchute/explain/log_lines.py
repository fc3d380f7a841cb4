"""Parse router logs, which have one JSON object per line."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

# Maximum invalid lines reported one by one; further ones are only counted.
MAX_FINDINGS = 20


@attrs.frozen
class LogLine:
    """One line of a router's log.

    Attributes
    ----------
    time
        Wall-clock time of the router, in seconds.
    fields
        The whole JSON object, with time and event.
    """

    time: float
    event: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """Return the id of the request, or an empty string if the line has none."""
        return str(self.fields.get("request_id", ""))


@attrs.define
class LogReader:
    """Parse lines one by one and record the invalid ones.

    Text before the JSON object is ignored, since log collectors add a prefix.

    Attributes
    ----------
    findings
        Positions of invalid lines; at most `MAX_FINDINGS`.
    invalid_count
        Number of all invalid lines.
    """

    findings: list[str] = attrs.Factory(list)
    invalid_count: int = 0

    def read(self, lines: Iterable[str], name: str) -> Iterator[LogLine]:
        """Yield the valid log lines; `name` is the source shown in findings."""
        for number, text in enumerate(lines, 1):
            if not text.strip():
                continue
            line = _decode_line(text)
            if line is None:
                self._record_invalid(f"{name}:{number}: no line of a router")
                continue
            yield line

    def _record_invalid(self, finding: str) -> None:
        self.invalid_count += 1
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(finding)


def _decode_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        return LogLine(float(fields["time"]), str(fields["event"]), fields)
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
