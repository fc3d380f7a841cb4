"""Reload of changed settings while the router runs."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from expression import Result

from lynxchute.application import BackgroundTask
from lynxchute.edge.settings import EdgeSettings
from lynxchute.telemetry import log_event

# Seconds between two checks of the file, which may change without a signal; a check
# costs almost nothing.
POLL_SECONDS = 1.0

SettingsReader = Callable[[], Result[EdgeSettings, tuple[str, ...]]]


class SettingsWatcher(BackgroundTask):
    """Reloads the settings at SIGHUP and when the file has changed.

    Parameters
    ----------
    settings
        Settings in effect.
    read
        Reads the settings file; returns the settings, or its errors.
    stamp
        Returns a value that changes whenever the file is written.
    apply
        Called with valid settings that differ from those in effect.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        read: SettingsReader,
        stamp: Callable[[], object],
        apply: Callable[[EdgeSettings], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._read = read
        self._stamp = stamp
        self._apply = apply
        self._last_stamp = stamp()
        self._reload_requested = asyncio.Event()
        self._last_problems: tuple[str, ...] = ()

    async def start(self) -> None:
        """Install the SIGHUP handler and start watching."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        await super().start()

    async def stop(self) -> None:
        """Remove the SIGHUP handler and stop watching."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        await super().stop()

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(POLL_SECONDS):
                    await self._reload_requested.wait()
            except TimeoutError:
                # No signal, but the file may have changed.
                pass
            by_signal = self._reload_requested.is_set()
            self._reload_requested.clear()
            self._poll(by_signal)

    def _poll(self, by_signal: bool) -> None:
        stamp = self._stamp()
        if stamp == self._last_stamp and not by_signal:
            return
        self._last_stamp = stamp
        result = self._read()
        if result.is_error():
            if result.error != self._last_problems or by_signal:
                log_event("settings rejected", problems=result.error)
            self._last_problems = result.error
            return
        self._last_problems = ()
        if result.ok == self._settings:
            if by_signal:
                log_event("settings reloaded", changed=False)
            return
        log_event("settings reloaded", changed=True, by_signal=by_signal)
        self._settings = result.ok
        self._apply(result.ok)
