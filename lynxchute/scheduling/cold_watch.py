"""Ask engines whether they have grown cold while the store cannot tell."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.application import Loop, Tasks
from lynxchute.upstreams.cold_admission import ColdLimits
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.probes import handle_probe

# Seconds between two looks, and so between two questions to an engine at least.
STEP_SECONDS = 0.3
# Seconds of the store's silence after which an engine may be cold with nobody knowing:
# a store that answers does so every 1.3 s at the latest.
SILENT_SECONDS = 1.6
# The most questions in a second: 70 engines are asked every 1.4 s.
MOST_PER_SECOND = 50.0


class ColdProber:
    """Ask the engines that this router schedules, in an outage of the store.

    An engine may grow cold at any moment, and its entry says so; where the store
    answers nobody only the engine itself can. Whoever schedules is asked for nearly all
    places, so that the others need not ask.

    Parameters
    ----------
    directory
        The upstreams.
    engines
        Asks them.
    limits_of
        Returns what the upstreams of a service bear while they are cold.
    schedules
        Returns whether this router places the requests of a service.
    silent_for
        Returns the seconds since the store last told of upstreams.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self,
        directory: Directory,
        engines: EngineClient,
        limits_of: Callable[[str], ColdLimits],
        is_scheduler_for: Callable[[str], bool],
        silent_for: Callable[[float], float],
        clock: Callable[[], float],
    ) -> None:
        self.tasks = Tasks()
        self.loop = Loop("cold", self._step, STEP_SECONDS, self._is_blind)
        self._directory = directory
        self._engines = engines
        self._limits_of = limits_of
        self._schedules = is_scheduler_for
        self._silent_for = silent_for
        self._clock = clock

    def _is_blind(self) -> bool:
        """Return whether the store does not tell."""
        return self._silent_for(self._clock()) >= SILENT_SECONDS

    async def _step(self) -> None:
        if not self._is_blind():
            return
        now = self._clock()
        watched = self._watched()
        again = len(watched) / MOST_PER_SECOND
        for entry in watched:
            if now - entry.probed_at >= again:
                entry.probed_at = now
                self.tasks.spawn(self._ask(entry))

    def _watched(self) -> list[Entry]:
        """Return the engines whose growing cold matters here."""
        is_watched_by_service: dict[str, bool] = {}
        found = []
        for entry in self._directory.entries_by_id.values():
            service = entry.upstream.service
            if service not in is_watched_by_service:
                has_limit = self._limits_of(service).has_limit
                is_watched_by_service[service] = has_limit and self._schedules(service)
            if is_watched_by_service[service] and entry.takes_work:
                found.append(entry)
        return found

    async def _ask(self, entry: Entry) -> None:
        try:
            probe = await self._engines.probe(entry.upstream)
        except EngineUnavailable:
            # Whether it is there is found out by what is sent to it.
            return
        handle_probe(self._directory, entry, probe, self._clock())
