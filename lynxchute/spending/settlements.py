"""Tell the routers that hold reservations what requests have used."""

from __future__ import annotations

import asyncio

import attrs

from lynxchute.application import Background
from lynxchute.budgets import Ledger
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import Settlement, SettleRequest, VoidLoan
from lynxchute.telemetry import log_event

# Settlements of this many seconds go out together.
BATCH_SECONDS = 0.15
MAX_BATCH = 200
# A holder that cannot be told for this long counts its reservations at their
# most; in seconds.
GIVE_UP_AFTER = 30.0


@attrs.define
class _Waiting:
    """What one holder is to be told, and since when it could not be."""

    settlements: list[Settlement] = attrs.Factory(list)
    void_loans: list[VoidLoan] = attrs.Factory(list)
    silent_since: float | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not self.settlements and not self.void_loans


class SettlementSender(Background):
    """Collect settlements and send them in batches.

    Parameters
    ----------
    ledger
        This router's own reservations.
    members, peers
        The other holders.
    """

    def __init__(self, ledger: Ledger, members: Members, peers: Peers) -> None:
        super().__init__()
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._waiting_by_vm: dict[str, _Waiting] = {}
        self._any = asyncio.Event()

    def add(self, holder: str, settlement: Settlement) -> None:
        """Take what a request has used of a reservation."""
        if holder == self._members.own.vm:
            self._ledger.settle(settlement.reservation_id, settlement.used)
            return
        waiting = self._waiting_by_vm.setdefault(holder, _Waiting())
        waiting.settlements.append(settlement)
        self._any.set()

    def void(self, lender: str, loan: VoidLoan) -> None:
        """Have a loan taken back that may have been made and did not arrive."""
        waiting = self._waiting_by_vm.setdefault(lender, _Waiting())
        waiting.void_loans.append(loan)
        self._any.set()

    async def flush(self) -> None:
        """Send everything now, as far as the holders answer."""
        await asyncio.gather(*(self._tell(vm) for vm in list(self._waiting_by_vm)))

    async def _run(self) -> None:
        while True:
            await self._any.wait()
            self._any.clear()
            await asyncio.sleep(BATCH_SECONDS)
            await self.flush()
            if self._waiting_by_vm:
                self._any.set()

    async def _tell(self, vm: str) -> None:
        waiting = self._waiting_by_vm[vm]
        batch = waiting.settlements[:MAX_BATCH]
        loans = waiting.void_loans[:MAX_BATCH]
        try:
            await self._peers.ask(vm, SettleRequest(tuple(batch), tuple(loans)))
        except PeerUnreachable as error:
            self._note_silence(vm, waiting, str(error))
            return
        waiting.silent_since = None
        del waiting.settlements[: len(batch)]
        del waiting.void_loans[: len(loans)]
        if waiting.is_empty:
            self._waiting_by_vm.pop(vm, None)

    def _note_silence(self, vm: str, waiting: _Waiting, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        if waiting.silent_since is None:
            waiting.silent_since = now
            return
        if now - waiting.silent_since < GIVE_UP_AFTER:
            return
        log_event(
            "settlements dropped; their reservations stay counted in full",
            holder=vm,
            count=len(waiting.settlements),
            loans=len(waiting.void_loans),
            reason=reason,
        )
        self._waiting_by_vm.pop(vm, None)
