"""What callers may send, and how long they may take."""

from __future__ import annotations

from lynxchute.config import Configuration
from lynxchute.http import ServerLimits
from lynxchute.overload.memory_guard import BufferBounds

# The part of the process's memory that bodies of requests may take.
BODY_SHARE = 0.15
# The part that answers may take while callers read them slowly. A body may be in memory
# twice while its upstream reads it slowly; with both, half is left to the process.
HELD_SHARE = 0.15
# Seconds before the first configuration says them.
FIRST_HEAD_TIMEOUT = 3.0
FIRST_IDLE_TIMEOUT = 15.0


def held_bounds(memory_mb: float) -> BufferBounds:
    """Return what may wait for callers who read slowly.

    Parameters
    ----------
    memory_mb
        Memory of the process, in MB.
    """
    return BufferBounds.of_total(int(memory_mb * 1e6 * HELD_SHARE))


def caller_limits(
    configuration: Configuration | None, memory_mb: float
) -> ServerLimits:
    """Return the limits that a configuration sets.

    Parameters
    ----------
    configuration
        The version in force; None where there is none yet.
    memory_mb
        Memory of the process, in MB.
    """
    if configuration is None:
        return ServerLimits(
            head_timeout=FIRST_HEAD_TIMEOUT, idle_timeout=FIRST_IDLE_TIMEOUT
        )
    limits = configuration.limits
    return ServerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_buffered_bytes=int(memory_mb * 1e6 * BODY_SHARE),
        head_timeout=limits.header_timeout,
        body_timeout=limits.header_timeout,
        idle_timeout=limits.idle_timeout,
    )
