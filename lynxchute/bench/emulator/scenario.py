"""Scenarios of engines, requests and faults, in validated YAML files."""

from __future__ import annotations

import pathlib
import random
from collections.abc import Callable

import attrs
from expression import Result

from lynxchute._structure import Finding, load_document, option
from lynxchute.bench.emulator.engine import EngineShape
from lynxchute.upstreams.entry import MAX_ANSWER_SILENCE_SECONDS
from lynxchute.upstreams.generation import Generation, PromptPart

FOLDER = pathlib.Path(__file__).parent / "scenarios"
# Tokens of the part of a prompt that crashes engines.
CRASH_PART_TOKENS = 200


@attrs.frozen
class Length:
    """A number of tokens, drawn from a log-normal distribution."""

    mean: float = option(low=0.0, doc="Its mean, in tokens.")
    spread: float = option(
        default=0.0, low=0.0, doc="Standard deviation of its natural logarithm."
    )
    most: float = option(default=1e9, low=1.0, doc="Its maximum, in tokens.")

    def draw(self, rng: random.Random) -> int:
        """Return a random number of tokens, at least one; 0 if the mean is 0."""
        if not self.mean:
            return 0
        # The mean of a log-normal is exp(mu + sigma^2 / 2).
        factor = rng.lognormvariate(-(self.spread**2) / 2, self.spread)
        return max(int(min(self.mean * factor, self.most)), 1)


@attrs.frozen
class SharedPart:
    """A prompt part that many prompts share at their beginning."""

    length: Length = option(doc="Its length, in tokens.")
    count: int = option(low=1, doc="Number of different parts.")


@attrs.frozen
class Kind:
    """A kind of request."""

    name: str = option(doc="Its name in the table.")
    per_second: float = option(low=0.0, doc="Requests a second.")
    objective_ms: float = option(
        low=1.0, doc="Time to the first event that counts as on time."
    )
    max_pause_ms: float = option(
        low=1.0, doc="Longest pause between events that counts as on time."
    )
    deadline_ms: float = option(low=1.0, doc="Deadline of the caller.")
    value: float = option(default=1.0, doc="Value of a request that is on time.")
    late_value: float = option(default=0.3, doc="Value of a request that is late.")
    is_resumable: bool = option(
        default=False, doc="Whether another engine may resume it."
    )
    parts: tuple[SharedPart, ...] = option(
        default=(), doc="Shared parts at the beginning of prompts."
    )
    own: Length = option(doc="Prompt tokens that are unique to each request.")
    output: Length = option(doc="Tokens of the answer.")
    accounts: int = option(
        default=10, low=1, doc="Number of client accounts that send it."
    )
    crash_part: str = option(
        default="",
        doc="Shared part that it has too, and that crashes engines; empty for none.",
    )
    parts_of: str = option(
        default="", doc="Kind whose shared parts it has instead of its own."
    )


@attrs.frozen
class Burst:
    """A period with a higher rate of requests."""

    at: float = option(low=0.0, doc="Its start, in seconds.")
    seconds: float = option(low=0.0, doc="Its duration.")
    times: float = option(low=0.0, doc="Factor on the usual rate.")
    kind: str = option(default="", doc="The affected kind of request; empty for all.")
    account: str = option(default="", doc="The affected account; empty for all.")


@attrs.frozen
class Trouble:
    """A fault or an evacuation of some engines."""

    at: float = option(low=0.0, doc="Its start, in seconds.")
    seconds: float = option(low=0.0, doc="Its duration.")
    engines: tuple[int, ...] = option(doc="Indices of the engines, from 0.")
    slower: float = option(
        default=0.0, low=0.0, doc="Factor of slowness; 0 if the engines are down."
    )
    is_evacuated: bool = option(
        default=False,
        doc="Whether the engines are evacuated: they only get no new requests.",
    )
    cold_seconds: float = option(
        default=0.0, low=0.0, doc="Seconds for which they are cold afterwards."
    )


@attrs.frozen
class Rollout:
    """A change of the software of some engines."""

    at: float = option(low=0.0, doc="Its time, in seconds.")
    engines: tuple[int, ...] = option(doc="Indices of the engines, from 0.")
    version: str = option(doc="Their software version from then on.")


