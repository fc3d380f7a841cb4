"""Probes and cache queries that a router sends to model engines."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.statement import NO_BACKPRESSURE, DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream


class EngineUnavailable(Exception):
    """Raised when an upstream gave no usable response to a probe or query.

    Parameters
    ----------
    reason
        What happened instead.
    is_timeout
        Whether nothing arrived at all, not even a refused connection.
    """

    def __init__(self, reason: str, *, is_timeout: bool = False) -> None:
        super().__init__(reason)
        self.is_timeout = is_timeout


@attrs.frozen
class Probe:
    """What an upstream reports in its response to a probe.

    Attributes
    ----------
    started_ms
        When its process started, in Unix milliseconds; None if it does not say.
    cold_seconds
        Remaining warm-up time in seconds; 0 if it is warm or does not say.
    statement
        Backpressure that the response declares.
    active_requests
        Requests that run or wait there; None if it does not say.
    """

    started_ms: int | None = None
    cold_seconds: float = 0.0
    statement: DeclaredBackpressure = NO_BACKPRESSURE
    active_requests: int | None = None


class EngineClient(ABC):
    """Send probes and queries to upstreams, above all to model engines."""

    @abstractmethod
    async def probe(self, upstream: Upstream) -> Probe:
        """Probe whether an upstream responds; any response counts.

        Raises
        ------
        EngineUnavailable
            If no response arrived in time.
        """

    @abstractmethod
    async def cached_parts(self, upstream: Upstream) -> list[PromptPart]:
        """Return the prompt parts in an engine's cache.

        Raises
        ------
        EngineUnavailable
            If the engine does not list them.
        """
