"""Report a stopping router's final use to other routers if the store is unreachable."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from lynxchute.budgets import Ledger
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import Ack, Message
from lynxchute.fleet.messages import (
    FinalUseReply,
    FinalUseReport,
    FinalUseRequest,
)
from lynxchute.fleet.server import PeerServer
from lynxchute.rendezvous import ranked
from lynxchute.telemetry import log_event

ReplyT = TypeVar("ReplyT")

# Timeout in seconds for messages sent to many routers at once.
BROADCAST_SECONDS = 0.3
# Other routers are asked only if the previous process's last write was at least this
# many milliseconds before this process started. A router that reports its final use
# serves for another 2.5 s after its last write. A killed process reports nothing and is
# mostly restarted sooner, so asking would only delay the start: by up to
# `BROADCAST_SECONDS` each with 194 routers restarting after a loss of power.
MIN_SILENCE_MS = 2_500
# Number of routers that are asked in the own data centre and in each other one. A few
# suffice: the final use was sent to all routers, of which a third may have restarted
# since and lost it.
LOCAL_VMS_ASKED = 6
REMOTE_VMS_ASKED = 2


class FinalUseExchange:
    """Exchange the final use of stopped routers between routers.

    A router that stops while it is cut off from the store cannot record its use
    there. Without this exchange, its next process would have to count as used
    all that its limit lines allowed in the meantime.

    Parameters
    ----------
    ledger
        This router's ledger.
    members, peers
        The other routers, and the client to reach them.
    """

    def __init__(self, ledger: Ledger, members: Members, peers: Peers) -> None:
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._final_use_by_vm: dict[str, FinalUseReport] = {}

    def serve(self, server: PeerServer) -> None:
        """Register the handlers of final-use messages."""
        server.handlers_by_class[FinalUseReport] = self._handle_final_use
        server.handlers_by_class[FinalUseRequest] = self._handle_final_use_request

    async def announce(self) -> None:
        """Close the ledger and send an upper bound of its use to all other routers.

        A repeated announcement replaces the previous one.
        """
        ledger = self._ledger
        ledger.is_closing = True
        used = {name: s.own_use for name, s in ledger.shares_by_account.items()}
        final = FinalUseReport(ledger.vm, ledger.incarnation, used)
        replies = await self._broadcast(final, self._other_vms())
        log_event(
            "final use sent to other routers", told=len(replies), accounts=len(used)
        )

    async def fetch_predecessor_use(self) -> None:
        """Ask other routers for the final use of the previous process of this VM."""
        ledger = self._ledger
        silent_ms = ledger.silent_ms
        if silent_ms is None or silent_ms < MIN_SILENCE_MS:
            return
        request = FinalUseRequest(ledger.vm, ledger.predecessor)
        for reply in await self._broadcast(request, self._vms_to_ask()):
            if reply.used_by_account is None:
                continue
            ledger.apply_final_use(request.incarnation, reply.used_by_account)
            log_event(
                "final use of the previous run received",
                incarnation=request.incarnation,
                accounts=len(reply.used_by_account),
            )
            return

    def _other_vms(self) -> list[str]:
        """Return the VMs of all other routers.

        This includes other data centres, because routers of this one often stop next
        or are cut off together with it, and routers that did not answer recently,
        because a network partition may have just ended.
        """
        own = self._members.own
        return [vm for vm in self._members.by_vm if vm != own.vm]

    def _vms_to_ask(self) -> list[str]:
        """Return a few VMs of each data centre to ask, more of the own one."""
        own = self._members.own
        left_by_data_centre: dict[str, int] = {own.data_centre: LOCAL_VMS_ASKED}
        found = []
        for vm in ranked(own.vm, self._other_vms()):
            data_centre = self._members.by_vm[vm].data_centre
            left = left_by_data_centre.setdefault(data_centre, REMOTE_VMS_ASKED)
            if left:
                left_by_data_centre[data_centre] = left - 1
                found.append(vm)
        return found

    async def _broadcast(
        self, message: Message[ReplyT], vms: list[str]
    ) -> list[ReplyT]:
        """Send a message to several routers; return the replies that arrived."""

        async def ask(vm: str) -> ReplyT | None:
            try:
                async with asyncio.timeout(BROADCAST_SECONDS):
                    return await self._peers.ask(vm, message)
            except (PeerUnreachable, TimeoutError):
                # A router that is unreachable from here has most likely not
                # received the final use either.
                return None

        replies = await asyncio.gather(*(ask(vm) for vm in vms))
        return [reply for reply in replies if reply is not None]

    async def _handle_final_use(self, message: FinalUseReport) -> Ack:
        self._final_use_by_vm[message.vm] = message
        return Ack()

    async def _handle_final_use_request(
        self, message: FinalUseRequest
    ) -> FinalUseReply:
        final_use = self._final_use_by_vm.get(message.vm)
        if final_use is None or final_use.incarnation != message.incarnation:
            return FinalUseReply(None)
        return FinalUseReply(final_use.used_by_account)
