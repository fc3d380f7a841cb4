"""What this router may place at upstreams that are cold."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from lynxchute.upstreams.cold_admission import (
    ColdAdmission,
    ColdLimits,
    RankWatch,
    RecentPlacements,
)
from lynxchute.upstreams.entry import Entry


class ColdPlacementLimiter:
    """Keep what is placed at each upstream to what it bears.

    What is placed at warm upstreams counts as well: one may become cold after that,
    and word of it takes up to two seconds. So one that had the bound within a second is
    passed over while another has room; where none has, it is better to be right about
    the others than to refuse.

    Parameters
    ----------
    admission
        Says which part of the bound is this router's.
    watch
        Tells where it stands among all registered ones.
    limits_of
        Returns what the upstreams of a service bear.
    """

    def __init__(
        self,
        admission: ColdAdmission,
        watch: RankWatch,
        limits_of: Callable[[str], ColdLimits],
    ) -> None:
        self.limits_of = limits_of
        self._admission = admission
        self._watch = watch
        self._recent = RecentPlacements()

    def refresh(self, services: Iterable[str], now: float) -> None:
        """Take note of who is registered."""
        self._watch.refresh(services, now)

    def admissible_entries(self, entries: Iterable[Entry], now: float) -> list[Entry]:
        """Return those that may get one more request from here, in their order."""
        known = list(entries)
        found = [entry for entry in known if self.may_place(entry, now)]
        return found or [entry for entry in known if not self._is_cold(entry, now)]

    def may_place(self, entry: Entry, now: float) -> bool:
        """Return whether an upstream has room for one more request from here."""
        limits = self.limits_of(entry.upstream.service)
        if not limits.has_limit:
            return True
        placed = self._recent.count(entry.upstream.id, now)
        if self._is_cold(entry, now):
            return placed < self._share(entry.upstream.service, now)
        return placed < limits.max_per_second

    def record_placement(self, entry: Entry, now: float) -> bool:
        """Count a request; return whether it may be sent to the upstream when cold."""
        service, upstream_id = entry.upstream.service, entry.upstream.id
        if not self.limits_of(service).has_limit:
            return False
        is_counted = self._recent.count(upstream_id, now) < self._share(service, now)
        self._recent.record(upstream_id, now)
        return is_counted

    def keep_only(self, upstream_ids: Container[str]) -> None:
        """Forget upstreams that are gone."""
        self._recent.keep_only(upstream_ids)

    def _is_cold(self, entry: Entry, now: float) -> bool:
        return self.limits_of(entry.upstream.service).is_active(entry.cold_until, now)

    def _share(self, service: str, now: float) -> int:
        held_rank = self._watch.held_rank(service, now)
        if held_rank is None:
            return 0
        return self._admission.share(self.limits_of(service), held_rank)
