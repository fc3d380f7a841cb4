"""The command ``lynxchute explain``.

Exit statuses: 0 done, 1 nothing found, 2 lines that are no router's.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import defopt
from rich.console import Console
from rich.table import Table

from lynxchute.explain.log_lines import LogLine, LogReader
from lynxchute.explain.losses import Losses
from lynxchute.explain.payers import Payers, Tally

EXIT_DONE = 0
EXIT_NOTHING = 1
EXIT_STRANGE = 2
# Rows of a table, those that lost most first; large fleets have hundreds of VMs.
MAX_ROWS = 15
# What each line says of itself and the story need not repeat.
NOT_TOLD = frozenset({"time", "level", "event", "vm", "request_id"})


def _lines(files: list[Path], reader: LogReader, stack: ExitStack) -> Iterator[LogLine]:
    if not files:
        yield from reader.read(sys.stdin, "standard input")
    for file in files:
        opened = stack.enter_context(file.open(encoding="utf-8", errors="replace"))
        yield from reader.read(opened, str(file))


def _tell(lines: Iterator[LogLine], request_id: str, console: Console) -> bool:
    """Print a request's lines in order; return whether there were any."""
    found = sorted(
        (line for line in lines if line.request_id == request_id),
        key=lambda line: line.time,
    )
    for line in found:
        since = line.time - found[0].time
        told = []
        for name, value in line.fields.items():
            if name not in NOT_TOLD:
                told.append(f"{name}={value}")
        vm = line.fields.get("vm", "")
        text = f"{since:8.3f} s  {vm}  {line.event}: {', '.join(told)}"
        console.print(text, markup=False, soft_wrap=True)
    return bool(found)


def _print_losses(losses: Losses, console: Console) -> None:
    table = Table(title="requests that were not on time")
    for title in ("route", "cause", "requests", "share of the route"):
        table.add_column(
            title, justify="left" if title in ("route", "cause") else "right"
        )
    for (route, cause), count in losses.by_cause().most_common():
        share = count / losses.requests[route]
        table.add_row(route, cause, str(count), f"{share:.1%}")
    console.print(table)
    moments = Table(title=f"by moment, {losses.step:g} s each")
    moments.add_column("from second")
    moments.add_column("requests by cause")
    first = min(losses.by_moment(), default=0)
    for moment, causes in losses.by_moment().items():
        told = ", ".join(f"{cause} {count}" for cause, count in causes.most_common())
        moments.add_row(str(moment - first), told)
    console.print(moments)
    console.print(f"{sum(losses.requests.values())} requests in all")


def _print_payers(payers: Payers, console: Console) -> None:
    tallies_by_dimension = {
        "data centre": payers.by_data_centre(),
        "VM": payers.by_vm,
        "client account": payers.by_account,
        "route": payers.by_route,
    }
    for dimension, tallies in tallies_by_dimension.items():
        table = Table(title=f"by {dimension}")
        for title in (dimension, "requests", "late", "not served", "why"):
            is_text = title in (dimension, "why")
            table.add_column(title, justify="left" if is_text else "right")
        rows = sorted(tallies.items(), key=lambda row: -(row[1].lost + row[1].late))
        for name, tally in rows[:MAX_ROWS]:
            table.add_row(name, *_cells(tally))
        console.print(table)
        if len(rows) > MAX_ROWS:
            console.print(f"and {len(rows) - MAX_ROWS} more that lost less")
    console.print(f"{payers.probes} probes of the configuration")


def _cells(tally: Tally) -> list[str]:
    causes = tally.lost_by_cause.most_common()
    told = ", ".join(f"{cause} {count}" for cause, count in causes)
    return [str(tally.requests), str(tally.late), str(tally.lost), told]


def run(
    *file: Path,
    request: str = "",
    lost: bool = False,
    payers: bool = False,
    step: float = 4.0,
) -> None:
    """Tell from routers' logs what became of requests.

    Parameters
    ----------
    file
        Logs of routers; standard input where none is given.
    request
        Tell the story of the request with this id.
    lost
        Count the requests that were not on time, by route, cause and moment.
    payers
        Count what became of requests by data centre, VM, client account and route.
    step
        Seconds of a moment in the table of those lost.
    """
    console = Console(width=None if sys.stdout.isatty() else 140)
    if not request and not lost and not payers:
        print("say --request ID, --lost or --payers", file=sys.stderr)
        sys.exit(EXIT_STRANGE)
    reader = LogReader()
    is_found = True
    with ExitStack() as stack:
        lines = _lines(list(file), reader, stack)
        if request:
            is_found = _tell(lines, request, console)
        elif payers:
            counts = Payers()
            for line in lines:
                counts.take(line)
            _print_payers(counts, console)
        else:
            losses = Losses(step=step)
            for line in lines:
                losses.take(line)
            _print_losses(losses, console)
    for finding in reader.findings:
        print(finding, file=sys.stderr)
    if reader.strange:
        print(f"{reader.strange} lines are no router's", file=sys.stderr)
        sys.exit(EXIT_STRANGE)
    if not is_found:
        print(f"no line is about request {request}", file=sys.stderr)
    sys.exit(EXIT_DONE if is_found else EXIT_NOTHING)


def main(arguments: list[str]) -> None:
    """Run the command line.

    Parameters
    ----------
    arguments
        What follows ``lynxchute explain``.
    """
    defopt.run(run, argv=arguments)
