"""Compare ways of keeping budgets, on one trace of requests and faults.

The real decisions run on a virtual clock against rows in memory; nothing goes
over sockets. An oracle knows the true balance at each moment: a refusal is
false where the balance covered what the request used.
"""

from __future__ import annotations

import heapq
import json
import random
from abc import ABC, abstractmethod

import attrs
import defopt

from lynxchute.bench.memory_rows import MemoryRows
from lynxchute.budgets import DemandPolicy, GrantPolicy, Ledger, ShareView
from lynxchute.budgets.rows import holder_id, totals_id

# Seconds between two writes of a router for which no request waits.
WRITE_INTERVAL = 0.5
REFRESH_INTERVAL = 5.0
# Seconds that a killed process takes to be back.
RESTART_AFTER = 1.5
TOKENS_PER_SECOND = 25.0
MEAN_ANSWER = 310
MAX_ANSWER = 2000
PROMPT = 90
# Shares of the trace at which the store goes away, and for how many seconds.
OUTAGES_AT = (0.1, 0.3, 0.5, 0.7, 0.8)
OUTAGE_SECONDS = 9.0
# Writes that a request waits for at most.
COVER_ROUNDS = 3
# Milliseconds of a write at the store.
WRITE_MS = 5.0


@attrs.frozen
class Deployment:
    """A user's deployment, as far as budgets go.

    Attributes
    ----------
    link_ms
        One way between data centres, in milliseconds.
    rate
        Requests a second over all accounts.
    """

    name: str
    data_centres: tuple[str, ...]
    budgets: dict[str, int]
    link_ms: float
    rate: float


@attrs.frozen
class Fault:
    """Something that happens to a data centre, or to all of them.

    Attributes
    ----------
    kind
        ``cut``, ``heal``, ``kill`` or ``restart``.
    """

    at: float
    kind: str
    data_centre: str


@attrs.frozen
class Arrival:
    """A request of the trace."""

    at: float
    number: int
    data_centre: str
    account: str
    used: int

    @property
    def reserved(self) -> int:
        """Return what the worst case needs, in tokens."""
        return PROMPT + MAX_ANSWER

    @property
    def seconds(self) -> float:
        """Return how long the answer takes."""
        return self.used / TOKENS_PER_SECOND


@attrs.define
class Tally:
    """What a scheme did."""

    overspend: int = 0
    false_refusals: int = 0
    right_refusals: int = 0
    store_calls: int = 0
    messages: int = 0
    added_ms: list[float] = attrs.Factory(list)


class Scheme(ABC):
    """A way of keeping budgets.

    Parameters
    ----------
    deployment
        Where it runs.
    """

    name = ""

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
        if arrival.data_centre in self._dead:
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
        if home is not None and name in home.open_by_request:
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
        home.learn_totals(row for row in rows if row is not None)

    def _write(self, home: Ledger, now: float) -> None:
        self.tally.store_calls += 1
        plan = home.plan(now_ms=int(now * 1000), now=now)
        home.learn(self.rows.write(plan.write))

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

    def late_rate(self, view: ShareView) -> int:
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


def make_trace(deployment: Deployment, seconds: float, seed: int) -> list[Arrival]:
    """Return seeded arrivals; a few accounts and places see most of them."""
    rng = random.Random(seed)
    accounts = list(deployment.budgets)
    weights = [deployment.budgets[account] for account in accounts]
    places = list(deployment.data_centres)
    trace: list[Arrival] = []
    now = 0.0
    while True:
        now += rng.expovariate(deployment.rate)
        if now >= seconds:
            return trace
        used = PROMPT + min(int(rng.expovariate(1 / MEAN_ANSWER)) + 1, MAX_ANSWER)
        (account,) = rng.choices(accounts, weights)
        (place,) = rng.choices(places, range(len(places), 0, -1))
        trace.append(Arrival(now, len(trace), place, account, used))


