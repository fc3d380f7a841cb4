"""An event loop whose timers count the time of a suspension."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from lynxchute.clock import steady_seconds

ResultT = TypeVar("ResultT")

# Seconds for which the loop sleeps at most. The kernel's sleep does not count a
# suspension: a timer that is due meanwhile fires so much later at most, a quarter of
# the shortest latency objective in use. A router that serves wakes more often anyway.
MAX_SLEEP_SECONDS = 0.1


class _BriefSelector(selectors.DefaultSelector):
    """Wait for no longer than the loop may sleep."""

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None or timeout > MAX_SLEEP_SECONDS:
            timeout = MAX_SLEEP_SECONDS
        return super().select(timeout)


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Run timers by the clock that goes on while the VM is suspended."""

    def __init__(self) -> None:
        super().__init__(_BriefSelector())

    def time(self) -> float:
        """Return seconds on the clock of `lynxchute.clock`."""
        return steady_seconds()


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on such a loop."""
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        return runner.run(work)
