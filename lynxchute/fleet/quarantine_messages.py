"""Messages between routers about requests that crash upstreams."""

from __future__ import annotations

import attrs

from lynxchute.fleet.message import Ack, Message
from lynxchute.quarantine import BrokenRun, QuarantineEntry


@attrs.frozen
class CrashEvidence(Message[Ack]):
    """Report evidence about requests that may crash upstreams.

    Attributes
    ----------
    broken
        Runs that were cut off when their upstream crashed.
    survived
        Content ids of suspected requests after which an upstream stayed up.
    quarantined
        Entries from another judge that are not in the store yet.
    """

    NAME = "evidence"
    REPLY = Ack

    broken: tuple[BrokenRun, ...] = ()
    survived: tuple[str, ...] = ()
    quarantined: tuple[QuarantineEntry, ...] = ()


@attrs.frozen
class QuarantineUpdate(Message[Ack]):
    """Put requests into quarantine, so that no upstream gets them, or release them.

    Attributes
    ----------
    quarantined
        Requests that must not be sent to any upstream.
    cleared
        Content ids of requests that may be sent again.
    """

    NAME = "quarantine"
    REPLY = Ack

    quarantined: tuple[QuarantineEntry, ...] = ()
    cleared: tuple[str, ...] = ()
