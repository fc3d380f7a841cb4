"""Run a deployment on stand-ins through faults, and check its guarantees.

The last line of the output is a JSON object with counts from the stand-ins' records.
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
from lynxchute.edge.settings import DeploymentBounds
from lynxchute.event_loop import run as run_loop
from lynxchute.http import ExchangeError, HttpClient
from lynxchute.relay.refusal import RunStatus
from lynxchute.standins.backpressure_scene import run_throttling_scene
from lynxchute.standins.budget_rules import BudgetRules
from lynxchute.standins.callers import CallerRequest, Callers
from lynxchute.standins.counts import (
    counted_by_account,
    delivered_by_account,
    paid_by_account,
    served_by_account,
)
from lynxchute.standins.deployment import MODEL, Deployment, Shape, caller_key
from lynxchute.standins.link import Partition
from lynxchute.standins.silence_scene import run_silence_scene

SCENE_SECONDS = 4.0
# A message text that crashes each engine that starts to answer it, the account that
# sends it, the number of times, and the seconds between them.
CRASH_TEXT = "the question that no engine survives"
CRASH_ACCOUNT = "road-2"
CRASH_REQUESTS = 14
CRASH_PAUSE_SECONDS = 0.25
# A system message that crashes each engine that starts to answer a prompt with it; so
# long that the beginning of such prompts is always the same.
CRASH_PREFIX = "a document that no engine survives. " * 120
# Number of crashes after which the prompt's beginning must be quarantined.
CRASHES_TO_QUARANTINE_PREFIX = 5
# Number of crashes after which the request must be quarantined, and the seconds within
# which all routers must know that; each later crash violates a guarantee.
CRASHES_TO_QUARANTINE = 3
QUARANTINE_SECONDS = 1.0
# After the evacuation ends, its engines are cold and can serve COLD_PER_SECOND requests
# a second each. In any second, all routers together may send a cold engine at most
# 2 x 1.5 + 5 = 8 requests.
COLD_SECONDS = 3.0
COLD_PER_SECOND = 2.0
MAX_COLD_RATE = 8
# Seconds from the acceptance of an evacuation until all routers must know of it.
EVACUATION_SECONDS = 1.0
EVACUATED = "kyu-b"
# Routers of this data centre lose their links to all upstreams, and must notice that
# within NOTICE_SECONDS.
CUT_OFF = "kyu-c"
NOTICE_SECONDS = 3.0
# Software versions of engines; every third engine that changes its software breaks
# streams off meanwhile.
OLD_SOFTWARE, NEW_SOFTWARE = "1.9", "2.0"
BREAKING_INTERVAL = 3
# Seconds from the cut of a data centre until the first engines get other software.
JOIN_DELAY = 0.05
SEED = 7


def measure(deployment: Deployment, sent: list[CallerRequest]) -> dict[str, int]:
    """Return the counts for the last line of the output."""
    served = served_by_account(deployment)
    output_by_request = {
        attempt.request_id: attempt.output_tokens
        for item in sent
        for attempt in item.attempts
    }
    owed = delivered_by_account(deployment, output_by_request)
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
    unanswered = [item for item in sent if item.outcome != "answered"]
    not_run_but_ran = 0
    for item in sent:
        for attempt in item.attempts:
            states_not_run = attempt.run == RunStatus.NOT_RUN.value
            not_run_but_ran += states_not_run and attempt.request_id in ran
    return {
        "requests": len(sent),
        "answered": len(answered),
        "refused": len(unanswered),
        "false_refusals": sum(item.false_refusal for item in unanswered)
        + sum(item.outcome == "lost" for item in unanswered),
        "overspend_tokens": sum(
            max(tokens - paid[account], 0) for account, tokens in served.items()
        ),
        "uncounted_tokens": sum(
            max(tokens - counted[account], 0) for account, tokens in owed.items()
        ),
        "counted_beyond_use": sum(
            max(counted[account] - tokens, 0) for account, tokens in served.items()
        ),
        "wrong_or_partial_answers": sum(not item.is_correct for item in answered),
        "mixed_streams": sum(len(item.versions) > 1 for item in sent),
        "run_twice": sum(count > 1 for count in calls_run.values()),
        "not_run_but_ran": not_run_but_ran,
    }


GUARANTEES = (
    "overspend_tokens",
    "uncounted_tokens",
    "wrong_or_partial_answers",
    "mixed_streams",
    "run_twice",
    "not_run_but_ran",
    "refused_without_links",
    "engines_ended_by_what_is_known",
    "sent_to_evacuated",
    "cold_rate_passed",
    "budget_limits_passed",
    "limit_passed",
    "sent_to_leaving",
    "sent_in_backoff",
    "sound_answers_broken_off",
    "begun_streams_run_twice",
)


def _make_shape() -> Shape:
    """Return the shape of the deployment "amagumo"."""
    budgets = {f"crew-{index}": 60_000 for index in range(1, 8)}
    budgets.update({"road-1": 400_000, "road-2": 400_000, "coop": 30_000})
    return Shape(
        routers_by_data_centre={"kyu-a": 3, "kyu-b": 3, "kyu-c": 2},
        budgets=budgets,
        cold_seconds=COLD_SECONDS,
        cold_per_second=COLD_PER_SECOND,
    )


async def _run_scenes(deployment: Deployment, callers: Callers, rate: float) -> int:
    """Run the scenes before the evacuation; return crashes after the quarantine."""
    _print_step("no faults")
    await callers.run(SCENE_SECONDS, rate)
    _print_step(
        "kyu-c is cut off from the store and the others; 'coop' is topped up twice"
    )
    deployment.set_cut("kyu-c", True)
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    await asyncio.sleep(SCENE_SECONDS / 2)
    for _ in range(2):
        await _run_statement(deployment, "top up coop by 5000 as night-1")
    await scene
    _print_step("kyu-a-1 is killed with open streams; the store's answers get lost")
    for vm in ("kyu-a-2", "kyu-b-1", "kyu-b-2"):
        deployment.store_faults(vm).lost_share = 0.2
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    await asyncio.sleep(SCENE_SECONDS / 3)
    await deployment.kill_router("kyu-a-1")
    await scene
    _print_step("the links are restored, and kyu-a-1 is restarted")
    for vm in ("kyu-a-2", "kyu-b-1", "kyu-b-2"):
        deployment.store_faults(vm).lost_share = 0.0
    deployment.set_cut("kyu-c", False)
    await deployment.start_router("kyu-a-1")
    await callers.run(SCENE_SECONDS, rate)
    _print_step(f"{CUT_OFF} is cut off as the first engines get other software")
    await _begin_rollout_beside_cut(deployment, callers, rate)
    _print_step("engines get other software while they break streams off")
    await _roll_out(deployment, callers, rate)
    _print_step(
        "one request crashes each engine that starts to answer it and is repeated"
    )
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    crashes = await _send_crash_requests(
        deployment, [[("user", CRASH_TEXT)]] * CRASH_REQUESTS, CRASHES_TO_QUARANTINE
    )
    await scene
    _print_step(
        "requests of which no two are alike begin with a document that crashes engines"
    )
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    prompts = [
        [("system", CRASH_PREFIX), ("user", f"question {number}")]
        for number in range(CRASH_REQUESTS)
    ]
    crashes += await _send_crash_requests(
        deployment, prompts, CRASHES_TO_QUARANTINE_PREFIX
    )
    await scene
    return crashes


async def _begin_rollout_beside_cut(
    deployment: Deployment, callers: Callers, rate: float
) -> None:
    """Change the software of one engine in two while a data centre is cut off."""
    engines = list(deployment.engines_by_name.values())
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    deployment.set_cut(CUT_OFF, True)
    await asyncio.sleep(JOIN_DELAY)
    for engine in engines[::2]:
        engine.software_version = NEW_SOFTWARE
    for engine in engines:
        engine.faults.break_streams = True
        await asyncio.sleep(SCENE_SECONDS / len(engines) / 2)
        engine.faults.break_streams = False
    await scene
    deployment.set_cut(CUT_OFF, False)
    await callers.run(SCENE_SECONDS, rate)


async def _roll_out(deployment: Deployment, callers: Callers, rate: float) -> None:
    """Change the software of engines one by one, forward and halfway back."""
    engines = list(deployment.engines_by_name.values())
    steps = [(engine, NEW_SOFTWARE) for engine in engines]
    steps += [(engine, OLD_SOFTWARE) for engine in engines[: len(engines) // 2]]
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    for number, (engine, version) in enumerate(steps):
        engine.software_version = version
        engine.faults.break_streams = number % BREAKING_INTERVAL == 0
        await asyncio.sleep(SCENE_SECONDS / len(steps))
        engine.faults.break_streams = False
    await scene


async def _evacuate(deployment: Deployment, callers: Callers, rate: float) -> int:
    """Evacuate a data centre, then end the evacuation with cold engines.

    Returns
    -------
    int
        Number of requests sent there after all routers must know of the evacuation.
    """
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    await _run_statement(deployment, f"evacuate data centre {EVACUATED}")
    await asyncio.sleep(EVACUATION_SECONDS)
    since = asyncio.get_running_loop().time()
    await scene
    sent = 0
    for upstream in deployment.upstreams:
        if upstream.name.startswith(EVACUATED):
            sent += len(upstream.arrival_log.since(since))
    _, shown = await deployment.operate("kyu-a-2", "show evacuations")
    _print_step(f"  {shown['rows']}")
    for name, engine in deployment.engines_by_name.items():
        if name.startswith(EVACUATED):
            engine.arrival_log.record_cold(
                COLD_SECONDS, asyncio.get_running_loop().time()
            )
    await _run_statement(deployment, f"take back data centre {EVACUATED}")
    await callers.run(SCENE_SECONDS, rate)
    return sent


async def _cut_off(deployment: Deployment, callers: Callers, rate: float) -> int:
    """Take the links of a data centre's routers to all upstreams, in three ways.

    Returns
    -------
    int
        First tries there that were not answered, once the routers must have noticed.
    """
    vms = [vm for vm in deployment.routers_by_vm if vm.startswith(CUT_OFF)]
    refused = 0
    for how in (Partition.HANG, Partition.REFUSE, Partition.KEEP_REFUSE):
        scene = asyncio.create_task(callers.run(2 * NOTICE_SECONDS, rate))
        deployment.partition(vms, how)
        await asyncio.sleep(NOTICE_SECONDS)
        first = len(callers.sent)
        await scene
        for item in callers.sent[first:]:
            attempt = item.attempts[0]
            refused += attempt.vm in vms and attempt.status != 200
        await deployment.restore(vms)
    return refused


async def _run_statement(deployment: Deployment, statement: str) -> None:
    _, answer = await deployment.operate("kyu-a-2", statement)
    _print_step(f"  {answer['state']}: {answer['detail']}")


def _budget_violations(deployment: Deployment) -> int:
    """Return how many services got more retries than their limit allows."""
    received_by_service = {
        "engines": [
            received
            for engine in deployment.engines_by_name.values()
            for received in engine.received
        ],
        "services": [
            received
            for service in deployment.services_by_name.values()
            for received in service.received
        ],
    }
    return len(BudgetRules(DeploymentBounds(), received_by_service, {}).violations())


def _cold_rate_excess(deployment: Deployment) -> int:
    """Return the requests beyond `MAX_COLD_RATE` in a cold engine's busiest second."""
    engines = deployment.engines_by_name.values()
    peak = max(engine.arrival_log.peak_cold_rate() for engine in engines)
    return max(peak - MAX_COLD_RATE, 0)


