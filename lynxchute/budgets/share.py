"""A router's part of one budget."""

from __future__ import annotations

import attrs

from lynxchute.budgets.demand import Demand
from lynxchute.budgets.line import Line

# Seconds after tokens were given back in which none are taken again, so that
# the router they were meant for finds them.
RELEASE_PAUSE = 1.0


@attrs.frozen
class Terms:
    """What the store says, or may say, of a router's part of a budget.

    Attributes
    ----------
    granted
        Tokens of the budget that nobody else may use.
    line
        Bound on what the router has used of them.
    """

    granted: int
    line: Line

    def limit(self, now_ms: int) -> int:
        """Return how much may have been used at a moment."""
        return min(self.granted, self.line.at(now_ms))


@attrs.define(eq=False)
class Release:
    """Tokens on their way back to the store, for another router to take.

    Attributes
    ----------
    left
        Those of them that the store is not known to have.
    """

    tokens: int
    left: int


@attrs.define(eq=False)
class Share:
    """Tokens of a budget in the hands of one router.

    Attributes
    ----------
    terms
        What the store is known to say.
    uncertain
        What it may say as well, while the outcome of writes is unknown.
    settled
        Tokens used, lent to other routers, or counted as used.
    reserved
        Tokens set aside for open requests.
    borrowed
        Tokens that other routers have lent and count as used themselves.
    waiting
        Tokens that requests are waiting for.
    releases
        What the next writes give back, the oldest first.
    released_at
        When the last of them were given back, in seconds.
    is_home
        Whether the router is the one of its data centre that requests of this
        account go to.
    kept_elsewhere
        What others were lent to keep; it fades as they use it.
    """

    terms: Terms
    uncertain: list[Terms] = attrs.Factory(list)
    settled: int = 0
    reserved: int = 0
    borrowed: int = 0
    waiting: int = 0
    releases: list[Release] = attrs.Factory(list)
    released_at: float = -RELEASE_PAUSE
    is_home: bool = False
    demand: Demand = attrs.Factory(Demand)
    kept_elsewhere: Demand = attrs.Factory(Demand)

    @property
    def releasing(self) -> int:
        """Return the tokens that the next write gives back."""
        return sum(release.left for release in self.releases)

    def note_given_back(self, tokens: int) -> None:
        """Take that the store has tokens back; the oldest releases come first."""
        while tokens > 0 and self.releases:
            release = self.releases[0]
            given = min(tokens, release.left)
            release.left -= given
            tokens -= given
            if not release.left:
                self.releases.pop(0)

    @property
    def used(self) -> int:
        """Return what counts as used, open requests at their most."""
        return self.settled + self.reserved

    @property
    def own_use(self) -> int:
        """Return what counts as used of the own grant."""
        return max(self.used - self.borrowed, 0)

    def available(self, now_ms: int) -> int:
        """Return the tokens that can be reserved at a moment."""
        limit = self.terms.limit(now_ms)
        for terms in self.uncertain:
            limit = min(limit, terms.limit(now_ms))
        return limit + self.borrowed - self.used

    @property
    def headroom(self) -> int:
        """Return the granted tokens that are not used."""
        return max(self.terms.granted - self.own_use, 0)
