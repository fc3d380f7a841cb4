"""A model engine that works in steps: one token for each stream, one chunk to read.

Between two tokens of its running streams an engine reads a chunk of the prompts
that wait, so that a long prompt holds up everybody's next event. Parts of prompts
are kept until memory is needed, least recently used first.
"""

from __future__ import annotations

from collections import OrderedDict, deque

import attrs

from lynxchute._structure import option
from lynxchute.upstreams.generation import Generation

MILLION = 1_000_000.0
THOUSAND = 1_000.0


@attrs.frozen
class EngineShape:
    """What an engine can do, and how fast; times are milliseconds."""

    slots: int = option(default=128, low=1, doc="Requests that run at once.")
    memory_tokens: int = option(
        default=261_197, low=1, doc="Tokens that fit, of running requests and parts."
    )
    step_ms: float = option(default=6.12, low=0.01, doc="A step that does nothing.")
    step_ms_per_stream: float = option(
        default=0.0234, low=0.0, doc="What each running stream adds to a step."
    )
    step_ms_per_thousand: float = option(
        default=0.0131, low=0.0, doc="What a thousand tokens of context add to it."
    )
    tokens_per_ms: float = option(
        default=32.4, low=0.1, doc="Prompt tokens read in a millisecond."
    )
    attention_ms: float = option(
        default=1.18, low=0.0, doc="Reading a million pairs of tokens, besides."
    )
    chunk_tokens: int = option(
        default=2048, low=1, doc="Prompt tokens read between two steps."
    )
    tokens_per_event: int = option(default=3, low=1, doc="Tokens of an event.")
    first_event_ms: float = option(
        default=20.0, low=0.0, doc="Added to each first event."
    )


@attrs.define(eq=False)
class EngineRun:
    """A request at an engine.

    Attributes
    ----------
    arrived_at, first_at, last_at, ended_at
        When it came, when its first and its last event left, and when it ended,
        in seconds; None before that.
    position
        Tokens of its prompt that are in memory.
    left_to_read, left_to_write
        Tokens of its prompt and of its answer that are not done.
    longest_pause
        The longest time between two of its events, in seconds.
    """

    name: str
    generation: Generation
    arrived_at: float
    left_to_write: int
    position: int = 0
    left_to_read: int = 0
    in_event: int = 0
    events: int = 0
    first_at: float | None = None
    last_at: float | None = None
    ended_at: float | None = None
    longest_pause: float = 0.0
    has_left: bool = False


