"""Size the local reserves: tokens held at routers that are not an account's home."""

from __future__ import annotations

import attrs

# A reserve that lasts for fewer than REFILL_BELOW_SECONDS of its callers' demand is
# refilled to TARGET_SECONDS. A VM that is cut off serves for some seconds from the
# reserve; but whatever a router has borrowed is lost if it crashes.
REFILL_BELOW_SECONDS = 3.0
TARGET_SECONDS = 6.0
# Requests per second below which no reserve is held: two requests that happen to
# arrive together are no steady demand, and a reserve is lost if the router crashes.
MIN_REQUEST_RATE = 0.7
# A lender lends one router at most its spare tokens divided by this number, because
# several routers ask.
LENDER_DIVISOR = 8
# One router's reserve is at most the prepaid budget divided by this.
PREPAID_DIVISOR = 32


@attrs.frozen
class LocalReserveView:
    """Input for sizing a local reserve; amounts in tokens.

    Attributes
    ----------
    demand
        Tokens per second requested by callers of this router.
    requests
        Requests per second from them.
    available
        Tokens that the router can reserve now without asking other routers.
    prepaid
        Prepaid budget of the account.
    """

    demand: float
    requests: float
    available: int
    prepaid: int


class LocalReservePolicy:
    """Hold tokens at the routers where an account's callers arrive.

    This is for routers that cannot reach an account's home for some seconds, or whose
    home is too busy to answer, while callers keep sending. Without a reserve, callers
    would be refused although their tokens are paid for and held by another router.
    """

    def target(self, view: LocalReserveView) -> int:
        """Return the size to which the reserve is refilled, in tokens."""
        if view.requests < MIN_REQUEST_RATE:
            return 0
        return min(int(view.demand * TARGET_SECONDS), view.prepaid // PREPAID_DIVISOR)

    def shortfall(self, view: LocalReserveView) -> int:
        """Return the tokens to borrow; 0 while the reserve is large enough."""
        target = self.target(view)
        if view.available >= target * REFILL_BELOW_SECONDS / TARGET_SECONDS:
            return 0
        return target - view.available

    def retained(self, view: LocalReserveView) -> int:
        """Return the tokens that are not passed back to the account's home.

        Twice the target, so that fluctuating demand does not move tokens back and
        forth.
        """
        return 2 * self.target(view)


def reserve_loan_size(wanted: int, spare: int) -> int:
    """Return the tokens that a lender lends to another router's reserve.

    Examples
    --------
    >>> reserve_loan_size(100, 4000), reserve_loan_size(1000, 4000)
    (100, 500)
    >>> reserve_loan_size(10, -5)
    0
    """
    return max(min(wanted, spare // LENDER_DIVISOR), 0)
