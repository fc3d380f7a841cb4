"""Ask throttled upstreams that get no requests whether they still are."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.application import Loop, Tasks
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.probes import handle_probe
from lynxchute.upstreams.rate_limits import RateLimits

# Seconds between two looks.
STEP_SECONDS = 0.5
# Seconds without a word after which the first router asks; answers to requests tell
# sooner where it gets any.
ASK_AFTER_SECONDS = 2.0
# Seconds by which each further router waits longer: it hears of the answer from the
# first one with its next request. 195 routers ask six times a second so, together.
LATER_SECONDS = 0.5


class BackpressureWatch:
    """Find out when a limit ends that lets nothing through, or that nobody presses.

    Parameters
    ----------
    directory
        The upstreams.
    engines
        Asks them.
    rates
        Is told which upstreams are gone.
    rank_of
        Returns this router's place among all registered ones for a service; None
        where it is not known.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self,
        directory: Directory,
        engines: EngineClient,
        rates: RateLimits,
        rank_of: Callable[[str], int | None],
        clock: Callable[[], float],
    ) -> None:
        self.tasks = Tasks()
        self.loop = Loop("backpressure", self._step, STEP_SECONDS, self._is_watching)
        self._directory = directory
        self._engines = engines
        self._rates = rates
        self._rank_of = rank_of
        self._clock = clock

    def _is_watching(self) -> bool:
        """Return whether any is throttled, or use of one is to be forgotten."""
        return bool(self._directory.throttled_by_id) or self._rates.keeps_any

    async def _step(self) -> None:
        now = self._clock()
        throttled = list(self._directory.throttled_by_id.values())
        for entry in throttled:
            self._directory.refresh_throttled(entry, now)
            if self._is_due(entry, now):
                entry.probed_at = now
                self.tasks.spawn(self._ask(entry))
        self._rates.keep_only({entry.upstream.process for entry in throttled})

    def _is_due(self, entry: Entry, now: float) -> bool:
        backpressure, upstream = entry.backpressure, entry.upstream
        # Nothing else tells another process from one that leaves.
        is_awaited = backpressure.is_leaving and not upstream.is_start_known
        if backpressure.limit is None and not is_awaited:
            return False
        rank = self._rank_of(upstream.service)
        if rank is None:
            return False
        heard_at = max(backpressure.heard_at, entry.probed_at)
        return now - heard_at >= ASK_AFTER_SECONDS + rank * LATER_SECONDS

    async def _ask(self, entry: Entry) -> None:
        try:
            probe = await self._engines.probe(entry.upstream)
        except EngineUnavailable as error:
            log_event(
                "throttled upstream silent",
                upstream=entry.upstream.id,
                reason=str(error),
            )
            return
        handle_probe(self._directory, entry, probe, self._clock())
