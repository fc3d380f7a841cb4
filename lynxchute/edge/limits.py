"""Limits on the requests and connections of callers."""

from __future__ import annotations

from lynxchute.config import Configuration
from lynxchute.http import ServerLimits
from lynxchute.overload.memory_guard import BufferBounds

# Fraction of the process's memory for buffered request bodies.
BODY_BUFFER_SHARE = 0.15
# Fraction of the process's memory for responses that slow callers have not read yet. A
# request body may be held twice while its upstream reads slowly, so 2 * 0.15 + 0.15 =
# 0.45 of the memory is buffers, and about half is left to the process.
ANSWER_BUFFER_SHARE = 0.15
# Timeouts in seconds until the first configuration is known.
DEFAULT_HEAD_TIMEOUT = 3.0
DEFAULT_IDLE_TIMEOUT = 15.0


def answer_buffer_bounds(memory_mb: float) -> BufferBounds:
    """Return the bounds on responses buffered for slow callers.

    Parameters
    ----------
    memory_mb
        Memory of the process, in MB.
    """
    return BufferBounds.of_total(int(memory_mb * 1e6 * ANSWER_BUFFER_SHARE))


def caller_limits(
    configuration: Configuration | None, memory_mb: float
) -> ServerLimits:
    """Return the limits for callers under a configuration.

    Parameters
    ----------
    configuration
        The version in effect, or None before the first one.
    memory_mb
        Memory of the process, in MB.
    """
    if configuration is None:
        return ServerLimits(
            head_timeout=DEFAULT_HEAD_TIMEOUT, idle_timeout=DEFAULT_IDLE_TIMEOUT
        )
    limits = configuration.limits
    return ServerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_buffered_bytes=int(memory_mb * 1e6 * BODY_BUFFER_SHARE),
        head_timeout=limits.header_timeout,
        body_timeout=limits.header_timeout,
        idle_timeout=limits.idle_timeout,
    )
