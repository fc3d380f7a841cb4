"""Bounded memory of where streams began."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from lynxchute.upstreams.stream_origin import StreamOrigin

# About 5 MB of origins. Beyond that the oldest ones are dropped.
MAX_ORIGINS = 10_000


@attrs.frozen
class _Record:
    origin: StreamOrigin
    expires_at: float


class OriginMemory:
    """Remembers the origins of streams for as long as they may be resumed.

    Times are seconds on the steady clock.

    Parameters
    ----------
    max_origins
        Number of origins beyond which the oldest ones are dropped.

    Attributes
    ----------
    changes
        Counts the origins that were put in.

    Examples
    --------
    >>> memory = OriginMemory(max_origins=1)
    >>> memory.put("a", StreamOrigin("pool", "v1"), expires_at=10.0, now=0.0)
    >>> memory.put("b", StreamOrigin("pool", "v2"), expires_at=10.0, now=0.0)
    >>> memory.get("a", now=1.0), memory.get("b", now=11.0)
    (None, None)
    >>> memory.get("b", now=1.0).software_version
    'v2'
    """

    def __init__(self, max_origins: int = MAX_ORIGINS) -> None:
        self.changes = 0
        self._max_origins = max_origins
        self._records_by_key: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records_by_key)

    def put(
        self, key: str, origin: StreamOrigin, *, expires_at: float, now: float
    ) -> None:
        """Remember an origin; drop those that have expired or are too many."""
        self.changes += 1
        self._records_by_key.pop(key, None)
        self._records_by_key[key] = _Record(origin, expires_at)
        while self._records_by_key:
            oldest = next(iter(self._records_by_key.values()))
            is_full = len(self._records_by_key) > self._max_origins
            if not is_full and now < oldest.expires_at:
                return
            self._records_by_key.popitem(last=False)

    def get(self, key: str, now: float) -> StreamOrigin | None:
        """Return an origin, or None if it is not known."""
        record = self._records_by_key.get(key)
        if record is None or now >= record.expires_at:
            return None
        return record.origin

    def items(self, now: float) -> Iterator[tuple[str, StreamOrigin, float]]:
        """Yield key, origin and expiry time of all origins, oldest first."""
        for key, record in list(self._records_by_key.items()):
            if now < record.expires_at:
                yield key, record.origin, record.expires_at
