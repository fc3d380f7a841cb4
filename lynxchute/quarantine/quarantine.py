"""The quarantined requests that a router refuses to send to upstreams."""

from __future__ import annotations

from collections.abc import Iterable

from lynxchute.quarantine.prompt import PromptParts
from lynxchute.quarantine.record import MAX_QUARANTINED, QuarantineEntry

# Milliseconds for which an entry reported by a router is kept while the row in the
# store lacks it. The judging router normally writes the row within milliseconds, or
# withdraws the entry.
UNCONFIRMED_MS = 30_000


class Quarantine:
    """The quarantined requests known to this router.

    The row in the store is authoritative. Entries reported by other routers count until
    the row contains them.

    Attributes
    ----------
    by_content
        Entries by content id; expired ones are removed on lookup.
    dropped
        Number of entries that were dropped for lack of room.
    part_entries
        Entries of prompt parts.

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
        self.part_entries: tuple[QuarantineEntry, ...] = ()
        self._reported_at_ms_by_content: dict[str, int] = {}

    def find(self, content: str, now_ms: int) -> QuarantineEntry | None:
        """Return the quarantine entry of a request; None if it is not quarantined."""
        found = self.by_content.get(content)
        if found is None:
            return None
        if now_ms >= found.until_ms:
            self._discard(content)
            return None
        return found

    def expire_parts(self, now_ms: int) -> None:
        """Remove entries of prompt parts that are no longer needed."""
        for entry in self.part_entries:
            if now_ms >= entry.removed_ms:
                self._discard(entry.content)

    def find_parts(self, prompt: PromptParts) -> QuarantineEntry | None:
        """Return the entry that refuses requests with these parts for the longest.

        It may have expired; then one router tries single requests.
        """
        matching = [entry for entry in self.part_entries if entry.matches(prompt)]
        return max(matching, key=lambda entry: entry.until_ms, default=None)

    def replace(self, quarantined: Iterable[QuarantineEntry], now_ms: int) -> list[str]:
        """Replace the entries with those in the store; return the new content ids."""
        stored = {item.content: item for item in quarantined}
        for content in list(self.by_content):
            reported_ms = self._reported_at_ms_by_content.get(content, -UNCONFIRMED_MS)
            if content not in stored and now_ms - reported_ms >= UNCONFIRMED_MS:
                self._discard(content)
        for content in stored:
            self._reported_at_ms_by_content.pop(content, None)
        return self._add_all(stored.values())

    def add(self, quarantined: Iterable[QuarantineEntry], now_ms: int) -> list[str]:
        """Add entries reported by a router; return the new content ids."""
        items = list(quarantined)
        for item in items:
            # An entry that is already known from the store is removed with its row.
            if item.content not in self.by_content:
                self._reported_at_ms_by_content[item.content] = now_ms
        return self._add_all(items)

    def unconfirmed(self) -> tuple[QuarantineEntry, ...]:
        """Return the reported entries that are not in the store yet."""
        return tuple(
            self.by_content[content] for content in self._reported_at_ms_by_content
        )

    def clear(self, contents: Iterable[str]) -> None:
        """Release requests from quarantine."""
        for content in contents:
            self._discard(content)

    def _add_all(self, items: Iterable[QuarantineEntry]) -> list[str]:
        new = []
        for item in items:
            if item.content not in self.by_content:
                new.append(item.content)
            known = self.by_content.get(item.content, item)
            # A row may be older than what the judge has sent.
            is_older = item.parts and known.until_ms > item.until_ms
            self.by_content[item.content] = known if is_older else item
        while len(self.by_content) > MAX_QUARANTINED:
            soonest = min(self.by_content.values(), key=lambda item: item.until_ms)
            self._discard(soonest.content)
            self.dropped += 1
        self._index_parts()
        return new

    def _discard(self, content: str) -> None:
        self.by_content.pop(content, None)
        self._reported_at_ms_by_content.pop(content, None)
        self._index_parts()

    def _index_parts(self) -> None:
        entries = self.by_content.values()
        self.part_entries = tuple(entry for entry in entries if entry.parts)
