"""The clock that leases, deadlines and timeouts go by."""

from __future__ import annotations

import time

# It is steady like the monotonic clock, and goes on while the VM is suspended: so do
# callers, upstreams, the store and the other routers, to whom everything here is dated.
# With it a suspension is what a process that stands still is anyway, to every decision.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return seconds on a steady clock that a suspension does not stop.

    Examples
    --------
    >>> before = steady_seconds()
    >>> steady_seconds() >= before
    True
    """
    return time.clock_gettime(_CLOCK)
