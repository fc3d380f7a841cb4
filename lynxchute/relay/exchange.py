"""State of one request while it is being served."""

from __future__ import annotations

import asyncio

import attrs

from lynxchute.config import ClientAccount, Configuration, RequestKind, Route
from lynxchute.http import Responder
from lynxchute.overload.claim import Claim
from lynxchute.quarantine import PromptParts, content_id, prompt_scope
from lynxchute.relay.answer import BegunResend
from lynxchute.relay.call import Call
from lynxchute.relay.events import EventOrder
from lynxchute.relay.refusal import Reason, Refusal, RunStatus
from lynxchute.upstreams.aims import LatencyObjectives
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.placement import Choice
from lynxchute.upstreams.stream_origin import StreamOrigin

# Seconds before the caller's timeout at which a response must be sent to reach it.
DELIVERY_MARGIN = 0.02
# Share of the caller's remaining time to suggest as the retry delay. Callers retry
# after at most a third of that time; a tenth leaves time for the retried request
# itself.
RETRY_SHARE = 0.1
# Number of ranks for routes within each account rank. Upstreams support ten ranks in
# total.
ROUTE_RANKS = 3
# Rank of requests without an account, and of accounts without a configured rank.
DEFAULT_ACCOUNT_RANK = 1
# A caller abandons a stream that pauses for longer than the largest of two seconds,
# four times its latency objective and eight times its longest allowed pause. A run is
# started only if its first event is expected within nine tenths of that time.
MIN_CALLER_WAIT = 2.0
CALLER_WAIT_SHARE = 0.9
MIN_RETRY_AFTER = 0.05
# Prompt parts of a request that are logged.
MAX_LOGGED_PARTS = 8
MAX_RETRY_AFTER = 1.0
# Retry delays while tokens cannot be reserved. A store outage or network partition
# lasts three to nine seconds, and callers have few attempts. A retry after one second
# is already late and still meets the outage. In a minute with three such outages,
# callers that were refused again after a retry lost 134 and 122 (of a total value of
# about 1,500) with RETRY_SHARE and MAX_RETRY_AFTER, and 80 with these values.
BUDGET_RETRY_SHARE = 0.3
BUDGET_MAX_RETRY_AFTER = 4.0


