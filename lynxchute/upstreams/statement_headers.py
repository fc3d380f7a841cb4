"""Decode the backpressure headers of responses."""

from __future__ import annotations

import re

import attrs

from lynxchute.http import Headers
from lynxchute.upstreams.statement import NO_BACKPRESSURE, DeclaredBackpressure

# RFC 9110, section 10.2.3. The HTTP-date form of that section is not supported.
RETRY_AFTER = "Retry-After"
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
# Upper bound on a declared limit, in requests a second; a higher one is reduced to it.
MAX_LIMIT = 100_000.0
# Upper bound on a backoff, in seconds; processes are assumed to be replaced within an
# hour, so a longer backoff has no use.
MAX_BACKOFF = 3600.0
# Characters of an invalid value that are logged.
LOGGED_CHARACTERS = 40
SERVICE_UNAVAILABLE = 503


@attrs.frozen
class BackpressureHeaders:
    """Names of the headers in which upstreams declare backpressure.

    Attributes
    ----------
    limit
        Header with the requests a second that the upstream accepts from all routers
        together.
    leaving
        Header that is "1" if the upstream accepts no new work.
    brittle
        Header with the rejections in a second that the upstream survives; empty if
        there is none.

    Examples
    --------
    >>> headers = BackpressureHeaders("X-Limit", "X-Leaving")
    >>> headers.decode(200, Headers([(b"X-Limit", b"1.5")])).limit
    1.5
    >>> headers.decode(503, Headers([(b"Retry-After", b"3")])).backoff
    3.0
    >>> headers.decode(200, Headers([(b"X-Limit", b"-1")])).unreadable
    ('X-Limit: -1',)
    """

    limit: str
    leaving: str
    brittle: str = ""

    def decode(self, status: int, headers: Headers) -> DeclaredBackpressure:
        """Return what the head of a response declares.

        If a header occurs several times, the strictest value counts.

        Parameters
        ----------
        status
            Status of the response. Only a refusal (503) requests backoff; with any
            other status Retry-After is meant for the caller.
        """
        names = (self.limit, self.leaving, self.brittle)
        is_declared = any(name.lower() in headers for name in names if name)
        if not is_declared and status != SERVICE_UNAVAILABLE:
            return NO_BACKPRESSURE
        unreadable: list[str] = []
        limits = _numbers(headers, self.limit, unreadable)
        backoffs = [0.0]
        if status == SERVICE_UNAVAILABLE:
            backoffs += _numbers(headers, RETRY_AFTER, unreadable)
        rejections = _numbers(headers, self.brittle, unreadable)
        leaving = _values(headers, self.leaving)
        for value in leaving:
            if value not in ("0", "1"):
                unreadable.append(f"{self.leaving}: {value[:LOGGED_CHARACTERS]}")
        return DeclaredBackpressure(
            limit=min(*limits, MAX_LIMIT) if limits else None,
            backoff=min(max(backoffs), MAX_BACKOFF),
            is_leaving="1" in leaving,
            max_rejections=int(min(rejections)) if rejections else None,
            unreadable=tuple(unreadable),
        )


def _numbers(headers: Headers, name: str, unreadable: list[str]) -> list[float]:
    """Return the numbers in all headers of a name; collect invalid values."""
    found = []
    for value in _values(headers, name):
        if DECIMAL.fullmatch(value):
            found.append(float(value))
        else:
            unreadable.append(f"{name}: {value[:LOGGED_CHARACTERS]}")
    return found


def _values(headers: Headers, name: str) -> list[str]:
    wanted = name.lower().encode()
    found = []
    for raw_name, raw_value in headers.raw:
        if raw_name.lower() == wanted:
            found.append(raw_value.decode("latin-1").strip())
    return found
