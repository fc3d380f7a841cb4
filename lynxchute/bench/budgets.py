"""Compare budget schemes on the same traces of requests and faults.

The router's own ledger runs on a virtual clock against rows in memory, without
sockets. An oracle tracks the true balance: a refusal is false if the balance
covered what the request would have used.
"""

from __future__ import annotations

import heapq
import json

import defopt

from lynxchute.bench.budget_kept import LocalReserveEscrow
from lynxchute.bench.budget_scene import (
    Arrival,
    Fault,
    deployments,
    make_trace,
    scenes,
)
from lynxchute.bench.budget_schemes import SCHEMES, Scheme, Tally

# Interval of a router's periodic writes, in seconds.
WRITE_INTERVAL = 0.5
ALL_SCHEMES: tuple[type[Scheme], ...] = (*SCHEMES, LocalReserveEscrow)


def play(scheme: Scheme, trace: list[Arrival], faults: list[Fault]) -> Tally:
    """Replay a trace with faults on a scheme; return its counts."""
    true_left = dict(scheme.deployment.budgets)
    running: list[tuple[float, int, Arrival]] = []
    pending = sorted(faults, key=lambda fault: fault.at)
    next_tick = 0.0
    for arrival in trace:
        while running and running[0][0] <= arrival.at:
            ended, _, finished = heapq.heappop(running)
            scheme.settle(finished, ended)
        while next_tick <= arrival.at:
            while pending and pending[0].at <= next_tick:
                _apply_fault(scheme, pending.pop(0))
            scheme.tick(next_tick)
            next_tick += WRITE_INTERVAL
        if scheme.reserve(arrival):
            true_left[arrival.account] -= arrival.used
            heapq.heappush(
                running, (arrival.at + arrival.seconds, arrival.number, arrival)
            )
            continue
        if true_left[arrival.account] >= arrival.used:
            scheme.tally.false_refusals += 1
            scheme.tally.partition_refusals += scheme.is_partitioned
        else:
            scheme.tally.right_refusals += 1
    while running:
        ended, _, finished = heapq.heappop(running)
        scheme.settle(finished, ended)
    scheme.tally.overspend = sum(max(-left, 0) for left in true_left.values())
    used = sum(scheme.deployment.budgets.values()) - sum(true_left.values())
    scheme.tally.lost = scheme.counted() - used
    return scheme.tally


def _apply_fault(scheme: Scheme, fault: Fault) -> None:
    if fault.kind == "cut":
        scheme.cut.add(fault.data_centre)
    elif fault.kind == "heal":
        scheme.cut.discard(fault.data_centre)
    elif fault.kind == "apart":
        scheme.cut.add(fault.data_centre)
        scheme.is_partitioned = True
    elif fault.kind == "together":
        scheme.cut.discard(fault.data_centre)
        scheme.is_partitioned = False
    elif fault.kind == "kill":
        scheme.kill(fault.data_centre, fault.at)
    else:
        scheme.restart(fault.data_centre, fault.at)


def _report(
    scheme: Scheme, scene: str, requests: int, seconds: float, tally: Tally
) -> None:
    added = sorted(tally.added_ms) or [0.0]
    line = {
        "policy": scheme.name,
        "deployment": scheme.deployment.name,
        "scene": scene,
        "requests": requests,
        "overspend_tokens": tally.overspend,
        "false_refusals": tally.false_refusals,
        "false_refusals_while_apart": tally.partition_refusals,
        "right_refusals": tally.right_refusals,
        "lost_tokens": tally.lost,
        "store_calls_per_s": round(tally.store_calls / seconds, 2),
        "control_messages_per_request": round(tally.messages / requests, 2),
        "added_ms_p50": added[len(added) // 2],
    }
    print(json.dumps(line), flush=True)


def run(*, seconds: float = 900.0, seed: int = 1) -> None:
    """Compare the budget schemes.

    Parameters
    ----------
    seconds
        Length of the trace; the budgets run out towards its end.
    seed
        Seed of the trace.
    """
    for deployment in deployments():
        for scene, faults in scenes(deployment, seconds).items():
            hot = scene.startswith("hot")
            trace = make_trace(deployment, seconds, seed, hot=hot)
            for scheme_type in ALL_SCHEMES:
                scheme = scheme_type(deployment)
                tally = play(scheme, trace, faults)
                _report(scheme, scene, len(trace), seconds, tally)


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
