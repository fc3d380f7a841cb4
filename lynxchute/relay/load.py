"""Whether this router can serve in time, or another one should."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.http import LinkMeter
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
    """

    def __init__(self, meter: LinkMeter, clock: Callable[[], float]) -> None:
        self._meter = meter
        self._clock = clock
        self._shed_until = 0.0

    @property
    def is_shedding(self) -> bool:
        """Return whether connections are to go elsewhere."""
        return self._clock() < self._shed_until

    def is_too_slow(self, objective: float) -> bool:
        """Return whether a request cannot be served in time here.

        Parameters
        ----------
        objective
            Seconds within which its answer is on time.
        """
        delay = self._meter.delay()
        if delay >= SHED_DELAY:
            self._shed(delay)
        return delay > objective * SLOW_SHARE

    def _shed(self, delay: float) -> None:
        if not self.is_shedding:
            log_event("link full: callers are sent elsewhere", delay_s=round(delay, 3))
        self._shed_until = self._clock() + SHED_SECONDS
