"""The stored record of quarantined and suspected requests."""

from __future__ import annotations

import json

import attrs
from expression import Error, Ok, Result

from lynxchute.store.row_value import RowValue, RowValueError, whole_number

# Maximum number of quarantined requests. A row of the store holds 64 KB, and an entry
# takes 110 bytes. Each entry stands for three crashes, so a fleet runs out of upstreams
# before it reaches this limit.
MAX_QUARANTINED = 200
# Maximum number of suspects in the row, each up to 250 bytes with its crashes.
MAX_SUSPECTS_KEPT = 100


@attrs.frozen
class Suspect:
    """A request that may have caused upstream crashes, as it was open during them.

    Attributes
    ----------
    content
        Id of the request's content.
    ended
        Ids of the crashed upstream processes that it is blamed for, oldest first.
    alone
        Number of those crashes that no other run can have caused.
    since_ms, last_ms
        Times of the first and the last of those crashes, on the store's clock.
    times
        Number of times that the request has been quarantined.
    """

    content: str
    ended: tuple[str, ...] = ()
    alone: int = 0
    since_ms: int = 0
    last_ms: int = 0
    times: int = 0


@attrs.frozen
class QuarantineEntry:
    """A request that is temporarily not sent to any upstream.

    Attributes
    ----------
    since_ms
        Time of the first crash that it is blamed for, on the store's clock.
    until_ms
        Time at which the quarantine expires.
    times
        Number of times that the request has been quarantined, including this one.
    """

    content: str
    since_ms: int
    until_ms: int
    times: int = 1


@attrs.frozen
class QuarantineRecord:
    """The quarantined and suspected requests of the fleet, stored as one row."""

    quarantined: tuple[QuarantineEntry, ...] = ()
    suspects: tuple[Suspect, ...] = ()

    @property
    def contents(self) -> frozenset[str]:
        """Return the content ids of all entries."""
        quarantined = {item.content for item in self.quarantined}
        return frozenset(quarantined | {suspect.content for suspect in self.suspects})

    def encode(self) -> bytes:
        """Return the value of the row in the store."""
        fields = attrs.asdict(self, recurse=True)
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result[QuarantineRecord, str]:
        """Return the record in a row, or a description of what is wrong with it."""
        try:
            row = RowValue.decode(value)
            quarantined = [
                _decode_entry(RowValue(item))
                for item in _list_of_objects(row, "quarantined")
            ]
            suspects = [
                _decode_suspect(RowValue(item))
                for item in _list_of_objects(row, "suspects")
            ]
        except RowValueError as error:
            return Error(f"the quarantine record is unreadable: {error}")
        return Ok(cls(tuple(quarantined), tuple(suspects)))


def _list_of_objects(row: RowValue, name: str) -> list[dict[str, object]]:
    items = row.fields.get(name)
    if not isinstance(items, list):
        raise RowValueError(f"{name!r} is not a list")
    for item in items:
        if not isinstance(item, dict):
            raise RowValueError(f"{name!r} has an entry that is not an object")
    return items


def _decode_entry(row: RowValue) -> QuarantineEntry:
    return QuarantineEntry(
        content=row.text("content"),
        since_ms=row.count("since_ms"),
        until_ms=row.count("until_ms"),
        times=row.count("times", least=1),
    )


def _decode_suspect(row: RowValue) -> Suspect:
    ended = row.fields.get("ended")
    if not isinstance(ended, list) or not all(isinstance(name, str) for name in ended):
        raise RowValueError("'ended' is not a list of strings")
    return Suspect(
        content=row.text("content"),
        ended=tuple(ended),
        alone=row.count("alone"),
        since_ms=row.count("since_ms"),
        last_ms=row.count("last_ms"),
        times=whole_number(row.fields.get("times"), "times"),
    )
