"""Bound the memory held by requests that have not been answered yet."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

import attrs

# Once the bound is exceeded, requests are dropped until the held bytes are down to this
# share of it, so that it is not exceeded again with each further read.
TARGET_SHARE = 0.9
# Requests that have been arriving for less than this, in seconds, are probably sound:
# they are not dropped to make room for others.
SOUND_SECONDS = 1.0
# Requests that hold less than this share of the mean are not dropped, as little memory
# would be freed.
MIN_SHARE_OF_MEAN = 0.5


class InboundBuffer(ABC):
    """What one connection holds of the requests that it has received."""

    @abstractmethod
    def drop_inbound(self) -> None:
        """Release the bytes of requests that are incomplete or not parsed yet."""


@attrs.define(eq=False)
class _HeldBytes:
    """The bytes that one buffer holds.

    Attributes
    ----------
    droppable
        Bytes of requests that are incomplete or not parsed yet.
    served
        Bytes of a request that is being served.
    since
        When the droppable bytes began to arrive, in seconds.
    """

    droppable: int = 0
    served: int = 0
    since: float = 0.0

    @property
    def total(self) -> int:
        return self.droppable + self.served


class InboundMemory:
    """Keep the memory of received requests of all connections within one bound.

    Callers may send bodies that stop short of their end, or requests ahead, on any
    number of connections. Room for others is made at their expense: what has been
    arriving for longest is dropped first, unless it holds little. Where that is not
    enough, what arrives last is dropped. Requests that are being served are kept.

    Parameters
    ----------
    bound
        Returns the most bytes that may be held.
    on_drop
        Called with the bytes that were dropped from a connection, and the seconds for
        which they had been arriving.

    Attributes
    ----------
    held
        Total bytes held.
    """

    def __init__(
        self,
        bound: Callable[[], int],
        on_drop: Callable[[int, float], None] = lambda size, seconds: None,
    ) -> None:
        self.held = 0
        self._bound = bound
        self._on_drop = on_drop
        self._held_by_buffer: dict[InboundBuffer, _HeldBytes] = {}

    def update(
        self, buffer: InboundBuffer, *, droppable: int, served: int, now: float
    ) -> None:
        """Update what a buffer holds; drop requests if the bound is exceeded.

        Parameters
        ----------
        droppable
            Bytes of requests that are incomplete or not parsed yet.
        served
            Bytes of a request that is being served.
        now
            Seconds on the steady clock.
        """
        held = self._held_by_buffer.get(buffer)
        if not droppable and not served:
            if held is not None:
                self.discard(buffer)
            return
        if held is None:
            held = self._held_by_buffer[buffer] = _HeldBytes()
        if droppable and not held.droppable:
            held.since = now
        self.held += droppable + served - held.total
        held.droppable, held.served = droppable, served
        bound = self._bound()
        if self.held <= bound:
            return
        self._drop_down_to(int(bound * TARGET_SHARE), now)
        if self.held <= bound:
            return
        if held.droppable:
            self._drop(buffer, held, now)
        else:
            self._drop_down_to(bound, now, min_seconds=0.0)

    def discard(self, buffer: InboundBuffer) -> None:
        """Stop counting a buffer, which holds nothing any more."""
        held = self._held_by_buffer.pop(buffer, None)
        if held is not None:
            self.held -= held.total

    def make_room(self, buffer: InboundBuffer, size: int, now: float) -> bool:
        """Drop requests of others so that a buffer may hold this many more bytes.

        Returns
        -------
        bool
            Whether they may be held now.
        """
        bound = self._bound()
        if size > bound:
            return False
        if self.held + size > bound:
            self._drop_down_to(bound - size, now, keep=buffer)
        return self.held + size <= bound

    def _drop_down_to(
        self,
        target: int,
        now: float,
        *,
        min_seconds: float = SOUND_SECONDS,
        keep: InboundBuffer | None = None,
    ) -> None:
        """Drop the oldest of the larger incomplete requests until the target is met."""
        candidates = {
            buffer: held
            for buffer, held in self._held_by_buffer.items()
            if held.droppable and buffer is not keep and now - held.since >= min_seconds
        }
        while self.held > target and candidates:
            mean = sum(held.droppable for held in candidates.values()) / len(candidates)
            large = [
                buffer
                for buffer, held in candidates.items()
                if held.droppable >= mean * MIN_SHARE_OF_MEAN
            ]
            for buffer in sorted(large, key=lambda found: candidates[found].since):
                if self.held <= target:
                    return
                self._drop(buffer, candidates.pop(buffer), now)

    def _drop(self, buffer: InboundBuffer, held: _HeldBytes, now: float) -> None:
        size, seconds = held.droppable, now - held.since
        self.held -= size
        held.droppable = 0
        buffer.drop_inbound()
        self._on_drop(size, seconds)
