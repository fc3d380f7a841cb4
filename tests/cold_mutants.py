"""Mutants that each break one decision about cold upstreams."""

from unittest import mock

from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.upstreams import cold_admission
from lynxchute.upstreams.cold_admission import RecentPlacements
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.send_gate import SendGate


def skip_the_cold_check_before_sending():
    return mock.patch.object(SendGate, "is_cold", lambda self, entry, now: False)


def admit_without_take_over_delay():
    return mock.patch.object(cold_admission, "TAKE_OVER_SECONDS", 0.0)


def admit_the_whole_limit():
    return mock.patch.object(cold_admission, "MAX_RANK_ZERO_ROUTERS", 1)


def let_late_reports_shorten_the_warm_up():
    def extend_cold(self, seconds, now):
        self.cold_until = now + seconds
        return True

    return mock.patch.object(UpstreamEntry, "extend_cold", extend_cold)


def extend_permits():
    withheld_reason = SendGate.withheld_reason

    def withhold(self, entry, *, cold_permit_until, now, **more):
        until = now + 1.0 if cold_permit_until else 0.0
        return withheld_reason(self, entry, cold_permit_until=until, now=now, **more)

    return mock.patch.object(SendGate, "withheld_reason", withhold)


def undercount_recent_placements():
    count = RecentPlacements.count

    def capped_count(self, upstream_id, now):
        return min(count(self, upstream_id, now), 3)

    return mock.patch.object(RecentPlacements, "count", capped_count)


def give_every_router_the_share():
    def share(self, service, now):
        return self.limits_of(service).max_per_second // 2

    return mock.patch.object(ColdPlacementLimiter, "_share", share)


MUTANTS = (
    skip_the_cold_check_before_sending,
    admit_without_take_over_delay,
    admit_the_whole_limit,
    let_late_reports_shorten_the_warm_up,
    extend_permits,
    undercount_recent_placements,
    give_every_router_the_share,
)
