"""Play a scenario with a way of placing generations, on a virtual clock."""

from __future__ import annotations

import enum
import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

import attrs

from lynxchute.bench.emulator.engine import EmulatedEngine, EngineRun
from lynxchute.bench.emulator.policies import PlacementPolicy
from lynxchute.bench.emulator.scenario import Arrival, Scenario, Trouble, make_trace
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.standins.arrivals import Arrivals
from lynxchute.upstreams.aims import LatencyTargets

# Callers leave a stream that does not begin within the longest of two seconds, four
# times its objective and eight times the longest pause; a router refuses what is
# expected later than nine tenths of that.
LEAST_WAIT = 2.0
REFUSE_SHARE = 0.9
# Seconds after which a caller that was refused comes back, and how often.
RETRY_AFTER = 0.4
RETRIES = 1
# Seconds until a router finds out that an engine has gone dark.
NOTICE_SECONDS = 0.5


class Outcome(enum.Enum):
    """What became of a request."""

    ON_TIME = "on time"
    LATE_FIRST = "late by first event"
    LATE_PAUSE = "late by pause"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.define(eq=False)
class Request:
    """A request while it is played."""

    arrival: Arrival
    run_id: str
    tries: int = 0
    engine: int = -1
    run: EngineRun | None = None
    has_paused: bool = False
    outcome: Outcome | None = None

    @property
    def objective_at(self) -> float:
        """Return when its first event would be late, in seconds."""
        return self.arrival.at + self.arrival.kind.objective_ms / 1000.0

    @property
    def longest_wait(self) -> float:
        """Return the seconds for which its caller waits for the first event."""
        kind = self.arrival.kind
        longest = max(4 * kind.objective_ms, 8 * kind.max_pause_ms) / 1000.0
        return max(LEAST_WAIT, longest)


@attrs.frozen
class Played:
    """What came of a scenario.

    Attributes
    ----------
    cold_most
        Requests that came to a cold engine in its fullest second.
    sent_to_evacuated
        Requests that came to an engine after its evacuation was known.
    """

    requests: list[Request]
    read_again: int
    fetched: int
    cold_most: int = 0
    sent_to_evacuated: int = 0


