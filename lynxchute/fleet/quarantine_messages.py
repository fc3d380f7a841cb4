"""Messages between routers about requests that crash upstreams."""

from __future__ import annotations

import attrs

from lynxchute.fleet.message import Ack, Message
from lynxchute.quarantine import BrokenRun, PartGroup, QuarantineEntry


@attrs.frozen
class PartsServed:
    """Prompt parts that a router has served at a service, model and software version.

    Attributes
    ----------
    at_ms
        Time at which each part was last served, on the store's clock.
    runs
        Number of served runs, of whatever parts, since the time that was asked for.
    """

    scope: str
    version: str
    at_ms: dict[str, int]
    runs: int = 0


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
    parts_served
        Quarantined prompt parts that were served.
    """

    NAME = "evidence"
    REPLY = Ack

    broken: tuple[BrokenRun, ...] = ()
    survived: tuple[str, ...] = ()
    quarantined: tuple[QuarantineEntry, ...] = ()
    parts_served: tuple[PartsServed, ...] = ()


@attrs.frozen
class QuarantineUpdate(Message[Ack]):
    """Put requests into quarantine, so that no upstream gets them, or release them.

    Attributes
    ----------
    quarantined
        Requests that must not be sent to any upstream.
    cleared
        Content ids of requests that may be sent again.
    suspected
        Prompt parts whose requests are not sent again after a crash.
    """

    NAME = "quarantine"
    REPLY = Ack

    quarantined: tuple[QuarantineEntry, ...] = ()
    cleared: tuple[str, ...] = ()
    suspected: tuple[PartGroup, ...] = ()


@attrs.frozen
class PartReport:
    """Reply to `PartInquiry`.

    Attributes
    ----------
    may_have_lost_state
        Whether an earlier process of the router's VM was killed just now.
    """

    served: tuple[PartsServed, ...] = ()
    may_have_lost_state: bool = False


@attrs.frozen
class PartInquiry(Message[PartReport]):
    """Ask which suspected prompt parts a router has served, and when."""

    NAME = "part-inquiry"
    REPLY = PartReport

    groups: tuple[PartGroup, ...] = ()