class EmulatedEngine:
    """One engine.

    Parameters
    ----------
    shape
        What it can do.
    slowness
        How many times longer than the shape says its steps take.

    Attributes
    ----------
    read_again
        Shared tokens that it read although some engine had read them before.
    """

    def __init__(self, shape: EngineShape, *, slowness: float = 1.0) -> None:
        self.shape = shape
        self.slowness = slowness
        self.is_dark = False
        self.read_again = 0
        self.waiting: deque[EngineRun] = deque()
        self.reading: deque[EngineRun] = deque()
        self.running: list[EngineRun] = []
        self.next_step_at: float | None = None
        self._read_now: list[EngineRun] = []
        self._kept: OrderedDict[str, int] = OrderedDict()
        self._kept_tokens = 0
        self._occupied = 0

    @property
    def open_runs(self) -> int:
        """Return how many requests it has."""
        return len(self.waiting) + len(self.reading) + len(self.running)

    def take(self, run: EngineRun, now: float, seen: set[str]) -> None:
        """Take a request.

        Parameters
        ----------
        seen
            The shared parts that any engine has read so far.
        """
        self.waiting.append(run)
        if self.next_step_at is None:
            self._begin_step(now, seen)

    def drop(self, run: EngineRun) -> None:
        """Give a request up, whose caller has left."""
        run.has_left = True

    def step(self, seen: set[str]) -> list[EngineRun]:
        """End the step at hand and begin the next; return the runs that got an event.

        Those that ended with it have their end set.
        """
        now = self.next_step_at
        assert now is not None
        told = []
        for run in list(self.running):
            if run.has_left:
                self._end(run, now)
                continue
            if self._write_token(run, now):
                told.append(run)
        for run in self._read_now:
            if run.left_to_read or run.has_left:
                continue
            self.running.append(run)
            if self._write_token(run, now):
                told.append(run)
        self._read_now = []
        self._forget_read()
        self._begin_step(now, seen)
        return told

    def clear(self) -> list[EngineRun]:
        """Lose everything, as in a crash; return what was open."""
        lost = [*self.waiting, *self.reading, *self.running]
        self.waiting.clear()
        self.reading.clear()
        self.running.clear()
        self._read_now.clear()
        self._kept.clear()
        self._kept_tokens = 0
        self._occupied = 0
        self.next_step_at = None
        return lost

    def cached_tokens(self, generation: Generation) -> int:
        """Return how much of a prompt needs no reading."""
        found = 0
        for part in generation.shared_parts:
            if part.id not in self._kept:
                break
            found += part.tokens
        return found

    def fetch(self, generation: Generation) -> None:
        """Take the shared parts of a prompt from another engine."""
        self._keep(generation)

    def _begin_step(self, now: float, seen: set[str]) -> None:
        self._admit(seen)
        if not self.running and not self.reading:
            self.next_step_at = None
            return
        shape = self.shape
        context = sum(run.position for run in self.running)
        step_ms = shape.step_ms + shape.step_ms_per_stream * len(self.running)
        step_ms += shape.step_ms_per_thousand * context / THOUSAND
        step_ms += self._read_chunk()
        self.next_step_at = now + step_ms * self.slowness / 1000.0

    def _forget_read(self) -> None:
        still = deque[EngineRun]()
        for run in self.reading:
            if run.has_left:
                self._occupied -= run.generation.max_total_tokens
                continue
            if run.left_to_read:
                still.append(run)
        self.reading = still

    def _admit(self, seen: set[str]) -> None:
        while self.waiting:
            run = self.waiting[0]
            if run.has_left:
                self.waiting.popleft()
                continue
            if len(self.running) + len(self.reading) >= self.shape.slots:
                return
            if (
                self._occupied + run.generation.max_total_tokens
                > self.shape.memory_tokens
            ):
                return
            self.waiting.popleft()
            self._begin_reading(run, seen)

    def _begin_reading(self, run: EngineRun, seen: set[str]) -> None:
        generation = run.generation
        run.position = self.cached_tokens(generation)
        run.left_to_read = max(generation.prompt_tokens - run.position, 1)
        cached = run.position
        for part in generation.shared_parts:
            if cached >= part.tokens:
                cached -= part.tokens
                continue
            cached = 0
            self.read_again += part.tokens if part.id in seen else 0
            seen.add(part.id)
        self._occupied += generation.max_total_tokens
        self._keep(generation)
        self.reading.append(run)

    def _keep(self, generation: Generation) -> None:
        for part in reversed(generation.shared_parts):
            if part.id not in self._kept:
                self._kept[part.id] = part.tokens
                self._kept_tokens += part.tokens
            self._kept.move_to_end(part.id)
        while self._kept and self._occupied + self._kept_tokens > (
            self.shape.memory_tokens
        ):
            _, dropped = self._kept.popitem(last=False)
            self._kept_tokens -= dropped

    def _read_chunk(self) -> float:
        """Read up to a chunk of the prompts at hand; return the milliseconds."""
        budget = self.shape.chunk_tokens
        took_ms = 0.0
        for run in self.reading:
            if not budget:
                break
            if run.has_left:
                continue
            tokens = min(run.left_to_read, budget)
            took_ms += tokens / self.shape.tokens_per_ms
            pairs = tokens * (run.position + tokens / 2)
            took_ms += pairs / MILLION * self.shape.attention_ms
            run.position += tokens
            run.left_to_read -= tokens
            budget -= tokens
            self._read_now.append(run)
        return took_ms

    def _write_token(self, run: EngineRun, now: float) -> bool:
        """Write one token; return whether an event left with it."""
        run.position += 1
        run.left_to_write -= 1
        run.in_event += 1
        is_whole = run.in_event >= self.shape.tokens_per_event
        if not is_whole and run.left_to_write > 0:
            return False
        run.in_event = 0
        run.events += 1
        if run.first_at is None:
            run.first_at = now + self.shape.first_event_ms / 1000.0
        elif run.last_at is not None:
            run.longest_pause = max(run.longest_pause, now - run.last_at)
        run.last_at = now
        if run.left_to_write <= 0:
            self._end(run, now)
        return True

    def _end(self, run: EngineRun, now: float) -> None:
        run.ended_at = now
        self.running.remove(run)
        self._occupied -= run.generation.max_total_tokens
