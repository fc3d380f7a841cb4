"""Let requests through to plain upstreams that name a limit, for all routers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.fleet.backpressure_messages import PermitReply, PermitRequest
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.server import PeerServer
from lynxchute.scheduling.backpressure_news import (
    known_backpressure,
    merge_backpressure,
)
from lynxchute.scheduling.place_requests import scheduling_key
from lynxchute.telemetry import log_event
from lynxchute.upstreams.cold_admission import PERMIT_SECONDS
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.permits import Permits
from lynxchute.upstreams.rate_limits import RateLimits

# Seconds that a request waits for a permit; a router within the region answers in a
# few ms, and another upstream may well take it at once.
ASK_SECONDS = 0.1
# Seconds until a router that gave no answer is asked again.
SILENT_SECONDS = 1.0
# Seconds until it is asked again at the latest: by then the limit may be another one.
MOST_AGAIN_SECONDS = 1.0
# The same at least, so that each request to a throttled upstream is not a question.
LEAST_AGAIN_SECONDS = 0.05
# Throttled upstreams of which it is remembered when to ask again.
MOST_REMEMBERED = 256


class RatePermits(Permits):
    """Ask the first router for permits, or be that router.

    Parameters
    ----------
    members, peers
        The other routers.
    directory
        The upstreams.
    rates
        What this router may send and let through.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        directory: Directory,
        rates: RateLimits,
        clock: Callable[[], float],
    ) -> None:
        self._members = members
        self._peers = peers
        self._directory = directory
        self._rates = rates
        self._clock = clock
        self._again_at_by_process: dict[str, float] = {}

    def serve(self, server: PeerServer) -> None:
        """Answer the questions of other routers."""
        server.answers_by_class[PermitRequest] = self._serve

    async def ask(self, entry: Entry) -> float:
        """Ask for one request; return until when it may be sent."""
        asked_at = self._clock()
        process = entry.upstream.process
        if asked_at < self._again_at_by_process.get(process, 0.0):
            return 0.0
        reply = await self._reply(entry)
        if reply.is_admitted:
            return asked_at + PERMIT_SECONDS
        again = min(max(reply.again_s, LEAST_AGAIN_SECONDS), MOST_AGAIN_SECONDS)
        now = self._clock()
        self._again_at_by_process[process] = now + again
        self._forget_past(now)
        return 0.0

    def _forget_past(self, now: float) -> None:
        if len(self._again_at_by_process) < MOST_REMEMBERED:
            return
        for process, again_at in list(self._again_at_by_process.items()):
            if again_at <= now:
                del self._again_at_by_process[process]

    async def _reply(self, entry: Entry) -> PermitReply:
        service = entry.upstream.service
        vm = self._members.first_for(scheduling_key(service))
        if vm == self._members.own.vm:
            return self._decide(entry)
        backpressure = known_backpressure(self._directory, service, self._clock())
        try:
            async with asyncio.timeout(ASK_SECONDS):
                reply = await self._peers.ask(
                    vm, PermitRequest(entry.upstream.id, backpressure)
                )
        except (PeerUnreachable, TimeoutError) as error:
            log_event(
                "no permit: router does not answer",
                peer=vm,
                upstream=entry.upstream.id,
                reason=str(error) or "too slow",
            )
            return PermitReply(is_admitted=False, again_s=SILENT_SECONDS)
        merge_backpressure(self._directory, reply.backpressure, self._clock())
        return reply

    def _decide(self, entry: Entry) -> PermitReply:
        now = self._clock()
        if self._rates.admit(entry, now):
            return PermitReply(is_admitted=True)
        rate = entry.backpressure.rate(now) or 0.0
        backpressure = known_backpressure(self._directory, entry.upstream.service, now)
        # Whoever else asks meanwhile may get the next one.
        return PermitReply(
            is_admitted=False,
            again_s=1.0 / rate if rate else MOST_AGAIN_SECONDS,
            backpressure=backpressure,
        )

    async def _serve(self, request: PermitRequest) -> PermitReply:
        merge_backpressure(self._directory, request.backpressure, self._clock())
        entry = self._directory.entries_by_id.get(request.upstream)
        if entry is None:
            return PermitReply(is_admitted=False, again_s=MOST_AGAIN_SECONDS)
        return self._decide(entry)
