"""Estimate which prompt parts an engine has in its prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from lynxchute.upstreams.generation import PromptPart


class PrefixCache:
    """Model the prefix cache of an engine with least-recently-used eviction.

    As in the engines, a part is usable only if all parts before it are cached as well.

    Parameters
    ----------
    capacity
        Tokens that the engine's memory holds for cached parts and running requests.

    Examples
    --------
    >>> cache = PrefixCache(capacity=100)
    >>> cache.record_prompt((PromptPart("a", 40), PromptPart("b", 20)))
    >>> cache.cached_tokens((PromptPart("a", 40), PromptPart("c", 9)))
    40
    >>> cache.cached_tokens((PromptPart("c", 9), PromptPart("b", 20)))
    0
    """

    def __init__(self, capacity: int) -> None:
        self.tokens = 0
        self._capacity = capacity
        self._tokens_by_id: OrderedDict[str, int] = OrderedDict()

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the number of cached tokens at the start of a prompt."""
        cached = 0
        for part in parts:
            if part.id not in self._tokens_by_id:
                return cached
            cached += part.tokens
        return cached

    def record_prompt(
        self, parts: Sequence[PromptPart], *, occupied_tokens: int = 0
    ) -> None:
        """Record that a prompt's parts were read or used.

        Parameters
        ----------
        occupied_tokens
            Tokens of the memory that running requests occupy.
        """
        # Earlier parts must not be evicted first, since later parts depend on them.
        for part in reversed(parts):
            if part.id not in self._tokens_by_id:
                self._tokens_by_id[part.id] = part.tokens
                self.tokens += part.tokens
            self._tokens_by_id.move_to_end(part.id)
        while self._tokens_by_id and self.tokens + occupied_tokens > self._capacity:
            _, tokens = self._tokens_by_id.popitem(last=False)
            self.tokens -= tokens

    def add_reported(self, parts: Iterable[PromptPart]) -> None:
        """Add parts that the engine reports as cached, as the least recently used."""
        for part in parts:
            if part.id in self._tokens_by_id:
                continue
            self._tokens_by_id[part.id] = part.tokens
            self._tokens_by_id.move_to_end(part.id, last=False)
            self.tokens += part.tokens
