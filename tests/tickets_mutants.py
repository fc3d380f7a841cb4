"""Break the decisions on shares and waiting requests one by one."""

from unittest import mock

from lynxchute.overload import returns, ticket_queue
from lynxchute.overload.fair_shares import DecayingUsage
from lynxchute.overload.returns import ExpectedRetries
from lynxchute.overload.ticket_queue import FairTicketQueue


def keep_the_share_of_who_has_gone():
    def evict_oldest(self, now):
        _, use = self._usage_by_account.popitem(last=False)
        self._total_weight -= use.weight

    return mock.patch.object(DecayingUsage, "_evict_oldest", evict_oldest)


def keep_the_weight_of_who_has_gone():
    def evict_oldest(self, now):
        _, use = self._usage_by_account.popitem(last=False)
        self._total = self._decayed_total(now) - use.decayed_amount(now)
        self._total_updated_at = now

    return mock.patch.object(DecayingUsage, "_evict_oldest", evict_oldest)


def give_lent_room_back_to_nobody():
    return mock.patch.object(DecayingUsage, "_expire_idle", lambda self, now: None)


def keep_any_number_of_accounts():
    init = DecayingUsage.__init__

    def without_bound(self, weight_of, *, max_accounts):
        init(self, weight_of, max_accounts=10**9)

    return mock.patch.object(DecayingUsage, "__init__", without_bound)


def keep_the_ticket_of_who_has_left():
    return mock.patch.object(FairTicketQueue, "drop", lambda self, run_id: None)


def serve_the_newest_first():
    key = FairTicketQueue._key

    def newest(self, ticket, number, now):
        rank, band, is_new, at, number = key(self, ticket, number, now)
        return (rank, band, is_new, -at, number)

    return mock.patch.object(FairTicketQueue, "_key", newest)


def let_all_pass_who_is_late():
    return mock.patch.object(ticket_queue, "LATE_PENALTY_SECONDS", 1e6)


def know_a_return_for_ever():
    return mock.patch.object(returns, "LATE_TOLERANCE_SECONDS", 1e6)


def know_a_return_again_and_again():
    def consume(self, account, content, now):
        told = self._retry_by_caller.get((account, content))
        return (
            told is not None and now >= told.retry_at - returns.EARLY_TOLERANCE_SECONDS
        )

    return mock.patch.object(ExpectedRetries, "consume", consume)


MUTANTS = (
    keep_the_share_of_who_has_gone,
    keep_the_weight_of_who_has_gone,
    give_lent_room_back_to_nobody,
    keep_any_number_of_accounts,
    keep_the_ticket_of_who_has_left,
    serve_the_newest_first,
    let_all_pass_who_is_late,
    know_a_return_for_ever,
    know_a_return_again_and_again,
)
