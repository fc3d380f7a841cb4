"""Router application on an entry VM: builds and connects all components."""

from __future__ import annotations

import asyncio
import math
import random
import secrets
import socket
from collections.abc import Callable

import attrs
from absl import logging

from lynxchute.application import Application, Component
from lynxchute.budgets import DemandLinePolicy, DemandPolicy, Ledger
from lynxchute.clock import steady_seconds
from lynxchute.config import EngineTraits
from lynxchute.containment import Containment
from lynxchute.edge.configurations import Configurations
from lynxchute.edge.entrance import ConnectionGate
from lynxchute.edge.exposition import MetricsEndpoint
from lynxchute.edge.limits import (
    answer_buffer_bounds,
    caller_limits,
    internal_answer_bounds,
    internal_limits,
    max_connections,
    request_buffer_bound,
)
from lynxchute.edge.listener import Listener
from lynxchute.edge.own_load import make_load_control
from lynxchute.edge.plain_calls import PlainCallPlacement
from lynxchute.edge.platform import Platform
from lynxchute.edge.reload import SettingsReader, SettingsWatcher
from lynxchute.edge.settings import EdgeSettings
from lynxchute.edge.upstream_rules import UpstreamSendRules
from lynxchute.edge.upstreams import LONG_POLL_SHARE, UpstreamWatcher
from lynxchute.fleet.client import HttpPeers
from lynxchute.fleet.members import Member, Members, serving_capacity
from lynxchute.fleet.registry import TABLE as FLEET_TABLE
from lynxchute.fleet.registry import Registry
from lynxchute.fleet.relayed_store import RelayedStore
from lynxchute.fleet.retry_mark import MARK_KEY, RetryMark
from lynxchute.fleet.server import PeerServer
from lynxchute.fleet.view import FleetView
from lynxchute.http import (
    BadRequest,
    HttpServer,
    LinkShare,
    Request,
    RequestHead,
    Responder,
    ServerLimits,
    not_found,
)
from lynxchute.http.sockets import DEFAULT_OPTIONS
from lynxchute.listeners import LogLimit
from lynxchute.overload import (
    ConnectionLimit,
    CutAnswer,
    InboundMemory,
    MemoryGuard,
)
from lynxchute.overload.connection_limit import LimitedConnection
from lynxchute.overload.weights import DEFAULT_WEIGHT
from lynxchute.reachability import Reachability
from lynxchute.relay.admission import Admission
from lynxchute.relay.chooser import Chooser
from lynxchute.relay.durations import AnswerDurations
from lynxchute.relay.last_sends import LastSends
from lynxchute.relay.relay import Relay
from lynxchute.relay.resend_planner import ResendPlanner
from lynxchute.relay.sender import UPSTREAM_TIMEOUTS, Sender
from lynxchute.relay.statement_reader import BackpressureRecorder
from lynxchute.resumption import StreamOrigins
from lynxchute.resumption.default_versions import ROW_KEY as DEFAULTS_KEY
from lynxchute.resumption.default_versions import DefaultVersions
from lynxchute.resumption.stream_origins import RETURN_SECONDS
from lynxchute.resumption.version_record import ROW_KEY, VersionRecord
from lynxchute.scheduling.cold_watch import ColdProber
from lynxchute.scheduling.rate_permits import RatePermits
from lynxchute.scheduling.scheduler import Scheduler
from lynxchute.scheduling.turns import AdmissionQueue
from lynxchute.spending.balance import Rebalancer
from lynxchute.spending.final_use import FinalUseExchange
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.lenders import LoanClient
from lynxchute.spending.reservations import FleetBudgets
from lynxchute.spending.restore_auditor import RestoreAuditor
from lynxchute.spending.settlements import SettlementSender
from lynxchute.spending.standing import LocalReserve
from lynxchute.store import TableFeed
from lynxchute.store.counted import InstrumentedStore
from lynxchute.store.fresh_read import FreshRead
from lynxchute.telemetry import Metrics, log_event
from lynxchute.tunnels import (
    PathState,
    PathWatch,
    Tunnels,
    TunnelServer,
    UpstreamClients,
    UpstreamPaths,
)
from lynxchute.upstreams.backpressure_watch import BackpressureWatch
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.retry_budget import RetryBudget
from lynxchute.upstreams.silence import SilenceWatch
from lynxchute.upstreams.upstream import Upstream

