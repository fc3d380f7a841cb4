"""Rendezvous hashing: every process ranks candidates in the same order.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", 1998.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

# Cached weights: enough for some dozens of keys over a hundred names, in about 1 MB.
WEIGHT_CACHE_SIZE = 8_192


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return names in their rendezvous order for a key, best candidate first.

    Examples
    --------
    >>> order = ranked("budget", ["a", "b", "c"])
    >>> [name for name in order if name != order[0]] == ranked(
    ...     "budget", set("abc") - {order[0]}
    ... )
    True
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
