"""Find the attempts at one stream, which its caller takes up again."""

from __future__ import annotations

from collections.abc import Iterable

from lynxchute.explain.log_lines import LogLine

RESUMED = "stream to be resumed"


def attempts_of_stream(lines: Iterable[LogLine], request_id: str) -> set[str]:
    """Return the ids of all attempts at the stream of an attempt.

    Each attempt but the first names the one that brought the first event.
    """
    first_by_attempt = {}
    for line in lines:
        named = line.fields.get("resumes")
        if line.event == RESUMED and isinstance(named, str) and named:
            first_by_attempt[line.request_id] = named
    first = first_by_attempt.get(request_id, request_id)
    attempts = {request_id, first}
    for attempt, named in first_by_attempt.items():
        if named == first:
            attempts.add(attempt)
    return attempts
