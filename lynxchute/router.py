"""A router: the application of an entry VM."""

from __future__ import annotations

from typing import Any

from absl import logging

from lynxchute.application import Application, Component, Ending, Tasks
from lynxchute.callers.chat import ChatService
from lynxchute.callers.listener import CallerListener
from lynxchute.callers.replays import Replays
from lynxchute.callers.service import PlainService
from lynxchute.callers.serving import Serving
from lynxchute.claims import Claims
from lynxchute.configuration import Configuration
from lynxchute.configurations import Configurations
from lynxchute.fences import Fences
from lynxchute.flusher import Flusher
from lynxchute.handover import Handover
from lynxchute.heartbeats import Heartbeats
from lynxchute.homes import Homes
from lynxchute.http import ClientPool, Timeouts
from lynxchute.metrics import make_registry
from lynxchute.node import Node, make_node
from lynxchute.operators.collections import Collections
from lynxchute.operators.service import OperatorService
from lynxchute.operators.topups import TopUps
from lynxchute.peers.server import PeerListener
from lynxchute.refill import Refill
from lynxchute.reservations import Reservations
from lynxchute.routing import PrefixAffinity, RoundRobin, Router
from lynxchute.settings import RouterSettings
from lynxchute.settlement import Settlement
from lynxchute.takeover import Takeover
from lynxchute.upstreams.resolver import OrphanResolver


class RouterApplication(Application):
    """Everything that one incarnation of a router runs.

    Parameters
    ----------
    settings
        What it is told at its start.
    """

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__(settings.timeouts.stop)
        self.node = make_node(settings)
        self.replays = Replays(settings.limits.replay_bytes)
        tasks = Tasks()
        limits = settings.timeouts
        clients = ClientPool(
            Timeouts(limits.connect, limits.first_byte, limits.between_bytes)
        )
        self.flusher = Flusher(self.node, lambda: self.end(Ending.FENCED))
        refill = Refill(self.node, self.flusher, tasks)
        reservations = Reservations(self.node, self.flusher, refill, tasks)
        settlement = Settlement(self.node, self.flusher, reservations)
        resolver = OrphanResolver(self.node, clients)
        self.takeover = Takeover(self.node, self.flusher, settlement, resolver, tasks)
        configurations = Configurations(self.node)
        heartbeats = Heartbeats(self.node, configurations)
        configurations.listeners.append(self._note_configuration)
        collections = Collections(self.node)
        registry = make_registry(self.node, self.flusher, self.takeover, self.replays)
        self.peer_listener = PeerListener(
            self.node,
            heartbeats,
            reservations,
            settlement,
            refill,
            self.takeover,
            self.replays,
            configurations,
            collections,
            self.dump,
            registry,
        )
        self.serving = Serving(
            self.node,
            reservations,
            settlement,
            resolver,
            clients,
            Router(settings.data_centre, PrefixAffinity(RoundRobin())),
            self.replays,
            tasks,
        )
        self.listener = CallerListener(
            self.serving,
            ChatService(self.serving),
            PlainService(self.serving, Claims(self.node)),
            OperatorService(
                self.node,
                configurations,
                collections,
                TopUps(self.node, self.flusher),
            ),
        )
        self.components = [
            _Connections(self.node, clients),
            tasks,
            self.peer_listener,
            heartbeats,
            configurations,
            self.flusher,
            Fences(self.node, self.flusher),
            settlement.loop,
            self.takeover.loop,
            Homes(self.node).loop,
            Handover(self.node, self.flusher),
            self.listener,
        ]

    def dump(self) -> dict[str, Any]:
        """Return the state of the process, without secrets."""
        node = self.node
        holder = node.holder
        now = node.now()
        liveness = {
            vm: node.members.liveness(vm, now).value for vm in node.members.by_vm
        }
        shares = {}
        for account, share in holder.shares_by_account.items():
            shares[account] = {
                "owned": share.owned or 0,
                "reserved": share.reserved,
                "spent": share.spent,
                "provisional": share.provisional,
                "free": share.free,
            }
        return {
            "vm": node.settings.vm,
            "data_centre": node.data_centre,
            "incarnation": node.incarnation,
            "platform_reachable": self.flusher.reachable,
            "journal": holder.journal.row,
            "fenced": holder.journal.fenced,
            "configuration_version": node.configuration_version,
            "liveness_by_vm": liveness,
            "shares_by_account": shares,
            "open_attempts": list(holder.open_by_attempt),
            "unbilled_attempts": list(holder.finished_by_attempt),
            "copies": len(node.book.copies_by_attempt),
            "adopters_by_fenced": dict(node.book.adopters_by_fenced),
            "open_requests": self.serving.open_requests,
        }

    def _note_configuration(self, configuration: Configuration) -> None:
        """Drain or come back as the configuration says of this VM."""
        draining = self.node.settings.vm in configuration.draining_vms
        if draining and not self.serving.leaving:
            logging.info("this VM is draining")
            self.serving.leaving = True
            self.node.members.leave()
            self.node.holder.retire()
        elif not draining and self.node.holder.retiring and not self.is_ending:
            logging.info("this VM is back; a new incarnation begins")
            self.end(Ending.FENCED)


class _Connections(Component):
    """Close what the node and the upstream clients hold open."""

    def __init__(self, node: Node, clients: ClientPool) -> None:
        self._node = node
        self._clients = clients

    async def stop(self) -> None:
        """Close every connection."""
        self._node.peers.close()
        self._node.table.close()
        self._clients.close()
