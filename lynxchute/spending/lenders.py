"""Request tokens from other routers that hold part of a budget."""

from __future__ import annotations

import asyncio
import secrets

import attrs

from lynxchute.clock import steady_seconds
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import CancelledLoan, LendReply, LendRequest
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.settlements import SettlementSender
from lynxchute.telemetry import log_event

# A router borrows for this many seconds of its demand in advance, so that not every
# request needs a loan.
AHEAD_SECONDS = 2.0
# Number of lenders that are asked concurrently. After a crash of all routers, ten or
# more may hold tokens of one budget, and each takes up to 0.25 s to release them. When
# they were asked one after the other, only three or four were reached in the time that
# a request has, and 78 of 100 requests that were refused although unused tokens existed
# had not asked every holder.
LENDERS_AT_ONCE = 6
# Seconds after a loan for a local reserve until the borrower is assumed to have used
# the tokens or sent them on.
RESERVE_LOAN_SECONDS = 20.0
# Maximum number of routers asked, one after another, for tokens for the local reserve.
MAX_ASKED = 4


@attrs.define
class GatherResult:
    """Tokens obtained from other routers, and those that they still hold.

    Attributes
    ----------
    released
        Tokens that lenders released to the store, where this router can claim them.
    obtained
        Tokens released or lent.
    unused_elsewhere
        Tokens that the lenders still hold unused.
    silent
        VMs that did not answer or were not asked in time.
    answered
        VMs that answered.
    """

    released: int = 0
    obtained: int = 0
    unused_elsewhere: int = 0
    silent: list[str] = attrs.Factory(list)
    answered: list[str] = attrs.Factory(list)


class LoanClient:
    """Client for borrowing tokens from other routers.

    Parameters
    ----------
    ledger_sync
        This router's ledger, kept in step with the store.
    members, peers
        The other routers, and the client to reach them.
    settlements
        Cancels loans whose replies were lost.
    """

    def __init__(
        self,
        ledger_sync: LedgerSync,
        members: Members,
        peers: Peers,
        settlements: SettlementSender,
    ) -> None:
        self._ledger_sync = ledger_sync
        self._ledger = ledger_sync.ledger
        self._members = members
        self._peers = peers
        self._settlements = settlements
        # By account and VM, when tokens were last lent to that router's reserve, in
        # seconds on the steady clock.
        self._lent_at_by_account: dict[str, dict[str, float]] = {}

    def record_reserve_loan(self, account: str, vm: str) -> None:
        """Record that a router was lent tokens for its local reserve."""
        self._lent_at_by_account.setdefault(account, {})[vm] = steady_seconds()

    async def gather(self, account: str, tokens: int, until: float) -> GatherResult:
        """Ask lenders until they have lent, or released to the store, enough tokens.

        Tokens released to the store are for this router to claim. Lenders lend tokens
        directly where a release would take too long.

        Parameters
        ----------
        until
            When to stop asking, in seconds on the steady clock.
        """
        gathered = GatherResult()
        share = self._ledger.share(account)
        lenders = self.candidates(account)
        while lenders:
            available = self._ledger.available(account, self._ledger_sync.now_ms())
            missing = tokens - available - gathered.released
            if missing <= 0:
                break
            if steady_seconds() >= until:
                gathered.silent.extend(lenders)
                break
            ahead = int(share.demand.rate(steady_seconds()) * AHEAD_SECONDS)
            asked, lenders = lenders[:LENDERS_AT_ONCE], lenders[LENDERS_AT_ONCE:]
            await asyncio.gather(
                *(
                    self._request_loan(gathered, vm, account, missing, missing + ahead)
                    for vm in asked
                )
            )
        return gathered

    async def borrow_spare(self, account: str, wanted: int) -> GatherResult:
        """Ask lenders for tokens that they can spare; no request is waiting."""
        gathered = GatherResult()
        for vm in self.candidates(account):
            if gathered.obtained >= wanted:
                break
            await self._request_loan(
                gathered, vm, account, 0, wanted - gathered.obtained
            )
        return gathered

    async def borrow_for_reserve(self, account: str, wanted: int) -> GatherResult:
        """Borrow tokens for the local reserve.

        The account's home in this data centre is asked first, then others, until half
        of the wanted amount is obtained.
        """
        gathered = GatherResult()
        own = self._members.own.vm
        home = [vm for vm in self._members.homes(account) if vm != own][:1]
        for vm in list(dict.fromkeys([*home, *self.candidates(account)]))[:MAX_ASKED]:
            if gathered.obtained >= wanted // 2:
                break
            await self._request_loan(
                gathered, vm, account, 0, wanted - gathered.obtained, kept_by=own
            )
        return gathered

    async def _request_loan(
        self,
        gathered: GatherResult,
        vm: str,
        account: str,
        needed: int,
        wanted: int,
        *,
        kept_by: str = "",
    ) -> None:
        by_store = self._ledger_sync.store_answers and not kept_by
        loan = LendRequest(
            secrets.token_hex(8), account, needed, wanted, by_store, kept_by
        )
        # Without a reply, the lender may still have made the loan.
        cancelled_loan = CancelledLoan(loan.loan_id, account)
        try:
            reply = await self._peers.ask(vm, loan)
        except PeerUnreachable:
            self._settlements.queue_cancellation(vm, cancelled_loan)
            gathered.silent.append(vm)
            return
        except asyncio.CancelledError:
            self._settlements.queue_cancellation(vm, cancelled_loan)
            raise
        gathered.answered.append(vm)
        gathered.unused_elsewhere += reply.unused
        gathered.released += reply.released
        gathered.obtained += reply.released + reply.lent
        if reply.lent:
            self._ledger.borrow(account, reply.lent)
        if reply.lent or reply.released:
            log_event(
                "tokens obtained from a lender",
                account=account,
                lender=vm,
                **_log_fields(reply),
            )

    def candidates(self, account: str) -> list[str]:
        """Return the VMs that may hold tokens of a budget, best ones first.

        Routers with a known grant come first, those of the own data centre before
        others; then the homes of other data centres, which may have received a grant
        since; then routers that were recently lent tokens for their reserves.
        """
        known = self._ledger.totals_by_account.get(account)
        own = self._members.own
        local: list[str] = []
        remote: list[str] = []
        for vm in known.totals.granted_by_vm if known is not None else ():
            member = self._members.by_vm.get(vm)
            if vm == own.vm or member is None:
                continue
            if not self._members.is_reachable(vm):
                continue
            is_local = member.data_centre == own.data_centre
            (local if is_local else remote).append(vm)
        homes = self._members.remote_homes(account)
        return [
            *dict.fromkeys([*local, *remote, *homes, *self._reserve_borrowers(account)])
        ]

    def _reserve_borrowers(self, account: str) -> list[str]:
        """Return reachable VMs that may still hold tokens lent to their reserves."""
        since = steady_seconds() - RESERVE_LOAN_SECONDS
        found = []
        for vm, lent_at in self._lent_at_by_account.get(account, {}).items():
            if lent_at >= since and self._members.is_reachable(vm):
                found.append(vm)
        return found


def _log_fields(reply: LendReply) -> dict[str, int]:
    return {"lent": reply.lent, "released": reply.released, "unused": reply.unused}
