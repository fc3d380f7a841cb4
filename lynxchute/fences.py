"""Learn which incarnations have been sealed."""

from __future__ import annotations

import asyncio

from lynxchute.application import Background
from lynxchute.flusher import Flusher
from lynxchute.journal import JOURNAL_PREFIX, JournalState, journal_key
from lynxchute.node import Node
from lynxchute.tables import Unavailable

OPEN_POLL = 0.05


class Fences(Background):
    """Learn which incarnations have been sealed, this one among them.

    A router that opens its journal after a seal is not asked to fence the
    victim; so it reads all seals after its own row stands. Then it watches
    its own row: a router with nothing to write would not notice its seal.

    Parameters
    ----------
    node
        This incarnation.
    flusher
        Ends the incarnation once it is sealed.
    """

    def __init__(self, node: Node, flusher: Flusher) -> None:
        super().__init__()
        self._node = node
        self._flusher = flusher
        # Until the seals are read, this router must not take work.
        node.holder.ready = False

    async def _run(self) -> None:
        await self._read_all()
        node = self._node
        while not node.holder.journal.fenced:
            await asyncio.sleep(node.settings.membership.recover_after)
            await self._read_own()

    async def _read_own(self) -> None:
        node = self._node
        key = journal_key(node.incarnation)
        try:
            rows = await node.table.read(keys=(key,))
        except Unavailable:
            return
        if key in rows and rows[key]["state"] != JournalState.OPEN.value:
            node.holder.journal.fenced = True
            self._flusher.wake()

    async def _read_all(self) -> None:
        node = self._node
        while not node.holder.journal.opened:
            await asyncio.sleep(OPEN_POLL)
        while True:
            try:
                rows = await node.table.read(prefixes=(JOURNAL_PREFIX,))
            except Unavailable:
                await asyncio.sleep(OPEN_POLL)
                continue
            break
        for key, row in rows.items():
            incarnation = key.removeprefix(JOURNAL_PREFIX)
            if row["state"] != JournalState.OPEN.value:
                node.book.fence(incarnation)
            if row["state"] == JournalState.CLOSED.value:
                node.book.close(incarnation, row["adopter"])
        node.holder.ready = True
