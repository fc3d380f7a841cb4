"""Faulty variants of the fair shares and the ticket queue, which tests must detect."""

from unittest import mock

from lynxchute.overload import returns, ticket_queue
from lynxchute.overload.fair_shares import DecayingUsage
from lynxchute.overload.returns import ExpectedRetries
from lynxchute.overload.ticket_queue import FairTicketQueue


def keep_the_use_of_evicted_accounts():
    def evict_oldest(self, now):
        _, usage = self._usage_by_account.popitem(last=False)
        self._total_weight -= usage.weight

    return mock.patch.object(DecayingUsage, "_evict_oldest", evict_oldest)


def keep_the_weight_of_evicted_accounts():
    def evict_oldest(self, now):
        _, usage = self._usage_by_account.popitem(last=False)
        self._total = self._decayed_total(now) - usage.decayed_amount(now)
        self._total_updated_at = now

    return mock.patch.object(DecayingUsage, "_evict_oldest", evict_oldest)


def never_expire_idle_accounts():
    return mock.patch.object(DecayingUsage, "_expire_idle", lambda self, now: None)


def ignore_the_account_limit():
    init = DecayingUsage.__init__

    def without_limit(self, weight_of, *, max_accounts):
        init(self, weight_of, max_accounts=10**9)

    return mock.patch.object(DecayingUsage, "__init__", without_limit)


def never_drop_tickets():
    return mock.patch.object(FairTicketQueue, "drop", lambda self, run_id: None)


def serve_newest_first():
    key = FairTicketQueue._key

    def negated_time(self, ticket, number, now):
        rank, excess_band, is_new, at, number = key(self, ticket, number, now)
        return (rank, excess_band, is_new, -at, number)

    return mock.patch.object(FairTicketQueue, "_key", negated_time)


def defer_late_tickets_for_ever():
    return mock.patch.object(ticket_queue, "LATE_PENALTY_SECONDS", 1e6)


def never_expire_retries():
    return mock.patch.object(returns, "LATE_TOLERANCE_SECONDS", 1e6)


def recognise_retries_repeatedly():
    def consume(self, account, content, now):
        expected = self._retry_by_caller.get((account, content))
        return (
            expected is not None
            and now >= expected.retry_at - returns.EARLY_TOLERANCE_SECONDS
        )

    return mock.patch.object(ExpectedRetries, "consume", consume)


MUTANTS = (
    keep_the_use_of_evicted_accounts,
    keep_the_weight_of_evicted_accounts,
    never_expire_idle_accounts,
    ignore_the_account_limit,
    never_drop_tickets,
    serve_newest_first,
    defer_late_tickets_for_ever,
    never_expire_retries,
    recognise_retries_repeatedly,
)
