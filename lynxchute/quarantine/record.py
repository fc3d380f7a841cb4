"""The stored record of quarantined and suspected requests."""

from __future__ import annotations

import json

import attrs
from expression import Error, Ok, Result

from lynxchute.quarantine.prompt import PromptParts
from lynxchute.store.row_value import RowValue, RowValueError, whole_number

# Maximum number of quarantined requests. A row of the store holds 64 KB, and an entry
# takes 110 bytes. Each entry stands for three crashes, so a fleet runs out of upstreams
# before it reaches this limit.
MAX_QUARANTINED = 200
# Maximum number of suspects in the row, each up to 250 bytes with its crashes.
MAX_SUSPECTS_KEPT = 100
# Maximum number of entries of prompt parts, and of parts in each.
MAX_PART_ENTRIES = 16
MAX_PARTS_TOGETHER = 16
# Milliseconds for which single requests with quarantined parts are tried.
PART_TRIAL_MS = 60_000
PART_FIELDS = frozenset({"parts", "scope", "version", "accounts"})


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
    """A request, or a set of prompt parts, that is temporarily not sent to upstreams.

    Attributes
    ----------
    content
        Id of the request's content; for parts, an id of this entry.
    since_ms
        Time of the first crash that it is blamed for, on the store's clock.
    until_ms
        Time at which the quarantine expires.
    times
        Number of times that the request has been quarantined, including this one.
    parts
        Prompt parts; requests that have all of them are refused. Empty for a request.
    scope, version
        Service and model that the parts crash, and the software version that did.
    accounts
        Client accounts whose requests are refused; empty for all.
    """

    content: str
    since_ms: int
    until_ms: int
    times: int = 1
    parts: tuple[str, ...] = ()
    scope: str = ""
    version: str = ""
    accounts: tuple[str, ...] = ()

    @property
    def removed_ms(self) -> int:
        """Return when the entry is removed, on the store's clock.

        An entry of parts is kept for a while after it has expired, in which one router
        tries single requests.
        """
        return self.until_ms + (PART_TRIAL_MS if self.parts else 0)

    def matches(self, prompt: PromptParts) -> bool:
        """Return whether a request with these prompt parts is refused."""
        if not self.parts or prompt.scope != self.scope:
            return False
        if self.accounts and prompt.account not in self.accounts:
            return False
        return all(part in prompt.ids for part in self.parts)


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
        fields = attrs.asdict(self, recurse=True, filter=_is_written)
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


def _is_written(field: attrs.Attribute[object], value: object) -> bool:
    """Return whether a field is written: entries of requests have no parts."""
    return field.name not in PART_FIELDS or bool(value)


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
        parts=_texts(row, "parts"),
        scope=row.text("scope") if "scope" in row.fields else "",
        version=row.text("version") if "version" in row.fields else "",
        accounts=_texts(row, "accounts"),
    )


def _texts(row: RowValue, name: str, *, is_required: bool = False) -> tuple[str, ...]:
    """Return a list of strings."""
    texts = row.fields.get(name, None if is_required else [])
    if not isinstance(texts, list) or not all(isinstance(text, str) for text in texts):
        raise RowValueError(f"{name!r} is not a list of strings")
    return tuple(texts)


def _decode_suspect(row: RowValue) -> Suspect:
    return Suspect(
        content=row.text("content"),
        ended=_texts(row, "ended", is_required=True),
        alone=row.count("alone"),
        since_ms=row.count("since_ms"),
        last_ms=row.count("last_ms"),
        times=whole_number(row.fields.get("times"), "times"),
    )
