"""A budget scheme in which every router holds a local reserve of tokens."""

from __future__ import annotations

from lynxchute.bench.budget_scene import ROUTERS, Arrival, Deployment
from lynxchute.bench.budget_schemes import Escrow
from lynxchute.budgets import DemandLinePolicy, DemandPolicy, GrantPolicy, Ledger
from lynxchute.budgets.standing import LocalReservePolicy, LocalReserveView
from lynxchute.spending.standing import CallerDemand


class LocalReserveEscrow(Escrow):
    """Escrow in which routers other than the home also hold a reserve of tokens."""

    name = "escrow_kept"

    def __init__(self, deployment: Deployment) -> None:
        self._reserve_policy = LocalReservePolicy()
        self._reserve_ledgers: dict[tuple[str, int], Ledger] = {}
        self._demand_by_key: dict[tuple[str, int, str], CallerDemand] = {}
        super().__init__(deployment)

    def policy(self) -> GrantPolicy:
        """Return the policy of a home."""
        return DemandLinePolicy()

    def reserve(self, arrival: Arrival) -> bool:
        """Reserve from the router's local reserve, or else at the home."""
        data_centre, router = arrival.data_centre, arrival.router
        if data_centre in self._killed:
            return False
        if not router:
            return super().reserve(arrival)
        key = (data_centre, router, arrival.account)
        caller_demand = self._demand_by_key.setdefault(key, CallerDemand())
        caller_demand.demand.add(arrival.reserved, arrival.at)
        caller_demand.requests.add(1, arrival.at)
        if self._try_reserve(self._reserve_ledgers[data_centre, router], arrival):
            self.tally.added_ms.append(0.0)
            return True
        return super().reserve(arrival)

    def settle(self, arrival: Arrival, now: float) -> None:
        """Settle at the ledger that reserved."""
        reserve_ledger = self._reserve_ledgers.get(
            (arrival.data_centre, arrival.router)
        )
        name = str(arrival.number)
        if reserve_ledger is not None and name in reserve_ledger.reservations_by_id:
            reserve_ledger.settle(name, arrival.used)
            return
        super().settle(arrival, now)

    def tick(self, now: float) -> None:
        """Write the homes' rows; borrow for short local reserves and return excess."""
        super().tick(now)
        if self.is_partitioned:
            return
        for (
            data_centre,
            router,
            account,
        ), caller_demand in self._demand_by_key.items():
            if data_centre not in self._killed:
                self._balance(data_centre, router, account, caller_demand, now)

    def _balance(
        self,
        data_centre: str,
        router: int,
        account: str,
        caller_demand: CallerDemand,
        now: float,
    ) -> None:
        reserve_ledger, home = (
            self._reserve_ledgers[data_centre, router],
            self._homes[data_centre],
        )
        now_ms = int(now * 1000)
        view = LocalReserveView(
            caller_demand.demand.rate(now),
            caller_demand.requests.rate(now),
            reserve_ledger.available(account, now_ms),
            self.deployment.budgets[account],
        )
        shortfall = self._reserve_policy.shortfall(view)
        if shortfall:
            self._loans += 1
            self.tally.messages += 1
            lent = home.lend(
                f"kept-{self._loans}",
                account,
                needed=0,
                wanted=shortfall,
                now_ms=now_ms,
                now=now,
                for_reserve=True,
            )
            reserve_ledger.borrow(account, lent)
            return
        if account not in reserve_ledger.shares_by_account:
            return
        retained = self._reserve_policy.retained(view)
        tokens = reserve_ledger.leftover(account, now_ms, retained=retained)
        if tokens:
            self.tally.messages += 1
            reserve_ledger.transfer_out(account, tokens)
            home.borrow(account, tokens)

    def _start_home(self, data_centre: str, now: float) -> None:
        super()._start_home(data_centre, now)
        for router in range(1, ROUTERS):
            vm = f"{data_centre}-{router}"
            run = f"{vm}-run-{self._runs}"
            reserve_ledger = Ledger(vm, run, DemandPolicy(), parts=1)
            reserve_ledger.is_open = True
            self._reserve_ledgers[data_centre, router] = reserve_ledger

    def unused_loans(self) -> int:
        """Return the borrowed tokens that running routers have not used."""
        total = super().unused_loans()
        for reserve_ledger in self._reserve_ledgers.values():
            total += sum(
                s.borrowed - s.settled
                for s in reserve_ledger.shares_by_account.values()
            )
        return total
