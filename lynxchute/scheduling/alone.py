"""Place generations where no router that schedules for the fleet can be reached.

Answers loads in a cut, or where the scheduling router dies, freezes or is too slow.
What a router alone knows of the engines' load is what it sends them itself, and what
they say of themselves: that is no reason to send a caller away.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from lynxchute.upstreams.entry import Entry

# Engines that are compared for each request: with two at random nobody's favourite
# gets what all routers send, and busy ones are passed over all the same.
COMPARED = 2
# Share of an engine's places that one router alone fills: others may do likewise, but
# one of them may well have half of all callers.
OWN_SHARE = 0.5
# Engines whose taken share of their places differs by less than this are alike, and
# what they keep of the prompt decides.
LIKE_SHARE = 0.05
# One that has few places gets so many at least.
LEAST_OWN = 2


def most_own(slots: int) -> int:
    """Return the open requests that one router alone may have at an engine.

    Examples
    --------
    >>> most_own(48), most_own(1)
    (24, 2)
    """
    return max(int(slots * OWN_SHARE), LEAST_OWN)


def two_at_random(candidates: Iterable[Entry], rng: random.Random) -> list[Entry]:
    """Return engines to compare, which this router has not filled by itself.

    There is none where it has filled all. Those that fare badly are taken only where
    there is no other one.
    """
    free = []
    for entry in candidates:
        if entry.open_requests < most_own(entry.upstream.slots):
            free.append(entry)
    well = [entry for entry in free if not entry.health.bad_in_row]
    chosen = well or free
    return rng.sample(chosen, min(COMPARED, len(chosen)))


def with_most_room(entries: Sequence[Entry], now: float) -> list[Entry]:
    """Return the engines with most room, by what they say and what is open here."""
    least = min((_use(entry, now) for entry in entries), default=0.0)
    return [entry for entry in entries if _use(entry, now) <= least + LIKE_SHARE]


def _use(entry: Entry, now: float) -> float:
    """Return the share of an engine's places that is taken, as far as is known."""
    own = entry.open_requests / max(entry.upstream.slots, 1)
    return max(own, entry.reported_load(now))
