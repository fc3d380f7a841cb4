"""Run a deployment on stand-ins through faults, and count what was promised.

The last line is a JSON object, measured from the stand-ins' own records.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

import attrs
import defopt
from absl import logging

from lynxchute.callers import names
from lynxchute.config.from_document import CHAT_PATH
from lynxchute.event_loop import run as run_loop
from lynxchute.http import ExchangeError, HttpClient
from lynxchute.relay.refusal import RunStatus
from lynxchute.standins.backpressure_scene import run_throttling_scene
from lynxchute.standins.callers import CallerRequest, Callers
from lynxchute.standins.counts import (
    counted_by_account,
    paid_by_account,
    served_by_account,
)
from lynxchute.standins.deployment import MODEL, Deployment, Shape, caller_key

SCENE_SECONDS = 4.0
# A question that ends each engine that begins to answer it, who asks it, how often, and
# the seconds between.
DEADLY_TEXT = "the question that no engine survives"
DEADLY_ACCOUNT = "road-2"
DEADLY_TIMES = 14
DEADLY_PAUSE = 0.25
# Ends after which it must be known to be their cause, and seconds in which all routers
# must know it; what it ends later counts as broken.
ENDS_KNOWN = 3
KNOWN_SECONDS = 1.0
# Engines are cold after they were taken back, and bear so many requests a second: in
# any second all routers together send one at most 2 x 1.5 + 5 = 8.
COLD_SECONDS = 3.0
COLD_PER_SECOND = 2.0
COLD_MOST = 8
# Seconds after an evacuation was accepted in which all routers must have heard of it.
EVACUATED_SECONDS = 1.0
EVACUATED = "kyu-b"
SEED = 7


def measure(deployment: Deployment, sent: list[CallerRequest]) -> dict[str, int]:
    """Return the counts of the last line."""
    served = served_by_account(deployment)
    counted = counted_by_account(deployment)
    paid = paid_by_account(deployment)
    calls_run: dict[str, int] = {}
    for service in deployment.services_by_name.values():
        for record in service.records():
            name = record["request_id"].rpartition("-")[0]
            calls_run[name] = calls_run.get(name, 0) + 1
    ran: set[str] = set()
    for upstream in deployment.upstreams:
        ran.update(record["request_id"] for record in upstream.records())
    answered = [item for item in sent if item.outcome == "answered"]
    others = [item for item in sent if item.outcome != "answered"]
    not_run_but_ran = 0
    for item in sent:
        for attempt in item.attempts:
            said = attempt.run == RunStatus.NOT_RUN.value
            not_run_but_ran += said and attempt.request_id in ran
    return {
        "requests": len(sent),
        "answered": len(answered),
        "refused": len(others),
        "false_refusals": sum(item.false_refusal for item in others)
        + sum(item.outcome == "lost" for item in others),
        "overspend_tokens": sum(max(n - paid[a], 0) for a, n in served.items()),
        "uncounted_tokens": sum(max(n - counted[a], 0) for a, n in served.items()),
        "counted_beyond_use": sum(max(counted[a] - n, 0) for a, n in served.items()),
        "wrong_or_partial_answers": sum(not item.is_correct for item in answered),
        "run_twice": sum(count > 1 for count in calls_run.values()),
        "not_run_but_ran": not_run_but_ran,
    }


PROMISES = (
    "overspend_tokens",
    "uncounted_tokens",
    "wrong_or_partial_answers",
    "run_twice",
    "not_run_but_ran",
    "engines_ended_by_what_is_known",
    "sent_to_evacuated",
    "cold_rate_passed",
    "limit_passed",
    "sent_to_leaving",
    "sent_in_backoff",
)


def _amagumo() -> Shape:
    """Return Amagumo's deployment at today's size."""
    budgets = {f"crew-{index}": 60_000 for index in range(1, 8)}
    budgets.update({"road-1": 400_000, "road-2": 400_000, "coop": 30_000})
    return Shape(
        routers_by_data_centre={"kyu-a": 3, "kyu-b": 3, "kyu-c": 2},
        budgets=budgets,
        cold_seconds=COLD_SECONDS,
        cold_per_second=COLD_PER_SECOND,
    )


async def _play(deployment: Deployment, callers: Callers, rate: float) -> int:
    """Go through the scenes; return how many engines ended for want of knowledge."""
    _say("all is well")
    await callers.run(SCENE_SECONDS, rate)
    _say("kyu-c is cut off from the store and the others; 'coop' is topped up twice")
    deployment.set_cut("kyu-c", True)
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    await asyncio.sleep(SCENE_SECONDS / 2)
    for _ in range(2):
        await _order(deployment, "top up coop by 5000 as night-1")
    await scene
    _say("kyu-a-1 dies with open streams; the store loses answers")
    for vm in ("kyu-a-2", "kyu-b-1", "kyu-b-2"):
        deployment.store_faults(vm).lost_share = 0.2
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    await asyncio.sleep(SCENE_SECONDS / 3)
    await deployment.kill_router("kyu-a-1")
    await scene
    _say("the links heal, and kyu-a-1 is back")
    for vm in ("kyu-a-2", "kyu-b-1", "kyu-b-2"):
        deployment.store_faults(vm).lost_share = 0.0
    deployment.set_cut("kyu-c", False)
    await deployment.start_router("kyu-a-1")
    await callers.run(SCENE_SECONDS, rate)
    _say("a question ends each engine that begins to answer it; its caller repeats it")
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    ended = await _repeat_deadly(deployment)
    await scene
    return ended


async def _evacuate(deployment: Deployment, callers: Callers, rate: float) -> int:
    """Evacuate a data centre and take it back.

    Returns
    -------
    int
        How many requests were sent there later than they may be.
    """
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    await _order(deployment, f"evacuate data centre {EVACUATED}")
    await asyncio.sleep(EVACUATED_SECONDS)
    since = asyncio.get_running_loop().time()
    await scene
    sent = 0
    for upstream in deployment.upstreams:
        if upstream.name.startswith(EVACUATED):
            sent += len(upstream.taken.since(since))
    _, shown = await deployment.operate("kyu-a-2", "show evacuations")
    _say(f"  {shown['rows']}")
    for name, engine in deployment.engines_by_name.items():
        if name.startswith(EVACUATED):
            engine.taken.note_cold(COLD_SECONDS, asyncio.get_running_loop().time())
    await _order(deployment, f"take back data centre {EVACUATED}")
    await callers.run(SCENE_SECONDS, rate)
    return sent


async def _order(deployment: Deployment, statement: str) -> None:
    _, answer = await deployment.operate("kyu-a-2", statement)
    _say(f"  {answer['state']}: {answer['detail']}")


def _cold_rate_passed(deployment: Deployment) -> int:
    """Return by how many requests the fullest second of a cold engine is too full."""
    engines = deployment.engines_by_name.values()
    most = max(engine.taken.most_while_cold() for engine in engines)
    return max(most - COLD_MOST, 0)


async def _repeat_deadly(deployment: Deployment) -> int:
    """Ask the deadly question at one router after the other.

    Returns
    -------
    int
        How many engines it ended after all routers must have known it.
    """
    engines = list(deployment.engines_by_name.values())
    for engine in engines:
        engine.deadly_texts.add(DEADLY_TEXT)
    vms = sorted(deployment.routers_by_vm)
    known_at, ended_before, last = float("inf"), 0, 0
    for number in range(DEADLY_TIMES):
        last = await _ask_deadly(deployment, vms[number % len(vms)])
        ended = sum(engine.ends for engine in engines)
        if time.monotonic() < known_at + KNOWN_SECONDS:
            ended_before = ended
        if ended >= ENDS_KNOWN:
            known_at = min(known_at, time.monotonic())
        await asyncio.sleep(DEADLY_PAUSE)
    ended = sum(engine.ends for engine in engines)
    _say(f"  it ended {ended} engines; the last of {DEADLY_TIMES} answers: {last}")
    return ended - ended_before


async def _ask_deadly(deployment: Deployment, vm: str) -> int:
    """Ask the deadly question once; return the status, 0 where none came."""
    client = HttpClient(f"127.0.0.1:{deployment.caller_port(vm)}")
    key = caller_key(DEADLY_ACCOUNT)
    question = {
        "model": MODEL,
        "messages": [{"role": "user", "content": DEADLY_TEXT}],
        "max_tokens": 64,
        "stream": True,
    }
    headers = [(names.AUTHORIZATION, f"Bearer {key}")]
    try:
        status, _ = await client.post_json(CHAT_PATH, question, headers=headers)
    except ExchangeError:
        return 0
    finally:
        client.close()
    return status


def _say(text: str) -> None:
    print(text, flush=True)


async def _settle(deployment: Deployment, seconds: float) -> None:
    """Wait until no request is open and every reservation is settled."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        routers = deployment.routers_by_vm.values()
        if not any(router.ledger_sync.ledger.reservations_by_id for router in routers):
            return
        await asyncio.sleep(0.1)
    _say("some reservations are not settled yet")


