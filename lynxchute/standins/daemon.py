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

from lynxchute._structure import Finding, load_document, option
from lynxchute.address import Address
from lynxchute.application import install_stop_handlers
from lynxchute.event_loop import run as run_loop
from lynxchute.http import (
    BadRequest,
    HttpServer,
    Request,
    Responder,
    not_found,
)
from lynxchute.standins.engine import EngineServer
from lynxchute.standins.link import Link
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.service import ServiceServer
from lynxchute.standins.upstream import UpstreamServer
from lynxchute.telemetry import log_event, log_to_stdout

EXIT_SETTINGS = 2
EXIT_KILLED = 3
CUTS_PATH = "/cuts"


@attrs.frozen
class EngineSettings:
    """A stand-in model engine."""

    name: str = option(doc="The name under which routers know it.")
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

    name: str = option(doc="The name under which routers know it.")
    address: Address = option(doc="Where it listens.")


@attrs.frozen
class LinkSettings:
    """A relay that stands for a link of a data centre."""

    data_centre: str = option(doc="The data centre that it belongs to.")
    address: Address = option(doc="Where it listens.")
    to: Address = option(doc="Where it relays to.")
    delay: float = option(default=0.0, low=0.0, doc="Seconds in each direction.")


@attrs.frozen
class StandinSettings:
    """Everything that the stand-ins are told at their start."""

    store: Address = option(doc="Where the platform's store listens.")
    control: Address = option(doc="Where links are cut and healed over HTTP.")
    engines: tuple[EngineSettings, ...] = option(factory=tuple, doc="Model engines.")
    services: tuple[ServiceSettings, ...] = option(factory=tuple, doc="Plain services.")
    links: tuple[LinkSettings, ...] = option(
        factory=tuple, doc="Links of the routers to the store and to one another."
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
        self._store = PlatformStoreStandin()
        self._control_server = HttpServer(self._control)
        self._upstreams: list[tuple[UpstreamServer, Address]] = []
        for engine in settings.engines:
            server = EngineServer(
                engine.name,
                engine.models,
                first_token_delay=engine.first_token_delay,
                token_delay=engine.token_delay,
            )
            self._upstreams.append((server, engine.address))
        for service in settings.services:
            self._upstreams.append((ServiceServer(service.name), service.address))
        self._links = [
            (link, Link(str(link.to), delay=link.delay)) for link in settings.links
        ]

    async def start(self) -> None:
        """Begin to listen everywhere."""
        settings = self._settings
        await self._store.open_port(settings.store.host, settings.store.port)
        await self._control_server.start(settings.control.host, settings.control.port)
        for upstream, address in self._upstreams:
            await upstream.server.start(address.host, address.port)
        for link_settings, link in self._links:
            await link.start(link_settings.address.host, link_settings.address.port)

    async def stop(self) -> None:
        """Stop everything."""
        for _, link in self._links:
            await link.stop()
        for upstream, _ in self._upstreams:
            await upstream.server.kill()
        await self._control_server.kill()
        await self._store.close()

    async def _control(self, request: Request, respond: Responder) -> None:
        """Show the cuts, or cut and heal a data centre's links with a POST.

        The body is ``{"data_centre": "kyu-c", "cut": true}``.
        """
        if request.path != CUTS_PATH:
            await not_found(request, respond)
            return
        if request.method == "POST":
            self._cut(request.json())
        shown = []
        for settings, link in self._links:
            shown.append(
                {
                    "data_centre": settings.data_centre,
                    "to": str(settings.to),
                    "cut": link.cut,
                }
            )
        await respond.json(200, shown)

    def _cut(self, value: Any) -> None:
        if not isinstance(value, dict) or not isinstance(value.get("cut"), bool):
            raise BadRequest(422, "give 'data_centre' and 'cut'")
        for settings, link in self._links:
            if settings.data_centre == value.get("data_centre"):
                log_event("link cut", to=str(settings.to), cut=value["cut"])
                link.set_cut(value["cut"])


async def serve(settings: StandinSettings) -> None:
    """Run the stand-ins until told to stop."""
    ended = asyncio.Event()
    install_stop_handlers(ended.set, lambda: os._exit(EXIT_KILLED))
    standins = Standins(settings)
    await standins.start()
    log_event("started", pid=os.getpid())
    await ended.wait()
    await standins.stop()
    log_event("ended")


def run(settings: Path, *, check: bool = False) -> None:
    """Run the stand-ins for store, engines, services and links.

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
    log_to_stdout(process="standins")
    run_loop(serve(result.ok))


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
