"""Measure what control costs, as slopes over counts of things.

Prints one JSON line a slope: the cost of nothing (``fixed``), of one thing
more (``each``), the points measured, and the spread of ``each`` over
repetitions. docs/CAPACITY.md works the size of letter 1 out from them.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import defopt

from lynxchute.accounting import Accounting, Settlements
from lynxchute.book import Book, Part
from lynxchute.configuration import (
    AccountConfiguration,
    Configuration,
    UpstreamConfiguration,
    UpstreamKind,
)
from lynxchute.configurations import from_body, to_body
from lynxchute.entry import Entry
from lynxchute.grants import DemandPolicy
from lynxchute.holder import Holder
from lynxchute.http import HttpServer, Request, Responder
from lynxchute.journal import Journal
from lynxchute.ledger import budget_key, empty_budget
from lynxchute.members import Heartbeat, Members
from lynxchute.peers import HttpPeers
from lynxchute.peers import messages as m
from lynxchute.records import RequestRecord
from lynxchute.standins.link import Link
from lynxchute.standins.table import TableStore

REPEATS = 3
EXCHANGES = 200

Measure = Callable[[int], float]


def print_slope(name: str, unit: str, points: list[int], measure: Measure) -> None:
    """Measure at each point, several times, and print the slope."""
    slopes = []
    fixed = []
    values: list[float] = []
    for _ in range(REPEATS):
        values = [measure(point) for point in points]
        line = statistics.linear_regression(points, values)
        slopes.append(line.slope)
        fixed.append(line.intercept)
    print(
        json.dumps(
            {
                "slope": name,
                "unit": unit,
                "fixed": round(statistics.median(fixed), 4),
                "each": round(statistics.median(slopes), 4),
                "spread": [round(min(slopes), 4), round(max(slopes), 4)],
                "points": dict(zip(points, [round(v, 3) for v in values], strict=True)),
            }
        ),
        flush=True,
    )


def record(number: int) -> RequestRecord:
    """Return a record of ordinary size."""
    return RequestRecord(
        request_id=f"{number:032x}",
        attempt=f"{number:032x}.0123456789ab",
        account=f"account-{number % 290}",
        reserved=600,
        entry="kyu-a-10.18f3a2b4c5d6e7f",
        holder="kyu-a-11.18f3a2b4c5d6e7f",
        upstream="kyu-a-engine-12",
        digest="0" * 64,
        used=310,
    )


def heartbeats(count: int) -> tuple[Heartbeat, ...]:
    """Return the news of a data centre's routers."""
    found = []
    for number in range(count):
        vm = f"kyu-a-{number}"
        found.append(
            Heartbeat(vm, "kyu-a", f"{vm}.18f3a2b4c5d6e7f", 1_700_000_000_000, 100_000)
        )
    return tuple(found)


class Exchange:
    """Send one message again and again over loopback, and count its cost.

    Parameters
    ----------
    message
        The message.
    reply
        Returns the answer to it.
    """

    def __init__(self, message: Any, reply: Callable[[Any], Any]) -> None:
        self._message = message
        self._reply = reply
        self.bytes_each = 0.0
        self.cpu_us_each = 0.0

    def run(self) -> Exchange:
        """Measure; both ends run in this process, so halve the time for one."""
        asyncio.run(self._run())
        return self

    async def _run(self) -> None:
        server = HttpServer(self._serve)
        await server.start("127.0.0.1", 0)
        link = Link(f"127.0.0.1:{server.port}")
        await link.start()
        direct = HttpPeers({"vm": f"127.0.0.1:{server.port}"}, "key", 2.0)
        relayed = HttpPeers({"vm": f"127.0.0.1:{link.port}"}, "key", 2.0)
        await direct.ask("vm", self._message)
        begun = time.process_time()
        for _ in range(EXCHANGES):
            await direct.ask("vm", self._message)
        self.cpu_us_each = (time.process_time() - begun) / EXCHANGES * 1e6
        await relayed.ask("vm", self._message)
        before = link.bytes_carried
        for _ in range(10):
            await relayed.ask("vm", self._message)
        self.bytes_each = (link.bytes_carried - before) / 10
        direct.close()
        relayed.close()
        await link.stop()
        await server.kill()

    async def _serve(self, request: Request, respond: Responder) -> None:
        message = m.from_json(request.json(), type(self._message))
        await respond.json(200, m.to_json(self._reply(message)))


def gossip(count: int) -> Exchange:
    """Return the exchange of one heartbeat between members of a data centre."""
    members = Members(heartbeats(1)[0], suspect_after=2.0, gone_after=3.0)

    def reply(message: m.GossipRequest) -> m.GossipReply:
        members.merge(message.heartbeats, 0.0)
        return m.GossipReply(members.digest(0.0))

    return Exchange(m.GossipRequest(heartbeats(count)), reply).run()


def witness(count: int) -> Exchange:
    """Return the exchange that puts copies of requests at a witness."""
    records = tuple(record(number) for number in range(count))
    message = m.WitnessRequest(records)
    return Exchange(message, lambda _: m.WitnessReply(True)).run()


def settle(count: int) -> Exchange:
    """Return the exchange that settles requests at their holder."""
    records = tuple(record(number) for number in range(count))
    message = m.SettleRequest(Settlements(finished=records))
    accounting = Accounting(make_holder(TableStore()), Book("bench"))

    def reply(question: m.SettleRequest) -> m.SettleReply:
        return m.SettleReply(accounting.settle(question.settlements))

    return Exchange(message, reply).run()


