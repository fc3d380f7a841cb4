"""A guess at which parts of prompts an engine still keeps."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from lynxchute.upstreams.generation import PromptPart


class PrefixCache:
    """Remember the parts that an engine has read, least recently used first out.

    A part can be used only where all parts before it are kept too, as engines
    do it; a chain of parts is therefore remembered by the path that leads to
    each of them.

    Parameters
    ----------
    capacity
        Tokens that the engine's memory holds, for parts and running requests.

    Examples
    --------
    >>> cache = PrefixCache(capacity=100)
    >>> chain = (PromptPart("a", 40), PromptPart("b", 20))
    >>> cache.use(chain)
    >>> cache.cached_tokens((PromptPart("a", 40), PromptPart("c", 9)))
    40
    >>> cache.cached_tokens((PromptPart("b", 20),))
    0
    """

    def __init__(self, capacity: int) -> None:
        self.tokens = 0
        self._capacity = capacity
        self._tokens_by_path: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens at the start of a prompt need no reading."""
        found = 0
        path: tuple[str, ...] = ()
        for part in parts:
            path = (*path, part.id)
            if path not in self._tokens_by_path:
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
        path: tuple[str, ...] = ()
        for part in parts:
            path = (*path, part.id)
            if path not in self._tokens_by_path:
                self._tokens_by_path[path] = part.tokens
                self.tokens += part.tokens
            self._tokens_by_path.move_to_end(path)
        # A part is of no use without those before it, which were used as well
        # and must not go before it.
        for length in range(len(path), 0, -1):
            self._tokens_by_path.move_to_end(path[:length])
        self._evict(occupied)

    def _evict(self, occupied: int) -> None:
        while self._tokens_by_path and self.tokens + occupied > self._capacity:
            _, tokens = self._tokens_by_path.popitem(last=False)
            self.tokens -= tokens
