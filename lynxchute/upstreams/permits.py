"""Request admission to rate-limited upstreams from the router that grants it."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lynxchute.upstreams.entry import UpstreamEntry


class Permits(ABC):
    """Request admission to upstreams with a rate limit."""

    @abstractmethod
    async def request_permit(self, entry: UpstreamEntry) -> float:
        """Request admission for one send.

        Returns
        -------
        float
            Until when the request may be sent, in seconds on the steady clock; 0 if it
            is denied.
        """
