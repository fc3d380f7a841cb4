"""Values as JSON in the bytes that go over the wire."""

from __future__ import annotations

import json
from typing import Any

# Kept, since `json.dumps` makes another one for each value.
_encode = json.JSONEncoder(separators=(",", ":")).encode


def encode_json(value: Any) -> bytes:
    """Return a value as JSON without spaces.

    Examples
    --------
    >>> encode_json({"a": [1, 2]})
    b'{"a":[1,2]}'
    """
    return _encode(value).encode()
