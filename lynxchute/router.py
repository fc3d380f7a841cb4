"""Router application of the product's own HTTP interface."""

from __future__ import annotations

import asyncio
import logging

from expression import Error, Ok, Result

from lynxchute.application import BackgroundTask, Component
from lynxchute.callers.dialect import (
    STATEMENT_HEADERS,
    ChatDialect,
    models_body,
)
from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.config.document import FleetDocument, Version
from lynxchute.config.from_document import CHAT_PATH, build_configuration
from lynxchute.edge.application import EdgeApplication
from lynxchute.edge.platform import Platform
from lynxchute.http import ClientPool, Request, Responder
from lynxchute.operators.evacuation_reports import EvacuationReports
from lynxchute.operators.evacuation_restore import EvacuationRestore
from lynxchute.operators.history import (
    CURRENT_KEY,
    CURRENT_TABLE,
    ConfigurationHistory,
)
from lynxchute.operators.restore import RowRewriter
from lynxchute.operators.runner import StatementRunner
from lynxchute.operators.service import COMMANDS_PATH, OperatorService
from lynxchute.platform.store import PlatformStore
from lynxchute.settings import RouterSettings
from lynxchute.store import OutcomeUnknown, Row, StoreRefused, StoreUnavailable
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.load_report import LoadReports
from lynxchute.upstreams.upstream import Upstream

MODELS_PATH = "/v1/models"
READINESS_PATH = "/ready"
# Key prefix of the configuration table's rows that name evacuated data centres.
EVACUATION_PREFIX = "evacuate/"
# Seconds until a failed write of the first configuration is retried.
RETRY_SECONDS = 0.5
# Default for the operator client, which has no settings and sends no chat requests.
DEFAULT_MAX_ANSWER_TOKENS = 4096


def make_platform(
    store: str, *, max_answer_tokens: int = DEFAULT_MAX_ANSWER_TOKENS
) -> Platform:
    """Return the platform of the product's own deployment.

    Parameters
    ----------
    store
        Address of the store as ``IP:port``.
    max_answer_tokens
        Maximum answer length that a caller may request, in tokens.
    """
    return Platform(
        store=PlatformStore(store),
        dialect=ChatDialect(max_answer_tokens),
        configuration_table=CURRENT_TABLE,
        configuration_key=CURRENT_KEY,
        decode_configuration=_decode_configuration,
        upstream_table="",
        decode_upstream=_reject_upstream_row,
        evacuation_prefix=EVACUATION_PREFIX,
        readiness_path=READINESS_PATH,
        make_engines=lambda clients: LoadReports(clients, STATEMENT_HEADERS),
    )


def _decode_configuration(value: bytes) -> Result[Configuration, str]:
    decoded = Version.decode(value)
    if decoded.is_error():
        return Error(decoded.error)
    try:
        return Ok(build_configuration(decoded.ok))
    except KeyError as error:
        return Error(f"the configuration names no service {error}")


def _reject_upstream_row(row: Row) -> Result[Upstream, str]:
    return Error("upstreams are listed in the configuration, not in a table")


class ConfiguredUpstreams(Component):
    """Update the directory from the upstreams listed in the configuration.

    Parameters
    ----------
    directory
        The directory to update.
    clients
        Connection pool; connections to removed upstreams are closed.
    """

    def __init__(self, directory: Directory, clients: ClientPool) -> None:
        self._directory = directory
        self._clients = clients

    def configure(self, configuration: Configuration) -> None:
        """Apply the upstreams of a new configuration version."""
        now = steady_seconds()
        listed = {upstream.id for upstream in configuration.upstreams}
        changed = False
        for upstream in configuration.upstreams:
            changed = self._directory.put(upstream, now) or changed
        for upstream_id in self._directory.entries_by_id:
            if upstream_id not in listed:
                changed = self._directory.remove(upstream_id, now) or changed
        for upstream in self._directory.prune(now):
            self._clients.drop(upstream.address)
        if changed:
            log_event("upstreams listed", count=len(listed))
            self._directory.changed()


class FirstConfiguration(BackgroundTask):
    """Write the initial configuration of a new fleet to the store.

    Parameters
    ----------
    history
        Configuration versions in the store.
    document
        Initial configuration from the settings.
    """

    def __init__(self, history: ConfigurationHistory, document: FleetDocument) -> None:
        super().__init__()
        self._history = history
        self._document = document

    async def _run(self) -> None:
        while True:
            try:
                await self._history.initialize(self._document)
                return
            except (StoreUnavailable, OutcomeUnknown) as error:
                log_event("first configuration not written yet", reason=str(error))
            except StoreRefused as error:
                # A retry would be refused again; an operator must change the settings.
                log_event(
                    "first configuration refused by the store",
                    level=logging.ERROR,
                    reason=str(error),
                )
                return
            await asyncio.sleep(RETRY_SECONDS)


class RouterApplication(EdgeApplication):
    """Router that serves chat completions, plain calls and operator commands.

    Parameters
    ----------
    settings
        Settings of the router.
    started_at
        Start time of the process, in seconds on the steady clock.
    """

    def __init__(
        self, settings: RouterSettings, *, started_at: float | None = None
    ) -> None:
        edge = settings.edge()
        platform = make_platform(
            edge.store, max_answer_tokens=settings.max_answer_tokens
        )
        super().__init__(edge, platform, started_at=started_at)
        self._history = ConfigurationHistory(self.platform.store)
        self.configurations.listeners.append(self._record_version)
        evacuations = EvacuationRestore(self.platform, self.configurations.feed)
        rewriter = RowRewriter((evacuations, self._history))
        self.configurations.restore_listeners.extend(
            (
                self._history.window.observe,
                evacuations.handle_restore,
                rewriter.request,
            )
        )
        first = FirstConfiguration(self._history, settings.configuration)
        self.components[:0] = [first, rewriter]
        reports = EvacuationReports(
            self.evacuations, self.directory, self.members, self.peers, steady_seconds
        )
        reports.serve(self.peer_server)
        self._operators = OperatorService(
            StatementRunner(
                self.platform,
                reports.gather,
                lambda name: self.directory.describe_backpressure(
                    name, steady_seconds()
                ),
                self._history,
                software_version_of=self.directory.software_version_of,
            ),
            lambda: self.configurations.current,
        )

    def make_upstreams(self) -> Component:
        """Return the component that updates the directory of upstreams."""
        upstreams = ConfiguredUpstreams(self.directory, self.clients)
        self.configurations.listeners.append(upstreams.configure)
        return upstreams

    async def handle(self, request: Request, respond: Responder) -> None:
        """Handle a request of a caller or an operator."""
        if request.path == COMMANDS_PATH:
            await self._operators.serve(request, respond)
            return
        if request.path == MODELS_PATH:
            await respond.send_whole(200, models_body(self._models()))
            return
        await super().handle(request, respond)

    def is_ready(self) -> bool:
        """Return whether load balancers should send new connections to this router."""
        current = self.configurations.current
        if current is not None and self.settings.vm in current.draining_vms:
            return False
        return super().is_ready()

    def _record_version(self, configuration: Configuration) -> None:
        """Record a version in force, to write it again if the store loses it."""
        self._history.window.observe()
        self._history.record_row(self.configurations.feed.rows_by_key[CURRENT_KEY])

    def _models(self) -> list[str]:
        current = self.configurations.current
        routes = current.routes if current is not None else ()
        return [route.host for route in routes if route.prefix == CHAT_PATH]
