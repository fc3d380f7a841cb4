"""Decide what a router keeps of budgets whose home it is not."""

from __future__ import annotations

import attrs

# Seconds of its callers' demand below which a router asks for more, and those that it
# asks for: a VM that is cut off goes on for some seconds with them, and all that a
# router has borrowed is lost with it.
LOW_SECONDS = 3.0
FULL_SECONDS = 6.0
# Requests a second below which nothing is kept: two that happen to come together are
# no stream of requests, and what is kept may be lost.
LEAST_REQUESTS = 0.7
# The part of what it has to spare that a lender gives to one router. Several ask.
LENT_PART = 8
# The part of a budget that one router keeps at most.
PREPAID_PART = 32


@attrs.frozen
class LocalReserveView:
    """What the decision goes by; amounts in tokens.

    Attributes
    ----------
    demand
        Tokens a second that callers here ask for.
    requests
        Requests a second that they send.
    at_hand
        What the router can reserve now without asking.
    prepaid
        What has been paid.
    """

    demand: float
    requests: float
    at_hand: int
    prepaid: int


class LocalReservePolicy:
    """Keep tokens where an account's callers arrive.

    The load that it answers: routers that cannot reach an account's home for some
    seconds, or whose home is too busy to answer, while callers go on sending. What a
    caller needs is its answer now; the tokens were paid for and lie elsewhere.
    """

    def full(self, view: LocalReserveView) -> int:
        """Return the tokens that the router keeps at most."""
        if view.requests < LEAST_REQUESTS:
            return 0
        return min(int(view.demand * FULL_SECONDS), view.prepaid // PREPAID_PART)

    def shortfall(self, view: LocalReserveView) -> int:
        """Return the tokens to ask for; 0 while enough is at hand."""
        full = self.full(view)
        if view.at_hand >= full * LOW_SECONDS / FULL_SECONDS:
            return 0
        return full - view.at_hand

    def retained(self, view: LocalReserveView) -> int:
        """Return what is not given back.

        Twice what is asked for: demand that comes and goes moves nothing.
        """
        return 2 * self.full(view)


def lent_to_keep(wanted: int, spare: int) -> int:
    """Return what a lender gives to a router for keeping.

    Examples
    --------
    >>> lent_to_keep(100, 4000), lent_to_keep(1000, 4000), lent_to_keep(10, -5)
    (100, 500, 0)
    """
    return max(min(wanted, spare // LENT_PART), 0)
