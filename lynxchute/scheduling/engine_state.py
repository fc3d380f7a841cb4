"""One engine as the board sees it, and what its first events tell of it."""

from __future__ import annotations

import attrs

from lynxchute.scheduling.prefix_cache import PrefixCache

# Prompt tokens that an engine reads in a millisecond, until its own speed is
# known: that of a large model on today's accelerators.
USUAL_SPEED = 40.0
MIN_SPEED = 5.0
MAX_SPEED = 500.0
# Weight of the newest first token in an engine's known speed.
SPEED_WEIGHT = 0.1
# Prompts shorter than this tell nothing of the speed.
TELLING_TOKENS = 1500
# First events expected sooner than this many milliseconds tell nothing of how
# slow an engine is.
TELLING_MS = 60.0
# Milliseconds from an idle engine's start of a prompt to its first event, apart
# from reading the prompt.
FIRST_EVENT_MS = 35.0
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
    tokens
        What it takes of the engine's memory, in tokens.
    router
        The process that sends it.
    is_passed
        Whether others that came later have begun long after it should have.
    """

    uncached: int
    prefill_ms: float
    expected_ms: float
    placed_at: float
    tokens: int
    router: str = ""
    has_begun: bool = False
    is_passed: bool = False

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
    speed
        Prompt tokens that it reads in a millisecond.
    slowness
        How much longer than expected first events take of late.
    begun_at
        When a run last began there, in seconds.
    avoided_until
        Time before which it is passed over, in seconds.
    """

    slots: int
    capacity: int
    cache: PrefixCache
    speed: float = USUAL_SPEED
    slowness: float = 1.0
    begun_at: float = 0.0
    avoided_until: float = 0.0
    runs_by_id: dict[str, Run] = attrs.Factory(dict)

    @property
    def occupied(self) -> int:
        """Return the tokens that running requests take of its memory."""
        return sum(run.tokens for run in self.runs_by_id.values())

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
        return backlog * self.slowness + overdue_ms

    def pass_overdue(self, begun_id: str, now: float) -> None:
        """Wait no longer for runs that are overdue and came before another."""
        for run_id, run in self.runs_by_id.items():
            if run_id == begun_id:
                return
            if run.overdue_ms(now) > PASSED_MS:
                run.is_passed = True

    def learn(self, run: Run, now: float) -> None:
        """Learn from when the first event of a run came."""
        took_ms = (now - run.placed_at) * 1000.0
        self._learn_speed(run, took_ms)
        self._learn_slowness(run, took_ms)

    def learn_from_no_event(self, run: Run, now: float) -> None:
        """Learn from a run that nobody waited for any longer."""
        waited_ms = (now - run.placed_at) * 1000.0
        if waited_ms > run.expected_ms:
            self._learn_slowness(run, waited_ms)

    def expected_ms(self, uncached: int, now: float) -> float:
        """Return when a prompt's first event would come, in milliseconds.

        Parameters
        ----------
        uncached
            Tokens of the prompt that have to be read.
        """
        own_ms = max(uncached, 0) / self.speed * self.slowness
        return self.backlog_ms(now) + own_ms + FIRST_EVENT_MS

    def _learn_speed(self, run: Run, took_ms: float) -> None:
        """Learn from a long prompt that did not wait behind others."""
        reading_ms = took_ms - FIRST_EVENT_MS
        waited_ms = run.expected_ms - FIRST_EVENT_MS - run.prefill_ms * self.slowness
        if run.uncached < TELLING_TOKENS or waited_ms > 1.0 or reading_ms <= 0:
            return
        seen = min(max(run.uncached / reading_ms, MIN_SPEED), MAX_SPEED)
        self.speed += SPEED_WEIGHT * (seen - self.speed)

    def _learn_slowness(self, run: Run, took_ms: float) -> None:
        """Learn how much longer first events take than was expected."""
        reading_ms = run.expected_ms - FIRST_EVENT_MS
        if reading_ms < TELLING_MS:
            return
        ratio = max(took_ms - FIRST_EVENT_MS, 0.0) / reading_ms
        seen = min(max(self.slowness * ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        self.slowness += SLOWNESS_WEIGHT * (seen - self.slowness)
