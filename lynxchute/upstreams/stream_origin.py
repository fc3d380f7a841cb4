"""Where a stream began."""

from __future__ import annotations

import hashlib

import attrs

KEY_BYTES = 12


@attrs.define
class StreamOrigin:
    """The upstream process that produced the first event of a stream.

    Attributes
    ----------
    service
        Service of the upstream.
    software_version
        Version of its software.
    upstream
        Id of the upstream; empty if the upstream itself stated the version.
    started_ms
        Start of the process that the router took it for, in Unix milliseconds; None if
        not known.
    began_at
        When the first event arrived, in seconds on the steady clock.
    is_proven
        Whether that process is known to have run when the first event arrived.
    is_assumed
        Whether the service had one known software version when the stream began, so
        that its process was not asked.
    """

    service: str
    software_version: str
    upstream: str = ""
    started_ms: int | None = None
    began_at: float = 0.0
    is_proven: bool = attrs.field(default=False, eq=False)
    is_assumed: bool = attrs.field(default=False, eq=False)

    def is_same_process(self, other: StreamOrigin) -> bool:
        """Return whether another origin names the same version and process."""
        names = ("service", "software_version", "upstream", "started_ms")
        return all(getattr(self, name) == getattr(other, name) for name in names)


def origin_key(account: str, attempt: str) -> str:
    """Return the key under which the origin of an attempt's stream is known.

    It includes the client account, so that no caller finds a stream of another one.

    Examples
    --------
    >>> origin_key("kanda", "q1") == origin_key("kanda", "q1")
    True
    >>> origin_key("kanda", "q1") == origin_key("other", "q1")
    False
    """
    text = f"{account}\0{attempt}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).hexdigest()
