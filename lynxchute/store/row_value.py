"""Strict decoding of the JSON object in a row, which any program may have written."""

from __future__ import annotations

import math
from typing import Any

import attrs

from lynxchute.store.json_value import JsonValueError, decode_json

# Maximum characters of a text field. Longer texts would fill log lines, headers and the
# rows in which routers record them.
MAX_TEXT_LENGTH = 512


class RowValueError(JsonValueError):
    """Raised when a row's value does not match the schema of its table."""


_REQUIRED: Any = object()


@attrs.frozen
class RowValue:
    """Typed access to the JSON object in a row.

    Fields must have the expected type; nothing is converted. Other programs write
    rows too, and converting a mistaken value would accept a wrong one.

    Examples
    --------
    >>> value = RowValue.decode(b'{"zone": "a", "slots": 64}')
    >>> value.text("zone"), value.count("slots"), value.count("open", default=0)
    ('a', 64, 0)
    """

    fields: dict[str, Any]

    @classmethod
    def decode(cls, value: bytes) -> RowValue:
        """Parse the value of a row.

        Raises
        ------
        RowValueError
            When the value is not a JSON object, or one of its values is out of
            bounds.
        """
        try:
            fields = decode_json(value)
        except JsonValueError as error:
            raise RowValueError(str(error)) from error
        if not isinstance(fields, dict):
            raise RowValueError("value is not a JSON object")
        return cls(fields)

    def text(self, name: str) -> str:
        """Return a non-empty string field."""
        value = self.fields.get(name)
        if not isinstance(value, str) or not value:
            raise RowValueError(f"{name!r} is not a non-empty string")
        if len(value) > MAX_TEXT_LENGTH:
            raise RowValueError(f"{name!r} has {len(value)} characters")
        return value

    def flag(self, name: str, *, default: bool) -> bool:
        """Return a boolean field, or the default when it is missing."""
        value = self.fields.get(name, default)
        if not isinstance(value, bool):
            raise RowValueError(f"{name!r} is not a boolean")
        return value

    def count(self, name: str, *, default: Any = _REQUIRED, least: int = 0) -> Any:
        """Return an integer field, or the default when it is missing or null."""
        value = self.fields.get(name)
        if value is None and default is not _REQUIRED:
            return default
        return whole_number(value, name, least=least)

    def number(self, name: str) -> float:
        """Return a finite, non-negative number field."""
        value = self.fields.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise RowValueError(f"{name!r} is not a number")
        try:
            number = float(value)
        except OverflowError as error:
            raise RowValueError(f"{name!r} is too large") from error
        if not math.isfinite(number) or number < 0:
            raise RowValueError(f"{name!r} is negative or not finite: {value}")
        return number

    def mapping(self, name: str) -> dict[str, Any]:
        """Return a nested JSON object."""
        value = self.fields.get(name)
        if not isinstance(value, dict):
            raise RowValueError(f"{name!r} is not a JSON object")
        return value


def whole_number(value: Any, name: str, *, least: int = 0) -> int:
    """Return a value unchanged if it is an integer of at least `least`.

    Raises
    ------
    RowValueError
        When the value is smaller or of another type; booleans and strings are not
        accepted as integers.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise RowValueError(f"{name!r} is not an integer")
    if value < least:
        raise RowValueError(f"{name!r} is too small: {value}")
    return value
