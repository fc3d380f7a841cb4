"""A guess at which parts of prompts an engine still keeps."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from lynxchute.upstreams.generation import PromptPart


class PrefixCache:
    """Remember the parts that an engine has read, least recently used first out.

    A part can be used only where all parts before it are kept too, as engines
    do it.

    Parameters
    ----------
    capacity
        Tokens that the engine's memory holds, for parts and running requests.

    Examples
    --------
    >>> cache = PrefixCache(capacity=100)
    >>> cache.use((PromptPart("a", 40), PromptPart("b", 20)))
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
        """Return how many tokens at the start of a prompt need no reading."""
        found = 0
        for part in parts:
            if part.id not in self._tokens_by_id:
                return found
            found += part.tokens
        return found

    def use(self, parts: Sequence[PromptPart], *, occupied: int = 0) -> None:
        """Note that a prompt's parts are read or used.

        Parameters
        ----------
        occupied
            Tokens of the memory that running requests take besides.
        """
        # A part is of no use without those before it, which must not go first.
        for part in reversed(parts):
            if part.id not in self._tokens_by_id:
                self._tokens_by_id[part.id] = part.tokens
                self.tokens += part.tokens
            self._tokens_by_id.move_to_end(part.id)
        while self._tokens_by_id and self.tokens + occupied > self._capacity:
            _, tokens = self._tokens_by_id.popitem(last=False)
            self.tokens -= tokens

    def learn(self, parts: Iterable[PromptPart]) -> None:
        """Take parts that the engine says it keeps, as the least recently used."""
        for part in parts:
            if part.id in self._tokens_by_id:
                continue
            self._tokens_by_id[part.id] = part.tokens
            self._tokens_by_id.move_to_end(part.id, last=False)
            self.tokens += part.tokens
