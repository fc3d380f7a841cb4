"""Interface of the estimators of upstream speed, relative to the whole service."""

from __future__ import annotations

from abc import ABC, abstractmethod


class SpeedEstimator(ABC):
    """Estimate how fast each upstream works."""

    @abstractmethod
    def record(
        self, upstream_id: str, typical_seconds: float, seconds: float, now: float
    ) -> None:
        """Record how long an upstream took for a piece of work.

        Parameters
        ----------
        typical_seconds
            Time that an upstream of typical speed takes for it.
        seconds
            Time that this upstream took, without queueing.
        now
            Seconds on the steady clock.
        """

    @abstractmethod
    def slowness(self, upstream_id: str, now: float) -> float:
        """Return the present response time as a multiple of the typical one.

        It is 1 for an upstream without samples, and always positive and finite.
        """

    @abstractmethod
    def discard_upstream(self, upstream_id: str) -> None:
        """Drop all samples of an upstream whose process has restarted."""
