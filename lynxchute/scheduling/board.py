"""Track the load of a service's engines and choose an engine for each request."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from lynxchute.scheduling.caller_weights import RequestWeights
from lynxchute.scheduling.crowding import LoadAdaptiveCost, PlacementCost
from lynxchute.scheduling.engine_state import EngineState, Run, init_from_others
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.scheduling.pauses import PauseStats
from lynxchute.scheduling.prefix_cache import PrefixCache
from lynxchute.upstreams.generation import Generation, PromptPart

# Cost of reading a prompt part again, as a multiple of its prefill time: that time
# also delays the next requests, and operators pay for it.
REREAD_WEIGHT = 1.5
# Cost of fetching a part from another engine, beyond the transfer time, as a share of
# its prefill time: fetching is cheaper than prefill, but uses the network links.
FETCH_WEIGHT = 0.35
# Milliseconds until the first byte of a fetch.
FETCH_SETUP_MS = 6.0
# Fewer tokens than these are not fetched: reading them takes no longer.
MIN_FETCH_TOKENS = 1_000
# Cost in milliseconds of an engine in another data centre, for the traffic between data
# centres.
REMOTE_COST_MS = 15.0
# Seconds after its placement until a run whose end was not reported is discarded.
RUN_TIMEOUT_SECONDS = 20.0
# Cost in milliseconds of an engine without a free slot or without memory for the
# request, which would have to wait for another request to end, and of an engine that is
# avoided after a failure.
FULL_COST_MS = 2_000.0
# Seconds for which an engine is avoided after a run failed there.
AVOID_SECONDS = 0.8


@attrs.frozen
class Candidate:
    """An engine that may receive a request.

    Attributes
    ----------
    capacity
        Tokens that its memory holds.
    is_far
        Whether it is in another data centre.
    """

    upstream_id: str
    slots: int
    capacity: int
    is_far: bool


@attrs.frozen
class PlacementResult:
    """The result of a placement.

    Attributes
    ----------
    upstream_id
        The chosen engine; empty if there is none.
    fetch_from
        The engine to fetch cached prompt parts from; empty if a fetch does not
        pay off.
    expected_ms
        Expected time until the first event, in milliseconds.
    is_full
        Whether no engine was chosen because all are full.
    """

    upstream_id: str = ""
    fetch_from: str = ""
    expected_ms: float = 0.0
    is_full: bool = False


@attrs.frozen
class _PlacementOption:
    """The cost of placing a request at one engine.

    Attributes
    ----------
    cost
        In milliseconds.
    uncached, fetched
        Tokens of the prompt to read, and to fetch from another engine.
    """

    cost: float
    uncached: int
    fetched: int
    fetch_from: str


class EngineBoard:
    """Choose an engine for each generation and track the runs on each engine.

    Times are in seconds on the steady clock.

    Parameters
    ----------
    placement_cost
        Estimates the cost of a request at an engine, for itself and other requests.
    tracks_transients
        Whether transient slowness of an engine is tracked apart from its baseline, and
        new engines start with the median speeds of the known ones.
    """

    def __init__(
        self,
        placement_cost: PlacementCost | None = None,
        *,
        tracks_transients: bool = False,
    ) -> None:
        self.engines_by_id: dict[str, EngineState] = {}
        self._placement_cost = placement_cost or LoadAdaptiveCost()
        self._service_pauses_by_limit: dict[float, PauseStats] = {}
        self._request_weights = RequestWeights()
        self.tracks_transients = tracks_transients

    def place(
        self,
        request: PendingRequest,
        candidates: Collection[Candidate],
        now: float,
        *,
        sources: Iterable[str] = (),
        fetch_tokens_per_ms: float = 0.0,
        skips_full: bool = False,
    ) -> PlacementResult:
        """Choose an engine for a request and record the run there.

        Parameters
        ----------
        sources
            Engines from which cached prompt parts can be fetched.
        fetch_tokens_per_ms
            The speed of such fetches; 0 if they are not supported.
        skips_full
            Whether engines without a free slot are skipped.
        """
        request = attrs.evolve(request, weight=self._request_weights.weight_of(request))
        source, source_tokens = self._best_source(request.generation, sources)
        if not fetch_tokens_per_ms:
            source_tokens = 0
        best: _PlacementOption | None = None
        chosen: Candidate | None = None
        for candidate in candidates:
            option = self._evaluate(
                candidate, request, now, source, source_tokens, fetch_tokens_per_ms
            )
            if best is not None and option.cost >= best.cost:
                continue
            # Checked only for an option that beats the best one so far, which is rare.
            if skips_full and not self._has_room(candidate, request):
                continue
            best, chosen = option, candidate
        if best is None or chosen is None:
            return PlacementResult(is_full=skips_full and bool(candidates))
        run = self._assign(request, chosen.upstream_id, best, now, fetch_tokens_per_ms)
        self._placement_cost.record_placement(request, run.expected_ms)
        return PlacementResult(chosen.upstream_id, best.fetch_from, run.expected_ms)

    def free_slots(
        self, request: PendingRequest, candidates: Iterable[Candidate]
    ) -> int:
        """Return the number of free slots on the engines that can start a request."""
        free = 0
        for candidate in candidates:
            if self._has_room(candidate, request):
                running = len(self._state(candidate).runs_by_id)
                free += max(candidate.slots - running, 1)
        return free

    def record_first_event(
        self, upstream_id: str, run_id: str, now: float, *, took_ms: float | None = None
    ) -> None:
        """Record the first event of a run and update the speed estimates.

        Parameters
        ----------
        took_ms
            Milliseconds from the send to the event, if its router reported them.
        """
        state = self.engines_by_id.get(upstream_id)
        run = state.runs_by_id.get(run_id) if state is not None else None
        if state is None or run is None or run.is_streaming:
            return
        if took_ms is None:
            took_ms = (now - run.placed_at) * 1000.0
        state.record_first_event(run_id, run, now)
        state.mark_overtaken(run_id, now)
        state.record_latency(run, took_ms, now)

    def record_pause(self, upstream_id: str, run_id: str, now: float) -> None:
        """Record that a stream has paused for longer than allowed."""
        state = self.engines_by_id.get(upstream_id)
        if state is not None:
            state.record_pause(run_id, now)

    def record_end(self, upstream_id: str, run_id: str, now: float) -> None:
        """Record the end of a run."""
        state = self.engines_by_id.get(upstream_id)
        run = state.runs_by_id.pop(run_id, None) if state is not None else None
        if state is None or run is None:
            return
        if run.is_streaming:
            state.record_answer_end(run, now)
            return
        state.record_missing_event(run, now)

    def record_failure(self, upstream_id: str, run_id: str, now: float) -> None:
        """Record the failure of a run and avoid the engine for a moment.

        An unknown run is ignored: it may have failed with an earlier process of the
        engine.
        """
        state = self.engines_by_id.get(upstream_id)
        if state is not None and state.runs_by_id.pop(run_id, None) is not None:
            state.avoided_until = now + AVOID_SECONDS

    def discard_run(self, run_id: str) -> None:
        """Discard a run that its router has not sent."""
        for state in self.engines_by_id.values():
            state.runs_by_id.pop(run_id, None)

    def prune_runs(self, live_routers: Collection[str]) -> None:
        """Discard the runs of router processes that are not in `live_routers`."""
        for state in self.engines_by_id.values():
            for run_id, run in list(state.runs_by_id.items()):
                if run.router not in live_routers:
                    del state.runs_by_id[run_id]

    def track_new(self, candidates: Iterable[Candidate]) -> list[str]:
        """Start tracking new engines and return their ids."""
        found = []
        for candidate in candidates:
            if candidate.upstream_id not in self.engines_by_id:
                found.append(candidate.upstream_id)
                self._state(candidate)
        return found

    def add_cached_parts(self, upstream_id: str, parts: Iterable[PromptPart]) -> None:
        """Add the prompt parts that an engine reports as cached."""
        state = self.engines_by_id.get(upstream_id)
        if state is not None:
            state.cache.add_reported(parts)

    def discard_upstream(self, upstream_id: str) -> None:
        """Discard the state of an engine whose process has restarted."""
        self.engines_by_id.pop(upstream_id, None)

    def prune(self, live_ids: Iterable[str], now: float) -> None:
        """Discard engines not in `live_ids`, and runs whose end was not reported."""
        known = set(live_ids)
        for upstream_id in list(self.engines_by_id):
            if upstream_id not in known:
                del self.engines_by_id[upstream_id]
                continue
            runs = self.engines_by_id[upstream_id].runs_by_id
            for run_id, run in list(runs.items()):
                if now - run.placed_at > RUN_TIMEOUT_SECONDS:
                    del runs[run_id]

    def _state(self, candidate: Candidate) -> EngineState:
        state = self.engines_by_id.get(candidate.upstream_id)
        if state is None:
            cache = PrefixCache(candidate.capacity)
            state = EngineState(
                candidate.slots,
                candidate.capacity,
                cache,
                self._service_pauses,
                tracks_transients=self.tracks_transients,
            )
            if self.tracks_transients:
                init_from_others(state, self.engines_by_id.values())
            self.engines_by_id[candidate.upstream_id] = state
        return state

    def _service_pauses(self, limit_ms: float) -> PauseStats:
        """Return the statistics of all engines for streams with this pause limit."""
        return self._service_pauses_by_limit.setdefault(limit_ms, PauseStats())

    def _best_source(
        self, generation: Generation, sources: Iterable[str]
    ) -> tuple[str, int]:
        """Return the engine with most of a prompt cached, and the number of tokens."""
        best, most = "", 0
        for upstream_id in sources:
            state = self.engines_by_id.get(upstream_id)
            if state is None:
                continue
            source_tokens = state.cache.cached_tokens(generation.shared_parts)
            if source_tokens > most:
                best, most = upstream_id, source_tokens
        return best, most

    def _has_room(self, candidate: Candidate, request: PendingRequest) -> bool:
        """Return whether an engine can start a request at once.

        An idle engine accepts a request of any size.
        """
        state = self._state(candidate)
        if not state.runs_by_id:
            return True
        if 0 < candidate.slots <= len(state.runs_by_id):
            return False
        needed = state.occupied_tokens + request.generation.max_total_tokens
        return needed <= state.capacity

    def _evaluate(
        self,
        candidate: Candidate,
        request: PendingRequest,
        now: float,
        source: str,
        source_tokens: int,
        fetch_tokens_per_ms: float,
    ) -> _PlacementOption:
        """Return the cost of a request at an engine, in milliseconds."""
        state = self._state(candidate)
        generation = request.generation
        shared = sum(part.tokens for part in generation.shared_parts)
        cached = state.cache.cached_tokens(generation.shared_parts)
        fetched = source_tokens - cached if source != candidate.upstream_id else 0
        if fetched < MIN_FETCH_TOKENS:
            fetched = 0
        uncached = max(generation.prompt_tokens - cached - fetched, 0)
        expected_ms = state.expected_ms(uncached, now)
        cost = self._placement_cost.cost_ms(state, request, uncached, expected_ms, now)
        cost += REREAD_WEIGHT * state.prefill_speed.prefill_ms(
            shared - cached - fetched
        )
        if fetched:
            cost += FETCH_SETUP_MS + fetched / fetch_tokens_per_ms
            cost += FETCH_WEIGHT * state.prefill_speed.prefill_ms(fetched)
        cost += _capacity_cost_ms(candidate, state, request)
        if now < state.avoided_until:
            cost += FULL_COST_MS
        return _PlacementOption(cost, uncached, fetched, source if fetched else "")

    def _assign(
        self,
        request: PendingRequest,
        upstream_id: str,
        option: _PlacementOption,
        now: float,
        fetch_tokens_per_ms: float,
    ) -> Run:
        state = self.engines_by_id[upstream_id]
        generation = request.generation
        cached = state.cache.cached_tokens(generation.shared_parts)
        expected_ms = state.expected_ms(option.uncached, now)
        if option.fetched:
            expected_ms += FETCH_SETUP_MS + option.fetched / fetch_tokens_per_ms
        run = Run(
            uncached=option.uncached,
            prefill_ms=state.prefill_speed.prefill_ms(option.uncached),
            expected_ms=expected_ms,
            expected_wait_ms=state.backlog_ms(now),
            placed_at=now,
            tokens=generation.max_total_tokens - cached,
            max_pause_ms=request.aims.pause_ms,
            output_tokens=request.output_tokens,
            weight=request.weight,
            router=request.router,
            slowness=state.slowness_now(now),
        )
        state.add_prompt(option.uncached, now)
        state.runs_by_id[request.run_id] = run
        state.cache.record_prompt(
            generation.shared_parts, occupied_tokens=state.occupied_tokens
        )
        return run


def _capacity_cost_ms(
    candidate: Candidate, state: EngineState, request: PendingRequest
) -> float:
    """Return the cost of distance and of missing slots or memory."""
    # A request that waits for a slot is late, so it counts by its weight, but at least
    # as much as a request of average size.
    full_cost_ms = FULL_COST_MS * max(request.weight, 1.0)
    cost = REMOTE_COST_MS if candidate.is_far else 0.0
    if len(state.runs_by_id) >= state.slots:
        cost += full_cost_ms
    if state.occupied_tokens + request.generation.max_total_tokens > state.capacity:
        cost += full_cost_ms
    return cost
