"""What the routers tell one another of requests that end upstreams."""

from __future__ import annotations

import attrs

from lynxchute.fleet.message import Done, Message
from lynxchute.quarantine import BrokenRun, QuarantineEntry


@attrs.frozen
class RunEvidence(Message[Done]):
    """Take what runs say of requests that may end upstreams.

    Attributes
    ----------
    broken
        Runs that broke off when their upstream ended.
    survived
        Contents of suspected requests that an upstream has outlived.
    quarantined
        What another judge had told that does not stand in the store yet.
    """

    NAME = "evidence"
    REPLY = Done

    broken: tuple[BrokenRun, ...] = ()
    survived: tuple[str, ...] = ()
    quarantined: tuple[QuarantineEntry, ...] = ()


@attrs.frozen
class QuarantineNews(Message[Done]):
    """Send some requests to no upstream, and others again."""

    NAME = "quarantine"
    REPLY = Done

    quarantined: tuple[QuarantineEntry, ...] = ()
    cleared: tuple[str, ...] = ()
