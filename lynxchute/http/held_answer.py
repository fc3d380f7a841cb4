"""What waits on one connection for a caller who reads slowly."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.overload.memory_guard import AnswerBuffer, MemoryGuard


class HeldAnswer(AnswerBuffer):
    """The unread part of a connection's answers, as its transport holds it.

    Parameters
    ----------
    transport
        The connection.
    guard
        Bounds what waits on all of them.
    clock
        Seconds on the loop's clock.

    Attributes
    ----------
    is_cut
        Whether the connection was reset; nothing more can be written.
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
        """Return what waits for the caller now, in bytes."""
        return self._transport.get_write_buffer_size()

    @property
    def read_bytes(self) -> int:
        """Return what the caller has taken since it connected, in bytes."""
        return self._written - self.held_bytes

    @property
    def has_room(self) -> bool:
        """Return whether more may wait here."""
        return self._guard.has_room(self)

    def cut(self) -> None:
        """Reset the connection: what was sent must not look whole."""
        self.is_cut = True
        self._transport.abort()

    def note_written(self, size: int) -> None:
        """Note that bytes were written for the caller."""
        self._written += size
        self._guard.update(self, self._clock())

    def end(self) -> None:
        """Note that the connection is gone."""
        self._guard.drop(self)
