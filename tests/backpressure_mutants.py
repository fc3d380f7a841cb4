"""Mutants that each break one decision about throttled upstreams."""

from unittest import mock

from lynxchute.upstreams import rate_limits, rate_sharing
from lynxchute.upstreams.backpressure import Backpressure
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.rate_sharing import MostlyCentral, TurnPosition, own_turn


def ignore_the_number_of_routers():
    def turn_of_only_router(rate, position, offset, clock_ms):
        return own_turn(rate, TurnPosition(0, 1), offset, clock_ms)

    return mock.patch.object(rate_limits, "own_turn", turn_of_only_router)


def reset_usage_with_each_process():
    usage = RateLimits._usage

    def usage_without_start(self, entry, now):
        found = usage(self, entry, now)
        found.known_at_ms = 0
        return found

    return mock.patch.object(RateLimits, "_usage", usage_without_start)


def admit_centrally_without_delay():
    def is_any_rank_central(held_rank):
        return held_rank is not None

    return mock.patch.object(rate_limits, "is_central", is_any_rank_central)


def admit_more_than_the_limit_centrally():
    def central_rate(self, rate, *, is_confirmed):
        return rate * 1.6

    return mock.patch.object(MostlyCentral, "central_rate", central_rate)


def ignore_store_silence():
    return mock.patch.object(rate_limits, "CONFIRMED_SECONDS", 1e9)


def allow_large_bursts():
    return mock.patch.object(rate_sharing, "MAX_BURST", 9.0)


def accept_overtaken_answers():
    def record_answer(self, statement, *, asked_at, now, clock_ms, is_served):
        if statement.limit is not None or self.limit is not None:
            self._set_limit(statement.limit, now, clock_ms, now)

    return mock.patch.object(Backpressure, "record_answer", record_answer)


def skip_the_turn_check_before_sending():
    return mock.patch.object(RateLimits, "use_turn", lambda self, entry, now: True)


def let_a_later_backoff_shorten_a_longer_one():
    def record_lasting_state(self, statement, now):
        self.is_leaving = self.is_leaving or statement.is_leaving
        if statement.backoff:
            self.backoff_until = now + statement.backoff

    return mock.patch.object(
        Backpressure, "_record_lasting_state", record_lasting_state
    )


def let_an_answer_end_a_backoff():
    def record_lasting_state(self, statement, now):
        self.is_leaving = self.is_leaving or statement.is_leaving
        self.backoff_until = now + statement.backoff

    return mock.patch.object(
        Backpressure, "_record_lasting_state", record_lasting_state
    )


def let_a_later_answer_revoke_leaving():
    def record_lasting_state(self, statement, now):
        self.is_leaving = statement.is_leaving
        self.backoff_until = max(self.backoff_until, now + statement.backoff)

    return mock.patch.object(
        Backpressure, "_record_lasting_state", record_lasting_state
    )


def ignore_leaving_in_answers():
    is_leaving = property(lambda self: self.upstream.is_leaving)
    return mock.patch.object(UpstreamEntry, "is_leaving", is_leaving)


def skip_the_backoff_check_before_sending():
    return mock.patch.object(Backpressure, "is_backing_off", lambda self, now: False)


def keep_backpressure_after_a_restart():
    begin_anew = Directory._replace_process

    def begin(self, entry, upstream, now):
        begin_anew(self, entry, upstream, now)
        self.entries_by_id[upstream.id].backpressure = entry.backpressure

    return mock.patch.object(Directory, "_replace_process", begin)


WORD_MUTANTS = (
    let_a_later_backoff_shorten_a_longer_one,
    let_an_answer_end_a_backoff,
    let_a_later_answer_revoke_leaving,
    ignore_leaving_in_answers,
    skip_the_backoff_check_before_sending,
    keep_backpressure_after_a_restart,
)
MUTANTS = (
    ignore_the_number_of_routers,
    reset_usage_with_each_process,
    admit_centrally_without_delay,
    admit_more_than_the_limit_centrally,
    ignore_store_silence,
    allow_large_bursts,
    accept_overtaken_answers,
    skip_the_turn_check_before_sending,
)
