"""What the routers tell one another of requests that end upstreams."""

from __future__ import annotations

import attrs

from lynxchute.fleet.message import Ack, Message
from lynxchute.quarantine import BrokenRun, QuarantineEntry


@attrs.frozen
class CrashEvidence(Message[Ack]):
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
    REPLY = Ack

    broken: tuple[BrokenRun, ...] = ()
    survived: tuple[str, ...] = ()
    quarantined: tuple[QuarantineEntry, ...] = ()


@attrs.frozen
class QuarantineUpdate(Message[Ack]):
    """Send some requests to no upstream, and others again."""

    NAME = "quarantine"
    REPLY = Ack

    quarantined: tuple[QuarantineEntry, ...] = ()
    cleared: tuple[str, ...] = ()
