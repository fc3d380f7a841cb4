"""How much of its processor a router uses, from the turns of its event loop."""

from __future__ import annotations

import math
from collections.abc import Callable

from lynxchute.overload.load import Load, LoadSource

# Seconds over which turns of the loop fade from the use: some requests, so that one
# long event makes nobody busy.
USE_SECONDS = 0.5
# The same for the wait: a burst fills a VM within a few tenths of a second.
DELAY_SECONDS = 0.25
# Timers fire a little late by themselves.
USUAL_LATENESS = 0.002
# Longer turns than this are no load but a suspension, and count as so much.
MAX_TURN_SECONDS = 1.0
SUSPENDED_SECONDS = 0.25


class ProcessorMeter(LoadSource):
    """Know the share of the time in which the loop works, and how long events wait.

    The load that it answers is requests that need more processor time than the VM has.
    The time is that of the steady clock, so that what the processor does for others
    counts as work as well: to a caller it is the same. A loop that sleeps for longer
    than it asked to was not run meanwhile.

    An event that comes at any moment waits for the turn that is under way, so that the
    wait is the mean length of turns, each weighted by its length.

    Parameters
    ----------
    clock
        Seconds on the steady clock.

    Examples
    --------
    >>> meter = ProcessorMeter(lambda: 1.0)
    >>> for turn in range(10):
    ...     meter.record_sleep(turn * 0.1 + 0.08, turn * 0.1 + 0.1, 0.05)
    >>> meter.load().use > 0.6
    True
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._woke_at: float | None = None
        self._work = 0.0
        self._waited = 0.0
        self._at = 0.0

    @property
    def name(self) -> str:
        """Return the resource in one word."""
        return "processor"

    def record_sleep(self, began: float, ended: float, asked: float) -> None:
        """Take one sleep of the loop between two turns.

        Parameters
        ----------
        began, ended
            When it began and ended, on the steady clock in seconds.
        asked
            Seconds after which it was to end at the latest.
        """
        woke_at, self._woke_at = self._woke_at, ended
        if woke_at is None:
            self._at = ended
            return
        turn = _bounded(began - woke_at)
        overslept = _bounded(ended - began - asked - USUAL_LATENESS)
        self._fade(ended)
        self._work += turn + overslept
        self._waited += turn * turn + overslept * overslept

    def load(self) -> Load:
        """Return the share of the time that was worked, and the wait of an event."""
        now = self._clock()
        self._fade(now)
        # A turn that is under way is long before it has ended.
        turn = _bounded(now - self._woke_at) if self._woke_at is not None else 0.0
        use = (self._work + turn) / USE_SECONDS
        return Load(use, (self._waited + turn * turn) / DELAY_SECONDS)

    def _fade(self, now: float) -> None:
        passed = now - self._at
        if passed > 0.0:
            self._work *= math.exp(-passed / USE_SECONDS)
            self._waited *= math.exp(-passed / DELAY_SECONDS)
        self._at = now


def _bounded(seconds: float) -> float:
    """Return a time that may count as work."""
    if not seconds > 0.0:
        return 0.0
    return seconds if seconds <= MAX_TURN_SECONDS else SUSPENDED_SECONDS
