"""What a newcomer does to the others at an engine, and they to it."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

from lynxchute.scheduling.engine_state import EngineState
from lynxchute.scheduling.newcomer import PendingRequest

# Milliseconds that a request more for each request running there counts: it
# slows all of them a little.
RUNNING_MS = 2.0
# Milliseconds that each running stream counts where this many prompt tokens
# have to be read: its events pause meanwhile, and the longest pause that is on
# time is about what three pieces of a prompt take.
PAUSE_MS = 60.0
PAUSE_TOKENS = 12_000
# A first event that is expected so many times its objective after the request or later
# is late by any means, and how much later counts no more: who goes to the engine that
# begins sooner has the parts read again that another one keeps, and all wait for that.
# Without this bound six engines with 1.6 times a heavy load gave their callers 0.62 of
# what answers on time are worth, with 1.5 here 0.86, with 1 0.84, with 3 0.76 (eight
# emulated traces of a minute); at 1.25 times that load 0.961 and 0.957.
LATE_ANYWAY = 1.5
# Milliseconds of an engine's time that one caller less who is late is worth.
LATE_MS = 1_000.0
# Share of the expected time until its first event that a request counts besides: it
# is on time as long as it keeps to its objective, so that less is worth little.
SOON_SHARE = 0.4
# A first event that is expected within this share of its objective comes in time,
# by and large; expectations are off by this share of it.
SAFE_SHARE = 0.75
SPREAD_SHARE = 0.12


class PlacementCost(ABC):
    """Weigh who is harmed where a request goes to an engine."""

    @abstractmethod
    def cost_ms(
        self,
        state: EngineState,
        newcomer: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the harm, in milliseconds of an engine's time.

        Parameters
        ----------
        uncached
            Tokens of the newcomer's prompt that have to be read.
        expected_ms
            When its first event is expected, in milliseconds from now.
        """

    def record_placement(self, newcomer: PendingRequest, expected_ms: float) -> None:
        """Take where a newcomer went; it may count for the next ones."""


class StreamPauseCost(PlacementCost):
    """Count each running stream by the length of the newcomer's prompt."""

    def cost_ms(
        self,
        state: EngineState,
        newcomer: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return a weight for each stream there."""
        running = len(state.runs_by_id)
        cost = expected_ms + RUNNING_MS * running
        return cost + PAUSE_MS * running * min(uncached / PAUSE_TOKENS, 2.0)


class LateOnceWeights(StreamPauseCost):
    """Count running streams likewise, and how late a newcomer is up to a bound."""

    def cost_ms(
        self,
        state: EngineState,
        newcomer: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return a weight for each stream there."""
        latest_ms = LATE_ANYWAY * max(newcomer.aims.first_event_ms, 0.0)
        expected_ms = min(expected_ms, latest_ms)
        return super().cost_ms(state, newcomer, uncached, expected_ms, now)


class LateCallers(PlacementCost):
    """Count the callers that are expected to be late for it.

    Those are the newcomer, by its first event or by a later pause, and each running
    stream that pauses while its prompt is read. Engines learn from their streams how
    often that is. So engines part by themselves into some that read long prompts and
    others that stream: where many stream, a long prompt costs much, and where long
    prompts are read often, a stream expects pauses.
    """

    def cost_ms(
        self,
        state: EngineState,
        newcomer: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the expected number of late callers, times `LATE_MS`."""
        late = late_share(expected_ms, newcomer.aims.first_event_ms)
        late += (1.0 - late) * state.pause_share(newcomer, now)
        late *= newcomer.weight
        waiting = state.waiting_tokens(now)
        for limit, weight in state.weight_by_limit().items():
            late += weight * state.watch(limit).added_share(waiting, uncached)
        return (
            LATE_MS * late
            + RUNNING_MS * len(state.runs_by_id)
            + SOON_SHARE * expected_ms
        )


# Share of the newcomers expected to be late by their first event, of late, from which
# on engines have more to do than they can: sparing streams then costs more reading
# than it saves, and all are later for it.
STRAINED_SHARE = 0.05
# Weight of the newest placement in that share: some seconds of traffic.
STRAIN_WEIGHT = 0.02


class LoadAdaptiveCost(PlacementCost):
    """Count late callers while engines keep up, and weigh by length while they do not.

    At 1.6 times the load that six engines can read in time, 0.38 of the callers were
    on time with late callers counted, 0.49 with the fixed weights, which keep prompts
    where their parts are.
    """

    def __init__(self) -> None:
        self._late_callers = LateCallers()
        self._weights = LateOnceWeights()
        self._strain = 0.0

    @property
    def is_strained(self) -> bool:
        """Return whether engines have more to do than they can."""
        return self._strain > STRAINED_SHARE

    def cost_ms(
        self,
        state: EngineState,
        newcomer: PendingRequest,
        uncached: int,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the harm by the one or the other."""
        chosen = self._weights if self.is_strained else self._late_callers
        return chosen.cost_ms(state, newcomer, uncached, expected_ms, now)

    def record_placement(self, newcomer: PendingRequest, expected_ms: float) -> None:
        """Take where a newcomer went."""
        late = late_share(expected_ms, newcomer.aims.first_event_ms)
        self._strain += STRAIN_WEIGHT * (late - self._strain)


def late_share(expected_ms: float, objective_ms: float) -> float:
    """Return how likely a first event comes after its objective.

    Examples
    --------
    >>> late_share(200.0, 1_000.0) < 0.02, late_share(1_500.0, 1_000.0) > 0.95
    (True, True)
    >>> late_share(200.0, math.inf)
    0.0
    """
    if math.isinf(objective_ms):
        return 0.0
    if objective_ms <= 0:
        return 1.0
    over = (expected_ms / objective_ms - SAFE_SHARE) / SPREAD_SHARE
    return 1.0 / (1.0 + math.exp(-min(max(over, -40.0), 40.0)))