@attrs.define(eq=False)
class Exchange:
    """An admitted request.

    Attributes
    ----------
    configuration
        Configuration version that the request was admitted under.
    account
        Client account that pays; None on public routes.
    service
        Service that the route's traffic split selected.
    configuration_age
        Seconds since the store last confirmed that version, at admission.
    deadline
        Time by which the final response is due, in seconds on the steady clock.
    sends
        Number of times the request was sent to an upstream.
    run_status
        Whether the request ran, as far as is known; logged as ``run``.
    sent_at
        Time at which the first byte of the latest send left the VM, in seconds.
    possible_runs
        Number of sends that may have run: all but those that an upstream reported as
        not run.
    has_retry_permit
        Whether another send is already counted in the retry budget.
    retry_permitted_at
        When the latest retry was permitted, in seconds; None if none was.
    tried
        Ids of upstreams that are not tried again for this request.
    passed_over
        Ids of further upstreams that are not considered for the planned resend.
    limited_rate
        Sum of the rate limits of upstreams that could not accept the request, in
        requests per second; None if none is rate-limited.
    events, last_event
        Number of delivered events, and the id of the last one.
    origin
        Where the stream began; None before its first event, or if not known.
    bound_version
        The only version at which the stream may begin; None for any.
    has_precedence
        Whether it continues a stream that is known to have begun.
    order
        Checks that events arrive in order.
    reported_tokens
        Token usage reported by the upstream; None until it is reported.
    last_event_at, longest_pause
        Time of the last event and longest time between two events, in seconds.
    refusal
        Why the request was refused or its response broken off; None if neither.
    planned
        Where it goes on if its running send is given up; None if that is not known.
    begun
        The send that takes the place of the running one; None if there is none.
    planning
        Done once it is known whether it can go on elsewhere; None unless that is
        being found out.
    planning_refusal
        Why it could not go on elsewhere when that was last tried.
    has_ended
        Whether it has its final answer.
    """

    call: Call
    configuration: Configuration
    route: Route
    account: ClientAccount | None
    service: str
    configuration_age: float
    respond: Responder
    deadline: float
    sends: int = 0
    sent_at: float = 0.0
    possible_runs: int = 0
    has_retry_permit: bool = False
    retry_permitted_at: float | None = None
    run_status: RunStatus = RunStatus.NOT_RUN
    tried: set[str] = attrs.Factory(set)
    passed_over: set[str] = attrs.Factory(set)
    limited_rate: float | None = None
    upstreams: list[str] = attrs.Factory(list)
    events: int = 0
    last_event: str = ""
    origin: StreamOrigin | None = None
    bound_version: str | None = None
    has_precedence: bool = False
    order: EventOrder = attrs.Factory(EventOrder)
    first_byte_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    reported_tokens: int | None = None
    refusal: Refusal | None = None
    planned: Choice | None = None
    begun: BegunResend | None = None
    planning: asyncio.Future[None] | None = None
    planning_refusal: Reason | None = None
    has_ended: bool = False
    _empty_answers: int = 0
    _content_id: str = ""

    @property
    def is_continued(self) -> bool:
        """Return whether the next send continues a stream after an event."""
        if self.route.kind is not RequestKind.STREAM:
            return False
        return bool(self.last_event or self.call.last_event_id)

    @property
    def software_version(self) -> str | None:
        """Return the software version that has to run the request; None for any."""
        if self.origin is not None:
            return self.origin.software_version
        return self.bound_version

    @property
    def may_begin_stream(self) -> bool:
        """Return whether the next send may bring the first event of a stream.

        Only streams that may be resumed count.
        """
        if self.route.kind is not RequestKind.STREAM or not self.route.is_repeatable:
            return False
        return self.origin is None and not self.is_continued

    def constrained(self, generation: Generation) -> Generation:
        """Return a generation that only the stream's software version may run."""
        if self.software_version is None:
            return generation
        return attrs.evolve(generation, software_version=self.software_version)

    @property
    def content_id(self) -> str:
        """Return a hash of the request content, which is the same for each attempt."""
        if not self._content_id:
            self._content_id = content_id(
                account=self.account.name if self.account is not None else "",
                method=self.call.request.method,
                host=self.call.host,
                target=self.call.request.target,
                body=self.call.request.body,
            )
        return self._content_id

    def prompt(self, software_version: str | None = None) -> PromptParts | None:
        """Return the shared parts of the prompt, for a run at a software version."""
        generation = self.call.generation
        if generation is None:
            return None
        return PromptParts(
            prompt_scope(self.service, generation.model),
            software_version or "",
            self.account.name if self.account is not None else "",
            generation.shared_part_ids,
        )

    @property
    def logged_parts(self) -> list[str]:
        """Return the ids of the first shared prompt parts, for the log."""
        generation = self.call.generation
        if generation is None:
            return []
        return list(generation.shared_part_ids[:MAX_LOGGED_PARTS])

    @property
    def received_at(self) -> float:
        """Return the time at which the request began to arrive, in seconds."""
        return self.call.request.received_at

    @property
    def max_total_tokens(self) -> int:
        """Return the largest number of budget tokens that the request can use."""
        if self.call.generation is not None:
            return self.call.generation.max_total_tokens
        return self.route.cost

    @property
    def may_migrate(self) -> bool:
        """Return whether a run may be aborted and resumed at another upstream."""
        return self.route.is_repeatable and self.sends < self.route.max_attempts

    @property
    def max_wait(self) -> float:
        """Return the longest useful wait for the first event in seconds."""
        route = self.route
        wait = max(MIN_CALLER_WAIT, 4 * route.latency_objective, 8 * route.max_pause)
        return wait * CALLER_WAIT_SHARE

    def aims(self, now: float) -> LatencyObjectives:
        """Return the latency targets that a response has to meet to be on time."""
        route = self.route
        if self.events:
            # The stream has begun, so only the time until its next event matters.
            return LatencyObjectives(route.max_pause * 1000.0, route.max_pause * 1000.0)
        left = self.received_at + route.latency_objective - now
        return LatencyObjectives(left * 1000.0, route.max_pause * 1000.0)

    def claim(self, now: float) -> Claim:
        """Return the admission claim: who asks for a slot and how long it can wait."""
        start_by = self.deadline
        if not self.events:
            start_by = min(start_by, self.received_at + self.max_wait)
        return Claim.of(
            account=self.account.name if self.account is not None else "",
            rank=self.priority,
            content=self.content_id,
            waited=now - self.received_at,
            left=start_by - now,
            due_in=self.aims(now).first_event_ms / 1000.0,
        )

    @property
    def has_paused(self) -> bool:
        """Return whether a pause between events exceeded the route's limit."""
        return self.longest_pause > self.route.max_pause

    @property
    def run_id(self) -> str:
        """Return the identifier of the current or next run of the request."""
        return f"{self.call.request_id}.{len(self.excluded)}"

    @property
    def excluded(self) -> set[str]:
        """Return the ids of upstreams that are not considered for the next send."""
        return self.tried | self.passed_over

    @property
    def is_resumable(self) -> bool:
        """Return whether what the caller has got so far can be continued elsewhere."""
        return not self.respond.started or self.is_continued

    @property
    def has_valid_resend(self) -> bool:
        """Return whether a send has begun that goes on after the last event."""
        return self.begun is not None and self.begun.after_event == self.last_event

    @property
    def priority(self) -> int:
        """Return the request's rank; 0 is served first.

        The account's rank takes precedence over the route's, which orders requests of
        accounts with the same rank. A stream that has begun ranks before all new
        requests.
        """
        if self.events or self.has_precedence:
            return 0
        account_rank = DEFAULT_ACCOUNT_RANK
        if self.account is not None and self.account.priority is not None:
            account_rank = self.account.priority
        route_rank = min(self.route.priority, ROUTE_RANKS - 1)
        return account_rank * ROUTE_RANKS + route_rank

    @property
    def may_retry(self) -> bool:
        """Return whether the route and the state of the request allow another send."""
        if self.sends >= self.route.max_attempts:
            return False
        return self.run_status is RunStatus.NOT_RUN or self.route.is_repeatable

    def record_send(self, upstream_id: str, now: float) -> None:
        """Record a send whose first byte is about to leave."""
        self.sent_at = now
        self.has_retry_permit = False
        self.sends += 1
        self.possible_runs += 1
        self.run_status = RunStatus.UNKNOWN
        self.upstreams.append(upstream_id)

    def record_declined(self, run_before: RunStatus) -> None:
        """Record that an upstream reported a send as not run.

        Another send of the request may still be open, or may have been lost; its
        outcome stays unknown.
        """
        self.possible_runs -= 1
        if not self.possible_runs:
            self.run_status = RunStatus.NOT_RUN
        elif (
            self.run_status is RunStatus.UNKNOWN and run_before is not RunStatus.NOT_RUN
        ):
            self.run_status = run_before

    def record_events(self, count: int, last_event: str, now: float) -> None:
        """Record events that are forwarded to the caller."""
        if self.events:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self.events += count
        self.last_event = last_event
        self.last_event_at = now

    def record_empty_answer(self) -> int:
        """Count an answer without any event to a stream that goes on after one."""
        if self.is_continued:
            self._empty_answers += 1
        return self._empty_answers

    def retry_after(self, now: float, reason: Reason) -> float:
        """Return the seconds after which the caller should retry."""
        share, cap = RETRY_SHARE, MAX_RETRY_AFTER
        if reason is Reason.BUDGET_UNREACHABLE:
            share, cap = BUDGET_RETRY_SHARE, BUDGET_MAX_RETRY_AFTER
        caller_timeout = self.call.caller_timeout or self.route.timeout
        left = self.received_at + caller_timeout - now
        return min(max(left * share, MIN_RETRY_AFTER), cap)

    def refuse(
        self,
        reason: Reason,
        title: str,
        now: float,
        *,
        retry_after: float | None = None,
    ) -> Refusal:
        """Return the final response for a request that no upstream answered.

        A request that may have run is never reported as not run.

        Parameters
        ----------
        retry_after
            Seconds after which to retry; None for a share of the caller's remaining
            time.
        """
        cause = reason
        if self.run_status is RunStatus.NOT_RUN:
            if reason in (Reason.BROKEN, Reason.TIMEOUT):
                reason = Reason.NO_UPSTREAM
            if retry_after is None:
                retry_after = self.retry_after(now, reason)
            return Refusal(reason, title, retry_after=retry_after, cause=cause)
        if reason is not Reason.TIMEOUT:
            reason = Reason.BROKEN
        return Refusal(reason, title, run=RunStatus.UNKNOWN, cause=cause)


def deadline_for(call: Call, route: Route) -> float:
    """Return the time by which a call must have its final response, in seconds."""
    limit = route.timeout
    if call.caller_timeout is not None:
        limit = min(limit, max(call.caller_timeout - DELIVERY_MARGIN, 0.0))
    return call.request.received_at + limit
