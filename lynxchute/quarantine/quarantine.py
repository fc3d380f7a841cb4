"""The requests that this router sends to no upstream."""

from __future__ import annotations

from collections.abc import Iterable

from lynxchute.quarantine.record import MAX_QUARANTINED, QuarantineEntry

# Milliseconds for which what a router told counts beside a newer row of the store that
# does not have it: the router that judged writes it within some ms, or takes it back.
UNCONFIRMED_MS = 30_000


class Quarantine:
    """What is known here of the fleet's quarantined requests.

    The store's row decides; what another router told counts before it stands there.

    Attributes
    ----------
    by_content
        Those that have not been seen to lapse.
    dropped
        How many had no room.

    Examples
    --------
    >>> quarantine = Quarantine()
    >>> quarantine.add([QuarantineEntry("q", since_ms=0, until_ms=10)], 0)
    ['q']
    >>> quarantine.find("q", 9).until_ms, quarantine.find("q", 10)
    (10, None)
    """

    def __init__(self) -> None:
        self.by_content: dict[str, QuarantineEntry] = {}
        self.dropped = 0
        self._reported_at_ms_by_content: dict[str, int] = {}

    def find(self, content: str, now_ms: int) -> QuarantineEntry | None:
        """Return the quarantine that a request is in, if any."""
        found = self.by_content.get(content)
        if found is None:
            return None
        if now_ms >= found.until_ms:
            self._discard(content)
            return None
        return found

    def replace(self, quarantined: Iterable[QuarantineEntry], now_ms: int) -> list[str]:
        """Take what stands in the store; return the contents that are new."""
        stored = {item.content: item for item in quarantined}
        for content in list(self.by_content):
            reported_ms = self._reported_at_ms_by_content.get(content, -UNCONFIRMED_MS)
            if content not in stored and now_ms - reported_ms >= UNCONFIRMED_MS:
                self._discard(content)
        for content in stored:
            self._reported_at_ms_by_content.pop(content, None)
        return self._add_all(stored.values())

    def add(self, quarantined: Iterable[QuarantineEntry], now_ms: int) -> list[str]:
        """Take what a router tells; return the contents that are new."""
        items = list(quarantined)
        for item in items:
            # What stands in the store already goes with its row.
            if item.content not in self.by_content:
                self._reported_at_ms_by_content[item.content] = now_ms
        return self._add_all(items)

    def unconfirmed(self) -> tuple[QuarantineEntry, ...]:
        """Return what was told and does not stand in the store yet."""
        return tuple(
            self.by_content[content] for content in self._reported_at_ms_by_content
        )

    def clear(self, contents: Iterable[str]) -> None:
        """Take requests again."""
        for content in contents:
            self._discard(content)

    def _add_all(self, items: Iterable[QuarantineEntry]) -> list[str]:
        new = []
        for item in items:
            if item.content not in self.by_content:
                new.append(item.content)
            self.by_content[item.content] = item
        while len(self.by_content) > MAX_QUARANTINED:
            soonest = min(self.by_content.values(), key=lambda item: item.until_ms)
            self._discard(soonest.content)
            self.dropped += 1
        return new

    def _discard(self, content: str) -> None:
        self.by_content.pop(content, None)
        self._reported_at_ms_by_content.pop(content, None)
