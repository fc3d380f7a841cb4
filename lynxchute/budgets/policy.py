"""Decide how much of a budget a router is granted, and how fast it may spend it."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class ShareView:
    """Input of a grant policy; amounts in tokens.

    Attributes
    ----------
    granted, used
        The router's grant, and the tokens of it that count as used.
    free
        Tokens of the budget that no router has been granted.
    prepaid
        Prepaid budget of the account.
    demand
        Tokens per second requested at this router.
    largest
        The largest recent request.
    waiting
        Tokens that requests are waiting for.
    is_home
        Whether this router is the account's home in its data centre.
    parts
        Number of data centres that share the budget.
    """

    granted: int
    used: int
    free: int
    prepaid: int
    demand: float
    largest: float
    waiting: int
    is_home: bool
    parts: int


class GrantPolicy(ABC):
    """Decide the size of grants and the shape of limit lines."""

    @abstractmethod
    def grant(self, view: ShareView) -> int:
        """Return the tokens that the router should be granted.

        At least the tokens used, at most the current grant plus all free tokens.
        """

    @abstractmethod
    def burst(self, view: ShareView) -> int:
        """Return the tokens by which the limit line starts above current use."""

    @abstractmethod
    def rate(self, view: ShareView) -> int:
        """Return the initial growth of the limit line, in tokens per second."""

    @abstractmethod
    def outage_rate(self, view: ShareView) -> int:
        """Return the growth of the limit line in an outage, in tokens per second."""


@attrs.frozen
class DemandPolicy(GrantPolicy):
    """Grant enough for a store outage, and a minimum to each home from the start.

    Attributes
    ----------
    reserve_seconds
        Seconds of demand that a grant should last: all routers can be cut off
        from the store for up to nine seconds, some for twelve.
    home_share
        Share of the prepaid budget that the homes of all data centres together
        claim at once: tokens left free at the store are unreachable in an outage.
    burst_share, rate_share
        The limit line starts `burst_share` of the unused grant above use and first
        grows by `rate_share` of it per second. Higher shares serve more requests in the
        first moments of an outage, lower ones lose fewer tokens with a crashed router.
        With 0.02 and 0.03, crashes cause fewer false refusals (436 against 500 in 900 s
        in which all routers crash once), but outages refuse more: 11.7% of the requests
        against 6.1% in a minute with two outages.
    ample_seconds
        Seconds of demand that an unused grant must cover to get these shares in
        full. For a smaller one they shrink in proportion, because tokens lost in a
        crash matter only when the budget is nearly spent.
    drain_seconds
        Shortest time in an outage, in seconds, in which the whole grant may be used.
    outage_demand, outage_share
        In an outage the limit line grows per second by the larger of this multiple of
        the demand per second and this share of the unused grant, at most at the rate
        set by `drain_seconds`. Higher values serve more of a burst in an outage, and
        lose more with a router that dies at its end.
    """

    reserve_seconds: float = 15.0
    home_share: float = 0.85
    burst_share: float = 0.06
    rate_share: float = 0.05
    ample_seconds: float = 25.0
    drain_seconds: float = 3.0
    outage_demand: float = 1.5
    outage_share: float = 0.05

    def grant(self, view: ShareView) -> int:
        """Return the tokens that the router should be granted."""
        if view.free < 0:
            return max(view.used, view.granted + view.free)
        headroom = view.granted - view.used
        wanted = int(view.demand * self.reserve_seconds + 2 * view.largest)
        if not view.is_home:
            wanted = int(view.demand * self.reserve_seconds)
        wanted = max(wanted, view.waiting)
        minimum = (
            int(view.prepaid * self.home_share / view.parts) if view.is_home else 0
        )
        if headroom >= wanted and view.granted >= minimum:
            return self._reduced_grant(view, headroom, wanted)
        missing = max(wanted - headroom, minimum - view.granted)
        # Beyond the home's minimum, leave the other data centres their share.
        fair_limit = max(view.free // view.parts, view.waiting, minimum - view.granted)
        return view.granted + min(missing, fair_limit, view.free)

    def burst(self, view: ShareView) -> int:
        """Return the tokens by which the limit line starts above current use."""
        headroom = max(view.granted - view.used, 0)
        burst = (
            int(headroom * self.burst_share * self._scarcity_factor(view))
            + view.waiting
        )
        return min(burst, headroom)

    def rate(self, view: ShareView) -> int:
        """Return the initial growth of the limit line, in tokens per second."""
        headroom = max(view.granted - view.used, 0)
        return int(headroom * self.rate_share * self._scarcity_factor(view))

    def _scarcity_factor(self, view: ShareView) -> float:
        """Return a factor from 0 to 1 that shrinks as the unused grant runs out."""
        headroom = max(view.granted - view.used, 0)
        if headroom >= view.demand * self.ample_seconds:
            return 1.0
        return headroom / (view.demand * self.ample_seconds)

    def outage_rate(self, view: ShareView) -> int:
        """Return the growth of the limit line in an outage, in tokens per second."""
        headroom = max(view.granted - view.used, 0)
        rate = max(view.demand * self.outage_demand, headroom * self.outage_share)
        return int(min(rate, headroom / self.drain_seconds))

    def _reduced_grant(self, view: ShareView, headroom: int, wanted: int) -> int:
        """Return the grant without the excess, if the router is not a home."""
        if view.is_home or headroom <= 2 * wanted + view.waiting:
            return view.granted
        return view.used + wanted


@attrs.frozen
class DemandLinePolicy(DemandPolicy):
    """Size limit lines by demand even when demand is high relative to the grant.

    This is for an account that sends many times its usual load through a router that
    is slow to write or cut off from the store. Otherwise each of its requests would
    wait for a write, and be refused in the first seconds of an outage.

    Attributes
    ----------
    ahead_seconds
        Seconds of demand by which the line starts above use: the longest that a write
        takes at a router that is short of processor time.
    max_share
        Upper bound on the line's start above use and on its initial growth per
        second, as a share of the unused grant; a crashed router then loses at most a
        fifth of the unused grant.
    """

    ahead_seconds: float = 0.5
    max_share: float = 0.08

    def burst(self, view: ShareView) -> int:
        """Return the tokens by which the limit line starts above current use."""
        headroom = max(view.granted - view.used, 0)
        ahead = min(view.demand * self.ahead_seconds, headroom * self.max_share)
        return min(max(super().burst(view), int(ahead) + view.waiting), headroom)

    def rate(self, view: ShareView) -> int:
        """Return the initial growth of the limit line, in tokens per second."""
        headroom = max(view.granted - view.used, 0)
        return max(super().rate(view), int(min(view.demand, headroom * self.max_share)))
