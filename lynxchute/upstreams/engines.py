"""What a router asks model engines beside requests."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lynxchute.upstreams.generation import PromptPart
from lynxchute.upstreams.upstream import Upstream


class EngineSilent(Exception):
    """Report that an engine gave no answer of use."""


class Engines(ABC):
    """Questions to model engines."""

    @abstractmethod
    async def cached_parts(self, upstream: Upstream) -> list[PromptPart]:
        """Return the parts of prompts that an engine keeps.

        Raises
        ------
        EngineSilent
            Where it does not say.
        """
