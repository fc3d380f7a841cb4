"""Hold a reserve of tokens at the routers where an account's callers arrive."""

from __future__ import annotations

import attrs

from lynxchute.application import PeriodicTask
from lynxchute.budgets.demand import DemandEstimate
from lynxchute.budgets.standing import LocalReservePolicy, LocalReserveView
from lynxchute.clock import steady_seconds
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import ReserveRequest
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.lenders import LoanClient

# Seconds between two checks of the reserves.
STEP_SECONDS = 1.0
# Seconds until lenders are asked again after they lent less than half of what was
# requested.
RETRY_SECONDS = 1.0


@attrs.define(eq=False)
class CallerDemand:
    """Recent demand of one account's callers at this router.

    Attributes
    ----------
    demand, requests
        Rates of the tokens that they request, and of their requests.
    retry_at
        When lenders may be asked again, in seconds on the steady clock.
    """

    demand: DemandEstimate = attrs.Factory(DemandEstimate)
    requests: DemandEstimate = attrs.Factory(DemandEstimate)
    retry_at: float = 0.0


class LocalReserve:
    """Holds tokens for callers here whose account's home is another router.

    Parameters
    ----------
    ledger_sync
        This router's ledger, kept in step with the store.
    lenders
        The other routers that hold parts of budgets.
    members
        The other routers.

    Attributes
    ----------
    loop
        Refills the reserves periodically.
    """

    def __init__(
        self, ledger_sync: LedgerSync, lenders: LoanClient, members: Members
    ) -> None:
        self.loop = PeriodicTask("standing", self._step, STEP_SECONDS)
        self._ledger = ledger_sync.ledger
        self._ledger_sync = ledger_sync
        self._lenders = lenders
        self._members = members
        self._policy = LocalReservePolicy()
        self._demand_by_account: dict[str, CallerDemand] = {}

    def try_reserve(self, request: ReserveRequest, *, is_home: bool) -> bool:
        """Reserve tokens for a caller's request from the local reserve.

        Parameters
        ----------
        is_home
            Whether this router is the account's home, which needs no reserve.

        Returns
        -------
        bool
            Whether the tokens are reserved.
        """
        account, now = request.account, steady_seconds()
        callers = self._demand_by_account.setdefault(account, CallerDemand())
        callers.demand.add(request.tokens, now)
        callers.requests.add(1, now)
        if is_home:
            return False
        problem = self._ledger.reserve(
            request.reservation_id,
            account,
            request.tokens,
            now_ms=self._ledger_sync.now_ms(),
        )
        if now >= callers.retry_at and self._shortfall(account, callers, now):
            self.loop.wake()
        return problem is None

    def retained(self, account: str) -> int:
        """Return the tokens of an account to keep here rather than pass on."""
        callers = self._demand_by_account.get(account)
        if callers is None:
            return 0
        return self._policy.retained(self._view(account, callers, steady_seconds()))

    async def _step(self) -> None:
        if not self._ledger.is_open or self._ledger.is_closing:
            return
        for account, callers in list(self._demand_by_account.items()):
            now = steady_seconds()
            if now < callers.retry_at or self._is_home(account):
                continue
            shortfall = self._shortfall(account, callers, now)
            if not shortfall:
                continue
            gathered = await self._lenders.borrow_for_reserve(account, shortfall)
            if gathered.obtained < shortfall // 2:
                callers.retry_at = steady_seconds() + RETRY_SECONDS

    def _shortfall(self, account: str, callers: CallerDemand, now: float) -> int:
        return self._policy.shortfall(self._view(account, callers, now))

    def _view(
        self, account: str, callers: CallerDemand, now: float
    ) -> LocalReserveView:
        return LocalReserveView(
            demand=callers.demand.rate(now),
            requests=callers.requests.rate(now),
            available=self._ledger.available(account, self._ledger_sync.now_ms()),
            prepaid=self._ledger.prepaid_by_account.get(account, 0),
        )

    def _is_home(self, account: str) -> bool:
        return self._members.homes(account)[:1] == [self._members.own.vm]
