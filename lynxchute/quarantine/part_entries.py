"""The quarantine entries of prompt parts, and how long they last."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping

import attrs

from lynxchute.quarantine.prompt import PromptParts
from lynxchute.quarantine.record import MAX_PART_ENTRIES, QuarantineEntry

# Duration of the first quarantine of a part, factor for each further one, and limit.
PART_QUARANTINE_MS = 60_000
QUARANTINE_GROWTH = 4
MAX_PART_QUARANTINE_MS = 7_200_000
# Parts that are remembered after their entry has expired.
MAX_PAST = 200
ID_BYTES = 8


class PartEntries:
    """Quarantined prompt parts, as the judge knows them.

    Times are milliseconds on the store's clock.

    Attributes
    ----------
    by_id
        The entries.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, QuarantineEntry] = {}
        self._times_by_past_part: OrderedDict[tuple[str, str], int] = OrderedDict()

    def put(
        self, entry: QuarantineEntry, now_ms: int, *, times: int
    ) -> QuarantineEntry:
        """Add an entry that begins now, for the given number of times."""
        lasts_ms = PART_QUARANTINE_MS * QUARANTINE_GROWTH ** min(times - 1, 8)
        entry = attrs.evolve(
            entry,
            content=_entry_id(entry, entry.parts),
            until_ms=now_ms + min(lasts_ms, MAX_PART_QUARANTINE_MS),
            times=times,
        )
        self._add(entry)
        return entry

    def adopt(self, entry: QuarantineEntry) -> bool:
        """Add an entry of another judge; return whether it lasts longer."""
        known = self.by_id.get(entry.content)
        if known is not None and known.until_ms >= entry.until_ms:
            return False
        self._add(entry)
        return True

    def record_crash(self, prompt: PromptParts, now_ms: int) -> list[QuarantineEntry]:
        """Record that an upstream crashed under a request; return changed entries.

        An expired entry that refused the request is renewed, and an entry for one
        account holds for all once a request of another one crashes an upstream.
        """
        changed = []
        for entry in list(self.by_id.values()):
            if entry.matches(prompt):
                if now_ms >= entry.until_ms:
                    changed.append(self.put(entry, now_ms, times=entry.times + 1))
                continue
            for_all = attrs.evolve(entry, accounts=())
            if for_all.matches(prompt):
                self._add(for_all)
                changed.append(for_all)
        return changed

    def record_served(
        self,
        scope: str,
        version: str,
        served_ms_by_part: Mapping[str, int],
        now_ms: int,
    ) -> tuple[list[QuarantineEntry], list[QuarantineEntry]]:
        """Remove parts that were served; return the removed and the new entries."""
        removed, added = [], []
        for part in served_ms_by_part:
            self._times_by_past_part.pop((scope, part), None)
        for entry in list(self.by_id.values()):
            # A trial may run at another version than the one that crashed.
            is_trial = now_ms >= entry.until_ms
            if entry.scope != scope or (entry.version != version and not is_trial):
                continue
            since_ms = entry.until_ms if is_trial else entry.since_ms
            rest = tuple(
                part
                for part in entry.parts
                if served_ms_by_part.get(part, since_ms) <= since_ms
            )
            if rest == entry.parts:
                continue
            removed.append(entry)
            del self.by_id[entry.content]
            if rest:
                entry = attrs.evolve(entry, parts=rest, content=_entry_id(entry, rest))
                self._add(entry)
                added.append(entry)
        return removed, added

    def expire(self, now_ms: int) -> list[QuarantineEntry]:
        """Remove and return the entries whose trials are over, too."""
        removed = [item for item in self.by_id.values() if now_ms >= item.removed_ms]
        for entry in removed:
            del self.by_id[entry.content]
            for part in entry.parts:
                self._times_by_past_part[(entry.scope, part)] = entry.times
                self._times_by_past_part.move_to_end((entry.scope, part))
        while len(self._times_by_past_part) > MAX_PAST:
            self._times_by_past_part.popitem(last=False)
        return removed

    def refuses(self, prompt: PromptParts, now_ms: int) -> bool:
        """Return whether requests with these parts are refused."""
        return any(
            now_ms < entry.until_ms and entry.matches(prompt)
            for entry in self.by_id.values()
        )

    def known_parts(self, scope: str) -> set[str]:
        """Return the parts that are or were in quarantine."""
        known = {part for place, part in self._times_by_past_part if place == scope}
        for entry in self.by_id.values():
            if entry.scope == scope:
                known.update(entry.parts)
        return known

    def past_times(self, scope: str, part: str) -> int:
        """Return how often a part was in quarantine that is not any more."""
        return self._times_by_past_part.get((scope, part), 0)

    def _add(self, entry: QuarantineEntry) -> None:
        """Add an entry; if there are too many, drop the one that expires first."""
        others = [item for item in self.by_id.values() if item.content != entry.content]
        if len(others) >= MAX_PART_ENTRIES:
            soonest = min(others, key=lambda item: item.until_ms)
            del self.by_id[soonest.content]
        self.by_id[entry.content] = entry


def _entry_id(entry: QuarantineEntry, parts: Iterable[str]) -> str:
    name = "\n".join([entry.scope, entry.version, *sorted(parts)])
    digest = hashlib.blake2b(name.encode(), digest_size=ID_BYTES)
    return f"part-{digest.hexdigest()}"
