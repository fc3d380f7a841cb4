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
# Seconds of the link's capacity that received bytes may use at once, as they are read
# some time after they have arrived.
BURST_SECONDS = 0.05
# Seconds of the link's capacity by which received bytes may exceed it after the process
# stood still. If they exceed it by more, the link is faster than its setting says.
MAX_EXCESS_SECONDS = 4.0
# Share of the capacity at which that excess decays, so that many short interruptions of
# the process on a busy link do not add up.
EXCESS_DECAY_RATE = 0.25
# Seconds for which a link counts as faster than its setting, and is not full.
FASTER_SECONDS = 10.0
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

    def record(self, size: float, now: float) -> None:
        # Called twice for each event of a stream, so it calls no other methods.
        elapsed = now - self._updated_at
        wire_bytes = size * WIRE_OVERHEAD
        queued = self._queued - elapsed * self.bytes_per_s
        queued = queued + wire_bytes if queued > 0.0 else wire_bytes
        limit = self.bytes_per_s * MAX_DELAY
        self._queued = queued if queued < limit else limit
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


@attrs.define
class _Arrivals:
    """Compares what arrives with what the link can carry.

    Bytes that arrive faster do not queue at the link's far end: they have waited to be
    read, or the link is faster than its setting says.

    Attributes
    ----------
    bytes_per_s
        Capacity of the link.
    faster_until
        Until when the link counts as faster, in seconds.
    """

    bytes_per_s: float
    faster_until: float = -math.inf
    _credit: float = 0.0
    _excess: float = 0.0
    _updated_at: float = 0.0

    def carried(self, size: int, now: float) -> float:
        """Record received bytes; return how many of them the link can have carried."""
        elapsed, capacity = now - self._updated_at, self.bytes_per_s
        self._updated_at = now
        credit = min(self._credit + elapsed * capacity, BURST_SECONDS * capacity)
        carried = min(size, credit)
        self._credit = credit - carried
        excess = max(self._excess - elapsed * capacity * EXCESS_DECAY_RATE, 0.0)
        self._excess = excess + size - carried
        if self._excess > MAX_EXCESS_SECONDS * capacity:
            self._excess = 0.0
            self.faster_until = now + FASTER_SECONDS
        return carried


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
        self._arrivals = _Arrivals(bytes_per_s)
        self._clock = clock

    def record_sent(self, size: int) -> None:
        """Record bytes that were written to a socket."""
        self._sending.record(size, self._clock())

    def record_received(self, size: int) -> None:
        """Record bytes that were received."""
        now = self._clock()
        self._receiving.record(self._arrivals.carried(size, now), now)

    def use(self) -> float:
        """Return the utilization of the busier direction; 1.0 is the full capacity."""
        now = self._clock()
        if now < self._arrivals.faster_until:
            return 0.0
        return max(
            self._sending.utilization(now),
            self._receiving.utilization(now) * RECEIVING_SHARE,
        )

    def delay(self) -> float:
        """Return the seconds that a packet and its response wait for the link."""
        now = self._clock()
        if now < self._arrivals.faster_until:
            return 0.0
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
            "is_faster_than_set": now < self._arrivals.faster_until,
            "sent": self._sending.describe(now),
            "received": self._receiving.describe(now),
        }

    def own_delay(self) -> float:
        """Return the seconds that a response waits for this process; 0 if unknown."""
        return 0.0


# The default, for peers and tests whose link is never congested.
UNLIMITED_LINK = LinkMeter(1e6)
