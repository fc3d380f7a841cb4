"""Limits large answers to a share of the VM's link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

from lynxchute.clock import steady_seconds

# Share of the link's capacity that all large answers together may use. The rest is for
# answers of the usual size, which must not wait behind them.
LARGE_SHARE = 0.5
# Seconds of the link's capacity that are written at once.
PIECE_SECONDS = 0.02
MIN_PIECE_BYTES, MAX_PIECE_BYTES = 4096, 65_536
# An answer counts as large while it sends more than a burst, in seconds of the link's
# capacity, and then more than a share of the capacity. Streams of text stay below the
# minimum on the slowest links.
BURST_SECONDS = 0.01
MIN_BURST_BYTES, MAX_BURST_BYTES = 4096, 262_144
SMALL_SHARE = 0.005
MIN_SMALL_BYTES_PER_S = 16_384


class LinkShare:
    """Delays large answers so that all of them together leave room on the link.

    An answer may be of any length, and a faulty upstream may send one without end.

    Parameters
    ----------
    mbps
        Capacity of the link in each direction, in Mbit/s.
    clock
        Monotonic clock in seconds.

    Attributes
    ----------
    piece_bytes
        Bytes that should be written at once.

    Examples
    --------
    >>> share = LinkShare(8.0, lambda: 0.0)
    >>> share.reserve(500_000)
    0.0
    >>> share.reserve(100_000)
    1.0
    """

    def __init__(
        self, mbps: float, clock: Callable[[], float] = steady_seconds
    ) -> None:
        bytes_per_s = mbps * 1e6 / 8
        self.piece_bytes = _between(
            MIN_PIECE_BYTES, bytes_per_s * PIECE_SECONDS, MAX_PIECE_BYTES
        )
        self._burst_bytes = _between(
            MIN_BURST_BYTES, bytes_per_s * BURST_SECONDS, MAX_BURST_BYTES
        )
        self._small_bytes_per_s = max(bytes_per_s * SMALL_SHARE, MIN_SMALL_BYTES_PER_S)
        self._bytes_per_s = bytes_per_s * LARGE_SHARE
        self._clock = clock
        self._free_at = 0.0

    def answer_size(self) -> AnswerSize:
        """Return what tells whether an answer that begins now is large."""
        return AnswerSize(self._burst_bytes, self._small_bytes_per_s, self._clock)

    def reserve(self, size: int) -> float:
        """Return the seconds until a part of a large answer may be written."""
        now = self._clock()
        begins_at = max(self._free_at, now)
        self._free_at = begins_at + size / self._bytes_per_s
        return begins_at - now

    def backlog(self) -> float:
        """Return the seconds until the next part of a large answer may be written."""
        return max(self._free_at - self._clock(), 0.0)

    async def wait(self, size: int) -> None:
        """Wait until a part of a large answer may be written."""
        await asyncio.sleep(self.reserve(size))

    def pieces(self, data: bytes) -> Iterator[bytes]:
        """Yield parts of a large answer that may be written one after another."""
        for start in range(0, len(data), self.piece_bytes):
            yield data[start : start + self.piece_bytes]


class AnswerSize:
    """Tells which parts of an answer are those of a large one.

    A stream may last long and send little at a time; its length makes no answer large.

    Parameters
    ----------
    burst_bytes
        Bytes that a small answer may send at once.
    bytes_per_s
        Bytes a second at which a small answer may go on.
    clock
        Monotonic clock in seconds.

    Examples
    --------
    >>> size = AnswerSize(100, 10.0, lambda: 0.0)
    >>> [size.is_large(80), size.is_large(80)]
    [False, True]
    """

    def __init__(
        self, burst_bytes: int, bytes_per_s: float, clock: Callable[[], float]
    ) -> None:
        self._burst_bytes = burst_bytes
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._credit = float(burst_bytes)
        self._updated_at = clock()

    def is_large(self, size: int) -> bool:
        """Record a part; return whether it is more than a small answer may send."""
        now = self._clock()
        earned = (now - self._updated_at) * self._bytes_per_s
        self._updated_at = now
        self._credit = min(self._credit + earned, self._burst_bytes)
        if size > self._credit:
            return True
        self._credit -= size
        return False


def _between(least: int, size: float, most: int) -> int:
    return min(max(round(size), least), most)
