"""Simulate how far routers use or exceed an upstream's rate limit.

Routers get requests at random and send as many as their share allows to the one
upstream that declares a limit, on a virtual clock; the others count as sent elsewhere.
Prints a JSON line for each fleet and each method of sharing the limit.
"""

from __future__ import annotations

import json
import random
from collections import deque

import attrs

from lynxchute.upstreams.cold_admission import TAKE_OVER_SECONDS, HeldRank
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.rate_sharing import SHARINGS_BY_NAME, TurnPosition
from lynxchute.upstreams.statement import DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream

# Length of the window in which an upstream's requests are counted, in seconds.
SPAN_SECONDS = 4.0
PLAY_SECONDS = 400.0
# The store's clock at the start of a simulation, in milliseconds.
CLOCK_MS = 1_000_000


@attrs.frozen
class Fleet:
    """A number of routers, and the load on them.

    Attributes
    ----------
    routers
        The number of routers.
    limit
        The limit that the upstream declares, in requests a second.
    demand
        Requests a second at all routers together that could go to this upstream.
    is_cut
        Whether every router is cut off from the others and from the store.
    """

    routers: int
    limit: float
    demand: float
    is_cut: bool = False


@attrs.frozen
class SharingResult:
    """The result of a simulation.

    Attributes
    ----------
    used
        The share of the limit that was used.
    most
        Requests in the busiest window, divided by what the limit allows in it.
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


def play(fleet: Fleet, sharing: str, seed: int = 1) -> SharingResult:
    """Simulate a fleet with a method of sharing the limit; return the result."""
    rng = random.Random(seed)
    entry = UpstreamEntry(Upstream("e", "pool", "127.0.0.1:1", "a"))
    entry.backpressure.record_answer(
        DeclaredBackpressure(fleet.limit), asked_at=0.0, now=0.0, clock_ms=0
    )
    routers = [_rate_limits(fleet, sharing, rank) for rank in range(fleet.routers)]
    now, sent, most = TAKE_OVER_SECONDS, 0, 0
    recent: deque[float] = deque()
    while now < PLAY_SECONDS:
        now += rng.expovariate(fleet.demand)
        router = rng.choice(routers)
        admitting = router if fleet.is_cut else routers[0]
        if not (router.use_turn(entry, now) or admitting.admit(entry, now)):
            continue
        sent += 1
        recent.append(now)
        while now - recent[0] >= SPAN_SECONDS:
            recent.popleft()
        most = max(most, len(recent))
    seconds = PLAY_SECONDS - TAKE_OVER_SECONDS
    return SharingResult(
        used=sent / (fleet.limit * seconds), most=most / (fleet.limit * SPAN_SECONDS)
    )


def _rate_limits(fleet: Fleet, sharing: str, rank: int) -> RateLimits:
    return RateLimits(
        SHARINGS_BY_NAME[sharing](),
        lambda service, now: HeldRank(rank, now),
        lambda service: TurnPosition(rank, fleet.routers),
        lambda now: CLOCK_MS + int(now * 1000.0),
        lambda now: 1e9 if fleet.is_cut else 0.0,
    )


def main() -> None:
    """Print the result of each fleet with each method of sharing."""
    for fleet in FLEETS:
        for sharing in SHARINGS_BY_NAME:
            result = play(fleet, sharing)
            row = {**attrs.asdict(fleet), "way": sharing}
            row.update(used=round(result.used, 3), most=round(result.most, 2))
            print(json.dumps(row))


if __name__ == "__main__":
    main()
