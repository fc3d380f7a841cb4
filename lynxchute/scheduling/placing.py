"""Place generations at engines, for the whole fleet or for this router alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs

from lynxchute.config import EngineTraits
from lynxchute.fleet.messages import PlaceReply, PlaceRequest
from lynxchute.overload.claim import Claim, InvalidClaim
from lynxchute.rendezvous import ranked
from lynxchute.scheduling.backpressure_news import (
    known_backpressure,
    merge_backpressure,
)
from lynxchute.scheduling.board import Candidate, EngineBoard
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.place_requests import newcomer_of
from lynxchute.scheduling.turns import AdmissionQueue, refused_claim
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.send_gate import SendGate

# Tokens of an engine's memory where its service does not say.
USUAL_CAPACITY = 400_000


@attrs.frozen
class _Found:
    """What came of a search for an engine, and whether all were full."""

    reply: PlaceReply
    is_full: bool = False


class EnginePlacing:
    """Place generations with all that this router knows of the engines' load.

    Parameters
    ----------
    directory
        The upstreams.
    neighbourhood
        Says which engines are looked at for a request.
    traits_of
        Returns what the engines of a service can do, where it is known.
    gate
        Tells which upstreams get nothing new.
    cold
        Says what may be placed at engines that are cold.
    turns
        Says who waits where engines are full; None where nothing waits.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self,
        directory: Directory,
        neighbourhood: Neighbourhood,
        traits_of: Callable[[str], EngineTraits | None],
        gate: SendGate,
        cold: ColdPlacementLimiter,
        turns: AdmissionQueue | None,
        clock: Callable[[], float],
    ) -> None:
        self.board = EngineBoard()
        self.turns = turns
        self._directory = directory
        self._neighbourhood = neighbourhood
        self._traits_of = traits_of
        self._gate = gate
        self._cold = cold
        self._clock = clock

    async def serve(self, request: PlaceRequest) -> PlaceReply:
        """Answer another router."""
        merge_backpressure(self._directory, request.backpressure, self._clock())
        key = newcomer_of(request).generation.affinity_key(request.run_id)
        entries = []
        for entry in self._neighbourhood.entries(request.service, key, self._clock()):
            if self.takes_work(entry) and entry.upstream.id not in request.passed_over:
                entries.append(entry)
        return self.decide_for_other(request, entries)

    def decide_for_other(
        self, request: PlaceRequest, entries: Sequence[Entry]
    ) -> PlaceReply:
        """Decide on the question of another router, unless none can have asked it."""
        if request.claim is not None and self.turns is not None:
            try:
                self.turns.check(request, request.claim)
            except InvalidClaim as error:
                return refused_claim(request, error)
        reply = self.decide(request, entries)
        if reply.wait_ms or reply.retry_ms:
            return reply
        return attrs.evolve(reply, is_refused=bool(entries) and not reply.upstream)

    def decide(self, request: PlaceRequest, entries: Sequence[Entry]) -> PlaceReply:
        """Choose one of the entries, or have the request wait for its turn."""
        if request.claim is None or self.turns is None:
            return self.place(request, entries)
        return self._in_turn(request, entries, request.claim, self.turns)

    def place(self, request: PlaceRequest, entries: Iterable[Entry]) -> PlaceReply:
        """Choose one of the entries; an empty name where none may get it."""
        return self._find(request, entries, spares_full=False).reply

    def candidates(self, entries: Iterable[Entry], data_centre: str) -> list[Candidate]:
        """Return entries as the board looks at them from a data centre."""
        found = []
        for entry in entries:
            upstream = entry.upstream
            traits = self._traits_of(upstream.service)
            capacity = traits.cache_tokens if traits else USUAL_CAPACITY
            is_far = upstream.data_centre != data_centre
            found.append(Candidate(upstream.id, upstream.slots, capacity, is_far))
        return found

    def takes_work(self, entry: Entry) -> bool:
        """Return whether an engine may get something new."""
        return entry.takes_work and not self._gate.is_evacuated(entry.upstream)

    def may_be_source(self, entry: Entry) -> bool:
        """Return whether an engine can hand over what it keeps, leaving or not."""
        return entry.removed_at is None and not self._gate.is_evacuated(entry.upstream)

    def _in_turn(
        self,
        request: PlaceRequest,
        entries: Sequence[Entry],
        claim: Claim,
        turns: AdmissionQueue,
    ) -> PlaceReply:
        """Place a request unless engines are full, or others come before it."""
        now = self._clock()
        places = sum(entry.upstream.slots for entry in entries)
        if not turns.is_idle(request.service, now):
            reply = turns.wait(request, claim, places, now)
            if reply.retry_ms or reply.ahead >= self._free_places(request, entries):
                return reply
        found = self._find(request, entries, spares_full=True)
        if found.is_full:
            return turns.wait(request, claim, places, now)
        if found.reply.upstream:
            turns.record_placement(request, claim, now)
        else:
            turns.drop(request.run_id)
        return found.reply

    def _free_places(self, request: PlaceRequest, entries: Sequence[Entry]) -> int:
        candidates = self.candidates(entries, request.data_centre)
        return self.board.free_places(newcomer_of(request), candidates)

    def _find(
        self, request: PlaceRequest, entries: Iterable[Entry], *, spares_full: bool
    ) -> _Found:
        now = self._clock()
        newcomer = newcomer_of(request)
        traits = self._traits_of(request.service)
        # A rank of its own for each prompt spreads what costs the same.
        admissible_entries = self._cold.admissible_entries(
            self._within_rate(request, entries), now
        )
        by_id = {entry.upstream.id: entry for entry in admissible_entries}
        key = newcomer.generation.affinity_key(request.run_id)
        order = ranked(key, by_id)
        in_order = [by_id[upstream_id] for upstream_id in order]
        place = self.board.place(
            newcomer,
            self.candidates(in_order, request.data_centre),
            now,
            sources=self._fetch_sources(request.service, key),
            fetch_tokens_per_ms=traits.fetch_tokens_per_ms if traits else 0.0,
            spares_full=spares_full,
        )
        is_counted = is_admitted = False
        if place.upstream_id:
            entry = by_id[place.upstream_id]
            is_counted = self._cold.record_placement(entry, now)
            # A turn that is not used is lost, so what is counted is kept for others.
            if place.upstream_id not in request.own_turns:
                is_admitted = self._gate.rates.admit(entry, now)
        reply = PlaceReply(
            place.upstream_id,
            place.fetch_from,
            place.expected_ms,
            is_counted,
            is_admitted,
            known_backpressure(self._directory, request.service, now),
        )
        return _Found(reply, place.is_full)

    def _within_rate(
        self, request: PlaceRequest, entries: Iterable[Entry]
    ) -> Iterable[Entry]:
        """Return the engines that name no limit, or take one more request within it."""
        now, rates = self._clock(), self._gate.rates
        passed_over = set()
        for entry in self._directory.throttled(request.service, now):
            upstream_id = entry.upstream.id
            if upstream_id in request.own_turns or rates.may_admit(entry, now):
                continue
            passed_over.add(upstream_id)
        if not passed_over:
            return entries
        return [entry for entry in entries if entry.upstream.id not in passed_over]

    def _fetch_sources(self, service: str, key: str) -> list[str]:
        """Return the engines that can hand over what they keep, leaving or not."""
        entries_by_id = self._directory.entries_by_id
        found = []
        for upstream_id in self._neighbourhood.ids(service, key):
            entry = entries_by_id.get(upstream_id)
            if entry is not None and self.may_be_source(entry):
                found.append(upstream_id)
        return found