def make_holder(store: TableStore) -> Holder:
    """Return a holder whose journal is open."""
    journal: Journal[Entry] = Journal("kyu-a-1.18f3a2b4c5d6e7f", "kyu-a-1", "kyu-a")
    holder = Holder(journal, DemandPolicy())
    write(holder, store)
    return holder


def write(holder: Holder, store: TableStore, now: float = 0.0) -> int:
    """Write what there is; return the bytes that go to the platform."""
    transaction = holder.next_write(now)
    if transaction is None:
        return 0
    size = len(json.dumps(transaction.to_json(), separators=(",", ":")))
    holder.wrote(store.apply(transaction))
    return size


def holder_with_shares(count: int) -> Holder:
    """Return a holder with shares of many budgets, all at rest."""
    store = TableStore()
    holder = make_holder(store)
    for number in range(count):
        account = f"account-{number}"
        paid = {**empty_budget(), "paid": 10_000, "free": 10_000}
        store.rows_by_key[budget_key(account)] = paid
        holder.share(account).free = 10_000
    for _ in range(count):
        write(holder, store)
    return holder


def plan_us(count: int) -> float:
    """Return the processor time to plan a write over many shares at rest."""
    holder = holder_with_shares(count)
    begun = time.process_time()
    for _ in range(20):
        holder.next_write(0.0)
    return (time.process_time() - begun) / 20 * 1e6


def write_bytes(count: int) -> float:
    """Return the bytes of a write with many charges of a few accounts."""
    store = TableStore()
    holder = make_holder(store)
    for number in range(count):
        one = record(number)
        holder.share(one.account).owned = 1_000_000
        holder.finished_by_attempt[one.attempt] = one
    transaction = holder.next_write(0.0)
    assert transaction is not None
    return float(len(json.dumps(transaction.to_json(), separators=(",", ":"))))


def memory_of(build: Callable[[int], Any]) -> Measure:
    """Return a measure of the bytes that a structure of a size holds."""

    def measure(count: int) -> float:
        gc.collect()
        tracemalloc.start()
        kept = build(count)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        return float(size)

    return measure


def make_book(count: int) -> Book:
    """Return a book with many copies."""
    book = Book("bench")
    for number in range(count):
        book.keep(record(number), Part.WITNESS)
    return book


def make_configuration(count: int) -> Configuration:
    """Return a configuration with many upstreams and the accounts of letter 1."""
    accounts = []
    for number in range(290):
        accounts.append(
            AccountConfiguration(name=f"account-{number}", key_hashes=("0" * 64,))
        )
    upstreams = []
    for number in range(count):
        upstreams.append(
            UpstreamConfiguration(
                name=f"kyu-a-engine-{number}",
                kind=UpstreamKind.ENGINE,
                data_centre="kyu-a",
                address="10.10.10.10:8000",
                models=("dispatch-7b",),
            )
        )
    return Configuration(accounts=tuple(accounts), upstreams=tuple(upstreams))


def configuration_bytes(count: int) -> float:
    """Return the bytes of a configuration with many upstreams."""
    return float(len(json.dumps(to_body(make_configuration(count)))))


def configuration_us(count: int) -> float:
    """Return the processor time to bring a configuration into force."""
    text = json.dumps(to_body(make_configuration(count)))
    begun = time.process_time()
    from_body(json.loads(text))
    return (time.process_time() - begun) * 1e6


def run() -> None:
    """Measure and print every slope."""
    print_slope(
        "gossip_bytes_per_member", "bytes", [2, 8, 32, 128],
        lambda n: gossip(n).bytes_each,
    )  # fmt: skip
    print_slope(
        "gossip_cpu_per_member", "us, both ends", [2, 8, 32, 128],
        lambda n: gossip(n).cpu_us_each,
    )  # fmt: skip
    print_slope(
        "witness_bytes_per_request", "bytes", [1, 4, 16, 50],
        lambda n: witness(n).bytes_each,
    )  # fmt: skip
    print_slope(
        "witness_cpu_per_request", "us, both ends", [1, 4, 16, 50],
        lambda n: witness(n).cpu_us_each,
    )  # fmt: skip
    print_slope(
        "settle_bytes_per_request", "bytes", [1, 4, 16, 50],
        lambda n: settle(n).bytes_each,
    )  # fmt: skip
    print_slope(
        "settle_cpu_per_request", "us, both ends", [1, 4, 16, 50],
        lambda n: settle(n).cpu_us_each,
    )  # fmt: skip
    print_slope("write_bytes_per_charge", "bytes", [1, 10, 50, 100], write_bytes)
    print_slope("plan_cpu_per_share", "us", [100, 1000, 5000], plan_us)
    print_slope(
        "memory_per_share", "bytes", [500, 1000, 4000], memory_of(holder_with_shares)
    )
    print_slope("memory_per_copy", "bytes", [1000, 4000, 16000], memory_of(make_book))
    print_slope(
        "configuration_bytes_per_upstream", "bytes", [6, 100, 1000, 5000],
        configuration_bytes,
    )  # fmt: skip
    print_slope(
        "configuration_cpu_per_upstream", "us", [6, 100, 1000, 5000],
        configuration_us,
    )  # fmt: skip
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print(json.dumps({"this_run": "peak", "rss_kb": usage.ru_maxrss}))


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
