"""Ask other routers where a generation should go."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import PlaceReply, PlaceRequest, RunNews, RunStage
from lynxchute.http import LinkMeter
from lynxchute.scheduling.backpressure_news import (
    known_backpressure,
    merge_backpressure,
)
from lynxchute.scheduling.news import NewsOfRuns
from lynxchute.scheduling.place_requests import scheduling_key
from lynxchute.telemetry import log_event
from lynxchute.upstreams.aims import Aims
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.generation import Generation
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.send_gate import SendGate

# Seconds that a request waits for a place; a router within the region answers
# in a few ms.
ASK_SECONDS = 0.1
# Routers that are asked for a request that waits for its turn, before this one places
# it by itself: what has waited finds the next router within 0.3 s. One that has just
# come may be in time yet, and what is slow may well be this VM's own link.
ASKED_ROUTERS = 2
# Seconds for which the question of another router shows that this one schedules for
# others too.
ASKED_SECONDS = 1.0


class Asking:
    """Ask the routers that schedule a service's engines, one after the other.

    Parameters
    ----------
    members, peers
        The other routers.
    directory
        The upstreams.
    neighbourhood
        Says which engines are looked at for a request.
    gate
        Tells which upstreams get nothing new.
    news
        Tells routers of runs that they have placed in vain.
    meter
        Tells how long questions wait for the VM's link.
    clock
        Seconds on the steady clock.
    may_wait
        Whether requests wait where engines are full.

    Attributes
    ----------
    asked_at
        When another router last asked this one for a place, in seconds.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        directory: Directory,
        neighbourhood: Neighbourhood,
        gate: SendGate,
        news: NewsOfRuns,
        meter: LinkMeter,
        clock: Callable[[], float],
        *,
        may_wait: bool,
    ) -> None:
        self.asked_at = -math.inf
        self._members = members
        self._peers = peers
        self._directory = directory
        self._neighbourhood = neighbourhood
        self._gate = gate
        self._news = news
        self._meter = meter
        self._clock = clock
        self._may_wait = may_wait

    async def ask(
        self, request: PlaceRequest, *, has_waited: bool
    ) -> tuple[str, PlaceReply | None]:
        """Return the VM that schedules and what it says; None where that is this one.

        None as well where no router answers in time.

        Parameters
        ----------
        has_waited
            Whether another router has let the request wait for its turn.
        """
        own, key = self._members.own.vm, scheduling_key(request.service)
        for _ in range(ASKED_ROUTERS if has_waited else 1):
            vm = self._members.first_for(key)
            if vm == own:
                break
            reply = await self._ask(vm, request)
            if reply is not None:
                return vm, reply
        return own, None

    def schedules_for_others(self, service: str) -> bool:
        """Return whether this router knows what others send to a service's engines."""
        key = scheduling_key(service)
        if self._members.first_for(key) != self._members.own.vm:
            return False
        is_asked = self._clock() - self.asked_at < ASKED_SECONDS
        return is_asked or self._members.own_rank(key) == 0

    def request(
        self,
        run_id: str,
        service: str,
        generation: Generation,
        by_id: dict[str, Entry],
        aims: Aims,
    ) -> PlaceRequest:
        """Return the question where a generation should go."""
        key = generation.affinity_key(run_id)
        return PlaceRequest(
            run_id=run_id,
            service=service,
            data_centre=self._members.own.data_centre,
            passed_over=tuple(self._passed_over(service, key, by_id)),
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
        )

    def _own_turns(self, service: str, by_id: dict[str, Entry]) -> tuple[str, ...]:
        """Return the throttled candidates to which this router may send by itself."""
        now, found = self._clock(), []
        for entry in self._directory.throttled(service, now):
            upstream_id = entry.upstream.id
            if upstream_id in by_id and self._gate.rates.has_turn(entry, now):
                found.append(upstream_id)
        return tuple(found)

    async def _ask(self, vm: str, request: PlaceRequest) -> PlaceReply | None:
        """Return a router's answer; None where there was none in time."""
        # Where no answer comes in time it may have placed the run all the same.
        unplaced = [RunNews(request.run_id, "", RunStage.UNPLACED)]
        try:
            async with asyncio.timeout(ASK_SECONDS + self._meter.delay()):
                reply = await self._peers.ask(vm, request)
        except PeerUnreachable:
            self._news.post(vm, unplaced)
            return None
        except asyncio.CancelledError:
            self._news.post(vm, unplaced)
            raise
        except TimeoutError:
            self._news.post(vm, unplaced)
            self._members.note_silence(vm, self._clock())
            log_event("scheduling router too slow", peer=vm, request_id=request.run_id)
            return None
        merge_backpressure(self._directory, reply.backpressure, self._clock())
        return reply

    def _passed_over(
        self, service: str, key: str, by_id: dict[str, Entry]
    ) -> list[str]:
        """Return the engines that are looked at and not among the candidates."""
        found = []
        for entry in self._neighbourhood.entries(service, key, self._clock()):
            # The scheduling router knows by itself what is evacuated.
            if entry.upstream.id not in by_id and not self._gate.is_evacuated(
                entry.upstream
            ):
                found.append(entry.upstream.id)
        return found
