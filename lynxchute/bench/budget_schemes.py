"""Budget schemes to compare: the router's own ledger, and simpler alternatives."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from lynxchute.bench.budget_scene import Arrival, Deployment
from lynxchute.bench.memory_rows import MemoryRows
from lynxchute.budgets import DemandPolicy, GrantPolicy, Ledger, ShareView
from lynxchute.budgets.rows import holder_id, totals_id

REFRESH_INTERVAL = 5.0
# Maximum number of writes that a request waits for.
MAX_WRITE_ROUNDS = 3
# Duration of a write to the store, in milliseconds.
WRITE_MS = 5.0


@attrs.define
class Tally:
    """The counts of a scheme's decisions, messages and errors.

    Attributes
    ----------
    partition_refusals
        The false refusals during partitions, in which no router reaches another.
    lost
        Tokens that count as used but were not, mostly through killed processes.
    """

    overspend: int = 0
    false_refusals: int = 0
    partition_refusals: int = 0
    right_refusals: int = 0
    lost: int = 0
    store_calls: int = 0
    messages: int = 0
    added_ms: list[float] = attrs.Factory(list)


class Scheme(ABC):
    """A scheme that enforces prepaid budgets in a deployment.

    Parameters
    ----------
    deployment
        The deployment in which it runs.

    Attributes
    ----------
    is_partitioned
        Whether a partition separates every router from all others.
    """

    name = ""
    is_partitioned = False

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.tally = Tally()
        self.cut: set[str] = set()

    @abstractmethod
    def reserve(self, arrival: Arrival) -> bool:
        """Reserve the tokens of a request; return whether it is admitted."""

    @abstractmethod
    def settle(self, arrival: Arrival, now: float) -> None:
        """Charge what a finished request used."""

    def tick(self, now: float) -> None:
        """Run the periodic work of the scheme."""

    def kill(self, data_centre: str, now: float) -> None:
        """Stop the process that holds a data centre's grants, without a shutdown."""

    def restart(self, data_centre: str, now: float) -> None:
        """Start a new process on the same VM."""

    def counted(self) -> int:
        """Return the tokens that count as used; 0 if the scheme does not count them."""
        return 0

    @property
    def round_trip_ms(self) -> float:
        """Return the round-trip time between data centres."""
        return 2 * self.deployment.link_ms


class Central(Scheme):
    """Check and charge the budget in the store for each request."""

    name = "central"

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self._left = dict(deployment.budgets)

    def reserve(self, arrival: Arrival) -> bool:
        """Reserve in the store; refuse if it cannot be reached."""
        if arrival.data_centre in self.cut:
            return False
        self.tally.store_calls += 1
        self.tally.added_ms.append(WRITE_MS)
        if self._left[arrival.account] < arrival.reserved:
            return False
        self._left[arrival.account] -= arrival.reserved
        return True

    def settle(self, arrival: Arrival, now: float) -> None:
        """Return the tokens that were reserved and not used."""
        self.tally.store_calls += 1
        self._left[arrival.account] += arrival.reserved - arrival.used


class Cached(Scheme):
    """Check a cached total that is refreshed periodically; charge afterwards."""

    name = "cached"

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self._left = dict(deployment.budgets)
        self._cached_left = {
            data_centre: dict(deployment.budgets)
            for data_centre in deployment.data_centres
        }
        self._refreshed = 0.0

    def reserve(self, arrival: Arrival) -> bool:
        """Check the cached total."""
        self.tally.added_ms.append(0.0)
        return self._cached_left[arrival.data_centre][arrival.account] > 0

    def settle(self, arrival: Arrival, now: float) -> None:
        """Charge the store's total and the cached one."""
        self._left[arrival.account] -= arrival.used
        self._cached_left[arrival.data_centre][arrival.account] -= arrival.used

    def tick(self, now: float) -> None:
        """Refresh the cached totals of the data centres that reach the store."""
        if now - self._refreshed < REFRESH_INTERVAL:
            return
        self._refreshed = now
        for data_centre in self.deployment.data_centres:
            if data_centre not in self.cut:
                self.tally.store_calls += 2
                self._cached_left[data_centre] = dict(self._left)


