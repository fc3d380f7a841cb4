"""Stateful fuzzing of the ticket queue: requests arrive, disconnect and are served.

A simple model beside the queue tracks which requests wait and what accounts have used.
"""

import math

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lynxchute.overload.drain import DrainRate
from lynxchute.overload.fair_shares import (
    DECAY_SECONDS,
    RETAINED_TIME_CONSTANTS,
    EqualDivision,
)
from lynxchute.overload.returns import (
    EARLY_TOLERANCE_SECONDS,
    LATE_TOLERANCE_SECONDS,
    ExpectedRetries,
)
from lynxchute.overload.ticket import Ticket
from lynxchute.overload.ticket_queue import (
    LATE_PENALTY_SECONDS,
    REORDER_SECONDS,
    SHARE_TOLERANCE,
    FairTicketQueue,
)

ACCOUNTS = ("a", "b", "c", "d", "e", "f")
WEIGHTS = {"b": 2.0}
MAX_ACCOUNTS = 4
MAX_TICKETS = 12
PLACES_A_SECOND = 10.0
STEP_SECONDS = (0.0, 0.01, 0.06, 0.3, 1.0, 5.0, 20.0)


class TicketsMachine(RuleBasedStateMachine):
    """Check the queue, the shares and the expected retries against a simple model."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.shares = EqualDivision(
            lambda account: WEIGHTS.get(account, 1.0), max_accounts=MAX_ACCOUNTS
        )
        drain = DrainRate(PLACES_A_SECOND)
        self.queue = FairTicketQueue(self.shares, drain, max_tickets=MAX_TICKETS)
        self.expected_retries = ExpectedRetries(max_entries=8)
        self.waiting_by_run = {}
        self.removed = set()
        self.count = 0
        self.uses = []
        self.retry_at_by_account = {}

    @rule(seconds=st.sampled_from(STEP_SECONDS))
    def advance(self, seconds):
        self.now += seconds

    @rule(
        account=st.sampled_from(ACCOUNTS),
        rank=st.integers(3, 5),
        patience=st.sampled_from((0.05, 0.5, 3.0, 60.0)),
        due=st.sampled_from((0.0, 0.3, math.inf)),
        cost=st.sampled_from((0.0, 1.0, 30.0, -1.0, math.nan)),
    )
    def put(self, account, rank, patience, due, cost):
        """Add a request to the queue."""
        self.count += 1
        is_timely_retry = self.expected_retries.consume(account, "content", self.now)
        retry_at = self.retry_at_by_account.pop(account, None)
        if retry_at is None:
            assert not is_timely_retry, "a retry was recognised without a refusal"
        else:
            early = retry_at - EARLY_TOLERANCE_SECONDS - self.now
            assert is_timely_retry == (
                early <= 0 and self.now <= retry_at + LATE_TOLERANCE_SECONDS
            )
        self.shares.record_use(account, cost, self.now)
        if cost > 0.0:
            self.uses.append((account, cost, self.now))
        ticket = Ticket(
            run_id=f"r{self.count}",
            router="r",
            account=account,
            rank=rank,
            cost=1.0,
            arrived_at=self.now,
            expires_at=self.now + patience,
            is_timely_retry=is_timely_retry,
            due_at=self.now + due,
        )
        after = self.queue.put(ticket, self.now)
        if after is None:
            self.waiting_by_run[ticket.run_id] = ticket
            self.waiting_by_run = {
                r: t for r, t in self.waiting_by_run.items() if r in self.queue
            }
            return
        assert 0.0 <= after <= patience, "a retry delay beyond the caller's patience"
        self.expected_retries.record_refusal(account, "content", after, self.now)
        self.retry_at_by_account[account] = self.now + after

    @rule(data=st.data())
    def disconnect(self, data):
        """Drop the ticket of a waiting caller."""
        if self.waiting_by_run:
            run_id = data.draw(st.sampled_from(sorted(self.waiting_by_run)))
            del self.waiting_by_run[run_id]
            self.removed.add(run_id)
            self.queue.drop(run_id)

    @rule()
    def arrive_and_disconnect(self):
        """Add callers that disconnect before they are served."""
        for _ in range(3):
            self.put("a", 3, 60.0, math.inf, 0.0)
            run_id = f"r{self.count}"
            if run_id in self.waiting_by_run:
                del self.waiting_by_run[run_id]
                self.removed.add(run_id)
                self.queue.drop(run_id)

    @rule(rank=st.integers(3, 5))
    def arrive_long_after_a_late_one(self, rank):
        """Add a caller that can be in time long after one that cannot."""
        self.put("a", rank, 60.0, 0.0, 0.0)
        self.advance(5.0)
        self.put("b", rank, 60.0, math.inf, 0.0)
        self.advance(0.06)
        self.admit_next(1)

    @rule(count=st.integers(1, 3))
    def admit_next(self, count):
        """Free places and admit the next tickets."""
        for _ in range(count):
            self.queue.drain.record_slot_freed(self.now)
            ticket = self.queue.consume(self.now)
            if ticket is None:
                return
            assert ticket.run_id not in self.removed, "a removed ticket was returned"
            self.removed.add(ticket.run_id)
            self.check_order(ticket)
            self.waiting_by_run.pop(ticket.run_id, None)

    def check_order(self, admitted):
        """Check that no comparable ticket had arrived long before the admitted one."""
        if admitted.is_timely_retry or self.use_ratio(admitted) > 0.9 * SHARE_TOLERANCE:
            return
        for ticket in self.waiting_by_run.values():
            if ticket.run_id not in self.queue or ticket.rank != admitted.rank:
                continue
            if ticket.is_timely_retry or self.use_ratio(ticket) > 0.9 * SHARE_TOLERANCE:
                continue
            margin = LATE_PENALTY_SECONDS + REORDER_SECONDS
            waited_before = admitted.arrived_at - ticket.arrived_at
            assert waited_before <= margin, "an older ticket was overtaken"

    def use_ratio(self, ticket):
        return self.shares.use_ratio(ticket.account, self.now)

    @rule(data=st.data())
    def poll_waiting(self, data):
        """Check whether a waiting request may still be in time."""
        known = sorted(r for r in self.waiting_by_run if r in self.queue)
        if known:
            run_id = data.draw(st.sampled_from(known))
            after = self.queue.reject_if_late(run_id, self.now)
            if after is not None:
                assert run_id not in self.queue
                self.removed.add(run_id)
                del self.waiting_by_run[run_id]

    @invariant()
    def state_is_bounded(self):
        assert len(self.queue) <= MAX_TICKETS, "too many tickets"
        assert len(self.shares) <= MAX_ACCOUNTS, "too many accounts"
        assert len(self.expected_retries) <= 8, "too many expected retries"

    @invariant()
    def removed_tickets_do_not_wait(self):
        for ticket in self.queue.tickets:
            assert ticket.run_id not in self.removed, "a removed ticket still waits"

    @invariant()
    def shares_add_up(self):
        """Check that the shares of all active accounts add up to the whole."""
        excesses = {a: self.shares.use_ratio(a, self.now) for a in ACCOUNTS}
        known = {a: e for a, e in excesses.items() if e > 0.0}
        if not known:
            return
        whole = sum(WEIGHTS.get(a, 1.0) for a in known)
        divided = sum(e * WEIGHTS.get(a, 1.0) for a, e in known.items())
        assert math.isclose(whole, divided, rel_tol=1e-3), "shares do not add up"

    @invariant()
    def expired_use_does_not_count(self):
        recent = self.now - RETAINED_TIME_CONSTANTS * DECAY_SECONDS
        for account in ACCOUNTS:
            if not any(a == account and at > recent for a, _, at in self.uses):
                assert not self.shares.use_ratio(account, self.now), (
                    "use did not expire"
                )