@attrs.frozen
class Noise:
    """Random short periods in which an engine is slower than usual."""

    share: float = option(default=0.0, low=0.0, doc="Share of the time, below 1.")
    times: float = option(default=2.5, low=0.01, doc="Factor of slowness.")
    seconds: float = option(default=0.6, low=0.01, doc="Duration of each period.")

    def spans(self, until: float, rng: random.Random) -> list[tuple[float, float]]:
        """Return the start and end of each period, in seconds."""
        found: list[tuple[float, float]] = []
        if not 0 < self.share < 1:
            return found
        between = self.seconds * (1.0 - self.share) / self.share
        now = rng.expovariate(1.0 / between)
        while now < until:
            found.append((now, now + self.seconds))
            now += self.seconds + rng.expovariate(1.0 / between)
        return found


@attrs.frozen
class Silences:
    """Random periods in which engines run on, but nothing that they send arrives."""

    every: float = option(
        default=0.0, low=0.0, doc="Mean seconds between two of them; 0 for none."
    )
    seconds: float = option(default=1.0, low=0.01, doc="Duration of each.")
    together: int = option(
        default=1, low=1, doc="Number of engines that are silent at the same time."
    )

    def spans(
        self, until: float, engines: int, rng: random.Random
    ) -> list[tuple[float, float, tuple[int, ...]]]:
        """Return the start and end of each period, in seconds, and its engines."""
        found: list[tuple[float, float, tuple[int, ...]]] = []
        if not self.every:
            return found
        now = rng.expovariate(1.0 / self.every)
        while now < until:
            silent = tuple(rng.sample(range(engines), min(self.together, engines)))
            found.append((now, now + self.seconds, silent))
            now += self.seconds + rng.expovariate(1.0 / self.every)
        return found


@attrs.frozen
class Scenario:
    """Engines, the requests for them, and faults."""

    name: str = option(doc="Its name.")
    seconds: float = option(
        default=60.0, low=1.0, doc="Duration in which requests arrive."
    )
    load: float = option(
        default=1.0, low=0.0, doc="Factor on the rates of all kinds of requests."
    )
    engines: int = option(default=6, low=1, doc="Number of engines.")
    slowness: tuple[float, ...] = option(
        default=(1.0,), doc="Factors of slowness, assigned to engines in turn."
    )
    noise: Noise = option(factory=Noise, doc="Short periods of slowness.")
    shape: EngineShape = option(
        factory=EngineShape, doc="Capacity and speed of each engine."
    )
    kinds: tuple[Kind, ...] = option(doc="Kinds of requests.")
    bursts: tuple[Burst, ...] = option(
        default=(), doc="Periods with more requests than usual."
    )
    troubles: tuple[Trouble, ...] = option(default=(), doc="Faults and evacuations.")
    silences: Silences = option(
        factory=Silences, doc="Periods in which engines are silent."
    )
    resend_after: float = option(
        default=MAX_ANSWER_SILENCE_SECONDS,
        low=0.0,
        doc="Seconds of silence after which a stream that has begun runs again.",
    )
    software: str = option(default="1", doc="Software version of the engines at first.")
    rollouts: tuple[Rollout, ...] = option(
        default=(), doc="Changes of the engines' software."
    )
    is_version_bound: bool = option(
        default=True,
        doc="Whether a broken stream goes on only at the version that began it.",
    )
    news_ms: float = option(
        default=50.0,
        low=0.0,
        doc="Delay until the scheduling router learns of changes of runs.",
    )
    ask_ms: float = option(
        default=3.0, low=0.0, doc="One-way delay to and from the scheduling router."
    )
    crash_seconds: float = option(
        default=5.0, low=0.0, doc="Seconds until a crashed engine is back."
    )
    is_part_quarantined: bool = option(
        default=True, doc="Whether parts that crash engines are refused."
    )
    fetch_tokens_per_ms: float = option(
        default=0.0,
        low=0.0,
        doc="Rate at which engines fetch cached parts from others; 0 for no fetching.",
    )
    cold_per_second: float = option(
        default=0.0, low=0.0, doc="Requests a second that a cold engine can serve."
    )
    hint_spread: float = option(
        default=0.5,
        low=0.0,
        doc="Standard deviation of the log error of callers' length estimates.",
    )


