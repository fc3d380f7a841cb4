"""How long changes of grants wait after others came first."""

from __future__ import annotations

import random

# Seconds until grants are changed again after another router's write came
# first, doubled with each time in a row; a write takes 5 ms, twice that over
# several parts.
FIRST_PAUSE = 0.02
MAX_PAUSE = 0.3
# Each pause is drawn from this share of it to that, so that routers which were in
# each other's way are not again.
SPREAD = (0.5, 1.5)


class GrantPause:
    """Let other routers change grants first; lines are written meanwhile.

    Times are seconds on the steady clock.

    Parameters
    ----------
    rng
        Spreads the pauses of several routers.

    Examples
    --------
    >>> pause = GrantPause(random.Random(1))
    >>> pause.is_over(10.0)
    True
    >>> seconds = pause.begin(10.0)
    >>> pause.is_over(10.0), pause.is_over(10.0 + seconds)
    (False, True)
    """

    def __init__(self, rng: random.Random) -> None:
        self.until = 0.0
        self._conflicts = 0
        self._random = rng

    def is_over(self, now: float) -> bool:
        """Return whether grants may be changed."""
        return now >= self.until

    def begin(self, now: float) -> float:
        """Note that another write came first; return the seconds to wait."""
        seconds: float = min(FIRST_PAUSE * 2**self._conflicts, MAX_PAUSE)
        seconds *= self._random.uniform(*SPREAD)
        self._conflicts += 1
        self.until = now + seconds
        return seconds

    def note_changed(self) -> None:
        """Note that grants were changed."""
        self._conflicts = 0
