"""Messages between routers: reservations, loans, placement and runs."""

from __future__ import annotations

import enum
import math
from typing import Any

import attrs

from lynxchute.fleet.backpressure_messages import BackpressureReport, PermitRequest
from lynxchute.fleet.message import Ack, Message
from lynxchute.fleet.origin_messages import OriginNotice, OriginQuery
from lynxchute.fleet.quarantine_messages import (
    CrashEvidence,
    PartInquiry,
    QuarantineUpdate,
)
from lynxchute.fleet.store_messages import (
    StoreChangesRequest,
    StoreScanRequest,
    StoreWriteRequest,
)
from lynxchute.overload.claim import Claim


class ReserveOutcome(enum.Enum):
    """The outcome of a reservation.

    Attributes
    ----------
    RESERVED
        The tokens are reserved.
    EXHAUSTED
        The budget has too few tokens left.
    UNREACHABLE
        There may be tokens left, but they cannot be obtained now.
    CLOSED
        The router makes no more reservations.
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
    """The reply to a reservation.

    Attributes
    ----------
    detail
        Details of the outcome, for logs.
    unused
        For a refusal: unused tokens of the budget in the whole fleet, as far as known,
        including those reserved for open requests.
    """

    outcome: ReserveOutcome
    detail: str = ""
    unused: int = 0


@attrs.frozen
class ReserveRequest(Message[ReserveReply]):
    """Reserve tokens for a request.

    Attributes
    ----------
    reservation_id
        Idempotency key: the same for all attempts at one reservation, and unique to it.
    """

    NAME = "reserve"
    REPLY = ReserveReply

    reservation_id: str
    account: str
    tokens: int


@attrs.frozen
class Settlement:
    """The tokens that a request has used of its reservation."""

    reservation_id: str
    used: int


@attrs.frozen
class CancelledLoan:
    """A loan whose reply was lost, so that the borrower did not receive the tokens."""

    loan_id: str
    account: str


@attrs.frozen
class SettleRequest(Message[Ack]):
    """Settle reservations, and cancel loans whose replies were lost."""

    NAME = "settle"
    REPLY = Ack

    settlements: tuple[Settlement, ...]
    void_loans: tuple[CancelledLoan, ...] = ()


@attrs.frozen
class LendReply:
    """The reply to a loan request.

    Attributes
    ----------
    lent
        Tokens lent to the borrower, which the lender counts as used from now on.
    released
        Tokens that the lender has released to the store, for the borrower to claim.
    unused
        Tokens of the budget that the lender still has, including those reserved for
        open requests.
    """

    lent: int
    released: int
    unused: int


@attrs.frozen
class LendRequest(Message[LendReply]):
    """Ask for a loan of tokens.

    Attributes
    ----------
    loan_id
        Idempotency key of the loan.
    needed
        Tokens that a request lacks.
    wanted
        Tokens that the borrower would like in all, so that it needs fewer loans.
    by_store
        Whether the borrower can claim tokens that are released to the store.
    kept_by
        The VM whose local reserve the loan is for; empty for a loan to a waiting
        request or to an account's home.
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
    """Transfer tokens that the sender has borrowed and does not need.

    Attributes
    ----------
    gift_id
        Idempotency key: the transfer is applied once however often it is sent.
    """

    NAME = "give"
    REPLY = Ack

    gift_id: str
    account: str
    tokens: int


@attrs.frozen
class FinalUseReport(Message[Ack]):
    """Report the token use of a stopping router, for the next process on its VM.

    It is sent when the router could not write its use to the store.

    Attributes
    ----------
    incarnation
        Identifies the process that stops.
    used_by_account
        Tokens used of its own grants; the router uses no more of them.
    """

    NAME = "final-use"
    REPLY = Ack

    vm: str
    incarnation: str
    used_by_account: dict[str, int]


@attrs.frozen
class FinalUseReply:
    """The final token use of a stopped process; None if this router has no report."""

    used_by_account: dict[str, int] | None


@attrs.frozen
class FinalUseRequest(Message[FinalUseReply]):
    """Ask for the final token use of an earlier process on a VM."""

    NAME = "final-use-of"
    REPLY = FinalUseReply

    vm: str
    incarnation: str


