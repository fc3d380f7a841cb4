"""Estimates the queueing delay on the VM's network link from its traffic."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import attrs

from lynxchute.clock import steady_seconds

# Bytes on the wire per byte of payload: packet headers and acknowledgements, for
# packets of about a kilobyte.
WIRE_OVERHEAD = 1.08
# Incoming traffic is compared with this share of the capacity. Bytes never arrive
# faster than the link carries them; as the link fills up, more of them queue at its far
# end, where they cannot be observed. With the reduced capacity, the estimated delay of
# a link that is full for a second is a third of a second.
RECEIVING_SHARE = 0.75
# Maximum of the estimated delay, in seconds: whoever waits longer has given up.
MAX_DELAY = 1.0
# Time constant of the average utilization, in seconds: a few of the largest requests,
# on a link that carries thirty of them per second.
AVERAGING_SECONDS = 0.5


@attrs.define
class _LinkDirection:
    """A model of the queue in one direction of a link.

    Attributes
    ----------
    bytes_per_s
        Capacity of the link.
    """

    bytes_per_s: float
    _queued: float = 0.0
    _smoothed_rate: float = 0.0
    _updated_at: float = 0.0

    def record(self, size: int, now: float) -> None:
        # Called twice for each event of a stream, so it calls no other methods.
        elapsed = now - self._updated_at
        wire_bytes = size * WIRE_OVERHEAD
        queued = self._queued - elapsed * self.bytes_per_s
        self._queued = queued + wire_bytes if queued > 0.0 else wire_bytes
        decayed = self._smoothed_rate * math.exp(-elapsed / AVERAGING_SECONDS)
        self._smoothed_rate = decayed + wire_bytes / AVERAGING_SECONDS
        self._updated_at = now

    def utilization(self, now: float) -> float:
        return self._rate_at(now) / self.bytes_per_s

    def _rate_at(self, now: float) -> float:
        return self._smoothed_rate * math.exp(
            -(now - self._updated_at) / AVERAGING_SECONDS
        )

    def describe(self, now: float) -> dict[str, int]:
        return {
            "bytes_a_second": round(self._rate_at(now)),
            "estimated_bytes_queued": round(self._queued_bytes(now)),
        }

    def delay(self, now: float) -> float:
        return min(self._queued_bytes(now) / self.bytes_per_s, MAX_DELAY)

    def _queued_bytes(self, now: float) -> float:
        return max(self._queued - (now - self._updated_at) * self.bytes_per_s, 0.0)


class LinkMeter:
    """Estimates the utilization and the queueing delay of the VM's link.

    A small VM's link carries only a few request bodies at a time. Messages behind them
    are delayed, which must not be mistaken for an unresponsive peer.

    Parameters
    ----------
    mbps
        Capacity of the link in each direction, in Mbit/s.
    clock
        Monotonic clock in seconds.

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
        self._sending = _LinkDirection(bytes_per_s)
        self._receiving = _LinkDirection(bytes_per_s * RECEIVING_SHARE)
        self._clock = clock

    def record_sent(self, size: int) -> None:
        """Record bytes that were written to a socket."""
        self._sending.record(size, self._clock())

    def record_received(self, size: int) -> None:
        """Record bytes that were received."""
        self._receiving.record(size, self._clock())

    def use(self) -> float:
        """Return the utilization of the busier direction; 1.0 is the full capacity."""
        now = self._clock()
        return max(
            self._sending.utilization(now),
            self._receiving.utilization(now) * RECEIVING_SHARE,
        )

    def delay(self) -> float:
        """Return the seconds that a packet and its response wait for the link."""
        now = self._clock()
        return self._sending.delay(now) + self._receiving.delay(now)

    def describe(self) -> dict[str, Any]:
        """Return what the estimates rest on, for the log.

        Of each direction the bytes a second, as a moving average, and the bytes that
        are estimated to be queued.
        """
        now = self._clock()
        return {
            "delay_s": round(self.delay(), 3),
            "use": round(self.use(), 3),
            "sent": self._sending.describe(now),
            "received": self._receiving.describe(now),
        }

    def own_delay(self) -> float:
        """Return the seconds that a response waits for this process; 0 if unknown."""
        return 0.0


# The default, for peers and tests whose link is never congested.
UNLIMITED_LINK = LinkMeter(1e6)
