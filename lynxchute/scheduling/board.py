"""What all routers together have sent to the engines of one service."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from lynxchute.scheduling.caller_weights import CallerWeights
from lynxchute.scheduling.crowding import LoadAdaptiveCost, PlacementCost
from lynxchute.scheduling.engine_state import EngineState, Run, begin_like
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.scheduling.pauses import PauseRecord
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
    is_full
        Whether there is none since all engines are full.
    """

    upstream_id: str = ""
    fetch_from: str = ""
    expected_ms: float = 0.0
    is_full: bool = False


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

    Parameters
    ----------
    crowding
        Weighs who is harmed by a request at an engine.
    tells_apart
        Whether slow moments of engines are told from lasting speeds, and engines that
        are new are taken for ones like the others.
    """

    def __init__(
        self, crowding: PlacementCost | None = None, *, tracks_transients: bool = False
    ) -> None:
        self.engines_by_id: dict[str, EngineState] = {}
        self._crowding = crowding or LoadAdaptiveCost()
        self._usual_pauses_by_limit: dict[float, PauseRecord] = {}
        self._weights = CallerWeights()
        self.tracks_transients = tracks_transients

    def place(
        self,
        newcomer: PendingRequest,
        candidates: Collection[Candidate],
        now: float,
        *,
        sources: Iterable[str] = (),
        fetch_tokens_per_ms: float = 0.0,
        spares_full: bool = False,
    ) -> Place:
        """Return the engine for a request.

        Parameters
        ----------
        sources
            Engines that can hand over what they keep.
        fetch_tokens_per_ms
            How fast they do; 0 where they do not.
        spares_full
            Whether engines without a free place get nothing.
        """
        newcomer = attrs.evolve(newcomer, weight=self._weights.of(newcomer))
        source, kept = self._best_source(newcomer.generation, sources)
        if not fetch_tokens_per_ms:
            kept = 0
        best: _Offer | None = None
        chosen: Candidate | None = None
        for candidate in candidates:
            offer = self._offer(
                candidate, newcomer, now, source, kept, fetch_tokens_per_ms
            )
            if best is not None and offer.cost >= best.cost:
                continue
            # Few offers are the best so far, so that little is looked at twice.
            if spares_full and not self._has_room(candidate, newcomer):
                continue
            best, chosen = offer, candidate
        if best is None or chosen is None:
            return Place(is_full=spares_full and bool(candidates))
        run = self._assign(newcomer, chosen.upstream_id, best, now, fetch_tokens_per_ms)
        self._crowding.record_placement(newcomer, run.expected_ms)
        return Place(chosen.upstream_id, best.fetch_from, run.expected_ms)

    def free_places(
        self, newcomer: PendingRequest, candidates: Iterable[Candidate]
    ) -> int:
        """Return how many requests more engines with room for this one can run."""
        free = 0
        for candidate in candidates:
            if self._has_room(candidate, newcomer):
                running = len(self._state(candidate).runs_by_id)
                free += max(candidate.slots - running, 1)
        return free

    def begun(
        self, upstream_id: str, run_id: str, now: float, *, took_ms: float | None = None
    ) -> None:
        """Note the first event of a run, and learn from when it came.

        Parameters
        ----------
        took_ms
            Milliseconds from the send to the event, where its router has told.
        """
        state = self.engines_by_id.get(upstream_id)
        run = state.runs_by_id.get(run_id) if state is not None else None
        if state is None or run is None or run.has_begun:
            return
        if took_ms is None:
            took_ms = (now - run.placed_at) * 1000.0
        state.record_first_event(run_id, run, now)
        state.pass_overdue(run_id, now)
        state.learn(run, took_ms, now)

    def paused(self, upstream_id: str, run_id: str, now: float) -> None:
        """Note that a stream has paused for longer than is on time."""
        state = self.engines_by_id.get(upstream_id)
        if state is not None:
            state.note_pause(run_id, now)

    def ended(self, upstream_id: str, run_id: str, now: float) -> None:
        """Note the end of a run."""
        state = self.engines_by_id.get(upstream_id)
        run = state.runs_by_id.pop(run_id, None) if state is not None else None
        if state is None or run is None:
            return
        if run.has_begun:
            state.learn_end(run, now)
            return
        state.learn_from_no_event(run, now)

    def failed(self, upstream_id: str, run_id: str, now: float) -> None:
        """Note that a run broke, and keep others away for a moment.

        One that is not known here may have broken with a process that has ended.
        """
        state = self.engines_by_id.get(upstream_id)
        if state is not None and state.runs_by_id.pop(run_id, None) is not None:
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

    def discard_upstream(self, upstream_id: str) -> None:
        """Keep nothing of an engine whose process has started again."""
        self.engines_by_id.pop(upstream_id, None)

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
            state = EngineState(
                candidate.slots,
                candidate.capacity,
                cache,
                self._usual_pauses,
                tracks_transients=self.tracks_transients,
            )
            if self.tracks_transients:
                begin_like(state, self.engines_by_id.values())
            self.engines_by_id[candidate.upstream_id] = state
        return state

    def _usual_pauses(self, limit_ms: float) -> PauseRecord:
        """Return what was seen at all engines of streams that may pause so long."""
        return self._usual_pauses_by_limit.setdefault(limit_ms, PauseRecord())

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

    def _has_room(self, candidate: Candidate, newcomer: PendingRequest) -> bool:
        """Return whether an engine can begin with a request at once.

        One that runs nothing has room for whatever is sent there.
        """
        state = self._state(candidate)
        if not state.runs_by_id:
            return True
        if 0 < candidate.slots <= len(state.runs_by_id):
            return False
        needed = state.occupied + newcomer.generation.most_tokens
        return needed <= state.capacity

    def _offer(
        self,
        candidate: Candidate,
        newcomer: PendingRequest,
        now: float,
        source: str,
        kept: int,
        fetch_tokens_per_ms: float,
    ) -> _Offer:
        """Return what a request would cost there, in milliseconds."""
        state = self._state(candidate)
        generation = newcomer.generation
        shared = sum(part.tokens for part in generation.shared_parts)
        cached = state.cache.cached_tokens(generation.shared_parts)
        fetched = kept - cached if source != candidate.upstream_id else 0
        if fetched < MIN_FETCH_TOKENS:
            fetched = 0
        uncached = max(generation.prompt_tokens - cached - fetched, 0)
        expected_ms = state.expected_ms(uncached, now)
        cost = self._crowding.cost_ms(state, newcomer, uncached, expected_ms, now)
        cost += REREAD_WEIGHT * state.reading.reading_ms(shared - cached - fetched)
        if fetched:
            cost += FETCH_SETUP_MS + fetched / fetch_tokens_per_ms
            cost += FETCH_WEIGHT * state.reading.reading_ms(fetched)
        cost += _shortage(candidate, state, newcomer)
        if now < state.avoided_until:
            cost += FULL_MS
        return _Offer(cost, uncached, fetched, source if fetched else "")

    def _assign(
        self,
        newcomer: PendingRequest,
        upstream_id: str,
        offer: _Offer,
        now: float,
        fetch_tokens_per_ms: float,
    ) -> Run:
        state = self.engines_by_id[upstream_id]
        generation = newcomer.generation
        cached = state.cache.cached_tokens(generation.shared_parts)
        expected_ms = state.expected_ms(offer.uncached, now)
        if offer.fetched:
            expected_ms += FETCH_SETUP_MS + offer.fetched / fetch_tokens_per_ms
        run = Run(
            uncached=offer.uncached,
            prefill_ms=state.reading.reading_ms(offer.uncached),
            expected_ms=expected_ms,
            waited_ms=state.backlog_ms(now),
            placed_at=now,
            tokens=generation.most_tokens - cached,
            max_pause_ms=newcomer.aims.pause_ms,
            answer_tokens=newcomer.answer_tokens,
            weight=newcomer.weight,
            router=newcomer.router,
            slowness=state.slowness_now(now),
        )
        state.begin_reading(offer.uncached, now)
        state.runs_by_id[newcomer.run_id] = run
        state.cache.use(generation.shared_parts, occupied=state.occupied)
        return run


def _shortage(
    candidate: Candidate, state: EngineState, newcomer: PendingRequest
) -> float:
    """Return what the way there and the lack of a place cost, in milliseconds."""
    # Whoever has to wait for a place is late, and counts like others who are.
    full_ms = FULL_MS * max(newcomer.weight, 1.0)
    cost = FAR_MS if candidate.is_far else 0.0
    if len(state.runs_by_id) >= state.slots:
        cost += full_ms
    if state.occupied + newcomer.generation.most_tokens > state.capacity:
        cost += full_ms
    return cost
