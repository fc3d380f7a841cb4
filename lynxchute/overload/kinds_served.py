"""Track how often requests of each rank have recently been admitted."""

from __future__ import annotations

import math

# Time constant in seconds of the decay. It is longer than callers wait, so that a rank
# whose callers are still waiting is not mistaken for one that is starved.
DECAY_SECONDS = 8.0
# Counts decay in steps of this many seconds.
STEP_SECONDS = 1.0
# A rank with fewer recent arrivals than this never counts as starved.
MIN_ARRIVALS = 2.0
# Counts below this are removed.
MIN_COUNT = 0.01


class RankServiceRates:
    """Count arrivals and admissions by rank, with exponential decay."""

    def __init__(self) -> None:
        self._arrivals_by_rank: dict[int, float] = {}
        self._admissions_by_rank: dict[int, float] = {}
        self._decayed_at = 0.0

    def record_arrival(self, rank: int, now: float) -> None:
        """Record the arrival of a request."""
        self._decay(now)
        self._arrivals_by_rank[rank] = self._arrivals_by_rank.get(rank, 0.0) + 1.0

    def record_admission(self, rank: int, now: float) -> None:
        """Record a request that was admitted to a slot."""
        self._decay(now)
        self._admissions_by_rank[rank] = self._admissions_by_rank.get(rank, 0.0) + 1.0

    def ranks_below(self, share: float, now: float) -> set[int]:
        """Return the ranks with less than ``share`` of the overall admission rate."""
        self._decay(now)
        arrivals = sum(self._arrivals_by_rank.values())
        if not arrivals:
            return set()
        min_rate = share * sum(self._admissions_by_rank.values()) / arrivals
        found = set()
        for rank, count in self._arrivals_by_rank.items():
            if (
                count >= MIN_ARRIVALS
                and self._admissions_by_rank.get(rank, 0.0) < min_rate * count
            ):
                found.add(rank)
        return found

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed < STEP_SECONDS:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed / DECAY_SECONDS)
        for counts in (self._arrivals_by_rank, self._admissions_by_rank):
            for rank in list(counts):
                counts[rank] *= factor
                if counts[rank] < MIN_COUNT:
                    del counts[rank]
