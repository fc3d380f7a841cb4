"""Messages between routers about where streams began."""

from __future__ import annotations

import attrs

from lynxchute.fleet.message import Ack, Message


@attrs.frozen
class KnownOrigin:
    """Where a stream began.

    Attributes
    ----------
    key
        Identifies the client account and the attempt.
    age, keep
        Seconds since the stream began, and for which to remember it.
    is_proven
        Whether the process is known to have run when the stream began.
    is_assumed
        Whether its service had one known version then.
    """

    key: str
    service: str
    software_version: str
    upstream: str
    started_ms: int | None
    age: float
    keep: float
    is_proven: bool = False
    is_assumed: bool = False


@attrs.frozen
class OriginNotice(Message[Ack]):
    """Hand over where streams began, so that they can be resumed at any router."""

    NAME = "stream-origins"
    REPLY = Ack

    origins: tuple[KnownOrigin, ...] = ()


@attrs.frozen
class OriginReply:
    """What a router knows of a stream.

    Attributes
    ----------
    origin
        Where the stream began; None if not known.
    versions
        Software versions that the service has had for as long as a stream may be
        resumed; None among them stands for one that is not known.
    is_history_known
        Whether the versions before the start of the router are known.
    may_have_lost_state
        Whether an earlier process of its VM was killed which may have known it.
    """

    origin: KnownOrigin | None = None
    versions: tuple[str | None, ...] = ()
    is_history_known: bool = False
    may_have_lost_state: bool = False


@attrs.frozen
class OriginQuery(Message[OriginReply]):
    """Ask where a stream began.

    Attributes
    ----------
    service
        Service to which the stream's route leads.
    """

    NAME = "stream-origin"
    REPLY = OriginReply

    key: str
    service: str
