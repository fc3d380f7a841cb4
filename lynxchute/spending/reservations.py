"""Find tokens for a request: here, at the account's home, or elsewhere."""

from __future__ import annotations

import asyncio
import secrets
import time

import attrs

from lynxchute.budgets import ReserveProblem
from lynxchute.config import ClientAccount
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import (
    Done,
    LendReply,
    LendRequest,
    PingRequest,
    ReserveOutcome,
    ReserveReply,
    ReserveRequest,
    Settlement,
    SettleRequest,
)
from lynxchute.fleet.server import PeerServer
from lynxchute.relay.budgets import (
    BudgetExhausted,
    Budgets,
    BudgetUnreachable,
    Reservation,
)
from lynxchute.spending.keeper import Keeper
from lynxchute.spending.settlements import Settlements
from lynxchute.telemetry import log_event

# Seconds that a request waits for the store to cover it: some writes of 5 ms,
# or one of a store that is slow.
COVER_SECONDS = 0.2
# Seconds that a lender waits for the store, less than its asker waits for it.
LEND_SECONDS = 0.1
# Seconds of its demand that a router borrows ahead, so that not every request
# has to ask.
BORROW_AHEAD_SECONDS = 2.0
# How many homes are tried in turn.
MAX_HOMES = 3


@attrs.define(eq=False)
class _HeldReservation(Reservation):
    """Tokens that a router, or this one, has set aside."""

    holder: str
    request_id: str
    settlements: Settlements

    def settle(self, used: int) -> None:
        """Give back what the request did not use."""
        self.settlements.add(self.holder, Settlement(self.request_id, used))