@attrs.frozen
class Arrival:
    """A request of a trace."""

    at: float
    kind: Kind
    account: str
    generation: Generation
    output_tokens: int


def load_scenario(
    text: str, file: str = "scenario.yaml"
) -> Result[Scenario, tuple[Finding, ...]]:
    """Return a scenario, or every error found in it."""
    return load_document(text, Scenario, file, _check)


def read_scenario(name: str) -> Result[Scenario, tuple[Finding, ...]]:
    """Return a scenario by its name, or by the path of its file."""
    path = FOLDER / f"{name}.yaml"
    if not path.exists():
        path = pathlib.Path(name)
    return load_scenario(path.read_text(encoding="utf-8"), str(path.name))


def _check(scenario: Scenario, report: Callable[[str, str, str], None]) -> None:
    engines_by_path = {
        f"troubles[{number}].engines": trouble.engines
        for number, trouble in enumerate(scenario.troubles)
    }
    for number, rollout in enumerate(scenario.rollouts):
        engines_by_path[f"rollouts[{number}].engines"] = rollout.engines
    for path, engines in engines_by_path.items():
        for engine in engines:
            if not 0 <= engine < scenario.engines:
                problem = f"There is no engine {engine}."
                advice = f"Name engines from 0 to {scenario.engines - 1}."
                report(path, problem, advice)


def make_trace(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the seeded requests of a scenario, in order of arrival."""
    rng = random.Random(seed)
    trace: list[Arrival] = []
    choices_by_kind: dict[str, list[list[PromptPart]]] = {}
    for index, kind in enumerate(scenario.kinds):
        choices = _parts(kind, index, rng)
        choices_by_kind[kind.name] = choices
        choices = choices_by_kind.get(kind.parts_of, choices)
        highest = 1.0 + sum(max(b.times - 1.0, 0.0) for b in scenario.bursts)
        now = 0.0
        rate = kind.per_second * scenario.load * highest
        while rate and (now := now + rng.expovariate(rate)) < scenario.seconds:
            account = f"account-{rng.randrange(kind.accounts)}"
            if rng.random() * highest < _rate_factor(scenario, kind, account, now):
                trace.append(_arrival(scenario, kind, account, choices, now, rng))
    return sorted(trace, key=lambda arrival: arrival.at)


def _rate_factor(scenario: Scenario, kind: Kind, account: str, now: float) -> float:
    times = 1.0
    for burst in scenario.bursts:
        if not burst.at <= now < burst.at + burst.seconds:
            continue
        if burst.kind not in ("", kind.name) or burst.account not in ("", account):
            continue
        times += burst.times - 1.0
    return max(times, 0.0)


def _parts(kind: Kind, index: int, rng: random.Random) -> list[list[PromptPart]]:
    found = []
    for level, part in enumerate(kind.parts):
        row = []
        for number in range(part.count):
            name = f"{index}.{level}.{number}"
            row.append(PromptPart(name, part.length.draw(rng)))
        found.append(row)
    return found


def _arrival(
    scenario: Scenario,
    kind: Kind,
    account: str,
    choices: list[list[PromptPart]],
    now: float,
    rng: random.Random,
) -> Arrival:
    parts = []
    # Shared parts are nested: each later part always follows the same earlier one, as a
    # depot's prompt part follows that of its firm.
    number = rng.randrange(max((len(row) for row in choices), default=1))
    for row in choices:
        parts.append(row[number % len(row)])
    if kind.crash_part:
        parts.append(PromptPart(kind.crash_part, CRASH_PART_TOKENS))
    own = kind.own.draw(rng)
    output = kind.output.draw(rng)
    hint = max(int(output * rng.lognormvariate(0.0, scenario.hint_spread)), 1)
    parts.append(PromptPart(f"own.{rng.getrandbits(48):x}", own))
    generation = Generation(
        model="m",
        prompt_tokens=sum(part.tokens for part in parts),
        max_output_tokens=2 * output,
        parts=tuple(parts),
        expected_output_tokens=hint,
    )
    return Arrival(now, kind, account, generation, output)
