"""The traces and faults on which ways of keeping budgets are compared."""

from __future__ import annotations

import random

import attrs

# Seconds that a killed process takes to be back.
RESTART_AFTER = 1.5
TOKENS_PER_SECOND = 25.0
MEAN_ANSWER = 310
MAX_ANSWER = 2000
PROMPT = 90
# Shares of the trace at which the store goes away, and for how many seconds.
OUTAGES_AT = (0.1, 0.3, 0.5, 0.7, 0.8)
OUTAGE_SECONDS = 9.0
# Shares of the trace at which all routers are apart, and for how many seconds.
APART_AT = (0.15, 0.45, 0.75)
APART_SECONDS = 8.0
# Routers of a data centre; the first of them is the home of all accounts.
FRONTS = 5
# From when to when the largest account sends so many times its usual, all of it to one
# router that is not its home, as shares of the trace.
HOT_FROM, HOT_UNTIL, HOT_FACTOR = 0.42, 0.48, 5.0
HOT_FRONT = 1


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
        ``cut``, ``heal``, ``kill``, ``restart``; ``apart`` and ``together`` for all
        routers.
    """

    at: float
    kind: str
    data_centre: str


@attrs.frozen
class Arrival:
    """A request of the trace.

    Attributes
    ----------
    front
        Which router of the data centre it comes to.
    """

    at: float
    number: int
    data_centre: str
    account: str
    used: int
    front: int = 0

    @property
    def reserved(self) -> int:
        """Return what the worst case needs, in tokens."""
        return PROMPT + MAX_ANSWER

    @property
    def seconds(self) -> float:
        """Return how long the answer takes."""
        return self.used / TOKENS_PER_SECOND


def make_trace(
    deployment: Deployment, seconds: float, seed: int, *, hot: bool = False
) -> list[Arrival]:
    """Return seeded arrivals; a few accounts and places see most of them.

    Parameters
    ----------
    hot
        Whether one account sends many times its usual for a while.
    """
    rng = random.Random(seed)
    accounts = list(deployment.budgets)
    weights = [deployment.budgets[account] for account in accounts]
    places = list(deployment.data_centres)
    largest = max(accounts, key=lambda account: deployment.budgets[account])
    hot_weights = [
        weight * (HOT_FACTOR if account == largest else 1.0)
        for account, weight in zip(accounts, weights, strict=True)
    ]
    hot_rate = deployment.rate * sum(hot_weights) / sum(weights)
    trace: list[Arrival] = []
    now = 0.0
    while True:
        is_hot = hot and HOT_FROM <= now / seconds < HOT_UNTIL
        now += rng.expovariate(hot_rate if is_hot else deployment.rate)
        if now >= seconds:
            return trace
        used = PROMPT + min(int(rng.expovariate(1 / MEAN_ANSWER)) + 1, MAX_ANSWER)
        (account,) = rng.choices(accounts, hot_weights if is_hot else weights)
        (place,) = rng.choices(places, range(len(places), 0, -1))
        number = len(trace)
        front = number % FRONTS
        if is_hot and account == largest:
            place, front = places[0], HOT_FRONT
        trace.append(Arrival(now, number, place, account, used, front))


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
        "apart": _apart(deployment, seconds),
        "hot_apart": _apart(deployment, seconds),
    }


def _outages(deployment: Deployment, seconds: float) -> list[Fault]:
    """Cut all data centres off from the store, some times for some seconds."""
    faults = []
    for share in OUTAGES_AT:
        for place in deployment.data_centres:
            faults.append(Fault(seconds * share, "cut", place))
            faults.append(Fault(seconds * share + OUTAGE_SECONDS, "heal", place))
    return faults


def _apart(deployment: Deployment, seconds: float) -> list[Fault]:
    """Cut all routers off from one another and from the store."""
    faults = []
    for share in APART_AT:
        for place in deployment.data_centres:
            faults.append(Fault(seconds * share, "apart", place))
            faults.append(Fault(seconds * share + APART_SECONDS, "together", place))
    return faults
