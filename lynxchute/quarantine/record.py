"""What the fleet keeps of requests that ended upstreams."""

from __future__ import annotations

import json

import attrs
from expression import Error, Ok, Result

from lynxchute.store.row_value import RowValue, ValueUnreadable, whole

# Requests in quarantine at most; a row of the store holds 64 KB, one of these takes 110
# bytes. Each has ended three upstreams, so that a fleet without any left comes first.
MAX_QUARANTINED = 200
# Suspects in the row at most, with their upstreams up to 250 bytes each.
MAX_SUSPECTS_KEPT = 100


@attrs.frozen
class Suspect:
    """A request that was open when upstreams ended, and may be why.

    Attributes
    ----------
    content
        Names what it asks for.
    ended
        The upstream processes that it is blamed for, oldest first.
    alone
        How many of them had no other run that may have ended them.
    since_ms, last_ms
        When the first and the last of them ended, on the store's clock.
    times
        How often it has been in quarantine.
    """

    content: str
    ended: tuple[str, ...] = ()
    alone: int = 0
    since_ms: int = 0
    last_ms: int = 0
    times: int = 0


@attrs.frozen
class QuarantineEntry:
    """A request that is sent to no upstream for a while.

    Attributes
    ----------
    since_ms
        When the first upstream ended under it, on the store's clock.
    until_ms
        When it is taken again.
    times
        How often it has been in quarantine, with this one.
    """

    content: str
    since_ms: int
    until_ms: int
    times: int = 1


@attrs.frozen
class QuarantineRecord:
    """The fleet's knowledge, as it stands in a row of the store."""

    quarantined: tuple[QuarantineEntry, ...] = ()
    suspects: tuple[Suspect, ...] = ()

    @property
    def contents(self) -> frozenset[str]:
        """Return the requests that it names."""
        quarantined = {item.content for item in self.quarantined}
        return frozenset(quarantined | {suspect.content for suspect in self.suspects})

    def encode(self) -> bytes:
        """Return the row's value."""
        fields = attrs.asdict(self, recurse=True)
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result[QuarantineRecord, str]:
        """Return the record of a row, or what is wrong with the row."""
        try:
            row = RowValue.decode(value)
            quarantined = [
                _quarantined(RowValue(item)) for item in _items(row, "quarantined")
            ]
            suspects = [_suspect(RowValue(item)) for item in _items(row, "suspects")]
        except ValueUnreadable as error:
            return Error(f"the record of quarantined requests cannot be read: {error}")
        return Ok(cls(tuple(quarantined), tuple(suspects)))


def _items(row: RowValue, name: str) -> list[dict[str, object]]:
    items = row.fields.get(name)
    if not isinstance(items, list):
        raise ValueUnreadable(f"{name!r} is no list")
    for item in items:
        if not isinstance(item, dict):
            raise ValueUnreadable(f"{name!r} has an entry that is no object")
    return items


def _quarantined(row: RowValue) -> QuarantineEntry:
    return QuarantineEntry(
        content=row.text("content"),
        since_ms=row.count("since_ms"),
        until_ms=row.count("until_ms"),
        times=row.count("times", least=1),
    )


def _suspect(row: RowValue) -> Suspect:
    ended = row.fields.get("ended")
    if not isinstance(ended, list) or not all(isinstance(name, str) for name in ended):
        raise ValueUnreadable("'ended' is no list of texts")
    return Suspect(
        content=row.text("content"),
        ended=tuple(ended),
        alone=row.count("alone"),
        since_ms=row.count("since_ms"),
        last_ms=row.count("last_ms"),
        times=whole(row.fields.get("times"), "times"),
    )
