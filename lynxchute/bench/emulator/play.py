"""Simulate a scenario with a placement policy, on a virtual clock."""

from __future__ import annotations

import enum
import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

import attrs

from lynxchute.bench.emulator.crashes import EmulatedQuarantine
from lynxchute.bench.emulator.engine import EmulatedEngine, EngineRun
from lynxchute.bench.emulator.policies import PlacementPolicy
from lynxchute.bench.emulator.scenario import (
    Arrival,
    Rollout,
    Scenario,
    Trouble,
    make_trace,
)
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.standins.arrivals import ArrivalLog
from lynxchute.upstreams.aims import LatencyObjectives

# Callers give up on a stream whose first event takes longer than the largest of two
# seconds, four times its objective and eight times the longest pause. A router refuses
# a request whose expected first event is later than this share of that time.
MIN_WAIT = 2.0
MAX_EXPECTED_SHARE = 0.9
# Seconds until a caller retries a refused request, and the maximum number of retries.
RETRY_SECONDS = 0.4
MAX_RETRIES = 1
# Seconds until a router detects that an engine is down.
DETECTION_SECONDS = 0.5
# Seconds until the routers have judged a crash.
JUDGE_SECONDS = 0.5


class Outcome(enum.Enum):
    """The result of a request for its caller."""

    ON_TIME = "on time"
    LATE_FIRST = "late by first event"
    LATE_PAUSE = "late by pause"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.define(eq=False)
class Request:
    """A request with its state in the simulation.

    Attributes
    ----------
    versions
        Software versions of the engines that made its events.
    events
        Number of events that its caller has received.
    heard_at
        When its caller received the latest event, in seconds; None before that.
    first_at
        When its caller received the first event, if an earlier run sent it.
    longest_silence
        The longest time between two events at its caller, in seconds, of those that a
        silence of its engine delayed.
    """

    arrival: Arrival
    run_id: str
    retries: int = 0
    engine: int = -1
    run: EngineRun | None = None
    has_paused: bool = False
    outcome: Outcome | None = None
    versions: set[str] = attrs.Factory(set)
    events: int = 0
    heard_at: float | None = None
    first_at: float | None = None
    longest_silence: float = 0.0

    @property
    def began_at(self) -> float | None:
        """Return when its caller received the first event, in seconds."""
        if self.first_at is not None or self.run is None:
            return self.first_at
        return self.run.first_at

    @property
    def objective_at(self) -> float:
        """Return the time by which its first event is due, in seconds."""
        return self.arrival.at + self.arrival.kind.objective_ms / 1000.0

    @property
    def longest_wait(self) -> float:
        """Return the seconds for which its caller waits for the first event."""
        kind = self.arrival.kind
        longest = max(4 * kind.objective_ms, 8 * kind.max_pause_ms) / 1000.0
        return max(MIN_WAIT, longest)


@attrs.frozen
class Played:
    """The result of a simulation.

    Attributes
    ----------
    max_cold_rate
        The most requests that reached a cold engine within one second.
    sent_to_evacuated
        Requests sent to an engine after its evacuation was known.
    mixed_streams
        Streams with events of several software versions.
    crashes
        Engines that crashed under requests with a crashing prompt part.
    second_runs
        Streams that had begun and ran again, as their engine was silent.
    """

    requests: list[Request]
    read_again: int
    fetched: int
    max_cold_rate: int = 0
    sent_to_evacuated: int = 0
    mixed_streams: int = 0
    crashes: int = 0
    second_runs: int = 0


