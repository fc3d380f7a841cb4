"""Hand all that a stopping router owns to another one."""

from __future__ import annotations

import asyncio

from lynxchute.application import Component
from lynxchute.flusher import Flusher
from lynxchute.journal import JournalState, journal_key
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import HandoverRequest
from lynxchute.tables import Unavailable

HANDOVER_POLL = 0.1


class Handover(Component):
    """Hand all that a stopping router owns to another one.

    Parameters
    ----------
    node
        This incarnation.
    flusher
        Writes what is still to be billed.
    """

    def __init__(self, node: Node, flusher: Flusher) -> None:
        self._node = node
        self._flusher = flusher

    async def drain(self, deadline: float) -> None:
        """Give back what is free, then let another router adopt the rest."""
        node = self._node
        loop = asyncio.get_running_loop()
        end = loop.time() + deadline
        node.members.leave()
        node.holder.retire()
        self._flusher.wake()
        await self._flusher.wrote(min(deadline, 1.0))
        while loop.time() < end:
            if await self._is_closed():
                return
            if not await self._ask_for_adoption() and self._has_nothing:
                return
            await asyncio.sleep(HANDOVER_POLL)

    @property
    def _has_nothing(self) -> bool:
        """Return whether nothing is left that could be handed over."""
        holder = self._node.holder
        owned = any(share.owned for share in holder.shares_by_account.values())
        return holder.idle and not owned

    async def _is_closed(self) -> bool:
        """Return whether another router has adopted this one's requests."""
        node = self._node
        key = journal_key(node.incarnation)
        try:
            rows = await node.table.read(keys=(key,))
        except Unavailable:
            return False
        return key not in rows or rows[key]["state"] == JournalState.CLOSED.value

    async def _ask_for_adoption(self) -> bool:
        """Ask the live routers in turn; return whether one agreed."""
        node = self._node
        live = node.members.live(node.now(), node.data_centre)
        for heartbeat in live.values():
            try:
                await node.peers.ask(heartbeat.vm, HandoverRequest(node.incarnation))
            except PeerUnreachable:
                continue
            return True
        return False
