"""Fleet-wide send permits for plain upstreams that declare a rate limit."""

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
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.permits import Permits
from lynxchute.upstreams.rate_limits import RateLimits

# Timeout in seconds of a permit query. A router in the same region answers in a few ms,
# and another upstream may accept the request at once.
QUERY_TIMEOUT_SECONDS = 0.1
# Seconds until the next query to a router that did not answer.
SILENT_ROUTER_RETRY_SECONDS = 1.0
# Maximum seconds until the next query for an upstream, as its limit may have changed.
MAX_RETRY_SECONDS = 1.0
# Minimum seconds until the next query, so that not every request to a throttled
# upstream causes one.
MIN_RETRY_SECONDS = 0.05
# Number of stored retry times above which expired ones are removed.
MAX_RETRY_TIMES = 256


class RatePermits(Permits):
    """Request permits from the scheduling router, or issue them as that router.

    Parameters
    ----------
    members, peers
        The other routers.
    directory
        The upstreams.
    rates
        Decides whether this router may send in its turn, and which permits it may
        issue.
    clock
        Returns the time on the steady clock, in seconds.
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
        self._retry_at_by_process: dict[str, float] = {}

    def serve(self, server: PeerServer) -> None:
        """Register the handler for permit queries of other routers."""
        server.handlers_by_class[PermitRequest] = self._handle_request

    async def request_permit(self, entry: UpstreamEntry) -> float:
        """Request a permit for one request.

        Returns
        -------
        float
            Time until which the request may be sent, in seconds; 0 without a permit.
        """
        asked_at = self._clock()
        process = entry.upstream.process
        if asked_at < self._retry_at_by_process.get(process, 0.0):
            return 0.0
        reply = await self._query_permit(entry)
        if reply.is_admitted:
            return asked_at + PERMIT_SECONDS
        retry_after = min(max(reply.again_s, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        now = self._clock()
        self._retry_at_by_process[process] = now + retry_after
        self._prune_retry_times(now)
        return 0.0

    def _prune_retry_times(self, now: float) -> None:
        if len(self._retry_at_by_process) < MAX_RETRY_TIMES:
            return
        for process, retry_at in list(self._retry_at_by_process.items()):
            if retry_at <= now:
                del self._retry_at_by_process[process]

    async def _query_permit(self, entry: UpstreamEntry) -> PermitReply:
        service = entry.upstream.service
        vm = self._members.owner_of_key(scheduling_key(service))
        if vm == self._members.own.vm:
            return self._decide(entry)
        backpressure = known_backpressure(self._directory, service, self._clock())
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
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
            return PermitReply(is_admitted=False, again_s=SILENT_ROUTER_RETRY_SECONDS)
        merge_backpressure(self._directory, reply.backpressure, self._clock())
        return reply

    def _decide(self, entry: UpstreamEntry) -> PermitReply:
        now = self._clock()
        if self._rates.admit(entry, now):
            return PermitReply(is_admitted=True)
        rate = entry.backpressure.rate(now) or 0.0
        backpressure = known_backpressure(self._directory, entry.upstream.service, now)
        # Another query may get the next permit before a retry of this one.
        return PermitReply(
            is_admitted=False,
            again_s=1.0 / rate if rate else MAX_RETRY_SECONDS,
            backpressure=backpressure,
        )

    async def _handle_request(self, request: PermitRequest) -> PermitReply:
        merge_backpressure(self._directory, request.backpressure, self._clock())
        entry = self._directory.entries_by_id.get(request.upstream)
        if entry is None:
            return PermitReply(is_admitted=False, again_s=MAX_RETRY_SECONDS)
        return self._decide(entry)
