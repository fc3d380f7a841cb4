"""Scenarios of engines, callers and troubles, in checked YAML files."""

from __future__ import annotations

import pathlib
import random
from collections.abc import Callable

import attrs
from expression import Result

from lynxchute._structure import Finding, load_document, option
from lynxchute.bench.emulator.engine import EngineShape
from lynxchute.upstreams.generation import Generation, PromptPart

FOLDER = pathlib.Path(__file__).parent / "scenarios"


@attrs.frozen
class Length:
    """A number of tokens, drawn from a log-normal distribution."""

    mean: float = option(low=0.0, doc="Its mean, in tokens.")
    spread: float = option(
        default=0.0, low=0.0, doc="Standard deviation of its natural logarithm."
    )
    most: float = option(default=1e9, low=1.0, doc="No draw is larger, in tokens.")

    def draw(self, rng: random.Random) -> int:
        """Return a number of tokens, at least one."""
        if not self.mean:
            return 0
        # The mean of a log-normal is exp(mu + sigma^2 / 2).
        factor = rng.lognormvariate(-(self.spread**2) / 2, self.spread)
        return max(int(min(self.mean * factor, self.most)), 1)


@attrs.frozen
class SharedPart:
    """A part that many prompts begin with."""

    length: Length = option(doc="Its length.")
    count: int = option(low=1, doc="How many different ones there are.")


@attrs.frozen
class Kind:
    """A kind of request."""

    name: str = option(doc="What it is called in the table.")
    per_second: float = option(low=0.0, doc="Requests a second.")
    objective_ms: float = option(low=1.0, doc="The first event is on time by then.")
    max_pause_ms: float = option(low=1.0, doc="Longest pause that is on time.")
    deadline_ms: float = option(low=1.0, doc="The caller leaves by then.")
    value: float = option(default=1.0, doc="What one that is on time is worth.")
    late_value: float = option(default=0.3, doc="What a late one is worth.")
    is_resumable: bool = option(default=False, doc="Whether it may go on elsewhere.")
    parts: tuple[SharedPart, ...] = option(default=(), doc="What prompts begin with.")
    own: Length = option(doc="Tokens of the prompt that nobody else has.")
    output: Length = option(doc="Tokens of the answer.")
    accounts: int = option(default=10, low=1, doc="Client accounts that send it.")


@attrs.frozen
class Burst:
    """A time in which more comes than usual."""

    at: float = option(low=0.0, doc="When it begins, in seconds.")
    seconds: float = option(low=0.0, doc="How long it lasts.")
    times: float = option(low=0.0, doc="How many times the usual comes.")
    kind: str = option(default="", doc="Of which kind; of all where empty.")
    account: str = option(default="", doc="Of which account; of all where empty.")


@attrs.frozen
class Trouble:
    """Something that happens to engines."""

    at: float = option(low=0.0, doc="When it begins, in seconds.")
    seconds: float = option(low=0.0, doc="How long it lasts.")
    engines: tuple[int, ...] = option(doc="Which engines, counted from 0.")
    slower: float = option(
        default=0.0, low=0.0, doc="How many times slower; 0 where they go dark."
    )
    is_evacuated: bool = option(
        default=False, doc="Whether they only get nothing new, and run on."
    )
    cold_seconds: float = option(
        default=0.0, low=0.0, doc="How long they are cold after it."
    )


@attrs.frozen
class Noise:
    """Moments in which each engine is slower than it usually is."""

    share: float = option(default=0.0, low=0.0, doc="Share of the time, below 1.")
    times: float = option(default=2.5, low=0.01, doc="How many times slower.")
    seconds: float = option(default=0.6, low=0.01, doc="How long each lasts.")

    def spans(self, until: float, rng: random.Random) -> list[tuple[float, float]]:
        """Return when they begin and end, in seconds."""
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
class Scenario:
    """Engines, what they are asked, and what goes wrong."""

    name: str = option(doc="What it is called.")
    seconds: float = option(default=60.0, low=1.0, doc="How long requests come.")
    load: float = option(default=1.0, low=0.0, doc="Times the usual requests.")
    engines: int = option(default=6, low=1, doc="How many engines.")
    slowness: tuple[float, ...] = option(
        default=(1.0,), doc="How slow they are, in turn."
    )
    noise: Noise = option(factory=Noise, doc="When each is slower for a moment.")
    shape: EngineShape = option(factory=EngineShape, doc="What each engine can do.")
    kinds: tuple[Kind, ...] = option(doc="What is asked.")
    bursts: tuple[Burst, ...] = option(default=(), doc="When more comes.")
    troubles: tuple[Trouble, ...] = option(default=(), doc="What goes wrong.")
    news_ms: float = option(
        default=50.0, low=0.0, doc="How late the scheduling router hears of runs."
    )
    ask_ms: float = option(default=3.0, low=0.0, doc="How long it takes to ask it.")
    fetch_tokens_per_ms: float = option(
        default=0.0, low=0.0, doc="How fast engines hand kept parts over; 0 if not."
    )
    cold_per_second: float = option(
        default=0.0, low=0.0, doc="Requests that a cold engine bears in a second."
    )
    hint_spread: float = option(
        default=0.5, low=0.0, doc="How far callers' guesses of lengths are off."
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
    """Return a scenario, or everything that is wrong with it."""
    return load_document(text, Scenario, file, _check)


def read_scenario(name: str) -> Result[Scenario, tuple[Finding, ...]]:
    """Return a scenario by its name, or by the path of its file."""
    path = FOLDER / f"{name}.yaml"
    if not path.exists():
        path = pathlib.Path(name)
    return load_scenario(path.read_text(encoding="utf-8"), str(path.name))


def _check(scenario: Scenario, report: Callable[[str, str, str], None]) -> None:
    for number, trouble in enumerate(scenario.troubles):
        for engine in trouble.engines:
            if not 0 <= engine < scenario.engines:
                problem = f"There is no engine {engine}."
                advice = f"Name engines from 0 to {scenario.engines - 1}."
                report(f"troubles[{number}].engines", problem, advice)


def make_trace(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the seeded requests of a scenario, in order of time."""
    rng = random.Random(seed)
    trace: list[Arrival] = []
    for index, kind in enumerate(scenario.kinds):
        choices = _parts(kind, index, rng)
        highest = 1.0 + sum(max(b.times - 1.0, 0.0) for b in scenario.bursts)
        now = 0.0
        rate = kind.per_second * scenario.load * highest
        while rate and (now := now + rng.expovariate(rate)) < scenario.seconds:
            account = f"account-{rng.randrange(kind.accounts)}"
            if rng.random() * highest < _times(scenario, kind, account, now):
                trace.append(_arrival(scenario, kind, account, choices, now, rng))
    return sorted(trace, key=lambda arrival: arrival.at)


def _times(scenario: Scenario, kind: Kind, account: str, now: float) -> float:
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
    # Later parts belong to one of the earlier ones, as a depot's to its firm's.
    number = rng.randrange(max((len(row) for row in choices), default=1))
    for row in choices:
        parts.append(row[number % len(row)])
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
