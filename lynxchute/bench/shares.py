"""Simulate accounts that compete for slots, with each method of fair sharing.

Requests arrive at random and wait in the router's own queue for a free slot, on a
virtual clock. Prints a JSON line for each scene and method, and the time per decision.
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
# Requests are counted after a warm-up in which the queue reaches its usual length.
WARMUP_SECONDS = 10.0
SLOTS = 24
WORK_SECONDS = 0.2
# Share of the slots that the usual load occupies.
USUAL_UTILIZATION = 0.9
CALLER_TIMEOUT = 2.5
TARGET_WAIT = 0.5
# Suffix of the account name under which large requests are counted.
LARGE = "+"


@attrs.frozen
class Source:
    """The requests of one account.

    Attributes
    ----------
    rate_factor
        Its rate, as a multiple of the usual one.
    large_share
        Share of its requests that need four times the work.
    max_retries
        Maximum number of retries of a refused request.
    honours_retry_after
        Whether it retries after the delay that the refusal states, and not at once.
    """

    account: str
    rank: int = 3
    rate_factor: float = 1.0
    large_share: float = 0.0
    max_retries: int = 0
    honours_retry_after: bool = True


@attrs.frozen
class Scene:
    """The accounts that send requests.

    Attributes
    ----------
    usual_accounts
        The number of accounts whose usual rates together are the usual load.
    """

    name: str
    sources: tuple[Source, ...]
    usual_accounts: float


def _small(count: int, **more: float) -> tuple[Source, ...]:
    return tuple(Source(f"small-{n}", **more) for n in range(count))  # type: ignore[arg-type]


SCENES = (
    Scene("one at 7.5 times", (*_small(20), Source("large", rate_factor=7.5)), 21.0),
    Scene("a lone account", (Source("large", rate_factor=30.0),), 21.0),
    Scene(
        "least urgent at 2.6 times",
        (*_small(20), *(Source(f"b-{n}", 5, rate_factor=2.6) for n in range(20))),
        40.0,
    ),
    Scene(
        "most urgent too many",
        (
            *_small(20, rate_factor=1.6),
            *(Source(f"b-{n}", 5, rate_factor=0.3) for n in range(20)),
        ),
        20.0,
    ),
    Scene(
        "one repeats at once",
        (
            *_small(20, max_retries=1),
            Source("large", rate_factor=6.0, max_retries=20, honours_retry_after=False),
        ),
        21.0,
    ),
    Scene(
        "all too many, a tenth large",
        _small(20, rate_factor=1.6, large_share=0.1, max_retries=1),
        27.0,
    ),
)


class NoShares(AccountShares):
    """No fair sharing: every account counts as within its share."""

    def record_use(self, account: str, cost: float, now: float) -> None:
        """Ignore the use."""

    def use_ratio(self, account: str, now: float) -> float:
        """Return 0, so that no account exceeds its share."""
        return 0.0


@attrs.define
class Request:
    """A request with all its attempts."""

    source: Source
    number: int
    work: float
    first_at: float
    attempts: int = 0


@attrs.define
class Outcome:
    """The result of a simulation.

    Attributes
    ----------
    busy
        Share of the slots' time that was used.
    """

    requested: Counter[str] = attrs.Factory(Counter)
    served: Counter[str] = attrs.Factory(Counter)
    refused_again: int = 0
    busy: float = 0.0

    def share(self, prefix: str, *, suffix: str = "") -> float:
        """Return the share of requests served, of names with this prefix and suffix."""
        requested = served = 0
        for name, count in self.requested.items():
            if name.startswith(prefix) and name.endswith(suffix):
                requested += count
                served += self.served[name]
        return served / requested if requested else 1.0


class Play:
    """A simulation of one scene with one method of fair sharing."""

    def __init__(self, scene: Scene, shares: AccountShares, seed: int = 1) -> None:
        self.outcome = Outcome()
        self._scene = scene
        self._shares = shares
        self._rng = random.Random(seed)
        work = SLOTS / WORK_SECONDS
        self.queue = FairTicketQueue(shares, DrainRate(work))
        self._drain = self.queue.drain
        self._expected_retries = ExpectedRetries()
        self._free_slots = SLOTS
        self._rate = USUAL_UTILIZATION * work / scene.usual_accounts
        self._requests_by_run: dict[str, Request] = {}
        self._events: list[tuple[float, int, str, Request]] = []
        self._number = 0

    def run(self) -> Outcome:
        """Run the simulation to its end; return the result."""
        for source in self._scene.sources:
            self._schedule_next(source, 0.0)
        while self._events:
            now, _, event, request = heapq.heappop(self._events)
            if now > PLAY_SECONDS:
                break
            if event == "arrive":
                self._schedule_next(request.source, now)
                self._count(self.outcome.requested, request, now)
            if event == "end":
                self._free_slots += 1
                self._drain.record_slot_freed(now)
            else:
                self._submit(request, now)
            self._serve(now)
        self.outcome.busy /= SLOTS * (PLAY_SECONDS - WARMUP_SECONDS)
        return self.outcome

    def _schedule_next(self, source: Source, now: float) -> None:
        at = now + self._rng.expovariate(self._rate * source.rate_factor)
        is_large = self._rng.random() < source.large_share
        work = WORK_SECONDS * (4.0 if is_large else 1.0)
        self._number += 1
        self._schedule(at, "arrive", Request(source, self._number, work, at))

    def _schedule(self, at: float, event: str, request: Request) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, event, request))

    def _submit(self, request: Request, now: float) -> None:
        source = request.source
        request.attempts += 1
        content = str(request.number)
        is_timely_retry = self._expected_retries.consume(source.account, content, now)
        if not is_timely_retry:
            self._shares.record_use(source.account, request.work, now)
        run_id = f"{request.number}.{request.attempts}"
        ticket = Ticket(
            run_id=run_id,
            router="r",
            account=source.account,
            rank=source.rank,
            cost=request.work,
            arrived_at=now,
            expires_at=request.first_at + CALLER_TIMEOUT,
            is_timely_retry=is_timely_retry,
            due_at=request.first_at + TARGET_WAIT,
        )
        retry_after = self.queue.put(ticket, now)
        if retry_after is None:
            self._requests_by_run[run_id] = request
            return
        if request.attempts > 1:
            self.outcome.refused_again += 1
        if request.attempts > source.max_retries:
            return
        self._expected_retries.record_refusal(source.account, content, retry_after, now)
        wait = max(retry_after, 0.05) if source.honours_retry_after else 0.005
        self._schedule(now + wait, "again", request)

    def _serve(self, now: float) -> None:
        while self._free_slots:
            ticket = self.queue.consume(now)
            if ticket is None:
                return
            request = self._requests_by_run.pop(ticket.run_id)
            if ticket.expires_at <= now:
                continue
            self._free_slots -= 1
            self._count(self.outcome.served, request, now)
            work = request.work * self._rng.uniform(0.5, 1.5)
            if now > WARMUP_SECONDS:
                self.outcome.busy += min(work, PLAY_SECONDS - now)
            self._schedule(now + work, "end", request)

    def _count(self, counter: Counter[str], request: Request, now: float) -> None:
        if (
            request.first_at <= WARMUP_SECONDS
            or request.first_at > PLAY_SECONDS - CALLER_TIMEOUT
        ):
            return
        size = LARGE if request.work > WORK_SECONDS else ""
        counter[f"{request.source.account}{size}"] += 1


def decision_us(method: str, accounts: int) -> float:
    """Return the microseconds to record a use and look up an account's excess."""
    shares = SHARES_BY_NAME[method]()
    rng = random.Random(1)
    names = [f"account-{rng.randrange(accounts)}" for _ in range(50_000)]
    started = time.process_time()
    for number, name in enumerate(names):
        shares.record_use(name, 100.0, number * 0.0005)
        shares.use_ratio(name, number * 0.0005)
    return (time.process_time() - started) / len(names) * 1e6


def ticket_us(waiting: int) -> float:
    """Return the microseconds to put a ticket, look up its position and serve one."""
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
    """Print the result of each scene and method, and the time of decisions."""
    for scene in SCENES:
        for method in ("none", *SHARES_BY_NAME):
            shares = NoShares() if method == "none" else SHARES_BY_NAME[method]()
            outcome = Play(scene, shares).run()
            row = {
                "scene": scene.name,
                "shares": method,
                "busy": round(outcome.busy, 3),
            }
            for prefix in ("small", "large", "b-"):
                if any(name.startswith(prefix) for name in outcome.requested):
                    row[prefix] = round(outcome.share(prefix), 3)
            if any(name.endswith(LARGE) for name in outcome.requested):
                row["large requests"] = round(outcome.share("", suffix=LARGE), 3)
            row["refused_again"] = outcome.refused_again
            print(json.dumps(row))
    for method in SHARES_BY_NAME:
        for accounts in (100, 260_000):
            cost = round(decision_us(method, accounts), 2)
            print(json.dumps({"shares": method, "accounts": accounts, "us": cost}))
    for waiting in (10, 100, 500):
        print(json.dumps({"waiting": waiting, "us": round(ticket_us(waiting), 1)}))


if __name__ == "__main__":
    main()
