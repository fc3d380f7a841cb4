"""State of one engine, estimated from its runs."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable

import attrs

from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.scheduling.pauses import PauseStats
from lynxchute.scheduling.prefix_cache import PrefixCache
from lynxchute.scheduling.reading_speed import PrefillSpeed
from lynxchute.scheduling.readings import PauseTracker

# The prefill speed is measured only with prompts expected to wait no longer than this
# behind others, in milliseconds.
MAX_UNQUEUED_WAIT_MS = 1.0
# Minimum expected prefill time, in milliseconds, for a first event to count as a sample
# of an engine's slowness.
MIN_INFORMATIVE_MS = 60.0
# Maximum milliseconds by which an overdue run extends the backlog. An overdue run may
# never have been sent, and an engine that has stopped is detected sooner by its
# silence.
MAX_OVERDUE_MS = 1_500.0
# A run overdue by this many milliseconds when a later one begins is no longer counted
# as waiting.
OVERTAKEN_MS = 500.0
# The slowness of an engine is the ratio of actual to expected prefill time. These are
# the weight of the latest first event in it, and its limits.
SLOWNESS_WEIGHT = 0.25
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
# Weight of the latest first event in the baseline slowness, and the half-life in
# seconds of the deviation from the baseline while there are no new samples.
BASELINE_WEIGHT = 0.05
TRANSIENT_HALF_LIFE_SECONDS = 1.0
# Initial estimate of the seconds per output token, for a large model on current
# accelerators with some concurrent streams.
DEFAULT_SECONDS_PER_TOKEN = 0.01
# Weight of the latest response in that estimate.
SECONDS_PER_TOKEN_WEIGHT = 0.05


@attrs.define
class Run:
    """A request at an engine whose response has not ended.

    Attributes
    ----------
    uncached
        Tokens of its prompt that were not cached and had to be read.
    prefill_ms
        Milliseconds that an otherwise idle engine needs to read them.
    expected_ms
        Expected time of its first event, in milliseconds after its placement.
    expected_wait_ms
        Part of that spent waiting behind other requests.
    tokens
        Memory that it occupies at the engine, in tokens.
    max_pause_ms
        Maximum pause between two events that counts as on time, in milliseconds.
    output_tokens
        Expected number of output tokens.
    weight
        Its weight relative to other requests.
    router
        The router process that sends it.
    slowness
        Estimated slowness of its engine when it was placed.
    first_event_at
        Time of its first event, in seconds.
    is_streaming
        Whether its first event has arrived.
    is_overtaken
        Whether a later run has begun while this one was long overdue.
    has_paused
        Whether it has exceeded `max_pause_ms` once, and so is late.
    """

    uncached: int
    prefill_ms: float
    expected_ms: float
    expected_wait_ms: float
    placed_at: float
    tokens: int
    max_pause_ms: float = math.inf
    output_tokens: int = 0
    weight: float = 1.0
    router: str = ""
    slowness: float = 1.0
    first_event_at: float = 0.0
    is_streaming: bool = False
    is_overtaken: bool = False
    has_paused: bool = False

    @property
    def is_waiting(self) -> bool:
        """Return whether its prompt still has to be read."""
        return not self.is_streaming and not self.is_overtaken

    def overdue_ms(self, now: float) -> float:
        """Return how late its first event is, in milliseconds."""
        return max((now - self.placed_at) * 1000.0 - self.expected_ms, 0.0)


@attrs.define
class EngineState:
    """The estimated state of an engine.

    Attributes
    ----------
    capacity
        Tokens that its memory holds.
    service_pauses
        Returns the pause statistics of all engines of the service for a pause limit.
    prefill_speed
        How fast it reads prompts.
    slowness, slowness_at
        Ratio of actual to expected prefill time as of the latest first event, and the
        time of that event in seconds.
    baseline_slowness
        Long-term average of that ratio.
    tracks_transients
        Whether transient slowness is tracked apart from the baseline: the deviation
        from the baseline decays while there are no new samples, and the first samples
        of an engine have a larger weight than later ones.
    last_first_event_at
        Time of the latest first event at the engine, in seconds.
    seconds_per_token
        Estimated seconds per output token.
    avoided_until
        Time until which it receives no requests if there is another engine, in seconds.
    read_until
        Expected time when all prompts sent to it have been read, in seconds.
    """

    slots: int
    capacity: int
    cache: PrefixCache
    service_pauses: Callable[[float], PauseStats]
    prefill_speed: PrefillSpeed = attrs.Factory(PrefillSpeed)
    slowness: float = 1.0
    slowness_at: float = 0.0
    baseline_slowness: float = 1.0
    tracks_transients: bool = False
    last_first_event_at: float = 0.0
    seconds_per_token: float = DEFAULT_SECONDS_PER_TOKEN
    avoided_until: float = 0.0
    read_until: float = 0.0
    runs_by_id: dict[str, Run] = attrs.Factory(dict)
    _trackers_by_limit: dict[float, PauseTracker] = attrs.Factory(dict)
    _answer_count: int = 0
    _first_event_count: int = 0

    def slowness_now(self, now: float) -> float:
        """Return the current ratio of actual to expected prefill time."""
        if not self.tracks_transients:
            return self.slowness
        passed = max(now - self.slowness_at, 0.0)
        left = 0.5 ** (passed / TRANSIENT_HALF_LIFE_SECONDS)
        return float(
            self.baseline_slowness + (self.slowness - self.baseline_slowness) * left
        )

    @property
    def occupied_tokens(self) -> int:
        """Return the tokens that running requests occupy in its memory."""
        return sum(run.tokens for run in self.runs_by_id.values())

    def pause_tracker(self, limit_ms: float) -> PauseTracker:
        """Return the pause tracker of streams with this pause limit."""
        tracker = self._trackers_by_limit.get(limit_ms)
        if tracker is None:
            tracker = PauseTracker(
                self.service_pauses(limit_ms), self.prefill_speed, limit_ms
            )
            self._trackers_by_limit[limit_ms] = tracker
        return tracker

    def weight_by_limit(self) -> dict[float, float]:
        """Return the total weight of the streams on time by their pause limit."""
        found: dict[float, float] = {}
        for run in self.runs_by_id.values():
            if (
                run.is_streaming
                and not run.has_paused
                and math.isfinite(run.max_pause_ms)
            ):
                limit = run.max_pause_ms
                found[limit] = found.get(limit, 0.0) + run.weight
        return found

    def pause_probability(self, request: PendingRequest, now: float) -> float:
        """Return the probability that a new stream pauses for too long."""
        if math.isinf(request.aims.pause_ms):
            return 0.0
        pause_rate = self.pause_tracker(request.aims.pause_ms).pause_rate(now)
        seconds = request.output_tokens * self.seconds_per_token
        return 1.0 - math.exp(-pause_rate * seconds)

    def waiting_tokens(self, now: float) -> float:
        """Return the estimated prompt tokens still to be read."""
        left_ms = max(self.read_until - now, 0.0) * 1000.0
        return left_ms * self.prefill_speed.tokens_per_ms / self.slowness_now(now)

    def add_prompt(self, tokens: int, now: float) -> None:
        """Record a prompt sent to the engine, with its uncached tokens."""
        waiting = self.waiting_tokens(now)
        prefill_ms = self.prefill_speed.prefill_ms(waiting + tokens)
        prefill_ms *= self.slowness_now(now)
        self.read_until = now + prefill_ms / 1000.0
        streams_by_limit: dict[float, list[str]] = {}
        for run_id, run in self.runs_by_id.items():
            if run.is_streaming and not run.has_paused:
                streams_by_limit.setdefault(run.max_pause_ms, []).append(run_id)
        for limit in {*streams_by_limit, *self._trackers_by_limit}:
            streams = streams_by_limit.get(limit, [])
            self.pause_tracker(limit).add_prompt(waiting, tokens, streams, now)

    def record_pause(self, run_id: str, now: float) -> None:
        """Record that a run has paused for too long."""
        run = self.runs_by_id.get(run_id)
        if run is None or run.has_paused:
            return
        run.has_paused = True
        self.pause_tracker(run.max_pause_ms).record_pause(run_id, now)

    def record_answer_end(self, run: Run, now: float) -> None:
        """Update the seconds per token from a run that has ended."""
        if not run.is_streaming or not run.output_tokens:
            return
        observed = (now - run.first_event_at) / run.output_tokens
        self._answer_count += 1
        weight = self._sample_weight(SECONDS_PER_TOKEN_WEIGHT, self._answer_count)
        self.seconds_per_token += weight * (observed - self.seconds_per_token)

    def backlog_ms(self, now: float) -> float:
        """Return the milliseconds needed to read the prompts that are waiting."""
        waiting = [run for run in self.runs_by_id.values() if run.is_waiting]
        if not waiting:
            return 0.0
        head = waiting[0]
        elapsed_ms = (now - max(head.placed_at, self.last_first_event_at)) * 1000.0
        backlog = sum(run.prefill_ms for run in waiting)
        backlog -= min(elapsed_ms, head.prefill_ms)
        overdue_ms = min(head.overdue_ms(now), MAX_OVERDUE_MS)
        return backlog * self.slowness_now(now) + overdue_ms

    def mark_overtaken(self, started_id: str, now: float) -> None:
        """Mark overdue runs that were placed before a run that has started."""
        for run_id, run in self.runs_by_id.items():
            if run_id == started_id:
                return
            if run.overdue_ms(now) > OVERTAKEN_MS:
                run.is_overtaken = True

    def record_first_event(self, run_id: str, run: Run, now: float) -> None:
        """Record the first event of a run."""
        run.is_streaming = True
        run.first_event_at = now
        self.last_first_event_at = now
        self.pause_tracker(run.max_pause_ms).record_first_event(run_id, now)

    def record_latency(self, run: Run, took_ms: float, now: float) -> None:
        """Update the speed and slowness from the latency of a first event."""
        self._update_speed(run, took_ms)
        self._update_slowness(run, took_ms, now)

    def record_missing_event(self, run: Run, now: float) -> None:
        """Update the slowness from a run that ended without any event."""
        waited_ms = (now - run.placed_at) * 1000.0
        if waited_ms > run.expected_ms:
            self._update_slowness(run, waited_ms, now)

    def expected_ms(self, uncached: int, now: float) -> float:
        """Return the expected time until a prompt's first event, in milliseconds.

        Parameters
        ----------
        uncached
            Tokens of the prompt that are not cached.
        """
        own_ms = self.prefill_speed.prefill_ms(uncached) * self.slowness_now(now)
        return self.backlog_ms(now) + own_ms + self.prefill_speed.first_event_ms

    def _update_speed(self, run: Run, took_ms: float) -> None:
        """Update the prefill speed if the prompt did not wait behind others."""
        if run.expected_wait_ms <= MAX_UNQUEUED_WAIT_MS:
            self.prefill_speed.record_prompt(run.uncached, took_ms)

    def _update_slowness(self, run: Run, took_ms: float, now: float) -> None:
        """Update the slowness and its baseline from the latency of a first event."""
        first_event_ms = self.prefill_speed.first_event_ms
        prefill_ms = run.expected_ms - first_event_ms
        if prefill_ms < MIN_INFORMATIVE_MS:
            return
        ratio = max(took_ms - first_event_ms, 0.0) / prefill_ms
        before = run.slowness if self.tracks_transients else self.slowness
        observed = min(max(before * ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        current = self.slowness_now(now)
        self.slowness = current + SLOWNESS_WEIGHT * (observed - current)
        self.slowness_at = now
        self._first_event_count += 1
        weight = self._sample_weight(BASELINE_WEIGHT, self._first_event_count)
        self.baseline_slowness += weight * (observed - self.baseline_slowness)

    def _sample_weight(self, weight: float, count: int) -> float:
        """Return the weight of the latest of `count` samples."""
        return max(weight, 1.0 / (count + 1)) if self.tracks_transients else weight


def init_from_others(state: EngineState, others: Iterable[EngineState]) -> None:
    """Start the speeds of a new engine at the medians of the known engines."""
    known = [other for other in others if other.prefill_speed.is_known]
    if not known:
        return
    speeds = [other.prefill_speed.tokens_per_ms for other in known]
    state.prefill_speed.tokens_per_ms = statistics.median(speeds)
    seconds = [other.seconds_per_token for other in known]
    state.seconds_per_token = statistics.median(seconds)