@attrs.frozen
class PlacementReply:
    """The placement of a generation on an engine.

    Attributes
    ----------
    upstream
        The chosen engine; empty when there is none.
    fetch_from
        The engine from which to fetch cached state of the prompt; empty when none.
    expected_ms
        Milliseconds until the first event is expected.
    is_counted
        Whether the placement is within the limit for cold engines, so that the request
        may be sent even if the engine is cold.
    is_admitted
        Whether the request is within the rate limit that the engine has declared for
        all routers together.
    backpressure
        Known rate limits of the service's engines.
    is_refused
        Whether there are engines, but none may get the request now.
    wait_ms
        For a queued request: milliseconds until the router should ask again.
    ahead
        Number of requests before it in the queue.
    retry_ms
        For a request that would be served too late: milliseconds until its caller
        should retry.
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
    """Ask for an engine for a generation.

    Attributes
    ----------
    data_centre
        The data centre of the asking router.
    passed_over
        Engines of the service that the asking router excludes.
    parts
        Ids and token counts of the prompt's parts.
    router
        The incarnation of the asking router, which identifies its process.
    expected_output_tokens
        The caller's estimate of the output tokens; None when it gives none.
    first_event_ms, pause_ms
        Latency objectives of the response in milliseconds: the time to its first event,
        and the longest pause between two events.
    own_turns
        Engines with a declared rate limit to which the asking router may send in its
        own turn.
    backpressure
        Known rate limits of the service's engines.
    claim
        Who asks and how long it can wait in a queue; None when it cannot wait.
    software_version
        Software version of the engines to choose from; None for any.
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
    software_version: str | None = None


class RunStage(enum.Enum):
    """The stage of a run on an engine.

    Attributes
    ----------
    BEGUN
        It has produced its first event.
    PAUSED
        Its stream has paused for longer than its latency objective allows.
    ENDED
        The engine no longer works on it; it did not fail.
    FAILED
        The engine no longer works on it, because it failed.
    UNPLACED
        It has no slot at an engine: its router got no reply in time and has placed the
        run itself, or the request left the queue.
    """

    BEGUN = "begun"
    PAUSED = "paused"
    ENDED = "ended"
    FAILED = "failed"
    UNPLACED = "unplaced"


@attrs.frozen
class RunUpdate:
    """A change in the stage of a run.

    Attributes
    ----------
    upstream
        The engine; empty when the router does not know it.
    took_ms
        Milliseconds from the send to the first event, when the run has begun.
    """

    run_id: str
    upstream: str
    stage: RunStage
    took_ms: float = 0.0


@attrs.frozen
class RunUpdateRequest(Message[Ack]):
    """Report the progress of runs that were placed."""

    NAME = "news"
    REPLY = Ack

    news: tuple[RunUpdate, ...]


@attrs.frozen
class PingRequest(Message[Ack]):
    """Check whether a router is reachable again."""

    NAME = "ping"
    REPLY = Ack


@attrs.frozen
class AnnounceRequest(Message[Ack]):
    """Make this router known to one that may not have heard of it.

    Attributes
    ----------
    registration
        The value of its row in the store.
    """

    NAME = "announce"
    REPLY = Ack

    registration: str


@attrs.frozen
class EvacuationReply:
    """A router's state regarding the evacuation of a data centre.

    Attributes
    ----------
    has_heard
        Whether the router knows of the evacuation and sends nothing new there.
    open_requests
        Number of its requests that still run there.
    cold_seconds
        Seconds until the last upstream there is expected to be warm.
    """

    has_heard: bool
    open_requests: int
    cold_seconds: float


@attrs.frozen
class EvacuationRequest(Message[EvacuationReply]):
    """Ask a router whether it follows the evacuation of a data centre."""

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
        AnnounceRequest,
        EvacuationRequest,
        PermitRequest,
        CrashEvidence,
        PartInquiry,
        QuarantineUpdate,
        OriginNotice,
        OriginQuery,
        StoreWriteRequest,
        StoreScanRequest,
        StoreChangesRequest,
    )
}
