"""The application of a router on an entry VM."""

from __future__ import annotations

import asyncio
import random
import secrets
import socket
from collections.abc import Callable

import attrs

from lynxchute.application import Application, Component
from lynxchute.budgets import DemandLinePolicy, DemandPolicy, Ledger
from lynxchute.clock import steady_seconds
from lynxchute.config import EngineTraits
from lynxchute.containment import Containment
from lynxchute.edge.configurations import Configurations
from lynxchute.edge.entrance import Entrance
from lynxchute.edge.exposition import Exposition
from lynxchute.edge.limits import caller_limits, held_bounds
from lynxchute.edge.listener import Listener
from lynxchute.edge.own_load import make_own_load
from lynxchute.edge.plain_calls import PlainCalls
from lynxchute.edge.platform import Platform
from lynxchute.edge.reload import Reader, SettingsWatcher
from lynxchute.edge.settings import EdgeSettings
from lynxchute.edge.upstream_rules import UpstreamRules
from lynxchute.edge.upstreams import UpstreamWatcher
from lynxchute.fleet.client import HttpPeers
from lynxchute.fleet.members import Member, Members, relay_capacity
from lynxchute.fleet.registry import Registry
from lynxchute.fleet.relayed_store import RelayedStore
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
from lynxchute.overload import CutAnswer, MemoryGuard
from lynxchute.overload.weights import DEFAULT_WEIGHT
from lynxchute.reachability import Reachability
from lynxchute.relay.admission import Admission
from lynxchute.relay.chooser import Chooser
from lynxchute.relay.relay import Relay
from lynxchute.relay.sender import UPSTREAM_TIMEOUTS, Sender
from lynxchute.relay.statement_reader import StatementReader
from lynxchute.scheduling.cold_watch import ColdProber
from lynxchute.scheduling.rate_permits import RatePermits
from lynxchute.scheduling.scheduler import Scheduler
from lynxchute.scheduling.turns import AdmissionQueue
from lynxchute.spending.balance import Rebalancer
from lynxchute.spending.final_use import FinalUseExchange
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.lenders import Lenders
from lynxchute.spending.reservations import FleetBudgets
from lynxchute.spending.settlements import SettlementSender
from lynxchute.spending.standing import LocalReserve
from lynxchute.store import TableFeed
from lynxchute.store.counted import InstrumentedStore
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.backpressure_watch import BackpressureWatch
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.retry_budget import RetryBudget
from lynxchute.upstreams.silence import SilenceWatch
from lynxchute.upstreams.upstream import Upstream

# Seconds that a stopping router takes to give its grants back.
CLOSE_SECONDS = 0.5
# Seconds after the signal to stop in which requests are still served: the
# platform asks for readiness every second and gives up after two refusals.
STILL_SERVING_SECONDS = 2.5
# Seconds before the platform kills the process by which open requests are
# given up, so that grants can still be given back.
STOP_MARGIN_SECONDS = 1.2
# Seconds before the kill by which nothing more is told: each wait for somebody who
# gives no answer takes up to 0.7 s, and they come one after the other.
TELL_MARGIN_SECONDS = 0.4
DRAIN_STEP_SECONDS = 0.05


