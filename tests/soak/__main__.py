"""Run several seeds of the soak test and print the violations that they found."""

import asyncio
import collections
import json
import pathlib
import sys
import time

import defopt

from lynxchute.event_loop import run as run_loop
from tests.soak.run import run_seed


def main(
    *,
    seeds: int = 3,
    seed: int = 0,
    seconds: float = 15.0,
    routers: int = 4,
    at_once: int = 2,
    keep: pathlib.Path = pathlib.Path("soak-logs"),
) -> None:
    """Run the soak test for a range of seeds.

    Parameters
    ----------
    seeds
        Number of seeds to run.
    seed
        First seed; 0 takes the current time in seconds.
    seconds
        Seconds during which faults are injected for each seed.
    routers
        Number of router processes for each seed.
    at_once
        Number of seeds that run concurrently.
    keep
        Directory for the router logs of seeds with a violation.
    """
    first_seed = seed or int(time.time())
    reports = run_loop(
        _run_seeds(
            range(first_seed, first_seed + seeds), seconds, routers, at_once, keep
        )
    )
    violations = collections.Counter()
    for report in reports:
        violations.update(report.violations)
    failed = [report.seed for report in reports if report.violations]
    requests = sum(report.requests for report in reports)
    summary = {
        "seeds": seeds,
        "failed": failed,
        "requests": requests,
        "broken": dict(violations),
    }
    print(json.dumps(summary))
    sys.exit(1 if failed else 0)


async def _run_seeds(seeds, seconds, routers, at_once, keep):
    slots = asyncio.Semaphore(at_once)

    async def run_one(seed):
        async with slots:
            report = await run_seed(seed, seconds=seconds, routers=routers, keep=keep)
        served_share = report.served / max(report.requests, 1)
        faults = sum(report.faults.values())
        print(
            f"seed {seed}: {report.requests} requests, {served_share:.2f} served, "
            f"{faults} faults, broken: {report.violations or 'nothing'}",
            flush=True,
        )
        for detail in report.violation_details:
            print(f"  {detail}", flush=True)
        return report

    return await asyncio.gather(*(run_one(seed) for seed in seeds))


if __name__ == "__main__":
    defopt.run(main)
