"""Probe engines for cold starts that the store has not reported."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.application import PeriodicTask, Tasks
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.upstreams.cold_admission import ColdLimits
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.probes import handle_probe

# Seconds between two polls, and so the minimum between two probes of an engine.
POLL_INTERVAL_SECONDS = 0.3
# Seconds without a reply of the store after which an engine may have become cold
# unnoticed; a working store answers every 1.3 s at the latest.
STORE_SILENCE_SECONDS = 1.6
# Share of what a cold engine may get in a second that is placed at one before it is
# probed, since the store or the engine last said whether it is cold. The rest is left
# for requests that are placed until the probe is answered.
UNCONFIRMED_SHARE = 0.5
MIN_PROBE_SECONDS = 0.05
# The same in requests, for a router that places alone beside the scheduling router.
MAX_UNCONFIRMED_ALONE = 2
# Maximum number of probes per second: 70 engines are probed every 1.4 s.
MAX_PROBES_PER_SECOND = 50.0


class ColdProber:
    """Probe the engines that this router schedules while the store may be silent.

    An engine may become cold at any time, and normally its entry in the store shows it.
    While the store is unavailable, only the engine itself can report it; a burst of
    requests can be sent before the outage is noticed. Nearly all
    requests are placed by the scheduling router, so other routers probe only where they
    place requests alone.

    Parameters
    ----------
    directory
        The upstreams.
    engines
        Sends the probes.
    limits_of
        Returns the limits for cold upstreams of a service.
    is_scheduler_for
        Returns whether this router places the requests of a service.
    places_alone
        Returns whether this router places requests of a service that the scheduling
        router does not know of.
    silent_for
        Returns the seconds since the store last listed the upstreams.
    clock
        Returns the time on the steady clock, in seconds.
    placements
        Counts the placements at each engine.
    """

    def __init__(
        self,
        directory: Directory,
        engines: EngineClient,
        limits_of: Callable[[str], ColdLimits],
        is_scheduler_for: Callable[[str], bool],
        places_alone: Callable[[str], bool],
        silent_for: Callable[[float], float],
        clock: Callable[[], float],
        placements: ColdPlacementLimiter,
    ) -> None:
        self.tasks = Tasks()
        self.loop = PeriodicTask(
            "cold", self._step, POLL_INTERVAL_SECONDS, self._is_store_silent
        )
        self._directory = directory
        self._engines = engines
        self._limits_of = limits_of
        self._is_scheduler_for = is_scheduler_for
        self._places_alone = places_alone
        self._silent_for = silent_for
        self._clock = clock
        self._placements = placements
        placements.listeners.append(self._handle_placement)

    def _handle_placement(self, entry: UpstreamEntry) -> None:
        """Probe an engine that has got many requests since it was last heard of.

        The store does not say that it is about to fall silent.
        """
        now = self._clock()
        if not entry.takes_work:
            return
        service = entry.upstream.service
        most = self._limits_of(service).max_per_second * UNCONFIRMED_SHARE
        if self._places_alone(service):
            most = min(most, MAX_UNCONFIRMED_ALONE)
        if self._placed_unconfirmed(entry, now) >= most:
            self._start_probe(entry, now)

    def _start_probe(self, entry: UpstreamEntry, now: float) -> None:
        if now - entry.probed_at < MIN_PROBE_SECONDS:
            return
        entry.probed_at = now
        self.tasks.spawn(self._probe(entry))

    def _placed_unconfirmed(self, entry: UpstreamEntry, now: float) -> int:
        """Return the placements at an engine since it was asked whether it is cold."""
        heard_at = max(entry.probed_at, now - self._silent_for(now))
        return self._placements.placed_since(entry.upstream.id, heard_at)

    def _is_store_silent(self) -> bool:
        """Return whether the store has not answered for too long."""
        return self._silent_for(self._clock()) >= STORE_SILENCE_SECONDS

    async def _step(self) -> None:
        if not self._is_store_silent():
            return
        now = self._clock()
        entries = self._entries_to_probe()
        interval = len(entries) / MAX_PROBES_PER_SECOND
        for entry in entries:
            if now - entry.probed_at >= interval:
                self._start_probe(entry, now)

    def _entries_to_probe(self) -> list[UpstreamEntry]:
        """Return the engines to probe: scheduled here, with a limit while cold."""
        is_probed_by_service: dict[str, bool] = {}
        found = []
        for entry in self._directory.entries_by_id.values():
            service = entry.upstream.service
            if service not in is_probed_by_service:
                has_limit = self._limits_of(service).has_limit
                is_probed_by_service[service] = has_limit and self._is_scheduler_for(
                    service
                )
            if is_probed_by_service[service] and entry.takes_work:
                found.append(entry)
        return found

    async def _probe(self, entry: UpstreamEntry) -> None:
        try:
            probe = await self._engines.probe(entry.upstream)
        except EngineUnavailable:
            # Requests sent to the engine show whether it is reachable.
            return
        handle_probe(self._directory, entry, probe, self._clock())
