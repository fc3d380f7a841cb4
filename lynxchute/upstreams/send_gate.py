"""Whether an upstream may be sent to, asked before every send."""

from __future__ import annotations

import enum
from collections.abc import Callable

from lynxchute.upstreams.cold_admission import ColdLimits
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.upstream import Upstream


class WithheldReason(enum.Enum):
    """Why a request is not sent to an upstream.

    Attributes
    ----------
    EVACUATED
        Its data centre is evacuated.
    LEAVING
        It has said that it takes no new work.
    BACKOFF
        It has turned this router away and wants nothing from it for a while.
    COLD
        It is cold, and nobody who counts for all routers let this request through.
    LIMITED
        It names a limit, and this request is not among those that keep to it.
    """

    EVACUATED = "data centre evacuated"
    LEAVING = "upstream leaving"
    BACKOFF = "upstream asked for backoff"
    COLD = "upstream cold"
    LIMITED = "upstream names a limit"


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
    rates
        Keeps to the rates that upstreams name.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        limits_of: Callable[[str], ColdLimits],
        rates: RateLimits,
    ) -> None:
        self._evacuations = evacuations
        self._limits_of = limits_of
        self.rates = rates

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether an upstream gets nothing new at all."""
        return self._evacuations.is_evacuated(upstream.data_centre)

    def is_cold(self, entry: Entry, now: float) -> bool:
        """Return whether an upstream bears a few requests only."""
        return self._limits_of(entry.upstream.service).is_active(entry.cold_until, now)

    def may_be_asked(self, entry: Entry, now: float) -> bool:
        """Return whether a question of the router's own may be put to an upstream.

        It can wait; questions whether the upstream is there are not asked about here.
        """
        if self.is_evacuated(entry.upstream) or entry.is_leaving:
            return False
        return not (
            entry.backpressure.is_backing_off(now) or self.rates.is_limited(entry, now)
        )

    def withheld_reason(
        self,
        entry: Entry,
        *,
        permit_until: float,
        admitted_until: float = 0.0,
        now: float,
    ) -> WithheldReason | None:
        """Return why a request must not be sent now; None where it is sent.

        Parameters
        ----------
        permit_until
            Until when it may be sent though the upstream is cold, in seconds.
        admitted_until
            Until when it may be sent though the upstream names a limit; later it
            takes this router's own turn, if there is one.
        """
        if self.is_evacuated(entry.upstream):
            return WithheldReason.EVACUATED
        if entry.is_leaving:
            return WithheldReason.LEAVING
        if entry.backpressure.is_backing_off(now):
            return WithheldReason.BACKOFF
        if now >= permit_until and self.is_cold(entry, now):
            return WithheldReason.COLD
        if now < admitted_until or not self.rates.is_limited(entry, now):
            return None
        return None if self.rates.take_turn(entry, now) else WithheldReason.LIMITED
