"""One engine as the board sees it, and what its first events tell of it."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable

import attrs

from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.scheduling.pauses import PauseRecord
from lynxchute.scheduling.prefix_cache import PrefixCache
from lynxchute.scheduling.reading_speed import ReadingSpeed
from lynxchute.scheduling.readings import PauseWatch

# A prompt that was expected to wait for so many milliseconds at most tells how fast
# its engine reads.
ALONE_MS = 1.0
# First events expected sooner than this many milliseconds tell nothing of how
# slow an engine is.
TELLING_MS = 60.0
# Milliseconds at most that a run which is overdue counts: one of which nothing
# is heard may never have been sent, and an engine that has stopped is noticed
# by its silence before that.
MAX_OVERDUE_MS = 1_500.0
# A run that is overdue by so many milliseconds when one that came later begins
# is no longer waited for.
PASSED_MS = 500.0
# Weight of the newest first event in how much slower than expected an engine
# is, and the bounds of that factor.
SLOWNESS_WEIGHT = 0.25
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
# Weight of the newest first event in what lasts, and the seconds in which what is
# beyond that is half forgotten while nothing new is heard.
LASTING_WEIGHT = 0.05
FADING_SECONDS = 1.0
# Seconds that a token of an answer takes until it is known: of a large model on
# today's accelerators, with some streams beside.
USUAL_TOKEN_SECONDS = 0.01
# Weight of the newest answer in that.
TOKEN_SECONDS_WEIGHT = 0.05


@attrs.define
class Run:
    """A request on an engine whose answer has not ended.

    Attributes
    ----------
    uncached
        Tokens of its prompt that had to be read.
    prefill_ms
        How long reading them takes an engine that does nothing else.
    expected_ms
        When its first event was expected, in milliseconds after its placement.
    waited_ms
        How much of that it was expected to wait behind others.
    tokens
        What it takes of the engine's memory, in tokens.
    max_pause_ms
        The longest pause between two events that is on time, in milliseconds.
    answer_tokens
        Tokens that its answer is expected to have.
    weight
        What it counts where callers are weighed.
    router
        The process that sends it.
    begun_at
        When its first event came, in seconds.
    slowness
        How slow its engine was taken for when it was placed.
    is_passed
        Whether others that came later have begun long after it should have.
    has_paused
        Whether it has paused for longer than that once, and is late.
    """

    uncached: int
    prefill_ms: float
    expected_ms: float
    waited_ms: float
    placed_at: float
    tokens: int
    max_pause_ms: float = math.inf
    answer_tokens: int = 0
    weight: float = 1.0
    router: str = ""
    slowness: float = 1.0
    begun_at: float = 0.0
    has_begun: bool = False
    is_passed: bool = False
    has_paused: bool = False

    @property
    def is_waiting(self) -> bool:
        """Return whether its prompt has still to be read."""
        return not self.has_begun and not self.is_passed

    def overdue_ms(self, now: float) -> float:
        """Return how late its first event is."""
        return max((now - self.placed_at) * 1000.0 - self.expected_ms, 0.0)


@attrs.define
class EngineState:
    """An engine as the board sees it.

    Attributes
    ----------
    reading
        How fast it reads prompts.
    slowness, slowness_at
        How much longer than expected first events took when one last told, and when
        that was, in seconds.
    lasting
        What that comes to over many first events.
    tells_apart
        Whether slow moments are told from lasting speeds: what is longer than lasting
        fades while nothing new is heard, and the first events and answers count for
        more than later ones.
    begun_at
        When a run last began there, in seconds.
    token_seconds
        How long a token of an answer takes.
    avoided_until
        Time before which it is passed over, in seconds.
    reads_until
        When the prompts that it was sent should have been read, in seconds.
    """

    slots: int
    capacity: int
    cache: PrefixCache
    usual_pauses: Callable[[float], PauseRecord]
    reading: ReadingSpeed = attrs.Factory(ReadingSpeed)
    slowness: float = 1.0
    slowness_at: float = 0.0
    lasting: float = 1.0
    tracks_transients: bool = False
    begun_at: float = 0.0
    seconds_per_token: float = USUAL_TOKEN_SECONDS
    avoided_until: float = 0.0
    reads_until: float = 0.0
    runs_by_id: dict[str, Run] = attrs.Factory(dict)
    _watches_by_limit: dict[float, PauseWatch] = attrs.Factory(dict)
    _answers: int = 0
    _first_events: int = 0

    def slowness_now(self, now: float) -> float:
        """Return how much longer than expected first events take now."""
        if not self.tracks_transients:
            return self.slowness
        passed = max(now - self.slowness_at, 0.0)
        left = 0.5 ** (passed / FADING_SECONDS)
        return float(self.lasting + (self.slowness - self.lasting) * left)

    @property
    def occupied(self) -> int:
        """Return the tokens that running requests take of its memory."""
        return sum(run.tokens for run in self.runs_by_id.values())

    def watch(self, limit_ms: float) -> PauseWatch:
        """Return what is known of streams that may pause for so long."""
        watch = self._watches_by_limit.get(limit_ms)
        if watch is None:
            watch = PauseWatch(self.usual_pauses(limit_ms), self.reading, limit_ms)
            self._watches_by_limit[limit_ms] = watch
        return watch

    def weight_by_limit(self) -> dict[float, float]:
        """Return the weight of the streams on time, by the pause that each may make."""
        found: dict[float, float] = {}
        for run in self.runs_by_id.values():
            if run.has_begun and not run.has_paused and math.isfinite(run.max_pause_ms):
                limit = run.max_pause_ms
                found[limit] = found.get(limit, 0.0) + run.weight
        return found

    def pause_share(self, newcomer: PendingRequest, now: float) -> float:
        """Return how likely a newcomer pauses for too long later on."""
        if math.isinf(newcomer.aims.pause_ms):
            return 0.0
        rate = self.watch(newcomer.aims.pause_ms).rate(now)
        seconds = newcomer.answer_tokens * self.seconds_per_token
        return 1.0 - math.exp(-rate * seconds)

    def waiting_tokens(self, now: float) -> float:
        """Return the tokens that it should still have to read."""
        left_ms = max(self.reads_until - now, 0.0) * 1000.0
        return left_ms * self.reading.tokens_per_ms / self.slowness_now(now)

    def begin_reading(self, tokens: int, now: float) -> None:
        """Note that a prompt was sent whose tokens have to be read."""
        waiting = self.waiting_tokens(now)
        reading_ms = self.reading.reading_ms(waiting + tokens)
        reading_ms *= self.slowness_now(now)
        self.reads_until = now + reading_ms / 1000.0
        streams_by_limit: dict[float, list[str]] = {}
        for run_id, run in self.runs_by_id.items():
            if run.has_begun and not run.has_paused:
                streams_by_limit.setdefault(run.max_pause_ms, []).append(run_id)
        for limit in {*streams_by_limit, *self._watches_by_limit}:
            streams = streams_by_limit.get(limit, [])
            self.watch(limit).add(waiting, tokens, streams, now)

    def note_pause(self, run_id: str, now: float) -> None:
        """Note that a run has paused for too long."""
        run = self.runs_by_id.get(run_id)
        if run is None or run.has_paused:
            return
        run.has_paused = True
        self.watch(run.max_pause_ms).note_pause(run_id, now)

    def learn_end(self, run: Run, now: float) -> None:
        """Learn from a run that has come to its end."""
        if not run.has_begun or not run.answer_tokens:
            return
        seen = (now - run.begun_at) / run.answer_tokens
        self._answers += 1
        weight = self._weight(TOKEN_SECONDS_WEIGHT, self._answers)
        self.seconds_per_token += weight * (seen - self.seconds_per_token)

    def backlog_ms(self, now: float) -> float:
        """Return how long it has to read the prompts that are still waiting."""
        waiting = [run for run in self.runs_by_id.values() if run.is_waiting]
        if not waiting:
            return 0.0
        head = waiting[0]
        reading_ms = (now - max(head.placed_at, self.begun_at)) * 1000.0
        backlog = sum(run.prefill_ms for run in waiting)
        backlog -= min(reading_ms, head.prefill_ms)
        overdue_ms = min(head.overdue_ms(now), MAX_OVERDUE_MS)
        return backlog * self.slowness_now(now) + overdue_ms

    def pass_overdue(self, begun_id: str, now: float) -> None:
        """Wait no longer for runs that are overdue and came before another."""
        for run_id, run in self.runs_by_id.items():
            if run_id == begun_id:
                return
            if run.overdue_ms(now) > PASSED_MS:
                run.is_passed = True

    def record_first_event(self, run_id: str, run: Run, now: float) -> None:
        """Note that a run has become a stream."""
        run.has_begun = True
        run.begun_at = now
        self.begun_at = now
        self.watch(run.max_pause_ms).record_first_event(run_id, now)

    def learn(self, run: Run, took_ms: float, now: float) -> None:
        """Learn from how long the first event of a run took."""
        self._learn_speed(run, took_ms)
        self._learn_slowness(run, took_ms, now)

    def learn_from_no_event(self, run: Run, now: float) -> None:
        """Learn from a run that nobody waited for any longer."""
        waited_ms = (now - run.placed_at) * 1000.0
        if waited_ms > run.expected_ms:
            self._learn_slowness(run, waited_ms, now)

    def expected_ms(self, uncached: int, now: float) -> float:
        """Return when a prompt's first event would come, in milliseconds.

        Parameters
        ----------
        uncached
            Tokens of the prompt that have to be read.
        """
        own_ms = self.reading.reading_ms(uncached) * self.slowness_now(now)
        return self.backlog_ms(now) + own_ms + self.reading.first_event_ms

    def _learn_speed(self, run: Run, took_ms: float) -> None:
        """Learn from a prompt that did not wait behind others."""
        if run.waited_ms <= ALONE_MS:
            self.reading.note(run.uncached, took_ms)

    def _learn_slowness(self, run: Run, took_ms: float, now: float) -> None:
        """Learn how much longer first events take than was expected."""
        first_event_ms = self.reading.first_event_ms
        reading_ms = run.expected_ms - first_event_ms
        if reading_ms < TELLING_MS:
            return
        ratio = max(took_ms - first_event_ms, 0.0) / reading_ms
        before = run.slowness if self.tracks_transients else self.slowness
        seen = min(max(before * ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        present = self.slowness_now(now)
        self.slowness = present + SLOWNESS_WEIGHT * (seen - present)
        self.slowness_at = now
        self._first_events += 1
        weight = self._weight(LASTING_WEIGHT, self._first_events)
        self.lasting += weight * (seen - self.lasting)

    def _weight(self, usual: float, count: int) -> float:
        """Return what the newest of so many counts."""
        return max(usual, 1.0 / (count + 1)) if self.tracks_transients else usual


def begin_like(state: EngineState, others: Iterable[EngineState]) -> None:
    """Take an engine that is new for one like the others that are known."""
    known = [other for other in others if other.reading.is_known]
    if not known:
        return
    speeds = [other.reading.tokens_per_ms for other in known]
    state.reading.tokens_per_ms = statistics.median(speeds)
    seconds = [other.seconds_per_token for other in known]
    state.seconds_per_token = statistics.median(seconds)