# Timeout in seconds for returning unused grants to the store at a stop.
CLOSE_TIMEOUT_SECONDS = 0.5
# Seconds after the stop signal during which new requests are still served: the platform
# polls readiness every second and stops routing here after two negative answers.
SERVE_AFTER_STOP_SECONDS = 2.5
# The drain stops waiting for open requests this many seconds before the platform kills
# the process, so that unused grants can still be released.
STOP_MARGIN_SECONDS = 1.2
# The same as a share of a short grace period: answers that end before it are not cut.
MAX_STOP_MARGIN_SHARE = 1 / 6
# Final reports are abandoned this many seconds before the kill, since each wait for a
# store or router that does not answer takes up to 0.7 s, and the waits are sequential.
REPORT_MARGIN_SECONDS = 0.4
DRAIN_POLL_SECONDS = 0.05
# Seconds after a start for which crashes that a killed process knew of may matter.
STATE_LOSS_SECONDS = 60.0
# Seconds beyond the long poll in which the store answers, unless it is away.
CONFIRM_MARGIN_SECONDS = 1.0
# Timeout in seconds of a listing of the upstreams that a stream waits for. No other one
# starts meanwhile.
LIST_SECONDS = 0.6
# Seconds in which requests that are still open at the drain deadline get an answer.
LAST_ANSWERS_SECONDS = 0.1


