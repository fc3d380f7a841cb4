"""Ask whoever counts for all routers to let a request through."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lynxchute.upstreams.entry import Entry


class Permits(ABC):
    """Let requests through to upstreams that name a limit."""

    @abstractmethod
    async def ask(self, entry: Entry) -> float:
        """Ask for one request.

        Returns
        -------
        float
            Until when it may be sent, in seconds on the steady clock; 0 where it may
            not.
        """
