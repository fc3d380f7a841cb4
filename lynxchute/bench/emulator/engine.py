"""A simulated model engine with continuous batching and chunked prefill.

Each step generates one token of every running stream and prefills one chunk of waiting
prompts, so that a long prompt delays the next event of every stream. Prompt parts stay
cached until memory is needed; the least recently used are evicted first.
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
    """The capacity and speed of an engine."""

    slots: int = option(default=128, low=1, doc="Maximum number of running requests.")
    memory_tokens: int = option(
        default=261_197,
        low=1,
        doc="Tokens of running requests and cached parts that fit in memory.",
    )
    step_ms: float = option(
        default=6.12, low=0.01, doc="Duration of an empty step, in milliseconds."
    )
    step_ms_per_stream: float = option(
        default=0.0234,
        low=0.0,
        doc="Milliseconds that each running stream adds to a step.",
    )
    step_ms_per_thousand: float = option(
        default=0.0131,
        low=0.0,
        doc="Milliseconds that a thousand tokens of context add to a step.",
    )
    tokens_per_ms: float = option(
        default=32.4, low=0.1, doc="Prompt tokens prefilled in a millisecond."
    )
    attention_ms: float = option(
        default=1.18,
        low=0.0,
        doc="Milliseconds that a million token pairs add to the prefill.",
    )
    chunk_tokens: int = option(
        default=2048, low=1, doc="Prompt tokens prefilled in one step."
    )
    tokens_per_event: int = option(
        default=3, low=1, doc="Answer tokens in one stream event."
    )
    first_event_ms: float = option(
        default=20.0, low=0.0, doc="Milliseconds by which each first event is delayed."
    )


@attrs.define(eq=False)
class EngineRun:
    """A request at an engine.

    Attributes
    ----------
    arrived_at, first_at, last_at, ended_at
        The times of its arrival, of its first and latest event, and of its end, in
        seconds; None before that.
    position
        Number of its tokens that are in memory, of prompt and answer.
    left_to_read, left_to_write
        Remaining tokens of the prompt to prefill, and of the answer to generate.
    in_event
        Tokens generated for the next event.
    longest_pause
        The longest time between two of its events, in seconds.
    has_left
        Whether its caller has disconnected.
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
    """Simulate one engine.

    Parameters
    ----------
    shape
        Its capacity and speed.
    slowness
        Factor by which its steps take longer than the shape defines.

    Attributes
    ----------
    read_again
        Shared prompt tokens that it prefilled although an engine had done so before.
    """

    def __init__(self, shape: EngineShape, *, slowness: float = 1.0) -> None:
        self.shape = shape
        self.slowness = slowness
        self.is_down = False
        self.read_again = 0
        self.waiting: deque[EngineRun] = deque()
        self.reading: deque[EngineRun] = deque()
        self.running: list[EngineRun] = []
        self.next_step_at: float | None = None
        self._prefilled_in_step: list[EngineRun] = []
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._occupied = 0

    @property
    def open_runs(self) -> int:
        """Return the number of waiting and running requests."""
        return len(self.waiting) + len(self.reading) + len(self.running)

    def open_runs_in_order(self) -> list[EngineRun]:
        """Return the waiting and running requests."""
        return [*self.waiting, *self.reading, *self.running]

    def submit(self, run: EngineRun, now: float, prefilled_parts: set[str]) -> None:
        """Queue a request, and start a step if the engine is idle.

        Parameters
        ----------
        prefilled_parts
            Ids of the shared parts that any engine has prefilled; added to in place.
        """
        self.waiting.append(run)
        if self.next_step_at is None:
            self._start_step(now, prefilled_parts)

    def cancel(self, run: EngineRun) -> None:
        """Cancel a request whose caller has disconnected."""
        run.has_left = True

    def step(self, prefilled_parts: set[str]) -> list[EngineRun]:
        """Finish the current step and start the next; return runs that sent an event.

        The end time of runs that finished is set.
        """
        now = self.next_step_at
        assert now is not None
        runs_with_event = []
        for run in list(self.running):
            if run.has_left:
                self._end(run, now)
                continue
            if self._generate_token(run, now):
                runs_with_event.append(run)
        for run in self._prefilled_in_step:
            if run.left_to_read or run.has_left:
                continue
            self.running.append(run)
            if self._generate_token(run, now):
                runs_with_event.append(run)
        self._prefilled_in_step = []
        self._discard_finished_prefills()
        self._start_step(now, prefilled_parts)
        return runs_with_event

    def clear(self) -> list[EngineRun]:
        """Discard requests and cache, as in a crash; return the open requests."""
        lost = self.open_runs_in_order()
        self.waiting.clear()
        self.reading.clear()
        self.running.clear()
        self._prefilled_in_step.clear()
        self._cached.clear()
        self._cached_tokens = 0
        self._occupied = 0
        self.next_step_at = None
        return lost

    def cached_tokens(self, generation: Generation) -> int:
        """Return the tokens of a prompt that are cached."""
        found = 0
        for part in generation.shared_parts:
            if part.id not in self._cached:
                break
            found += part.tokens
        return found

    def fetch(self, generation: Generation) -> None:
        """Cache the shared parts of a prompt, fetched from another engine."""
        self._cache_parts(generation)

    def _start_step(self, now: float, prefilled_parts: set[str]) -> None:
        self._admit(prefilled_parts)
        if not self.running and not self.reading:
            self.next_step_at = None
            return
        shape = self.shape
        context = sum(run.position for run in self.running)
        step_ms = shape.step_ms + shape.step_ms_per_stream * len(self.running)
        step_ms += shape.step_ms_per_thousand * context / THOUSAND
        step_ms += self._prefill_chunk()
        self.next_step_at = now + step_ms * self.slowness / 1000.0

    def _discard_finished_prefills(self) -> None:
        remaining = deque[EngineRun]()
        for run in self.reading:
            if run.has_left:
                self._occupied -= run.generation.max_total_tokens
                continue
            if run.left_to_read:
                remaining.append(run)
        self.reading = remaining

    def _admit(self, prefilled_parts: set[str]) -> None:
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
            self._start_prefill(run, prefilled_parts)

    def _start_prefill(self, run: EngineRun, prefilled_parts: set[str]) -> None:
        generation = run.generation
        run.position = self.cached_tokens(generation)
        run.left_to_read = max(generation.prompt_tokens - run.position, 1)
        cached = run.position
        for part in generation.shared_parts:
            if cached >= part.tokens:
                cached -= part.tokens
                continue
            cached = 0
            self.read_again += part.tokens if part.id in prefilled_parts else 0
            prefilled_parts.add(part.id)
        self._occupied += generation.max_total_tokens
        self._cache_parts(generation)
        self.reading.append(run)

    def _cache_parts(self, generation: Generation) -> None:
        for part in reversed(generation.shared_parts):
            if part.id not in self._cached:
                self._cached[part.id] = part.tokens
                self._cached_tokens += part.tokens
            self._cached.move_to_end(part.id)
        while self._cached and self._occupied + self._cached_tokens > (
            self.shape.memory_tokens
        ):
            _, evicted_tokens = self._cached.popitem(last=False)
            self._cached_tokens -= evicted_tokens

    def _prefill_chunk(self) -> float:
        """Prefill up to one chunk of the admitted prompts; return the milliseconds."""
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
            self._prefilled_in_step.append(run)
        return took_ms

    def _generate_token(self, run: EngineRun, now: float) -> bool:
        """Generate one token; return whether that completed an event."""
        run.position += 1
        run.left_to_write -= 1
        run.in_event += 1
        is_complete = run.in_event >= self.shape.tokens_per_event
        if not is_complete and run.left_to_write > 0:
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
