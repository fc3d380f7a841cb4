"""Choose the upstream for a request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from lynxchute.rendezvous import ranked
from lynxchute.upstreams.directory import Entry
from lynxchute.upstreams.generation import Generation


class Placement(ABC):
    """Choose among upstreams that could all serve a request."""

    @abstractmethod
    def choose(
        self, generation: Generation | None, candidates: Sequence[Entry]
    ) -> Entry:
        """Return one of the candidates, of which there is at least one."""


class LeastOpen(Placement):
    """Take the nearest upstream unless it has more to do than the others.

    Parameters
    ----------
    data_centre
        Whose upstreams are near.
    near_bonus
        Open requests that a near upstream may have more than a far one.
    """

    def __init__(self, data_centre: str, *, near_bonus: int = 2) -> None:
        self._data_centre = data_centre
        self._near_bonus = near_bonus
        self._turn = 0

    def choose(
        self, generation: Generation | None, candidates: Sequence[Entry]
    ) -> Entry:
        """Return the upstream with the least to do, near ones first."""
        self._turn += 1
        count = len(candidates)
        turned = [candidates[(self._turn + offset) % count] for offset in range(count)]
        return min(turned, key=self._cost)

    def _cost(self, entry: Entry) -> float:
        far = entry.upstream.data_centre != self._data_centre
        cost = entry.open_requests + (self._near_bonus if far else 0)
        return cost + 20.0 * entry.health.bad_share


class PromptAffinity(Placement):
    """Send prompts that begin alike to the same engine, within a load bound.

    All routers rank the engines of a prompt alike, without hearing of caches
    or of one another. Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent
    hashing with bounded loads", 2016.

    Parameters
    ----------
    fallback
        Chooses for prompts that share nothing.
    bound
        Open tokens of an engine, as a multiple of the mean, above which the
        next in rank is taken.
    slack
        Open tokens that an engine may always have.
    """

    def __init__(
        self, fallback: Placement, *, bound: float = 2.0, slack: int = 60_000
    ) -> None:
        self._fallback = fallback
        self._bound = bound
        self._slack = slack

    def choose(
        self, generation: Generation | None, candidates: Sequence[Entry]
    ) -> Entry:
        """Return the first in the prompt's rank that is not too loaded."""
        if generation is None or not generation.shared_parts:
            return self._fallback.choose(generation, candidates)
        by_id = {entry.upstream.id: entry for entry in candidates}
        mean = sum(entry.open_tokens for entry in candidates) / len(candidates)
        limit = max(self._bound * mean, self._slack)
        order = ranked(generation.shared_parts[-1].id, by_id)
        for upstream_id in order:
            entry = by_id[upstream_id]
            if entry.open_tokens <= limit and entry.health.bad_in_row == 0:
                return entry
        return by_id[order[0]]
