"""Strict decoding of JSON that any program may have written."""

from __future__ import annotations

import json
from typing import Any

# Integers of up to 64 bits, signed or not. Larger ones cannot be converted to a float,
# or not be compared with those of others in a useful way.
MAX_INTEGER = (1 << 64) - 1
# Maximum number of objects and lists within each other.
MAX_DEPTH = 64
# Maximum characters of a problem that is logged, as it may quote the input.
MAX_PROBLEM_LENGTH = 300


class JsonValueError(ValueError):
    """Raised when JSON is invalid, or has values that this program cannot handle."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem[:MAX_PROBLEM_LENGTH])


def decode_json(value: bytes) -> Any:
    r"""Parse JSON and check its values.

    Raises
    ------
    JsonValueError
        When the value is not JSON, or one of its values is out of bounds.

    Examples
    --------
    >>> decode_json(b'{"zone": "a"}')
    {'zone': 'a'}
    >>> decode_json(b'{"zone": "\ud800"}')
    Traceback (most recent call last):
    ...
    lynxchute.store.json_value.JsonValueError: text cannot be encoded as UTF-8
    """
    try:
        decoded = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise JsonValueError(f"invalid JSON: {_describe(error)}") from error
    check_json(decoded)
    return decoded


def check_json(decoded: Any) -> None:
    """Check the texts, integers and nesting of decoded JSON.

    Raises
    ------
    JsonValueError
        When a text cannot be encoded as UTF-8, an integer has more than 64 bits, or
        values are nested too deeply.
    """
    level = [decoded]
    for _ in range(MAX_DEPTH):
        nested: list[Any] = []
        for value in level:
            _check_scalar(value)
            if isinstance(value, dict):
                nested.extend(value)
                nested.extend(value.values())
            elif isinstance(value, list):
                nested.extend(value)
        if not nested:
            return
        level = nested
    raise JsonValueError(f"values are nested more than {MAX_DEPTH} deep")


def is_encodable(text: str) -> bool:
    """Return whether a text can be encoded as UTF-8: it has no lone surrogates."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _check_scalar(value: Any) -> None:
    if isinstance(value, str):
        if not is_encodable(value):
            raise JsonValueError("text cannot be encoded as UTF-8")
    elif isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise JsonValueError("an integer has more than 64 bits")


def _describe(error: Exception) -> str:
    """Return an error's class and position, without the input that it may quote."""
    if isinstance(error, json.JSONDecodeError):
        return f"{error.msg} at {error.pos}"
    return type(error).__name__