class FleetBudgets(Budgets):
    """Reserve tokens wherever in the fleet they are held.

    Parameters
    ----------
    keeper
        This router's own grants.
    members, peers
        The other routers.
    settlements
        Tells them what requests have used.
    """

    def __init__(
        self, keeper: Keeper, members: Members, peers: Peers, settlements: Settlements
    ) -> None:
        self._keeper = keeper
        self._ledger = keeper.ledger
        self._members = members
        self._peers = peers
        self._settlements = settlements

    def serve(self, server: PeerServer) -> None:
        """Answer the questions of other routers."""
        server.answers_by_class[ReserveRequest] = self._serve_reserve
        server.answers_by_class[SettleRequest] = self._serve_settle
        server.answers_by_class[LendRequest] = self._serve_lend
        server.answers_by_class[PingRequest] = self._serve_ping

    async def reserve(
        self, request_id: str, account: ClientAccount, tokens: int
    ) -> Reservation:
        """Set tokens aside."""
        own = self._members.own.vm
        tried = []
        for vm in self._members.homes(account.name)[:MAX_HOMES]:
            request = ReserveRequest(request_id, account.name, tokens)
            if vm == own:
                reply = await self.reserve_here(request)
            else:
                reply = await self._ask(vm, request)
            if reply.outcome is ReserveOutcome.RESERVED:
                return _HeldReservation(vm, request_id, self._settlements)
            tried.append(f"{vm}: {reply.outcome.value} {reply.detail}".strip())
            if reply.outcome is ReserveOutcome.EXHAUSTED:
                self._log_refusal(request, tried)
                title = f"The budget does not cover {tokens} tokens."
                raise BudgetExhausted(title)
        self._log_refusal(ReserveRequest(request_id, account.name, tokens), tried)
        raise BudgetUnreachable("No tokens can be had at the moment. Send it again.")

    async def reserve_here(self, request: ReserveRequest) -> ReserveReply:
        """Set tokens of the own grant aside, raising or borrowing what lacks."""
        keeper, ledger = self._keeper, self._ledger
        account, tokens = request.account, request.tokens
        share = ledger.share(account)
        share.is_home = self._members.homes(account)[:1] == [self._members.own.vm]
        share.demand.add(tokens, time.monotonic())
        problem = self._try_here(request)
        if problem is ReserveProblem.SHORT and keeper.store_answers:
            until = time.monotonic() + COVER_SECONDS
            if await keeper.cover(account, tokens, until):
                problem = self._try_here(request)
        if problem is None:
            return ReserveReply(ReserveOutcome.RESERVED)
        if problem is ReserveProblem.CLOSED:
            return ReserveReply(ReserveOutcome.CLOSED)
        return await self._borrow_and_reserve(request)

    def _try_here(self, request: ReserveRequest) -> ReserveProblem | None:
        problem = self._ledger.reserve(
            request.request_id,
            request.account,
            request.tokens,
            now_ms=self._keeper.now_ms(),
        )
        if problem is None:
            self._keeper.touch()
        return problem

    async def _borrow_and_reserve(self, request: ReserveRequest) -> ReserveReply:
        """Borrow what lacks from the other routers that hold a part."""
        account = request.account
        share = self._ledger.share(account)
        left_elsewhere = 0
        silent = []
        for vm in self._lenders(account):
            available = self._ledger.available(account, self._keeper.now_ms())
            missing = request.tokens - available
            if missing <= 0:
                break
            ahead = int(share.demand.rate(time.monotonic()) * BORROW_AHEAD_SECONDS)
            loan = LendRequest(secrets.token_hex(8), account, missing, missing + ahead)
            try:
                reply = await self._peers.ask(vm, loan)
            except PeerUnreachable:
                silent.append(vm)
                continue
            left_elsewhere += reply.unused
            if reply.lent:
                self._ledger.borrow(account, reply.lent)
                log_event("tokens borrowed", account=account, lender=vm, **_of(reply))
        if self._try_here(request) is None:
            return ReserveReply(ReserveOutcome.RESERVED, "borrowed")
        unused = self._ledger.unused(account) + left_elsewhere
        unused += max(self._ledger.free(account), 0)
        detail = f"unused={unused} silent={','.join(silent)}"
        if unused < request.tokens and not silent and self._keeper.store_answers:
            return ReserveReply(ReserveOutcome.EXHAUSTED, detail)
        return ReserveReply(ReserveOutcome.UNREACHABLE, detail)

    def _lenders(self, account: str) -> list[str]:
        """Return the routers that may hold a part of a budget.

        Those that the store is known to have granted one come first, near ones
        before far ones; then the other data centres' homes, which may have
        been granted theirs since.
        """
        known = self._ledger.totals_by_account.get(account)
        own = self._members.own
        near: list[str] = []
        far: list[str] = []
        for vm in known.totals.granted_by_vm if known is not None else ():
            member = self._members.by_vm.get(vm)
            if vm == own.vm or member is None:
                continue
            if not self._members.is_reachable(vm):
                continue
            near_by = member.data_centre == own.data_centre
            (near if near_by else far).append(vm)
        homes = self._members.homes_elsewhere(account)
        return [*dict.fromkeys([*near, *far, *homes])]

    async def _ask(self, vm: str, request: ReserveRequest) -> ReserveReply:
        try:
            return await self._peers.ask(vm, request)
        except PeerUnreachable as error:
            # It may have set the tokens aside all the same.
            self._settlements.add(vm, Settlement(request.request_id, 0))
            return ReserveReply(ReserveOutcome.UNREACHABLE, str(error))
        except asyncio.CancelledError:
            self._settlements.add(vm, Settlement(request.request_id, 0))
            raise

    async def _serve_reserve(self, request: ReserveRequest) -> ReserveReply:
        return await self.reserve_here(request)

    async def _serve_settle(self, request: SettleRequest) -> Done:
        for settlement in request.settlements:
            self._ledger.settle(settlement.request_id, settlement.used)
        self._keeper.touch()
        return Done()

    async def _serve_lend(self, request: LendRequest) -> LendReply:
        account = request.account
        share = self._ledger.shares_by_account.get(account)
        if share is not None and self._keeper.store_answers:
            # The line may be all that stands against it.
            needed = min(request.needed, share.headroom)
            await self._keeper.cover(account, needed, time.monotonic() + LEND_SECONDS)
        lent = self._ledger.lend(
            request.loan_id,
            account,
            needed=request.needed,
            wanted=request.wanted,
            now_ms=self._keeper.now_ms(),
        )
        self._keeper.touch()
        return LendReply(lent, self._ledger.unused(request.account))

    async def _serve_ping(self, request: PingRequest) -> Done:
        return Done()

    def _log_refusal(self, request: ReserveRequest, tried: list[str]) -> None:
        ledger = self._ledger
        share = ledger.shares_by_account.get(request.account)
        log_event(
            "no tokens for a request",
            request_id=request.request_id,
            account=request.account,
            tokens=request.tokens,
            tried=tried,
            store_answers=self._keeper.store_answers,
            free=ledger.free(request.account),
            granted=share.terms.granted if share else 0,
            used=share.own_use if share else 0,
            prepaid=ledger.prepaid_by_account.get(request.account),
        )


def _of(reply: LendReply) -> dict[str, int]:
    return {"lent": reply.lent, "unused": reply.unused}
