"""The placement policies that are compared."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

import attrs

from lynxchute.bench.emulator.scenario import Scenario
from lynxchute.rendezvous import ranked
from lynxchute.scheduling.board import Candidate, EngineBoard
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.crowding import (
    LoadAdaptiveCost,
    PlacementCost,
    StreamPauseCost,
)
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.upstreams.cold_admission import (
    TAKE_OVER_SECONDS,
    ColdAdmission,
    ColdLimits,
    FirstRegistered,
    RankWatch,
    SharesByRank,
    WarmOnly,
)
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.upstream import Upstream

SERVICE = "pool"
# An engine is passed over for a prompt part if its open requests exceed the mean by
# more than this factor.
LOAD_BOUND = 1.25


@attrs.frozen
class Choice:
    """The engine chosen for a request.

    Attributes
    ----------
    engine
        The index of the engine.
    fetch_from
        The engine from which cached prompt parts are fetched; None for none.
    expected_ms
        Estimated time to the first event, in milliseconds; 0 if it is unknown.
    """

    engine: int
    fetch_from: int | None = None
    expected_ms: float = 0.0


class PlacementPolicy(ABC):
    """Choose an engine for each request.

    Parameters
    ----------
    scenario
        The scenario, with the engines.
    rng
        The source of randomness.

    Attributes
    ----------
    open
        The number of open requests of each engine.
    cold_until
        The time until which each engine is cold, in seconds.
    """

    name = ""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        self.scenario = scenario
        self.random = rng
        self.open = [0] * scenario.engines
        self.cold_until = [0.0] * scenario.engines

    @abstractmethod
    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice | None:
        """Return the engine for a request, of the available ones; None to refuse it."""

    def record_first_event(
        self, run_id: str, engine: int, now: float, took_ms: float
    ) -> None:
        """Record the first event of a run, ``took_ms`` after its arrival."""

    def record_pause(self, run_id: str, engine: int, now: float) -> None:
        """Record that a stream has paused for longer than its kind allows."""

    def record_end(self, run_id: str, engine: int, now: float) -> None:
        """Record the end of a run."""
        self.open[engine] -= 1

    def record_failure(self, run_id: str, engine: int, now: float) -> None:
        """Record that a run failed because its engine went down."""
        self.open[engine] -= 1


class RoundRobin(PlacementPolicy):
    """Choose the engines in turn."""

    name = "round_robin"

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        super().__init__(scenario, rng)
        self._turn = 0

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice:
        """Return the next engine."""
        self._turn += 1
        return Choice(engines[self._turn % len(engines)])


class LeastOpen(PlacementPolicy):
    """Choose the engine with the fewest open requests."""

    name = "least_open"

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice:
        """Return an engine with the fewest open requests, at random among equals."""
        least = min(self.open[engine] for engine in engines)
        return Choice(self.random.choice([e for e in engines if self.open[e] == least]))


class PartAffinity(PlacementPolicy):
    """Choose by rendezvous hashing of the first shared part, within a load bound."""

    name = "part_affinity"

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice:
        """Return the part's first engine whose load is within the bound."""
        bound = (sum(self.open) + 1) / len(engines) * LOAD_BOUND
        parts = newcomer.generation.shared_parts
        key = parts[0].id if parts else newcomer.run_id
        for name in ranked(key, [str(engine) for engine in engines]):
            if self.open[int(name)] <= bound:
                return Choice(int(name))
        return Choice(min(engines, key=lambda engine: self.open[engine]))


