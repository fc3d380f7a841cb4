"""Measure the processor time of a router for requests, events, its start and idling.

Prints a JSON line for each checkout of the code. One router in its own process serves
callers; a second one places its requests and holds its budgets. Callers, the store and
upstreams are stand-ins in this process and are not measured. Several checkouts are
measured alternately, each once a round.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import statistics
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import attrs
import defopt
from absl import logging

from lynxchute.bench.router_process import DATA_CENTRE, HOST, RouterProcess
from lynxchute.event_loop import run as run_loop
from lynxchute.http import HttpClient, Timeouts
from lynxchute.platform import names
from lynxchute.rendezvous import ranked
from lynxchute.scheduling.place_requests import scheduling_key
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin

OWN_CODE = Path(__file__).parents[2]
ACCOUNT, KEY = "bench", "key-of-bench"
SITE = "app.example"
ENGINES, SERVICES = 4, 2
EVENTS_LONG, EVENTS_SHORT = 43, 3
EVENT_DELAY = 0.02
# Number of concurrent requests: enough that the router is always busy, and few enough
# that it does not fall behind.
CONCURRENCY = 12
SETTLING_SECONDS = 2.0
IDLE_SECONDS = 2.0
_numbers = itertools.count(1)


@attrs.frozen
class Costs:
    """The processor time of one run of a router.

    Attributes
    ----------
    start_ms
        Milliseconds of processor time until it was ready.
    rest_ms_per_s
        Milliseconds of processor time a second while idle.
    plain_us, stream_us, event_us
        Microseconds of processor time of a plain request, of a stream without its
        events, and of an event, beyond those while idle.
    """

    start_ms: float
    rest_ms_per_s: float
    plain_us: float
    stream_us: float
    event_us: float


@attrs.define(eq=False)
class Scene:
    """The measured router, a second router and their stand-ins."""

    store: PlatformStoreStandin
    engines: list[PlatformUpstreamStandin]
    measured: RouterProcess
    other: RouterProcess


def _route(name: str, service: str, kind: str) -> dict[str, object]:
    return {
        "name": name,
        "host": SITE,
        "prefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeout_ms": 10_000,
        "target_latency_ms": 1000,
        "gap_aim_ms": 1000,
        "priority": 1,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "sticky_sessions": kind == "streaming",
        "stream_resume": kind == "streaming",
    }


def _configuration() -> dict[str, object]:
    engine = {
        "slots": 64,
        "kv_tokens": 400_000,
        "kv_bytes": 1000,
        "stride": 8,
        "models": [{"name": "m"}],
    }
    service = {"health_path": "/health", "max_connections": 100}
    return {
        "version": 1,
        "routes": [_route("book", "app", "unsafe"), _route("ask", "pool", "streaming")],
        "services": [
            {"name": "app", **service},
            {"name": "pool", **service, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 200_000,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 30_000,
        },
        "tenants": [
            {
                "name": ACCOUNT,
                "api_keys": [KEY],
                "priority": 1,
                "prepaid": 1_000_000_000,
            }
        ],
    }


def router_vms() -> tuple[str, str]:
    """Return two routers' names, of which the second holds budgets and schedules."""
    for number in itertools.count(2):
        pair = ["a-1", f"a-{number}"]
        keys = (ACCOUNT, scheduling_key("pool"), scheduling_key("app"))
        if all(ranked(key, pair)[0] == pair[1] for key in keys):
            return pair[0], pair[1]
    raise AssertionError


@contextlib.asynccontextmanager
async def running_scene(
    folder: Path, code: Path, profile: Path | None
) -> AsyncIterator[Scene]:
    """Run two routers and their stand-ins."""
    store = PlatformStoreStandin()
    engines, apps = [], []
    for _ in range(ENGINES):
        engine = PlatformUpstreamStandin(
            "pool", DATA_CENTRE, events=EVENTS_SHORT, event_delay=EVENT_DELAY
        )
        engines.append(engine)
    for _ in range(SERVICES):
        apps.append(PlatformUpstreamStandin("app", DATA_CENTRE))
    upstreams = [*engines, *apps]
    for upstream in upstreams:
        await upstream.start()
        await upstream.register(store)
    await store.configure(_configuration())
    front_vm, other_vm = router_vms()
    port = await store.open_port()
    other = RouterProcess(folder, other_vm, port, code=code)
    measured = RouterProcess(folder, front_vm, port, code=code, profile=profile)
    try:
        await other.start()
        await other.wait_until_ready()
        await measured.start()
        await measured.wait_until_ready()
        yield Scene(store, engines, measured, other)
    finally:
        await measured.stop()
        await other.stop()
        for upstream in upstreams:
            await upstream.stop()
        await store.close()


