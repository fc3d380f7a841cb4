"""How long a router itself holds up what it waits for."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.http import LinkMeter
from lynxchute.overload import LoadSource

# Turns of the loop that a question to another process waits for: it is sent, its
# answer is read, and who asked is woken.
ASKING_PASSES = 3.0


class OwnDelayMeter(LinkMeter):
    """Know how long answers wait for the VM's link and for its processor.

    Whoever waits for an answer waits so much longer, and takes none of it for the
    slowness of who was asked.

    Parameters
    ----------
    mbps
        What the link carries in each direction, in Mbit/s.
    processor
        Tells how long an event waits for the loop.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self, mbps: float, processor: LoadSource, clock: Callable[[], float]
    ) -> None:
        super().__init__(mbps, clock)
        self._processor = processor

    def link_delay(self) -> float:
        """Return the seconds that a packet and its answer wait for the link."""
        return super().delay()

    def own_delay(self) -> float:
        """Return the seconds that an answer waits for this process."""
        return ASKING_PASSES * self._processor.load().delay

    def delay(self) -> float:
        """Return the seconds that an answer waits for the VM."""
        return self.link_delay() + self.own_delay()
