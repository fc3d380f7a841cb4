"""The listener for the fleet's other routers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import prometheus_client

from lynxchute.application import Component
from lynxchute.callers.replays import Replays
from lynxchute.configuration import same_key
from lynxchute.configurations import Configurations
from lynxchute.heartbeats import Heartbeats
from lynxchute.http import BadRequest, HttpServer, Request, Responder, not_found
from lynxchute.node import Node
from lynxchute.operators.collections import Collections
from lynxchute.peers import messages as m
from lynxchute.peers.client import FLEET_KEY_HEADER
from lynxchute.refill import Refill
from lynxchute.reservations import Reservations
from lynxchute.settlement import Settlement
from lynxchute.takeover import Takeover

STATE_PATH = "/state"
METRICS_PATH = "/metrics"


class PeerListener(Component):
    """Serve the fleet's other routers.

    Parameters
    ----------
    node
        This incarnation.
    heartbeats, reservations, settlement, refill, takeover, replays
        What the messages are for.
    configurations, collections
        What the operators' messages are for.
    dump
        Returns the state of the process as JSON values.
    registry
        The metrics of the process.
    """

    def __init__(
        self,
        node: Node,
        heartbeats: Heartbeats,
        reservations: Reservations,
        settlement: Settlement,
        refill: Refill,
        takeover: Takeover,
        replays: Replays,
        configurations: Configurations,
        collections: Collections,
        dump: Callable[[], Any],
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self.server = HttpServer(self._handle)
        self._node = node
        self._heartbeats = heartbeats
        self._reservations = reservations
        self._settlement = settlement
        self._refill = refill
        self._takeover = takeover
        self._replays = replays
        self._configurations = configurations
        self._collections = collections
        self._dump = dump
        self._registry = registry
        self._answers_by_class: dict[type[Any], Callable[[Any], Awaitable[Any]]] = {
            m.AnswerRequest: self._answer,
            m.CloseNotice: self._close,
            m.CollectRequest: self._collect,
            m.ConfigurationNotice: self._configure,
            m.ConfigurationRequest: self._configuration,
            m.GossipRequest: self._gossip,
            m.HandoverRequest: self._hand_over,
            m.KeepRequest: self._keep,
            m.LookupRequest: self._look_up,
            m.RecallRequest: self._recall,
            m.ReportRequest: self._report,
            m.ReserveRequest: self._reserve,
            m.SettleRequest: self._settle,
            m.TopUpNotice: self._top_up,
            m.WitnessRequest: self._witness,
        }

    async def start(self) -> None:
        """Begin to listen."""
        address = self._node.settings.listen.internal
        await self.server.start(address.host, address.port)

    async def stop(self) -> None:
        """Drop every connection."""
        await self.server.kill()

    async def _handle(self, request: Request, respond: Responder) -> None:
        if request.path == METRICS_PATH:
            body = prometheus_client.generate_latest(self._registry)
            await respond.whole(200, body, prometheus_client.CONTENT_TYPE_LATEST)
            return
        key = request.headers.get(FLEET_KEY_HEADER.lower(), "")
        if not same_key(key, self._node.settings.fleet_key.value):
            await respond.json(401, {"error": "the fleet key is wrong or missing"})
            return
        if request.path == STATE_PATH:
            await respond.json(200, self._dump())
            return
        cls = None
        if request.path.startswith(m.INTERNAL_PREFIX):
            cls = m.MESSAGES_BY_NAME.get(request.path[len(m.INTERNAL_PREFIX) :])
        if cls is None:
            await not_found(request, respond)
            return
        try:
            message = m.from_json(request.json(), cls)
        except ValueError as error:
            raise BadRequest(422, str(error)) from error
        reply = await self._answers_by_class[cls](message)
        await respond.json(200, m.to_json(reply))

    async def _collect(self, message: m.CollectRequest) -> m.CollectReply:
        return m.CollectReply(tuple(self._collections.local(message.collection)))

    async def _configure(self, message: m.ConfigurationNotice) -> m.ConfigurationReply:
        return self._configurations.take(message)

    async def _configuration(
        self, message: m.ConfigurationRequest
    ) -> m.ConfigurationReply:
        return self._configurations.serve()

    async def _gossip(self, message: m.GossipRequest) -> m.GossipReply:
        return self._heartbeats.serve(message)

    async def _reserve(self, message: m.ReserveRequest) -> m.ReserveReply:
        return await self._reservations.reserve_here(message.record, message.replaces)

    async def _witness(self, message: m.WitnessRequest) -> m.WitnessReply:
        return m.WitnessReply(self._node.accounting.witness(message.records))

    async def _settle(self, message: m.SettleRequest) -> m.SettleReply:
        return m.SettleReply(self._settlement.serve(message.settlements))

    async def _report(self, message: m.ReportRequest) -> Any:
        return self._node.accounting.report(message.victim, message.predecessors)

    async def _close(self, message: m.CloseNotice) -> m.Done:
        self._takeover.note_closed(message)
        return m.Done()

    async def _keep(self, message: m.KeepRequest) -> m.Done:
        self._node.accounting.keep(message.records)
        return m.Done()

    async def _hand_over(self, message: m.HandoverRequest) -> m.Done:
        self._takeover.hand_over(message.incarnation)
        return m.Done()

    async def _recall(self, message: m.RecallRequest) -> m.RecallReply:
        return m.RecallReply(await self._refill.give_back(message))

    async def _look_up(self, message: m.LookupRequest) -> m.LookupReply:
        return m.LookupReply(self._node.accounting.find(message.request_id))

    async def _answer(self, message: m.AnswerRequest) -> m.AnswerReply:
        answer = self._replays.get(message.request_id)
        if answer is None:
            return m.AnswerReply()
        body = answer.body.decode("latin-1")
        return m.AnswerReply(answer.status, answer.content_type, body)

    async def _top_up(self, message: m.TopUpNotice) -> m.TopUpReply:
        kept = self._node.book.note_top_up(message.top_up, message.holder)
        return m.TopUpReply(kept)
