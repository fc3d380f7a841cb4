"""Queue requests in a fair order while all engines of a service are full.

Used when more generations arrive than the engines have slots. The queue holds only a
ticket for each request; the request stays at its router, which polls.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from typing import Any

import attrs

from lynxchute.fleet.messages import PlacementReply, PlacementRequest
from lynxchute.overload.claim import Claim, InvalidClaim
from lynxchute.overload.drain import DrainRate
from lynxchute.overload.fair_shares import EqualDivision
from lynxchute.overload.returns import ExpectedRetries
from lynxchute.overload.ticket import Ticket
from lynxchute.overload.ticket_queue import FairTicketQueue
from lynxchute.telemetry import Metrics, log_event

# Minimum and maximum seconds between two polls of a waiting request. They are short
# enough that a free slot is filled soon, and that a router notices within 0.3 s,
# including the query timeout of 0.1 s, that the scheduling router does not answer.
MIN_POLL_SECONDS = 0.05
MAX_POLL_SECONDS = 0.15
# Share of the expected wait after which a request polls again.
POLL_SHARE = 0.5
# Seconds by which a poll may be overdue before its ticket is discarded: a busy router
# may be that late.
GRACE_SECONDS = 0.35
# Cost of one output token, as the number of prompt tokens read in the same time. It is
# low because a decoding step of an engine serves some tens of streams at once.
OUTPUT_TOKEN_WEIGHT = 10.0
# Initial estimate of the seconds that a request occupies a slot, until there are
# samples of how fast slots become free.
DEFAULT_RUN_SECONDS = 2.0
# Maximum number of accounts with their own label in metrics and the state dump.
MAX_LABELLED_ACCOUNTS = 50


@attrs.define
class _ServiceQueue:
    """The admission queue of one service.

    Attributes
    ----------
    poll_due_by_run
        Deadline of the next poll of each waiting request, in seconds.
    pruned_at
        Time when overdue tickets were last discarded, in seconds.
    """

    queue: FairTicketQueue
    poll_due_by_run: dict[str, float] = attrs.Factory(dict)
    pruned_at: float = 0.0


class AdmissionQueue:
    """Decide which requests are placed, wait or are refused when engines are full.

    Parameters
    ----------
    weight_of
        Returns the weight of a client account.
    metrics
        Counts waiting and refused requests.
    """

    def __init__(self, weight_of: Callable[[str], float], metrics: Metrics) -> None:
        self.shares = EqualDivision(weight_of)
        self._expected_retries = ExpectedRetries()
        self._metrics = metrics
        self._routers: Collection[str] = ()
        self._queue_by_service: dict[str, _ServiceQueue] = {}
        self._labelled_accounts: set[str] = set()

    def update_routers(self, incarnations: Collection[str]) -> None:
        """Set the live router processes and discard the tickets of all others."""
        self._routers = incarnations
        for service_queue in self._queue_by_service.values():
            for ticket in service_queue.queue.tickets:
                if ticket.router not in incarnations:
                    self._discard(service_queue, ticket.run_id)

    def prune_services(self, live_services: Collection[str]) -> None:
        """Discard the queues of services that are not in `live_services`."""
        for service in set(self._queue_by_service) - set(live_services):
            del self._queue_by_service[service]

    def check(self, request: PlacementRequest, claim: Claim) -> None:
        """Check that a claim has valid values and belongs to a known router.

        The run must not have been queued by another router.

        Raises
        ------
        InvalidClaim
            If the claim is invalid.
        """
        claim.check()
        if request.router not in self._routers:
            raise InvalidClaim("router")
        service_queue = self._queue_by_service.get(request.service)
        ticket = (
            service_queue.queue.get(request.run_id)
            if service_queue is not None
            else None
        )
        if ticket is not None and ticket.router != request.router:
            raise InvalidClaim("duplicate")

    def is_empty(self, service: str, now: float) -> bool:
        """Return whether no request waits for a service's engines."""
        service_queue = self._queue_by_service.get(service)
        if service_queue is None:
            return True
        self._prune_overdue(service_queue, now)
        return not len(service_queue.queue)

    def enqueue(
        self, request: PlacementRequest, claim: Claim, slots: int, now: float
    ) -> PlacementReply:
        """Queue a request, or check the position of one that is queued already.

        Parameters
        ----------
        slots
            Number of requests that the service's engines serve at once.

        Returns
        -------
        PlacementReply
            When to poll again and how many requests are ahead, or when the caller
            should retry a refused request.
        """
        service_queue = self._queue_of(request.service, slots)
        run_id = request.run_id
        if run_id in service_queue.queue:
            retry_after = service_queue.queue.reject_if_late(run_id, now)
        else:
            retry_after = service_queue.queue.put(
                self._make_ticket(request, claim, now), now
            )
        if retry_after is not None:
            service_queue.poll_due_by_run.pop(run_id, None)
            self._record_refusal(claim, retry_after, now)
            return PlacementReply("", retry_ms=max(retry_after * 1000.0, 1.0))
        ahead = service_queue.queue.position_of(run_id, now)
        expected = service_queue.queue.expected_wait(run_id, now)
        poll_after = min(max(expected * POLL_SHARE, MIN_POLL_SECONDS), MAX_POLL_SECONDS)
        service_queue.poll_due_by_run[run_id] = now + poll_after + GRACE_SECONDS
        self._update_waiting_metric()
        return PlacementReply("", wait_ms=poll_after * 1000.0, ahead=ahead)

    def record_placement(
        self, request: PlacementRequest, claim: Claim, now: float
    ) -> None:
        """Record that a request has been placed."""
        service_queue = self._queue_by_service.get(request.service)
        if service_queue is not None and request.run_id in service_queue.queue:
            service_queue.poll_due_by_run.pop(request.run_id, None)
            service_queue.queue.admit(request.run_id, now)
            self._update_waiting_metric()
            return
        # Requests that were queued have been counted on arrival.
        self._record_attempt(request, claim, now)
        if service_queue is not None:
            service_queue.queue.record_immediate_admission(claim.rank, now)

    def record_slot_freed(self, service: str, now: float) -> None:
        """Record that a slot of an engine has become free."""
        service_queue = self._queue_by_service.get(service)
        if service_queue is not None:
            service_queue.queue.drain.record_slot_freed(now)

    def discard(self, run_id: str) -> None:
        """Discard a request that was cancelled or is placed by another router."""
        for service_queue in self._queue_by_service.values():
            if run_id in service_queue.queue:
                self._discard(service_queue, run_id)

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return the waiting requests by service for the state dump."""
        rows = []
        for service, service_queue in self._queue_by_service.items():
            tickets = service_queue.queue.tickets
            accounts = Counter(ticket.account for ticket in tickets)
            ranks = Counter(str(ticket.rank) for ticket in tickets)
            oldest = min((t.arrived_at for t in tickets), default=now)
            rows.append(
                {
                    "service": service,
                    "waiting": len(tickets),
                    "oldest_s": round(now - oldest, 3),
                    "places_a_second": round(
                        service_queue.queue.drain.per_second(now), 2
                    ),
                    "by_rank": dict(ranks),
                    "by_account": dict(accounts.most_common(MAX_LABELLED_ACCOUNTS)),
                }
            )
        return rows

    def _queue_of(self, service: str, slots: int) -> _ServiceQueue:
        service_queue = self._queue_by_service.get(service)
        if service_queue is None:
            drain = DrainRate(max(slots, 1) / DEFAULT_RUN_SECONDS)
            service_queue = _ServiceQueue(FairTicketQueue(self.shares, drain))
            self._queue_by_service[service] = service_queue
        return service_queue

    def _make_ticket(
        self, request: PlacementRequest, claim: Claim, now: float
    ) -> Ticket:
        is_timely_retry = self._record_attempt(request, claim, now)
        cost = request_cost(request)
        return claim.ticket(
            request.run_id, request.router, cost, now, is_timely_retry=is_timely_retry
        )

    def _record_attempt(
        self, request: PlacementRequest, claim: Claim, now: float
    ) -> bool:
        """Charge an attempt to its account; return whether it is a timely retry.

        A retry after the requested delay is not charged again, since the refused
        attempt was. A caller that retries sooner is charged for each attempt.
        """
        is_timely_retry = self._expected_retries.consume(
            claim.account, claim.content, now
        )
        if claim.account and not is_timely_retry:
            self.shares.record_use(claim.account, request_cost(request), now)
        return is_timely_retry

    def _record_refusal(self, claim: Claim, retry_after: float, now: float) -> None:
        self._expected_retries.record_refusal(
            claim.account, claim.content, retry_after, now
        )
        account = claim.account
        if account not in self._labelled_accounts:
            if len(self._labelled_accounts) >= MAX_LABELLED_ACCOUNTS:
                account = "others"
            else:
                self._labelled_accounts.add(account)
        self._metrics.turns_refused.inc(account)
        self._update_waiting_metric()

    def _prune_overdue(self, service_queue: _ServiceQueue, now: float) -> None:
        """Discard tickets whose routers have stopped polling."""
        if now - service_queue.pruned_at < MIN_POLL_SECONDS:
            return
        service_queue.pruned_at = now
        for run_id, due in list(service_queue.poll_due_by_run.items()):
            if due < now or run_id not in service_queue.queue:
                self._discard(service_queue, run_id)

    def _discard(self, service_queue: _ServiceQueue, run_id: str) -> None:
        service_queue.poll_due_by_run.pop(run_id, None)
        service_queue.queue.drop(run_id)
        self._update_waiting_metric()

    def _update_waiting_metric(self) -> None:
        waiting = sum(
            len(service_queue.queue)
            for service_queue in self._queue_by_service.values()
        )
        self._metrics.waiting.set(waiting)


def request_cost(request: PlacementRequest) -> float:
    """Return the cost of a request for its engine, in equivalent prompt tokens.

    Examples
    --------
    >>> request_cost(PlacementRequest("r", "pool", "a", (), 1000, 60, (), "x"))
    1600.0
    """
    output_tokens = request.expected_output_tokens
    if output_tokens is None:
        output_tokens = request.output_tokens
    return request.prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens


def reject_claim(request: PlacementRequest, error: InvalidClaim) -> PlacementReply:
    """Log an invalid claim; return a reply that makes its router place locally."""
    log_event(
        "placement claim rejected",
        request_id=request.run_id,
        router=request.router,
        reason=str(error),
    )
    return PlacementReply("")
