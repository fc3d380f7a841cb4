"""Measure the overhead of a router: on the first byte, and on each token event.

Prints JSON lines, all from one run: the same requests go directly to a stand-in engine
and through a router, alternately. All parts run in this process, so that the router's
cost is the difference of the two.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import time
from collections.abc import Callable

import defopt
import h11
from absl import logging

from lynxchute.bench.base import resident_kb
from lynxchute.event_loop import run as run_loop
from lynxchute.http import HttpClient
from lynxchute.standins.deployment import MODEL, Deployment, Shape, caller_key

ACCOUNT = "bench"
EVENT = (
    b'id: 1\ndata: {"id":"chatcmpl-0","choices":[{"delta":{"content":" word"}}]}\n\n'
)
EVENTS = 20_000
SETTLING_SECONDS = 4.0
ROUNDS = 7


def percentile(values: list[float], share: float) -> float:
    """Return the percentile of values at a share from 0 to 1, by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def bare_event_seconds() -> float:
    """Return the processor seconds to receive and send one event with `h11` alone."""
    receiver = h11.Connection(h11.CLIENT)
    receiver.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    receiver.send(h11.EndOfMessage())
    sender = h11.Connection(h11.SERVER)
    sender.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    sender.next_event()
    sender.next_event()
    sender.send(h11.Response(status_code=200, headers=[]))
    receiver.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    receiver.next_event()
    chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
    started_at = time.process_time()
    for _ in range(EVENTS):
        receiver.receive_data(chunk)
        event = receiver.next_event()
        receiver.next_event()
        sender.send(h11.Data(data=event.data))  # type: ignore[union-attr]
    return (time.process_time() - started_at) / EVENTS


def _body(number: int, *, max_tokens: int) -> bytes:
    message = {"role": "user", "content": f"question {number}"}
    question = {
        "model": MODEL,
        "messages": [message],
        "max_tokens": max_tokens,
        "stream": True,
    }
    return json.dumps(question).encode()


async def _first_byte_seconds(
    client: HttpClient, headers: list[tuple[str, str]]
) -> float:
    started_at = time.perf_counter()
    number = time.perf_counter_ns()
    response = await client.request(
        "POST",
        "/v1/chat/completions",
        headers=[*headers, ("X-Request-Id", f"direct-{number}")],
        body=_body(number, max_tokens=1),
    )
    chunks = response.chunks()
    await anext(chunks)
    elapsed = time.perf_counter() - started_at
    async for _ in chunks:
        pass
    return elapsed


async def _run_streams(
    client: HttpClient, headers: list[tuple[str, str]], streams: int
) -> tuple[int, float]:
    """Run concurrent streams; return their events and the 95th percentile of gaps."""
    gaps: list[float] = []

    async def read_stream(number: int) -> int:
        response = await client.request(
            "POST",
            "/v1/chat/completions",
            headers=[*headers, ("X-Request-Id", f"stream-{time.perf_counter_ns()}")],
            body=_body(number, max_tokens=60),
        )
        events = 0
        last = time.perf_counter()
        async for chunk in response.chunks():
            now = time.perf_counter()
            gaps.append(now - last)
            last = now
            events += chunk.count(b"\n\n")
        return events

    counts = await asyncio.gather(*[read_stream(number) for number in range(streams)])
    return sum(counts), percentile(gaps, 0.95)


async def _measure(requests: int, streams: int) -> None:
    shape = Shape(
        routers_by_data_centre={"kyu-a": 2},
        budgets={ACCOUNT: 100_000_000},
        first_token_delay=0.0,
        token_delay=0.04,
        engines=1,
    )
    deployment = Deployment(shape)
    await deployment.start()
    engine = next(iter(deployment.engines_by_name.values()))
    direct = HttpClient(f"127.0.0.1:{engine.server.port}")
    routed = HttpClient(f"127.0.0.1:{deployment.caller_port('kyu-a-1')}")
    key = [("Authorization", f"Bearer {caller_key(ACCOUNT)}")]
    try:
        await _print_first_bytes(direct, routed, key, requests)
        await _print_control(deployment, routed, key, requests)
        await _print_events(direct, routed, key, streams)
        await _print_memory(routed, key, 2 * streams)
    finally:
        await deployment.stop()


