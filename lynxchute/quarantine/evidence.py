"""What the ends of upstreams say, and what is made of it."""

from __future__ import annotations

import enum

import attrs

from lynxchute.quarantine.progress import Progress


@attrs.frozen
class BrokenRun:
    """A run that broke off before its upstream had outlived it.

    Attributes
    ----------
    content
        Names what the request asks for.
    process
        Names the upstream and its start.
    progress
        How far it had come.
    is_start_known
        Whether the next process at the upstream will have another name.
    """

    content: str
    process: str
    progress: Progress
    is_start_known: bool = True


class Verdict(enum.Enum):
    """What the end of an upstream says of a request that was open there.

    Attributes
    ----------
    BLAMED
        It may have ended the upstream.
    QUARANTINED
        It has ended as many as it may.
    """

    BLAMED = "blamed"
    QUARANTINED = "quarantined"


@attrs.frozen
class Finding:
    """What came of an end for one request.

    Attributes
    ----------
    company
        How many other runs may have been the cause.
    ends
        How many upstreams it is blamed for by now.
    """

    verdict: Verdict
    content: str
    process: str
    company: int
    ends: int
