"""Play callers who compete for places, by the way that accounts' shares are counted.

Requests arrive at random and wait in the real queue for one of some places, on a
virtual clock. Prints a JSON line for each scene and way, and what a decision costs.
"""

from __future__ import annotations

import heapq
import json
import random
import time
from collections import Counter

import attrs

from lynxchute.overload.drain import DrainRate
from lynxchute.overload.fair_shares import SHARES_BY_NAME
from lynxchute.overload.returns import ExpectedRetries
from lynxchute.overload.shares import AccountShares
from lynxchute.overload.ticket import Ticket
from lynxchute.overload.ticket_queue import FairTicketQueue

PLAY_SECONDS = 120.0
# What is counted begins once the queue is as long as it will be.
WARM_SECONDS = 10.0
PLACES = 24
WORK_SECONDS = 0.2
# Share of the places that the usual load takes.
USUAL_USE = 0.9
PATIENCE = 2.5
DUE = 0.5
# What the names of large requests end in.
LARGE = "+"


@attrs.frozen
class Source:
    """An account's requests of one kind.

    Attributes
    ----------
    times
        How many times its usual rate.
    large_share
        Share of them that take four times the work.
    repeats
        How often a refused one is sent again.
    as_told
        Whether it is sent again when it was told, and not at once.
    """

    account: str
    rank: int = 3
    times: float = 1.0
    large_share: float = 0.0
    repeats: int = 0
    as_told: bool = True


@attrs.frozen
class Scene:
    """Who asks, and how many shares of the usual load that would be."""

    name: str
    sources: tuple[Source, ...]
    usual: float


def _small(count: int, **more: float) -> tuple[Source, ...]:
    return tuple(Source(f"small-{n}", **more) for n in range(count))  # type: ignore[arg-type]


SCENES = (
    Scene("one at 7.5 times", (*_small(20), Source("large", times=7.5)), 21.0),
    Scene("a lone account", (Source("large", times=30.0),), 21.0),
    Scene(
        "least urgent at 2.6 times",
        (*_small(20), *(Source(f"b-{n}", 5, times=2.6) for n in range(20))),
        40.0,
    ),
    Scene(
        "most urgent too many",
        (
            *_small(20, times=1.6),
            *(Source(f"b-{n}", 5, times=0.3) for n in range(20)),
        ),
        20.0,
    ),
    Scene(
        "one repeats at once",
        (
            *_small(20, repeats=1),
            Source("large", times=6.0, repeats=20, as_told=False),
        ),
        21.0,
    ),
    Scene(
        "all too many, a tenth large",
        _small(20, times=1.6, large_share=0.1, repeats=1),
        27.0,
    ),
)


class NoShares(AccountShares):
    """Weigh nobody."""

    def record_use(self, account: str, cost: float, now: float) -> None:
        """Count nothing."""

    def excess(self, account: str, now: float) -> float:
        """Take everybody for one within its share."""
        return 0.0


@attrs.define
class Asked:
    """One request through its attempts."""

    source: Source
    number: int
    work: float
    first_at: float
    attempts: int = 0


@attrs.define
class Outcome:
    """What came of a play.

    Attributes
    ----------
    busy
        Share of the places' time that was used.
    """

    asked: Counter[str] = attrs.Factory(Counter)
    served: Counter[str] = attrs.Factory(Counter)
    refused_again: int = 0
    busy: float = 0.0

    def share(self, prefix: str, *, suffix: str = "") -> float:
        """Return the share of requests that were served, of what is called so."""
        asked = served = 0
        for name, count in self.asked.items():
            if name.startswith(prefix) and name.endswith(suffix):
                asked += count
                served += self.served[name]
        return served / asked if asked else 1.0


