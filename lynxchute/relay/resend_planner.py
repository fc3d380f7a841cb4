"""Secure what a request needs to go on elsewhere, before its send is given up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from lynxchute.relay.chooser import Chooser
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.origins import Origins
from lynxchute.relay.refusal import Refusal
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import ResendObstacle, UpstreamEntry
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.probes import handle_probe


@attrs.define
class ResendPlanner:
    """Finds an upstream that can take a running request over, and keeps its place.

    Attributes
    ----------
    chooser
        Chooses the upstreams.
    placement
        Releases places that are not used.
    origins
        Knows which software versions began streams.
    directory, engines
        The upstreams, and how they are asked whether they answer.
    metrics
        Counts plans by outcome.
    clock
        Steady clock in seconds.
    """

    chooser: Chooser
    placement: Placement
    origins: Origins
    directory: Directory
    engines: EngineClient
    metrics: Metrics
    clock: Callable[[], float]

    async def plan(
        self, exchange: Exchange, entry: UpstreamEntry
    ) -> ResendObstacle | None:
        """Choose where a request goes on if its send to an upstream is given up.

        The choice is kept until `take` or `release`.

        Returns
        -------
        ResendObstacle or None
            Why the request cannot go on elsewhere; None if it can.
        """
        while exchange.planning is not None:
            await asyncio.shield(exchange.planning)
        begun = exchange.begun
        planned = exchange.planned if begun is None else begun.choice
        if planned is not None:
            # Another send of the same request is being given up.
            return ResendObstacle.PLANNED if planned.entry is entry else None
        exchange.planning = asyncio.get_running_loop().create_future()
        try:
            obstacle = await self._plan(exchange, entry)
        finally:
            exchange.planning.set_result(None)
            exchange.planning = None
        if obstacle is None and exchange.has_ended:
            self.release(exchange)
            obstacle = ResendObstacle.ENDED
        self.metrics.resends_planned.inc(obstacle.value if obstacle else "planned")
        return obstacle

    async def take(self, exchange: Exchange) -> Choice | None:
        """Return the planned choice of an exchange, which is used now.

        None if there is none, or if it can no longer be used.
        """
        while exchange.planning is not None:
            await asyncio.shield(exchange.planning)
        planned = exchange.planned
        if planned is None:
            return None
        if not self._is_usable(exchange, planned):
            self.release(exchange)
            return None
        exchange.planned = None
        exchange.tried |= exchange.passed_over
        exchange.passed_over.clear()
        return planned

    def release(self, exchange: Exchange) -> None:
        """Give up the planned choice of an exchange, if it has any."""
        planned, exchange.planned = exchange.planned, None
        if planned is None:
            return
        self.placement.release(planned)
        exchange.passed_over.clear()

    def end(self, exchange: Exchange) -> None:
        """Release what is planned for a request that has its final answer."""
        exchange.has_ended = True
        self.release(exchange)

    async def _plan(
        self, exchange: Exchange, entry: UpstreamEntry
    ) -> ResendObstacle | None:
        if not exchange.may_retry:
            return ResendObstacle.NO_ATTEMPT
        if not exchange.is_resumable:
            return ResendObstacle.NOT_RESUMABLE
        if not await self.origins.verify_begun(exchange):
            return ResendObstacle.ORIGIN_UNKNOWN
        exchange.passed_over.add(entry.upstream.id)
        try:
            exchange.planned = await self._choose_responsive(exchange)
        except Refusal as refusal:
            self._log_refusal(exchange, entry, refusal)
            return ResendObstacle.NO_UPSTREAM
        finally:
            if exchange.planned is None:
                exchange.passed_over.clear()
        return None

    def _is_usable(self, exchange: Exchange, planned: Choice) -> bool:
        """Return whether nothing has changed that a planned choice depends on."""
        entry = planned.entry
        upstream = entry.upstream
        if self.directory.entries_by_id.get(upstream.id) is not entry:
            return False
        if upstream.id in exchange.tried or planned.run_id != exchange.run_id:
            return False
        return entry.takes_work and upstream.may_run(exchange.software_version)

    async def _choose_responsive(self, exchange: Exchange) -> Choice:
        """Choose an upstream that answers a probe now.

        Raises
        ------
        Refusal
            If there is none.
        """
        while True:
            choice = await self.chooser.choose(exchange)
            try:
                is_responsive = await self._is_responsive(exchange, choice.entry)
            except BaseException:
                self.placement.release(choice)
                raise
            if is_responsive:
                return choice
            self.placement.release(choice)
            # The next choice needs a new run id, which counts the excluded upstreams.
            exchange.passed_over.add(choice.entry.upstream.id)

    async def _is_responsive(self, exchange: Exchange, entry: UpstreamEntry) -> bool:
        """Return whether an upstream answers and runs the known process."""
        try:
            probe = await self.engines.probe(entry.upstream)
        except EngineUnavailable:
            return False
        handle_probe(self.directory, entry, probe, self.clock())
        upstream = entry.upstream
        is_bound = exchange.software_version is not None and not upstream.states_version
        if is_bound and probe.started_ms != upstream.started_ms:
            return False
        return self.directory.entries_by_id.get(entry.upstream.id) is entry

    def _log_refusal(
        self, exchange: Exchange, entry: UpstreamEntry, refusal: Refusal
    ) -> None:
        if exchange.planning_refusal is refusal.cause:
            return
        exchange.planning_refusal = refusal.cause
        log_event(
            "request cannot go on elsewhere",
            request_id=exchange.call.request_id,
            upstream=entry.upstream.id,
            cause=refusal.cause.value,
            title=refusal.title,
            tried=sorted(exchange.excluded),
            software=exchange.software_version,
            events=exchange.events,
        )
