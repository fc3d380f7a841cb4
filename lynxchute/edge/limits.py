"""Limits on the requests and connections of callers."""

from __future__ import annotations

import attrs

from lynxchute.config import Configuration
from lynxchute.http import ServerLimits
from lynxchute.overload.memory_guard import BufferBounds

# Fraction of the process's memory for requests that are being received or served, on
# all of its ports together.
REQUEST_BUFFER_SHARE = 0.15
# Fraction of the process's memory for responses that slow callers have not read yet. A
# request body may be held twice while its upstream reads slowly, so 2 * 0.15 + 0.15 =
# 0.45 of the memory is buffers, and about half is left to the process.
ANSWER_BUFFER_SHARE = 0.15
# Fraction of the process's memory for answers to readiness checks and to requests for
# metrics that have not been read yet.
INTERNAL_ANSWER_SHARE = 0.05
# Bytes of a body that is sent with a readiness check or a request for metrics, though
# neither has a use for it.
MAX_UNUSED_BODY_BYTES = 4096
# Bytes of an accepted connection that has sent nothing: its objects, and what the
# kernel receives for it.
CONNECTION_BYTES = 36_000
# Fraction of the process's memory for accepted connections.
CONNECTION_MEMORY_SHARE = 0.25
# Descriptors that the platform keeps for files, and the fraction of the others that
# accepted connections may take. Connections to upstreams and routers need the rest.
FILE_DESCRIPTORS = 200
CONNECTION_DESCRIPTOR_SHARE = 0.7
# Timeouts in seconds until the first configuration is known.
DEFAULT_HEAD_TIMEOUT = 3.0
DEFAULT_IDLE_TIMEOUT = 15.0


def request_buffer_bound(memory_mb: float) -> int:
    """Return the most bytes of requests that a process may hold.

    Parameters
    ----------
    memory_mb
        Memory of the process, in MB.
    """
    return int(memory_mb * 1e6 * REQUEST_BUFFER_SHARE)


def max_connections(memory_mb: float, max_open_files: float) -> int:
    """Return the number of accepted connections that a process may have.

    Parameters
    ----------
    memory_mb
        Memory of the process, in MB.
    max_open_files
        Descriptors that the process may have open.

    Examples
    --------
    >>> max_connections(150.0, 4100)
    1041
    >>> max_connections(552.0, 4100)
    2730
    """
    by_memory = memory_mb * 1e6 * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES
    descriptors = max(max_open_files - FILE_DESCRIPTORS, 0)
    return max(int(min(by_memory, descriptors * CONNECTION_DESCRIPTOR_SHARE)), 1)


def internal_limits() -> ServerLimits:
    """Return the limits for readiness checks and requests for metrics."""
    return ServerLimits(
        max_body_bytes=MAX_UNUSED_BODY_BYTES,
        head_timeout=DEFAULT_HEAD_TIMEOUT,
        body_timeout=DEFAULT_HEAD_TIMEOUT,
    )


def internal_answer_bounds(memory_mb: float) -> BufferBounds:
    """Return the bounds on unread answers to readiness checks and for metrics.

    Parameters
    ----------
    memory_mb
        Memory of the process, in MB.
    """
    total = int(memory_mb * 1e6 * INTERNAL_ANSWER_SHARE)
    # A state dump is one large answer, and its reader has no account.
    return attrs.evolve(BufferBounds.of_total(total), by_account=total)


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
            max_buffered_bytes=request_buffer_bound(memory_mb),
            head_timeout=DEFAULT_HEAD_TIMEOUT,
            idle_timeout=DEFAULT_IDLE_TIMEOUT,
        )
    limits = configuration.limits
    return ServerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_buffered_bytes=request_buffer_bound(memory_mb),
        head_timeout=limits.header_timeout,
        body_timeout=limits.header_timeout,
        idle_timeout=limits.idle_timeout,
    )
