"""How much of a named limit routers use, and how far they pass it, by way of sharing.

Routers get requests at random and send what they may to the one upstream that names a
limit, on a virtual clock; whatever they may not send goes to others. Prints a JSON line
for each way and fleet.
"""

from __future__ import annotations

import json
import random
from collections import deque

import attrs

from lynxchute.upstreams.cold_admission import TAKE_OVER_SECONDS, HeldRank
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.rate_sharing import SHARINGS_BY_NAME, TurnPosition
from lynxchute.upstreams.statement import Statement
from lynxchute.upstreams.upstream import Upstream

# Seconds over which an upstream's bound is stated.
SPAN_SECONDS = 4.0
PLAY_SECONDS = 400.0
# The store's clock where a play begins, in milliseconds.
CLOCK_MS = 1_000_000


@attrs.frozen
class Fleet:
    """Routers and what reaches them.

    Attributes
    ----------
    routers
        How many there are.
    limit
        What the upstream names, in requests a second.
    demand
        Requests a second at all routers that it could serve.
    is_cut
        Whether no router reaches another one, or the store.
    """

    routers: int
    limit: float
    demand: float
    is_cut: bool = False


@attrs.frozen
class Shared:
    """What came of a fleet.

    Attributes
    ----------
    used
        Share of the limit that was used.
    most
        Requests in the fullest span, over what the limit allows for it.
    """

    used: float
    most: float


FLEETS = (
    Fleet(routers=8, limit=1.0, demand=5.0),
    Fleet(routers=8, limit=1.0, demand=5.0, is_cut=True),
    Fleet(routers=8, limit=0.25, demand=5.0),
    Fleet(routers=8, limit=10.0, demand=20.0),
    Fleet(routers=63, limit=5.0, demand=20.0),
    Fleet(routers=195, limit=5.0, demand=20.0),
    Fleet(routers=195, limit=5.0, demand=20.0, is_cut=True),
)


def play(fleet: Fleet, way: str, seed: int = 1) -> Shared:
    """Play a fleet with a way of sharing; return what came of it."""
    rng = random.Random(seed)
    entry = Entry(Upstream("e", "pool", "127.0.0.1:1", "a"))
    entry.backpressure.record_answer(
        Statement(fleet.limit), asked_at=0.0, now=0.0, clock_ms=0
    )
    routers = [_limits(fleet, way, rank) for rank in range(fleet.routers)]
    now, sent, most = TAKE_OVER_SECONDS, 0, 0
    recent: deque[float] = deque()
    while now < PLAY_SECONDS:
        now += rng.expovariate(fleet.demand)
        router = rng.choice(routers)
        counting = router if fleet.is_cut else routers[0]
        if not (router.use_turn(entry, now) or counting.admit(entry, now)):
            continue
        sent += 1
        recent.append(now)
        while now - recent[0] >= SPAN_SECONDS:
            recent.popleft()
        most = max(most, len(recent))
    seconds = PLAY_SECONDS - TAKE_OVER_SECONDS
    return Shared(
        used=sent / (fleet.limit * seconds), most=most / (fleet.limit * SPAN_SECONDS)
    )


def _limits(fleet: Fleet, way: str, rank: int) -> RateLimits:
    return RateLimits(
        SHARINGS_BY_NAME[way](),
        lambda service, now: HeldRank(rank, now),
        lambda service: TurnPosition(rank, fleet.routers),
        lambda now: CLOCK_MS + int(now * 1000.0),
        lambda now: 1e9 if fleet.is_cut else 0.0,
    )


def main() -> None:
    """Print what came of each fleet with each way."""
    for fleet in FLEETS:
        for way in SHARINGS_BY_NAME:
            shared = play(fleet, way)
            row = {**attrs.asdict(fleet), "way": way}
            row.update(used=round(shared.used, 3), most=round(shared.most, 2))
            print(json.dumps(row))


if __name__ == "__main__":
    main()
