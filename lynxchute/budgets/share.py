"""A router's share of one budget: its grant, its reservations and its loans."""

from __future__ import annotations

import attrs

from lynxchute.budgets.demand import DemandEstimate
from lynxchute.budgets.line import LimitLine

# Seconds after releasing tokens to the store during which the grant is not raised
# again, so that the router they were released for can claim them.
RELEASE_PAUSE_SECONDS = 1.0


@attrs.frozen
class Terms:
    """A router's grant and limit line, as written or being written to the store.

    Attributes
    ----------
    granted
        Tokens of the budget that no other router may use.
    line
        Upper bound on the router's use of them.
    """

    granted: int
    line: LimitLine

    def limit(self, now_ms: int) -> int:
        """Return the most that may have been used at a time, in tokens."""
        return min(self.granted, self.line.at(now_ms))


@attrs.define(eq=False)
class Release:
    """Tokens being released to the store for another router to claim.

    Attributes
    ----------
    tokens
        Tokens to return.
    left
        Those whose return the store has not confirmed yet.
    """

    tokens: int
    left: int


@attrs.define(eq=False)
class Share:
    """One router's share of a budget; amounts in tokens.

    Attributes
    ----------
    terms
        Grant and limit line that the store is known to hold.
    unconfirmed
        Terms that it may hold instead, from writes whose outcome is unknown.
    settled
        Tokens used, lent to other routers, or counted as used.
    reserved
        Tokens set aside for open requests.
    borrowed
        Tokens lent by other routers, which count them as used on their side.
    waiting
        Tokens that requests are waiting for.
    releases
        Tokens that the next writes release to the store, oldest first.
    released_at
        When tokens were last released, in seconds on the steady clock.
    is_home
        Whether the router is the account's home: the router of its data centre
        to which the account's requests are sent for tokens.
    demand
        Recent demand for tokens at this router.
    lent_reserves
        Tokens lent to other routers' local reserves, which decay with a fixed time
        constant as an estimate of their use.
    """

    terms: Terms
    unconfirmed: list[Terms] = attrs.Factory(list)
    settled: int = 0
    reserved: int = 0
    borrowed: int = 0
    waiting: int = 0
    releases: list[Release] = attrs.Factory(list)
    released_at: float = -RELEASE_PAUSE_SECONDS
    is_home: bool = False
    demand: DemandEstimate = attrs.Factory(DemandEstimate)
    lent_reserves: DemandEstimate = attrs.Factory(DemandEstimate)

    @property
    def releasing(self) -> int:
        """Return the tokens that the next write releases to the store."""
        return sum(release.left for release in self.releases)

    def record_returned(self, tokens: int) -> None:
        """Record that the store has tokens back, oldest releases first."""
        while tokens > 0 and self.releases:
            release = self.releases[0]
            returned = min(tokens, release.left)
            release.left -= returned
            tokens -= returned
            if not release.left:
                self.releases.pop(0)

    @property
    def used(self) -> int:
        """Return the tokens that count as used, with open reservations in full."""
        return self.settled + self.reserved

    @property
    def own_use(self) -> int:
        """Return the tokens of the router's own grant that count as used."""
        return max(self.used - self.borrowed, 0)

    def available(self, now_ms: int) -> int:
        """Return the tokens that can be reserved at a time on the store's clock."""
        limit = self.terms.limit(now_ms)
        for terms in self.unconfirmed:
            limit = min(limit, terms.limit(now_ms))
        return limit + self.borrowed - self.used

    @property
    def headroom(self) -> int:
        """Return the granted tokens that are unused."""
        return max(self.terms.granted - self.own_use, 0)
