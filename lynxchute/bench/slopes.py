"""Measure the cost of control operations as linear functions of a count.

Prints one JSON line for each operation: the cost at zero (``fixed``), the cost of each
further item (``each``), the measured points, and the spread of ``each`` over
repetitions. docs/CAPACITY.md derives the capacity of a deployment from these figures.
"""

from __future__ import annotations

import gc
import json
import resource
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import attrs
import defopt

from lynxchute.bench.memory_rows import MemoryRows
from lynxchute.budgets import DemandPolicy, Ledger
from lynxchute.clock import steady_seconds
from lynxchute.config.document import (
    AccountDocument,
    FleetDocument,
    RouteDocument,
    ServiceDocument,
    ServiceKind,
    UpstreamDocument,
    Version,
)
from lynxchute.config.from_document import build_configuration
from lynxchute.event_loop import run as run_loop
from lynxchute.fleet.client import HttpPeers
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import Ack, Message, from_json, to_json
from lynxchute.fleet.messages import (
    PlacementReply,
    PlacementRequest,
    ReserveOutcome,
    ReserveReply,
    ReserveRequest,
    RunStage,
    RunUpdate,
    RunUpdateRequest,
    Settlement,
    SettleRequest,
)
from lynxchute.http import HttpServer, LinkMeter, Request, Responder
from lynxchute.scheduling.board import Candidate, EngineBoard
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.standins.link import Link
from lynxchute.upstreams.generation import Generation, PromptPart

REPEATS = 3
EXCHANGES = 200
ACCOUNTS = 290
PLACEMENTS = 50

Measure = Callable[[int], float]


def print_slope(name: str, unit: str, points: list[int], measure: Measure) -> None:
    """Measure each point several times, fit a line and print it."""
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


class Exchange:
    """Send one message repeatedly over loopback, and measure its cost.

    Parameters
    ----------
    message
        The message to send.
    reply
        The reply to it.
    """

    def __init__(self, message: Message[Any], reply: object) -> None:
        self._message = message
        self._reply = reply
        self.bytes_each = 0.0
        self.cpu_us_each = 0.0

    def run(self) -> Exchange:
        """Measure the bytes and the processor time of both ends together."""
        run_loop(self._run())
        return self

    async def _run(self) -> None:
        server = HttpServer(self._serve)
        await server.start("127.0.0.1", 0)
        link = Link(f"127.0.0.1:{server.port}")
        await link.start()
        direct, relayed = _peers(server.port), _peers(link.port)
        await direct.ask("b", self._message)
        started_at = time.process_time()
        for _ in range(EXCHANGES):
            await direct.ask("b", self._message)
        self.cpu_us_each = (time.process_time() - started_at) / EXCHANGES * 1e6
        await relayed.ask("b", self._message)
        before = link.bytes_carried
        for _ in range(10):
            await relayed.ask("b", self._message)
        self.bytes_each = (link.bytes_carried - before) / 10
        direct.close()
        relayed.close()
        await link.stop()
        await server.kill()

    async def _serve(self, request: Request, respond: Responder) -> None:
        from_json(request.json(), type(self._message))
        await respond.json(200, to_json(self._reply))


def _peers(port: int) -> HttpPeers:
    members = Members(Member("a", "x", "1", "127.0.0.1:1"))
    members.put(Member("b", "x", "2", f"127.0.0.1:{port}"))
    return HttpPeers(members, lambda: "0" * 48, steady_seconds, LinkMeter(1e6))


def reserve() -> Exchange:
    """Measure the exchange that reserves tokens for one request."""
    request = ReserveRequest(f"{7:016x}.01234567", "account-17", 2020)
    return Exchange(request, ReserveReply(ReserveOutcome.RESERVED)).run()


def settle(count: int) -> Exchange:
    """Measure the exchange that settles some requests at the holder of their budget."""
    settlements = [Settlement(f"{n:016x}.01234567", 1576) for n in range(count)]
    return Exchange(SettleRequest(tuple(settlements)), Ack()).run()


def place(parts: int) -> Exchange:
    """Measure the exchange that places one generation with some prompt parts."""
    request = PlacementRequest(
        run_id=f"{7:016x}.0",
        service="engines",
        data_centre="kyu-a",
        passed_over=(),
        prompt_tokens=17_000,
        output_tokens=400,
        parts=tuple((f"{n:08x}", 6000) for n in range(parts)),
        router="0123456789ab",
    )
    return Exchange(request, PlacementReply("i-0123456789", "", 120.5)).run()


def run_updates(count: int) -> Exchange:
    """Measure the exchange that reports the starts and ends of some runs."""
    updates = [
        RunUpdate(f"{n:016x}.0", "i-0123456789", RunStage.ENDED) for n in range(count)
    ]
    return Exchange(RunUpdateRequest(tuple(updates)), Ack()).run()