class Play:
    """One scene with one way to count shares."""

    def __init__(self, scene: Scene, shares: AccountShares, seed: int = 1) -> None:
        self.outcome = Outcome()
        self._scene = scene
        self._shares = shares
        self._rng = random.Random(seed)
        work = PLACES / WORK_SECONDS
        self.queue = FairTicketQueue(shares, DrainRate(work))
        self._drain = self.queue.drain
        self._returns = ExpectedRetries()
        self._free = PLACES
        self._rate = USUAL_USE * work / scene.usual
        self._asked_by_run: dict[str, Asked] = {}
        self._events: list[tuple[float, int, str, Asked]] = []
        self._number = 0

    def run(self) -> Outcome:
        """Play to the end."""
        for source in self._scene.sources:
            self._plan_next(source, 0.0)
        while self._events:
            now, _, what, asked = heapq.heappop(self._events)
            if now > PLAY_SECONDS:
                break
            if what == "arrive":
                self._plan_next(asked.source, now)
                self._count(self.outcome.asked, asked, now)
            if what == "end":
                self._free += 1
                self._drain.record_freed(now)
            else:
                self._ask(asked, now)
            self._serve(now)
        self.outcome.busy /= PLACES * (PLAY_SECONDS - WARM_SECONDS)
        return self.outcome

    def _plan_next(self, source: Source, now: float) -> None:
        at = now + self._rng.expovariate(self._rate * source.times)
        is_large = self._rng.random() < source.large_share
        work = WORK_SECONDS * (4.0 if is_large else 1.0)
        self._number += 1
        self._plan(at, "arrive", Asked(source, self._number, work, at))

    def _plan(self, at: float, what: str, asked: Asked) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, what, asked))

    def _ask(self, asked: Asked, now: float) -> None:
        source = asked.source
        asked.attempts += 1
        content = str(asked.number)
        is_timely_retry = self._returns.consume(source.account, content, now)
        if not is_timely_retry:
            self._shares.record_use(source.account, asked.work, now)
        run_id = f"{asked.number}.{asked.attempts}"
        ticket = Ticket(
            run_id=run_id,
            router="r",
            account=source.account,
            rank=source.rank,
            cost=asked.work,
            arrived_at=now,
            expires_at=asked.first_at + PATIENCE,
            is_timely_retry=is_timely_retry,
            due_at=asked.first_at + DUE,
        )
        after = self.queue.put(ticket, now)
        if after is None:
            self._asked_by_run[run_id] = asked
            return
        if asked.attempts > 1:
            self.outcome.refused_again += 1
        if asked.attempts > source.repeats:
            return
        self._returns.record_refusal(source.account, content, after, now)
        wait = max(after, 0.05) if source.as_told else 0.005
        self._plan(now + wait, "again", asked)

    def _serve(self, now: float) -> None:
        while self._free:
            ticket = self.queue.consume(now)
            if ticket is None:
                return
            asked = self._asked_by_run.pop(ticket.run_id)
            if ticket.expires_at <= now:
                continue
            self._free -= 1
            self._count(self.outcome.served, asked, now)
            work = asked.work * self._rng.uniform(0.5, 1.5)
            if now > WARM_SECONDS:
                self.outcome.busy += min(work, PLAY_SECONDS - now)
            self._plan(now + work, "end", asked)

    def _count(self, counter: Counter[str], asked: Asked, now: float) -> None:
        if asked.first_at <= WARM_SECONDS or asked.first_at > PLAY_SECONDS - PATIENCE:
            return
        size = LARGE if asked.work > WORK_SECONDS else ""
        counter[f"{asked.source.account}{size}"] += 1


def decision_us(way: str, accounts: int) -> float:
    """Return the microseconds that noting a use and asking for an excess take."""
    shares = SHARES_BY_NAME[way]()
    rng = random.Random(1)
    names = [f"account-{rng.randrange(accounts)}" for _ in range(50_000)]
    started = time.process_time()
    for number, name in enumerate(names):
        shares.record_use(name, 100.0, number * 0.0005)
        shares.excess(name, number * 0.0005)
    return (time.process_time() - started) / len(names) * 1e6


def ticket_us(waiting: int) -> float:
    """Return the microseconds that a ticket takes that is put, asked for and served."""
    queue = FairTicketQueue(SHARES_BY_NAME["equal"](), DrainRate(1e6))
    rng = random.Random(1)
    count = 20_000
    for number in range(waiting):
        queue.put(_ticket(number, rng), 0.0)
    started = time.process_time()
    for number in range(waiting, waiting + count):
        now = number * 0.001
        queue.put(_ticket(number, rng), now)
        queue.position_of(f"r{number}", now)
        queue.consume(now)
    return (time.process_time() - started) / count * 1e6


def _ticket(number: int, rng: random.Random) -> Ticket:
    account = f"account-{rng.randrange(1000)}"
    rank = rng.randrange(3, 6)
    return Ticket(f"r{number}", "r", account, rank, 100.0, number * 0.001, 1e9)


def main() -> None:
    """Print what came of each scene with each way, and what decisions cost."""
    for scene in SCENES:
        for way in ("none", *SHARES_BY_NAME):
            shares = NoShares() if way == "none" else SHARES_BY_NAME[way]()
            outcome = Play(scene, shares).run()
            row = {"scene": scene.name, "shares": way, "busy": round(outcome.busy, 3)}
            for prefix in ("small", "large", "b-"):
                if any(name.startswith(prefix) for name in outcome.asked):
                    row[prefix] = round(outcome.share(prefix), 3)
            if any(name.endswith(LARGE) for name in outcome.asked):
                row["large requests"] = round(outcome.share("", suffix=LARGE), 3)
            row["refused_again"] = outcome.refused_again
            print(json.dumps(row))
    for way in SHARES_BY_NAME:
        for accounts in (100, 260_000):
            cost = round(decision_us(way, accounts), 2)
            print(json.dumps({"shares": way, "accounts": accounts, "us": cost}))
    for waiting in (10, 100, 500):
        print(json.dumps({"waiting": waiting, "us": round(ticket_us(waiting), 1)}))


if __name__ == "__main__":
    main()
