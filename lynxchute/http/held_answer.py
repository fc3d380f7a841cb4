"""Tracks the unread part of the responses on one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.overload.memory_guard import AnswerBuffer, MemoryGuard


class TransportBuffer(AnswerBuffer):
    """The write buffer of a connection's transport, bounded by a memory guard.

    Parameters
    ----------
    transport
        The transport of the connection.
    guard
        Limits the memory of the buffers of all connections.
    clock
        The clock of the event loop, in seconds.

    Attributes
    ----------
    account
        The client account of the responses; empty if unknown.
    is_cut
        Whether the guard has reset the connection; nothing more can be written.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        guard: MemoryGuard,
        clock: Callable[[], float],
    ) -> None:
        self.account = ""
        self.is_cut = False
        self._transport = transport
        self._guard = guard
        self._clock = clock
        self._written = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are buffered for the caller."""
        return self._transport.get_write_buffer_size()

    @property
    def read_bytes(self) -> int:
        """Return the bytes that the caller has read since it connected."""
        return self._written - self.held_bytes

    @property
    def has_room(self) -> bool:
        """Return whether more bytes may be buffered for this connection."""
        return self._guard.has_room(self)

    def cut(self) -> None:
        """Reset the connection, so that the response cannot be taken for complete."""
        self.is_cut = True
        self._transport.abort()

    def record_written(self, size: int) -> None:
        """Record that bytes were written to the transport."""
        self._written += size
        self._guard.update(self, self._clock())

    def stop_tracking(self) -> None:
        """Stop tracking the connection, which is closed."""
        self._guard.drop(self)
