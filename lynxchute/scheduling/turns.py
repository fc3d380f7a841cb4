"""Let requests that find all engines full wait for their turn, in a fair order.

Answers loads where more generations come than the engines of a service have places
for. What waits is a ticket; its request stays with its router, which asks again.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from typing import Any

import attrs

from lynxchute.fleet.messages import PlaceReply, PlaceRequest
from lynxchute.overload.claim import Claim, InvalidClaim
from lynxchute.overload.drain import DrainRate
from lynxchute.overload.fair_shares import EqualDivision
from lynxchute.overload.returns import ExpectedRetries
from lynxchute.overload.ticket import Ticket
from lynxchute.overload.ticket_queue import FairTicketQueue
from lynxchute.telemetry import Metrics, log_event

# Seconds after which a waiting request asks again, at least and at most: a place that
# becomes free should not be idle for long, and who waits should notice within 0.3 s
# that nobody answers, 0.1 s of which are the question's.
LEAST_AGAIN = 0.05
MOST_AGAIN = 0.15
# Share of the expected wait after which it asks again.
AGAIN_SHARE = 0.5
# Seconds beyond the told time after which nobody asks for a ticket any more: a router
# that has much to do may be as late as that.
GRACE_SECONDS = 0.35
# A token of an answer takes an engine as long as to read so many: its steps are shared
# by some tens of streams.
ANSWER_TOKEN_WEIGHT = 10.0
# Seconds that a request has a place for, until it is seen how fast places become free.
USUAL_RUN_SECONDS = 2.0
# Accounts that metrics and the state tell apart.
TOLD_ACCOUNTS = 50


@attrs.define
class _ServiceQueue:
    """The queue of one service.

    Attributes
    ----------
    due_by_run
        By when each waiting request should have asked again.
    """

    queue: FairTicketQueue
    due_by_run: dict[str, float] = attrs.Factory(dict)
    tidied_at: float = 0.0


class AdmissionQueue:
    """Decide who is placed, who waits and who is refused where engines are full.

    Parameters
    ----------
    weight_of
        Returns the weight of a client account.
    metrics
        Where waiting and refused requests are counted.
    """

    def __init__(self, weight_of: Callable[[str], float], metrics: Metrics) -> None:
        self.shares = EqualDivision(weight_of)
        self._returns = ExpectedRetries()
        self._metrics = metrics
        self._routers: Collection[str] = ()
        self._queue_by_service: dict[str, _ServiceQueue] = {}
        self._told_accounts: set[str] = set()

    def keep_routers(self, incarnations: Collection[str]) -> None:
        """Forget the tickets of router processes that are gone."""
        self._routers = incarnations
        for served in self._queue_by_service.values():
            for ticket in served.queue.tickets:
                if ticket.router not in incarnations:
                    self._forget(served, ticket.run_id)

    def keep_services(self, services: Collection[str]) -> None:
        """Forget the queues of services that are gone."""
        for service in set(self._queue_by_service) - set(services):
            del self._queue_by_service[service]

    def check(self, request: PlaceRequest, claim: Claim) -> None:
        """Refuse a claim of an unknown router, or one that cannot be true.

        Raises
        ------
        BadClaim
            Where it is one.
        """
        claim.check()
        if request.router not in self._routers:
            raise InvalidClaim("router")
        served = self._queue_by_service.get(request.service)
        ticket = served.queue.get(request.run_id) if served is not None else None
        if ticket is not None and ticket.router != request.router:
            raise InvalidClaim("duplicate")

    def is_idle(self, service: str, now: float) -> bool:
        """Return whether nobody waits for a service's engines."""
        served = self._queue_by_service.get(service)
        if served is None:
            return True
        self._tidy(served, now)
        return not len(served.queue)

    def wait(
        self, request: PlaceRequest, claim: Claim, places: int, now: float
    ) -> PlaceReply:
        """Return when a request that has no place yet should ask again, if at all.

        The answer says how many wait before it.

        Parameters
        ----------
        places
            Requests that the service's engines serve at once.
        """
        served = self._queue_of(request.service, places)
        run_id = request.run_id
        if run_id in served.queue:
            after = served.queue.reject_if_late(run_id, now)
        else:
            after = served.queue.put(self._ticket(request, claim, now), now)
        if after is not None:
            served.due_by_run.pop(run_id, None)
            self._refuse(claim, after, now)
            return PlaceReply("", retry_ms=max(after * 1000.0, 1.0))
        ahead = served.queue.position_of(run_id, now)
        expected = served.queue.expected_wait(run_id, now)
        again = min(max(expected * AGAIN_SHARE, LEAST_AGAIN), MOST_AGAIN)
        served.due_by_run[run_id] = now + again + GRACE_SECONDS
        self._tell_waiting()
        return PlaceReply("", wait_ms=again * 1000.0, ahead=ahead)

    def record_placement(self, request: PlaceRequest, claim: Claim, now: float) -> None:
        """Note that a request has got a place."""
        served = self._queue_by_service.get(request.service)
        if served is not None and request.run_id in served.queue:
            served.due_by_run.pop(request.run_id, None)
            served.queue.admit(request.run_id, now)
            self._tell_waiting()
            return
        # What has waited was counted when it came.
        self._count(request, claim, now)
        if served is not None:
            served.queue.record_unqueued(claim.rank, now)

    def record_freed(self, service: str, now: float) -> None:
        """Note that an engine's place has become free."""
        served = self._queue_by_service.get(service)
        if served is not None:
            served.queue.drain.record_freed(now)

    def drop(self, run_id: str) -> None:
        """Forget a request whose caller has left, or whose router asks elsewhere."""
        for served in self._queue_by_service.values():
            if run_id in served.queue:
                self._forget(served, run_id)

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return who waits, for the state dump."""
        rows = []
        for service, served in self._queue_by_service.items():
            tickets = served.queue.tickets
            accounts = Counter(ticket.account for ticket in tickets)
            ranks = Counter(str(ticket.rank) for ticket in tickets)
            oldest = min((t.arrived_at for t in tickets), default=now)
            rows.append(
                {
                    "service": service,
                    "waiting": len(tickets),
                    "oldest_s": round(now - oldest, 3),
                    "places_a_second": round(served.queue.drain.per_second(now), 2),
                    "by_rank": dict(ranks),
                    "by_account": dict(accounts.most_common(TOLD_ACCOUNTS)),
                }
            )
        return rows

    def _queue_of(self, service: str, places: int) -> _ServiceQueue:
        served = self._queue_by_service.get(service)
        if served is None:
            drain = DrainRate(max(places, 1) / USUAL_RUN_SECONDS)
            served = _ServiceQueue(FairTicketQueue(self.shares, drain))
            self._queue_by_service[service] = served
        return served

    def _ticket(self, request: PlaceRequest, claim: Claim, now: float) -> Ticket:
        is_timely_retry = self._count(request, claim, now)
        cost = cost_of(request)
        return claim.ticket(
            request.run_id, request.router, cost, now, is_timely_retry=is_timely_retry
        )

    def _count(self, request: PlaceRequest, claim: Claim, now: float) -> bool:
        """Count an attempt; return whether its caller comes back as told.

        One that does was counted when it was refused, and whoever comes back sooner
        pays for each attempt.
        """
        is_timely_retry = self._returns.consume(claim.account, claim.content, now)
        if claim.account and not is_timely_retry:
            self.shares.record_use(claim.account, cost_of(request), now)
        return is_timely_retry

    def _refuse(self, claim: Claim, after: float, now: float) -> None:
        self._returns.record_refusal(claim.account, claim.content, after, now)
        account = claim.account
        if account not in self._told_accounts:
            if len(self._told_accounts) >= TOLD_ACCOUNTS:
                account = "others"
            else:
                self._told_accounts.add(account)
        self._metrics.turns_refused.inc(account)
        self._tell_waiting()

    def _tidy(self, served: _ServiceQueue, now: float) -> None:
        """Forget tickets that nobody asks for any more."""
        if now - served.tidied_at < LEAST_AGAIN:
            return
        served.tidied_at = now
        for run_id, due in list(served.due_by_run.items()):
            if due < now or run_id not in served.queue:
                self._forget(served, run_id)

    def _forget(self, served: _ServiceQueue, run_id: str) -> None:
        served.due_by_run.pop(run_id, None)
        served.queue.drop(run_id)
        self._tell_waiting()

    def _tell_waiting(self) -> None:
        waiting = sum(len(served.queue) for served in self._queue_by_service.values())
        self._metrics.waiting.set(waiting)


def cost_of(request: PlaceRequest) -> float:
    """Return what a request takes of its engine, in tokens that it reads.

    Examples
    --------
    >>> cost_of(PlaceRequest("r", "pool", "a", (), 1000, 60, (), "x"))
    1600.0
    """
    answer = request.expected_output_tokens
    if answer is None:
        answer = request.output_tokens
    return request.prompt_tokens + ANSWER_TOKEN_WEIGHT * answer


def refused_claim(request: PlaceRequest, error: InvalidClaim) -> PlaceReply:
    """Log a claim that cannot be taken; its router has to place by itself."""
    log_event(
        "placement claim rejected",
        request_id=request.run_id,
        router=request.router,
        reason=str(error),
    )
    return PlaceReply("")