def play(scheme: Scheme, trace: list[Arrival], faults: list[Fault]) -> Tally:
    """Run a trace through a scheme."""
    true_left = dict(scheme.deployment.budgets)
    running: list[tuple[float, int, Arrival]] = []
    pending = sorted(faults, key=lambda fault: fault.at)
    next_tick = 0.0
    for arrival in trace:
        while running and running[0][0] <= arrival.at:
            ended, _, done = heapq.heappop(running)
            scheme.settle(done, ended)
        while next_tick <= arrival.at:
            while pending and pending[0].at <= next_tick:
                _strike(scheme, pending.pop(0))
            scheme.tick(next_tick)
            next_tick += WRITE_INTERVAL
        if scheme.reserve(arrival):
            true_left[arrival.account] -= arrival.used
            heapq.heappush(
                running, (arrival.at + arrival.seconds, arrival.number, arrival)
            )
            continue
        if true_left[arrival.account] >= arrival.used:
            scheme.tally.false_refusals += 1
        else:
            scheme.tally.right_refusals += 1
    scheme.tally.overspend = sum(max(-left, 0) for left in true_left.values())
    return scheme.tally


def _strike(scheme: Scheme, fault: Fault) -> None:
    if fault.kind == "cut":
        scheme.cut.add(fault.data_centre)
    elif fault.kind == "heal":
        scheme.cut.discard(fault.data_centre)
    elif fault.kind == "kill":
        scheme.kill(fault.data_centre, fault.at)
    else:
        scheme.restart(fault.data_centre, fault.at)


def deployments() -> tuple[Deployment, ...]:
    """Return the users' deployments at today's size."""
    crews = {f"crew-{index}": 150_000 for index in range(1, 9)}
    crews.update({"road-1": 900_000, "road-2": 900_000})
    clubs = {f"club-{index}": 150_000 for index in range(1, 9)}
    clubs.update({"national": 1_200_000, "finals": 600_000})
    amagumo = ("kyu-a", "kyu-b", "kyu-c")
    federation = ("salto", "paysandu", "montevideo")
    return (
        Deployment("amagumo", amagumo, crews, 1.5, 8.0),
        Deployment("federation", federation, clubs, 1.0, 8.0),
    )


def scenes(deployment: Deployment, seconds: float) -> dict[str, list[Fault]]:
    """Return the faults of each scene."""
    first, *_, last = deployment.data_centres
    deaths = []
    for place in deployment.data_centres:
        deaths.append(Fault(seconds * 0.8, "kill", place))
        deaths.append(Fault(seconds * 0.8 + RESTART_AFTER, "restart", place))
    return {
        "no_faults": [],
        "cut_and_death": [
            Fault(seconds * 0.2, "cut", last),
            Fault(seconds * 0.4, "kill", first),
            Fault(seconds * 0.4 + RESTART_AFTER, "restart", first),
            Fault(seconds * 0.7, "heal", last),
        ],
        "all_die": deaths,
        "store_away": _outages(deployment, seconds),
    }


def _outages(deployment: Deployment, seconds: float) -> list[Fault]:
    """Cut all data centres off from the store, some times for some seconds."""
    faults = []
    for share in OUTAGES_AT:
        for place in deployment.data_centres:
            faults.append(Fault(seconds * share, "cut", place))
            faults.append(Fault(seconds * share + OUTAGE_SECONDS, "heal", place))
    return faults


def _report(
    scheme: Scheme, scene: str, requests: int, seconds: float, tally: Tally
) -> None:
    added = sorted(tally.added_ms) or [0.0]
    line = {
        "policy": scheme.name,
        "deployment": scheme.deployment.name,
        "scene": scene,
        "requests": requests,
        "overspend_tokens": tally.overspend,
        "false_refusals": tally.false_refusals,
        "right_refusals": tally.right_refusals,
        "store_calls_per_s": round(tally.store_calls / seconds, 2),
        "control_messages_per_request": round(tally.messages / requests, 2),
        "added_ms_p50": added[len(added) // 2],
    }
    print(json.dumps(line), flush=True)


def run(*, seconds: float = 900.0, seed: int = 1) -> None:
    """Compare the ways of keeping budgets.

    Parameters
    ----------
    seconds
        Length of the trace; the demand drains the budgets towards its end.
    seed
        Seed of the trace.
    """
    for deployment in deployments():
        trace = make_trace(deployment, seconds, seed)
        for scene, faults in scenes(deployment, seconds).items():
            for cls in SCHEMES:
                scheme = cls(deployment)
                tally = play(scheme, trace, faults)
                _report(scheme, scene, len(trace), seconds, tally)


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
