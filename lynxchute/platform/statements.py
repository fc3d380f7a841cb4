"""Decode what upstreams of the platform state of themselves in their answers."""

from __future__ import annotations

import re

from lynxchute.http import Headers
from lynxchute.platform import names
from lynxchute.upstreams.statement import NOTHING_STATED, Statement

DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
# Requests a second; no upstream is sent as many, whatever it names.
MAX_LIMIT = 100_000.0
# Seconds; whatever is asked for longer ends sooner by the process's own end.
MAX_REST = 3600.0
# Characters of an unreadable value that are kept for the log.
KEPT_CHARACTERS = 40
TURNED_AWAY = 503


def decode_statement(status: int, headers: Headers) -> Statement:
    """Return what the head of an answer states.

    Of several headers of one name the strictest counts.

    Parameters
    ----------
    status
        Only a refusal asks for rest; with any other status the time is the caller's.

    Examples
    --------
    >>> decode_statement(200, Headers([(b"Server-Limit", b"1.5")])).limit
    1.5
    >>> decode_statement(503, Headers([(b"Retry-After", b"3")])).rest
    3.0
    >>> decode_statement(200, Headers([(b"Server-Limit", b"-1")])).unreadable
    ('Server-Limit: -1',)
    """
    told = names.UPSTREAM_LIMIT.lower() in headers
    told = told or names.UPSTREAM_LEAVING.lower() in headers
    if not told and status != TURNED_AWAY:
        return NOTHING_STATED
    unreadable: list[str] = []
    limits = _numbers(headers, names.UPSTREAM_LIMIT, unreadable)
    rests = [0.0]
    if status == TURNED_AWAY:
        rests += _numbers(headers, names.RETRY_AFTER, unreadable)
    leaving = headers.get(names.UPSTREAM_LEAVING.lower(), "").strip()
    if leaving not in ("", "0", "1"):
        unreadable.append(f"{names.UPSTREAM_LEAVING}: {leaving[:KEPT_CHARACTERS]}")
    return Statement(
        limit=min(*limits, MAX_LIMIT) if limits else None,
        rest=min(max(rests), MAX_REST),
        is_leaving=leaving == "1",
        unreadable=tuple(unreadable),
    )


def _numbers(headers: Headers, name: str, unreadable: list[str]) -> list[float]:
    """Return the numbers in all headers of a name; note those that are none."""
    wanted = name.lower().encode()
    found = []
    for raw_name, raw_value in headers.raw:
        if raw_name.lower() != wanted:
            continue
        value = raw_value.decode("latin-1").strip()
        if DECIMAL.fullmatch(value):
            found.append(float(value))
        else:
            unreadable.append(f"{name}: {value[:KEPT_CHARACTERS]}")
    return found
