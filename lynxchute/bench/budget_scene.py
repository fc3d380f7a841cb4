"""Request traces and fault scenes for the comparison of budget schemes."""

from __future__ import annotations

import random

import attrs

# Seconds until a killed process has restarted.
RESTART_AFTER = 1.5
TOKENS_PER_SECOND = 25.0
MEAN_ANSWER = 310
MAX_ANSWER = 2000
PROMPT = 90
# Times at which the store becomes unreachable, as shares of the trace, and seconds of
# each outage.
OUTAGES_AT = (0.1, 0.3, 0.5, 0.7, 0.8)
OUTAGE_SECONDS = 9.0
# Times at which a network partition separates all routers, as shares of the trace, and
# seconds of each partition.
PARTITIONS_AT = (0.15, 0.45, 0.75)
PARTITION_SECONDS = 8.0
# Routers in each data centre; the first one is the home of all accounts.
ROUTERS = 5
# Start and end, as shares of the trace, of the period in which the largest account
# sends HOT_FACTOR times its usual rate, all of it to one router that is not its home.
HOT_FROM, HOT_UNTIL, HOT_FACTOR = 0.42, 0.48, 5.0
HOT_ROUTER = 1


@attrs.frozen
class Deployment:
    """The properties of a deployment that matter for budgets.

    Attributes
    ----------
    link_ms
        One-way latency between data centres, in milliseconds.
    rate
        Requests a second of all accounts together.
    """

    name: str
    data_centres: tuple[str, ...]
    budgets: dict[str, int]
    link_ms: float
    rate: float


@attrs.frozen
class Fault:
    """A fault of a data centre, or its end.

    Attributes
    ----------
    kind
        ``cut`` or ``heal`` its link to the store, ``kill`` or ``restart`` its home;
        ``apart`` and ``together`` begin and end a partition of all routers.
    """

    at: float
    kind: str
    data_centre: str


@attrs.frozen
class Arrival:
    """A request of the trace.

    Attributes
    ----------
    router
        The index of the router in the data centre that receives it; 0 is the home.
    """

    at: float
    number: int
    data_centre: str
    account: str
    used: int
    router: int = 0

    @property
    def reserved(self) -> int:
        """Return the tokens that the longest possible answer needs."""
        return PROMPT + MAX_ANSWER

    @property
    def seconds(self) -> float:
        """Return the duration of the answer."""
        return self.used / TOKENS_PER_SECOND


def make_trace(
    deployment: Deployment, seconds: float, seed: int, *, hot: bool = False
) -> list[Arrival]:
    """Return a seeded trace in which a few accounts and data centres get most requests.

    Parameters
    ----------
    hot
        Whether the largest account exceeds its usual rate for a while.
    """
    rng = random.Random(seed)
    accounts = list(deployment.budgets)
    weights = [deployment.budgets[account] for account in accounts]
    data_centres = list(deployment.data_centres)
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
        (data_centre,) = rng.choices(data_centres, range(len(data_centres), 0, -1))
        number = len(trace)
        router = number % ROUTERS
        if is_hot and account == largest:
            data_centre, router = data_centres[0], HOT_ROUTER
        trace.append(Arrival(now, number, data_centre, account, used, router))


def deployments() -> tuple[Deployment, ...]:
    """Return the two deployments that are compared."""
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
    """Return the faults of each scene, by its name."""
    first, *_, last = deployment.data_centres
    restarts = []
    for data_centre in deployment.data_centres:
        restarts.append(Fault(seconds * 0.8, "kill", data_centre))
        restarts.append(Fault(seconds * 0.8 + RESTART_AFTER, "restart", data_centre))
    return {
        "no_faults": [],
        "cut_and_death": [
            Fault(seconds * 0.2, "cut", last),
            Fault(seconds * 0.4, "kill", first),
            Fault(seconds * 0.4 + RESTART_AFTER, "restart", first),
            Fault(seconds * 0.7, "heal", last),
        ],
        "all_die": restarts,
        "store_away": _outages(deployment, seconds),
        "apart": _partitions(deployment, seconds),
        "hot_apart": _partitions(deployment, seconds),
    }


def _outages(deployment: Deployment, seconds: float) -> list[Fault]:
    """Return repeated outages of the store for all data centres."""
    faults = []
    for share in OUTAGES_AT:
        for data_centre in deployment.data_centres:
            faults.append(Fault(seconds * share, "cut", data_centre))
            faults.append(Fault(seconds * share + OUTAGE_SECONDS, "heal", data_centre))
    return faults


def _partitions(deployment: Deployment, seconds: float) -> list[Fault]:
    """Return repeated partitions of all routers from one another and the store."""
    faults = []
    for share in PARTITIONS_AT:
        for data_centre in deployment.data_centres:
            faults.append(Fault(seconds * share, "apart", data_centre))
            faults.append(
                Fault(seconds * share + PARTITION_SECONDS, "together", data_centre)
            )
    return faults
