"""What the routers ask one another."""

from __future__ import annotations

import enum
import math
from typing import Any

import attrs

from lynxchute.fleet.backpressure_messages import BackpressureReport, PermitRequest
from lynxchute.fleet.message import Ack, Message
from lynxchute.fleet.quarantine_messages import CrashEvidence, QuarantineUpdate
from lynxchute.fleet.store_messages import (
    StoreChangesRequest,
    StoreScanRequest,
    StoreWriteRequest,
)
from lynxchute.overload.claim import Claim


class ReserveOutcome(enum.Enum):
    """What came of a reservation.

    Attributes
    ----------
    UNREACHABLE
        There are tokens, but none that can be had now.
    SILENT
        The router that was asked did not answer.
    """

    RESERVED = "reserved"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"
    CLOSED = "closed"
    SILENT = "silent"


@attrs.frozen
class ReserveReply:
    """The answer to a reservation, and what it rests on.

    Attributes
    ----------
    unused
        Tokens of the budget that the fleet is known not to have used, where the
        answer is no; those set aside for open requests are among them.
    """

    outcome: ReserveOutcome
    detail: str = ""
    unused: int = 0


@attrs.frozen
class ReserveRequest(Message[ReserveReply]):
    """Set tokens aside for a request.

    Attributes
    ----------
    reservation_id
        The same each time that one reservation is asked for, and no other's.
    """

    NAME = "reserve"
    REPLY = ReserveReply

    reservation_id: str
    account: str
    tokens: int


@attrs.frozen
class Settlement:
    """What a request has used of its reservation, in tokens."""

    reservation_id: str
    used: int


@attrs.frozen
class CancelledLoan:
    """A loan whose answer did not come: the borrower has none of it."""

    loan_id: str
    account: str


@attrs.frozen
class SettleRequest(Message[Ack]):
    """Take what requests have used, and back what was lent in vain."""

    NAME = "settle"
    REPLY = Ack

    settlements: tuple[Settlement, ...]
    void_loans: tuple[CancelledLoan, ...] = ()


@attrs.frozen
class LendReply:
    """The answer to a loan.

    Attributes
    ----------
    lent
        Tokens that are the borrower's from now on.
    released
        Tokens that the lender has given back to the store for it to take.
    unused
        What the lender still has of the budget, with what is set aside for
        open requests.
    """

    lent: int
    released: int
    unused: int


@attrs.frozen
class LendRequest(Message[LendReply]):
    """Lend tokens.

    Attributes
    ----------
    needed
        What a request lacks.
    wanted
        What the borrower would like, to ask less often.
    by_store
        Whether the borrower can take what is given back to the store.
    kept_by
        The VM that keeps it for requests that are yet to come; empty where it is
        for one that waits.
    """

    NAME = "lend"
    REPLY = LendReply

    loan_id: str
    account: str
    needed: int
    wanted: int
    by_store: bool
    kept_by: str = ""


@attrs.frozen
class TransferRequest(Message[Ack]):
    """Take tokens that the sender had borrowed and does not need.

    Attributes
    ----------
    gift_id
        Names the gift; it is taken once however often it is sent.
    """

    NAME = "give"
    REPLY = Ack

    gift_id: str
    account: str
    tokens: int


@attrs.frozen
class FinalUseReport(Message[Ack]):
    """Keep what a router that stops has used, for the next run on its VM.

    It is sent where the store could not be told.

    Attributes
    ----------
    used_by_account
        Tokens of its own grants; the router uses no more of them.
    """

    NAME = "final-use"
    REPLY = Ack

    vm: str
    incarnation: str
    used_by_account: dict[str, int]


@attrs.frozen
class FinalUseReply:
    """What a stopped run had used; None where this router was not told."""

    used_by_account: dict[str, int] | None


@attrs.frozen
class FinalUseRequest(Message[FinalUseReply]):
    """Ask what an earlier run on a VM had used when it stopped."""

    NAME = "final-use-of"
    REPLY = FinalUseReply

    vm: str
    incarnation: str


