"""An event loop whose timers count the time of a suspension."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from lynxchute.clock import steady_seconds

ResultT = TypeVar("ResultT")

# Seconds for which the loop sleeps at most. The kernel's sleep does not count a
# suspension: a timer that is due meanwhile fires so much later at most, a quarter of
# the shortest latency objective in use. A router that serves wakes more often anyway.
MAX_SLEEP_SECONDS = 0.1


# Takes when a sleep of the loop began and ended, and how long it was to last at most.
SleepObserver = Callable[[float, float, float], None]


class _BriefSelector(selectors.DefaultSelector):
    """Wait for no longer than the loop may sleep, and tell who observes it."""

    def __init__(self) -> None:
        super().__init__()
        self.observers: list[SleepObserver] = []

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None or timeout > MAX_SLEEP_SECONDS:
            timeout = MAX_SLEEP_SECONDS
        if not self.observers:
            return super().select(timeout)
        began = steady_seconds()
        events = super().select(timeout)
        ended = steady_seconds()
        for observer in self.observers:
            observer(began, ended, timeout)
        return events


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Run timers by the clock that goes on while the VM is suspended."""

    def __init__(self) -> None:
        selector = _BriefSelector()
        super().__init__(selector)
        self.sleep_observers = selector.observers

    def time(self) -> float:
        """Return seconds on the clock of `lynxchute.clock`."""
        return steady_seconds()


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on such a loop."""
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        return runner.run(work)