def ledger_with_shares(count: int) -> Ledger:
    """Return a ledger that is the home of many budgets and has written its rows."""
    rows = MemoryRows()
    ledger = Ledger("kyu-a-1", "0123456789ab", DemandPolicy(), parts=13)
    ledger.take_over(None, 0)
    for number in range(count):
        ledger.prepaid_by_account[f"account-{number}"] = 1_000_000
        ledger.share(f"account-{number}").is_home = True
    for _ in range(count // 40 + 2):
        plan = ledger.plan(now_ms=1000, now=1.0)
        ledger.apply_outcome(rows.write(plan.write))
    return ledger


def plan_us(count: int) -> float:
    """Return the processor time to plan a write with many shares, in microseconds."""
    ledger = ledger_with_shares(count)
    started_at = time.process_time()
    for _ in range(10):
        ledger.plan(now_ms=2000, now=2.0)
        ledger.record_write_failed()
    return (time.process_time() - started_at) / 10 * 1e6


def row_bytes(count: int) -> float:
    """Return the size of a router's row with many shares, in bytes."""
    ledger = ledger_with_shares(count)
    plan = ledger.plan(now_ms=2000, now=2.0, with_grants=False)
    return float(sum(len(put.value) for put in plan.write.puts))


def place_us(engines: int) -> float:
    """Return the processor time to place a generation on one of many engines."""
    board = EngineBoard()
    candidates = [Candidate(f"i-{n:010x}", 64, 450_000, False) for n in range(engines)]
    generation = Generation(
        "m", 17_000, 400, (PromptPart("a", 13_300), PromptPart("b", 3_700))
    )
    started_at = time.process_time()
    for number in range(PLACEMENTS):
        own = PromptPart(f"own-{number}", 3_700)
        asked = attrs.evolve(generation, parts=(generation.parts[0], own))
        board.place(PendingRequest(str(number), asked), candidates, number * 0.001)
    return (time.process_time() - started_at) / PLACEMENTS * 1e6


def memory_of(build: Callable[[int], Any]) -> Measure:
    """Return a function that measures the memory of a structure, in bytes."""

    def measure(count: int) -> float:
        gc.collect()
        tracemalloc.start()
        structure = build(count)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del structure
        return float(size)

    return measure


def version_with(upstreams: int) -> Version:
    """Return a configuration version with some upstreams and `ACCOUNTS` accounts."""
    accounts = []
    for number in range(ACCOUNTS):
        accounts.append(
            AccountDocument(
                name=f"account-{number}", key_hashes=("0" * 64,), paid=10**6
            )
        )
    upstream_documents = []
    for number in range(upstreams):
        upstream_documents.append(
            UpstreamDocument(
                name=f"kyu-a-engine-{number}",
                service="engines",
                data_centre="kyu-a",
                address="10.10.10.10:8000",
            )
        )
    document = FleetDocument(
        accounts=tuple(accounts),
        services=(ServiceDocument(name="engines", kind=ServiceKind.ENGINE),),
        upstreams=tuple(upstream_documents),
        routes=(RouteDocument(name="chat", service="engines", model="m"),),
    )
    return Version(1, document)


def version_bytes(upstreams: int) -> float:
    """Return the encoded size of a configuration version, in bytes."""
    return float(len(version_with(upstreams).encode()))


def version_us(upstreams: int) -> float:
    """Return the processor time to decode and apply a version, in microseconds."""
    value = version_with(upstreams).encode()
    started_at = time.process_time()
    build_configuration(Version.decode(value).ok)
    return (time.process_time() - started_at) * 1e6


def run() -> None:
    """Measure and print the cost of every operation."""
    counts = [1, 4, 16, 50]
    exchange = reserve()
    line = {
        "exchange": "reserve",
        "bytes": exchange.bytes_each,
        "cpu_us_both_ends": round(exchange.cpu_us_each, 1),
    }
    print(json.dumps(line), flush=True)
    print_slope("settle_bytes", "bytes", counts, lambda n: settle(n).bytes_each)
    print_slope("settle_cpu", "us, both ends", counts, lambda n: settle(n).cpu_us_each)
    print_slope("news_bytes", "bytes", counts, lambda n: run_updates(n).bytes_each)
    print_slope(
        "news_cpu", "us, both ends", counts, lambda n: run_updates(n).cpu_us_each
    )
    print_slope(
        "place_bytes_per_part", "bytes", [1, 2, 4, 8], lambda n: place(n).bytes_each
    )
    print_slope("place_cpu_per_engine", "us", [6, 45, 200, 850], place_us)
    print_slope("plan_cpu_per_share", "us", [10, 100, 1000], plan_us)
    print_slope("row_bytes_per_share", "bytes", [10, 100, 1000], row_bytes)
    print_slope(
        "memory_per_share", "bytes", [100, 500, 1000], memory_of(ledger_with_shares)
    )
    print_slope("version_bytes_per_upstream", "bytes", [6, 100, 1000], version_bytes)
    print_slope("version_cpu_per_upstream", "us", [6, 100, 1000], version_us)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print(json.dumps({"this_run": "peak", "rss_kb": usage.ru_maxrss}))


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
