"""Ways of keeping budgets: the real decisions, and what they are held against."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from lynxchute.bench.budget_scene import Arrival, Deployment
from lynxchute.bench.memory_rows import MemoryRows
from lynxchute.budgets import DemandPolicy, GrantPolicy, Ledger, ShareView
from lynxchute.budgets.rows import holder_id, totals_id

REFRESH_INTERVAL = 5.0
# Writes that a request waits for at most.
COVER_ROUNDS = 3
# Milliseconds of a write at the store.
WRITE_MS = 5.0


@attrs.define
class Tally:
    """What a scheme did.

    Attributes
    ----------
    apart_refusals
        Those of the false refusals that came while no router reached any other one.
    lost
        Tokens that count as used and were not; those of deaths, mostly.
    """

    overspend: int = 0
    false_refusals: int = 0
    apart_refusals: int = 0
    right_refusals: int = 0
    lost: int = 0
    store_calls: int = 0
    messages: int = 0
    added_ms: list[float] = attrs.Factory(list)


class Scheme(ABC):
    """A way of keeping budgets.

    Parameters
    ----------
    deployment
        Where it runs.

    Attributes
    ----------
    apart
        Whether no router reaches any other one.
    """

    name = ""
    apart = False

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.tally = Tally()
        self.cut: set[str] = set()

    @abstractmethod
    def reserve(self, arrival: Arrival) -> bool:
        """Return whether a request may start."""

    @abstractmethod
    def settle(self, arrival: Arrival, now: float) -> None:
        """Take what a request used."""

    def tick(self, now: float) -> None:
        """Do what is done again and again."""

    def kill(self, data_centre: str, now: float) -> None:
        """Lose the process that holds a data centre's grants."""

    def restart(self, data_centre: str, now: float) -> None:
        """Start another one on the same VM."""

    def counted(self) -> int:
        """Return the tokens that count as used; 0 where nobody keeps count."""
        return 0

    @property
    def round_trip_ms(self) -> float:
        """Return a round trip between data centres."""
        return 2 * self.deployment.link_ms


class Central(Scheme):
    """Check and charge at the store for each request."""

    name = "central"

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self._left = dict(deployment.budgets)

    def reserve(self, arrival: Arrival) -> bool:
        """Reserve at the store, if it is in reach."""
        if arrival.data_centre in self.cut:
            return False
        self.tally.store_calls += 1
        self.tally.added_ms.append(WRITE_MS)
        if self._left[arrival.account] < arrival.reserved:
            return False
        self._left[arrival.account] -= arrival.reserved
        return True

    def settle(self, arrival: Arrival, now: float) -> None:
        """Give the unused rest back."""
        self.tally.store_calls += 1
        self._left[arrival.account] += arrival.reserved - arrival.used


class Cached(Scheme):
    """Check a total that is refreshed now and then; charge afterwards."""

    name = "cached"

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self._left = dict(deployment.budgets)
        self._seen = {
            place: dict(deployment.budgets) for place in deployment.data_centres
        }
        self._refreshed = 0.0

    def reserve(self, arrival: Arrival) -> bool:
        """Check against the total as last seen."""
        self.tally.added_ms.append(0.0)
        return self._seen[arrival.data_centre][arrival.account] > 0

    def settle(self, arrival: Arrival, now: float) -> None:
        """Charge at the store, and note it here."""
        self._left[arrival.account] -= arrival.used
        self._seen[arrival.data_centre][arrival.account] -= arrival.used

    def tick(self, now: float) -> None:
        """Refresh the totals of the data centres in reach."""
        if now - self._refreshed < REFRESH_INTERVAL:
            return
        self._refreshed = now
        for place in self.deployment.data_centres:
            if place not in self.cut:
                self.tally.store_calls += 2
                self._seen[place] = dict(self._left)


