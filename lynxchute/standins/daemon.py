"""The daemon of the stand-ins."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import attrs
import defopt
from expression import Result

from lynxchute._logs import log_json_lines
from lynxchute._structure import Finding, load_document, option
from lynxchute.application import end_on_signals
from lynxchute.http import (
    BadRequest,
    HttpServer,
    Request,
    Responder,
    not_found,
)
from lynxchute.ledger import budget_key, empty_budget
from lynxchute.settings import Address
from lynxchute.standins.engine import EngineServer
from lynxchute.standins.link import Link
from lynxchute.standins.service import ServiceServer
from lynxchute.standins.table import WRITES_PER_SECOND, TableServer, TableStore

EXIT_SETTINGS = 2
EXIT_KILLED = 3
CUTS_PATH = "/cuts"


@attrs.frozen
class EngineSettings:
    """A stand-in model engine."""

    address: Address = option(doc="Where it listens.")
    models: tuple[str, ...] = option(doc="The models that it has loaded.")
    first_token_delay: float = option(
        default=0.05, low=0.0, doc="Seconds until the first token."
    )
    token_delay: float = option(
        default=0.02, low=0.0, doc="Seconds between two tokens."
    )


@attrs.frozen
class ServiceSettings:
    """A stand-in plain service."""

    address: Address = option(doc="Where it listens.")


@attrs.frozen
class LinkSettings:
    """A relay that stands for the network between two places."""

    source: str = option(doc="The data centre that it leads from.")
    target: str = option(doc="The data centre, or 'platform', that it leads to.")
    address: Address = option(doc="Where it listens.")
    to: Address = option(doc="Where it relays to.")
    delay: float = option(default=0.0, low=0.0, doc="Seconds in each direction.")


@attrs.frozen
class StandinSettings:
    """Everything that the stand-ins are told at their start."""

    table: Address = option(doc="Where the table service listens.")
    control: Address = option(doc="Where links are cut and healed over HTTP.")
    writes_per_second: int = option(
        default=WRITES_PER_SECOND, low=1, doc="Transactions that the table takes."
    )
    engines: tuple[EngineSettings, ...] = option(factory=tuple, doc="Model engines.")
    services: tuple[ServiceSettings, ...] = option(factory=tuple, doc="Plain services.")
    links: tuple[LinkSettings, ...] = option(
        factory=tuple, doc="The network between the data centres."
    )
    budgets: dict[str, int] = option(
        factory=dict, doc="Tokens that client accounts have paid at the start."
    )


def load_standin_settings(
    text: str, file: str
) -> Result[StandinSettings, tuple[Finding, ...]]:
    """Return the settings of the stand-ins, or all that is wrong with them."""
    return load_document(text, StandinSettings, file)


class Standins:
    """All the stand-ins of one settings file.

    Parameters
    ----------
    settings
        What they are told.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        store = TableStore()
        for account, tokens in settings.budgets.items():
            row = {**empty_budget(), "paid": tokens, "free": tokens}
            store.rows_by_key[budget_key(account)] = row
        table = TableServer(store, writes_per_second=settings.writes_per_second)
        self._servers: list[tuple[HttpServer, Address]] = [
            (table.server, settings.table),
            (HttpServer(self._control), settings.control),
        ]
        for engine in settings.engines:
            server = EngineServer(
                engine.models,
                first_token_delay=engine.first_token_delay,
                token_delay=engine.token_delay,
            )
            self._servers.append((server.server, engine.address))
        for service in settings.services:
            self._servers.append((ServiceServer().server, service.address))
        self._links = [
            (link, Link(str(link.to), delay=link.delay)) for link in settings.links
        ]

    async def start(self) -> None:
        """Begin to listen everywhere."""
        for server, address in self._servers:
            await server.start(address.host, address.port)
        for settings, link in self._links:
            await link.start(settings.address.host, settings.address.port)

    async def stop(self) -> None:
        """Stop everything."""
        for _, link in self._links:
            await link.stop()
        for server, _ in self._servers:
            await server.kill()

    async def _control(self, request: Request, respond: Responder) -> None:
        """Show the cuts, or cut and heal links with a POST.

        The body is ``{"data_centre": "kyu-c", "cut": true}``, or with
        ``source`` and ``target`` for one direction only.
        """
        if request.path != CUTS_PATH:
            await not_found(request, respond)
            return
        if request.method == "POST":
            self._cut(request.json())
        shown = []
        for settings, link in self._links:
            shown.append(
                {"source": settings.source, "target": settings.target, "cut": link.cut}
            )
        await respond.json(200, shown)

    def _cut(self, value: Any) -> None:
        if not isinstance(value, dict) or not isinstance(value.get("cut"), bool):
            raise BadRequest(
                422, "give 'cut' and a data centre, or a source and target"
            )
        place = value.get("data_centre")
        ends = (value.get("source"), value.get("target"))
        for settings, link in self._links:
            both = (settings.source, settings.target)
            if settings.source == settings.target:
                continue
            if place in both or both == ends:
                link.set_cut(value["cut"])


async def serve(settings: StandinSettings) -> None:
    """Run the stand-ins until told to stop."""
    ended = asyncio.Event()
    end_on_signals(ended.set, lambda: os._exit(EXIT_KILLED))
    standins = Standins(settings)
    await standins.start()
    await ended.wait()
    await standins.stop()


def run(settings: Path, *, check: bool = False) -> None:
    """Run the stand-ins for platform, engines, services and links.

    Parameters
    ----------
    settings
        The YAML file with their settings.
    check
        Only check the settings.
    """
    result = load_standin_settings(settings.read_text(encoding="utf-8"), str(settings))
    if result.is_error():
        for finding in result.error:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if check:
        print(f"{settings}: in order")
        return
    log_json_lines(process="standins")
    asyncio.run(serve(result.ok))


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
