"""What a router asks model engines beside requests."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.statement import NOTHING_STATED, Statement
from lynxchute.upstreams.upstream import Upstream


class EngineUnavailable(Exception):
    """Report that an engine gave no answer of use.

    Parameters
    ----------
    reason
        What came instead.
    is_silence
        Whether nothing came, not even a refusal to connect.
    """

    def __init__(self, reason: str, *, is_silence: bool = False) -> None:
        super().__init__(reason)
        self.is_silence = is_silence


@attrs.frozen
class Probe:
    """What an upstream says of its process when it is asked whether it is there.

    Attributes
    ----------
    started_ms
        When it started, in Unix milliseconds; None where it does not say.
    cold_seconds
        How much longer it is cold; 0 where it is not, or does not say.
    statement
        What else it states of itself.
    in_work
        Requests that run or wait there; None where it does not say.
    """

    started_ms: int | None = None
    cold_seconds: float = 0.0
    statement: Statement = NOTHING_STATED
    active_requests: int | None = None


class EngineClient(ABC):
    """Questions to upstreams, above all to model engines."""

    @abstractmethod
    async def probe(self, upstream: Upstream) -> Probe:
        """Ask whether an upstream is there; any answer will do.

        Raises
        ------
        EngineSilent
            Where none came soon.
        """

    @abstractmethod
    async def cached_parts(self, upstream: Upstream) -> list[PromptPart]:
        """Return the parts of prompts that an engine keeps.

        Raises
        ------
        EngineSilent
            Where it does not say.
        """
