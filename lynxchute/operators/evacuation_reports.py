"""Collect the state of an evacuation from all routers of the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import EvacuationReply, EvacuationRequest
from lynxchute.fleet.server import PeerServer
from lynxchute.operators.evacuation_rows import EvacuationState
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.evacuations import Evacuations

# Concurrent queries to other routers. A reply takes a few ms, so a fleet of 340
# routers is queried within a tenth of a second.
MAX_CONCURRENT_QUERIES = 32


class EvacuationReports:
    """Report this router's view of an evacuation, and collect that of all routers.

    Parameters
    ----------
    evacuations, directory
        The evacuated data centres and the upstreams, as this router knows them.
    members, peers
        The routers of the fleet, and the client that queries them.
    clock
        Returns seconds on the steady clock.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        directory: Directory,
        members: Members,
        peers: Peers,
        clock: Callable[[], float],
    ) -> None:
        self._evacuations = evacuations
        self._directory = directory
        self._members = members
        self._peers = peers
        self._clock = clock

    def serve(self, server: PeerServer) -> None:
        """Register the handler of evacuation queries from other routers."""
        server.handlers_by_class[EvacuationRequest] = self._handle_request

    async def gather(self, data_centre: str) -> EvacuationState:
        """Query all routers, and return the combined state of an evacuation."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        vms = sorted(self._members.by_vm)
        replies = await asyncio.gather(
            *(self._query(vm, data_centre, semaphore) for vm in vms)
        )
        applied_by: list[str] = []
        not_applied_by: list[str] = []
        unresponsive: list[str] = []
        open_requests, cold_seconds = 0, 0.0
        for vm, reply in zip(vms, replies, strict=True):
            if reply is None:
                unresponsive.append(vm)
                continue
            (applied_by if reply.has_heard else not_applied_by).append(vm)
            open_requests += reply.open_requests
            cold_seconds = max(cold_seconds, reply.cold_seconds)
        return EvacuationState(
            tuple(applied_by),
            tuple(not_applied_by),
            open_requests,
            cold_seconds,
            tuple(unresponsive),
        )

    async def _query(
        self, vm: str, data_centre: str, semaphore: asyncio.Semaphore
    ) -> EvacuationReply | None:
        if vm == self._members.own.vm:
            return self._own_reply(data_centre)
        async with semaphore:
            try:
                return await self._peers.ask(vm, EvacuationRequest(data_centre))
            except PeerUnreachable as error:
                log_event(
                    "evacuation status request failed", peer=vm, reason=str(error)
                )
                return None

    async def _handle_request(self, request: EvacuationRequest) -> EvacuationReply:
        return self._own_reply(request.data_centre)

    def _own_reply(self, data_centre: str) -> EvacuationReply:
        open_requests, cold_until, now = 0, 0.0, self._clock()
        for entry in self._directory.entries_by_id.values():
            if entry.upstream.data_centre != data_centre:
                continue
            open_requests += entry.open_requests
            cold_until = max(cold_until, entry.cold_until)
        return EvacuationReply(
            self._evacuations.is_evacuated(data_centre),
            open_requests,
            max(cold_until - now, 0.0),
        )