class Play:
    """One run of a scenario.

    Parameters
    ----------
    scenario
        What is asked of which engines.
    make_policy
        Returns the way of placing generations.
    seed
        Of the requests and of the policy's choices.
    """

    def __init__(
        self,
        scenario: Scenario,
        make_policy: Callable[[Scenario, random.Random], PlacementPolicy],
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._policy = make_policy(scenario, random.Random(seed))
        self._slowness = itertools.cycle(scenario.slowness)
        self._engines = [
            EmulatedEngine(scenario.shape, slowness=next(self._slowness))
            for _ in range(scenario.engines)
        ]
        self._usual = [engine.slowness for engine in self._engines]
        self._known_dark: set[int] = set()
        self._evacuated: set[int] = set()
        self._taken = [Arrivals() for _ in self._engines]
        self._sent_to_evacuated = 0
        self._stepping: set[int] = set()
        self._seen: set[str] = set()
        self._fetched = 0
        self._requests: list[Request] = []
        self._by_run: dict[EngineRun, Request] = {}
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = itertools.count()
        self._seed = seed

    def run(self) -> Played:
        """Play to the end; return what came of it."""
        for number, arrival in enumerate(make_trace(self._scenario, self._seed)):
            request = Request(arrival, str(number))
            self._requests.append(request)
            self._at(arrival.at, partial(self._send, request))
        for trouble in self._scenario.troubles:
            self._at(trouble.at, partial(self._strike, trouble))
        self._plan_noise()
        while self._queue:
            now, _, action = heapq.heappop(self._queue)
            action(now)
        again = sum(engine.read_again for engine in self._engines)
        cold_most = max(taken.most_while_cold() for taken in self._taken)
        return Played(
            self._requests, again, self._fetched, cold_most, self._sent_to_evacuated
        )

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._number), action))

    def _tell(self, tell: Callable[[str, int, float], None], request: Request) -> None:
        """Have the scheduling router hear of a run a little later."""
        run_id, engine = request.run_id, request.engine
        when = self._now + self._scenario.news_ms / 1000.0
        self._at(when, lambda now: tell(run_id, engine, now))

    # Requests.

    def _send(self, request: Request, now: float) -> None:
        self._now = now
        if request.outcome is not None:
            return
        closed = self._known_dark | self._evacuated
        engines = [n for n in range(len(self._engines)) if n not in closed]
        if not engines:
            self._refuse(request, now)
            return
        kind = request.arrival.kind
        request.run_id = f"{request.run_id.partition('.')[0]}.{request.tries}"
        newcomer = PendingRequest(
            request.run_id,
            request.arrival.generation,
            LatencyTargets((request.objective_at - now) * 1000.0, kind.max_pause_ms),
        )
        choice = self._policy.choose(newcomer, engines, now)
        if choice is None:
            self._refuse(request, now)
            return
        self._sent_to_evacuated += choice.engine in self._evacuated
        self._policy.open[choice.engine] += 1
        request.engine = choice.engine
        if choice.expected_ms / 1000.0 > request.longest_wait * REFUSE_SHARE:
            self._tell(self._policy.ended, request)
            self._refuse(request, now)
            return
        when = now + 2 * self._scenario.ask_ms / 1000.0
        if choice.fetch_from is not None:
            when += self._fetch(choice.engine, choice.fetch_from, request)
        self._at(when, partial(self._arrive, request))

    def _fetch(self, engine: int, source: int, request: Request) -> float:
        """Hand over what an engine keeps of a prompt; return the seconds."""
        generation = request.arrival.generation
        kept = self._engines[source].cached_tokens(generation)
        tokens = kept - self._engines[engine].cached_tokens(generation)
        if tokens <= 0 or self._engines[source].is_dark:
            return 0.0
        self._engines[engine].fetch(generation)
        self._fetched += tokens
        return tokens / self._scenario.fetch_tokens_per_ms / 1000.0

    def _arrive(self, request: Request, now: float) -> None:
        self._now = now
        engine = self._engines[request.engine]
        arrival = request.arrival
        run = EngineRun(request.run_id, arrival.generation, now, arrival.output_tokens)
        request.run = run
        self._by_run[run] = request
        self._taken[request.engine].note(now)
        if engine.is_dark:
            self._at(now + NOTICE_SECONDS, partial(self._break, request, run))
            return
        engine.take(run, now, self._seen)
        self._step_later(request.engine)
        waits_until = arrival.at + request.longest_wait
        self._at(waits_until, partial(self._leave, request, run))

    def _refuse(self, request: Request, now: float) -> None:
        if request.tries < RETRIES:
            request.tries += 1
            self._at(now + RETRY_AFTER, partial(self._send, request))
            return
        request.outcome = Outcome.REFUSED

    def _break(self, request: Request, run: EngineRun, now: float) -> None:
        """Go on elsewhere after an engine went dark, or fail."""
        self._now = now
        if request.run is not run or request.outcome is not None:
            return
        self._tell(self._policy.failed, request)
        self._by_run.pop(run, None)
        started = run.events > 0
        if request.tries >= RETRIES or not request.arrival.kind.is_resumable:
            request.outcome = Outcome.FAILED
            return
        request.tries += 1
        request.has_paused = request.has_paused or started
        self._send(request, now)

    def _leave(self, request: Request, run: EngineRun, now: float) -> None:
        self._now = now
        if request.run is not run or run.first_at is not None:
            return
        if request.outcome is None:
            self._engines[request.engine].drop(run)
            request.outcome = Outcome.FAILED
            self._tell(self._policy.ended, request)

    # Engines.

    def _step_later(self, number: int) -> None:
        when = self._engines[number].next_step_at
        if number in self._stepping or when is None:
            return
        self._stepping.add(number)
        self._at(when, partial(self._step, number))

    def _step(self, number: int, now: float) -> None:
        self._now = now
        self._stepping.discard(number)
        engine = self._engines[number]
        if engine.is_dark or engine.next_step_at is None:
            return
        if engine.next_step_at > now:
            # It went dark and came back since this step was due.
            self._step_later(number)
            return
        for run in engine.step(self._seen):
            self._note_event(self._by_run[run], run)
        self._step_later(number)

    def _note_event(self, request: Request, run: EngineRun) -> None:
        limit = request.arrival.kind.max_pause_ms / 1000.0
        if run.events == 1:
            assert run.first_at is not None
            took_ms = (run.first_at - run.arrived_at) * 1000.0
            run_id, engine = request.run_id, request.engine
            when = self._now + self._scenario.news_ms / 1000.0
            self._at(when, lambda now: self._policy.begun(run_id, engine, now, took_ms))
        if run.longest_pause > limit and not request.has_paused:
            request.has_paused = True
            self._tell(self._policy.paused, request)
        if run.ended_at is None:
            return
        self._tell(self._policy.ended, request)
        if request.outcome is None:
            request.outcome = _outcome(request, run)

    # Troubles.

    def _plan_noise(self) -> None:
        noise = self._scenario.noise
        for number in range(len(self._engines)):
            rng = random.Random(f"{self._seed} noise {number}")
            for begin, end in noise.spans(self._scenario.seconds, rng):
                self._at(begin, partial(self._slow_down, number, noise.times))
                self._at(end, partial(self._slow_down, number, 1.0))

    def _slow_down(self, number: int, times: float, now: float) -> None:
        self._engines[number].slowness = self._usual[number] * times

    def _strike(self, trouble: Trouble, now: float) -> None:
        self._now = now
        self._at(now + trouble.seconds, partial(self._mend, trouble))
        for number in trouble.engines:
            engine = self._engines[number]
            if trouble.is_evacuated:
                self._evacuated.add(number)
                continue
            if trouble.slower:
                engine.slowness = self._usual[number] * trouble.slower
                continue
            engine.is_dark = True
            for run in engine.clear():
                request = self._by_run[run]
                self._at(now + NOTICE_SECONDS, partial(self._break, request, run))
            self._at(now + NOTICE_SECONDS, partial(self._note_dark, number))

    def _note_dark(self, number: int, now: float) -> None:
        self._known_dark.add(number)

    def _mend(self, trouble: Trouble, now: float) -> None:
        for number in trouble.engines:
            self._engines[number].slowness = self._usual[number]
            self._engines[number].is_dark = False
            self._known_dark.discard(number)
            self._evacuated.discard(number)
            if trouble.cold_seconds:
                self._taken[number].note_cold(trouble.cold_seconds, now)
                self._policy.cold_until[number] = now + trouble.cold_seconds


def _outcome(request: Request, run: EngineRun) -> Outcome:
    assert run.first_at is not None
    if run.first_at > request.objective_at:
        return Outcome.LATE_FIRST
    return Outcome.LATE_PAUSE if request.has_paused else Outcome.ON_TIME
