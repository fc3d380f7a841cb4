"""Keep tokens where an account's callers arrive, ahead of when they are needed."""

from __future__ import annotations

import attrs

from lynxchute.application import Loop
from lynxchute.budgets.demand import Demand
from lynxchute.budgets.standing import LocalReservePolicy, LocalReserveView
from lynxchute.clock import steady_seconds
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import ReserveRequest
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.lenders import Lenders

# Seconds between two looks at what lacks, and until holders that gave less than half
# of what was asked for are asked again.
STEP_SECONDS = 1.0
AGAIN_SECONDS = 1.0


@attrs.define(eq=False)
class CallerDemand:
    """What callers of one account ask for at this router.

    Attributes
    ----------
    demand, requests
        Their tokens, and how many requests they are.
    ask_at
        When holders may be asked again, in seconds.
    """

    demand: Demand = attrs.Factory(Demand)
    requests: Demand = attrs.Factory(Demand)
    ask_at: float = 0.0


class LocalReserve:
    """Hold tokens of accounts whose callers arrive here but whose home is elsewhere.

    Parameters
    ----------
    keeper
        This router's own grants.
    lenders
        The other holders.
    members
        The other routers.

    Attributes
    ----------
    loop
        Asks the holders.
    """

    def __init__(self, keeper: LedgerSync, lenders: Lenders, members: Members) -> None:
        self.loop = Loop("standing", self._step, STEP_SECONDS)
        self._ledger = keeper.ledger
        self._keeper = keeper
        self._lenders = lenders
        self._members = members
        self._rule = LocalReservePolicy()
        self._arrivals_by_account: dict[str, CallerDemand] = {}

    def try_reserve(self, request: ReserveRequest, *, is_home: bool) -> bool:
        """Set tokens for a caller's request aside of what is kept here.

        Parameters
        ----------
        is_home
            Whether this router is the account's home: nothing is kept then.
        """
        account, now = request.account, steady_seconds()
        arrivals = self._arrivals_by_account.setdefault(account, CallerDemand())
        arrivals.demand.add(request.tokens, now)
        arrivals.requests.add(1, now)
        if is_home:
            return False
        problem = self._ledger.reserve(
            request.reservation_id,
            account,
            request.tokens,
            now_ms=self._keeper.now_ms(),
        )
        if now >= arrivals.ask_at and self._missing(account, arrivals, now):
            self.loop.wake()
        return problem is None

    def retained(self, account: str) -> int:
        """Return the tokens of an account that are not to be given back."""
        arrivals = self._arrivals_by_account.get(account)
        if arrivals is None:
            return 0
        return self._rule.retained(self._view(account, arrivals, steady_seconds()))

    async def _step(self) -> None:
        if not self._ledger.is_open or self._ledger.is_closing:
            return
        for account, arrivals in list(self._arrivals_by_account.items()):
            now = steady_seconds()
            if now < arrivals.ask_at or self._is_home(account):
                continue
            shortfall = self._missing(account, arrivals, now)
            if not shortfall:
                continue
            gathered = await self._lenders.fetch_to_keep(account, shortfall)
            if gathered.had < shortfall // 2:
                arrivals.ask_at = steady_seconds() + AGAIN_SECONDS

    def _missing(self, account: str, arrivals: CallerDemand, now: float) -> int:
        return self._rule.shortfall(self._view(account, arrivals, now))

    def _view(
        self, account: str, arrivals: CallerDemand, now: float
    ) -> LocalReserveView:
        return LocalReserveView(
            demand=arrivals.demand.rate(now),
            requests=arrivals.requests.rate(now),
            at_hand=self._ledger.available(account, self._keeper.now_ms()),
            prepaid=self._ledger.prepaid_by_account.get(account, 0),
        )

    def _is_home(self, account: str) -> bool:
        return self._members.homes(account)[:1] == [self._members.own.vm]