async def _send_crash_requests(
    deployment: Deployment,
    prompts: list[list[tuple[str, str]]],
    crashes_to_quarantine: int,
) -> int:
    """Send prompts that crash engines to the routers in turn.

    Parameters
    ----------
    prompts
        The messages of each prompt, as role and text.
    crashes_to_quarantine
        Number of crashes after which they must be quarantined.

    Returns
    -------
    int
        Number of crashes after all routers must know of the quarantine.
    """
    engines = list(deployment.engines_by_name.values())
    for engine in engines:
        engine.crash_texts.update({CRASH_TEXT, CRASH_PREFIX})
    before = sum(engine.restarts for engine in engines)
    vms = sorted(deployment.routers_by_vm)
    quarantined_at, crashes_allowed, last_status = float("inf"), 0, 0
    for number, messages in enumerate(prompts):
        vm = vms[number % len(vms)]
        last_status = await _send_crash_request(deployment, vm, messages)
        crashes = sum(engine.restarts for engine in engines) - before
        if time.monotonic() < quarantined_at + QUARANTINE_SECONDS:
            crashes_allowed = crashes
        if crashes >= crashes_to_quarantine:
            quarantined_at = min(quarantined_at, time.monotonic())
        await asyncio.sleep(CRASH_PAUSE_SECONDS)
    crashes = sum(engine.restarts for engine in engines) - before
    _print_step(
        f"  {crashes} engines crashed; "
        f"the last of {len(prompts)} answers: {last_status}"
    )
    return crashes - crashes_allowed


