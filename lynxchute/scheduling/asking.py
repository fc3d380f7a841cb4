"""Request placements of generations from the scheduling router."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import (
    PlacementReply,
    PlacementRequest,
    RunStage,
    RunUpdate,
)
from lynxchute.http import LinkMeter
from lynxchute.scheduling.backpressure_news import (
    known_backpressure,
    merge_backpressure,
)
from lynxchute.scheduling.news import RunUpdateSender
from lynxchute.scheduling.place_requests import scheduling_key
from lynxchute.telemetry import log_event
from lynxchute.upstreams.aims import LatencyObjectives
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.send_gate import SendGate

# Timeout in seconds of a placement query; a router in the same region answers in a
# few ms.
QUERY_TIMEOUT_SECONDS = 0.1
# Routers queried for a request that was queued before, until it is placed locally: a
# queued request finds the next scheduling router within 0.3 s. For a new request only
# one router is queried. If it does not answer, the request is placed locally at once:
# the response may then still be on time, and the delay may be caused by this VM's own
# link.
MAX_QUERIED_ROUTERS = 2
# Seconds for which a query from another router is evidence that this router schedules
# for others.
RECENT_QUERY_SECONDS = 1.0


class PlacementClient:
    """Query the routers that schedule a service's engines, one after the other.

    Parameters
    ----------
    members, peers
        The other routers.
    directory
        The upstreams.
    neighbourhood
        Returns the engines considered for a request.
    gate
        Decides which upstreams may not receive new requests.
    update_sender
        Tells routers which of their placements were not used.
    meter
        Estimates how long messages wait for the VM's network link.
    clock
        Returns the time on the steady clock, in seconds.
    may_wait
        Whether requests are queued when all engines are full.

    Attributes
    ----------
    last_queried_at
        Time of the last placement query from another router, in seconds.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        directory: Directory,
        neighbourhood: Neighbourhood,
        gate: SendGate,
        update_sender: RunUpdateSender,
        meter: LinkMeter,
        clock: Callable[[], float],
        *,
        may_wait: bool,
    ) -> None:
        self.last_queried_at = -math.inf
        self._members = members
        self._peers = peers
        self._directory = directory
        self._neighbourhood = neighbourhood
        self._gate = gate
        self._update_sender = update_sender
        self._meter = meter
        self._clock = clock
        self._may_wait = may_wait

    async def query(
        self, request: PlacementRequest, *, has_waited: bool
    ) -> tuple[str, PlacementReply | None]:
        """Return the scheduling VM and its reply.

        The reply is None if this router schedules the service itself, or if no router
        answers in time.

        Parameters
        ----------
        has_waited
            Whether the scheduling router has queued the request before.
        """
        own, key = self._members.own.vm, scheduling_key(request.service)
        for _ in range(MAX_QUERIED_ROUTERS if has_waited else 1):
            vm = self._members.owner_of_key(key)
            if vm == own:
                break
            reply = await self._query(vm, request)
            if reply is not None:
                return vm, reply
        return own, None

    def is_scheduling_for_others(self, service: str) -> bool:
        """Return whether this router knows the load that others put on a service."""
        key = scheduling_key(service)
        if self._members.owner_of_key(key) != self._members.own.vm:
            return False
        is_recent = self._clock() - self.last_queried_at < RECENT_QUERY_SECONDS
        return is_recent or self._members.own_rank(key) == 0

    def build_request(
        self,
        run_id: str,
        service: str,
        generation: Generation,
        by_id: dict[str, UpstreamEntry],
        aims: LatencyObjectives,
    ) -> PlacementRequest:
        """Return the placement query for a generation."""
        key = generation.affinity_key(run_id)
        return PlacementRequest(
            run_id=run_id,
            service=service,
            data_centre=self._members.own.data_centre,
            passed_over=tuple(self._excluded_ids(service, key, by_id, generation)),
            prompt_tokens=generation.prompt_tokens,
            output_tokens=generation.max_output_tokens,
            parts=tuple((part.id, part.tokens) for part in generation.parts),
            own_turns=self._own_turns(service, by_id),
            backpressure=known_backpressure(self._directory, service, self._clock()),
            router=self._members.own.incarnation,
            expected_output_tokens=generation.expected_output_tokens,
            first_event_ms=aims.first_event_ms,
            pause_ms=aims.pause_ms,
            claim=aims.claim if self._may_wait else None,
            software_version=generation.software_version,
        )

    def _own_turns(
        self, service: str, by_id: dict[str, UpstreamEntry]
    ) -> tuple[str, ...]:
        """Return the throttled candidates to which this router may send in its turn."""
        now, found = self._clock(), []
        for entry in self._directory.with_backpressure(service, now):
            upstream_id = entry.upstream.id
            if upstream_id in by_id and self._gate.rates.has_turn(entry, now):
                found.append(upstream_id)
        return tuple(found)

    async def _query(self, vm: str, request: PlacementRequest) -> PlacementReply | None:
        """Return a router's reply, or None if it does not answer in time."""
        # A router whose reply is late or lost may still have placed the run.
        unplaced = [RunUpdate(request.run_id, "", RunStage.UNPLACED)]
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS + self._meter.delay()):
                reply = await self._peers.ask(vm, request)
        except PeerUnreachable:
            self._update_sender.enqueue(vm, unplaced)
            return None
        except asyncio.CancelledError:
            self._update_sender.enqueue(vm, unplaced)
            raise
        except TimeoutError:
            self._update_sender.enqueue(vm, unplaced)
            self._members.record_failure(vm, self._clock())
            log_event("scheduling router too slow", peer=vm, request_id=request.run_id)
            return None
        merge_backpressure(self._directory, reply.backpressure, self._clock())
        return reply

    def _excluded_ids(
        self,
        service: str,
        key: str,
        by_id: dict[str, UpstreamEntry],
        generation: Generation,
    ) -> list[str]:
        """Return the engines that would be considered but are not candidates here."""
        found = []
        for entry in self._neighbourhood.entries(
            service, key, self._clock(), software_version=generation.software_version
        ):
            # The scheduling router checks evacuations itself.
            if entry.upstream.id not in by_id and not self._gate.is_evacuated(
                entry.upstream
            ):
                found.append(entry.upstream.id)
        return found
