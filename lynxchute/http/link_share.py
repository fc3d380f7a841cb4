"""Limits large answers to a share of the VM's link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

from lynxchute.clock import steady_seconds

# Share of the link's capacity that all large answers together may use. The rest is for
# answers of the usual size, which must not wait behind them.
LARGE_SHARE = 0.5
# An answer is large from as many bytes on, or as the link carries in as many seconds.
LARGE_BYTES = 262_144
LARGE_SECONDS = 0.25
# Seconds of the link's capacity that are written at once.
PIECE_SECONDS = 0.02
MIN_PIECE_BYTES = 4096


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
    large_bytes
        Bytes from which on an answer is large.

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
        self.large_bytes = min(LARGE_BYTES, round(bytes_per_s * LARGE_SECONDS))
        self._bytes_per_s = bytes_per_s * LARGE_SHARE
        self._piece_bytes = max(round(bytes_per_s * PIECE_SECONDS), MIN_PIECE_BYTES)
        self._clock = clock
        self._free_at = 0.0

    def reserve(self, size: int) -> float:
        """Return the seconds until a part of a large answer may be written."""
        now = self._clock()
        begins_at = max(self._free_at, now)
        self._free_at = begins_at + size / self._bytes_per_s
        return begins_at - now

    async def wait(self, size: int) -> None:
        """Wait until a part of a large answer may be written."""
        await asyncio.sleep(self.reserve(size))

    def pieces(self, data: bytes) -> Iterator[bytes]:
        """Yield parts of a large answer that may be written one after another."""
        for start in range(0, len(data), self._piece_bytes):
            yield data[start : start + self._piece_bytes]
