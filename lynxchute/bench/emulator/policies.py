"""Ways of placing generations that are compared."""

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
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.upstream import Upstream

SERVICE = "pool"
# An engine may have this many times the mean of open requests before a prompt part
# goes elsewhere.
LOAD_BOUND = 1.25


@attrs.frozen
class Choice:
    """Where a request goes.

    Attributes
    ----------
    engine
        Its number.
    fetch_from
        The engine that hands over what it keeps of the prompt; None for none.
    expected_ms
        When its first event is expected; 0 where nobody knows.
    """

    engine: int
    fetch_from: int | None = None
    expected_ms: float = 0.0


class PlacementPolicy(ABC):
    """Choose engines.

    Parameters
    ----------
    scenario
        What the engines are.
    rng
        The source of randomness.

    Attributes
    ----------
    cold_until
        Until when each engine is cold, in seconds.
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
        """Return the engine for a request, of those that answer; None for none."""

    def begun(self, run_id: str, engine: int, now: float, took_ms: float) -> None:
        """Note the first event of a request, which came so long after the send."""

    def paused(self, run_id: str, engine: int, now: float) -> None:
        """Note that a stream has paused for longer than is on time."""

    def ended(self, run_id: str, engine: int, now: float) -> None:
        """Note the end of a request."""
        self.open[engine] -= 1

    def failed(self, run_id: str, engine: int, now: float) -> None:
        """Note that a request broke."""
        self.open[engine] -= 1


class RoundRobin(PlacementPolicy):
    """Take the engines in turn."""

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
    """Take the engine with the fewest open requests."""

    name = "least_open"

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice:
        """Return the engine with the least to do."""
        least = min(self.open[engine] for engine in engines)
        return Choice(self.random.choice([e for e in engines if self.open[e] == least]))


class PartAffinity(PlacementPolicy):
    """Rendezvous of the first shared part, within a load bound."""

    name = "part_affinity"

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice:
        """Return the part's engine, or the next one that is not loaded."""
        bound = (sum(self.open) + 1) / len(engines) * LOAD_BOUND
        parts = newcomer.generation.shared_parts
        key = parts[0].id if parts else newcomer.run_id
        for name in ranked(key, [str(engine) for engine in engines]):
            if self.open[int(name)] <= bound:
                return Choice(int(name))
        return Choice(min(engines, key=lambda engine: self.open[engine]))


class Board(PlacementPolicy):
    """The product's own: one router decides, with all that was sent in view."""

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
            Entry(Upstream(str(number), SERVICE, "127.0.0.1:1", "a"))
            for number in range(scenario.engines)
        ]

    def make_placement_cost(self) -> PlacementCost:
        """Return what weighs who is harmed."""
        return LoadAdaptiveCost()

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice | None:
        """Return the engine that costs callers and operators least."""
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

    def begun(self, run_id: str, engine: int, now: float, took_ms: float) -> None:
        """Note the first event of a request, which came so long after the send."""
        self.board.record_first_event(str(engine), run_id, now, took_ms=took_ms)

    def paused(self, run_id: str, engine: int, now: float) -> None:
        """Note that a stream has paused for longer than is on time."""
        self.board.record_pause(str(engine), run_id, now)

    def ended(self, run_id: str, engine: int, now: float) -> None:
        """Note the end of a request."""
        super().ended(run_id, engine, now)
        self.board.record_end(str(engine), run_id, now)

    def failed(self, run_id: str, engine: int, now: float) -> None:
        """Note that a request broke."""
        super().failed(run_id, engine, now)
        self.board.record_failure(str(engine), run_id, now)


class WeightedBoard(Board):
    """The board with a fixed weight for each stream beside a long prompt."""

    name = "board_with_weights"

    def make_placement_cost(self) -> PlacementCost:
        """Return what weighs who is harmed."""
        return StreamPauseCost()


class LearningBoard(Board):
    """The board that tells slow moments from lasting speeds."""

    name = "board_learning"
    tracks_transients = True


class BoardWithoutFetch(Board):
    """The board where no engine hands over what it keeps."""

    name = "board_without_fetch"
    may_fetch = False


class WarmBoard(Board):
    """The board where nothing is sent to cold engines."""

    name = "board_warm_only"
    admission = WarmOnly()


class SharingBoard(Board):
    """The board where each router may send a cold engine one request a second."""

    name = "board_shares"
    admission = SharesByRank()


class UnboundBoard(Board):
    """The board that does not know that engines are cold."""

    name = "board_unbound"

    def choose(
        self, newcomer: PendingRequest, engines: list[int], now: float
    ) -> Choice | None:
        """Return the engine that costs callers and operators least."""
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
