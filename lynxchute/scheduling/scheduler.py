"""Ask the router that schedules a service's engines, or be that router."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs

from lynxchute.application import Background, Tasks
from lynxchute.config import EngineTraits
from lynxchute.fleet.client import Peers
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import Done
from lynxchute.fleet.messages import (
    PlaceReply,
    PlaceRequest,
    RunNews,
    RunNewsRequest,
    RunStage,
)
from lynxchute.fleet.server import PeerServer
from lynxchute.http import LinkMeter
from lynxchute.overload.claim import AdmissionPending, AdmissionRefused
from lynxchute.scheduling.alone import two_at_random, with_most_room
from lynxchute.scheduling.asking import Asking
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.news import NewsOfRuns
from lynxchute.scheduling.place_requests import scheduling_key
from lynxchute.scheduling.placing import EnginePlacing
from lynxchute.scheduling.turns import AdmissionQueue
from lynxchute.telemetry import log_event
from lynxchute.upstreams.aims import NO_AIMS, Aims
from lynxchute.upstreams.cold_admission import PERMIT_SECONDS
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream

TIDY_SECONDS = 5.0
# Engines that are asked for their caches at once: each takes a connection, and 3,000
# together would have more than a small VM may open.
ASKED_AT_ONCE = 100
# Milliseconds after which a caller should be back whose router has filled its part of
# all engines: as long as it takes to reach another router.
OWN_RETRY_MS = 50.0


class Scheduler(Background, Placement):
    """Place generations with the load of the whole fleet in view.

    One router of those that can be reached does it for all, named by
    rendezvous hashing; where it does not answer, the own knowledge decides.

    Parameters
    ----------
    members, peers
        The other routers.
    directory
        The upstreams.
    traits_of
        Returns what the engines of a service can do, where it is known.
    engines
        Asked for what they keep when this router begins to schedule them.
    gate
        Tells which upstreams get nothing new.
    cold
        Says what may be placed at engines that are cold.
    meter
        Tells how long questions wait for the VM's link.
    clock
        Seconds on the steady clock.
    turns
        Says who waits where engines are full; None where nothing waits, and a router
        alone goes by its own figures.

    Attributes
    ----------
    neighbourhood
        Says which engines are looked at for a request, here and where it is asked for.
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
        self._cold = cold
        self.neighbourhood = Neighbourhood(directory)
        self.placing = EnginePlacing(
            directory, self.neighbourhood, traits_of, gate, cold, turns, clock
        )
        self.board = self.placing.board
        self._random = random.Random()
        self._tasks = Tasks()
        self._clock = clock
        self._news = NewsOfRuns(members, peers)
        self._asking = Asking(
            members,
            peers,
            directory,
            self.neighbourhood,
            gate,
            self._news,
            meter,
            clock,
            may_wait=turns is not None,
        )
        self._cache_questions = asyncio.Semaphore(ASKED_AT_ONCE)
        self._scheduler_by_run: dict[str, str] = {}

    async def stop(self) -> None:
        """End at once."""
        await super().stop()
        await self._tasks.stop()

    def refresh(self) -> None:
        """Learn what new engines keep, where this router schedules them.

        Runs of routers that are gone are forgotten.
        """
        members = self._members.by_vm.values()
        incarnations = {member.incarnation for member in members}
        self.board.keep_runs_of(incarnations)
        if self.placing.turns is not None:
            self.placing.turns.keep_routers(incarnations)
        by_service: dict[str, list[Entry]] = {}
        for entry in self._directory.entries_by_id.values():
            if self.placing.takes_work(entry):
                by_service.setdefault(entry.upstream.service, []).append(entry)
        self._cold.refresh(by_service, self._clock())
        for service, entries in by_service.items():
            if self._traits_of(service) is None:
                continue
            if not self.is_scheduler_for(service):
                continue
            own = self._members.own.data_centre
            candidates = self.placing.candidates(entries, own)
            for upstream_id in self.board.unknown(candidates):
                entry = self._directory.entries_by_id[upstream_id]
                # The question is one more request, and can be put later.
                if self._gate.may_be_asked(entry, self._clock()):
                    self._tasks.spawn(self._learn_cache(entry.upstream))

    def discard_upstream(self, upstream: Upstream) -> None:
        """Keep nothing of an engine whose process has started again."""
        self.board.discard_upstream(upstream.id)

    async def _learn_cache(self, upstream: Upstream) -> None:
        try:
            async with self._cache_questions:
                parts = await self._engines.cached_parts(upstream)
        except EngineUnavailable as error:
            log_event("engine did not list its cache", reason=str(error))
            return
        self.board.learn_cache(upstream.id, parts)
        tokens = sum(part.tokens for part in parts)
        log_event("engine cache contents received", upstream=upstream.id, tokens=tokens)

    def serve(self, server: PeerServer) -> None:
        """Answer the questions of other routers."""
        server.answers_by_class[PlaceRequest] = self._handle_place_request
        server.answers_by_class[RunNewsRequest] = self._serve_news

    async def choose(
        self,
        run_id: str,
        generation: Generation | None,
        candidates: Sequence[Entry],
        aims: Aims = NO_AIMS,
    ) -> Choice | None:
        """Return one of the candidates; None where all of them have had enough."""
        assert generation is not None
        asked_at = self._clock()
        by_id = {entry.upstream.id: entry for entry in candidates}
        service = candidates[0].upstream.service
        request = self._asking.request(run_id, service, generation, by_id, aims)
        vm, reply = await self._reply(request, candidates)
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
            permit_until=asked_at + PERMIT_SECONDS if reply.is_counted else 0.0,
            admitted_until=asked_at + PERMIT_SECONDS if reply.is_admitted else 0.0,
            is_placed_alone=vm == self._members.own.vm
            and not self.is_scheduler_for(service),
        )

    async def _reply(
        self, request: PlaceRequest, candidates: Sequence[Entry]
    ) -> tuple[str, PlaceReply]:
        """Return the VM that decides on a request, and what it says."""
        vm, reply = await self._asking.ask(
            request, has_waited=request.run_id in self._scheduler_by_run
        )
        if reply is not None:
            # Whoever schedules may know of cold engines what this one does not.
            if reply.is_refused or reply.wait_ms or reply.retry_ms:
                return vm, reply
            if reply.upstream in [entry.upstream.id for entry in candidates]:
                return vm, reply
        own, service = self._members.own.vm, request.service
        if self.placing.turns and not self._asking.schedules_for_others(service):
            return own, self._place_alone(request, candidates)
        return own, self.placing.decide(request, candidates)

    def _place_alone(
        self, request: PlaceRequest, candidates: Sequence[Entry]
    ) -> PlaceReply:
        """Place by what the engines say of themselves and what is open here."""
        now = self._clock()
        compared = two_at_random(candidates, self._random)
        if not compared:
            log_event(
                "router has filled its share of all engines",
                request_id=request.run_id,
                engines=len(candidates),
                open_here=sum(entry.open_requests for entry in candidates),
            )
            return PlaceReply("", retry_ms=OWN_RETRY_MS)
        reply = self.placing.place(request, with_most_room(compared, now))
        if not reply.upstream:
            # Both are cold or throttled.
            reply = self.placing.place(request, candidates)
        # What is expected here leaves out all that others send there.
        return attrs.evolve(reply, expected_ms=0.0)

    def record_first_event(
        self, run_id: str, upstream_id: str, *, took_ms: float
    ) -> None:
        """Note the first event of a run, so many milliseconds after its send."""
        self._note(run_id, upstream_id, RunStage.BEGUN, round(took_ms, 1))

    def record_pause(self, run_id: str, upstream_id: str) -> None:
        """Note that a stream has paused for longer than is on time."""
        self._note(run_id, upstream_id, RunStage.PAUSED)

    def record_end(self, run_id: str, upstream_id: str, *, failed: bool) -> None:
        """Note that an engine no longer works on a run."""
        stage = RunStage.FAILED if failed else RunStage.ENDED
        if not upstream_id:
            # It has waited for a place and got none.
            stage = RunStage.UNPLACED
        self._note(run_id, upstream_id, stage)
        self._scheduler_by_run.pop(run_id, None)

    def _note(
        self, run_id: str, upstream_id: str, stage: RunStage, took_ms: float = 0.0
    ) -> None:
        vm = self._scheduler_by_run.get(run_id, self._members.own.vm)
        news = RunNews(run_id, upstream_id, stage, took_ms)
        if vm == self._members.own.vm:
            self._take(news)
            return
        self._news.post(vm, [news])

    def is_scheduler_for(self, service: str) -> bool:
        """Return whether this router places a service's requests."""
        return self._scheduling_vm(service) == self._members.own.vm

    def _scheduling_vm(self, service: str) -> str:
        return self._members.first_for(scheduling_key(service))

    async def _serve_news(self, request: RunNewsRequest) -> Done:
        for news in request.news:
            self._take(news)
        return Done()

    async def _handle_place_request(self, request: PlaceRequest) -> PlaceReply:
        self._asking.asked_at = self._clock()
        return await self.placing.serve(request)

    def _take(self, news: RunNews) -> None:
        turns = self.placing.turns
        if news.stage is RunStage.UNPLACED:
            self.board.drop(news.run_id)
            if turns is not None:
                turns.drop(news.run_id)
            return
        if news.stage is RunStage.BEGUN:
            took_ms = news.took_ms
            self.board.begun(news.upstream, news.run_id, self._clock(), took_ms=took_ms)
            return
        if news.stage is RunStage.PAUSED:
            self.board.paused(news.upstream, news.run_id, self._clock())
            return
        entry = self._directory.entries_by_id.get(news.upstream)
        if turns is not None and entry is not None:
            turns.record_freed(entry.upstream.service, self._clock())
        if news.stage is RunStage.FAILED:
            self.board.failed(news.upstream, news.run_id, self._clock())
            return
        self.board.ended(news.upstream, news.run_id, self._clock())

    async def _run(self) -> None:
        tidied_at = self._clock()
        while True:
            await self._news.tell(TIDY_SECONDS)
            if self._clock() - tidied_at < TIDY_SECONDS:
                continue
            tidied_at = self._clock()
            self.board.keep_only(self._directory.entries_by_id, tidied_at)
            entries_by_id = self._directory.entries_by_id
            self._cold.keep_only(entries_by_id)
            if self.placing.turns is not None:
                services = {e.upstream.service for e in entries_by_id.values()}
                self.placing.turns.keep_services(services)
