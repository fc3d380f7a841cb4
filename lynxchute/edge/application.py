"""The application of a router on an entry VM."""

from __future__ import annotations

import asyncio
import random
import secrets
import time

import attrs

from lynxchute.application import Application, Component
from lynxchute.budgets import DemandPolicy, Ledger
from lynxchute.edge.configurations import Configurations
from lynxchute.edge.platform import Platform
from lynxchute.edge.settings import EdgeSettings
from lynxchute.edge.upstreams import UpstreamWatcher
from lynxchute.fleet.client import HttpPeers
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.registry import Registry
from lynxchute.fleet.server import PeerServer
from lynxchute.http import (
    BadRequest,
    ClientPool,
    HttpServer,
    Request,
    RequestHead,
    Responder,
    ServerLimits,
    not_found,
)
from lynxchute.relay.admission import Admission
from lynxchute.relay.relay import Relay
from lynxchute.relay.sender import UPSTREAM_TIMEOUTS, Sender
from lynxchute.spending.keeper import Keeper
from lynxchute.spending.reservations import FleetBudgets
from lynxchute.spending.settlements import Settlements
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.placement import LeastOpen, PromptAffinity
from lynxchute.upstreams.retry_budget import RetryBudget

# Seconds that a stopping router takes to give its grants back.
CLOSE_SECONDS = 0.5
# The part of the process's memory that bodies of requests may take.
BODY_SHARE = 0.15


class Listener(Component):
    """Listen at an address.

    Parameters
    ----------
    server
        Serves what comes.
    address
        Where to listen.
    """

    def __init__(self, server: HttpServer, address: object) -> None:
        self.server = server
        self._address = address

    async def start(self) -> None:
        """Begin to listen."""
        host, _, port = str(self._address).rpartition(":")
        await self.server.start(host, int(port))

    async def stop(self) -> None:
        """Drop every connection."""
        await self.server.kill()


class EdgeApplication(Application):
    """Everything that a router runs.

    Parameters
    ----------
    settings
        What it is told at its start.
    platform
        The platform's services.
    """

    def __init__(self, settings: EdgeSettings, platform: Platform) -> None:
        super().__init__(settings.bounds.stop)
        self.settings = settings
        self.platform = platform
        self.configurations = Configurations(platform)
        self.directory = Directory()
        self.clients = ClientPool(UPSTREAM_TIMEOUTS)
        self.upstreams = UpstreamWatcher(platform, self.directory, self.clients)
        bounds = settings.bounds
        self.retries = RetryBudget(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window=bounds.retry_window,
        )
        self.members = Members(_own_member(settings))
        self.registry = Registry(
            platform.store, self.members, is_first_start=settings.is_first_start
        )
        self.peers = HttpPeers(
            self.members, lambda: self.registry.secret, time.monotonic
        )
        self.registry.peers = self.peers
        self.registry.listeners.append(self._note_members)
        self.peer_server = PeerServer(lambda: self.registry.secret)
        ledger = Ledger(
            settings.vm,
            self.members.own.incarnation,
            DemandPolicy(),
            parts=len(settings.data_centres),
        )
        self.keeper = Keeper(
            ledger,
            platform.store,
            self.members.homes,
            settled=self.registry.settled,
        )
        self.configurations.listeners.append(self.keeper.configure)
        self.settlements = Settlements(ledger, self.members, self.peers)
        budgets = FleetBudgets(self.keeper, self.members, self.peers, self.settlements)
        budgets.serve(self.peer_server)
        rng = random.Random()
        self.admission = Admission(self.configurations, rng)
        plain = LeastOpen(settings.data_centre)
        sender = Sender(
            self.directory,
            platform.dialect,
            self.clients,
            self.retries,
            PromptAffinity(plain),
            plain,
            time.monotonic,
        )
        self.relay = Relay(
            platform.dialect, self.admission, budgets, sender, time.monotonic
        )
        self.callers = HttpServer(
            self.relay.handle, limits=self._limits, check_head=self._check_head
        )
        self.readiness = HttpServer(self._answer_readiness)
        self.components = [
            self.configurations,
            self.upstreams,
            self.registry,
            self.keeper,
            self.settlements,
            Listener(self.peer_server.server, settings.peers),
            Listener(self.readiness, settings.readiness),
            Listener(self.callers, settings.callers),
        ]

    async def drain(self) -> None:
        """Take nothing new and let what is open end."""
        self.admission.stopping = True
        self.members.own = attrs.evolve(self.members.own, is_leaving=True)
        await self.registry.announce(self.members.own)
        deadline = self._stop_deadline - 1.5
        self.callers.announce_close()
        log_event("stopping", open_requests=self.relay.open_requests)
        end = time.monotonic() + deadline
        while self.relay.open_requests and time.monotonic() < end:
            await asyncio.sleep(0.05)
        self.callers.close_idle()
        await self.settlements.flush()
        await self.keeper.close(time.monotonic() + CLOSE_SECONDS)
        log_event("stopped", open_requests=self.relay.open_requests)

    def is_ready(self) -> bool:
        """Return whether new connections should come here."""
        if self.is_ending:
            return False
        return self.configurations.current is not None

    async def _answer_readiness(self, request: Request, respond: Responder) -> None:
        if request.path != self.platform.readiness_path:
            await not_found(request, respond)
            return
        ready = self.is_ready()
        await respond.json(200 if ready else 503, {"ready": ready})

    def _note_members(self) -> None:
        self.retries.routers = self.members.count
        self.keeper.want()

    def _limits(self) -> ServerLimits:
        configuration = self.configurations.current
        if configuration is None:
            return ServerLimits(head_timeout=3.0, idle_timeout=15.0)
        limits = configuration.limits
        return ServerLimits(
            max_head_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            max_buffered_bytes=int(self.settings.memory_mb * 1e6 * BODY_SHARE),
            head_timeout=limits.header_timeout,
            body_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def _check_head(self, head: RequestHead) -> None:
        if not head.target.startswith("/"):
            raise BadRequest(400, "Ask for a path.")


def _own_member(settings: EdgeSettings) -> Member:
    return Member(
        vm=settings.vm,
        data_centre=settings.data_centre,
        incarnation=secrets.token_hex(6),
        address=str(settings.peers),
    )