async def _send_crash_request(
    deployment: Deployment, vm: str, messages: list[tuple[str, str]]
) -> int:
    """Send a crashing request once; return its status, 0 without a response."""
    client = HttpClient(f"127.0.0.1:{deployment.caller_port(vm)}")
    key = caller_key(CRASH_ACCOUNT)
    question = {
        "model": MODEL,
        "messages": [{"role": role, "content": text} for role, text in messages],
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


def _print_step(text: str) -> None:
    print(text, flush=True)


async def _wait_until_settled(deployment: Deployment, seconds: float) -> None:
    """Wait until no request is open and every reservation is settled."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        routers = deployment.routers_by_vm.values()
        if not any(router.ledger_sync.ledger.reservations_by_id for router in routers):
            return
        await asyncio.sleep(0.1)
    _print_step("timeout: some reservations are not settled yet")


def _print_table(sent: list[CallerRequest]) -> None:
    print(f"\n{'account':<10}{'requests':>10}{'answered':>10}{'refused':>10}")
    for account in sorted({item.account for item in sent}):
        own = [item for item in sent if item.account == account]
        answered = sum(item.outcome == "answered" for item in own)
        row = f"{account:<10}{len(own):>10}{answered:>10}{len(own) - answered:>10}"
        print(row)
    print()


async def _run(rate: float) -> int:
    deployment = Deployment(_make_shape())
    _print_step("starting three data centres with eight routers on stand-ins")
    await deployment.start()
    for engine in deployment.engines_by_name.values():
        engine.software_version = OLD_SOFTWARE
    callers = Callers(deployment, random.Random(SEED))
    try:
        crashes = await _run_scenes(deployment, callers, rate)
        _print_step(f"routers of {CUT_OFF} lose their links to all upstreams")
        refused = await _cut_off(deployment, callers, rate)
        _print_step(
            f"{EVACUATED} is evacuated and taken back; its engines are then cold"
        )
        sent_to_evacuated = await _evacuate(deployment, callers, rate)
        _print_step("engines declare a rate limit, leaving and a backoff")
        violations = await run_throttling_scene(
            deployment, callers, rate, 2 * SCENE_SECONDS
        )
        _print_step(
            "upstreams fall silent for a second while routers are stopped, settings "
            "are reloaded and the configuration changes"
        )
        silence_violations = await run_silence_scene(deployment, callers, rate, SEED)
        _print_step("waiting for the last settlements")
        await _wait_until_settled(deployment, 8.0)
        result = measure(deployment, callers.sent)
        result["engines_ended_by_what_is_known"] = crashes
        result["refused_without_links"] = refused
        result["sent_to_evacuated"] = sent_to_evacuated
        result["cold_rate_passed"] = _cold_rate_excess(deployment)
        result["budget_limits_passed"] = _budget_violations(deployment)
        result.update(attrs.asdict(violations))
        result.update(attrs.asdict(silence_violations))
    finally:
        await deployment.stop()
    _print_table(callers.sent)
    print(json.dumps(result))
    return int(any(result[name] for name in GUARANTEES))


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
