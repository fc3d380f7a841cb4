"""Break the decisions on throttled upstreams one by one."""

from unittest import mock

from lynxchute.upstreams import rate_limits, rate_sharing
from lynxchute.upstreams.backpressure import Backpressure
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.rate_sharing import MostlyCentral, TurnPosition, own_turn


def keep_the_share_however_many_there_are():
    def whole(rate, position, offset, clock_ms):
        return own_turn(rate, TurnPosition(0, 1), offset, clock_ms)

    return mock.patch.object(rate_limits, "own_turn", whole)


def begin_the_window_anew_with_each_process():
    usage = RateLimits._usage

    def fresh(self, entry, now):
        found = usage(self, entry, now)
        found.known_at_ms = 0
        return found

    return mock.patch.object(RateLimits, "_usage", fresh)


def count_for_all_at_once():
    def counts(standing):
        return standing is not None

    return mock.patch.object(rate_limits, "is_central", counts)


def count_the_whole_limit():
    def central_rate(self, rate, *, is_confirmed):
        return rate * 1.6

    return mock.patch.object(MostlyCentral, "central_rate", central_rate)


def count_as_much_without_the_store():
    return mock.patch.object(rate_limits, "CONFIRMED_SECONDS", 1e9)


def save_up_what_is_not_used():
    return mock.patch.object(rate_sharing, "MAX_BURST", 9.0)


def believe_late_answers():
    def record_answer(self, statement, *, asked_at, now, clock_ms, is_served):
        if statement.limit is not None or self.limit is not None:
            self._set_limit(statement.limit, now, clock_ms, now)

    return mock.patch.object(Backpressure, "record_answer", record_answer)


def forget_the_check_before_a_send():
    return mock.patch.object(RateLimits, "take_turn", lambda self, entry, now: True)


def let_a_later_backoff_cut_a_longer_one():
    def take(self, statement, now):
        self.is_leaving = self.is_leaving or statement.is_leaving
        if statement.backoff:
            self.backoff_until = now + statement.backoff

    return mock.patch.object(Backpressure, "_record_lasting_state", take)


def let_an_answer_end_a_backoff():
    def take(self, statement, now):
        self.is_leaving = self.is_leaving or statement.is_leaving
        self.backoff_until = now + statement.backoff

    return mock.patch.object(Backpressure, "_record_lasting_state", take)


def let_a_later_answer_take_leaving_back():
    def take(self, statement, now):
        self.is_leaving = statement.is_leaving
        self.backoff_until = max(self.backoff_until, now + statement.backoff)

    return mock.patch.object(Backpressure, "_record_lasting_state", take)


def believe_the_entry_that_says_ready():
    is_leaving = property(lambda self: self.upstream.is_leaving)
    return mock.patch.object(Entry, "is_leaving", is_leaving)


def ask_no_backoff_at_the_gate():
    return mock.patch.object(Backpressure, "is_backing_off", lambda self, now: False)


def keep_backpressure_for_the_next_process():
    begin_anew = Directory._replace_process

    def begin(self, entry, upstream, now):
        begin_anew(self, entry, upstream, now)
        self.entries_by_id[upstream.id].backpressure = entry.backpressure

    return mock.patch.object(Directory, "_replace_process", begin)


WORD_MUTANTS = (
    let_a_later_backoff_cut_a_longer_one,
    let_an_answer_end_a_backoff,
    let_a_later_answer_take_leaving_back,
    believe_the_entry_that_says_ready,
    ask_no_backoff_at_the_gate,
    keep_backpressure_for_the_next_process,
)
MUTANTS = (
    keep_the_share_however_many_there_are,
    begin_the_window_anew_with_each_process,
    count_for_all_at_once,
    count_the_whole_limit,
    count_as_much_without_the_store,
    save_up_what_is_not_used,
    believe_late_answers,
    forget_the_check_before_a_send,
)
