"""Delay that a router itself adds to the responses it waits for."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.http import LinkMeter
from lynxchute.overload import LoadSource

# Event loop iterations that a request to another process waits for: to be sent, to have
# its response read, and to wake the waiting task.
LOOP_WAITS_PER_REQUEST = 3.0


class OwnDelayMeter(LinkMeter):
    """Estimates how long responses wait for the VM's link and its processor.

    Timeouts are extended by this delay, and it is not counted as latency of the process
    that responds.

    Parameters
    ----------
    mbps
        Capacity of the link in each direction, in Mbit/s.
    processor
        Measures how long an event waits for the event loop.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self, mbps: float, processor: LoadSource, clock: Callable[[], float]
    ) -> None:
        super().__init__(mbps, clock)
        self._processor = processor

    def link_delay(self) -> float:
        """Return the seconds that a packet and its response wait for the link."""
        return super().delay()

    def own_delay(self) -> float:
        """Return the seconds that a response waits for this process."""
        return LOOP_WAITS_PER_REQUEST * self._processor.load().delay

    def delay(self) -> float:
        """Return the seconds that a response waits for the link and this process."""
        return self.link_delay() + self.own_delay()
