"""Placement and hedging of calls to plain services."""

from __future__ import annotations

import random
from collections.abc import Callable

from lynxchute.edge.settings import EdgeSettings
from lynxchute.fleet.retry_mark import RetryMark
from lynxchute.relay.chooser import Chooser
from lynxchute.relay.hedging import Hedger
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.expected_finish import ExpectedCompletion
from lynxchute.upstreams.learned_speed import TwoTimescaleSpeeds
from lynxchute.upstreams.permits import Permits
from lynxchute.upstreams.placement import LeastOpen, Placement
from lynxchute.upstreams.retry_budget import RetryBudget
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.service_times import ServiceTimes
from lynxchute.upstreams.upstream import Upstream


class PlainCallPlacement:
    """Placement policy, service times and hedging for plain upstreams.

    Parameters
    ----------
    settings
        Settings of the router; its features select the placement and hedging.
    directory
        Directory of the upstreams.
    gate
        Withholds requests that must not reach an upstream.
    permits
        Grants requests to upstreams that declare a rate limit.
    rng
        Random source for the choice among upstreams.
    clock
        Returns seconds on the steady clock.

    Attributes
    ----------
    times
        Recorded service times; None if no enabled feature needs them.
    placement
        Policy that chooses the upstream of a call.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        directory: Directory,
        gate: SendGate,
        permits: Permits,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        features = settings.features
        self.times: ServiceTimes | None = None
        self.placement: Placement = LeastOpen(
            settings.data_centre, gate, permits, clock
        )
        self._directory = directory
        self._clock = clock
        self._is_hedging = features.hedging
        if not features.learned_speeds and not features.hedging:
            return
        times = ServiceTimes(TwoTimescaleSpeeds())
        self.times = times
        self._expected_completion = ExpectedCompletion(
            settings.data_centre, gate, permits, times.speeds, rng, clock
        )
        if features.learned_speeds:
            self.placement = self._expected_completion
        directory.listeners.append(self._prune_removed)
        directory.restart_listeners.append(self._discard_restarted)

    def hedger(
        self,
        chooser: Chooser,
        retries: RetryBudget,
        retry_mark: RetryMark,
        metrics: Metrics,
    ) -> Hedger | None:
        """Return the hedger of slow calls, or None if hedging is off."""
        if not self._is_hedging or self.times is None:
            return None
        return Hedger(
            chooser,
            self._directory,
            self.times,
            retries,
            self._expected_completion.state_of,
            metrics,
            self._clock,
            retry_mark.ensure,
        )

    def slowness(self, entry: UpstreamEntry, now: float) -> float:
        """Return the ratio of an upstream's current service time to its typical one."""
        if self.times is None:
            return 1.0
        return self._expected_completion.state_of(entry, now).slowness_now

    def slowest_by_service(self, now: float) -> dict[str, float]:
        """Return the maximum slowness among the upstreams of each service."""
        found: dict[str, float] = {}
        if self.times is None:
            return found
        for entry in self._directory.entries_by_id.values():
            if not self.times.has_samples(entry.upstream.id):
                continue
            service = entry.upstream.service
            found[service] = max(found.get(service, 1.0), self.slowness(entry, now))
        return found

    def _prune_removed(self) -> None:
        if self.times is not None:
            self.times.prune(self._directory.entries_by_id)

    def _discard_restarted(self, previous: Upstream) -> None:
        if self.times is not None:
            self.times.discard_upstream(previous.id)
