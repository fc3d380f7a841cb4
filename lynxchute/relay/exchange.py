"""The state of one request while it is served."""

from __future__ import annotations

import attrs

from lynxchute.config import ClientAccount, Configuration, Route
from lynxchute.http import Responder
from lynxchute.overload.claim import Claim
from lynxchute.quarantine import content_id
from lynxchute.relay.call import Call
from lynxchute.relay.events import EventOrder
from lynxchute.relay.refusal import Reason, Refusal, RunStatus
from lynxchute.upstreams.aims import Aims

# An answer sent this many seconds before the caller gives up still reaches it.
DELIVERY_MARGIN = 0.02
# Callers come back after at most a third of the time that they have left; a
# tenth leaves them time for the request itself.
RETRY_SHARE = 0.1
# Ranks of routes that are told apart within a rank of accounts: upstreams know
# ten ranks in all.
ROUTE_RANKS = 3
# The rank of requests without an account, or whose account has none.
DEFAULT_ACCOUNT_RANK = 1
# Callers leave a stream that pauses for two seconds, four times its latency
# objective or eight times the longest pause, whichever is longest; nothing is
# begun that would come in the last tenth of that.
LEAST_WAIT = 2.0
WAIT_SHARE = 0.9
MIN_RETRY_AFTER = 0.05
MAX_RETRY_AFTER = 1.0
# The same where tokens are out of reach: an outage of the store or a cut lasts three to
# nine seconds, and a caller has few tries. Whoever comes back after a second is late by
# then as well, and finds the outage as it was. What callers lost who came back and were
# refused again, in a minute with three such outages: 134 and 122 of some 1,500 that
# their answers are worth, 80 with this.
BUDGET_RETRY_SHARE = 0.3
BUDGET_MAX_RETRY_AFTER = 4.0