async def _send_request(client: HttpClient, path: str, *, is_stream: bool) -> None:
    number = next(_numbers)
    headers = [
        ("Host", SITE),
        (names.REQUEST_ID, f"q{number}"),
        (names.DEADLINE, "9000"),
        (names.KEY, KEY),
    ]
    if is_stream:
        headers.append((names.TOKENS, "626,344"))
        headers.append((names.MODEL, "m"))
        headers.append((names.PROMPT_PARTS, f"aa:198,b{number % 97}:300,c{number}:128"))
    response = await client.request(
        "POST", path, headers=headers, body=b"question %d " % number * 100
    )
    body = await response.body()
    if response.status != 200:
        raise RuntimeError(f"request to {path} got {response.status}: {body!r}")


async def _send_requests(client: HttpClient, path: str, count: int) -> None:
    numbers = iter(range(count))

    async def caller() -> None:
        for _ in numbers:
            await _send_request(client, path, is_stream=path == "/ask/x")

    await asyncio.gather(*[caller() for _ in range(CONCURRENCY)])


async def _processor_seconds(
    router: RouterProcess, idle: float, work: Callable[[], Awaitable[None]]
) -> float:
    """Return the processor seconds that the work takes beyond those while idle."""
    loop = asyncio.get_running_loop()
    started_at, before = loop.time(), router.processor_seconds
    await work()
    await asyncio.sleep(0.3)
    used = router.processor_seconds - before
    return used - idle * (loop.time() - started_at)


async def measure(code: Path, requests: int, profile: Path | None = None) -> Costs:
    """Run a router once and return its processor times.

    Parameters
    ----------
    code
        The checkout of the code to run.
    requests
        Number of requests of each kind.
    profile
        The file to which the router's profile is written; None for none.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with running_scene(Path(folder), code, profile) as running:
            measured = running.measured
            start = measured.processor_seconds
            await asyncio.sleep(SETTLING_SECONDS)
            client = HttpClient(
                f"{HOST}:{measured.caller_port}",
                timeouts=Timeouts(first_byte=10.0, between_bytes=10.0),
            )
            # Opens connections and fills caches before the measurement.
            await _send_requests(client, "/ask/x", CONCURRENCY)
            await _send_requests(client, "/book/x", CONCURRENCY)
            await asyncio.sleep(SETTLING_SECONDS / 2)
            before = measured.processor_seconds
            await asyncio.sleep(IDLE_SECONDS)
            idle = (measured.processor_seconds - before) / IDLE_SECONDS
            plain = await _processor_seconds(
                measured, idle, lambda: _send_requests(client, "/book/x", requests)
            )
            short = await _processor_seconds(
                measured, idle, lambda: _send_requests(client, "/ask/x", requests)
            )
            for engine in running.engines:
                engine.events = EVENTS_LONG
            long = await _processor_seconds(
                measured, idle, lambda: _send_requests(client, "/ask/x", requests)
            )
            client.close()
    event = (long - short) / requests / (EVENTS_LONG - EVENTS_SHORT)
    return Costs(
        start_ms=start * 1e3,
        rest_ms_per_s=idle * 1e3,
        plain_us=plain / requests * 1e6,
        stream_us=(short / requests - event * EVENTS_SHORT) * 1e6,
        event_us=event * 1e6,
    )


def _print(code: Path, found: list[Costs]) -> None:
    line: dict[str, object] = {"code": str(code), "rounds": len(found)}
    for field in attrs.fields(Costs):
        values = [getattr(costs, field.name) for costs in found]
        line[field.name] = round(statistics.median(values), 1)
        line[f"{field.name}_spread"] = [round(min(values), 1), round(max(values), 1)]
    print(json.dumps(line), flush=True)


async def _measure_all(
    codes: list[Path], rounds: int, requests: int, profile: Path | None
) -> None:
    found: list[list[Costs]] = [[] for _ in codes]
    for _ in range(rounds):
        for costs, code in zip(found, codes, strict=True):
            costs.append(await measure(code, requests, profile))
    for costs, code in zip(found, codes, strict=True):
        _print(code, costs)


def run(
    *,
    against: list[Path] = [],  # noqa: B006
    rounds: int = 5,
    requests: int = 240,
    profile: Path | None = None,
) -> None:
    """Measure the processor time of requests.

    Parameters
    ----------
    against
        Further checkouts to measure alternately with this one.
    rounds
        Number of runs of each checkout.
    requests
        Number of requests of each kind in a run.
    profile
        A file for the profile of the last run; profiling distorts the printed figures.
    """
    logging.set_verbosity(logging.ERROR)
    run_loop(_measure_all([OWN_CODE, *against], rounds, requests, profile))


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
