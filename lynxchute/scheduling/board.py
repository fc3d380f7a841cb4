"""What all routers together have sent to the engines of one service."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lynxchute.scheduling.prefix_cache import PrefixCache
from lynxchute.upstreams.generation import Generation

# Prompt tokens that an engine reads in a millisecond, until its own speed is
# known: that of a large model on today's accelerators.
USUAL_SPEED = 40.0
MIN_SPEED = 5.0
MAX_SPEED = 500.0
# Weight of the newest first token in an engine's known speed.
SPEED_WEIGHT = 0.1
# Prompts shorter than this tell nothing of the speed.
TELLING_TOKENS = 1500
# Milliseconds from an idle engine's start of a prompt to its first event, apart
# from reading the prompt.
FIRST_EVENT_MS = 35.0
# Reading a part again costs this many times the engine's time for it: the time
# is the next requests' as well, and the operators pay for it.
REREAD_WEIGHT = 1.5
# Milliseconds that an engine in another data centre must be faster to be
# chosen: what its bytes cost.
FAR_MS = 15.0
# Milliseconds that a request more for each request running there counts: it
# slows all of them a little.
RUNNING_MS = 2.0
# A run of which nothing has been heard for this many seconds is over.
FORGET_SECONDS = 20.0
# Milliseconds that count against an engine without a free slot, or without
# memory for the request: it would have to wait for another one to end.
FULL_MS = 2_000.0


@attrs.define
class Run:
    """A request on an engine.

    Attributes
    ----------
    prefill_ms
        How long its prompt was expected to be read.
    ready_at
        When its first event was expected, in seconds.
    tokens
        What it takes of the engine's memory, in tokens.
    """

    uncached: int
    prefill_ms: float
    placed_at: float
    ready_at: float
    tokens: int
    has_begun: bool = False


@attrs.define
class EngineState:
    """An engine as the board sees it.

    Attributes
    ----------
    speed
        Prompt tokens that it reads in a millisecond.
    busy_until
        When it is expected to have read all prompts that were sent there, in
        seconds.
    """

    slots: int
    capacity: int
    cache: PrefixCache
    speed: float = USUAL_SPEED
    busy_until: float = 0.0
    runs_by_id: dict[str, Run] = attrs.Factory(dict)

    @property
    def occupied(self) -> int:
        """Return the tokens that running requests take of its memory."""
        return sum(run.tokens for run in self.runs_by_id.values())


@attrs.frozen
class Candidate:
    """An engine that could take a request."""

    upstream_id: str
    slots: int
    capacity: int
    is_far: bool


class EngineBoard:
    """Choose an engine for each generation, and keep count of what it has to do.

    Times are seconds on one steady clock.
    """

    def __init__(self) -> None:
        self.engines_by_id: dict[str, EngineState] = {}

    def place(
        self,
        run_id: str,
        generation: Generation,
        candidates: Iterable[Candidate],
        now: float,
    ) -> str:
        """Return the engine for a request; empty where there is none."""
        best = ""
        least = float("inf")
        for candidate in candidates:
            cost = self._cost(candidate, generation, now)
            if cost < least:
                best, least = candidate.upstream_id, cost
        if best:
            self._assign(run_id, best, generation, now)
        return best

    def begun(self, upstream_id: str, run_id: str, now: float) -> None:
        """Note the first event of a run, and learn the engine's speed by it."""
        state = self.engines_by_id.get(upstream_id)
        run = state.runs_by_id.get(run_id) if state is not None else None
        if state is None or run is None or run.has_begun:
            return
        run.has_begun = True
        self._learn_speed(state, run, now)
        # What was expected to be read after it moves with it.
        error = now - run.ready_at
        if abs(error) > 0.005:
            state.busy_until = max(state.busy_until + error, now)

    def ended(self, upstream_id: str, run_id: str) -> None:
        """Note the end of a run."""
        state = self.engines_by_id.get(upstream_id)
        if state is not None:
            state.runs_by_id.pop(run_id, None)

    def keep_only(self, upstream_ids: Iterable[str], now: float) -> None:
        """Forget engines that are gone, and runs that nobody reported ended."""
        known = set(upstream_ids)
        for upstream_id in list(self.engines_by_id):
            if upstream_id not in known:
                del self.engines_by_id[upstream_id]
                continue
            runs = self.engines_by_id[upstream_id].runs_by_id
            for run_id, run in list(runs.items()):
                if now - run.placed_at > FORGET_SECONDS:
                    del runs[run_id]

    def _state(self, candidate: Candidate) -> EngineState:
        state = self.engines_by_id.get(candidate.upstream_id)
        if state is None:
            cache = PrefixCache(candidate.capacity)
            state = EngineState(candidate.slots, candidate.capacity, cache)
            self.engines_by_id[candidate.upstream_id] = state
        return state

    def _cost(self, candidate: Candidate, generation: Generation, now: float) -> float:
        """Return what a request costs there, in milliseconds."""
        state = self._state(candidate)
        shared = sum(part.tokens for part in generation.shared_parts)
        cached = state.cache.cached_tokens(generation.shared_parts)
        uncached = max(generation.prompt_tokens - cached, 0)
        cost = max(state.busy_until - now, 0.0) * 1000.0
        cost += uncached / state.speed
        cost += REREAD_WEIGHT * (shared - cached) / state.speed
        cost += RUNNING_MS * len(state.runs_by_id)
        if candidate.is_far:
            cost += FAR_MS
        if len(state.runs_by_id) >= state.slots:
            cost += FULL_MS
        if state.occupied + generation.most_tokens > state.capacity:
            cost += FULL_MS
        return cost

    def _assign(
        self, run_id: str, upstream_id: str, generation: Generation, now: float
    ) -> None:
        state = self.engines_by_id[upstream_id]
        cached = state.cache.cached_tokens(generation.shared_parts)
        uncached = max(generation.prompt_tokens - cached, 0)
        prefill_ms = uncached / state.speed
        state.busy_until = max(state.busy_until, now) + prefill_ms / 1000.0
        state.runs_by_id[run_id] = Run(
            uncached=uncached,
            prefill_ms=prefill_ms,
            placed_at=now,
            ready_at=state.busy_until + FIRST_EVENT_MS / 1000.0,
            tokens=generation.most_tokens - cached,
        )
        state.cache.use(generation.shared_parts, occupied=state.occupied)

    def _learn_speed(self, state: EngineState, run: Run, now: float) -> None:
        """Learn from a run that did not wait behind others."""
        took_ms = (now - run.placed_at) * 1000.0 - FIRST_EVENT_MS
        waited_ms = (run.ready_at - run.placed_at) * 1000.0 - FIRST_EVENT_MS
        if run.uncached < TELLING_TOKENS or waited_ms > run.prefill_ms * 1.05:
            return
        if took_ms <= 0:
            return
        seen = min(max(run.uncached / took_ms, MIN_SPEED), MAX_SPEED)
        state.speed += SPEED_WEIGHT * (seen - state.speed)
