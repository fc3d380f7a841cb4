"""Monotonic clock for leases, deadlines and timeouts."""

from __future__ import annotations

import time

# CLOCK_BOOTTIME is monotonic and also advances while the VM is suspended, as time does
# for callers, upstreams, the store and the other routers. A suspension therefore has
# the same effect on leases and deadlines as a process that hangs.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return seconds on a monotonic clock that also runs during a suspension.

    Examples
    --------
    >>> before = steady_seconds()
    >>> steady_seconds() >= before
    True
    """
    return time.clock_gettime(_CLOCK)
