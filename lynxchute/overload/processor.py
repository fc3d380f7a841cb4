"""Measure a router's processor use from the iterations of its event loop."""

from __future__ import annotations

import math
from collections.abc import Callable

from lynxchute.overload.load import Load, LoadSource

# Time constant in seconds of the decay of the measured use: long enough for several
# requests, so that one long event does not look like high load.
USE_DECAY_SECONDS = 0.5
# Time constant of the decay of the delay: a burst fills a VM within some tenths of a
# second.
DELAY_DECAY_SECONDS = 0.25
# Timers normally fire this many seconds late.
TIMER_SLACK_SECONDS = 0.002
# A loop iteration longer than MAX_ITERATION_SECONDS means that the VM was suspended; it
# counts as SUSPENDED_SECONDS.
MAX_ITERATION_SECONDS = 1.0
SUSPENDED_SECONDS = 0.25


class ProcessorMeter(LoadSource):
    """Measure the share of time the event loop is busy, and how long events wait.

    Detects requests that need more processor time than the VM has. It uses the steady
    clock, so time that the processor spends on other processes counts as busy as well:
    to a caller there is no difference. A loop that sleeps longer than its timeout was
    not scheduled in the meantime.

    An event that arrives at a random moment waits for the current loop iteration, so
    the delay is the mean iteration length, weighted by length.

    Parameters
    ----------
    clock
        Seconds on the steady clock.

    Examples
    --------
    >>> meter = ProcessorMeter(lambda: 1.0)
    >>> for number in range(10):
    ...     meter.record_sleep(number * 0.1 + 0.08, number * 0.1 + 0.1, 0.05)
    >>> meter.load().use > 0.6
    True
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._woke_at: float | None = None
        self._busy = 0.0
        self._squared_work = 0.0
        self._updated_at = 0.0

    @property
    def name(self) -> str:
        """Return the name of the resource."""
        return "processor"

    def record_sleep(self, began: float, ended: float, timeout: float) -> None:
        """Record one sleep of the event loop between two iterations.

        Parameters
        ----------
        began, ended
            Start and end of the sleep, on the steady clock in seconds.
        timeout
            Seconds after which the sleep was to end at the latest.
        """
        woke_at, self._woke_at = self._woke_at, ended
        if woke_at is None:
            self._updated_at = ended
            return
        iteration = _bounded_work(began - woke_at)
        overslept = _bounded_work(ended - began - timeout - TIMER_SLACK_SECONDS)
        self._decay(ended)
        self._busy += iteration + overslept
        self._squared_work += iteration * iteration + overslept * overslept

    def load(self) -> Load:
        """Return the busy share of the time and the expected delay of an event."""
        now = self._clock()
        self._decay(now)
        # The current iteration counts before it has ended, as it may be a long one.
        iteration = (
            _bounded_work(now - self._woke_at) if self._woke_at is not None else 0.0
        )
        use = (self._busy + iteration) / USE_DECAY_SECONDS
        return Load(
            use, (self._squared_work + iteration * iteration) / DELAY_DECAY_SECONDS
        )

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed > 0.0:
            self._busy *= math.exp(-elapsed / USE_DECAY_SECONDS)
            self._squared_work *= math.exp(-elapsed / DELAY_DECAY_SECONDS)
        self._updated_at = now


def _bounded_work(seconds: float) -> float:
    """Return a duration as busy time: 0 if invalid, shortened after a suspension."""
    if not seconds > 0.0:
        return 0.0
    return seconds if seconds <= MAX_ITERATION_SECONDS else SUSPENDED_SECONDS
