"""Command-line client for operators.

Exit statuses: 0 done, 1 not done, 2 errors in the statement or the arguments,
4 outcome unknown, 5 no router answered, 6 rows incomplete.
"""

from __future__ import annotations

import getpass
import json
import os
import sys
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from importlib.metadata import version
from pathlib import Path
from typing import Any

import defopt
from rich.console import Console
from rich.table import Table

from lynxchute.config.role import Role
from lynxchute.edge.platform import Platform
from lynxchute.event_loop import run as run_loop
from lynxchute.http import ExchangeError, HttpClient
from lynxchute.operators import runner
from lynxchute.operators.collections import COLUMNS_BY_COLLECTION
from lynxchute.operators.language import KEYWORDS, parse
from lynxchute.operators.runner import StatementRunner
from lynxchute.operators.service import COMMANDS_PATH
from lynxchute.operators.statements import DropAccount, SetDraining

KEY_VARIABLE = "LYNXCHUTE_KEY"
ROUTERS_VARIABLE = "LYNXCHUTE_ROUTERS"
STORE_VARIABLE = "LYNXCHUTE_STORE"
# Subcommand that reads log files and contacts no router.
EXPLAIN = "explain"
VERSION = "--version"
EXIT_DONE = 0
EXIT_NOT_DONE = 1
EXIT_MISTAKES = 2
EXIT_UNKNOWN = 4
EXIT_UNREACHED = 5
EXIT_INCOMPLETE = 6

EXIT_BY_STATE = {
    runner.DONE: EXIT_DONE,
    runner.ROWS: EXIT_DONE,
    runner.NOT_DONE: EXIT_NOT_DONE,
    runner.MISTAKES: EXIT_MISTAKES,
    runner.UNKNOWN: EXIT_UNKNOWN,
}


class Client(ABC):
    """Interface for executing statements."""

    @abstractmethod
    def run(self, statement: str) -> dict[str, Any] | None:
        """Return the answer to a statement; None if nothing answered."""


class RouterClient(Client):
    """Send statements to the first reachable router.

    Parameters
    ----------
    routers
        Addresses on which the routers accept callers, as ``host:port``.
    key
        API key of the operator.
    """

    def __init__(self, routers: list[str], key: str) -> None:
        self._routers = routers
        self._headers = [("Authorization", f"Bearer {key}")]

    def run(self, statement: str) -> dict[str, Any] | None:
        """Return the answer to a statement; None if no router answered.

        A statement that may have reached a router is not retried on another one.
        """
        return run_loop(self._run(statement))

    async def _run(self, statement: str) -> dict[str, Any] | None:
        for address in self._routers:
            client = HttpClient(address)
            try:
                _, answer = await client.post_json(
                    COMMANDS_PATH, {"statement": statement}, headers=self._headers
                )
            except ExchangeError as error:
                if error.sent:
                    detail = f"{address} gave no answer; repeat with the same id."
                    return {"state": runner.UNKNOWN, "detail": detail}
                continue
            finally:
                client.close()
            found: dict[str, Any] = answer
            return found
        return None


class StoreClient(Client):
    """Execute statements directly on the store, without a router.

    Anyone with network access to the store may read the rows and, if the
    configuration is in the format of this product, change it.

    Parameters
    ----------
    make_platform
        Returns the platform, which names the store and decodes its rows.
    """

    def __init__(self, make_platform: Callable[[], Platform]) -> None:
        self._make_platform = make_platform

    def run(self, statement: str) -> dict[str, Any] | None:
        """Return the answer to a statement, executed in this process."""
        return run_loop(self._run(statement))

    async def _run(self, statement: str) -> dict[str, Any]:
        platform = self._make_platform()
        try:
            answer = await StatementRunner(platform).run(
                statement, operator=getpass.getuser(), role=Role.CONFIGURE
            )
        finally:
            platform.store.close()
        return answer.to_json()


def exit_status(answer: dict[str, Any] | None) -> int:
    """Return the exit status of the process for an answer."""
    if answer is None:
        return EXIT_UNREACHED
    if answer["state"] == runner.ROWS and answer.get("missing"):
        return EXIT_INCOMPLETE
    return EXIT_BY_STATE.get(answer["state"], EXIT_NOT_DONE)


def print_answer(
    answer: dict[str, Any] | None, console: Console, *, as_json: bool
) -> None:
    """Print an answer as text or a table, or as JSON."""
    if as_json:
        print(json.dumps(answer))
        return
    if answer is None:
        console.print("Nobody answered. Check the addresses given.")
        return
    if answer["state"] != runner.ROWS:
        console.print(f"{answer['state']}: {answer['detail']}", markup=False)
        if answer.get("operation"):
            console.print(f"operation {answer['operation']}", markup=False)
    else:
        console.print(_render_table(answer))
    if answer.get("missing"):
        missing = ", ".join(answer["missing"])
        console.print(f"INCOMPLETE: nothing from {missing}", markup=False)


