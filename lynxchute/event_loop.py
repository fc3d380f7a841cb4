"""Event loop whose timers include time spent in VM suspension."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from lynxchute.clock import steady_seconds

ResultT = TypeVar("ResultT")

# Maximum seconds of one sleep of the loop. The kernel's sleep does not count suspended
# time, so a timer that expires during a suspension fires up to this much late: a
# quarter of the shortest latency objective in use. A busy router wakes more often.
MAX_SLEEP_SECONDS = 0.1
# Seconds by which a sleep may be longer than asked for before it counts as interrupted.
LATE_SECONDS = 0.02


# Called with the start, the end and the timeout of each sleep of the loop, in seconds.
SleepObserver = Callable[[float, float, float], None]


class _CappedSelector(selectors.DefaultSelector):
    """Selector that caps the timeout of each wait and notifies sleep observers."""

    def __init__(self) -> None:
        super().__init__()
        self.observers: list[SleepObserver] = []

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None or timeout > MAX_SLEEP_SECONDS:
            timeout = MAX_SLEEP_SECONDS
        began = steady_seconds()
        events = super().select(timeout)
        if not events or steady_seconds() - began > timeout + LATE_SECONDS:
            # A wait that a stop of the process interrupts reports nothing, or only
            # what came before. The rest is handled before the timers that are due.
            events = super().select(0)
        ended = steady_seconds()
        for observer in self.observers:
            observer(began, ended, timeout)
        return events


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Selector event loop with timers on the clock of `lynxchute.clock`."""

    def __init__(self) -> None:
        selector = _CappedSelector()
        super().__init__(selector)
        self.sleep_observers = selector.observers

    def time(self) -> float:
        """Return seconds on the clock that also runs during a suspension."""
        return steady_seconds()


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to completion on a new `SteadyEventLoop`."""
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        return runner.run(work)
