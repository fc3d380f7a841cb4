"""Decode what upstreams state of themselves in the heads of their answers."""

from __future__ import annotations

import re

import attrs

from lynxchute.http import Headers
from lynxchute.upstreams.statement import NOTHING_STATED, Statement

# RFC 9110, section 10.2.3; a date, which that also allows, is not read.
RETRY_AFTER = "Retry-After"
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
# Requests a second; no upstream is sent as many, whatever it names.
MAX_LIMIT = 100_000.0
# Seconds; whatever is asked for longer ends sooner by the process's own end.
MAX_BACKOFF = 3600.0
# Characters of an unreadable value that are kept for the log.
KEPT_CHARACTERS = 40
TURNED_AWAY = 503


@attrs.frozen
class StatementHeaders:
    """The names of the headers in which upstreams state what they want.

    Attributes
    ----------
    limit
        Names the requests a second that it takes from all routers together.
    leaving
        "1" from one that takes no new work.

    Examples
    --------
    >>> headers = StatementHeaders("X-Limit", "X-Leaving")
    >>> headers.decode(200, Headers([(b"X-Limit", b"1.5")])).limit
    1.5
    >>> headers.decode(503, Headers([(b"Retry-After", b"3")])).backoff
    3.0
    >>> headers.decode(200, Headers([(b"X-Limit", b"-1")])).unreadable
    ('X-Limit: -1',)
    """

    limit: str
    leaving: str

    def decode(self, status: int, headers: Headers) -> Statement:
        """Return what the head of an answer states.

        Of several headers of one name the strictest counts.

        Parameters
        ----------
        status
            Only a refusal asks for backoff; with any other status the time is the
            caller's.
        """
        is_told = self.limit.lower() in headers or self.leaving.lower() in headers
        if not is_told and status != TURNED_AWAY:
            return NOTHING_STATED
        unreadable: list[str] = []
        limits = _numbers(headers, self.limit, unreadable)
        backoffs = [0.0]
        if status == TURNED_AWAY:
            backoffs += _numbers(headers, RETRY_AFTER, unreadable)
        leaving = _values(headers, self.leaving)
        for value in leaving:
            if value not in ("0", "1"):
                unreadable.append(f"{self.leaving}: {value[:KEPT_CHARACTERS]}")
        return Statement(
            limit=min(*limits, MAX_LIMIT) if limits else None,
            backoff=min(max(backoffs), MAX_BACKOFF),
            is_leaving="1" in leaving,
            unreadable=tuple(unreadable),
        )


def _numbers(headers: Headers, name: str, unreadable: list[str]) -> list[float]:
    """Return the numbers in all headers of a name; note those that are none."""
    found = []
    for value in _values(headers, name):
        if DECIMAL.fullmatch(value):
            found.append(float(value))
        else:
            unreadable.append(f"{name}: {value[:KEPT_CHARACTERS]}")
    return found


def _values(headers: Headers, name: str) -> list[str]:
    wanted = name.lower().encode()
    found = []
    for raw_name, raw_value in headers.raw:
        if raw_name.lower() == wanted:
            found.append(raw_value.decode("latin-1").strip())
    return found
