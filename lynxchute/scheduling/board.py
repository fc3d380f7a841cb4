"""What all routers together have sent to the engines of one service."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from lynxchute.scheduling.engine_state import EngineState, Run
from lynxchute.scheduling.prefix_cache import PrefixCache
from lynxchute.upstreams.generation import Generation, PromptPart

# Reading a part again costs this many times the engine's time for it: the time
# is the next requests' as well, and the operators pay for it.
REREAD_WEIGHT = 1.5
# Fetching it from an engine that keeps it costs them less, but takes the
# links' time; beside that, as a share of what reading it would take.
FETCH_WEIGHT = 0.35
# Milliseconds that a fetch takes before its first byte.
FETCH_SETUP_MS = 6.0
# Fewer tokens than these are read as fast as they are fetched.
MIN_FETCH_TOKENS = 1_000
# Milliseconds that an engine in another data centre must be faster to be
# chosen: what its bytes cost.
FAR_MS = 15.0
# Milliseconds that a request more for each request running there counts: it
# slows all of them a little.
RUNNING_MS = 2.0
# Milliseconds that each running stream counts where this many prompt tokens
# have to be read: its events pause meanwhile, and the longest pause that is on
# time is about what three pieces of a prompt take.
PAUSE_MS = 60.0
PAUSE_TOKENS = 12_000
# A run of which nothing has been heard for this many seconds is over.
FORGET_SECONDS = 20.0
# Milliseconds that count against an engine without a free slot, or without
# memory for the request: it would have to wait for another one to end.
FULL_MS = 2_000.0
# Seconds that an engine is passed over after a run broke there.
AVOID_SECONDS = 0.8


@attrs.frozen
class Candidate:
    """An engine that could take a request."""

    upstream_id: str
    slots: int
    capacity: int
    is_far: bool


@attrs.frozen
class Place:
    """Where a request goes.

    Attributes
    ----------
    upstream_id
        Its engine; empty where there is none.
    fetch_from
        The engine that should hand over what it keeps of the prompt; empty
        where that does not pay.
    expected_ms
        When its first event is expected, in milliseconds from now.
    """

    upstream_id: str = ""
    fetch_from: str = ""
    expected_ms: float = 0.0


@attrs.frozen
class _Offer:
    """What taking a request would mean for an engine."""

    cost: float
    uncached: int
    fetched: int
    fetch_from: str


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
        *,
        sources: Iterable[str] = (),
        fetch_tokens_per_ms: float = 0.0,
        router: str = "",
    ) -> Place:
        """Return the engine for a request.

        Parameters
        ----------
        sources
            Engines that can hand over what they keep.
        fetch_tokens_per_ms
            How fast they do; 0 where they do not.
        router
            The process that sends the request.
        """
        source, kept = self._best_source(generation, sources)
        if not fetch_tokens_per_ms:
            kept = 0
        best: _Offer | None = None
        chosen = ""
        for candidate in candidates:
            offer = self._offer(
                candidate, generation, now, source, kept, fetch_tokens_per_ms
            )
            if best is None or offer.cost < best.cost:
                best, chosen = offer, candidate.upstream_id
        if best is None:
            return Place()
        run = self._assign(run_id, chosen, generation, best, now, fetch_tokens_per_ms)
        run.router = router
        return Place(chosen, best.fetch_from, run.expected_ms)

    def begun(self, upstream_id: str, run_id: str, now: float) -> None:
        """Note the first event of a run, and learn from when it came."""
        state = self.engines_by_id.get(upstream_id)
        run = state.runs_by_id.get(run_id) if state is not None else None
        if state is None or run is None or run.has_begun:
            return
        run.has_begun = True
        state.begun_at = now
        state.pass_overdue(run_id, now)
        state.learn(run, now)

    def ended(self, upstream_id: str, run_id: str, now: float) -> None:
        """Note the end of a run."""
        state = self.engines_by_id.get(upstream_id)
        run = state.runs_by_id.pop(run_id, None) if state is not None else None
        if state is None or run is None or run.has_begun:
            return
        state.learn_from_no_event(run, now)

    def failed(self, upstream_id: str, run_id: str, now: float) -> None:
        """Note that a run broke, and keep others away for a moment."""
        state = self.engines_by_id.get(upstream_id)
        if state is not None:
            state.runs_by_id.pop(run_id, None)
            state.avoided_until = now + AVOID_SECONDS

    def drop(self, run_id: str) -> None:
        """Forget a run that its router has not sent."""
        for state in self.engines_by_id.values():
            state.runs_by_id.pop(run_id, None)

    def keep_runs_of(self, routers: Collection[str]) -> None:
        """Forget the runs of router processes that are gone."""
        for state in self.engines_by_id.values():
            for run_id, run in list(state.runs_by_id.items()):
                if run.router not in routers:
                    del state.runs_by_id[run_id]

    def unknown(self, candidates: Iterable[Candidate]) -> list[str]:
        """Return the engines of which nothing is known yet, and begin to know them."""
        found = []
        for candidate in candidates:
            if candidate.upstream_id not in self.engines_by_id:
                found.append(candidate.upstream_id)
                self._state(candidate)
        return found

    def learn_cache(self, upstream_id: str, parts: Iterable[PromptPart]) -> None:
        """Take the parts that an engine says it keeps."""
        state = self.engines_by_id.get(upstream_id)
        if state is not None:
            state.cache.learn(parts)

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

    def _best_source(
        self, generation: Generation, sources: Iterable[str]
    ) -> tuple[str, int]:
        """Return the engine that keeps most of a prompt, and how many tokens."""
        best, most = "", 0
        for upstream_id in sources:
            state = self.engines_by_id.get(upstream_id)
            if state is None:
                continue
            kept = state.cache.cached_tokens(generation.shared_parts)
            if kept > most:
                best, most = upstream_id, kept
        return best, most

    def _offer(
        self,
        candidate: Candidate,
        generation: Generation,
        now: float,
        source: str,
        kept: int,
        fetch_tokens_per_ms: float,
    ) -> _Offer:
        """Return what a request would cost there, in milliseconds."""
        state = self._state(candidate)
        shared = sum(part.tokens for part in generation.shared_parts)
        cached = state.cache.cached_tokens(generation.shared_parts)
        fetched = kept - cached if source != candidate.upstream_id else 0
        if fetched < MIN_FETCH_TOKENS:
            fetched = 0
        uncached = max(generation.prompt_tokens - cached - fetched, 0)
        cost = state.expected_ms(uncached, now)
        cost += REREAD_WEIGHT * (shared - cached - fetched) / state.speed
        if fetched:
            cost += FETCH_SETUP_MS + fetched / fetch_tokens_per_ms
            cost += FETCH_WEIGHT * fetched / state.speed
        cost += self._crowding(candidate, state, generation, uncached)
        if now < state.avoided_until:
            cost += FULL_MS
        return _Offer(cost, uncached, fetched, source if fetched else "")

    def _crowding(
        self,
        candidate: Candidate,
        state: EngineState,
        generation: Generation,
        uncached: int,
    ) -> float:
        running = len(state.runs_by_id)
        cost = RUNNING_MS * running
        cost += PAUSE_MS * running * min(uncached / PAUSE_TOKENS, 2.0)
        if candidate.is_far:
            cost += FAR_MS
        if len(state.runs_by_id) >= state.slots:
            cost += FULL_MS
        if state.occupied + generation.most_tokens > state.capacity:
            cost += FULL_MS
        return cost

    def _assign(
        self,
        run_id: str,
        upstream_id: str,
        generation: Generation,
        offer: _Offer,
        now: float,
        fetch_tokens_per_ms: float,
    ) -> Run:
        state = self.engines_by_id[upstream_id]
        cached = state.cache.cached_tokens(generation.shared_parts)
        expected_ms = state.expected_ms(offer.uncached, now)
        if offer.fetched:
            expected_ms += FETCH_SETUP_MS + offer.fetched / fetch_tokens_per_ms
        run = Run(
            uncached=offer.uncached,
            prefill_ms=offer.uncached / state.speed,
            expected_ms=expected_ms,
            placed_at=now,
            tokens=generation.most_tokens - cached,
        )
        state.runs_by_id[run_id] = run
        state.cache.use(generation.shared_parts, occupied=state.occupied)
        return run
