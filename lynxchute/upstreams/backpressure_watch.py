"""Probe throttled upstreams that receive no requests to learn when limits end."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.application import PeriodicTask, Tasks
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.probes import handle_probe
from lynxchute.upstreams.rate_limits import RateLimits

# Seconds between two checks of the throttled upstreams.
STEP_SECONDS = 0.5
# Seconds without news of a limit after which the rank-0 router sends a probe; an
# upstream that receives requests reports sooner, in its responses.
PROBE_AFTER_SECONDS = 2.0
# Additional delay of each further rank, in seconds. Routers of higher rank learn the
# result from the rank-0 router with their next request. With 195 routers, that is six
# probes a second of all routers together.
PROBE_STAGGER_SECONDS = 0.5


class BackpressureWatch:
    """Detect the end of limits for which no responses to requests arrive.

    A limit of 0 lets no request through, and some limited upstreams receive no
    requests. Such upstreams are probed instead.

    Parameters
    ----------
    directory
        The upstreams.
    engines
        Sends the probes.
    rates
        Usage of rate limits; it is removed for upstreams that are no longer throttled.
    rank_of
        Returns this router's rank among all routers registered for a service; None if
        it is not known.
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
        self.loop = PeriodicTask(
            "backpressure", self._step, STEP_SECONDS, self._is_watching
        )
        self._directory = directory
        self._engines = engines
        self._rates = rates
        self._rank_of = rank_of
        self._clock = clock

    def _is_watching(self) -> bool:
        """Return whether an upstream is throttled or usage is left to remove."""
        return bool(self._directory.backpressured_by_id) or self._rates.has_usage

    async def _step(self) -> None:
        now = self._clock()
        throttled = list(self._directory.backpressured_by_id.values())
        for entry in throttled:
            self._directory.update_backpressured(entry, now)
            if self._is_due(entry, now):
                entry.probed_at = now
                self.tasks.spawn(self._probe(entry))
        self._rates.prune({entry.upstream.process for entry in throttled})

    def _is_due(self, entry: UpstreamEntry, now: float) -> bool:
        backpressure, upstream = entry.backpressure, entry.upstream
        # Without a known start time only a probe can tell a new process from the one
        # that is draining.
        may_have_restarted = backpressure.is_leaving and not upstream.is_start_known
        if backpressure.limit is None and not may_have_restarted:
            return False
        rank = self._rank_of(upstream.service)
        if rank is None:
            return False
        checked_at = max(backpressure.updated_at, entry.probed_at)
        return now - checked_at >= PROBE_AFTER_SECONDS + rank * PROBE_STAGGER_SECONDS

    async def _probe(self, entry: UpstreamEntry) -> None:
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
