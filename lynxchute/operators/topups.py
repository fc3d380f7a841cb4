"""Credit client accounts, also while the platform is out of reach.

A top-up has an id and is credited once. An id that names a data centre
(``kyu-a:17``) is bound to it: only its routers credit it, so that they may
do so provisionally while they are cut off.
"""

from __future__ import annotations

import asyncio
import enum
import secrets

import attrs

from lynxchute.entry import TopUp
from lynxchute.flusher import Flusher
from lynxchute.ledger import FREE, budget_key, empty_budget, top_up_key
from lynxchute.members import Liveness
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import TopUpNotice
from lynxchute.tables import (
    Add,
    Committed,
    OutcomeUnknown,
    Row,
    Swap,
    Transaction,
    Unavailable,
)

TRIES = 4
SEPARATOR = ":"


class TopUpState(enum.Enum):
    """What came of a top-up."""

    DURABLE = "durable"
    PROVISIONAL = "provisional"
    UNKNOWN = "unknown"
    NOT_DONE = "not_done"


@attrs.frozen
class TopUpAnswer:
    """What an operator is told of a top-up."""

    state: TopUpState
    top_up_id: str
    detail: str


class TopUps:
    """Credit client accounts.

    Parameters
    ----------
    node
        This incarnation.
    flusher
        Writes provisional top-ups once the platform is back.
    """

    def __init__(self, node: Node, flusher: Flusher) -> None:
        self._node = node
        self._flusher = flusher

    async def credit(
        self, account: str, tokens: int, top_up_id: str, operator: str
    ) -> TopUpAnswer:
        """Credit an account once for each id."""
        node = self._node
        top_up_id = top_up_id or f"{node.data_centre}{SEPARATOR}{secrets.token_hex(8)}"
        top_up = TopUp(account, top_up_id, tokens, operator)
        bound = self._bound_to(top_up_id)
        if bound and bound != node.data_centre:
            detail = f"The id is bound to {bound}; enter it there."
            return TopUpAnswer(TopUpState.NOT_DONE, top_up_id, detail)
        if not bound:
            return await self._credit_at_platform(top_up)
        refusal = await self._claim(top_up)
        if refusal is not None:
            return refusal
        return await self._credit_here(top_up)

    def _bound_to(self, top_up_id: str) -> str:
        """Return the data centre that an id names, or the empty string."""
        prefix, separator, _ = top_up_id.partition(SEPARATOR)
        node = self._node
        known = {peer.data_centre for peer in node.settings.peers}
        known.add(node.data_centre)
        return prefix if separator and prefix in known else ""

    async def _claim(self, top_up: TopUp) -> TopUpAnswer | None:
        """Make sure that no other router of this data centre has the id."""
        node = self._node
        key = top_up_key(top_up.account, top_up.top_up_id)
        if not node.book.note_top_up(top_up, node.incarnation):
            _, holder = node.book.top_ups_by_key[key]
            return self._elsewhere(top_up, holder)
        now = node.now()
        work = []
        for vm, member in node.members.by_vm.items():
            if member.heartbeat.data_centre != node.data_centre:
                continue
            if node.members.liveness(vm, now) is Liveness.GONE:
                incarnation = member.heartbeat.incarnation
                if node.book.adopters_by_fenced.get(incarnation):
                    continue
            work.append(self._tell(vm, TopUpNotice(node.incarnation, top_up)))
        refusals = [vm for vm in await asyncio.gather(*work) if vm]
        if not refusals:
            return None
        detail = f"{', '.join(refusals)} may have it already; ask again in a while."
        return TopUpAnswer(TopUpState.UNKNOWN, top_up.top_up_id, detail)

    def _elsewhere(self, top_up: TopUp, holder: str) -> TopUpAnswer:
        detail = f"It is kept by {holder} until the platform has it."
        return TopUpAnswer(TopUpState.PROVISIONAL, top_up.top_up_id, detail)

    async def _tell(self, vm: str, notice: TopUpNotice) -> str:
        """Return the VM's name where it does not agree."""
        try:
            reply = await self._node.peers.ask(vm, notice)
        except PeerUnreachable:
            return vm
        return "" if reply.accepted else vm

    async def _credit_here(self, top_up: TopUp) -> TopUpAnswer:
        """Credit this router's share; its journal makes that durable."""
        node = self._node
        key = top_up_key(top_up.account, top_up.top_up_id)
        if key in node.holder.durable_top_ups:
            return self._same(top_up, node.holder.durable_top_ups[key].row())
        node.holder.credit(top_up)
        deadline = node.now() + node.settings.platform.timeout
        while node.now() < deadline:
            self._flusher.wake()
            await self._flusher.wrote(max(deadline - node.now(), 0.0))
            if key not in node.holder.top_ups_by_key:
                return self._durable(top_up)
        detail = (
            f"Credited in {node.data_centre} only, kept by its routers until the"
            " platform is back; it is lost if all of them are replaced before."
        )
        return TopUpAnswer(TopUpState.PROVISIONAL, top_up.top_up_id, detail)

    async def _credit_at_platform(self, top_up: TopUp) -> TopUpAnswer:
        """Credit an account at the platform itself."""
        key = top_up_key(top_up.account, top_up.top_up_id)
        unknown = False
        create = False
        for _ in range(TRIES):
            transaction = self._transaction(top_up, create=create)
            try:
                outcome = await self._node.table.write(transaction)
            except OutcomeUnknown:
                unknown = True
                continue
            except Unavailable:
                break
            if isinstance(outcome, Committed):
                return self._durable(top_up)
            if key in outcome.rows_by_key:
                return self._same(top_up, outcome.rows_by_key[key])
            create = outcome.rows_by_key[budget_key(top_up.account)] is None
        if unknown:
            detail = "The platform's answer was lost; repeat it with the same id."
            return TopUpAnswer(TopUpState.UNKNOWN, top_up.top_up_id, detail)
        detail = (
            "The platform is out of reach. Give an id that names this data centre"
            f" ('{self._node.data_centre}:…') to credit it here provisionally."
        )
        return TopUpAnswer(TopUpState.NOT_DONE, top_up.top_up_id, detail)

    def _transaction(self, top_up: TopUp, *, create: bool) -> Transaction:
        key = top_up_key(top_up.account, top_up.top_up_id)
        mark = Swap(key, None, top_up.row())
        paid = {"paid": top_up.tokens, FREE: top_up.tokens}
        if create:
            row = {**empty_budget(), **paid}
            return Transaction((mark, Swap(budget_key(top_up.account), None, row)))
        return Transaction((mark, Add(budget_key(top_up.account), paid)))

    def _durable(self, top_up: TopUp) -> TopUpAnswer:
        detail = f"{top_up.tokens} tokens are credited everywhere."
        return TopUpAnswer(TopUpState.DURABLE, top_up.top_up_id, detail)

    def _same(self, top_up: TopUp, row: Row | None) -> TopUpAnswer:
        """Answer for an id that the platform has already."""
        if row == top_up.row():
            detail = "It was credited before; it counts once."
            return TopUpAnswer(TopUpState.DURABLE, top_up.top_up_id, detail)
        detail = f"The id names another top-up: {row}. Use a new id."
        return TopUpAnswer(TopUpState.NOT_DONE, top_up.top_up_id, detail)