@attrs.frozen
class PlacementReply:
    """The engine for a generation; empty where none is known.

    Attributes
    ----------
    fetch_from
        The engine that should hand over what it keeps of the prompt, if any.
    expected_ms
        When its first event is expected, in milliseconds.
    is_counted
        Whether the request is among those that the engine may get when it is cold.
    is_admitted
        Whether it is among those that all routers together may send there, where the
        engine names a limit.
    backpressure
        What was heard of the service's engines that are throttled.
    is_refused
        Whether there are engines and none may get the request now.
    wait_ms
        Milliseconds after which to ask again, where it waits for its turn.
    ahead
        How many wait before it.
    retry_ms
        Milliseconds after which its caller should come back, where its turn comes too
        late.
    """

    upstream: str
    fetch_from: str = ""
    expected_ms: float = 0.0
    is_counted: bool = False
    is_admitted: bool = False
    backpressure: tuple[BackpressureReport, ...] = ()
    is_refused: bool = False
    wait_ms: float = 0.0
    ahead: int = 0
    retry_ms: float = 0.0


@attrs.frozen
class PlacementRequest(Message[PlacementReply]):
    """Choose an engine for a generation.

    Attributes
    ----------
    data_centre
        Where the asking router is.
    passed_over
        The engines of the service that it would not send to.
    parts
        Ids and tokens of the prompt's parts.
    router
        Names the run of the asking process.
    expected_output_tokens
        The caller's guess at the tokens of the answer; None where it makes none.
    first_event_ms, pause_ms
        What the answer must keep to, in milliseconds: the time until its first
        event, and the longest pause between two.
    own_turns
        Engines that name a limit, and to which the asking router may send by itself.
    backpressure
        What was heard of the service's engines that are throttled.
    claim
        Who asks and for how long it can wait; None where it cannot.
    """

    NAME = "place"
    REPLY = PlacementReply

    run_id: str
    service: str
    data_centre: str
    passed_over: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    router: str
    expected_output_tokens: int | None = None
    first_event_ms: float = math.inf
    pause_ms: float = math.inf
    own_turns: tuple[str, ...] = ()
    backpressure: tuple[BackpressureReport, ...] = ()
    claim: Claim | None = None


class RunStage(enum.Enum):
    """How far a run has come.

    Attributes
    ----------
    PAUSED
        Its stream has paused for longer than is on time.
    UNPLACED
        Its router got no answer in time and has placed it by itself.
    """

    BEGUN = "begun"
    PAUSED = "paused"
    ENDED = "ended"
    FAILED = "failed"
    UNPLACED = "unplaced"


@attrs.frozen
class RunUpdate:
    """What has become of a run on an engine.

    Attributes
    ----------
    upstream
        The engine; empty where the router does not know it.
    took_ms
        Milliseconds from the send to the first event, where that is the news.
    """

    run_id: str
    upstream: str
    stage: RunStage
    took_ms: float = 0.0


@attrs.frozen
class RunUpdateRequest(Message[Ack]):
    """Take news of runs that were placed."""

    NAME = "news"
    REPLY = Ack

    news: tuple[RunUpdate, ...]


@attrs.frozen
class PingRequest(Message[Ack]):
    """Ask whether a router answers again."""

    NAME = "ping"
    REPLY = Ack


@attrs.frozen
class EvacuationReply:
    """What a router knows of a data centre.

    Attributes
    ----------
    has_heard
        Whether it sends nothing new there.
    open_requests
        Its requests that still run there.
    cold_seconds
        How long the last of the upstreams there stays cold, as far as it knows.
    """

    has_heard: bool
    open_requests: int
    cold_seconds: float


@attrs.frozen
class EvacuationRequest(Message[EvacuationReply]):
    """Ask whether a router has heard that a data centre is evacuated."""

    NAME = "evacuation"
    REPLY = EvacuationReply

    data_centre: str


MESSAGES_BY_NAME: dict[str, type[Message[Any]]] = {
    cls.NAME: cls
    for cls in (
        ReserveRequest,
        SettleRequest,
        LendRequest,
        TransferRequest,
        FinalUseReport,
        FinalUseRequest,
        PlacementRequest,
        RunUpdateRequest,
        PingRequest,
        EvacuationRequest,
        PermitRequest,
        CrashEvidence,
        QuarantineUpdate,
        StoreWriteRequest,
        StoreScanRequest,
        StoreChangesRequest,
    )
}
