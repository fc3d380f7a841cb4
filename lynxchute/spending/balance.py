"""Move unused tokens to the routers that need them, ahead of requests."""

from __future__ import annotations

import asyncio
import secrets

import attrs

from lynxchute.application import PeriodicTask
from lynxchute.clock import steady_seconds
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.messages import TransferRequest
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.lenders import LoanClient
from lynxchute.spending.standing import LocalReserve
from lynxchute.telemetry import log_event

# Seconds between two rounds of rebalancing.
STEP_SECONDS = 1.0
# A home whose tokens last for fewer seconds of its demand than this asks the other
# routers for more. A network partition of a data centre lasts about six seconds.
REFILL_BELOW_SECONDS = 6.0
# Seconds of its demand that such a home's tokens should last after the refill.
REFILL_SECONDS = 8.0


@attrs.frozen
class PendingTransfer:
    """Tokens that are being sent to an account's home.

    Attributes
    ----------
    recipient
        The router process that may have received them already; None before the
        first attempt.
    """

    gift_id: str
    account: str
    tokens: int
    recipient: Member | None = None


class Rebalancer:
    """Refill homes that run low, and send leftover borrowed tokens to the home.

    Parameters
    ----------
    ledger_sync
        This router's ledger, kept in step with the store.
    lenders
        The other routers that hold parts of budgets.
    members, peers
        The other routers, and the client to reach them.
    local_reserve
        Tokens held for this router's callers; None if the feature is off.

    Attributes
    ----------
    loop
        Runs the periodic rounds.
    """

    def __init__(
        self,
        ledger_sync: LedgerSync,
        lenders: LoanClient,
        members: Members,
        peers: Peers,
        local_reserve: LocalReserve | None = None,
    ) -> None:
        self._local_reserve = local_reserve
        self.loop = PeriodicTask("balance", self._step, STEP_SECONDS)
        self._ledger_sync = ledger_sync
        self._ledger = ledger_sync.ledger
        self._lenders = lenders
        self._members = members
        self._peers = peers
        self._transfers: list[PendingTransfer] = []

    async def _step(self) -> None:
        if not self._ledger.is_open or self._ledger.is_closing:
            return
        for account in list(self._ledger.shares_by_account):
            share = self._ledger.shares_by_account[account]
            if share.is_home:
                await self._refill_home(account)
                continue
            self._queue_leftover(account, retained=self._retained(account))
        for transfer in list(self._transfers):
            await self._send_transfer(transfer)

    async def _refill_home(self, account: str) -> None:
        share = self._ledger.shares_by_account[account]
        demand = share.demand.rate(steady_seconds())
        held = share.terms.granted + share.borrowed - share.used
        if demand <= 0 or held >= demand * REFILL_BELOW_SECONDS:
            return
        is_free = self._ledger.free(account) > 0 and self._ledger_sync.store_answers
        if is_free and not self._ledger.are_grants_held(steady_seconds()):
            self._ledger_sync.request_write()
            return
        wanted = int(demand * REFILL_SECONDS) - held
        gathered = await self._lenders.borrow_spare(account, wanted)
        if gathered.released:
            self._ledger_sync.request_refresh()
            self._ledger_sync.request_write()

    async def transfer_borrowed(self) -> None:
        """Send all unused borrowed tokens to the homes before this router stops.

        The lenders count them as used and no store row records who holds them, so
        they would be lost otherwise.
        """
        for account, share in list(self._ledger.shares_by_account.items()):
            share.is_home = False
            self._queue_leftover(account)
        await asyncio.gather(
            *(self._send_transfer(transfer) for transfer in list(self._transfers))
        )

    def _retained(self, account: str) -> int:
        return (
            self._local_reserve.retained(account)
            if self._local_reserve is not None
            else 0
        )

    def _queue_leftover(self, account: str, *, retained: int = 0) -> None:
        tokens = self._ledger.leftover(
            account, self._ledger_sync.now_ms(), retained=retained
        )
        if tokens <= 0:
            return
        self._ledger.transfer_out(account, tokens)
        self._transfers.append(PendingTransfer(secrets.token_hex(8), account, tokens))
        log_event(
            "leftover tokens sent to the account's home", account=account, tokens=tokens
        )

    async def _send_transfer(self, transfer: PendingTransfer) -> None:
        self._transfers.remove(transfer)
        recipient = transfer.recipient or self._recipient_of(transfer)
        if recipient is None:
            # This router is the home itself, or there is none: keep the tokens here.
            self._ledger.transfer_in(
                transfer.gift_id, transfer.account, transfer.tokens
            )
            return
        member = self._members.by_vm.get(recipient.vm)
        if member is None or member.incarnation != recipient.incarnation:
            # The recipient's process has ended and may have received the tokens;
            # sending them to another router could count them twice.
            log_event(
                "leftover tokens lost",
                account=transfer.account,
                tokens=transfer.tokens,
                peer=recipient.vm,
            )
            return
        try:
            await self._peers.ask(
                recipient.vm,
                TransferRequest(transfer.gift_id, transfer.account, transfer.tokens),
            )
        except PeerUnreachable:
            # Safe to retry with the same process: the transfer is idempotent there.
            self._transfers.append(attrs.evolve(transfer, recipient=recipient))

    def _recipient_of(self, transfer: PendingTransfer) -> Member | None:
        """Return the account's home; None if there is none or it is this router."""
        homes = self._members.homes(transfer.account)
        if not homes or homes[0] == self._members.own.vm:
            return None
        return self._members.by_vm[homes[0]]
