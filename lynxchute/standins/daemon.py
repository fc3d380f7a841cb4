"""The daemon that runs the stand-ins of one settings file."""

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

    name: str = option(doc="Its name in the routers' configuration.")
    address: Address = option(doc="The address on which it listens.")
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

    name: str = option(doc="Its name in the routers' configuration.")
    address: Address = option(doc="The address on which it listens.")


@attrs.frozen
class LinkSettings:
    """A relay that simulates a network link of a data centre."""

    data_centre: str = option(doc="The data centre that it belongs to.")
    address: Address = option(doc="The address on which it listens.")
    to: Address = option(doc="The address to which it relays connections.")
    delay: float = option(
        default=0.0, low=0.0, doc="Seconds of delay in each direction."
    )


@attrs.frozen
class StandinSettings:
    """The settings of the stand-ins' daemon."""

    store: Address = option(doc="The address on which the platform's store listens.")
    control: Address = option(
        doc="The address on which links are cut and restored over HTTP."
    )
    engines: tuple[EngineSettings, ...] = option(factory=tuple, doc="Model engines.")
    services: tuple[ServiceSettings, ...] = option(factory=tuple, doc="Plain services.")
    links: tuple[LinkSettings, ...] = option(
        factory=tuple, doc="Links of the routers to the store and to one another."
    )


def load_standin_settings(
    text: str, file: str
) -> Result[StandinSettings, tuple[Finding, ...]]:
    """Return the stand-ins' settings, or every error found in them."""
    return load_document(text, StandinSettings, file)


class Standins:
    """Run all stand-ins of one settings file.

    Parameters
    ----------
    settings
        The addresses and parameters of the stand-ins.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._store = PlatformStoreStandin()
        self._control_server = HttpServer(self._handle_control)
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
        """Open all listening ports."""
        settings = self._settings
        await self._store.open_port(settings.store.host, settings.store.port)
        await self._control_server.start(settings.control.host, settings.control.port)
        for upstream, address in self._upstreams:
            await upstream.server.start(address.host, address.port)
        for link_settings, link in self._links:
            await link.start(link_settings.address.host, link_settings.address.port)

    async def stop(self) -> None:
        """Stop all stand-ins."""
        for _, link in self._links:
            await link.stop()
        for upstream, _ in self._upstreams:
            await upstream.server.kill()
        await self._control_server.kill()
        await self._store.close()

    async def _handle_control(self, request: Request, respond: Responder) -> None:
        """Return the state of the links; a POST cuts or restores a data centre's links.

        The body is ``{"data_centre": "kyu-c", "cut": true}``.
        """
        if request.path != CUTS_PATH:
            await not_found(request, respond)
            return
        if request.method == "POST":
            self._set_cut(request.json())
        link_states = []
        for settings, link in self._links:
            link_states.append(
                {
                    "data_centre": settings.data_centre,
                    "to": str(settings.to),
                    "cut": link.cut,
                }
            )
        await respond.json(200, link_states)

    def _set_cut(self, value: Any) -> None:
        if not isinstance(value, dict) or not isinstance(value.get("cut"), bool):
            raise BadRequest(422, "give 'data_centre' and 'cut'")
        for settings, link in self._links:
            if settings.data_centre == value.get("data_centre"):
                log_event("link cut", to=str(settings.to), cut=value["cut"])
                link.set_cut(value["cut"])


async def serve(settings: StandinSettings) -> None:
    """Run the stand-ins until a stop signal arrives."""
    stopped = asyncio.Event()
    install_stop_handlers(stopped.set, lambda: os._exit(EXIT_KILLED))
    standins = Standins(settings)
    await standins.start()
    log_event("started", pid=os.getpid())
    await stopped.wait()
    await standins.stop()
    log_event("ended")


def run(settings: Path, *, check: bool = False) -> None:
    """Run the stand-ins of the store, engines, services and links.

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
