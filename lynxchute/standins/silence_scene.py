"""Have sound upstreams fall silent beside planned work, and count broken answers."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter

import attrs

from lynxchute.standins.callers import Callers
from lynxchute.standins.deployment import Deployment
from lynxchute.standins.silences import (
    Silence,
    plan_silences,
    singles_and_data_centres,
)

# Seconds between two tokens, so that most streams last longer than a silence.
TOKEN_DELAY = 0.02
# Seconds between two changes of the configuration, and between two reloads of settings.
CHANGE_SECONDS = 1.5
RELOAD_SECONDS = 2.0
# Retries allowed per request, of which each reload of the settings takes the next one.
RETRY_SHARES = (0.25, 0.2)
# Tokens after which a router must have received the beginning of a stream.
BEGUN_TOKENS = 4
# Responses of a router that gave up a call to an upstream.
GIVEN_UP_STATUSES = frozenset({502, 504})


@attrs.frozen
class SilenceViolations:
    """Answers that silences of sound upstreams cost.

    Attributes
    ----------
    sound_answers_broken_off
        Answers that ended before their time, or were given up.
    begun_streams_run_twice
        Streams that had begun before a silence and were run again.
    """

    sound_answers_broken_off: int
    begun_streams_run_twice: int


async def run_silence_scene(
    deployment: Deployment, callers: Callers, rate: float, seed: int
) -> SilenceViolations:
    """Silence upstreams while routers stop, settings and configuration change.

    Parameters
    ----------
    rate
        Requests a second that callers send meanwhile.
    seed
        Seed of the order, the moments and the durations of the silences.
    """
    names_by_data_centre = {}
    for data_centre in deployment.data_centres:
        names_by_data_centre[data_centre] = [
            upstream.name
            for upstream in deployment.upstreams
            if upstream.name.startswith(data_centre)
        ]
    groups = list(singles_and_data_centres(names_by_data_centre))
    plan = plan_silences(groups, random.Random(seed))
    seconds = sum(silence.after + silence.seconds for silence in plan)
    first = len(callers.sent)
    for engine in deployment.engines_by_name.values():
        engine.token_delay = TOKEN_DELAY
    changes = [
        asyncio.create_task(_change_configuration(deployment)),
        asyncio.create_task(_reload_settings(deployment)),
    ]
    stops = asyncio.create_task(_restart_routers(deployment))
    scene = asyncio.create_task(callers.run(seconds, rate))
    try:
        runs_by_begun = await _play(deployment, plan)
        await stops
        await scene
    finally:
        for task in (*changes, stops, scene):
            task.cancel()
        await asyncio.gather(*changes, stops, scene, return_exceptions=True)
        for engine in deployment.engines_by_name.values():
            engine.token_delay = deployment.shape.token_delay
    broken_off = 0
    for item in callers.sent[first:]:
        for attempt in item.attempts:
            is_given_up = attempt.status in GIVEN_UP_STATUSES
            broken_off += attempt.is_broken_off or is_given_up
    runs_by_request = _runs_by_request(deployment)
    run_again = sum(
        runs_by_request[request_id] > runs for request_id, runs in runs_by_begun.items()
    )
    return SilenceViolations(broken_off, run_again)


async def _play(deployment: Deployment, plan: list[Silence]) -> dict[str, int]:
    """Play the silences; return the runs of streams that began before theirs, by id."""
    runs_by_begun: dict[str, int] = {}
    for silence in plan:
        await asyncio.sleep(silence.after)
        runs_by_request = _runs_by_request(deployment)
        for name in silence.names:
            engine = deployment.engines_by_name.get(name)
            if engine is None:
                continue
            for run in engine.runs:
                if run.is_stream and run.is_running and run.done >= BEGUN_TOKENS:
                    runs = runs_by_request[run.request_id]
                    runs_by_begun.setdefault(run.request_id, runs)
        deployment.silence(silence.names)
        await asyncio.sleep(silence.seconds)
        await deployment.end_silence(silence.names)
    return runs_by_begun


def _runs_by_request(deployment: Deployment) -> Counter[str]:
    engines = deployment.engines_by_name.values()
    return Counter(run.request_id for engine in engines for run in engine.runs)


def _statements(deployment: Deployment, vm: str) -> tuple[str, ...]:
    """Return statements of which each changes another part of the configuration."""
    account = min(deployment.shape.budgets)
    engine = min(deployment.engines_by_name)
    return (
        f"top up {account} by 10",
        f"set account {account} weight 2",
        f"drain vm {vm}",
        f"undrain vm {vm}",
        f"drain upstream {engine}",
        f"undrain upstream {engine}",
    )


async def _change_configuration(deployment: Deployment) -> None:
    """Change the configuration by an operator's statements.

    The first router of the first data centre runs all the time, its last one is drained
    and back.
    """
    vms = sorted(deployment.routers_by_vm)
    for statement in itertools.cycle(_statements(deployment, vms[-1])):
        await asyncio.sleep(CHANGE_SECONDS)
        await deployment.operate(vms[0], statement)


async def _reload_settings(deployment: Deployment) -> None:
    for share in itertools.cycle(RETRY_SHARES):
        await asyncio.sleep(RELOAD_SECONDS)
        for vm in list(deployment.routers_by_vm):
            deployment.reload_settings(vm, retry_share=share)


async def _restart_routers(deployment: Deployment) -> None:
    """Stop and start the second router of each data centre, one after the other."""
    for data_centre in deployment.data_centres:
        vm = f"{data_centre}-2"
        await deployment.stop_router(vm)
        await deployment.start_router(vm)
        await deployment.wait_until_ready()
