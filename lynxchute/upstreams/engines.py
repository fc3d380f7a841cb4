"""What a router asks model engines beside requests."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.upstream import Upstream


class EngineSilent(Exception):
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


class Engines(ABC):
    """Questions to upstreams, above all to model engines."""

    @abstractmethod
    async def probe(self, upstream: Upstream) -> int | None:
        """Ask whether an upstream is there; any answer will do.

        Returns
        -------
        int or None
            When its process started, in Unix milliseconds, where it says so.

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
