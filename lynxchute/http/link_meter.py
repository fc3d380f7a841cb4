"""How long bytes wait for the VM's own link, worked out from what goes over it."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from lynxchute.clock import steady_seconds

# Bytes on the wire for each byte of payload: heads of packets and their
# acknowledgements, for packets of about a kilobyte.
WIRE_OVERHEAD = 1.08
# Arrivals are as fast as the link at most; the nearer they come to it, the more
# of them wait at its other end, where they cannot be seen. So they are held against
# a part of it: a link that is full for a second counts a third of one.
RECEIVING_SHARE = 0.75
# Longer waits than this are not believed: whoever waits so long has left.
MAX_DELAY = 1.0
# Seconds over which the use of the link is averaged: a few requests of the largest
# kind, on a link that carries thirty a second.
USE_SECONDS = 0.5


@attrs.define
class _Queue:
    """Bytes that wait for one direction of a link.

    Attributes
    ----------
    bytes_per_s
        What the link carries.
    """

    bytes_per_s: float
    _waiting: float = 0.0
    _rate: float = 0.0
    _at: float = 0.0

    def add(self, size: int, now: float) -> None:
        # Called for each event of a stream, twice: no further calls from here.
        elapsed = now - self._at
        wire = size * WIRE_OVERHEAD
        left = self._waiting - elapsed * self.bytes_per_s
        self._waiting = left + wire if left > 0.0 else wire
        kept = self._rate * math.exp(-elapsed / USE_SECONDS)
        self._rate = kept + wire / USE_SECONDS
        self._at = now

    def use(self, now: float) -> float:
        return self._rate_at(now) / self.bytes_per_s

    def _rate_at(self, now: float) -> float:
        return self._rate * math.exp(-(now - self._at) / USE_SECONDS)

    def delay(self, now: float) -> float:
        return min(self._left(now) / self.bytes_per_s, MAX_DELAY)

    def _left(self, now: float) -> float:
        return max(self._waiting - (now - self._at) * self.bytes_per_s, 0.0)


class LinkMeter:
    """Know how long what is sent now waits for the link.

    A small VM's link carries a few requests' bodies at once; what is sent behind
    them is late, which must not be taken for the silence of whoever it is for.

    Parameters
    ----------
    mbps
        What the link carries in each direction, in Mbit/s.
    clock
        Seconds on the steady clock.

    Examples
    --------
    >>> meter = LinkMeter(8.0, lambda: 0.0)
    >>> meter.record_sent(100_000)
    >>> round(meter.delay(), 3)
    0.108
    """

    def __init__(
        self, mbps: float, clock: Callable[[], float] = steady_seconds
    ) -> None:
        bytes_per_s = mbps * 1e6 / 8
        self._sending = _Queue(bytes_per_s)
        self._receiving = _Queue(bytes_per_s * RECEIVING_SHARE)
        self._clock = clock

    def record_sent(self, size: int) -> None:
        """Count bytes that were handed to the kernel."""
        self._sending.add(size, self._clock())

    def record_received(self, size: int) -> None:
        """Count bytes that have arrived."""
        self._receiving.add(size, self._clock())

    def use(self) -> float:
        """Return the share of the link that is in use, in the fuller direction."""
        now = self._clock()
        return max(self._sending.use(now), self._receiving.use(now) * RECEIVING_SHARE)

    def delay(self) -> float:
        """Return the seconds that a packet and its answer wait for the link."""
        now = self._clock()
        return self._sending.delay(now) + self._receiving.delay(now)

    def own_delay(self) -> float:
        """Return the seconds that an answer waits for this process, where known."""
        return 0.0


# For peers and tests on links that are never full.
AMPLE = LinkMeter(1e6)
