"""Requests of some accounts that wait in a queue, leave it, are served or refused.

A plain model beside the queue knows who waits and what accounts have used.
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
SECONDS = (0.0, 0.01, 0.06, 0.3, 1.0, 5.0, 20.0)


class TicketsMachine(RuleBasedStateMachine):
    """Check the queue, the shares and the returns against a plain model."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.shares = EqualDivision(
            lambda account: WEIGHTS.get(account, 1.0), max_accounts=MAX_ACCOUNTS
        )
        drain = DrainRate(PLACES_A_SECOND)
        self.queue = FairTicketQueue(self.shares, drain, max_tickets=MAX_TICKETS)
        self.returns = ExpectedRetries(max_entries=8)
        self.waiting = {}
        self.gone = set()
        self.count = 0
        self.uses = []
        self.told = {}

    @rule(seconds=st.sampled_from(SECONDS))
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
        """Let a request come."""
        self.count += 1
        is_timely_retry = self.returns.consume(account, "content", self.now)
        retry_at = self.told.pop(account, None)
        if retry_at is None:
            assert not is_timely_retry, "a return that was not told"
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
            self.waiting[ticket.run_id] = ticket
            self.waiting = {r: t for r, t in self.waiting.items() if r in self.queue}
            return
        assert 0.0 <= after <= patience, "told to come back when it is too late"
        self.returns.record_refusal(account, "content", after, self.now)
        self.told[account] = self.now + after

    @rule(data=st.data())
    def leave(self, data):
        """Let a caller leave."""
        if self.waiting:
            run_id = data.draw(st.sampled_from(sorted(self.waiting)))
            del self.waiting[run_id]
            self.gone.add(run_id)
            self.queue.drop(run_id)

    @rule()
    def come_and_leave(self):
        """Let callers come and leave before it is anybody's turn."""
        for _ in range(3):
            self.put("a", 3, 60.0, math.inf, 0.0)
            run_id = f"r{self.count}"
            if run_id in self.waiting:
                del self.waiting[run_id]
                self.gone.add(run_id)
                self.queue.drop(run_id)

    @rule(rank=st.integers(3, 5))
    def come_long_after_one_that_is_late(self, rank):
        """Let a caller who can be in time come long after one who cannot."""
        self.put("a", rank, 60.0, 0.0, 0.0)
        self.advance(5.0)
        self.put("b", rank, 60.0, math.inf, 0.0)
        self.advance(0.06)
        self.consume(1)

    @rule(count=st.integers(1, 3))
    def consume(self, count):
        """Let places become free."""
        for _ in range(count):
            self.queue.drain.record_freed(self.now)
            ticket = self.queue.consume(self.now)
            if ticket is None:
                return
            assert ticket.run_id not in self.gone, "a ticket whose caller has left"
            self.gone.add(ticket.run_id)
            self.check_nobody_was_passed(ticket)
            self.waiting.pop(ticket.run_id, None)

    def check_nobody_was_passed(self, taken):
        """Check that no ticket like the taken one came long before it."""
        if taken.is_timely_retry or self.excess(taken) > 0.9 * SHARE_TOLERANCE:
            return
        for ticket in self.waiting.values():
            if ticket.run_id not in self.queue or ticket.rank != taken.rank:
                continue
            if ticket.is_timely_retry or self.excess(ticket) > 0.9 * SHARE_TOLERANCE:
                continue
            margin = LATE_PENALTY_SECONDS + REORDER_SECONDS
            waited_longer = taken.arrived_at - ticket.arrived_at
            assert waited_longer <= margin, "an old ticket was passed"

    def excess(self, ticket):
        return self.shares.excess(ticket.account, self.now)

    @rule(data=st.data())
    def ask_again(self, data):
        """Let a waiting request ask whether it is still of use to wait."""
        known = sorted(r for r in self.waiting if r in self.queue)
        if known:
            run_id = data.draw(st.sampled_from(known))
            after = self.queue.reject_if_late(run_id, self.now)
            if after is not None:
                assert run_id not in self.queue
                self.gone.add(run_id)
                del self.waiting[run_id]

    @invariant()
    def no_more_than_the_queue_holds(self):
        assert len(self.queue) <= MAX_TICKETS, "too many tickets"
        assert len(self.shares) <= MAX_ACCOUNTS, "too many accounts"
        assert len(self.returns) <= 8, "too many returns"

    @invariant()
    def who_has_left_does_not_wait(self):
        for ticket in self.queue.tickets:
            assert ticket.run_id not in self.gone, "a ticket whose caller has left"

    @invariant()
    def shares_add_up(self):
        """Check that what all use of late is divided among those who use it."""
        excesses = {a: self.shares.excess(a, self.now) for a in ACCOUNTS}
        known = {a: e for a, e in excesses.items() if e > 0.0}
        if not known:
            return
        whole = sum(WEIGHTS.get(a, 1.0) for a in known)
        divided = sum(e * WEIGHTS.get(a, 1.0) for a, e in known.items())
        assert math.isclose(whole, divided, rel_tol=1e-3), "a share was not returned"

    @invariant()
    def nobody_pays_for_what_is_long_ago(self):
        recent = self.now - RETAINED_TIME_CONSTANTS * DECAY_SECONDS
        for account in ACCOUNTS:
            if not any(a == account and at > recent for a, _, at in self.uses):
                assert not self.shares.excess(account, self.now), "room not given back"
