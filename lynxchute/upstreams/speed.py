"""How fast upstreams work compared with the others of their service."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Speeds(ABC):
    """Learn how fast each upstream works."""

    @abstractmethod
    def record(
        self, upstream_id: str, typical_seconds: float, seconds: float, now: float
    ) -> None:
        """Take how long an upstream took for a piece of work.

        Parameters
        ----------
        work
            What an upstream of usual speed takes for it, in seconds.
        seconds
            What this one took, without waiting.
        now
            Seconds on the steady clock.
        """

    @abstractmethod
    def slowness(self, upstream_id: str, now: float) -> float:
        """Return how many times as long as usual an upstream takes now.

        It is 1 for one that nothing is known of, and always positive and finite.
        """

    @abstractmethod
    def discard_upstream(self, upstream_id: str) -> None:
        """Keep nothing of an upstream whose process has started again."""
