"""Tell holders what requests have used, until every charge is durable."""

from __future__ import annotations

from lynxchute.accounting import Settlements
from lynxchute.application import Loop
from lynxchute.book import Copy, Part
from lynxchute.entry import Entry
from lynxchute.flusher import Flusher
from lynxchute.holder import SettleState
from lynxchute.journal import JournalState, journal_key
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import SettleRequest
from lynxchute.records import RequestRecord
from lynxchute.reservations import Reservations
from lynxchute.tables import Unavailable

BATCH = 200
INTERVAL = 0.2
ASK_AGAIN_AFTER = 3.0


class Settlement:
    """Settle the requests that this router serves or keeps copies of.

    Parameters
    ----------
    node
        This incarnation.
    flusher
        Writes the charges of its own share.
    reservations
        Whose waiting attempts may go on once tokens are free again.
    """

    def __init__(
        self, node: Node, flusher: Flusher, reservations: Reservations
    ) -> None:
        self.loop = Loop("settlement", self._step, INTERVAL)
        self._node = node
        self._reservations = reservations
        self._asked_by_attempt: dict[str, float] = {}
        flusher.listeners.append(self._note_written)

    def finish(self, record: RequestRecord, used: int) -> None:
        """Settle a served request with what it used, in tokens."""
        self._node.accounting.finish(record, used)
        self._note_change(record)

    def not_run(self, record: RequestRecord) -> None:
        """Release an attempt that did not run."""
        self._node.accounting.not_run(record)
        self._note_change(record)

    def serve(self, settlements: Settlements) -> dict[str, SettleState]:
        """Take another router's settlements."""
        holder = self._node.holder
        accounts = {record.account for record in settlements.finished}
        for attempt in settlements.released:
            known = holder.open_by_attempt.get(attempt)
            if known is not None:
                accounts.add(known.account)
        states = self._node.accounting.settle(settlements)
        for account in accounts:
            self._reservations.notify(account)
        return states

    def _note_change(self, record: RequestRecord) -> None:
        if record.holder == self._node.incarnation:
            self._reservations.notify(record.account)
            return
        self.loop.wake()

    async def _step(self) -> None:
        node = self._node
        for record in node.accounting.settle_adopted():
            self._asked_by_attempt.pop(record.attempt, None)
            self._reservations.notify(record.account)
        for holder, copies in node.book.to_settle().items():
            if node.book.is_fenced(holder):
                await self._find_adopter(holder)
                continue
            due = [copy for copy in copies if self._is_due(copy)]
            if due:
                await self._settle_there(holder, due[:BATCH])

    def _is_due(self, copy: Copy) -> bool:
        now = self._node.now()
        asked = self._asked_by_attempt.get(copy.record.attempt)
        if asked is None and copy.part is Part.WITNESS:
            self._asked_by_attempt[copy.record.attempt] = now
            return False
        return asked is None or now - asked >= ASK_AGAIN_AFTER

    async def _settle_there(self, holder: str, copies: list[Copy]) -> None:
        node = self._node
        vm = node.members.vm_of(holder)
        if vm is None:
            await self._find_adopter(holder)
            return
        now = node.now()
        for copy in copies:
            self._asked_by_attempt[copy.record.attempt] = now
        try:
            settlements = node.accounting.settlements(copies)
            reply = await node.peers.ask(vm, SettleRequest(settlements))
        except PeerUnreachable:
            await self._find_adopter(holder)
            return
        for attempt in node.accounting.learn_states(holder, reply.states_by_attempt):
            self._asked_by_attempt.pop(attempt, None)

    async def _find_adopter(self, holder: str) -> None:
        """Read who has adopted a fenced holder's requests."""
        node = self._node
        if node.book.adopters_by_fenced.get(holder):
            return
        key = journal_key(holder)
        try:
            rows = await node.table.read(keys=(key,))
        except Unavailable:
            return
        row = rows.get(key)
        if row is not None and row["state"] == JournalState.CLOSED.value:
            node.book.close(holder, row["adopter"])

    def _note_written(self, entry: Entry) -> None:
        for account in entry.gains():
            self._reservations.notify(account)