class EdgeApplication(Application):
    """Everything that a router runs.

    Parameters
    ----------
    settings
        What it is told at its start.
    platform
        The platform's services.
    started_at
        When the process began, on the steady clock in seconds; now, where it
        is not told.
    callers
        Takes callers' connections already; None where nothing does.
    log_lines_dropped
        Returns how many lines the log had no room for.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        platform: Platform,
        *,
        started_at: float | None = None,
        callers: socket.socket | None = None,
        log_lines_dropped: Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__(settings.bounds.stop)
        self.settings = settings
        self.metrics = Metrics()
        self.own_load = make_own_load(settings, self.metrics, lambda: self.callers)
        meter, self.load = self.own_load.meter, self.own_load.load
        reachability = Reachability(settings.data_centre)
        self.members = Members(_own_member(settings), reachability)
        self.peers = HttpPeers(
            self.members, lambda: self.registry.secret, steady_seconds, meter
        )
        store = RelayedStore(
            InstrumentedStore(
                platform.store, self.metrics.store_calls, self.metrics.store_seconds
            ),
            self.members,
            self.peers,
        )
        platform = attrs.evolve(platform, store=store)
        self.platform = platform
        self.directory = Directory()
        rules = UpstreamRules(
            lambda: self.settings,
            lambda: self.configurations.current,
            self.directory,
            self.members,
            lambda: self.registry.feed.synced.is_set(),
            lambda now: platform.store.clock.earliest_ms(now),
            lambda now: self.registry.feed.seconds_since_answer(now),
        )
        self.rates = rules.rates
        self.evacuations = rules.evacuations
        self.configurations = Configurations(
            platform, rules.evacuations, bound=settings.bounds.configuration
        )
        self.clients = ClientPool(UPSTREAM_TIMEOUTS, meter)
        self._upstream_feed: TableFeed | None = None
        self.upstreams = self.make_upstreams()
        bounds = settings.bounds
        self.retries = RetryBudget(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window=bounds.retry_window,
        )
        self.registry = Registry(
            platform.store, self.members, is_first_start=settings.is_first_start
        )
        self.registry.peers = self.peers
        self.registry.listeners.append(self._note_members)
        self.peer_server = PeerServer(lambda: self.registry.secret, meter)
        store.serve(self.peer_server)
        ledger = Ledger(
            settings.vm,
            self.members.own.incarnation,
            DemandLinePolicy() if settings.features.demand_lines else DemandPolicy(),
            parts=len(settings.data_centres),
            # A part takes some hundred writes a second; with a part for each
            # router their lines do not queue behind one another.
            store_part=settings.vm if settings.store_spans_parts else "",
        )
        self.final_use_exchange = FinalUseExchange(ledger, self.members, self.peers)
        self.final_use_exchange.serve(self.peer_server)
        self.ledger_sync = LedgerSync(
            ledger,
            platform.store,
            self.members.homes,
            settled=self.registry.settled,
            started_at=steady_seconds() if started_at is None else started_at,
            before_first_write=self.final_use_exchange.fetch_predecessor_use,
        )
        self.configurations.listeners.append(self.ledger_sync.configure)
        self.settlements = SettlementSender(ledger, self.members, self.peers)
        lenders = Lenders(self.ledger_sync, self.members, self.peers, self.settlements)
        standing = None
        if settings.features.demand_lines:
            standing = LocalReserve(self.ledger_sync, lenders, self.members)
        standing_loops = [standing.loop] if standing is not None else []
        budgets = FleetBudgets(
            self.ledger_sync,
            self.members,
            self.peers,
            self.settlements,
            self.metrics,
            lenders,
            standing,
        )
        budgets.serve(self.peer_server)
        self.balance = Rebalancer(
            self.ledger_sync, lenders, self.members, self.peers, standing
        )
        rng = random.Random()
        self.admission = Admission(self.configurations, rng, self.load)
        permits = RatePermits(
            self.members, self.peers, self.directory, rules.rates, steady_seconds
        )
        permits.serve(self.peer_server)
        self.plain_calls = PlainCalls(
            settings, self.directory, rules.gate, permits, rng, steady_seconds
        )
        engines = platform.make_engines(self.clients)
        may_wait = settings.features.fair_shares
        self.turns = AdmissionQueue(self._weight_of, self.metrics) if may_wait else None
        scheduler = Scheduler(
            self.members,
            self.peers,
            self.directory,
            self._traits_of,
            engines,
            rules.gate,
            rules.cold,
            meter,
            steady_seconds,
            turns=self.turns,
        )
        scheduler.board.tracks_transients = settings.features.learned_speeds
        silence = SilenceWatch(self.directory, engines, reachability, steady_seconds)
        backpressure = BackpressureWatch(
            self.directory, engines, rules.rates, rules.rank, steady_seconds
        )
        cold = ColdProber(
            self.directory,
            engines,
            rules.cold_limits,
            scheduler.is_scheduler_for,
            self.upstreams_silent_for,
            steady_seconds,
        )
        scheduler.serve(self.peer_server)
        self.directory.listeners.append(scheduler.refresh)
        self.directory.restart_listeners.append(scheduler.discard_upstream)
        self.directory.restart_listeners.append(self._drop_connections)
        self.registry.listeners.append(scheduler.refresh)
        self.configurations.listeners.append(lambda _: scheduler.refresh())
        self.containment = Containment(
            self.members,
            self.peers,
            platform.store,
            self.directory,
            self.metrics,
            steady_seconds,
        )
        self.containment.serve(self.peer_server)
        self.containment.watch_registry(self.registry)
        chooser = Chooser(
            self.directory,
            scheduler.neighbourhood,
            scheduler,
            self.plain_calls.placement,
            reachability,
            rules.gate,
            self.load,
            steady_seconds,
            may_wait=may_wait,
        )
        sender = Sender(
            chooser,
            platform.dialect,
            self.clients,
            self.retries,
            scheduler,
            self.metrics,
            reachability,
            self.containment,
            rules.gate,
            StatementReader(platform.dialect, self.directory, steady_seconds),
            steady_seconds,
            times=self.plain_calls.times,
            hedger=self.plain_calls.hedger(chooser, self.retries, self.metrics),
        )
        self.relay = Relay(
            platform.dialect,
            self.admission,
            budgets,
            sender,
            self.metrics,
            steady_seconds,
        )
        self.memory_guard = None
        if settings.features.memory_guard:
            bounds_held = held_bounds(settings.memory_mb)
            self.memory_guard = MemoryGuard(bounds_held, self._note_cut)
        self.callers = HttpServer(
            self.handle,
            limits=self._limits,
            check_head=self._check_head,
            meter=meter,
            guard=self.memory_guard,
            may_accept_connection=self.load.may_accept,
        )
        self.readiness = HttpServer(self._answer_readiness)
        self.exposition = HttpServer(Exposition(self, log_lines_dropped).answer)
        self.components = [
            self.configurations,
            self.upstreams,
            self.registry,
            self.ledger_sync,
            self.settlements,
            self.balance.loop,
            *standing_loops,
            scheduler,
            silence.tasks,
            silence.loop,
            backpressure.tasks,
            backpressure.loop,
            cold.tasks,
            cold.loop,
            *self.containment.components,
            Listener(self.peer_server.server, settings.peers),
            # Whoever says that it is ready takes connections.
            Listener(self.callers, settings.callers, callers),
            Listener(self.readiness, settings.readiness),
            Entrance(self.callers, self.load),
        ]
        if settings.metrics is not None:
            self.components.append(Listener(self.exposition, settings.metrics))

    def make_upstreams(self) -> Component:
        """Return what keeps the directory of upstreams."""
        watcher = UpstreamWatcher(
            self.platform,
            self.directory,
            self.clients,
            bound=self.settings.bounds.drain,
        )
        self._upstream_feed = watcher.feed
        return watcher

    def upstreams_silent_for(self, now: float) -> float:
        """Return the seconds since the store last told of upstreams."""
        return (
            self._upstream_feed.seconds_since_answer(now)
            if self._upstream_feed
            else 0.0
        )

    async def handle(self, request: Request, respond: Responder) -> None:
        """Serve a request of a caller."""
        await self.relay.handle(request, respond)

    def watch_settings(self, read: Reader, stamp: Callable[[], object]) -> None:
        """Take changed settings while the router runs."""
        watcher = SettingsWatcher(self.settings, read, stamp, self._reload)
        self.components.append(watcher)

    async def start(self) -> None:
        """Start the components in order."""
        self.own_load.observe_loop()
        await super().start()

    async def drain(self) -> None:
        """Take nothing new and let what is open end.

        Callers are sent elsewhere only once the platform has seen twice that
        this router is not ready; until then their requests are served.
        """
        started = steady_seconds()
        log_event("stopping", open_requests=self.relay.open_requests)
        self.callers.disable_keep_alive()
        await self.registry.announce(self.members.mark_leaving())
        # What is not used may be needed at once, and a later outage of the
        # store would keep it here.
        if not await self.ledger_sync.close(started + CLOSE_SECONDS):
            # The others may be out of reach by the end.
            await self.final_use_exchange.announce()
        await self.balance.transfer_borrowed()
        serve_until = started + STILL_SERVING_SECONDS
        end = started + self.settings.bounds.stop - STOP_MARGIN_SECONDS
        while steady_seconds() < end:
            if steady_seconds() >= serve_until:
                self.admission.stopping = True
                self.callers.close_idle()
                if not self.relay.open_requests:
                    break
            await asyncio.sleep(DRAIN_STEP_SECONDS)
        bounds = self.settings.bounds
        tell_until = started + bounds.stop - TELL_MARGIN_SECONDS
        try:
            async with asyncio.timeout_at(tell_until):
                await self._tell_last()
        except TimeoutError:
            # What is told to nobody counts as if the process had been killed.
            log_event(
                "stop deadline passed before all usage was reported",
                seconds=steady_seconds() - started,
            )
        log_event("stopped", open_requests=self.relay.open_requests)

    async def _tell_last(self) -> None:
        """Tell what was used and lent, and give back what was not used."""
        await asyncio.gather(self.settlements.flush(), self.balance.transfer_borrowed())
        if not await self.ledger_sync.close(steady_seconds() + CLOSE_SECONDS):
            await self.final_use_exchange.announce()

    def is_ready(self) -> bool:
        """Return whether new connections should come here."""
        if self.is_ending:
            return False
        if self.load.is_shedding or not self.callers.is_accepting:
            return False
        return self.configurations.current is not None

    async def _answer_readiness(self, request: Request, respond: Responder) -> None:
        if request.path != self.platform.readiness_path:
            await not_found(request, respond)
            return
        ready = self.is_ready()
        await respond.json(200 if ready else 503, {"ready": ready})

    def _reload(self, settings: EdgeSettings) -> None:
        """Take what can change while the router runs."""
        before, self.settings = self.settings, settings
        bounds = settings.bounds
        self.retries.change(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window=bounds.retry_window,
        )
        if settings.store != before.store:
            self.platform.store.move(settings.store)
        for name in ("vm", "data_centre", "callers", "readiness", "peers", "metrics"):
            if getattr(settings, name) != getattr(before, name):
                log_event("settings need a restart", setting=name)

    def _drop_connections(self, before: Upstream) -> None:
        """Keep no connection to a process that has ended."""
        self.clients.drop(before.address)

    def _note_members(self) -> None:
        self.retries.routers = self.members.count
        self.ledger_sync.request_write()

    def _traits_of(self, service: str) -> EngineTraits | None:
        """Return what the engines of a service can do, where it is known."""
        current = self.configurations.current
        found = current.services_by_name.get(service) if current else None
        return found.engine if found is not None else None

    def _weight_of(self, account: str) -> float:
        """Return the weight of a client account where callers compete."""
        current = self.configurations.current
        found = current.accounts_by_name.get(account) if current else None
        return found.weight if found is not None else DEFAULT_WEIGHT

    def _note_cut(self, cut: CutAnswer) -> None:
        """Tell of an answer that was broken off for want of memory."""
        self.metrics.answers_cut.inc()
        log_event(
            "answer cut for memory",
            account=cut.account,
            held=cut.held,
            bytes_a_second=round(cut.speed),
        )

    def _limits(self) -> ServerLimits:
        return caller_limits(self.configurations.current, self.settings.memory_mb)

    def _check_head(self, head: RequestHead) -> None:
        if not head.target.startswith("/"):
            raise BadRequest(400, "Ask for a path.")
        self.own_load.check_head(head, self.configurations.current)


def _own_member(settings: EdgeSettings) -> Member:
    return Member(
        vm=settings.vm,
        data_centre=settings.data_centre,
        incarnation=secrets.token_hex(6),
        address=str(settings.peers_reached_at or settings.peers),
        strength=relay_capacity(link_mbps=settings.link_mbps, cores=settings.cores),
    )