class Play:
    """A simulation of one scenario with one policy.

    Parameters
    ----------
    scenario
        The engines, requests and faults.
    make_policy
        Builds the placement policy.
    seed
        Seed of the requests and of the policy's random choices.
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
        self._usual_slowness = [engine.slowness for engine in self._engines]
        self._versions = [scenario.software] * scenario.engines
        self._known_down: set[int] = set()
        self._evacuated: set[int] = set()
        self._arrivals_by_engine = [ArrivalLog() for _ in self._engines]
        self._sent_to_evacuated = 0
        self._stepping: set[int] = set()
        self._prefilled_parts: set[str] = set()
        self._fetched = 0
        self._requests: list[Request] = []
        self._requests_by_run: dict[EngineRun, Request] = {}
        self._quarantine = EmulatedQuarantine(is_enabled=scenario.is_part_quarantined)
        self._crashes = 0
        self._second_runs = 0
        self._held_events_by_engine: dict[int, dict[EngineRun, int]] = {}
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_numbers = itertools.count()
        self._seed = seed

    def run(self) -> Played:
        """Run the simulation to its end; return the result."""
        for number, arrival in enumerate(make_trace(self._scenario, self._seed)):
            request = Request(arrival, str(number))
            self._requests.append(request)
            self._schedule(arrival.at, partial(self._send, request))
        for trouble in self._scenario.troubles:
            self._schedule(trouble.at, partial(self._start_trouble, trouble))
        for rollout in self._scenario.rollouts:
            self._schedule(rollout.at, partial(self._roll_out, rollout))
        self._schedule_noise()
        self._schedule_silences()
        while self._queue:
            now, _, action = heapq.heappop(self._queue)
            action(now)
        read_again = sum(engine.read_again for engine in self._engines)
        max_cold_rate = max(
            arrivals.peak_cold_rate() for arrivals in self._arrivals_by_engine
        )
        return Played(
            self._requests,
            read_again,
            self._fetched,
            max_cold_rate,
            self._sent_to_evacuated,
            sum(len(request.versions) > 1 for request in self._requests),
            self._crashes,
            self._second_runs,
        )

    def _schedule(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._event_numbers), action))

    def _notify_policy(
        self, notify: Callable[[str, int, float], None], request: Request
    ) -> None:
        """Notify the policy of a run after the scenario's ``news_ms``."""
        run_id, engine = request.run_id, request.engine
        when = self._now + self._scenario.news_ms / 1000.0
        self._schedule(when, lambda now: notify(run_id, engine, now))

    # Requests.

    def _send(self, request: Request, now: float) -> None:
        self._now = now
        if request.outcome is not None:
            return
        if self._quarantine.refuses(request.arrival, now):
            request.outcome = Outcome.REFUSED
            return
        unavailable = self._known_down | self._evacuated
        engines = [
            number
            for number in range(len(self._engines))
            if number not in unavailable and self._may_run(request, number)
        ]
        if not engines:
            self._refuse(request, now)
            return
        kind = request.arrival.kind
        request.run_id = f"{request.run_id.partition('.')[0]}.{request.retries}"
        newcomer = PendingRequest(
            request.run_id,
            request.arrival.generation,
            LatencyObjectives((request.objective_at - now) * 1000.0, kind.max_pause_ms),
        )
        choice = self._policy.choose(newcomer, engines, now)
        if choice is None:
            self._refuse(request, now)
            return
        self._sent_to_evacuated += choice.engine in self._evacuated
        self._policy.open[choice.engine] += 1
        request.engine = choice.engine
        if choice.expected_ms / 1000.0 > request.longest_wait * MAX_EXPECTED_SHARE:
            self._notify_policy(self._policy.record_end, request)
            self._refuse(request, now)
            return
        when = now + 2 * self._scenario.ask_ms / 1000.0
        if choice.fetch_from is not None:
            when += self._fetch(choice.engine, choice.fetch_from, request)
        self._schedule(when, partial(self._arrive, request))

    def _may_run(self, request: Request, number: int) -> bool:
        """Return whether an engine has the software that a stream needs."""
        if not request.versions or not self._scenario.is_version_bound:
            return True
        return self._versions[number] in request.versions

    def _fetch(self, engine: int, source: int, request: Request) -> float:
        """Copy a cached prompt prefix from another engine; return the seconds."""
        generation = request.arrival.generation
        cached = self._engines[source].cached_tokens(generation)
        tokens = cached - self._engines[engine].cached_tokens(generation)
        if tokens <= 0 or self._engines[source].is_down:
            return 0.0
        self._engines[engine].fetch(generation)
        self._fetched += tokens
        return tokens / self._scenario.fetch_tokens_per_ms / 1000.0

    def _arrive(self, request: Request, now: float) -> None:
        self._now = now
        engine = self._engines[request.engine]
        arrival = request.arrival
        # A stream that runs again goes on after the last event that arrived.
        output_tokens = arrival.output_tokens
        if request.first_at is not None:
            received = request.events * self._scenario.shape.tokens_per_event
            output_tokens = max(output_tokens - received, 1)
        run = EngineRun(request.run_id, arrival.generation, now, output_tokens)
        request.run = run
        self._requests_by_run[run] = request
        self._arrivals_by_engine[request.engine].record(now)
        if engine.is_down:
            self._schedule(
                now + DETECTION_SECONDS, partial(self._fail_run, request, run)
            )
            return
        engine.submit(run, now, self._prefilled_parts)
        self._schedule_step(request.engine)
        if request.engine in self._held_events_by_engine:
            self._schedule(
                now + DETECTION_SECONDS, partial(self._resend_silent, request, run)
            )
        if request.first_at is not None:
            return
        waits_until = arrival.at + request.longest_wait
        self._schedule(waits_until, partial(self._time_out, request, run))

    def _refuse(self, request: Request, now: float) -> None:
        if request.retries < MAX_RETRIES:
            request.retries += 1
            self._schedule(now + RETRY_SECONDS, partial(self._send, request))
            return
        request.outcome = Outcome.REFUSED

    def _fail_run(self, request: Request, run: EngineRun, now: float) -> None:
        """Resume a run elsewhere after its engine went down, or fail the request."""
        self._now = now
        if request.run is not run or request.outcome is not None:
            return
        self._notify_policy(self._policy.record_failure, request)
        self._requests_by_run.pop(run, None)
        started = run.events > 0
        if request.retries >= MAX_RETRIES or not request.arrival.kind.is_resumable:
            request.outcome = Outcome.FAILED
            return
        request.retries += 1
        request.has_paused = request.has_paused or started
        self._send(request, now)

    def _time_out(self, request: Request, run: EngineRun, now: float) -> None:
        self._now = now
        if request.run is not run or run.first_at is not None:
            return
        if request.outcome is None:
            self._engines[request.engine].cancel(run)
            request.outcome = Outcome.FAILED
            self._notify_policy(self._policy.record_end, request)

    # Engines.

    def _schedule_step(self, number: int) -> None:
        when = self._engines[number].next_step_at
        if number in self._stepping or when is None:
            return
        self._stepping.add(number)
        self._schedule(when, partial(self._step, number))

    def _step(self, number: int, now: float) -> None:
        self._now = now
        self._stepping.discard(number)
        engine = self._engines[number]
        if engine.is_down or engine.next_step_at is None:
            return
        if engine.next_step_at > now:
            # The engine went down and recovered after this step had been scheduled.
            self._schedule_step(number)
            return
        has_crashed = False
        for run in engine.step(self._prefilled_parts):
            request = self._requests_by_run[run]
            if request.arrival.kind.crash_part:
                has_crashed = True
                continue
            held_events = self._held_events_by_engine.get(number)
            if held_events is not None:
                held_events[run] = held_events.get(run, 0) + 1
                continue
            self._record_event(request, run)
        if has_crashed:
            self._crash(number, now)
        self._schedule_step(number)

    def _record_event(
        self, request: Request, run: EngineRun, *, events: int = 1
    ) -> None:
        """Record the events of a run that arrive at its caller together."""
        limit = request.arrival.kind.max_pause_ms / 1000.0
        if request.first_at is not None and run.events == events:
            assert request.heard_at is not None
            pause = self._now - request.heard_at
            run.longest_pause = max(run.longest_pause, pause)
            request.longest_silence = max(request.longest_silence, pause)
        request.events += events
        request.heard_at = self._now
        if run.events:
            request.versions.add(self._versions[request.engine])
        if run.events == events:
            assert run.first_at is not None
            took_ms = (run.first_at - run.arrived_at) * 1000.0
            run_id, engine = request.run_id, request.engine
            when = self._now + self._scenario.news_ms / 1000.0
            self._schedule(
                when,
                lambda now: self._policy.record_first_event(
                    run_id, engine, now, took_ms
                ),
            )
        if run.longest_pause > limit and not request.has_paused:
            request.has_paused = True
            self._notify_policy(self._policy.record_pause, request)
        if run.ended_at is None:
            return
        self._notify_policy(self._policy.record_end, request)
        self._quarantine.record_served(request.arrival, self._now)
        if request.outcome is None:
            request.outcome = _outcome_on_end(request)

    # Faults.

    def _schedule_silences(self) -> None:
        rng = random.Random(f"{self._seed} silences")
        silences, count = self._scenario.silences, len(self._engines)
        for begin, end, engines in silences.spans(self._scenario.seconds, count, rng):
            for number in engines:
                self._schedule(begin, partial(self._start_silence, number))
                self._schedule(end, partial(self._end_silence, number))

    def _start_silence(self, number: int, now: float) -> None:
        """Hold back what an engine sends; its runs go on."""
        self._now = now
        self._held_events_by_engine[number] = {}
        self._schedule(now + DETECTION_SECONDS, partial(self._record_silent, number))
        for run in self._engines[number].open_runs_in_order():
            request = self._requests_by_run[run]
            after = DETECTION_SECONDS
            if request.heard_at is not None:
                after = self._scenario.resend_after
            self._schedule(now + after, partial(self._resend_silent, request, run))

    def _record_silent(self, number: int, now: float) -> None:
        if number in self._held_events_by_engine:
            self._known_down.add(number)

    def _resend_silent(self, request: Request, run: EngineRun, now: float) -> None:
        """Run a request again elsewhere if its engine is silent and another is not."""
        self._now = now
        if request.run is not run or request.outcome is not None:
            return
        if request.engine not in self._held_events_by_engine:
            return
        heard_at = request.heard_at
        if heard_at is not None and now - heard_at < self._scenario.resend_after:
            # The engine went on meanwhile and is silent again.
            return
        may_resend = request.arrival.kind.is_resumable
        if not may_resend or request.retries >= MAX_RETRIES:
            return
        unavailable = self._known_down | self._evacuated
        unavailable |= self._held_events_by_engine.keys()
        others = set(range(len(self._engines))) - unavailable
        if not any(self._may_run(request, number) for number in others):
            return
        if heard_at is not None:
            self._second_runs += 1
            request.first_at = request.began_at
        self._engines[request.engine].cancel(run)
        self._notify_policy(self._policy.record_end, request)
        self._known_down.add(request.engine)
        request.run = None
        request.retries += 1
        self._send(request, now)

    def _end_silence(self, number: int, now: float) -> None:
        """Deliver what an engine has sent during its silence."""
        self._now = now
        self._known_down.discard(number)
        for run, events in self._held_events_by_engine.pop(number).items():
            request = self._requests_by_run.get(run)
            if request is None or request.run is not run:
                continue
            if run.events == events:
                run.first_at = now
            else:
                assert request.heard_at is not None
                pause = now - request.heard_at
                run.longest_pause = max(run.longest_pause, pause)
                request.longest_silence = max(request.longest_silence, pause)
            self._record_event(request, run, events=events)

    def _roll_out(self, rollout: Rollout, now: float) -> None:
        """Change the software of engines; what runs there is broken off."""
        self._now = now
        for number in rollout.engines:
            self._versions[number] = rollout.version
            for run in self._engines[number].clear():
                self._fail_run(self._requests_by_run[run], run, now)

    def _crash(self, number: int, now: float) -> None:
        """Crash an engine under a request that has begun there."""
        self._crashes += 1
        engine = self._engines[number]
        engine.is_down = True
        self._known_down.add(number)
        lost = engine.clear()
        requests = [self._requests_by_run[run] for run in lost]
        self._quarantine.record_crash(
            [
                (request.run_id, run, request.arrival)
                for run, request in zip(lost, requests, strict=True)
            ],
            now,
        )
        self._schedule(now + JUDGE_SECONDS, self._quarantine.judge)
        back_at = now + self._scenario.crash_seconds
        self._schedule(back_at, partial(self._recover, number))
        for run, request in zip(lost, requests, strict=True):
            self._fail_run(request, run, now)

    def _recover(self, number: int, now: float) -> None:
        self._engines[number].is_down = False
        self._known_down.discard(number)

    def _schedule_noise(self) -> None:
        noise = self._scenario.noise
        for number in range(len(self._engines)):
            rng = random.Random(f"{self._seed} noise {number}")
            for begin, end in noise.spans(self._scenario.seconds, rng):
                self._schedule(begin, partial(self._set_slowness, number, noise.times))
                self._schedule(end, partial(self._set_slowness, number, 1.0))

    def _set_slowness(self, number: int, times: float, now: float) -> None:
        self._engines[number].slowness = self._usual_slowness[number] * times

    def _start_trouble(self, trouble: Trouble, now: float) -> None:
        self._now = now
        self._schedule(now + trouble.seconds, partial(self._end_trouble, trouble))
        for number in trouble.engines:
            engine = self._engines[number]
            if trouble.is_evacuated:
                self._evacuated.add(number)
                continue
            if trouble.slower:
                engine.slowness = self._usual_slowness[number] * trouble.slower
                continue
            engine.is_down = True
            for run in engine.clear():
                request = self._requests_by_run[run]
                self._schedule(
                    now + DETECTION_SECONDS, partial(self._fail_run, request, run)
                )
            self._schedule(now + DETECTION_SECONDS, partial(self._record_down, number))

    def _record_down(self, number: int, now: float) -> None:
        self._known_down.add(number)

    def _end_trouble(self, trouble: Trouble, now: float) -> None:
        for number in trouble.engines:
            self._engines[number].slowness = self._usual_slowness[number]
            self._engines[number].is_down = False
            self._known_down.discard(number)
            self._evacuated.discard(number)
            if trouble.cold_seconds:
                self._arrivals_by_engine[number].record_cold(trouble.cold_seconds, now)
                self._policy.cold_until[number] = now + trouble.cold_seconds


def _outcome_on_end(request: Request) -> Outcome:
    assert request.began_at is not None
    if request.began_at > request.objective_at:
        return Outcome.LATE_FIRST
    return Outcome.LATE_PAUSE if request.has_paused else Outcome.ON_TIME
