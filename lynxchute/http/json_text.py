"""JSON encoding of messages."""

from __future__ import annotations

import json
from typing import Any

# Reused, since `json.dumps` with these arguments creates an encoder for each call.
_encode = json.JSONEncoder(separators=(",", ":")).encode


def encode_json(value: Any) -> bytes:
    """Return a value as compact JSON in UTF-8.

    Examples
    --------
    >>> encode_json({"a": [1, 2]})
    b'{"a":[1,2]}'
    """
    return _encode(value).encode()
