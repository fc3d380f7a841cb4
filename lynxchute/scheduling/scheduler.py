"""Place generations through the scheduling router, or as that router."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs

from lynxchute.application import BackgroundTask, Tasks
from lynxchute.config import EngineTraits
from lynxchute.fleet.client import Peers
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import Ack
from lynxchute.fleet.messages import (
    PlacementReply,
    PlacementRequest,
    RunStage,
    RunUpdate,
    RunUpdateRequest,
)
from lynxchute.fleet.server import PeerServer
from lynxchute.http import LinkMeter
from lynxchute.overload.claim import AdmissionPending, AdmissionRefused
from lynxchute.scheduling.alone import least_loaded, sample_candidates
from lynxchute.scheduling.asking import PlacementClient
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.news import RunUpdateSender
from lynxchute.scheduling.place_requests import scheduling_key
from lynxchute.scheduling.placing import EnginePlacer
from lynxchute.scheduling.turns import AdmissionQueue
from lynxchute.telemetry import log_event
from lynxchute.upstreams.aims import NO_OBJECTIVES, LatencyObjectives
from lynxchute.upstreams.cold_admission import PERMIT_SECONDS
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream

CLEANUP_INTERVAL_SECONDS = 5.0
# Maximum number of concurrent cache queries. Each one uses a connection, and queries to
# 3,000 engines would exceed the connection limit of a small VM.
MAX_CACHE_QUERIES = 100
# Delay in milliseconds after which a request asks again, or its caller retries, if this
# router has used up its share of all engines: about the time that it takes to reach
# another router.
LOCAL_RETRY_MS = 50.0


class Scheduler(BackgroundTask, Placement):
    """Place generations by the load of the whole fleet.

    For each service, rendezvous hashing selects one of the reachable routers as its
    scheduling router, which places the requests of all routers. If it does not answer,
    this router places requests by the load that is known to it.

    Parameters
    ----------
    members, peers
        The other routers.
    directory
        The upstreams.
    traits_of
        Returns the capabilities of a service's engines, or None if unknown.
    engines
        Queried for cached prompt parts when this router begins to schedule an engine.
    gate
        Decides which upstreams may not receive new requests.
    cold
        Limits the requests placed at cold engines.
    meter
        Estimates how long messages wait for the VM's network link.
    clock
        Returns the time on the steady clock, in seconds.
    turns
        Admission queue for requests that find all engines full. If None, requests are
        not queued, and a router that places locally uses its own load estimates.

    Attributes
    ----------
    neighbourhood
        Selects the engines considered for a request, here and at other routers.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        directory: Directory,
        traits_of: Callable[[str], EngineTraits | None],
        engines: EngineClient,
        gate: SendGate,
        cold: ColdPlacementLimiter,
        meter: LinkMeter,
        clock: Callable[[], float],
        *,
        turns: AdmissionQueue | None = None,
    ) -> None:
        super().__init__()
        self._members = members
        self._directory = directory
        self._traits_of = traits_of
        self._engines = engines
        self._gate = gate
        self._cold_limiter = cold
        self.neighbourhood = Neighbourhood(directory)
        self.placing = EnginePlacer(
            directory, self.neighbourhood, traits_of, gate, cold, turns, clock
        )
        self.board = self.placing.board
        self._random = random.Random()
        self._tasks = Tasks()
        self._clock = clock
        self._update_sender = RunUpdateSender(members, peers)
        self._placement_client = PlacementClient(
            members,
            peers,
            directory,
            self.neighbourhood,
            gate,
            self._update_sender,
            meter,
            clock,
            may_wait=turns is not None,
        )
        self._cache_queries = asyncio.Semaphore(MAX_CACHE_QUERIES)
        self._scheduler_by_run: dict[str, str] = {}

    async def stop(self) -> None:
        """Stop the background tasks."""
        await super().stop()
        await self._tasks.stop()

    def refresh(self) -> None:
        """Update the state after a change of routers, upstreams or configuration.

        Query new engines scheduled here for their cached prompt parts, and discard the
        runs of routers that are gone.
        """
        members = self._members.by_vm.values()
        incarnations = {member.incarnation for member in members}
        self.board.prune_runs(incarnations)
        if self.placing.admission_queue is not None:
            self.placing.admission_queue.update_routers(incarnations)
        by_service: dict[str, list[UpstreamEntry]] = {}
        for entry in self._directory.entries_by_id.values():
            if self.placing.takes_work(entry):
                by_service.setdefault(entry.upstream.service, []).append(entry)
        self._cold_limiter.refresh(by_service, self._clock())
        for service, entries in by_service.items():
            if self._traits_of(service) is None:
                continue
            if not self.is_scheduler_for(service):
                continue
            own = self._members.own.data_centre
            candidates = self.placing.candidates(entries, own)
            for upstream_id in self.board.track_new(candidates):
                entry = self._directory.entries_by_id[upstream_id]
                # The query counts as a request to the engine and can be sent later.
                if self._gate.may_query(entry, self._clock()):
                    self._tasks.spawn(self._load_cache(entry.upstream))

    def discard_upstream(self, upstream: Upstream) -> None:
        """Discard the state of an engine whose process has restarted."""
        self.board.discard_upstream(upstream.id)

    async def _load_cache(self, upstream: Upstream) -> None:
        try:
            async with self._cache_queries:
                parts = await self._engines.cached_parts(upstream)
        except EngineUnavailable as error:
            log_event("engine did not list its cache", reason=str(error))
            return
        self.board.add_cached_parts(upstream.id, parts)
        tokens = sum(part.tokens for part in parts)
        log_event("engine cache contents received", upstream=upstream.id, tokens=tokens)

    def serve(self, server: PeerServer) -> None:
        """Register the handlers for messages of other routers."""
        server.handlers_by_class[PlacementRequest] = self._handle_place_request
        server.handlers_by_class[RunUpdateRequest] = self._handle_run_news

    async def choose(
        self,
        run_id: str,
        generation: Generation | None,
        candidates: Sequence[UpstreamEntry],
        aims: LatencyObjectives = NO_OBJECTIVES,
    ) -> Choice | None:
        """Return the chosen candidate, or None if none may receive the request."""
        assert generation is not None
        asked_at = self._clock()
        by_id = {entry.upstream.id: entry for entry in candidates}
        service = candidates[0].upstream.service
        request = self._placement_client.build_request(
            run_id, service, generation, by_id, aims
        )
        vm, reply = await self._decide(request, candidates)
        if reply.wait_ms or reply.upstream:
            self._scheduler_by_run[run_id] = vm
        if reply.wait_ms:
            raise AdmissionPending(reply.wait_ms / 1000.0, reply.ahead)
        if reply.retry_ms:
            raise AdmissionRefused(reply.retry_ms / 1000.0)
        if not reply.upstream:
            return None
        source = self._directory.entries_by_id.get(reply.fetch_from)
        may_fetch = source is not None and self.placing.may_be_source(source)
        return Choice(
            by_id[reply.upstream],
            source.upstream if source and may_fetch else None,
            reply.expected_ms / 1000.0,
            placed_by=vm,
            cold_permit_until=asked_at + PERMIT_SECONDS if reply.is_counted else 0.0,
            rate_permit_until=asked_at + PERMIT_SECONDS if reply.is_admitted else 0.0,
            is_placed_alone=vm == self._members.own.vm
            and not self.is_scheduler_for(service),
        )

    async def _decide(
        self, request: PlacementRequest, candidates: Sequence[UpstreamEntry]
    ) -> tuple[str, PlacementReply]:
        """Return the VM that decides on a request, and its reply."""
        vm, reply = await self._placement_client.query(
            request, has_waited=request.run_id in self._scheduler_by_run
        )
        if reply is not None:
            # A refusal is accepted, as the scheduling router may know of cold engines
            # that this one does not.
            if reply.is_refused or reply.wait_ms or reply.retry_ms:
                return vm, reply
            if reply.upstream in [entry.upstream.id for entry in candidates]:
                return vm, reply
        own = self._members.own.vm
        if self.placing.admission_queue and self.places_alone(request.service):
            return own, self._place_locally(request, candidates)
        return own, self.placing.decide(request, candidates)

    def _place_locally(
        self, request: PlacementRequest, candidates: Sequence[UpstreamEntry]
    ) -> PlacementReply:
        """Place a request by the engines' reports and this router's open requests."""
        now = self._clock()
        sampled = sample_candidates(candidates, self._random)
        if not sampled:
            log_event(
                "router has filled its share of all engines",
                request_id=request.run_id,
                engines=len(candidates),
                open_here=sum(entry.open_requests for entry in candidates),
            )
            if self._may_wait_locally(request):
                return PlacementReply("", wait_ms=LOCAL_RETRY_MS)
            return PlacementReply("", retry_ms=LOCAL_RETRY_MS)
        reply = self.placing.place(request, least_loaded(sampled, now))
        if not reply.upstream:
            # All sampled engines are cold or throttled.
            reply = self.placing.place(request, candidates)
        # The expected latency would ignore the requests of other routers.
        return attrs.evolve(reply, expected_ms=0.0)

    def _may_wait_locally(self, request: PlacementRequest) -> bool:
        """Return whether a queued request keeps waiting without a scheduling router.

        A late reply of the scheduling router says nothing about the engines. At least
        half of the caller's time is left for a retry at another router.
        """
        claim = request.claim
        if claim is None or request.run_id not in self._scheduler_by_run:
            return False
        return claim.waited + LOCAL_RETRY_MS / 1000.0 <= claim.left

    def record_first_event(
        self, run_id: str, upstream_id: str, *, took_ms: float
    ) -> None:
        """Record the first event of a run, `took_ms` milliseconds after its send."""
        self._report_stage(run_id, upstream_id, RunStage.BEGUN, round(took_ms, 1))

    def record_pause(self, run_id: str, upstream_id: str) -> None:
        """Record that a stream has paused for longer than allowed."""
        self._report_stage(run_id, upstream_id, RunStage.PAUSED)

    def record_end(self, run_id: str, upstream_id: str, *, failed: bool) -> None:
        """Record that an engine no longer works on a run."""
        stage = RunStage.FAILED if failed else RunStage.ENDED
        if not upstream_id:
            # The request was queued and has not been placed.
            stage = RunStage.UNPLACED
        self._report_stage(run_id, upstream_id, stage)
        self._scheduler_by_run.pop(run_id, None)

    def _report_stage(
        self, run_id: str, upstream_id: str, stage: RunStage, took_ms: float = 0.0
    ) -> None:
        vm = self._scheduler_by_run.get(run_id, self._members.own.vm)
        update = RunUpdate(run_id, upstream_id, stage, took_ms)
        if vm == self._members.own.vm:
            self._apply_update(update)
            return
        self._update_sender.enqueue(vm, [update])

    def places_alone(self, service: str) -> bool:
        """Return whether this router would place requests of a service alone now."""
        return not self._placement_client.is_scheduling_for_others(service)

    def is_scheduler_for(self, service: str) -> bool:
        """Return whether this router is the scheduling router of a service."""
        return self._scheduling_vm(service) == self._members.own.vm

    def _scheduling_vm(self, service: str) -> str:
        return self._members.owner_of_key(scheduling_key(service))

    async def _handle_run_news(self, request: RunUpdateRequest) -> Ack:
        for update in request.news:
            self._apply_update(update)
        return Ack()

    async def _handle_place_request(self, request: PlacementRequest) -> PlacementReply:
        self._placement_client.last_queried_at = self._clock()
        return await self.placing.handle_request(request)

    def _apply_update(self, update: RunUpdate) -> None:
        queue = self.placing.admission_queue
        if update.stage is RunStage.UNPLACED:
            self.board.discard_run(update.run_id)
            if queue is not None:
                queue.discard(update.run_id)
            return
        if update.stage is RunStage.BEGUN:
            took_ms = update.took_ms
            self.board.record_first_event(
                update.upstream, update.run_id, self._clock(), took_ms=took_ms
            )
            return
        if update.stage is RunStage.PAUSED:
            self.board.record_pause(update.upstream, update.run_id, self._clock())
            return
        entry = self._directory.entries_by_id.get(update.upstream)
        if queue is not None and entry is not None:
            queue.record_slot_freed(entry.upstream.service, self._clock())
        if update.stage is RunStage.FAILED:
            self.board.record_failure(update.upstream, update.run_id, self._clock())
            return
        self.board.record_end(update.upstream, update.run_id, self._clock())

    async def _run(self) -> None:
        cleaned_at = self._clock()
        while True:
            await self._update_sender.send_queued(CLEANUP_INTERVAL_SECONDS)
            if self._clock() - cleaned_at < CLEANUP_INTERVAL_SECONDS:
                continue
            cleaned_at = self._clock()
            self.board.prune(self._directory.entries_by_id, cleaned_at)
            entries_by_id = self._directory.entries_by_id
            self._cold_limiter.prune(entries_by_id)
            if self.placing.admission_queue is not None:
                services = {e.upstream.service for e in entries_by_id.values()}
                self.placing.admission_queue.prune_services(services)
