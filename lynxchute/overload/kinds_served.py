"""How often requests of each kind are served of late."""

from __future__ import annotations

import math

# Time constant in seconds: longer than callers wait, so that a kind whose callers wait
# is not taken for one that is not served.
FADE_SECONDS = 8.0
# Counts fade in steps of so many seconds.
STEP_SECONDS = 1.0
# Requests of a kind below which nothing is said of it.
FEWEST = 2.0
# Counts below this are dropped.
LEAST_COUNT = 0.01


class KindsServed:
    """Count requests by rank, and how many of them got a place."""

    def __init__(self) -> None:
        self._asked_by_rank: dict[int, float] = {}
        self._served_by_rank: dict[int, float] = {}
        self._faded_at = 0.0

    def note_asked(self, rank: int, now: float) -> None:
        """Count a request."""
        self._fade(now)
        self._asked_by_rank[rank] = self._asked_by_rank.get(rank, 0.0) + 1.0

    def note_served(self, rank: int, now: float) -> None:
        """Count a request that has got a place."""
        self._fade(now)
        self._served_by_rank[rank] = self._served_by_rank.get(rank, 0.0) + 1.0

    def below(self, share: float, now: float) -> set[int]:
        """Return the ranks that are served less often than a share of all."""
        self._fade(now)
        asked = sum(self._asked_by_rank.values())
        if not asked:
            return set()
        least = share * sum(self._served_by_rank.values()) / asked
        found = set()
        for rank, count in self._asked_by_rank.items():
            if count >= FEWEST and self._served_by_rank.get(rank, 0.0) < least * count:
                found.add(rank)
        return found

    def _fade(self, now: float) -> None:
        passed = now - self._faded_at
        if passed < STEP_SECONDS:
            return
        self._faded_at = now
        left = math.exp(-passed / FADE_SECONDS)
        for counts in (self._asked_by_rank, self._served_by_rank):
            for rank in list(counts):
                counts[rank] *= left
                if counts[rank] < LEAST_COUNT:
                    del counts[rank]
