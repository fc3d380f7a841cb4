"""Read the JSON object in a row, whoever has written it."""

from __future__ import annotations

import json
import math
from typing import Any

import attrs


class RowValueError(ValueError):
    """Report a row whose value is not of the shape that its table has."""


_REQUIRED: Any = object()


@attrs.frozen
class RowValue:
    """The JSON object that is a row's value.

    Fields are taken by type, never converted: a row may come from another writer,
    and what it says by mistake must not be believed by half.

    Examples
    --------
    >>> value = RowValue.decode(b'{"zone": "a", "slots": 64}')
    >>> value.text("zone"), value.count("slots"), value.count("open", default=0)
    ('a', 64, 0)
    """

    fields: dict[str, Any]

    @classmethod
    def decode(cls, value: bytes) -> RowValue:
        """Return the object in a row.

        Raises
        ------
        ValueUnreadable
            Where there is none.
        """
        try:
            fields = json.loads(value)
        except (ValueError, RecursionError) as error:
            raise RowValueError(f"no JSON: {error!r}") from error
        if not isinstance(fields, dict):
            raise RowValueError("no JSON object")
        return cls(fields)

    def text(self, name: str) -> str:
        """Return a text that is not empty."""
        value = self.fields.get(name)
        if not isinstance(value, str) or not value:
            raise RowValueError(f"{name!r} is no text")
        return value

    def flag(self, name: str, *, default: bool) -> bool:
        """Return a truth value."""
        value = self.fields.get(name, default)
        if not isinstance(value, bool):
            raise RowValueError(f"{name!r} is neither true nor false")
        return value

    def count(self, name: str, *, default: Any = _REQUIRED, least: int = 0) -> Any:
        """Return a whole number, or the default where there is none."""
        value = self.fields.get(name)
        if value is None and default is not _REQUIRED:
            return default
        return whole_number(value, name, least=least)

    def number(self, name: str) -> float:
        """Return a finite number that is not negative."""
        value = self.fields.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise RowValueError(f"{name!r} is no number")
        try:
            found = float(value)
        except OverflowError as error:
            raise RowValueError(f"{name!r} is too large") from error
        if not math.isfinite(found) or found < 0:
            raise RowValueError(f"{name!r} is {value}")
        return found

    def mapping(self, name: str) -> dict[str, Any]:
        """Return an object within the object."""
        value = self.fields.get(name)
        if not isinstance(value, dict):
            raise RowValueError(f"{name!r} is no object")
        return value


def whole_number(value: Any, name: str, *, least: int = 0) -> int:
    """Return a value that must be a whole number, neither text nor truth value."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise RowValueError(f"{name!r} is no whole number")
    if value < least:
        raise RowValueError(f"{name!r} is {value}")
    return value
