"""Whether this router can serve in time, or another one should."""

from __future__ import annotations

import random
from collections.abc import Callable

from lynxchute.http import LinkMeter
from lynxchute.overload import Load
from lynxchute.telemetry import log_event

# A request crosses the link some times (its tokens, its place, its body, its
# answer). Where each waits for this share of the latency objective, another
# router serves it sooner, even counting the caller's way there.
SLOW_SHARE = 0.3
# Seconds of waiting from which on connections are sent elsewhere as well: below
# that only the calls with the shortest objectives are late.
SHED_DELAY = 0.2
# Seconds for which callers are sent elsewhere after a request had to be: the
# balancer needs two to notice, and a caller's many connections come back at once.
SHED_SECONDS = 8.0


# Share of the link's use from which on new connections are sent elsewhere, and what is
# kept of it then: the balancer notices after two seconds only, in which a caller whose
# account is hot opens more. One account sending 108 to 240 requests a second to VMs
# that carry 60 (in virtual time): 0.97 of what is due is served with these, within
# 0.02 of it with 0.4 to 0.7 and 0.55 to 0.75; keeping 0.4 moves too much, 0.95.
SHED_USE = 0.7
KEPT_USE = 0.55
# Seconds of waiting from which on no connection is taken: what comes over it would wait
# behind the bodies that fill the link, while its caller reaches another router at once.
# From 0.3 s on instead 55 of 1,000 requests of a day with such an account were refused,
# 8 with this (22 VMs, links of 5 Mbit/s).
FULL_DELAY = 0.15


class RouterLoad:
    """Say when callers are better served by another router.

    Balancers give a caller's connections to one VM, however much it sends; a
    small VM's link then carries only a part of it.

    Parameters
    ----------
    meter
        Tells how long bytes wait for the VM's link.
    clock
        Seconds on the steady clock.
    rng
        Picks the connections that end.
    """

    def __init__(
        self,
        meter: LinkMeter,
        clock: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._meter = meter
        self._clock = clock
        self._random = rng or random.Random()
        self._shed_until = 0.0

    @property
    def is_shedding(self) -> bool:
        """Return whether connections are to go elsewhere."""
        return self._clock() < self._shed_until

    @property
    def is_full(self) -> bool:
        """Return whether a new connection would only make those that are open late."""
        return self._meter.delay() >= FULL_DELAY

    def poll(self) -> None:
        """Take note of how full it is now."""

    def may_accept(self) -> bool:
        """Return whether a connection that has come just now is served."""
        return True

    def note_admitted(self, account: str) -> None:
        """Count an admitted request of a client account."""

    def shed_reason(self, objective: float, account: str, *, is_brief: bool) -> str:
        """Return the resource for which a request is refused, or an empty text.

        Parameters
        ----------
        objective
            Seconds within which its answer is on time.
        account
            Who pays; empty where nobody does.
        is_brief
            Whether it needs no place at an engine and no tokens.
        """
        return "link" if self.is_too_slow(objective) else ""

    def shed_reason_for_all(self, objective: float, *, is_brief: bool) -> str:
        """Return the resource for which a request of anybody is refused.

        It is asked before the body is read.
        """
        return ""

    def loads(self) -> dict[str, Load]:
        """Return the load of each resource by its name."""
        return {"link": Load(self._meter.use(), self._meter.delay())}

    def has_lagged(self) -> bool:
        """Return whether this router itself has been late just now."""
        return False

    def ends_connection(self, account: str = "") -> bool:
        """Return whether a connection is to end with the answer that it gets now.

        Only what the link carries too much goes elsewhere: if all of it went, the next
        VM would be as full a moment later, and the one after that.
        """
        if not self.is_shedding:
            return False
        use = self._meter.use()
        return use > KEPT_USE and self._random.random() > KEPT_USE / use

    def is_too_slow(self, objective: float) -> bool:
        """Return whether a request cannot be served in time here.

        Parameters
        ----------
        objective
            Seconds within which its answer is on time.
        """
        delay = self._meter.delay()
        if delay >= SHED_DELAY or self._meter.use() >= SHED_USE:
            self._shed(delay)
        return delay > objective * SLOW_SHARE

    def _shed(self, delay: float) -> None:
        if not self.is_shedding:
            log_event(
                "link saturated: shedding load",
                delay_s=round(delay, 3),
                use=round(self._meter.use(), 3),
            )
        self._shed_until = self._clock() + SHED_SECONDS
