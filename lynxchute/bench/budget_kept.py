"""Budgets whose tokens stand where demand is: the real decisions."""

from __future__ import annotations

from lynxchute.bench.budget_scene import FRONTS, Arrival, Deployment
from lynxchute.bench.budget_schemes import Escrow
from lynxchute.budgets import DemandLinePolicy, DemandPolicy, GrantPolicy, Ledger
from lynxchute.budgets.standing import LocalReservePolicy, LocalReserveView
from lynxchute.spending.standing import CallerDemand


class KeptEscrow(Escrow):
    """Grants and lines as escrow has them; routers that are no home keep tokens."""

    name = "escrow_kept"

    def __init__(self, deployment: Deployment) -> None:
        self._rule = LocalReservePolicy()
        self._keepers: dict[tuple[str, int], Ledger] = {}
        self._arrivals: dict[tuple[str, int, str], CallerDemand] = {}
        super().__init__(deployment)

    def policy(self) -> GrantPolicy:
        """Return the policy of a home."""
        return DemandLinePolicy()

    def reserve(self, arrival: Arrival) -> bool:
        """Reserve of what is kept at the router, else at the home."""
        place, front = arrival.data_centre, arrival.front
        if place in self._dead:
            return False
        if not front:
            return super().reserve(arrival)
        key = (place, front, arrival.account)
        arrivals = self._arrivals.setdefault(key, CallerDemand())
        arrivals.demand.add(arrival.reserved, arrival.at)
        arrivals.requests.add(1, arrival.at)
        if self._try(self._keepers[place, front], arrival):
            self.tally.added_ms.append(0.0)
            return True
        return super().reserve(arrival)

    def settle(self, arrival: Arrival, now: float) -> None:
        """Settle where it was reserved."""
        keeper = self._keepers.get((arrival.data_centre, arrival.front))
        name = str(arrival.number)
        if keeper is not None and name in keeper.reservations_by_id:
            keeper.settle(name, arrival.used)
            return
        super().settle(arrival, now)

    def tick(self, now: float) -> None:
        """Write the lines anew; fetch what lacks and give back what is too much."""
        super().tick(now)
        if self.apart:
            return
        for (place, front, account), arrivals in self._arrivals.items():
            if place not in self._dead:
                self._balance(place, front, account, arrivals, now)

    def _balance(
        self, place: str, front: int, account: str, arrivals: CallerDemand, now: float
    ) -> None:
        keeper, home = self._keepers[place, front], self._homes[place]
        now_ms = int(now * 1000)
        view = LocalReserveView(
            arrivals.demand.rate(now),
            arrivals.requests.rate(now),
            keeper.available(account, now_ms),
            self.deployment.budgets[account],
        )
        shortfall = self._rule.shortfall(view)
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
            keeper.borrow(account, lent)
            return
        if account not in keeper.shares_by_account:
            return
        retained = self._rule.retained(view)
        tokens = keeper.leftover(account, now_ms, retained=retained)
        if tokens:
            self.tally.messages += 1
            keeper.transfer_out(account, tokens)
            home.borrow(account, tokens)

    def _start(self, place: str, now: float) -> None:
        super()._start(place, now)
        for front in range(1, FRONTS):
            vm = f"{place}-{front}"
            run = f"{vm}-run-{self._runs}"
            keeper = Ledger(vm, run, DemandPolicy(), parts=1)
            keeper.is_open = True
            self._keepers[place, front] = keeper

    def at_hand(self) -> int:
        """Return what living routers hold of loans."""
        total = super().at_hand()
        for keeper in self._keepers.values():
            total += sum(
                s.borrowed - s.settled for s in keeper.shares_by_account.values()
            )
        return total