async def _print_first_bytes(
    direct: HttpClient, routed: HttpClient, key: list[tuple[str, str]], requests: int
) -> None:
    direct_run: list[float] = []
    routed_run: list[float] = []
    for _ in range(requests):
        direct_run.append(await _first_byte_seconds(direct, []))
        routed_run.append(await _first_byte_seconds(routed, key))
    line = {"measure": "first_byte", "requests": requests}
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        added = percentile(routed_run, share) - percentile(direct_run, share)
        line[f"direct_ms_{name}"] = round(percentile(direct_run, share) * 1000, 3)
        line[f"added_ms_{name}"] = round(added * 1000, 3)
    print(json.dumps(line), flush=True)


async def _print_control(
    deployment: Deployment,
    routed: HttpClient,
    key: list[tuple[str, str]],
    requests: int,
) -> None:
    """Print the bytes between routers and to the store for each request."""
    await asyncio.sleep(1.0)
    idle = deployment.control_bytes
    await asyncio.sleep(1.0)
    bytes_before = deployment.control_bytes
    started = time.perf_counter()
    for _ in range(requests):
        await _first_byte_seconds(routed, key)
    await asyncio.sleep(SETTLING_SECONDS)
    seconds = time.perf_counter() - started
    carried = deployment.control_bytes - bytes_before
    at_rest = (bytes_before - idle) * seconds
    line = {
        "measure": "control",
        "requests": requests,
        "control_bytes_per_request": round(max(carried - at_rest, 0.0) / requests),
        "bytes_per_s_at_rest_of_2_routers": bytes_before - idle,
    }
    print(json.dumps(line), flush=True)


async def _print_memory(
    client: HttpClient, key: list[tuple[str, str]], streams: int
) -> None:
    """Print the memory of open streams at the caller, the router and the engine."""
    before = resident_kb()
    opened = []
    for number in range(streams):
        response = await client.request(
            "POST",
            "/v1/chat/completions",
            headers=key,
            body=_body(number, max_tokens=60),
        )
        opened.append(response)
    growth = resident_kb() - before
    for response in opened:
        await response.body()
    line = {"measure": "memory", "streams": streams, "kb_grown_all_ends": growth}
    print(json.dumps(line), flush=True)


async def _print_events(
    direct: HttpClient,
    routed: HttpClient,
    key: list[tuple[str, str]],
    streams: int,
) -> None:
    bare_seconds: list[float] = []
    costs: list[float] = []
    events = 0
    for _ in range(ROUNDS):
        bare_seconds.append(bare_event_seconds())
        direct_run = await _measure_work(lambda: _run_streams(direct, [], streams))
        routed_run = await _measure_work(lambda: _run_streams(routed, key, streams))
        costs.append(routed_run[1] / routed_run[0] - direct_run[1] / direct_run[0])
        events += routed_run[0]
    bare = statistics.median(bare_seconds)
    added = statistics.median(costs)
    line = {
        "measure": "token_events",
        "streams": streams,
        "events": events,
        "bare_h11_us": round(bare * 1e6, 1),
        "router_us": round(added * 1e6, 1),
        "router_us_spread": [round(min(costs) * 1e6, 1), round(max(costs) * 1e6, 1)],
        "router_over_bare": round(added / bare, 2),
        "events_per_s_of_one_core": round(1 / added),
        "core_share_at_5000_per_s": round(5000 * added, 3),
        "direct_gap_ms_p95": round(direct_run[2] * 1000, 2),
        "routed_gap_ms_p95": round(routed_run[2] * 1000, 2),
        "one_process": True,
    }
    print(json.dumps(line), flush=True)


async def _measure_work(
    work: Callable[[], object],
) -> tuple[int, float, float]:
    """Return the events, the processor seconds and the p95 gap of some work."""
    started_at = time.process_time()
    events, gap = await work()  # type: ignore[misc]
    return events, time.process_time() - started_at, gap


def run(*, requests: int = 300, streams: int = 100) -> None:
    """Measure the overhead of a router.

    Parameters
    ----------
    requests
        Number of requests for the first byte.
    streams
        Number of concurrent streams for the token events.
    """
    logging.set_verbosity(logging.ERROR)
    run_loop(_measure(requests, streams))


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
