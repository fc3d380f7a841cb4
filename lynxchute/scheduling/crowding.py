"""Cost of placing a request at an engine, for itself and for running requests."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

from lynxchute.scheduling.engine_state import EngineState
from lynxchute.scheduling.newcomer import PendingRequest

# Cost in milliseconds for each running request, since one more request slows all of
# them a little.
RUNNING_COST_MS = 2.0
# Cost in milliseconds for each running stream of a prompt with PAUSE_TOKENS uncached
# tokens; it is proportional to the tokens, up to twice as many. The stream's events
# pause during the prefill, and three chunks of a prompt take about the maximum allowed
# pause.
PAUSE_COST_MS = 60.0
PAUSE_TOKENS = 12_000
# The expected latency of a first event counts up to this multiple of its objective.
# Beyond it the request is late in any case. Choosing the engine that starts sooner
# would only make it read prompt parts again that the slower one has cached, which
# delays all requests there. On six engines at 1.6 times a heavy load, answers on time
# had 0.62 of the possible value without this limit, 0.86 with 1.5, 0.84 with 1 and 0.76
# with 3 (eight emulated traces of a minute); at 1.25 times that load 0.961 without it
# and 0.957 with 1.5.
MAX_LATENESS_RATIO = 1.5
# Cost of one late request, in milliseconds of an engine's time.
LATE_COST_MS = 1_000.0
# Weight of the expected latency of the first event. It is small because a request that
# meets its objective gains little from a lower latency.
LATENCY_WEIGHT = 0.4
# A first event expected within ON_TIME_RATIO of its objective is usually on time;
# estimates are off by about ESTIMATE_SPREAD of the objective.
ON_TIME_RATIO = 0.75
ESTIMATE_SPREAD = 0.12


class PlacementCost(ABC):
    """Base class for the cost of placing a request at an engine."""

    @abstractmethod
    def cost_ms(
        self,
        state: EngineState,
        request: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the cost, in milliseconds of an engine's time.

        Parameters
        ----------
        uncached
            Tokens of the prompt that are not cached and have to be read.
        expected_ms
            Expected time until the first event, in milliseconds.
        """

    def record_placement(self, request: PendingRequest, expected_ms: float) -> None:
        """Record a placement; subclasses may use it in later decisions."""


class StreamPauseCost(PlacementCost):
    """Add a fixed cost for each running stream, scaled by the prompt length."""

    def cost_ms(
        self,
        state: EngineState,
        request: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the expected latency plus a cost for each running stream."""
        running = len(state.runs_by_id)
        cost = expected_ms + RUNNING_COST_MS * running
        return cost + PAUSE_COST_MS * running * min(uncached / PAUSE_TOKENS, 2.0)


class CappedLatenessCost(StreamPauseCost):
    """Limit how much the expected latency of the request itself counts."""

    def cost_ms(
        self,
        state: EngineState,
        request: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the same cost with a limit on the expected latency."""
        max_ms = MAX_LATENESS_RATIO * max(request.aims.first_event_ms, 0.0)
        expected_ms = min(expected_ms, max_ms)
        return super().cost_ms(state, request, uncached, expected_ms, now)


class ExpectedLateCost(PlacementCost):
    """Estimate how many requests become late because of a placement.

    These are the request itself, by its first event or a later pause, and each running
    stream that pauses too long while the prompt is read. The probability of such pauses
    is estimated for each engine from its streams. As a result, engines specialise: a
    long prompt is expensive at an engine with many streams, and a stream is expensive
    at an engine that often reads long prompts.
    """

    def cost_ms(
        self,
        state: EngineState,
        request: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the expected number of late requests, times `LATE_COST_MS`.

        Costs for each running request and for the expected latency are added.
        """
        late = late_probability(expected_ms, request.aims.first_event_ms)
        late += (1.0 - late) * state.pause_probability(request, now)
        late *= request.weight
        waiting = state.waiting_tokens(now)
        for limit, weight in state.weight_by_limit().items():
            late += weight * state.pause_tracker(limit).added_pause_share(
                waiting, uncached
            )
        return (
            LATE_COST_MS * late
            + RUNNING_COST_MS * len(state.runs_by_id)
            + LATENCY_WEIGHT * expected_ms
        )


# Engines count as overloaded above this mean probability of a late first event, over
# recent placements; the probability is estimated when a request is placed. Under
# overload, protecting streams costs more prompt reading than it saves, and all requests
# become later.
OVERLOAD_LATE_SHARE = 0.05
# Weight of the latest placement in the moving average of that share, which covers some
# seconds of traffic.
OVERLOAD_SAMPLE_WEIGHT = 0.02


class LoadAdaptiveCost(PlacementCost):
    """Use `ExpectedLateCost`, or `CappedLatenessCost` while engines are overloaded.

    At 1.6 times the load that six engines can read on time, 0.38 of the requests were
    on time with `ExpectedLateCost` and 0.49 with `CappedLatenessCost`, which sends
    prompts to engines that have their parts cached.
    """

    def __init__(self) -> None:
        self._expected_late = ExpectedLateCost()
        self._capped_lateness = CappedLatenessCost()
        self._late_share = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Return whether too many requests are expected to be late."""
        return self._late_share > OVERLOAD_LATE_SHARE

    def cost_ms(
        self,
        state: EngineState,
        request: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the cost of the model that is in use."""
        chosen = self._capped_lateness if self.is_overloaded else self._expected_late
        return chosen.cost_ms(state, request, uncached, expected_ms, now)

    def record_placement(self, request: PendingRequest, expected_ms: float) -> None:
        """Update the mean probability of a late first event."""
        late = late_probability(expected_ms, request.aims.first_event_ms)
        self._late_share += OVERLOAD_SAMPLE_WEIGHT * (late - self._late_share)


def late_probability(expected_ms: float, objective_ms: float) -> float:
    """Return the probability that a first event is late.

    Examples
    --------
    >>> late_probability(200.0, 1_000.0) < 0.02
    True
    >>> late_probability(1_500.0, 1_000.0) > 0.95
    True
    >>> late_probability(200.0, math.inf)
    0.0
    """
    if math.isinf(objective_ms):
        return 0.0
    if objective_ms <= 0:
        return 1.0
    over = (expected_ms / objective_ms - ON_TIME_RATIO) / ESTIMATE_SPREAD
    return 1.0 / (1.0 + math.exp(-min(max(over, -40.0), 40.0)))
