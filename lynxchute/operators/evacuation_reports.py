"""What all routers know of an evacuated data centre."""

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

# Routers asked at once: an answer takes a few ms, so that a fleet of 340 is asked
# within a tenth of a second.
ASKED_AT_ONCE = 32


class EvacuationReports:
    """Answer what this router knows, and gather what all know.

    Parameters
    ----------
    evacuations, directory
        What this router knows.
    members, peers
        The other routers.
    clock
        Seconds on the steady clock.
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
        """Answer other routers."""
        server.handlers_by_class[EvacuationRequest] = self._serve

    async def gather(self, data_centre: str) -> EvacuationState:
        """Return what all routers tell of a data centre."""
        gate = asyncio.Semaphore(ASKED_AT_ONCE)
        vms = sorted(self._members.by_vm)
        replies = await asyncio.gather(
            *(self._ask(vm, data_centre, gate) for vm in vms)
        )
        heard: list[str] = []
        not_heard: list[str] = []
        silent: list[str] = []
        open_requests, cold_seconds = 0, 0.0
        for vm, reply in zip(vms, replies, strict=True):
            if reply is None:
                silent.append(vm)
                continue
            (heard if reply.has_heard else not_heard).append(vm)
            open_requests += reply.open_requests
            cold_seconds = max(cold_seconds, reply.cold_seconds)
        return EvacuationState(
            tuple(heard), tuple(not_heard), open_requests, cold_seconds, tuple(silent)
        )

    async def _ask(
        self, vm: str, data_centre: str, gate: asyncio.Semaphore
    ) -> EvacuationReply | None:
        if vm == self._members.own.vm:
            return self._reply(data_centre)
        async with gate:
            try:
                return await self._peers.ask(vm, EvacuationRequest(data_centre))
            except PeerUnreachable as error:
                log_event("evacuation not told", peer=vm, reason=str(error))
                return None

    async def _serve(self, request: EvacuationRequest) -> EvacuationReply:
        return self._reply(request.data_centre)

    def _reply(self, data_centre: str) -> EvacuationReply:
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
