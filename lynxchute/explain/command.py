"""The command ``lynxchute explain``.

Exit statuses: 0 success, 1 request not found, 2 invalid log lines or arguments.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from pathlib import Path

import defopt
from rich.console import Console
from rich.table import Table

from lynxchute.explain.attempts import attempts_of_stream
from lynxchute.explain.log_lines import LogLine, LogReader
from lynxchute.explain.losses import Losses
from lynxchute.explain.payers import OutcomeTallies, OutcomeTally

EXIT_DONE = 0
EXIT_NOT_FOUND = 1
EXIT_INVALID = 2
# Maximum rows of a table, which begins with the most lost and late requests. Large
# fleets have hundreds of VMs.
MAX_ROWS = 15
# Fields not printed among the details of a log line: shown elsewhere or not needed.
HIDDEN_FIELDS = frozenset({"time", "level", "event", "vm", "request_id"})


def _read_lines(
    files: list[Path], reader: LogReader, stack: ExitStack
) -> Iterator[LogLine]:
    if not files:
        yield from reader.read(sys.stdin, "standard input")
    for file in files:
        opened = stack.enter_context(file.open(encoding="utf-8", errors="replace"))
        yield from reader.read(opened, str(file))


def _explain_request(
    lines: Iterable[LogLine], files: list[Path], request_id: str, console: Console
) -> bool:
    """Print all attempts at the stream of a request; return whether any were found."""
    if not files:
        # Standard input can be read only once.
        lines = list(lines)
        return _print_request(lines, attempts_of_stream(lines, request_id), console)
    attempts = attempts_of_stream(lines, request_id)
    with ExitStack() as stack:
        again = _read_lines(files, LogReader(), stack)
        return _print_request(again, attempts, console)


def _print_request(
    lines: Iterable[LogLine], request_ids: set[str], console: Console
) -> bool:
    """Print the log lines of attempts by time; return whether any were found."""
    matching = sorted(
        (line for line in lines if line.request_id in request_ids),
        key=lambda line: line.time,
    )
    for line in matching:
        elapsed = line.time - matching[0].time
        details = []
        for name, value in line.fields.items():
            if name not in HIDDEN_FIELDS:
                details.append(f"{name}={value}")
        attempt = f"{line.request_id}  " if len(request_ids) > 1 else ""
        vm = line.fields.get("vm", "")
        text = f"{elapsed:8.3f} s  {attempt}{vm}  {line.event}: {', '.join(details)}"
        console.print(text, markup=False, soft_wrap=True)
    return bool(matching)


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
    intervals = Table(title=f"by moment, {losses.step:g} s each")
    intervals.add_column("from second")
    intervals.add_column("requests by cause")
    first = min(losses.by_interval(), default=0)
    for interval, causes in losses.by_interval().items():
        details = ", ".join(f"{cause} {count}" for cause, count in causes.most_common())
        intervals.add_row(str(interval - first), details)
    console.print(intervals)
    console.print(f"{sum(losses.requests.values())} requests in all")


def _print_payers(payers: OutcomeTallies, console: Console) -> None:
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


def _cells(tally: OutcomeTally) -> list[str]:
    causes = tally.lost_by_cause.most_common()
    details = ", ".join(f"{cause} {count}" for cause, count in causes)
    return [str(tally.requests), str(tally.late), str(tally.lost), details]


def run(
    *file: Path,
    request: str = "",
    lost: bool = False,
    payers: bool = False,
    step: float = 4.0,
) -> None:
    """Explain the outcomes of requests from router logs.

    Parameters
    ----------
    file
        Log files of routers; standard input if none is given.
    request
        Print all log lines of the request with this id, and of the other attempts at
        the same stream.
    lost
        Count the requests that were not on time, by route, cause and time interval.
    payers
        Count outcomes of requests by data centre, VM, client account and route.
    step
        Length of a time interval in the table of lost requests, in seconds.
    """
    console = Console(width=None if sys.stdout.isatty() else 140)
    if not request and not lost and not payers:
        print("say --request ID, --lost or --payers", file=sys.stderr)
        sys.exit(EXIT_INVALID)
    reader = LogReader()
    has_lines = True
    with ExitStack() as stack:
        lines = _read_lines(list(file), reader, stack)
        if request:
            has_lines = _explain_request(lines, list(file), request, console)
        elif payers:
            counts = OutcomeTallies()
            for line in lines:
                counts.add_line(line)
            _print_payers(counts, console)
        else:
            losses = Losses(step=step)
            for line in lines:
                losses.add_line(line)
            _print_losses(losses, console)
    for finding in reader.findings:
        print(finding, file=sys.stderr)
    if reader.invalid_count:
        print(f"{reader.invalid_count} lines are no router's", file=sys.stderr)
        sys.exit(EXIT_INVALID)
    if not has_lines:
        print(f"no line is about request {request}", file=sys.stderr)
    sys.exit(EXIT_DONE if has_lines else EXIT_NOT_FOUND)


def main(arguments: list[str]) -> None:
    """Run the command line.

    Parameters
    ----------
    arguments
        Arguments after ``lynxchute explain``.
    """
    defopt.run(run, argv=arguments)
