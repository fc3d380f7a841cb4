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
# Routers in a row without an answer after which nobody is asked for a while: each costs
# its request 0.1 s. One may be slow for reasons of its own, and what is placed alone is
# not known to those who schedule.
SILENT_ROUTERS = 3
PAUSE_SECONDS = 0.5
# Seconds for which the question of another router shows that this one schedules for
# others too.
ASKED_SECONDS = 1.0


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
    return max(own, entry.stated_use(now))


class Answers:
    """Tell whether it is of use to ask other routers for places.

    Attributes
    ----------
    asked_at
        When another router last asked this one for a place.
    """

    def __init__(self) -> None:
        self.asked_at = float("-inf")
        self._silent: set[str] = set()
        self._paused_until = float("-inf")

    def note_answer(self) -> None:
        """Note that a question was answered."""
        self._silent.clear()

    def note_silence(self, vm: str, now: float) -> None:
        """Note that a router has not answered; many may have asked it at once."""
        self._silent.add(vm)
        if len(self._silent) >= SILENT_ROUTERS:
            self._silent.clear()
            self._paused_until = now + PAUSE_SECONDS

    def may_ask(self, now: float) -> bool:
        """Return whether others are worth a question."""
        return now >= self._paused_until

    def is_asked(self, now: float) -> bool:
        """Return whether another router has asked of late."""
        return now - self.asked_at < ASKED_SECONDS
