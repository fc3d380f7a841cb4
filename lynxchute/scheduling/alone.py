"""Choose engines when the scheduling router is unavailable.

Used during a network partition, and when the scheduling router has crashed, hangs or is
too slow. The router then knows only its own open requests and the load that engines
report. Not knowing the rest of the load is no reason to refuse a request.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from lynxchute.upstreams.entry import UpstreamEntry

# Engines compared for each request. Two random choices keep several routers from
# sending everything to the same engine, and still avoid busy engines.
SAMPLE_SIZE = 2
# Share of an engine's slots that one router may fill without coordination. Several
# routers together can exceed its slots, but one router alone may receive half of all
# requests.
LOCAL_SHARE = 0.5
# Engines whose loads differ by less than this count as equal; their cached prompt parts
# then decide.
LOAD_TOLERANCE = 0.05
# Minimum number of requests per engine, for engines with few slots.
MIN_LOCAL_REQUESTS = 2


def max_local_requests(slots: int) -> int:
    """Return how many open requests an uncoordinated router may have at an engine.

    Examples
    --------
    >>> max_local_requests(48), max_local_requests(1)
    (24, 2)
    """
    return max(int(slots * LOCAL_SHARE), MIN_LOCAL_REQUESTS)


def sample_candidates(
    candidates: Iterable[UpstreamEntry], rng: random.Random
) -> list[UpstreamEntry]:
    """Return random engines on which this router has not used up its share.

    The list is empty if it has used up its share of all engines. Engines whose latest
    request had a bad outcome are used only if there is no other one.
    """
    free = []
    for entry in candidates:
        if entry.open_requests < max_local_requests(entry.upstream.slots):
            free.append(entry)
    healthy = [entry for entry in free if not entry.health.bad_in_row]
    pool = healthy or free
    return rng.sample(pool, min(SAMPLE_SIZE, len(pool)))


def least_loaded(entries: Sequence[UpstreamEntry], now: float) -> list[UpstreamEntry]:
    """Return the engines with the lowest load, by their reports and local requests."""
    least = min((_load(entry, now) for entry in entries), default=0.0)
    return [entry for entry in entries if _load(entry, now) <= least + LOAD_TOLERANCE]


def _load(entry: UpstreamEntry, now: float) -> float:
    """Return the known share of an engine's slots in use."""
    own = entry.open_requests / max(entry.upstream.slots, 1)
    return max(own, entry.reported_load(now))