@attrs.define(eq=False)
class Exchange:
    """A request that has been admitted.

    Attributes
    ----------
    configuration
        The version that it was admitted under.
    account
        Who pays; None on public routes.
    service
        The service that the route's split gave it to.
    configuration_age
        Seconds since the store had last confirmed that version.
    ends_at
        When it gets its final answer, on the loop's clock in seconds.
    sends
        How often it was sent to an upstream.
    run
        Whether it has run, as far as is known.
    sent_at
        When the first byte of the last of them left the VM, in seconds.
    may_have_run
        Sends of which no upstream has said that they were not run.
    tried
        The upstreams that are not tried again for it.
    limited_rate
        What upstreams that did not take it name, in requests a second together; None
        where none is throttled.
    events, last_event
        Events delivered, and the id of the last of them.
    order
        Sees that they follow on one another.
    told_tokens
        What the upstream says that the answer used; None before it does.
    last_event_at, longest_pause
        When the last of them came, and the longest time between two, in
        seconds.
    """

    call: Call
    configuration: Configuration
    route: Route
    account: ClientAccount | None
    service: str
    configuration_age: float
    respond: Responder
    ends_at: float
    sends: int = 0
    sent_at: float = 0.0
    may_have_run: int = 0
    run: RunStatus = RunStatus.NOT_RUN
    tried: set[str] = attrs.Factory(set)
    limited_rate: float | None = None
    upstreams: list[str] = attrs.Factory(list)
    events: int = 0
    last_event: str = ""
    order: EventOrder = attrs.Factory(EventOrder)
    first_byte_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    told_tokens: int | None = None
    _content_id: str = ""

    @property
    def content_id(self) -> str:
        """Return what names the content of the request, the same for each attempt."""
        if not self._content_id:
            self._content_id = content_id(
                account=self.account.name if self.account is not None else "",
                method=self.call.request.method,
                host=self.call.host,
                target=self.call.request.target,
                body=self.call.request.body,
            )
        return self._content_id

    @property
    def received_at(self) -> float:
        """Return when the request began to arrive, in seconds."""
        return self.call.request.received_at

    @property
    def most_tokens(self) -> int:
        """Return the tokens of the budget that the request can use at most."""
        if self.call.generation is not None:
            return self.call.generation.most_tokens
        return self.route.cost

    @property
    def may_move(self) -> bool:
        """Return whether a run may be broken off to go on at another upstream."""
        return self.route.is_repeatable and self.sends < self.route.max_attempts

    @property
    def longest_wait(self) -> float:
        """Return the seconds that a caller waits for the first event of a stream."""
        route = self.route
        wait = max(LEAST_WAIT, 4 * route.latency_objective, 8 * route.max_pause)
        return wait * WAIT_SHARE

    def aims(self, now: float) -> Aims:
        """Return what an answer must keep to for its caller to have it on time."""
        route = self.route
        if self.events:
            # It has begun; what counts is that it goes on soon.
            return Aims(route.max_pause * 1000.0, route.max_pause * 1000.0)
        left = self.received_at + route.latency_objective - now
        return Aims(left * 1000.0, route.max_pause * 1000.0)

    def claim(self, now: float) -> Claim:
        """Return who asks for a place, and for how long it can wait for one."""
        begin_by = self.ends_at
        if not self.events:
            begin_by = min(begin_by, self.received_at + self.longest_wait)
        return Claim.of(
            account=self.account.name if self.account is not None else "",
            rank=self.priority,
            content=self.content_id,
            waited=now - self.received_at,
            left=begin_by - now,
            due_in=self.aims(now).first_event_ms / 1000.0,
        )

    @property
    def has_paused(self) -> bool:
        """Return whether a pause was longer than is on time."""
        return self.longest_pause > self.route.max_pause

    @property
    def run_id(self) -> str:
        """Return what names the next or present run of the request."""
        return f"{self.call.request_id}.{len(self.tried)}"

    @property
    def priority(self) -> int:
        """Return the request's rank; 0 comes first.

        The account's rank goes before the route's, which decides among the
        requests of accounts of one rank. What a caller has begun to read
        comes before all that is new.
        """
        if self.events:
            return 0
        account_rank = DEFAULT_ACCOUNT_RANK
        if self.account is not None and self.account.priority is not None:
            account_rank = self.account.priority
        route_rank = min(self.route.priority, ROUTE_RANKS - 1)
        return account_rank * ROUTE_RANKS + route_rank

    @property
    def may_be_sent_again(self) -> bool:
        """Return whether what the request is allows one more send."""
        if self.sends >= self.route.max_attempts:
            return False
        return self.run is RunStatus.NOT_RUN or self.route.is_repeatable

    def note_sent(self, upstream_id: str, now: float) -> None:
        """Count a send whose first byte is about to leave."""
        self.sent_at = now
        self.sends += 1
        self.may_have_run += 1
        self.run = RunStatus.UNKNOWN
        self.upstreams.append(upstream_id)

    def note_declined(self, run_before: RunStatus) -> None:
        """Take an upstream's word that it did not run what it was sent.

        Another send of it may still be open, or have been lost: what that one did
        stays unknown.
        """
        self.may_have_run -= 1
        if not self.may_have_run:
            self.run = RunStatus.NOT_RUN
        elif self.run is RunStatus.UNKNOWN and run_before is not RunStatus.NOT_RUN:
            self.run = run_before

    def note_events(self, count: int, last_event: str, now: float) -> None:
        """Count events that go to the caller."""
        if self.events:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self.events += count
        self.last_event = last_event
        self.last_event_at = now

    def retry_after(self, now: float, reason: Reason) -> float:
        """Return the seconds after which the caller should come back."""
        share, most = RETRY_SHARE, MAX_RETRY_AFTER
        if reason is Reason.BUDGET_UNREACHABLE:
            share, most = BUDGET_RETRY_SHARE, BUDGET_MAX_RETRY_AFTER
        caller_timeout = self.call.caller_timeout or self.route.timeout
        left = self.received_at + caller_timeout - now
        return min(max(left * share, MIN_RETRY_AFTER), most)

    def refuse(
        self,
        reason: Reason,
        title: str,
        now: float,
        *,
        retry_after: float | None = None,
    ) -> Refusal:
        """Return the final answer where no upstream gives one.

        A request that may have run is never said to be not run.

        Parameters
        ----------
        retry_after
            Seconds after which to come back; None for a share of the caller's time.
        """
        if self.run is RunStatus.NOT_RUN:
            if reason in (Reason.BROKEN, Reason.TIMEOUT):
                reason = Reason.NO_UPSTREAM
            if retry_after is None:
                retry_after = self.retry_after(now, reason)
            return Refusal(reason, title, retry_after=retry_after)
        if reason is not Reason.TIMEOUT:
            reason = Reason.BROKEN
        return Refusal(reason, title, run=RunStatus.UNKNOWN)


def end_of(call: Call, route: Route) -> float:
    """Return when a call must have its final answer, in seconds."""
    limit = route.timeout
    if call.caller_timeout is not None:
        limit = min(limit, max(call.caller_timeout - DELIVERY_MARGIN, 0.0))
    return call.request.received_at + limit