def _render_table(answer: dict[str, Any]) -> Table:
    read_at = time.strftime("%H:%M:%S", time.localtime(answer["taken_at"]))
    table = Table(caption=f"as of {read_at}")
    for column in answer["columns"]:
        table.add_column(column)
    for row in answer["rows"]:
        cells = [row.get(column) for column in answer["columns"]]
        table.add_row(*["" if cell is None else str(cell) for cell in cells])
    return table


def needs_confirmation(statement: str) -> bool:
    """Return whether a statement drops an account or starts a drain."""
    parsed = parse(statement)
    if parsed.is_error():
        return False
    value = parsed.ok
    if isinstance(value, DropAccount):
        return True
    return isinstance(value, SetDraining) and value.draining


def _is_confirmed(statement: str, *, yes: bool) -> bool:
    if yes or not needs_confirmation(statement):
        return True
    if not sys.stdin.isatty():
        print(f"{statement!r} needs --yes without a terminal.", file=sys.stderr)
        return False
    return input(f"{statement}: are you sure? [y/N] ").strip().lower() == "y"


def _run_prompt(client: Client, console: Console, *, as_json: bool, yes: bool) -> int:
    """Read statements from an interactive prompt until end of input."""
    from prompt_toolkit import PromptSession
    from prompt_toolkit.completion import WordCompleter

    words = sorted({*KEYWORDS, *COLUMNS_BY_COLLECTION})
    session: PromptSession[str] = PromptSession(completer=WordCompleter(words))
    status = EXIT_DONE
    while True:
        try:
            statement = session.prompt("lynxchute> ").strip()
        except (EOFError, KeyboardInterrupt):
            return status
        if statement:
            status = _run_statement(
                client, console, statement, as_json=as_json, yes=yes
            )


def _run_statement(
    client: Client, console: Console, statement: str, *, as_json: bool, yes: bool
) -> int:
    if not _is_confirmed(statement, yes=yes):
        return EXIT_NOT_DONE
    answer = client.run(statement)
    print_answer(answer, console, as_json=as_json)
    return exit_status(answer)


def _read_statements(words: list[str], file: Path | None) -> list[str]:
    if file is not None:
        lines = file.read_text(encoding="utf-8").splitlines()
    elif words:
        lines = [" ".join(words)]
    else:
        lines = sys.stdin.read().splitlines()
    stripped = [line.strip() for line in lines]
    return [line for line in stripped if line and not line.startswith("#")]


def _make_client(routers: str, store: str | None, *, users_platform: bool) -> Client:
    """Return the client to use, or exit with a message naming the missing option."""
    address = store or os.environ.get(STORE_VARIABLE, "")
    if address:
        if users_platform:
            from lynxchute.platform.daemon import make_platform
        else:
            from lynxchute.router import make_platform
        return StoreClient(lambda: make_platform(address))
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        sys.exit(f"Put your operator key into the variable {KEY_VARIABLE}.")
    listed = routers or os.environ.get(ROUTERS_VARIABLE, "")
    addresses = [address.strip() for address in listed.split(",") if address.strip()]
    if not addresses:
        sys.exit(f"Give --router or --store, or put addresses into {ROUTERS_VARIABLE}.")
    return RouterClient(addresses, key)


def run(
    *statement: str,
    router: str = "",
    store: str | None = None,
    users_platform: bool = False,
    file: Path | None = None,
    json: bool = False,
    watch: float = 0.0,
    yes: bool = False,
) -> None:
    """Run operators' statements.

    Parameters
    ----------
    statement
        The statement; without one, statements are read from the file, from
        standard input, or at a prompt.
    router
        Addresses of routers with commas between them, tried in turn; by default
        those in the variable LYNXCHUTE_ROUTERS.
    store
        Address of the store, to work on its rows without a router; by default
        that in the variable LYNXCHUTE_STORE.
    users_platform
        Whether configuration and upstreams stand there as the users' platform
        writes them; they can be shown, not changed.
    file
        A file of statements, one a line.
    json
        Print answers as JSON.
    watch
        Repeat the statement every so many seconds.
    yes
        Ask for no confirmation.
    """
    client = _make_client(router, store, users_platform=users_platform)
    console = Console()
    if not statement and file is None and sys.stdin.isatty():
        sys.exit(_run_prompt(client, console, as_json=json, yes=yes))
    status = EXIT_DONE
    while True:
        for line in _read_statements(list(statement), file):
            status = (
                _run_statement(client, console, line, as_json=json, yes=yes) or status
            )
        if not watch:
            sys.exit(status)
        time.sleep(watch)


def main() -> None:
    """Run the command line."""
    if sys.argv[1:2] == [VERSION]:
        print(f"lynxchute {version('lynxchute')}")
        return
    if sys.argv[1:2] == [EXPLAIN]:
        from lynxchute.explain import command

        command.main(sys.argv[2:])
        return
    defopt.run(run, short={"json": "j", "yes": "y", "router": "r"})


if __name__ == "__main__":
    main()