class Board(PlacementPolicy):
    """The router's own policy: one router places all requests, by its board."""

    name = "board"
    may_fetch = True
    tracks_transients = False
    admission: ColdAdmission = FirstRegistered()

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        super().__init__(scenario, rng)
        self.board = EngineBoard(
            self.make_placement_cost(), tracks_transients=self.tracks_transients
        )
        limits = ColdLimits(per_second=scenario.cold_per_second)
        watch = RankWatch(lambda service: 0)
        watch.refresh([SERVICE], -TAKE_OVER_SECONDS)
        self.cold = ColdPlacementLimiter(self.admission, watch, lambda service: limits)
        self._entries = [
            UpstreamEntry(Upstream(str(number), SERVICE, "127.0.0.1:1", "a"))
            for number in range(scenario.engines)
        ]

    def make_placement_cost(self) -> PlacementCost:
        """Return the cost function that compares engines."""
        return LoadAdaptiveCost()

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice | None:
        """Return the engine with the lowest placement cost."""
        shape = self.scenario.shape
        parts = newcomer.generation.shared_parts
        key = parts[-1].id if parts else newcomer.run_id
        for engine in engines:
            self._entries[engine].cold_until = self.cold_until[engine]
        admissible_entries = self.cold.admissible_entries(
            (self._entries[n] for n in engines), now
        )
        names = ranked(key, [entry.upstream.id for entry in admissible_entries])
        candidates = [
            Candidate(name, shape.slots, shape.memory_tokens, is_far=False)
            for name in names
        ]
        speed = self.scenario.fetch_tokens_per_ms if self.may_fetch else 0.0
        place = self.board.place(
            newcomer, candidates, now, sources=names, fetch_tokens_per_ms=speed
        )
        if not place.upstream_id:
            return None
        self.cold.record_placement(self._entries[int(place.upstream_id)], now)
        source = int(place.fetch_from) if place.fetch_from else None
        return Choice(int(place.upstream_id), source, place.expected_ms)

    def record_first_event(
        self, run_id: str, engine: int, now: float, took_ms: float
    ) -> None:
        """Record the first event of a run, ``took_ms`` after its arrival."""
        self.board.record_first_event(str(engine), run_id, now, took_ms=took_ms)

    def record_pause(self, run_id: str, engine: int, now: float) -> None:
        """Record that a stream has paused for longer than its kind allows."""
        self.board.record_pause(str(engine), run_id, now)

    def record_end(self, run_id: str, engine: int, now: float) -> None:
        """Record the end of a run."""
        super().record_end(run_id, engine, now)
        self.board.record_end(str(engine), run_id, now)

    def record_failure(self, run_id: str, engine: int, now: float) -> None:
        """Record that a run failed because its engine went down."""
        super().record_failure(run_id, engine, now)
        self.board.record_failure(str(engine), run_id, now)


class WeightedBoard(Board):
    """The board with a fixed cost for each stream that a long prompt delays."""

    name = "board_with_weights"

    def make_placement_cost(self) -> PlacementCost:
        """Return the cost function that compares engines."""
        return StreamPauseCost()


class LearningBoard(Board):
    """The board that tells transient slowness from an engine's lasting speed."""

    name = "board_learning"
    tracks_transients = True


class BoardWithoutFetch(Board):
    """The board without fetching cached prompt parts from other engines."""

    name = "board_without_fetch"
    may_fetch = False


class WarmBoard(Board):
    """The board that sends no requests to cold engines."""

    name = "board_warm_only"
    admission = WarmOnly()


class SharingBoard(Board):
    """The board where each router may send a cold engine one request a second."""

    name = "board_shares"
    admission = SharesByRank()


class UnboundBoard(Board):
    """The board that ignores whether engines are cold."""

    name = "board_unbound"

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice | None:
        """Return the engine with the lowest placement cost."""
        self.cold_until = [0.0] * len(self.cold_until)
        return super().choose(newcomer, engines, now)


POLICIES_BY_NAME: dict[str, type[PlacementPolicy]] = {
    cls.name: cls
    for cls in (
        RoundRobin,
        LeastOpen,
        PartAffinity,
        Board,
        WeightedBoard,
        LearningBoard,
        BoardWithoutFetch,
        WarmBoard,
        SharingBoard,
        UnboundBoard,
    )
}