class EdgeApplication(Application):
    """Application that runs all components of a router.

    Parameters
    ----------
    settings
        Settings of the router.
    platform
        Services of the platform.
    started_at
        Start time of the process, in seconds on the steady clock; defaults to now.
    callers
        Socket that already listens for callers; None to open one at the start.
    log_lines_dropped
        Returns the number of log lines dropped because the log queue was full.
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
        self.load_control = make_load_control(
            settings, self.metrics, lambda: self.callers
        )
        meter, self.load = self.load_control.meter, self.load_control.load
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
        self.fleet_view = FleetView(
            self.members,
            self.peers,
            lambda: self.registry.members_known.is_set(),
            lambda: self.registry.feed.asked_at,
            steady_seconds,
        )
        rules = UpstreamSendRules(
            lambda: self.settings,
            lambda: self.configurations.current,
            self.directory,
            self.members,
            lambda: self.registry.feed.synced.is_set(),
            lambda now: platform.store.clock.earliest_ms(now),
            lambda now: self.registry.feed.seconds_since_answer(now),
            self.fleet_view,
        )
        self.rates = rules.rates
        self.send_gate = rules.gate
        self.evacuations = rules.evacuations
        self.configurations = Configurations(
            platform, rules.evacuations, bound=settings.bounds.configuration
        )
        paths = UpstreamPaths(random.Random())
        tunnels = Tunnels(self.members, self.peers, paths, self.metrics)
        self.clients = UpstreamClients(UPSTREAM_TIMEOUTS, meter, tunnels=tunnels)
        self._upstream_feed: TableFeed | None = None
        self.upstreams = self.make_upstreams()
        started_at = steady_seconds() if started_at is None else started_at
        self._started_at = started_at
        self.retry_mark = RetryMark(platform.store, FLEET_TABLE, steady_seconds)
        bounds = settings.bounds
        self.retries = RetryBudget(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window=bounds.retry_window,
            started_at=started_at,
            marked_until=lambda: self.retry_mark.until,
            leaving_seconds=bounds.stop,
            routers_confirmed_at=lambda: self.registry.feed.asked_at,
        )
        self.retries.routers = 0
        self.registry = Registry(
            platform.store, self.members, is_first_start=settings.is_first_start
        )
        self.registry.peers = self.peers
        self.registry.listeners.append(self._handle_member_change)
        self.registry.registration_listeners.append(self._handle_registration)
        self.registry.handlers_by_key[MARK_KEY] = self.retry_mark.handle_row
        self._dropped_log, self._ended_log = LogLimit(), LogLimit()
        self.inbound_memory = inbound = InboundMemory(
            lambda: request_buffer_bound(self.settings.memory_mb),
            self._record_dropped_request,
        )
        connection_limit = ConnectionLimit(
            lambda: max_connections(
                self.settings.memory_mb, self.settings.max_open_files
            ),
            self._record_ended_connection,
        )
        self.peer_server = PeerServer(
            lambda: self.registry.secret, meter, inbound, connection_limit
        )
        store.serve(self.peer_server)
        self.registry.serve(self.peer_server)
        link_share = LinkShare(settings.link_mbps)
        self.tunnels = TunnelServer(
            self.directory,
            self.clients,
            self.load,
            meter,
            link_share,
            self.metrics,
            lambda: self.is_stopping,
        )
        self.tunnels.serve(self.peer_server)
        ledger = Ledger(
            settings.vm,
            self.members.own.incarnation,
            DemandLinePolicy() if settings.features.demand_lines else DemandPolicy(),
            parts=len(settings.data_centres),
            # A partition of the store handles some hundred writes a second. With one
            # partition per router, writes of limit lines do not queue behind one
            # another.
            store_partition=settings.vm if settings.store_spans_parts else "",
        )
        self.final_use_exchange = FinalUseExchange(ledger, self.members, self.peers)
        self.final_use_exchange.serve(self.peer_server)
        self.ledger_sync = LedgerSync(
            ledger,
            platform.store,
            self.members.homes,
            settled=self.registry.members_known,
            started_at=started_at,
            before_first_write=self.final_use_exchange.fetch_predecessor_use,
            restored_seconds=lambda: self.registry.era_mark.seconds(steady_seconds()),
            auditor=RestoreAuditor(ledger, platform.store, self.members, self.registry),
        )
        self.configurations.listeners.append(self.ledger_sync.configure)
        self.settlements = SettlementSender(ledger, self.members, self.peers)
        lenders = LoanClient(
            self.ledger_sync, self.members, self.peers, self.settlements
        )
        local_reserve = None
        if settings.features.demand_lines:
            local_reserve = LocalReserve(self.ledger_sync, lenders, self.members)
        local_reserve_tasks = [local_reserve.loop] if local_reserve is not None else []
        budgets = FleetBudgets(
            self.ledger_sync,
            self.members,
            self.peers,
            self.settlements,
            self.metrics,
            lenders,
            local_reserve,
        )
        budgets.serve(self.peer_server)
        self.balance = Rebalancer(
            self.ledger_sync, lenders, self.members, self.peers, local_reserve
        )
        rng = random.Random()
        self.admission = Admission(self.configurations, rng, self.load)
        permits = RatePermits(
            self.members, self.peers, self.directory, rules.rates, steady_seconds
        )
        permits.serve(self.peer_server)
        self.plain_calls = PlainCallPlacement(
            settings, self.directory, rules.gate, permits, rng, steady_seconds
        )
        engines = platform.make_engines(self.clients)
        self.directory.confirmed_at = self._upstreams_confirmed_at
        versions = VersionRecord(
            platform.store,
            self.registry.feed.table,
            self.members,
            self.directory,
            keep_seconds=self._max_stream_age,
            is_table_known=self.registry.feed.synced.is_set,
            clock=steady_seconds,
        )
        defaults = DefaultVersions(
            platform.store,
            self.registry.feed.table,
            versions,
            self.directory,
            steady_seconds,
        )
        self.registry.handlers_by_key[DEFAULTS_KEY] = defaults.handle_row
        listing = FreshRead(
            self._list_upstreams,
            versions.tasks,
            interval=LIST_SECONDS,
            clock=steady_seconds,
        )
        self.origins = StreamOrigins(
            self.members,
            self.peers,
            platform.store,
            self.directory,
            engines,
            self.metrics,
            meter,
            steady_seconds,
            version_record=versions,
            defaults=defaults,
            was_killed=self._may_have_lost_state,
            max_age=self._max_stream_age,
            is_history_known=self.registry.feed.synced.is_set,
            unconfirmed_seconds=self.seconds_since_upstreams_confirmed,
            max_unconfirmed=self._max_unconfirmed,
            list_upstreams=listing.get,
            era_seconds=self._era_seconds,
            are_routers_current=self.fleet_view.is_current,
            wait_known=self.fleet_view.wait_known,
        )
        self.origins.serve(self.peer_server)
        self.registry.handlers_by_key[ROW_KEY] = versions.handle_row
        self.directory.listeners.append(versions.loop.wake)
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
        path_watch = PathWatch(
            self.clients,
            self.directory,
            self.metrics,
            steady_seconds,
            lambda address, hangs: silence.give_up_direct_sends(address, hangs=hangs),
        )
        backpressure = BackpressureWatch(
            self.directory, engines, rules.rates, rules.rank, steady_seconds
        )
        cold = ColdProber(
            self.directory,
            engines,
            rules.cold_limits,
            scheduler.is_scheduler_for,
            scheduler.places_alone,
            self.seconds_since_upstreams_confirmed,
            steady_seconds,
            rules.cold,
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
            self._may_have_lost_crashes,
        )
        self.containment.serve(self.peer_server)
        self.containment.register_listeners(self.registry)
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
            has_path=self.clients.has_path,
        )
        durations = AnswerDurations()
        self.last_sends = LastSends(durations)
        sender = Sender(
            chooser,
            platform.dialect,
            self.clients,
            self.retries,
            self.retry_mark,
            scheduler,
            self.metrics,
            reachability,
            self.containment,
            rules.gate,
            BackpressureRecorder(platform.dialect, self.directory, steady_seconds),
            steady_seconds,
            origins=self.origins,
            planner=ResendPlanner(
                chooser,
                scheduler,
                self.origins,
                self.directory,
                engines,
                self.metrics,
                steady_seconds,
            ),
            last_sends=self.last_sends,
            times=self.plain_calls.times,
            hedger=self.plain_calls.hedger(
                chooser, self.retries, self.retry_mark, self.metrics
            ),
            is_path_lost=lambda address: paths.state(address) is PathState.LOST,
        )
        self.relay = Relay(
            platform.dialect,
            self.admission,
            budgets,
            sender,
            self.origins,
            self.metrics,
            steady_seconds,
            link_share,
            durations,
        )
        self.memory_guard = None
        if settings.features.memory_guard:
            buffer_bounds = answer_buffer_bounds(settings.memory_mb)
            self.memory_guard = MemoryGuard(buffer_bounds, self._record_cut_answer)
        self.callers = HttpServer(
            self.handle,
            limits=self._limits,
            check_head=self._check_head,
            meter=meter,
            guard=self.memory_guard,
            may_accept_connection=self.load.may_accept,
            inbound=inbound,
            connection_limit=connection_limit,
        )
        internal_guard = MemoryGuard(internal_answer_bounds(settings.memory_mb))
        self.readiness = HttpServer(
            self._handle_readiness,
            limits=internal_limits,
            guard=internal_guard,
            inbound=inbound,
            connection_limit=connection_limit,
            socket_options=DEFAULT_OPTIONS,
        )
        self.exposition = HttpServer(
            MetricsEndpoint(self, log_lines_dropped).handle,
            limits=internal_limits,
            guard=internal_guard,
            inbound=inbound,
            connection_limit=connection_limit,
            socket_options=DEFAULT_OPTIONS,
        )
        self.components = [
            self.configurations,
            self.upstreams,
            self.registry,
            self.fleet_view.loop,
            self.retry_mark.tasks,
            self.ledger_sync,
            self.settlements,
            self.balance.loop,
            *local_reserve_tasks,
            scheduler,
            silence.tasks,
            silence.loop,
            path_watch.tasks,
            path_watch.loop,
            self.tunnels,
            backpressure.tasks,
            backpressure.loop,
            cold.tasks,
            cold.loop,
            versions.loop,
            versions.tasks,
            defaults.tasks,
            self.origins.send_loop,
            self.origins.tasks,
            self.origins.prove_loop,
            self.origins.rows.tasks,
            self.origins.rows.loop,
            *self.containment.components,
            Listener(self.peer_server.server, settings.peers),
            # The caller port listens before the readiness port, so a ready router
            # accepts connections.
            Listener(self.callers, settings.callers, callers),
            Listener(self.readiness, settings.readiness),
            ConnectionGate(self.callers, self.load),
        ]
        if settings.metrics is not None:
            self.components.append(Listener(self.exposition, settings.metrics))

    def make_upstreams(self) -> Component:
        """Return the component that updates the directory of upstreams."""
        watcher = UpstreamWatcher(
            self.platform,
            self.directory,
            self.clients,
            bound=self.settings.bounds.drain,
        )
        self._upstream_feed = watcher.feed
        return watcher

    def seconds_since_upstreams_confirmed(self, now: float) -> float:
        """Return the seconds since the store last reported upstreams."""
        return (
            self._upstream_feed.seconds_since_read(now) if self._upstream_feed else 0.0
        )

    def _era_seconds(self, now: float) -> float:
        """Return the seconds since the store last came back from a copy."""
        if not self.platform.store.era.current:
            return math.inf
        return self.registry.era_mark.seconds(now)

    async def _list_upstreams(self) -> bool:
        """List the upstreams; return whether all are known."""
        if self._upstream_feed is None:
            return True
        return await self._upstream_feed.confirm_current(
            within=0.0, max_list_age=0.0, patience=LIST_SECONDS
        )

    def _upstreams_confirmed_at(self) -> float:
        """Return until when all changes of upstreams are known."""
        feed = self._upstream_feed
        return feed.confirmed_at if feed is not None else steady_seconds()

    def _max_unconfirmed(self) -> float:
        """Return the seconds after which the store must have confirmed upstreams."""
        return self.settings.bounds.drain * LONG_POLL_SHARE + CONFIRM_MARGIN_SECONDS

    def _may_have_lost_state(self) -> bool:
        """Return whether a killed process may have known streams that still last."""
        age = steady_seconds() - self._started_at
        return self.registry.was_predecessor_killed and age < self._max_stream_age()

    def _may_have_lost_crashes(self) -> bool:
        """Return whether a killed process may have known of recent crashes."""
        age = steady_seconds() - self._started_at
        return self.registry.was_predecessor_killed and age < STATE_LOSS_SECONDS

    def _max_stream_age(self) -> float:
        """Return the seconds after its begin for which a stream may be resumed."""
        current = self.configurations.current
        longest = current.longest_stream if current is not None else 0.0
        return longest + RETURN_SECONDS

    async def handle(self, request: Request, respond: Responder) -> None:
        """Handle a request of a caller."""
        await self.relay.handle(request, respond)

    def watch_settings(self, read: SettingsReader, stamp: Callable[[], object]) -> None:
        """Reload the settings whenever they change while the router runs."""
        watcher = SettingsWatcher(self.settings, read, stamp, self._reload)
        self.components.append(watcher)

    async def start(self) -> None:
        """Start the components in order."""
        self.load_control.observe_loop()
        await super().start()

    async def drain(self) -> None:
        """Release the unused grants, keep serving for a while, then stop admitting.

        New requests are served until the platform has seen two negative readiness
        answers and sends callers to other routers. Then the open requests may finish.
        """
        started = steady_seconds()
        log_event("stopping", open_requests=self.relay.open_requests)
        self.callers.disable_keep_alive()
        self.tunnels.announce_stop()
        grace = self.settings.bounds.stop
        margin = min(STOP_MARGIN_SECONDS, grace * MAX_STOP_MARGIN_SHARE)
        answers_until = self.last_sends.answers_until = started + grace - margin
        # Each of its steps may wait for a store or routers that do not answer.
        hand_over = asyncio.create_task(self._hand_over(started))
        await self._finish_open_requests(started, answers_until, hand_over)
        hand_over.cancel()
        await asyncio.gather(hand_over, return_exceptions=True)
        bounds = self.settings.bounds
        report_deadline = started + bounds.stop - REPORT_MARGIN_SECONDS
        self.admission.stopping = True
        self.relay.end_open_requests()
        self.callers.refuse_incomplete()
        # The tokens that these requests used are part of the final reports.
        await self.callers.wait_answered(steady_seconds() + LAST_ANSWERS_SECONDS)
        try:
            async with asyncio.timeout_at(report_deadline):
                await self._send_final_reports()
        except TimeoutError:
            # Use that was not reported is accounted as if the process had been killed.
            log_event(
                "stop deadline passed before all usage was reported",
                seconds=steady_seconds() - started,
            )
        except Exception:
            logging.exception("final reports failed; the stop goes on")
        await self.callers.finish(report_deadline)
        await self.peer_server.server.finish(report_deadline)
        log_event(
            "stopped",
            open_requests=self.relay.open_requests,
            unanswered=self.callers.unanswered,
        )

    async def _hand_over(self, started: float) -> None:
        """Give other routers and the store what they need of this one."""
        steps = (
            self._register_leaving,
            self.origins.hand_over,
            # Other routers may need the unused grants now, and a store outage later
            # in the drain would prevent their return.
            lambda: self._return_grants(started + CLOSE_TIMEOUT_SECONDS),
            self.balance.transfer_borrowed,
        )
        for step in steps:
            try:
                await step()
            except Exception:
                logging.exception("a step of the hand-over failed; the stop goes on")
        log_event(
            "tokens and streams handed over",
            seconds=round(steady_seconds() - started, 3),
        )

    async def _register_leaving(self) -> None:
        await self.registry.register(self.members.mark_leaving())

    async def _return_grants(self, until: float) -> None:
        """Return unused grants to the store, or announce to other routers what is used.

        They may be unreachable at the end of the drain.
        """
        if not await self.ledger_sync.close(until):
            await self.final_use_exchange.announce()

    async def _finish_open_requests(
        self, started: float, deadline: float, hand_over: asyncio.Task[None]
    ) -> None:
        """Serve for a while, refuse new requests, and wait until all work has ended."""
        serving_deadline = started + SERVE_AFTER_STOP_SECONDS
        while steady_seconds() < deadline:
            if steady_seconds() >= serving_deadline:
                self._refuse_new_requests(started)
                self.callers.close_idle()
                if hand_over.done() and not self._has_open_work():
                    return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _refuse_new_requests(self, started: float) -> None:
        if self.admission.stopping:
            return
        self.admission.stopping = True
        log_event(
            "refusing new requests",
            seconds=round(steady_seconds() - started, 3),
            open_requests=self.relay.open_requests,
        )

    def _has_open_work(self) -> bool:
        """Return whether a request is open or a caller waits for its answer.

        The relay does not count requests that it has not admitted, nor bytes of
        answers that have not left the process, nor requests of other routers.
        """
        if self.relay.open_requests > 0 or self.callers.unanswered > 0:
            return True
        return self.tunnels.count > 0

    async def _send_final_reports(self) -> None:
        """Report used and lent tokens, and return unused grants."""
        await asyncio.gather(self.settlements.flush(), self.balance.transfer_borrowed())
        await self._return_grants(steady_seconds() + CLOSE_TIMEOUT_SECONDS)

    def is_ready(self) -> bool:
        """Return whether load balancers should send new connections to this router."""
        if self.is_stopping:
            return False
        if self.load.is_shedding or not self.callers.is_accepting:
            return False
        return self.configurations.current is not None

    async def _handle_readiness(self, request: Request, respond: Responder) -> None:
        if request.path != self.platform.readiness_path:
            await not_found(request, respond)
            return
        ready = self.is_ready()
        await respond.json(200 if ready else 503, {"ready": ready})

    def _reload(self, settings: EdgeSettings) -> None:
        """Apply changed settings; log those that need a restart."""
        previous, self.settings = self.settings, settings
        bounds = settings.bounds
        self.retries.change(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window=bounds.retry_window,
        )
        if settings.store != previous.store:
            self.platform.store.move(settings.store)
        for name in ("vm", "data_centre", "callers", "readiness", "peers", "metrics"):
            if getattr(settings, name) != getattr(previous, name):
                log_event("settings need a restart", setting=name)

    def _drop_connections(self, previous: Upstream) -> None:
        """Close pooled connections to the previous process of an upstream."""
        self.clients.drop(previous.address)

    def _handle_registration(self) -> None:
        is_new = not self.registry.was_predecessor_killed
        if is_new:
            self.retries.record_joined(steady_seconds())
        self.fleet_view.record_registered(
            is_new=is_new and not self.registry.era_mark.is_new_fleet
        )

    def _handle_member_change(self) -> None:
        now = steady_seconds()
        self.retries.record_routers(self.members.count, now)
        window = self.settings.bounds.retry_window
        # A copy of the store may lack a mark that held.
        is_mark_known = self._era_seconds(now) >= window
        is_known = self.retries.knows_window(now)
        if not is_known and is_mark_known and self.retry_mark.has_ended_for(window):
            self.retries.record_unused()
        self.ledger_sync.request_write()
        self.fleet_view.handle_members()

    def _traits_of(self, service: str) -> EngineTraits | None:
        """Return the engine traits of a service, or None if they are unknown."""
        current = self.configurations.current
        found = current.services_by_name.get(service) if current else None
        return found.engine if found is not None else None

    def _weight_of(self, account: str) -> float:
        """Return the fair-share weight of a client account."""
        current = self.configurations.current
        found = current.accounts_by_name.get(account) if current else None
        return found.weight if found is not None else DEFAULT_WEIGHT

    def _record_cut_answer(self, cut: CutAnswer) -> None:
        """Count and log an answer that was aborted to free memory."""
        self.metrics.answers_cut.inc()
        log_event(
            "answer cut for memory",
            account=cut.account,
            held=cut.held,
            bytes_a_second=round(cut.speed),
        )

    def _record_dropped_request(self, size: int, seconds: float) -> None:
        """Count and log requests that were dropped to free memory."""
        self.metrics.requests_dropped.inc()
        if self._dropped_log.allows():
            log_event(
                "request dropped for memory",
                bytes=size,
                seconds=round(seconds, 3),
                held=self.inbound_memory.held,
                not_logged=self._dropped_log.take_suppressed(),
            )

    def _record_ended_connection(self, connection: LimitedConnection) -> None:
        """Count and log a connection that ends to make room for another one."""
        self.metrics.connections_ended.inc()
        since = connection.waiting_since
        if since is not None and self._ended_log.allows():
            log_event(
                "connection ended for another one",
                is_idle=connection.is_idle,
                seconds=round(asyncio.get_running_loop().time() - since, 3),
                not_logged=self._ended_log.take_suppressed(),
            )

    def _limits(self) -> ServerLimits:
        return caller_limits(self.configurations.current, self.settings.memory_mb)

    def _check_head(self, head: RequestHead) -> None:
        if not head.target.startswith("/"):
            raise BadRequest(400, "Ask for a path.")
        self.load_control.check_head(head, self.configurations.current)


def _own_member(settings: EdgeSettings) -> Member:
    return Member(
        vm=settings.vm,
        data_centre=settings.data_centre,
        incarnation=secrets.token_hex(6),
        address=str(settings.peers_reached_at or settings.peers),
        strength=serving_capacity(link_mbps=settings.link_mbps, cores=settings.cores),
        budget_era=0,
    )