class Escrow(Scheme):
    """Grants and lines, a home in each data centre: the real decisions."""

    name = "escrow"

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self.rows = MemoryRows()
        self._runs = 0
        self._loans = 0
        self._dead: set[str] = set()
        self._homes: dict[str, Ledger] = {}
        for place in deployment.data_centres:
            self._start(place, 0.0)

    def policy(self) -> GrantPolicy:
        """Return the policy of a home."""
        return DemandPolicy()

    def reserve(self, arrival: Arrival) -> bool:
        """Reserve at the home; fetch tokens where it runs short."""
        if arrival.data_centre in self._dead or (self.apart and arrival.front):
            return False
        home = self._homes[arrival.data_centre]
        share = home.share(arrival.account)
        share.demand.add(arrival.reserved, arrival.at)
        added = 0.0
        for turn in range(COVER_ROUNDS):
            if self._try(home, arrival):
                self.tally.added_ms.append(added)
                return True
            if arrival.data_centre in self.cut:
                break
            if turn:
                added += self._gather(home, arrival)
            share.waiting = arrival.reserved
            self._look(home)
            self._write(home, arrival.at)
            share.waiting = 0
            added += WRITE_MS
        self.tally.added_ms.append(added)
        return self._try(home, arrival)

    def settle(self, arrival: Arrival, now: float) -> None:
        """Settle at the home, if it is still the one that reserved."""
        name = str(arrival.number)
        home = self._homes.get(arrival.data_centre)
        if home is not None and name in home.reservations_by_id:
            home.settle(name, arrival.used)

    def tick(self, now: float) -> None:
        """Write the lines anew."""
        for place, home in self._homes.items():
            if place not in self.cut and place not in self._dead:
                self._write(home, now)

    def kill(self, data_centre: str, now: float) -> None:
        """Lose a home's process."""
        self._dead.add(data_centre)

    def restart(self, data_centre: str, now: float) -> None:
        """Take over what the process before has left."""
        self._dead.discard(data_centre)
        self._start(data_centre, now)

    def counted(self) -> int:
        """Return what the homes count as used, less what lies unused in loans."""
        total = 0
        for home in self._homes.values():
            for share in home.shares_by_account.values():
                total += share.settled + share.reserved
        return total - self.at_hand()

    def at_hand(self) -> int:
        """Return what living routers hold of loans."""
        return sum(
            share.borrowed
            for home in self._homes.values()
            for share in home.shares_by_account.values()
        )

    def _start(self, place: str, now: float) -> None:
        self._runs += 1
        ledger = Ledger(
            place,
            f"run-{self._runs}",
            self.policy(),
            parts=len(self.deployment.data_centres),
        )
        ledger.prepaid_by_account.update(self.deployment.budgets)
        self._look(ledger)
        ledger.take_over(self.rows.get(holder_id(place)), int(now * 1000))
        for account in self.deployment.budgets:
            ledger.share(account).is_home = True
        self._homes[place] = ledger
        for _ in range(2):
            self._write(ledger, now)

    def _try(self, home: Ledger, arrival: Arrival) -> bool:
        problem = home.reserve(
            str(arrival.number),
            arrival.account,
            arrival.reserved,
            now_ms=int(arrival.at * 1000),
        )
        return problem is None

    def _look(self, home: Ledger) -> None:
        rows = [self.rows.get(totals_id(name)) for name in self.deployment.budgets]
        home.update_totals(row for row in rows if row is not None)

    def _write(self, home: Ledger, now: float) -> None:
        self.tally.store_calls += 1
        plan = home.plan(now_ms=int(now * 1000), now=now)
        home.apply_outcome(self.rows.write(plan.write))

    def _gather(self, home: Ledger, arrival: Arrival) -> float:
        """Have the other homes give tokens back; return the milliseconds."""
        added = 0.0
        for place, other in self._homes.items():
            if other is home or place in self.cut or place in self._dead:
                continue
            lacking = arrival.reserved - home.available(
                arrival.account, int(arrival.at * 1000)
            )
            self.tally.messages += 1
            added += self.round_trip_ms + WRITE_MS
            given = other.release(
                arrival.account, needed=lacking, wanted=lacking, now=arrival.at
            )
            if given is not None:
                self._look(other)
                self._write(other, arrival.at)
        return added


@attrs.frozen
class FixedParts(GrantPolicy):
    """Hold a fixed part of each budget in each data centre."""

    def grant(self, view: ShareView) -> int:
        """Return the part."""
        part = view.prepaid // view.parts
        return max(min(part, view.granted + view.free), view.used)

    def burst(self, view: ShareView) -> int:
        """Return all that is granted: a fixed part needs no line."""
        return max(view.granted - view.used, 0)

    def rate(self, view: ShareView) -> int:
        """Return no growth."""
        return 0

    def outage_rate(self, view: ShareView) -> int:
        """Return no growth."""
        return 0


class Static(Escrow):
    """A fixed part for each data centre."""

    name = "static"

    def policy(self) -> GrantPolicy:
        """Return the policy of a home."""
        return FixedParts()

    def _gather(self, home: Ledger, arrival: Arrival) -> float:
        return 0.0


SCHEMES: tuple[type[Scheme], ...] = (Central, Cached, Static, Escrow)
