"""Compare placement policies on emulated engines, with paired seeds.

Each seed gives one trace of requests, on which every policy runs. Differences are
computed seed by seed, so that the variation between traces cancels out.
"""

from __future__ import annotations

import json
import math
import os
import statistics
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import attrs
import defopt
from rich.console import Console
from rich.progress import track
from rich.table import Table

from lynxchute.bench.emulator.play import Play
from lynxchute.bench.emulator.policies import POLICIES_BY_NAME
from lynxchute.bench.emulator.results import Figures, figures_by_kind
from lynxchute.bench.emulator.scenario import Scenario, read_scenario

# Two-sided 95% quantiles of Student's t distribution, by degrees of freedom from 1; for
# more degrees, the quantile of the normal distribution is used.
T_POINTS = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
NORMAL_POINT = 1.96
EXIT_FINDINGS = 2
COLUMNS = ("value", "on_time", "late_first", "late_pause", "refused", "failed")


@attrs.frozen
class Job:
    """One simulation run: a scenario, a policy and a seed."""

    scenario: Scenario
    policy: str
    seed: int


@attrs.frozen
class Interval:
    """A mean, and half the width of its 95% confidence interval."""

    mean: float
    half_width: float

    def __str__(self) -> str:
        return f"{self.mean:+.3f} ± {self.half_width:.3f}"


def play_job(job: Job) -> dict[str, Figures]:
    """Run one simulation; return the figures of each kind of request."""
    return figures_by_kind(
        Play(job.scenario, POLICIES_BY_NAME[job.policy], job.seed).run()
    )


def interval(values: list[float]) -> Interval:
    """Return the mean of some values with its 95% confidence interval.

    Examples
    --------
    >>> str(interval([0.1, 0.1, 0.1]))
    '+0.100 ± 0.000'
    """
    mean = statistics.fmean(values)
    if len(values) < 2:
        return Interval(mean, math.inf)
    degrees = len(values) - 1
    point = T_POINTS[degrees - 1] if degrees <= len(T_POINTS) else NORMAL_POINT
    error = statistics.stdev(values) / math.sqrt(len(values))
    return Interval(mean, point * error)


def play_all(jobs: list[Job], processes: int) -> list[dict[str, Figures]]:
    """Run all simulations in parallel; return their figures in the same order."""
    if processes <= 1:
        return [play_job(job) for job in jobs]
    with ProcessPoolExecutor(processes) as pool:
        all_figures = pool.map(play_job, jobs)
        tracked = track(
            all_figures,
            total=len(jobs),
            description="playing",
            console=Console(stderr=True),
            disable=not sys.stderr.isatty(),
        )
        return list(tracked)


def _mean(matching: Iterable[Figures], column: str) -> float:
    return statistics.fmean(getattr(figures, column) for figures in matching)


def _print_scenario(
    name: str, policies: list[str], by_policy: dict[str, list[dict[str, Figures]]]
) -> None:
    table = Table(title=name)
    titles = ("policy", "requests", *COLUMNS, "read again", "p95 ms", "worst tenth")
    for title in (*titles, f"value less {policies[0]}'s"):
        table.add_column(title, justify="left" if title == "policy" else "right")
    for policy in policies:
        all_figures = by_policy[policy]
        for kind in all_figures[0]:
            matching = [figures[kind] for figures in all_figures]
            first = [figures[kind] for figures in by_policy[policies[0]]]
            pairs = zip(matching, first, strict=True)
            difference = interval([own.value - other.value for own, other in pairs])
            table.add_row(
                policy if kind == "all" else "",
                kind,
                *(f"{_mean(matching, column):.3f}" for column in COLUMNS),
                f"{_mean(matching, 'read_again_per_request'):.0f}",
                f"{_mean(matching, 'first_event_ms_p95'):.0f}",
                f"{_mean(matching, 'worst_tenth'):.3f}",
                "" if policy == policies[0] else str(difference),
            )
    Console(width=160).print(table)


def run(
    *scenario: str,
    policy: list[str] | None = None,
    seeds: int = 5,
    first_seed: int = 0,
    processes: int = max((os.cpu_count() or 2) // 2, 1),
    out: Path | None = None,
) -> None:
    """Simulate scenarios with several policies and print the results for callers.

    Parameters
    ----------
    scenario
        Names of scenarios, or paths of their files.
    policy
        The policies to run; the others are compared with the first one. Default: all.
    seeds
        Number of traces of each scenario.
    first_seed
        The seed of the first trace.
    processes
        Number of parallel simulations; default: half of the processors.
    out
        A file for one line of JSON for each simulation and kind of request.
    """
    policies = policy or list(POLICIES_BY_NAME)
    unknown = sorted(set(policies) - set(POLICIES_BY_NAME))
    if unknown:
        known = ", ".join(POLICIES_BY_NAME)
        print(f"no policy is called {', '.join(unknown)}; known: {known}")
        sys.exit(EXIT_FINDINGS)
    lines = []
    for name in scenario:
        result = read_scenario(name)
        if result.is_error():
            print("\n".join(str(finding) for finding in result.error))
            sys.exit(EXIT_FINDINGS)
        jobs = []
        for chosen in policies:
            for seed in range(first_seed, first_seed + seeds):
                jobs.append(Job(result.ok, chosen, seed))
        all_figures = play_all(jobs, processes)
        by_policy: dict[str, list[dict[str, Figures]]] = {}
        for job, figures in zip(jobs, all_figures, strict=True):
            by_policy.setdefault(job.policy, []).append(figures)
            lines.extend(_lines(job, figures))
        _print_scenario(result.ok.name, policies, by_policy)
    if out is not None:
        out.write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")


def _lines(job: Job, figures: dict[str, Figures]) -> list[str]:
    lines = []
    for kind, values in figures.items():
        head = {
            "scenario": job.scenario.name,
            "policy": job.policy,
            "seed": job.seed,
            "requests": kind,
        }
        lines.append(json.dumps({**head, **attrs.asdict(values)}))
    return lines


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
