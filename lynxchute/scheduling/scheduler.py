"""Ask the router that schedules a service's engines, or be that router."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

import attrs

from lynxchute.application import Background, Tasks
from lynxchute.config import EngineTraits
from lynxchute.fleet.client import Peers, PeerUnreachable
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
from lynxchute.rendezvous import ranked
from lynxchute.scheduling.backpressure_news import backpressure_of, take_backpressure
from lynxchute.scheduling.board import Candidate, EngineBoard
from lynxchute.scheduling.cold_placements import ColdPlacements
from lynxchute.scheduling.newcomer import Newcomer
from lynxchute.scheduling.news import NewsOfRuns
from lynxchute.scheduling.place_requests import newcomer_of, scheduling_key
from lynxchute.telemetry import log_event
from lynxchute.upstreams.aims import NO_AIMS, Aims
from lynxchute.upstreams.cold_admission import PERMIT_SECONDS
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import Engines, EngineSilent
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream

# Seconds that a request waits for a place; a router within the region answers
# in a few ms.
ASK_SECONDS = 0.1
TIDY_SECONDS = 5.0
# Engines that are asked for their caches at once: each takes a connection, and 3,000
# together would have more than a small VM may open.
ASKED_AT_ONCE = 100
# Tokens of an engine's memory where its service does not say.
USUAL_CAPACITY = 400_000


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
        engines: Engines,
        gate: SendGate,
        cold: ColdPlacements,
        meter: LinkMeter,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self.board = EngineBoard()
        self._members = members
        self._peers = peers
        self._directory = directory
        self._traits_of = traits_of
        self._engines = engines
        self._gate = gate
        self._cold = cold
        self.neighbourhood = Neighbourhood(directory)
        self._tasks = Tasks()
        self._meter = meter
        self._clock = clock
        self._news = NewsOfRuns(members, peers)
        self._asking = asyncio.Semaphore(ASKED_AT_ONCE)
        self._scheduler_by_run: dict[str, str] = {}

    async def stop(self) -> None:
        """End at once."""
        await super().stop()
        await self._tasks.stop()

    def look(self) -> None:
        """Learn what new engines keep, where this router schedules them.

        Runs of routers that are gone are forgotten.
        """
        members = self._members.by_vm.values()
        self.board.keep_runs_of({member.incarnation for member in members})
        by_service: dict[str, list[Entry]] = {}
        for entry in self._directory.entries_by_id.values():
            if self._takes_work(entry):
                by_service.setdefault(entry.upstream.service, []).append(entry)
        self._cold.look(by_service, self._clock())
        for service, entries in by_service.items():
            if self._traits_of(service) is None:
                continue
            if not self.schedules(service):
                continue
            candidates = self._candidates(entries, self._own_data_centre)
            for upstream_id in self.board.unknown(candidates):
                entry = self._directory.entries_by_id[upstream_id]
                # The question is one more request, and can be put later.
                if self._gate.may_be_asked(entry, self._clock()):
                    self._tasks.spawn(self._learn_cache(entry.upstream))

    def forget(self, upstream: Upstream) -> None:
        """Keep nothing of an engine whose process has started again."""
        self.board.forget(upstream.id)

    async def _learn_cache(self, upstream: Upstream) -> None:
        try:
            async with self._asking:
                parts = await self._engines.cached_parts(upstream)
        except EngineSilent as error:
            log_event("engine did not list its cache", reason=str(error))
            return
        self.board.learn_cache(upstream.id, parts)
        tokens = sum(part.tokens for part in parts)
        log_event("engine's cache known", upstream=upstream.id, tokens=tokens)

    def serve(self, server: PeerServer) -> None:
        """Answer the questions of other routers."""
        server.answers_by_class[PlaceRequest] = self._serve_place
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
        request = self._request(run_id, service, generation, by_id, aims)
        own = self._members.own.vm
        vm = self._scheduling_vm(service)
        reply = PlaceReply("")
        if vm != own:
            reply = await self._ask(vm, request)
        if reply.is_refused:
            # Whoever schedules may know of cold engines what this one does not.
            return None
        if reply.upstream not in by_id:
            vm = own
            reply = self._place(request, newcomer_of(request), candidates)
        if not reply.upstream:
            return None
        self._scheduler_by_run[run_id] = vm
        source = self._directory.entries_by_id.get(reply.fetch_from)
        return Choice(
            by_id[reply.upstream],
            source.upstream if source and self._may_be_source(source) else None,
            reply.expected_ms / 1000.0,
            placed_by=vm,
            permit_until=asked_at + PERMIT_SECONDS if reply.is_counted else 0.0,
            admitted_until=asked_at + PERMIT_SECONDS if reply.is_admitted else 0.0,
            is_placed_alone=vm == own and not self.schedules(service),
        )

    def note_begun(self, run_id: str, upstream_id: str, *, took_ms: float) -> None:
        """Note the first event of a run, so many milliseconds after its send."""
        self._note(run_id, upstream_id, RunStage.BEGUN, round(took_ms, 1))

    def note_paused(self, run_id: str, upstream_id: str) -> None:
        """Note that a stream has paused for longer than is on time."""
        self._note(run_id, upstream_id, RunStage.PAUSED)

    def note_ended(self, run_id: str, upstream_id: str, *, failed: bool) -> None:
        """Note that an engine no longer works on a run."""
        stage = RunStage.FAILED if failed else RunStage.ENDED
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

    def schedules(self, service: str) -> bool:
        """Return whether this router places a service's requests."""
        return self._scheduling_vm(service) == self._members.own.vm

    def _scheduling_vm(self, service: str) -> str:
        return self._members.first_for(scheduling_key(service))

    def _request(
        self,
        run_id: str,
        service: str,
        generation: Generation,
        by_id: dict[str, Entry],
        aims: Aims,
    ) -> PlaceRequest:
        """Return the question where a generation should go."""
        key = generation.placing_key(run_id)
        return PlaceRequest(
            run_id=run_id,
            service=service,
            data_centre=self._members.own.data_centre,
            passed_over=tuple(self._passed_over(service, key, by_id)),
            prompt_tokens=generation.prompt_tokens,
            output_tokens=generation.max_output_tokens,
            parts=tuple((part.id, part.tokens) for part in generation.parts),
            own_turns=self._own_turns(service, by_id),
            backpressure=backpressure_of(self._directory, service, self._clock()),
            router=self._members.own.incarnation,
            expected_output_tokens=generation.expected_output_tokens,
            first_event_ms=aims.first_event_ms,
            pause_ms=aims.pause_ms,
        )

    def _own_turns(self, service: str, by_id: dict[str, Entry]) -> tuple[str, ...]:
        """Return the throttled candidates to which this router may send by itself."""
        now, found = self._clock(), []
        for entry in self._directory.throttled(service, now):
            upstream_id = entry.upstream.id
            if upstream_id in by_id and self._gate.rates.has_turn(entry, now):
                found.append(upstream_id)
        return tuple(found)

    async def _ask(self, vm: str, request: PlaceRequest) -> PlaceReply:
        # Where no answer comes in time it may have placed the run all the same.
        unplaced = [RunNews(request.run_id, "", RunStage.UNPLACED)]
        try:
            async with asyncio.timeout(ASK_SECONDS + self._meter.delay()):
                reply = await self._peers.ask(vm, request)
        except PeerUnreachable:
            self._news.post(vm, unplaced)
            return PlaceReply("")
        except asyncio.CancelledError:
            self._news.post(vm, unplaced)
            raise
        except TimeoutError:
            self._news.post(vm, unplaced)
            self._members.note_silence(vm, self._clock())
            log_event("scheduling router too slow", peer=vm, request_id=request.run_id)
            return PlaceReply("")
        take_backpressure(self._directory, reply.backpressure, self._clock())
        return reply

    def _passed_over(
        self, service: str, key: str, by_id: dict[str, Entry]
    ) -> list[str]:
        """Return the engines that are looked at and not among the candidates."""
        found = []
        for entry in self.neighbourhood.entries(service, key, self._clock()):
            # The scheduling router knows by itself what is evacuated.
            if entry.upstream.id not in by_id and not self._gate.is_evacuated(
                entry.upstream
            ):
                found.append(entry.upstream.id)
        return found

    @property
    def _own_data_centre(self) -> str:
        return self._members.own.data_centre

    def _place(
        self, request: PlaceRequest, newcomer: Newcomer, entries: Iterable[Entry]
    ) -> PlaceReply:
        """Choose one of the entries; an empty name where none may get it."""
        now = self._clock()
        traits = self._traits_of(request.service)
        # A rank of its own for each prompt spreads what costs the same.
        admitting = self._cold.admitting(self._within_rate(request, entries), now)
        by_id = {entry.upstream.id: entry for entry in admitting}
        key = newcomer.generation.placing_key(request.run_id)
        order = ranked(key, by_id)
        in_order = [by_id[upstream_id] for upstream_id in order]
        place = self.board.place(
            newcomer,
            self._candidates(in_order, request.data_centre),
            now,
            sources=self._sources(request.service, key, now),
            fetch_tokens_per_ms=traits.fetch_tokens_per_ms if traits else 0.0,
        )
        is_counted = is_admitted = False
        if place.upstream_id:
            entry = by_id[place.upstream_id]
            is_counted = self._cold.note_placed(entry, now)
            # A turn that is not used is lost, so what is counted is kept for others.
            if place.upstream_id not in request.own_turns:
                is_admitted = self._gate.rates.take_count(entry, now)
        return PlaceReply(
            place.upstream_id,
            place.fetch_from,
            place.expected_ms,
            is_counted,
            is_admitted,
            backpressure_of(self._directory, request.service, now),
        )

    def _within_rate(
        self, request: PlaceRequest, entries: Iterable[Entry]
    ) -> Iterable[Entry]:
        """Return the engines that name no limit, or take one more request within it."""
        now, rates = self._clock(), self._gate.rates
        passed_over = set()
        for entry in self._directory.throttled(request.service, now):
            upstream_id = entry.upstream.id
            if upstream_id in request.own_turns or rates.has_count(entry, now):
                continue
            passed_over.add(upstream_id)
        if not passed_over:
            return entries
        return [entry for entry in entries if entry.upstream.id not in passed_over]

    def _sources(self, service: str, key: str, now: float) -> list[str]:
        """Return the engines that can hand over what they keep, leaving or not."""
        entries_by_id = self._directory.entries_by_id
        found = []
        for upstream_id in self.neighbourhood.ids(service, key):
            entry = entries_by_id.get(upstream_id)
            if entry is not None and self._may_be_source(entry):
                found.append(upstream_id)
        return found

    def _may_be_source(self, entry: Entry) -> bool:
        return entry.gone_at is None and not self._gate.is_evacuated(entry.upstream)

    def _takes_work(self, entry: Entry) -> bool:
        return entry.takes_work and not self._gate.is_evacuated(entry.upstream)

    def _candidates(
        self, entries: Sequence[Entry], data_centre: str
    ) -> list[Candidate]:
        found = []
        for entry in entries:
            upstream = entry.upstream
            traits = self._traits_of(upstream.service)
            capacity = traits.cache_tokens if traits else USUAL_CAPACITY
            is_far = upstream.data_centre != data_centre
            found.append(Candidate(upstream.id, upstream.slots, capacity, is_far))
        return found

    async def _serve_place(self, request: PlaceRequest) -> PlaceReply:
        take_backpressure(self._directory, request.backpressure, self._clock())
        newcomer = newcomer_of(request)
        key = newcomer.generation.placing_key(request.run_id)
        entries = []
        for entry in self.neighbourhood.entries(request.service, key, self._clock()):
            if self._takes_work(entry) and entry.upstream.id not in request.passed_over:
                entries.append(entry)
        reply = self._place(request, newcomer, entries)
        return attrs.evolve(reply, is_refused=bool(entries) and not reply.upstream)

    async def _serve_news(self, request: RunNewsRequest) -> Done:
        for news in request.news:
            self._take(news)
        return Done()

    def _take(self, news: RunNews) -> None:
        if news.stage is RunStage.UNPLACED:
            self.board.drop(news.run_id)
            return
        if news.stage is RunStage.BEGUN:
            took_ms = news.took_ms
            self.board.begun(news.upstream, news.run_id, self._clock(), took_ms=took_ms)
            return
        if news.stage is RunStage.PAUSED:
            self.board.paused(news.upstream, news.run_id, self._clock())
            return
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
            self._cold.keep_only(self._directory.entries_by_id)
