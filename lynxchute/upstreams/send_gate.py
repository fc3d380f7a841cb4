"""Final check before every send whether the upstream may receive it."""

from __future__ import annotations

import enum
from collections.abc import Callable

from lynxchute.upstreams.cold_admission import ColdLimits
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.slot_shares import SlotShares
from lynxchute.upstreams.upstream import Upstream


class WithheldReason(enum.Enum):
    """Why a request is not sent to an upstream.

    Attributes
    ----------
    EVACUATED
        Its data centre is evacuated.
    LEAVING
        It has said that it accepts no new work.
    BACKOFF
        It has refused a request of this router and asked for backoff.
    COLD
        It is cold, and the request has no valid permit for cold upstreams.
    BRITTLE
        It must not be overfilled, and this router has used its share of the slots.
    LIMITED
        It has a rate limit, and the request is neither admitted nor in this router's
        turn.
    UNRECORDED
        Its software version is not recorded, and the stream may have to be resumed.
    """

    EVACUATED = "data centre evacuated"
    LEAVING = "upstream leaving"
    BACKOFF = "upstream asked for backoff"
    COLD = "upstream cold"
    BRITTLE = "upstream brittle"
    LIMITED = "upstream names a limit"
    UNRECORDED = "software version not recorded"


class SendGate:
    """Withhold requests that an upstream must not receive.

    An order can arrive between the placement of a request and its send, here or at the
    router that placed it. The gate is therefore checked just before the first byte is
    sent, for first sends, retries and resumed streams alike.

    Parameters
    ----------
    evacuations
        The evacuated data centres.
    limits_of
        Returns the limits for cold upstreams of a service.
    rates
        Enforces the rate limits of upstreams.
    shares
        Bounds the open requests at brittle upstreams; None for no bounds.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        limits_of: Callable[[str], ColdLimits],
        rates: RateLimits,
        shares: SlotShares | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._limits_of = limits_of
        self.rates = rates
        self.shares = shares

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether an upstream is in an evacuated data centre."""
        return self._evacuations.is_evacuated(upstream.data_centre)

    def is_cold(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether an upstream is cold and therefore limited."""
        return self._limits_of(entry.upstream.service).is_active(entry.cold_until, now)

    def has_room(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether this router may open one more request at an upstream."""
        return self.shares is None or self.shares.has_room(entry, now)

    def may_query(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether the router may send a query of its own to an upstream.

        Such queries are not urgent. Probes are not subject to this check.
        """
        if self.is_evacuated(entry.upstream) or entry.is_leaving:
            return False
        return not (
            entry.backpressure.is_backing_off(now) or self.rates.is_limited(entry, now)
        )

    def withheld_reason(
        self,
        entry: UpstreamEntry,
        *,
        cold_permit_until: float,
        rate_permit_until: float = 0.0,
        now: float,
    ) -> WithheldReason | None:
        """Return why a request must not be sent now; None if it may be sent.

        Parameters
        ----------
        cold_permit_until
            Until when the request may be sent although the upstream is cold, in
            seconds.
        rate_permit_until
            Until when it may be sent although the upstream has a rate limit; later it
            uses this router's own turn, if there is one.
        """
        if self.is_evacuated(entry.upstream):
            return WithheldReason.EVACUATED
        if entry.is_leaving:
            return WithheldReason.LEAVING
        if entry.backpressure.is_backing_off(now):
            return WithheldReason.BACKOFF
        if now >= cold_permit_until and self.is_cold(entry, now):
            return WithheldReason.COLD
        if self._is_overfilled(entry, now):
            return WithheldReason.BRITTLE
        if now < rate_permit_until or not self.rates.is_limited(entry, now):
            return None
        return None if self.rates.use_turn(entry, now) else WithheldReason.LIMITED

    def _is_overfilled(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether the open requests, with this one, exceed the share."""
        share = None if self.shares is None else self.shares.share(entry, now)
        return share is not None and entry.open_requests > share
