"""Break the decisions on cold upstreams one by one."""

from unittest import mock

from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.upstreams import cold_admission
from lynxchute.upstreams.cold_admission import RecentPlacements
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.send_gate import SendGate


def forget_the_check_before_a_send():
    return mock.patch.object(SendGate, "is_cold", lambda self, entry, now: False)


def count_from_the_first_moment():
    return mock.patch.object(cold_admission, "TAKE_OVER_SECONDS", 0.0)


def keep_the_whole_bound():
    return mock.patch.object(cold_admission, "MAX_RANK_ZERO_ROUTERS", 1)


def let_a_late_word_shorten():
    def extend_cold(self, seconds, now):
        self.cold_until = now + seconds
        return True

    return mock.patch.object(Entry, "extend_cold", extend_cold)


def let_permits_last():
    withheld_reason = SendGate.withheld_reason

    def withhold(self, entry, *, permit_until, now, **more):
        until = now + 1.0 if permit_until else 0.0
        return withheld_reason(self, entry, permit_until=until, now=now, **more)

    return mock.patch.object(SendGate, "withheld_reason", withhold)


def forget_what_was_placed_while_warm():
    count = RecentPlacements.count

    def counted(self, upstream_id, now):
        return min(count(self, upstream_id, now), 3)

    return mock.patch.object(RecentPlacements, "count", counted)


def give_everybody_the_share():
    def share(self, service, now):
        return self.limits_of(service).max_per_second // 2

    return mock.patch.object(ColdPlacementLimiter, "_share", share)


MUTANTS = (
    forget_the_check_before_a_send,
    count_from_the_first_moment,
    keep_the_whole_bound,
    let_a_late_word_shorten,
    let_permits_last,
    forget_what_was_placed_while_warm,
    give_everybody_the_share,
)
