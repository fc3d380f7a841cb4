"""Exponential backoff for changes of grants after write conflicts."""

from __future__ import annotations

import random

# Seconds until grants are changed again after a conflict with another router's write,
# doubled with each further conflict in a row. A write takes 5 ms, twice that if it
# spans several partitions of the store.
INITIAL_BACKOFF = 0.02
MAX_BACKOFF = 0.3
# Each delay is multiplied by a random factor from this range, so that routers whose
# writes conflicted do not collide again.
JITTER = (0.5, 1.5)


class GrantBackoff:
    """Delay changes of grants after conflicts; limit lines are written meanwhile.

    Times are seconds on the steady clock.

    Parameters
    ----------
    rng
        Source of the jitter.

    Attributes
    ----------
    until
        When grants may be changed again.

    Examples
    --------
    >>> backoff = GrantBackoff(random.Random(1))
    >>> backoff.is_over(10.0)
    True
    >>> seconds = backoff.record_conflict(10.0)
    >>> backoff.is_over(10.0), backoff.is_over(10.0 + seconds)
    (False, True)
    """

    def __init__(self, rng: random.Random) -> None:
        self.until = 0.0
        self._conflicts = 0
        self._random = rng

    def is_over(self, now: float) -> bool:
        """Return whether the delay has passed and grants may be changed."""
        return now >= self.until

    def record_conflict(self, now: float) -> float:
        """Record a conflict with another router's write; return the delay."""
        seconds: float = min(INITIAL_BACKOFF * 2**self._conflicts, MAX_BACKOFF)
        seconds *= self._random.uniform(*JITTER)
        self._conflicts += 1
        self.until = now + seconds
        return seconds

    def record_success(self) -> None:
        """Record a committed change of grants, which resets the backoff."""
        self._conflicts = 0