def _print_table(sent: list[CallerRequest]) -> None:
    print(f"\n{'account':<10}{'requests':>10}{'answered':>10}{'refused':>10}")
    for account in sorted({item.account for item in sent}):
        mine = [item for item in sent if item.account == account]
        answered = sum(item.outcome == "answered" for item in mine)
        row = f"{account:<10}{len(mine):>10}{answered:>10}{len(mine) - answered:>10}"
        print(row)
    print()


async def _run(rate: float) -> int:
    deployment = Deployment(_amagumo())
    _say("starting three data centres with eight routers on stand-ins")
    await deployment.start()
    callers = Callers(deployment, random.Random(SEED))
    try:
        ended = await _play(deployment, callers, rate)
        _say(f"{EVACUATED} is evacuated and taken back; its engines come back cold")
        sent_to_evacuated = await _evacuate(deployment, callers, rate)
        _say("an engine names a limit, one says that it leaves, one asks for backoff")
        throttled_sends = await run_throttling_scene(
            deployment, callers, rate, 2 * SCENE_SECONDS
        )
        _say("waiting for the last settlements")
        await _settle(deployment, 8.0)
        result = measure(deployment, callers.sent)
        result["engines_ended_by_what_is_known"] = ended
        result["sent_to_evacuated"] = sent_to_evacuated
        result["cold_rate_passed"] = _cold_rate_passed(deployment)
        result.update(attrs.asdict(throttled_sends))
    finally:
        await deployment.stop()
    _print_table(callers.sent)
    print(json.dumps(result))
    return int(any(result[name] for name in PROMISES))


def run(*, rate: float = 40.0) -> None:
    """Run the demonstration.

    Parameters
    ----------
    rate
        Requests a second.
    """
    logging.set_verbosity(logging.ERROR)
    sys.exit(run_loop(_run(rate)))


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
