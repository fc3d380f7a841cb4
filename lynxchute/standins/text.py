"""Deterministic answers of the stand-in engine, derived from the request.

Tests derive the same answer independently, to detect wrong or partial ones.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

MIN_TOKENS = 8
LENGTH_SPREAD = 56
TOKENS_PER_MESSAGE = 4
DEFAULT_MAX_TOKENS = 256


def answer_tokens(question: dict[str, Any]) -> list[str]:
    """Return the tokens of the answer to a chat completion request.

    Parameters
    ----------
    question
        The request's JSON, with ``model``, ``messages`` and optionally
        ``max_tokens``.

    Examples
    --------
    >>> question = {"model": "m", "messages": [], "max_tokens": 2}
    >>> len(answer_tokens(question))
    2
    """
    source = json.dumps([question["model"], question["messages"]], sort_keys=True)
    digest = hashlib.sha256(source.encode()).digest()
    length = MIN_TOKENS + int.from_bytes(digest[:4], "big") % LENGTH_SPREAD
    limit = question.get("max_tokens") or DEFAULT_MAX_TOKENS
    count = min(length, limit)
    prefix = digest[4:7].hex()
    return [f" {prefix}{index}" for index in range(count)]


def prompt_tokens(question: dict[str, Any]) -> int:
    """Return the number of prompt tokens that the stand-in engine counts."""
    count = 0
    for message in question["messages"]:
        count += TOKENS_PER_MESSAGE + len(str(message.get("content") or "").split())
    return count
