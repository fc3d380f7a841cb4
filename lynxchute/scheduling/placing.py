"""Place generations at engines, for the whole fleet or for this router only."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs

from lynxchute.config import EngineTraits
from lynxchute.fleet.messages import PlacementReply, PlacementRequest
from lynxchute.overload.claim import Claim, InvalidClaim
from lynxchute.rendezvous import ranked
from lynxchute.scheduling.backpressure_news import (
    known_backpressure,
    merge_backpressure,
)
from lynxchute.scheduling.board import Candidate, EngineBoard
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.place_requests import pending_request
from lynxchute.scheduling.turns import AdmissionQueue, reject_claim
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.send_gate import SendGate

# Memory of an engine in tokens if its service does not configure it.
DEFAULT_CAPACITY = 400_000


@attrs.frozen
class _PlacementAttempt:
    """The reply of a search for an engine, and whether all engines were full."""

    reply: PlacementReply
    is_full: bool = False


class EnginePlacer:
    """Place generations by the load that this router knows of.

    Parameters
    ----------
    directory
        The upstreams.
    neighbourhood
        Returns the engines considered for a request.
    traits_of
        Returns the capabilities of a service's engines, or None if unknown.
    gate
        Decides which upstreams may not receive new requests.
    cold
        Limits the requests placed at cold engines.
    admission_queue
        Admission queue for requests that find all engines full; None if requests
        are not queued.
    clock
        Returns the time on the steady clock, in seconds.
    """

    def __init__(
        self,
        directory: Directory,
        neighbourhood: Neighbourhood,
        traits_of: Callable[[str], EngineTraits | None],
        gate: SendGate,
        cold: ColdPlacementLimiter,
        admission_queue: AdmissionQueue | None,
        clock: Callable[[], float],
    ) -> None:
        self.board = EngineBoard()
        self.admission_queue = admission_queue
        self._directory = directory
        self._neighbourhood = neighbourhood
        self._traits_of = traits_of
        self._gate = gate
        self._cold_limiter = cold
        self._clock = clock

    async def handle_request(self, request: PlacementRequest) -> PlacementReply:
        """Handle a placement query of another router."""
        merge_backpressure(self._directory, request.backpressure, self._clock())
        key = pending_request(request).generation.affinity_key(request.run_id)
        entries = []
        for entry in self._neighbourhood.entries(
            request.service,
            key,
            self._clock(),
            software_version=request.software_version,
        ):
            if self.takes_work(entry) and entry.upstream.id not in request.passed_over:
                entries.append(entry)
        return self.decide_for_peer(request, entries)

    def decide_for_peer(
        self, request: PlacementRequest, entries: Sequence[UpstreamEntry]
    ) -> PlacementReply:
        """Decide a query of another router; reject it if its claim is invalid."""
        if request.claim is not None and self.admission_queue is not None:
            try:
                self.admission_queue.check(request, request.claim)
            except InvalidClaim as error:
                return reject_claim(request, error)
        reply = self.decide(request, entries)
        if reply.wait_ms or reply.retry_ms:
            return reply
        return attrs.evolve(reply, is_refused=bool(entries) and not reply.upstream)

    def decide(
        self, request: PlacementRequest, entries: Sequence[UpstreamEntry]
    ) -> PlacementReply:
        """Choose one of the entries, or queue the request until its turn."""
        if request.claim is None or self.admission_queue is None:
            return self.place(request, entries)
        return self._place_in_turn(
            request, entries, request.claim, self.admission_queue
        )

    def place(
        self, request: PlacementRequest, entries: Iterable[UpstreamEntry]
    ) -> PlacementReply:
        """Choose one of the entries; the reply names no upstream if none is allowed."""
        return self._search(request, entries, skips_full=False).reply

    def candidates(
        self, entries: Iterable[UpstreamEntry], data_centre: str
    ) -> list[Candidate]:
        """Return the entries as candidates for requests from a data centre."""
        found = []
        for entry in entries:
            upstream = entry.upstream
            traits = self._traits_of(upstream.service)
            capacity = traits.cache_tokens if traits else DEFAULT_CAPACITY
            is_far = upstream.data_centre != data_centre
            found.append(Candidate(upstream.id, upstream.slots, capacity, is_far))
        return found

    def takes_work(self, entry: UpstreamEntry) -> bool:
        """Return whether an engine accepts new requests."""
        return entry.takes_work and not self._gate.is_evacuated(entry.upstream)

    def may_be_source(self, entry: UpstreamEntry) -> bool:
        """Return whether cached parts can be fetched from an engine, leaving or not."""
        return entry.removed_at is None and not self._gate.is_evacuated(entry.upstream)

    def _place_in_turn(
        self,
        request: PlacementRequest,
        entries: Sequence[UpstreamEntry],
        claim: Claim,
        queue: AdmissionQueue,
    ) -> PlacementReply:
        """Place a request unless engines are full or other requests come first."""
        now = self._clock()
        slots = sum(entry.upstream.slots for entry in entries)
        if not queue.is_empty(request.service, now):
            reply = queue.enqueue(request, claim, slots, now)
            if reply.retry_ms or reply.ahead >= self._free_slots(request, entries):
                return reply
        attempt = self._search(request, entries, skips_full=True)
        if attempt.is_full:
            return queue.enqueue(request, claim, slots, now)
        if attempt.reply.upstream:
            queue.record_placement(request, claim, now)
        else:
            queue.discard(request.run_id)
        return attempt.reply

    def _free_slots(
        self, request: PlacementRequest, entries: Sequence[UpstreamEntry]
    ) -> int:
        candidates = self.candidates(entries, request.data_centre)
        return self.board.free_slots(pending_request(request), candidates)

    def _search(
        self,
        request: PlacementRequest,
        entries: Iterable[UpstreamEntry],
        *,
        skips_full: bool,
    ) -> _PlacementAttempt:
        now = self._clock()
        pending = pending_request(request)
        traits = self._traits_of(request.service)
        # Ranking the engines by prompt spreads requests over engines of equal cost.
        admissible_entries = self._cold_limiter.admissible_entries(
            self._within_rate(request, entries), now
        )
        by_id = {entry.upstream.id: entry for entry in admissible_entries}
        key = pending.generation.affinity_key(request.run_id)
        order = ranked(key, by_id)
        in_order = [by_id[upstream_id] for upstream_id in order]
        placement = self.board.place(
            pending,
            self.candidates(in_order, request.data_centre),
            now,
            sources=self._fetch_sources(request.service, key),
            fetch_tokens_per_ms=traits.fetch_tokens_per_ms if traits else 0.0,
            skips_full=skips_full,
        )
        is_counted = is_admitted = False
        if placement.upstream_id:
            entry = by_id[placement.upstream_id]
            is_counted = self._cold_limiter.record_placement(entry, now)
            # A router's own turn is lost if unused, so fleet-wide permits are kept for
            # routers without one.
            if placement.upstream_id not in request.own_turns:
                is_admitted = self._gate.rates.admit(entry, now)
        reply = PlacementReply(
            placement.upstream_id,
            placement.fetch_from,
            placement.expected_ms,
            is_counted,
            is_admitted,
            known_backpressure(self._directory, request.service, now),
        )
        return _PlacementAttempt(reply, placement.is_full)

    def _within_rate(
        self, request: PlacementRequest, entries: Iterable[UpstreamEntry]
    ) -> Iterable[UpstreamEntry]:
        """Return the engines whose rate limit, if any, allows one more request."""
        now, rates = self._clock(), self._gate.rates
        excluded = set()
        for entry in self._directory.with_backpressure(request.service, now):
            upstream_id = entry.upstream.id
            if upstream_id in request.own_turns or rates.may_admit(entry, now):
                continue
            excluded.add(upstream_id)
        if not excluded:
            return entries
        return [entry for entry in entries if entry.upstream.id not in excluded]

    def _fetch_sources(self, service: str, key: str) -> list[str]:
        """Return the engines from which cached parts can be fetched."""
        entries_by_id = self._directory.entries_by_id
        found = []
        for upstream_id in self._neighbourhood.ids(service, key):
            entry = entries_by_id.get(upstream_id)
            if entry is not None and self.may_be_source(entry):
                found.append(upstream_id)
        return found
