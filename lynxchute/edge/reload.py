"""Take changed settings while the router runs."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from expression import Result

from lynxchute.application import BackgroundTask
from lynxchute.edge.settings import EdgeSettings
from lynxchute.telemetry import log_event

# The file may change without a signal; looking at it costs next to nothing.
LOOK_SECONDS = 1.0

Reader = Callable[[], Result[EdgeSettings, tuple[str, ...]]]


class SettingsWatcher(BackgroundTask):
    """Read the settings again at SIGHUP, and when they have changed silently.

    Parameters
    ----------
    settings
        Those in force.
    read
        Returns the present ones, or what is wrong with them.
    stamp
        Returns something that differs once the file has been written.
    apply
        Takes those that are in order and differ.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        read: Reader,
        stamp: Callable[[], object],
        apply: Callable[[EdgeSettings], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._read = read
        self._stamp = stamp
        self._apply = apply
        self._seen = stamp()
        self._asked = asyncio.Event()
        self._problem: tuple[str, ...] = ()

    async def start(self) -> None:
        """Begin to watch."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._asked.set)
        await super().start()

    async def stop(self) -> None:
        """Stop watching."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        await super().stop()

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(LOOK_SECONDS):
                    await self._asked.wait()
            except TimeoutError:
                # No signal; the file may have changed all the same.
                pass
            by_signal = self._asked.is_set()
            self._asked.clear()
            self._look(by_signal)

    def _look(self, by_signal: bool) -> None:
        stamp = self._stamp()
        if stamp == self._seen and not by_signal:
            return
        self._seen = stamp
        result = self._read()
        if result.is_error():
            if result.error != self._problem or by_signal:
                log_event("settings rejected", problems=result.error)
            self._problem = result.error
            return
        self._problem = ()
        if result.ok == self._settings:
            if by_signal:
                log_event("settings reloaded", changed=False)
            return
        log_event("settings reloaded", changed=True, by_signal=by_signal)
        self._settings = result.ok
        self._apply(result.ok)
