"""Pass on what a stopped router had used, where the store cannot be told."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from lynxchute.budgets import Ledger
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import Done, Message
from lynxchute.fleet.messages import (
    FinalUse,
    FinalUseReply,
    FinalUseRequest,
)
from lynxchute.fleet.server import PeerServer
from lynxchute.rendezvous import ranked
from lynxchute.telemetry import log_event

ReplyT = TypeVar("ReplyT")

# Seconds for telling or asking all others at once.
ALL_SECONDS = 0.3
# Milliseconds between the last write of a run that told the others its use and the
# start of the next one, at least: it serves for 2.5 s more after it was told to stop.
# Who was killed has told nothing, and is mostly back sooner; asking 194 routers that
# had all lost power took each of them up to `ALL_SECONDS` of its start.
LEAST_SILENCE_MS = 2_500
# Routers that are asked, of the own data centre and of each other one: all were told,
# and a third of them may have started again since.
NEAR_WITNESSES = 6
FAR_WITNESSES = 2


class FinalUseExchange:
    """Keep the others' last words, and exchange the own.

    A router that stops while it is cut off from the store cannot write down
    what it has used; the next run would have to count all that its lines
    allowed meanwhile.

    Parameters
    ----------
    ledger
        The own grants.
    members, peers
        The other routers.
    """

    def __init__(self, ledger: Ledger, members: Members, peers: Peers) -> None:
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._kept_by_vm: dict[str, FinalUse] = {}

    def serve(self, server: PeerServer) -> None:
        """Answer the questions of other routers."""
        server.answers_by_class[FinalUse] = self._keep
        server.answers_by_class[FinalUseRequest] = self._tell

    async def announce(self) -> None:
        """Tell the others what this router has used at most; it reserves no more.

        Told again, it takes the place of what was told before.
        """
        ledger = self._ledger
        ledger.is_closing = True
        used = {name: s.own_use for name, s in ledger.shares_by_account.items()}
        final = FinalUse(ledger.vm, ledger.incarnation, used)
        told = await self._ask_all(final, self._others())
        log_event("final use sent to other routers", told=len(told), accounts=len(used))

    async def fetch_predecessor_use(self) -> None:
        """Ask the others what the run before this one had used."""
        ledger = self._ledger
        silent_ms = ledger.silent_ms
        if silent_ms is None or silent_ms < LEAST_SILENCE_MS:
            return
        question = FinalUseRequest(ledger.vm, ledger.predecessor)
        for reply in await self._ask_all(question, self._witnesses()):
            if reply.used_by_account is None:
                continue
            ledger.learn_final_use(question.incarnation, reply.used_by_account)
            log_event(
                "final use of the previous run received",
                incarnation=question.incarnation,
                accounts=len(reply.used_by_account),
            )
            return

    def _others(self) -> list[str]:
        """Return all other routers.

        Those of other data centres are among them: the near ones often stop next,
        or are cut off with this one. So are those that were silent of late: a cut
        may have just ended.
        """
        own = self._members.own
        return [vm for vm in self._members.by_vm if vm != own.vm]

    def _witnesses(self) -> list[str]:
        """Return some routers of each data centre, more of the own one."""
        own = self._members.own
        left_by_place: dict[str, int] = {own.data_centre: NEAR_WITNESSES}
        found = []
        for vm in ranked(own.vm, self._others()):
            place = self._members.by_vm[vm].data_centre
            left = left_by_place.setdefault(place, FAR_WITNESSES)
            if left:
                left_by_place[place] = left - 1
                found.append(vm)
        return found

    async def _ask_all(self, message: Message[ReplyT], vms: list[str]) -> list[ReplyT]:
        """Return the answers of the routers that answer."""

        async def ask(vm: str) -> ReplyT | None:
            try:
                async with asyncio.timeout(ALL_SECONDS):
                    return await self._peers.ask(vm, message)
            except (PeerUnreachable, TimeoutError):
                # Whoever cannot be reached was cut off from this router, and
                # would not have been told.
                return None

        replies = await asyncio.gather(*(ask(vm) for vm in vms))
        return [reply for reply in replies if reply is not None]

    async def _keep(self, message: FinalUse) -> Done:
        self._kept_by_vm[message.vm] = message
        return Done()

    async def _tell(self, message: FinalUseRequest) -> FinalUseReply:
        kept = self._kept_by_vm.get(message.vm)
        if kept is None or kept.incarnation != message.incarnation:
            return FinalUseReply(None)
        return FinalUseReply(kept.used_by_account)
