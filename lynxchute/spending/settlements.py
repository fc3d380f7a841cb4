"""Send settlements and cancelled loans to the routers that hold the tokens."""

from __future__ import annotations

import asyncio

import attrs

from lynxchute.application import BackgroundTask
from lynxchute.budgets import Ledger
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import CancelledLoan, Settlement, SettleRequest
from lynxchute.telemetry import log_event

# Seconds for which settlements are collected into one batch.
BATCH_SECONDS = 0.15
# Settlements, and cancelled loans, per message.
MAX_BATCH = 200
# Seconds after which the messages for an unreachable router are dropped. That router
# then keeps counting the reservations as used in full.
GIVE_UP_SECONDS = 30.0


@attrs.define
class _Outbox:
    """Messages waiting for one router, and since when it has been unreachable."""

    settlements: list[Settlement] = attrs.Factory(list)
    cancelled_loans: list[CancelledLoan] = attrs.Factory(list)
    unreachable_since: float | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether no messages are waiting."""
        return not self.settlements and not self.cancelled_loans


class SettlementSender(BackgroundTask):
    """Collect settlements and cancelled loans and send them in batches.

    Parameters
    ----------
    ledger
        This router's ledger, for reservations that it holds itself.
    members, peers
        The other routers, and the client to reach them.
    """

    def __init__(self, ledger: Ledger, members: Members, peers: Peers) -> None:
        super().__init__()
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._outbox_by_vm: dict[str, _Outbox] = {}
        self._has_messages = asyncio.Event()

    def add(self, holder: str, settlement: Settlement) -> None:
        """Apply a settlement here, or queue it for the router that holds it."""
        if holder == self._members.own.vm:
            self._ledger.settle(settlement.reservation_id, settlement.used)
            return
        outbox = self._outbox_by_vm.setdefault(holder, _Outbox())
        outbox.settlements.append(settlement)
        self._has_messages.set()

    def queue_cancellation(self, lender: str, loan: CancelledLoan) -> None:
        """Queue the cancellation of a loan whose reply did not arrive."""
        outbox = self._outbox_by_vm.setdefault(lender, _Outbox())
        outbox.cancelled_loans.append(loan)
        self._has_messages.set()

    async def flush(self) -> None:
        """Send everything that is queued now, one batch per router."""
        await asyncio.gather(*(self._send(vm) for vm in list(self._outbox_by_vm)))

    async def _run(self) -> None:
        while True:
            await self._has_messages.wait()
            self._has_messages.clear()
            await asyncio.sleep(BATCH_SECONDS)
            await self.flush()
            if self._outbox_by_vm:
                self._has_messages.set()

    async def _send(self, vm: str) -> None:
        outbox = self._outbox_by_vm[vm]
        batch = outbox.settlements[:MAX_BATCH]
        loans = outbox.cancelled_loans[:MAX_BATCH]
        try:
            await self._peers.ask(vm, SettleRequest(tuple(batch), tuple(loans)))
        except PeerUnreachable as error:
            self._record_failure(vm, outbox, str(error))
            return
        outbox.unreachable_since = None
        del outbox.settlements[: len(batch)]
        del outbox.cancelled_loans[: len(loans)]
        if outbox.is_empty:
            self._outbox_by_vm.pop(vm, None)

    def _record_failure(self, vm: str, outbox: _Outbox, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        if outbox.unreachable_since is None:
            outbox.unreachable_since = now
            return
        if now - outbox.unreachable_since < GIVE_UP_SECONDS:
            return
        log_event(
            "settlements dropped; their reservations stay counted in full",
            holder=vm,
            count=len(outbox.settlements),
            loans=len(outbox.cancelled_loans),
            reason=reason,
        )
        self._outbox_by_vm.pop(vm, None)