class Escrow(Scheme):
    """The router's own ledger: each data centre has a home that holds grants."""

    name = "escrow"

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self.rows = MemoryRows()
        self._runs = 0
        self._loans = 0
        self._killed: set[str] = set()
        self._homes: dict[str, Ledger] = {}
        for data_centre in deployment.data_centres:
            self._start_home(data_centre, 0.0)

    def policy(self) -> GrantPolicy:
        """Return the policy of a home."""
        return DemandPolicy()

    def reserve(self, arrival: Arrival) -> bool:
        """Reserve at the home; get more tokens if it has too few."""
        if arrival.data_centre in self._killed or (
            self.is_partitioned and arrival.router
        ):
            return False
        home = self._homes[arrival.data_centre]
        share = home.share(arrival.account)
        share.demand.add(arrival.reserved, arrival.at)
        added = 0.0
        for round_number in range(MAX_WRITE_ROUNDS):
            if self._try_reserve(home, arrival):
                self.tally.added_ms.append(added)
                return True
            if arrival.data_centre in self.cut:
                break
            if round_number:
                added += self._collect_tokens(home, arrival)
            share.waiting = arrival.reserved
            self._refresh_totals(home)
            self._write(home, arrival.at)
            share.waiting = 0
            added += WRITE_MS
        self.tally.added_ms.append(added)
        return self._try_reserve(home, arrival)

    def settle(self, arrival: Arrival, now: float) -> None:
        """Settle at the home, unless it has been restarted since the reservation."""
        name = str(arrival.number)
        home = self._homes.get(arrival.data_centre)
        if home is not None and name in home.reservations_by_id:
            home.settle(name, arrival.used)

    def tick(self, now: float) -> None:
        """Write the rows of all homes that reach the store."""
        for data_centre, home in self._homes.items():
            if data_centre not in self.cut and data_centre not in self._killed:
                self._write(home, now)

    def kill(self, data_centre: str, now: float) -> None:
        """Stop a home's process without a shutdown."""
        self._killed.add(data_centre)

    def restart(self, data_centre: str, now: float) -> None:
        """Start a home that takes over the row of its predecessor."""
        self._killed.discard(data_centre)
        self._start_home(data_centre, now)

    def counted(self) -> int:
        """Return the tokens that homes count as used, without unused loans."""
        total = 0
        for home in self._homes.values():
            for share in home.shares_by_account.values():
                total += share.settled + share.reserved
        return total - self.unused_loans()

    def unused_loans(self) -> int:
        """Return the borrowed tokens that running routers hold."""
        return sum(
            share.borrowed
            for home in self._homes.values()
            for share in home.shares_by_account.values()
        )

    def _start_home(self, data_centre: str, now: float) -> None:
        self._runs += 1
        ledger = Ledger(
            data_centre,
            f"run-{self._runs}",
            self.policy(),
            parts=len(self.deployment.data_centres),
        )
        ledger.prepaid_by_account.update(self.deployment.budgets)
        self._refresh_totals(ledger)
        ledger.take_over(self.rows.get(holder_id(data_centre)), int(now * 1000))
        for account in self.deployment.budgets:
            ledger.share(account).is_home = True
        self._homes[data_centre] = ledger
        for _ in range(2):
            self._write(ledger, now)

    def _try_reserve(self, home: Ledger, arrival: Arrival) -> bool:
        problem = home.reserve(
            str(arrival.number),
            arrival.account,
            arrival.reserved,
            now_ms=int(arrival.at * 1000),
        )
        return problem is None

    def _refresh_totals(self, home: Ledger) -> None:
        rows = [self.rows.get(totals_id(name)) for name in self.deployment.budgets]
        home.update_totals(row for row in rows if row is not None)

    def _write(self, home: Ledger, now: float) -> None:
        self.tally.store_calls += 1
        plan = home.plan(now_ms=int(now * 1000), now=now)
        home.apply_outcome(self.rows.write(plan.write))

    def _collect_tokens(self, home: Ledger, arrival: Arrival) -> float:
        """Have other homes release tokens; return the milliseconds that this takes."""
        added = 0.0
        for data_centre, other in self._homes.items():
            if other is home or data_centre in self.cut or data_centre in self._killed:
                continue
            shortfall = arrival.reserved - home.available(
                arrival.account, int(arrival.at * 1000)
            )
            self.tally.messages += 1
            added += self.round_trip_ms + WRITE_MS
            released_tokens = other.release(
                arrival.account, needed=shortfall, wanted=shortfall, now=arrival.at
            )
            if released_tokens is not None:
                self._refresh_totals(other)
                self._write(other, arrival.at)
        return added


@attrs.frozen
class FixedParts(GrantPolicy):
    """Grant each data centre a fixed part of each budget."""

    def grant(self, view: ShareView) -> int:
        """Return the fixed part, limited by what is free."""
        part = view.prepaid // view.parts
        return max(min(part, view.granted + view.free), view.used)

    def burst(self, view: ShareView) -> int:
        """Return the whole unused grant, since a fixed part needs no growing line."""
        return max(view.granted - view.used, 0)

    def rate(self, view: ShareView) -> int:
        """Return no growth."""
        return 0

    def outage_rate(self, view: ShareView) -> int:
        """Return no growth."""
        return 0


class Static(Escrow):
    """A fixed part of each budget for each data centre."""

    name = "static"

    def policy(self) -> GrantPolicy:
        """Return the policy of a home."""
        return FixedParts()

    def _collect_tokens(self, home: Ledger, arrival: Arrival) -> float:
        return 0.0


SCHEMES: tuple[type[Scheme], ...] = (Central, Cached, Static, Escrow)
