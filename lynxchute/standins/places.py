"""The places of a stand-in upstream, and the rejections that a brittle one survives."""

from __future__ import annotations

import asyncio
from collections import deque

WINDOW_SECONDS = 1.0


class Places:
    """Requests that an upstream runs and lets wait; further ones are rejected.

    Parameters
    ----------
    slots
        Requests that run at a time.
    room
        Requests that wait at most.

    Attributes
    ----------
    max_rejections
        Rejections a second that the upstream survives while it is brittle; None while
        it is not.
    brittle_room
        Requests that wait at most once it has been brittle for `notice_seconds`.
    rejected
        Requests that were rejected so far.
    """

    def __init__(self, slots: int, room: int) -> None:
        self.slots = slots
        self.room = room
        self.max_rejections: int | None = None
        self.brittle_room = 3
        self.notice_seconds = 3.0
        self.rejected = 0
        self._brittle_at = 0.0
        self._inside = 0
        self._free = asyncio.Semaphore(slots)
        self._rejected_at: deque[float] = deque()

    def become_brittle(self, max_rejections: int | None) -> None:
        """Begin to be brittle, or end it with None."""
        self.max_rejections = max_rejections
        self._brittle_at = asyncio.get_running_loop().time()

    def admit(self) -> bool:
        """Return whether a request has a place, and count it."""
        now = asyncio.get_running_loop().time()
        room = self.room
        if self._has_less_room(now):
            room = self.brittle_room
        if self._inside >= self.slots + room:
            self.rejected += 1
            self._rejected_at.append(now)
            return False
        self._inside += 1
        return True

    def falls(self) -> bool:
        """Return whether the last rejection was one too many."""
        now = asyncio.get_running_loop().time()
        while self._rejected_at and now - self._rejected_at[0] >= WINDOW_SECONDS:
            self._rejected_at.popleft()
        if self.max_rejections is None or not self._has_less_room(now):
            return False
        return len(self._rejected_at) > self.max_rejections

    async def begin(self) -> None:
        """Wait for a slot."""
        await self._free.acquire()

    def end(self, *, has_begun: bool) -> None:
        """Leave the place of an admitted request."""
        self._inside -= 1
        if has_begun:
            self._free.release()

    def _has_less_room(self, now: float) -> bool:
        if self.max_rejections is None:
            return False
        return now - self._brittle_at >= self.notice_seconds
