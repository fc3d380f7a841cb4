"""Limit the requests placed at cold upstreams."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from lynxchute.upstreams.cold_admission import (
    ColdAdmission,
    ColdLimits,
    RankWatch,
    RecentPlacements,
)
from lynxchute.upstreams.entry import UpstreamEntry


class ColdPlacementLimiter:
    """Limit the rate of placements at each upstream while it is cold.

    Placements at warm upstreams count as well, because an upstream may become cold
    afterwards and the notification takes up to two seconds. A warm upstream that has
    reached the limit within the last second is skipped as long as another one is below
    it. Otherwise warm upstreams are used all the same: they are most likely still warm,
    and a refusal would be worse.

    Parameters
    ----------
    admission
        Computes this router's share of the limit.
    watch
        Returns this router's rank among all registered routers.
    limits_of
        Returns the limits for cold upstreams of a service.

    Attributes
    ----------
    listeners
        Called with the upstream of each placement that counts against a limit.
    """

    def __init__(
        self,
        admission: ColdAdmission,
        watch: RankWatch,
        limits_of: Callable[[str], ColdLimits],
    ) -> None:
        self.limits_of = limits_of
        self._admission = admission
        self._rank_watch = watch
        self.listeners: list[Callable[[UpstreamEntry], None]] = []
        self._recent = RecentPlacements()

    def refresh(self, services: Iterable[str], now: float) -> None:
        """Update this router's rank for the given services."""
        self._rank_watch.refresh(services, now)

    def admissible_entries(
        self, entries: Iterable[UpstreamEntry], now: float
    ) -> list[UpstreamEntry]:
        """Return the upstreams that may get one more request, in the given order."""
        known = list(entries)
        found = [entry for entry in known if self.may_place(entry, now)]
        return found or [entry for entry in known if not self._is_cold(entry, now)]

    def may_place(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether this router may place one more request at an upstream."""
        limits = self.limits_of(entry.upstream.service)
        if not limits.has_limit:
            return True
        placed = self._recent.count(entry.upstream.id, now)
        if self._is_cold(entry, now):
            return placed < self._share(entry.upstream.service, now)
        return placed < limits.max_per_second

    def record_placement(self, entry: UpstreamEntry, now: float) -> bool:
        """Record a placement; return whether it is allowed if the upstream is cold."""
        service, upstream_id = entry.upstream.service, entry.upstream.id
        if not self.limits_of(service).has_limit:
            return False
        is_counted = self._recent.count(upstream_id, now) < self._share(service, now)
        self._recent.record(upstream_id, now)
        for listener in self.listeners:
            listener(entry)
        return is_counted

    def placed_since(self, upstream_id: str, since: float) -> int:
        """Return the recent placements at an upstream that are newer than a time."""
        return self._recent.count_since(upstream_id, since)

    def prune(self, live_ids: Container[str]) -> None:
        """Discard the state of upstreams that are not in `live_ids`."""
        self._recent.prune(live_ids)

    def _is_cold(self, entry: UpstreamEntry, now: float) -> bool:
        return self.limits_of(entry.upstream.service).is_active(entry.cold_until, now)

    def _share(self, service: str, now: float) -> int:
        held_rank = self._rank_watch.held_rank(service, now)
        if held_rank is None:
            return 0
        return self._admission.share(self.limits_of(service), held_rank)
