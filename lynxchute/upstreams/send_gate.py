"""Whether an upstream may be sent to, asked before every send."""

from __future__ import annotations

import enum
from collections.abc import Callable

from lynxchute.upstreams.cold_admission import ColdLimits
from lynxchute.upstreams.directory import Entry
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.upstream import Upstream


class Withheld(enum.Enum):
    """Why a request is not sent to an upstream.

    Attributes
    ----------
    EVACUATED
        Its data centre is evacuated.
    COLD
        It is cold, and nobody who counts for all routers let this request through.
    """

    EVACUATED = "data centre evacuated"
    COLD = "upstream cold"


class SendGate:
    """Hold back what must not reach an upstream.

    A request may be placed before an order and sent after it, here or at another
    router; so the gate is asked when its first byte is about to leave, whatever led
    there: a first send, another try, or a stream that goes on.

    Parameters
    ----------
    evacuations
        The data centres that get nothing new.
    limits_of
        Returns what the upstreams of a service bear while they are cold.
    """

    def __init__(
        self, evacuations: Evacuations, limits_of: Callable[[str], ColdLimits]
    ) -> None:
        self._evacuations = evacuations
        self._limits_of = limits_of

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether an upstream gets nothing new at all."""
        return self._evacuations.is_evacuated(upstream.data_centre)

    def is_cold(self, entry: Entry, now: float) -> bool:
        """Return whether an upstream bears a few requests only."""
        return self._limits_of(entry.upstream.service).bounds(entry.cold_until, now)

    def withholds(
        self, entry: Entry, *, permit_until: float, now: float
    ) -> Withheld | None:
        """Return why a request must not be sent now; None where it may.

        Parameters
        ----------
        permit_until
            When what it was let through for ends, in seconds.
        """
        if self.is_evacuated(entry.upstream):
            return Withheld.EVACUATED
        if now >= permit_until and self.is_cold(entry, now):
            return Withheld.COLD
        return None
