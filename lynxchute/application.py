"""An application owns its parts: it starts, drains and stops them in order."""

from __future__ import annotations

import asyncio
import enum
import random
import signal
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from absl import logging

# Seconds that the ticks of this process are apart from those of others.
_PHASE = random.random()
# A tick that is nearer than this share of the interval is left out.
TICK_MARGIN = 0.01


def _always() -> bool:
    return True


class Component:
    """A part of an application; each hook does nothing by default."""

    async def start(self) -> None:
        """Begin to work."""

    async def drain(self, deadline: float) -> None:
        """Take no new work and finish what is open.

        Parameters
        ----------
        deadline
            Seconds that this may take.
        """

    async def stop(self) -> None:
        """End at once and let go of everything."""


class BackgroundTask(Component, ABC):
    """A part that works in one task of its own."""

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None

    @abstractmethod
    async def _run(self) -> None:
        """Work until cancelled."""

    async def start(self) -> None:
        """Begin to work."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End at once."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


class PeriodicTask(BackgroundTask):
    """A part that does one thing again and again.

    Parameters
    ----------
    name
        Its name in the logs.
    step
        Called each time.
    interval
        Seconds between the calls, at most.
    is_due
        Returns whether a call at the end of an interval would do anything.
    """

    def __init__(
        self,
        name: str,
        step: Callable[[], Awaitable[None]],
        interval: float,
        is_due: Callable[[], bool] = _always,
    ) -> None:
        super().__init__()
        self._name = name
        self._step = step
        self._interval = interval
        self._is_due = is_due
        self._timer: asyncio.TimerHandle | None = None
        self._is_woken = False
        self._waiter: asyncio.Future[None] | None = None

    def wake(self) -> None:
        """Make the next call at once."""
        self._is_woken = True
        self._ring()

    def _ring(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _tick(self) -> None:
        """Wake the task only for what is due: that takes another turn of the loop."""
        try:
            is_due = self._is_due()
        except Exception:
            logging.exception("periodic task %s: due check failed", self._name)
            is_due = True
        if is_due:
            self._ring()
            return
        self._set_timer()

    def _set_timer(self) -> None:
        loop = asyncio.get_running_loop()
        tick = _next_tick(loop.time(), self._interval)
        self._timer = loop.call_at(tick, self._tick)

    async def _wait(self) -> None:
        """Wait until an interval ends with something due, or until woken."""
        if not self._is_woken:
            self._waiter = asyncio.get_running_loop().create_future()
            self._set_timer()
            try:
                await self._waiter
            finally:
                assert self._timer is not None
                self._timer.cancel()
                self._waiter = None
        self._is_woken = False

    async def _run(self) -> None:
        while True:
            await self._wait()
            try:
                await self._step()
            except Exception:
                logging.exception("periodic task %s: step failed", self._name)


def _next_tick(now: float, interval: float) -> float:
    """Return when an interval ends next; short intervals end with longer ones.

    Loops that wake together cost one wake-up. The phase differs by process, so that
    the routers of a fleet do not look all at once.
    """
    tick = ((now - _PHASE) // interval + 1.0) * interval + _PHASE
    # Rounding must not bring the tick back that has just been.
    return tick if tick - now > interval * TICK_MARGIN else tick + interval


class Tasks(Component):
    """Background tasks that end with the application."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Run something in the background."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def stop(self) -> None:
        """Cancel what still runs."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logging.error("a background task failed: %r", task.exception())


class StopReason(enum.Enum):
    """Why an application ended."""

    STOPPED = "stopped"
    FENCED = "fenced"


class Application:
    """Run components until told to stop.

    Parameters
    ----------
    stop_deadline
        Seconds that open work may take when the application stops.
    """

    def __init__(self, stop_deadline: float) -> None:
        self.components: list[Component] = []
        self._stop_deadline = stop_deadline
        self._ending: asyncio.Future[StopReason] | None = None

    async def start(self) -> None:
        """Start the components in order."""
        self._ending = asyncio.get_running_loop().create_future()
        for component in self.components:
            await component.start()

    async def run(self) -> StopReason:
        """Start, serve until asked to end, drain and stop."""
        await self.start()
        assert self._ending is not None
        ending = await asyncio.shield(self._ending)
        if ending is StopReason.STOPPED:
            await self.drain()
        await self.kill()
        return ending

    @property
    def is_ending(self) -> bool:
        """Return whether the application has been asked to end."""
        return self._ending is not None and self._ending.done()

    def request_stop(self, ending: StopReason) -> None:
        """Ask the application to end; the first reason counts."""
        if self._ending is not None and not self._ending.done():
            self._ending.set_result(ending)

    async def drain(self) -> None:
        """Finish open work, last component first; cut nothing in time."""
        loop = asyncio.get_running_loop()
        request_stop = loop.time() + self._stop_deadline
        for component in reversed(self.components):
            await component.drain(max(request_stop - loop.time(), 0.0))

    async def kill(self) -> None:
        """Stop every component at once, last one first."""
        for component in reversed(self.components):
            await component.stop()


def install_stop_handlers(
    request_stop: Callable[[], None], kill: Callable[[], None]
) -> None:
    """Call one function at the first SIGTERM or SIGINT, another at the second."""
    loop = asyncio.get_running_loop()
    seen = 0

    def handle() -> None:
        nonlocal seen
        seen += 1
        if seen == 1:
            request_stop()
        else:
            kill()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle)
