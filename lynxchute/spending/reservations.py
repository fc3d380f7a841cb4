"""Reserve tokens for requests: locally, at the account's home, or by borrowing."""

from __future__ import annotations

import asyncio
import secrets

import attrs

from lynxchute.budgets import ReserveProblem
from lynxchute.clock import steady_seconds
from lynxchute.config import ClientAccount
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import Ack
from lynxchute.fleet.messages import (
    LendReply,
    LendRequest,
    PingRequest,
    ReserveOutcome,
    ReserveReply,
    ReserveRequest,
    Settlement,
    SettleRequest,
    TransferRequest,
)
from lynxchute.fleet.server import PeerServer
from lynxchute.relay.budgets import (
    BudgetExhausted,
    Budgets,
    BudgetUnreachable,
    Reservation,
)
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.lenders import GatherResult, LoanClient
from lynxchute.spending.settlements import SettlementSender
from lynxchute.spending.standing import LocalReserve
from lynxchute.telemetry import Metrics, log_event

# Seconds that a request waits for store writes to cover it: several of 5 ms, or one
# write to a slow store.
COVER_SECONDS = 0.25
# Seconds that a request waits while this router takes over its previous process's row,
# which takes 0.1 to 0.4 s. Without this wait, after all routers lost power, 15 of the
# 30 requests in the two seconds around the takeover were refused.
OPEN_SECONDS = 0.4
# Seconds after which no further lender is asked for a request: the router that sent
# the request here waits 0.6 s for the reply, and a lender takes up to 0.25 s.
GATHER_SECONDS = 0.3
# Seconds that a lender waits until its limit line covers the loan: a few writes.
LEND_COVER_SECONDS = 0.1
# Random bytes that distinguish reservations of requests that share an id.
NONCE_BYTES = 4
# Seconds after its arrival at the account's home until which a request waits in an
# outage for the limit line there to grow; asking lenders takes part of this time. It is
# less than the time that the sending router waits for a reply, and a third of what most
# callers allow for the first event. In a minute with two outages the wait serves 2 to
# 11 of 1,700 to 2,900 requests that would otherwise be refused.
LINE_SECONDS = 0.42
# Seconds by which a limit line may lag behind its predicted growth, because only a
# lower bound of the store's clock is known.
LINE_MARGIN_SECONDS = 0.005
# Event loop iterations that a request waits so that a closed caller connection is
# noticed: one reads the close, one cancels the request. Without them, a request that
# need not wait for tokens would be sent for a caller that has gone.
LOOP_ITERATIONS_FOR_CLOSE = 2
# Maximum number of homes tried, one after another, for one request.
MAX_HOMES = 3


@attrs.define(eq=False)
class _FleetReservation(Reservation):
    """Tokens reserved at this router or another one."""

    holder: str
    reservation_id: str
    settlements: SettlementSender

    def settle(self, used: int) -> None:
        """Settle the reservation at its holder with the tokens used."""
        self.settlements.add(self.holder, Settlement(self.reservation_id, used))


class FleetBudgets(Budgets):
    """Reserve tokens at whichever routers of the fleet hold them.

    Parameters
    ----------
    ledger_sync
        This router's ledger, kept in step with the store.
    members, peers
        The other routers, and the client to reach them.
    settlements
        Sends the tokens used to the routers that hold reservations.
    metrics
        Counts reservations from the local reserve, and refusals while unused tokens
        existed elsewhere.
    lenders
        Borrows missing tokens from other routers.
    local_reserve
        Tokens held for this router's callers; None if the feature is off.
    """

    def __init__(
        self,
        ledger_sync: LedgerSync,
        members: Members,
        peers: Peers,
        settlements: SettlementSender,
        metrics: Metrics,
        lenders: LoanClient,
        local_reserve: LocalReserve | None = None,
    ) -> None:
        self._metrics = metrics
        self._local_reserve = local_reserve
        self._ledger_sync = ledger_sync
        self._ledger = ledger_sync.ledger
        self._members = members
        self._peers = peers
        self._settlements = settlements
        self.lenders = lenders

    def serve(self, server: PeerServer) -> None:
        """Register the handlers of budget messages from other routers."""
        server.handlers_by_class[ReserveRequest] = self._handle_reserve
        server.handlers_by_class[SettleRequest] = self._handle_settle
        server.handlers_by_class[LendRequest] = self._handle_lend
        server.handlers_by_class[TransferRequest] = self._handle_transfer
        server.handlers_by_class[PingRequest] = self._handle_ping

    async def reserve(
        self, request_id: str, account: ClientAccount, tokens: int
    ) -> Reservation:
        """Reserve tokens for a request.

        Raises
        ------
        BudgetExhausted
            If the budget does not cover the tokens.
        BudgetUnreachable
            If tokens may exist but cannot be obtained now.
        """
        if self._local_reserve is not None:
            for _ in range(LOOP_ITERATIONS_FOR_CLOSE):
                await asyncio.sleep(0)
        own = self._members.own.vm
        tried = []
        unused = 0
        # Callers may reuse a request id; each request is still charged separately.
        reservation_id = f"{request_id}.{secrets.token_hex(NONCE_BYTES)}"
        request = ReserveRequest(reservation_id, account.name, tokens)
        homes = self._members.homes(account.name)[:MAX_HOMES]
        if self._try_local_reserve(request, is_home=homes[:1] == [own]):
            self._metrics.reservations_kept.inc()
            self._log_reserved(request_id, request, own, "kept here")
            return _FleetReservation(own, reservation_id, self._settlements)
        for vm in homes:
            if vm == own:
                reply = await self.reserve_locally(request)
            else:
                reply = await self._request_reservation(vm, request)
            if reply.outcome is ReserveOutcome.RESERVED:
                how = reply.detail or "granted"
                self._log_reserved(request_id, request, vm, how)
                return _FleetReservation(vm, reservation_id, self._settlements)
            tried.append(f"{vm}: {reply.outcome.value} {reply.detail}".strip())
            unused = max(unused, reply.unused)
            if reply.outcome is ReserveOutcome.UNREACHABLE:
                # That home has already asked every lender that the next would ask.
                break
            if reply.outcome is ReserveOutcome.EXHAUSTED:
                self._log_refusal(request_id, request, tried, unused)
                title = f"The budget does not cover {tokens} tokens."
                raise BudgetExhausted(title)
        self._log_refusal(request_id, request, tried, unused)
        raise BudgetUnreachable("No tokens can be had at the moment. Send it again.")

    async def reserve_locally(self, request: ReserveRequest) -> ReserveReply:
        """Reserve tokens of this router's share, raising it or borrowing if needed."""
        ledger_sync, ledger = self._ledger_sync, self._ledger
        account, tokens = request.account, request.tokens
        started = steady_seconds()
        share = ledger.share(account)
        share.is_home = self._members.homes(account)[:1] == [self._members.own.vm]
        share.demand.add(tokens, steady_seconds())
        if ledger_sync.is_opening:
            await ledger_sync.wait_until_open(started + OPEN_SECONDS)
        problem = self._try_reserve(request)
        if problem is ReserveProblem.SHORT and self._may_wait_for_write(request):
            until = steady_seconds() + COVER_SECONDS
            if await ledger_sync.wait_until_covered(account, tokens, until):
                problem = self._try_reserve(request)
        if problem is None:
            return ReserveReply(ReserveOutcome.RESERVED)
        if problem is ReserveProblem.CLOSED:
            return ReserveReply(ReserveOutcome.CLOSED)
        return await self._borrow_and_reserve(request, started)

    def _try_local_reserve(self, request: ReserveRequest, *, is_home: bool) -> bool:
        if self._local_reserve is None:
            return False
        return self._local_reserve.try_reserve(request, is_home=is_home)

    def _may_wait_for_write(self, request: ReserveRequest) -> bool:
        """Return whether a store write may provide the tokens that are missing."""
        if not self._ledger_sync.store_answers:
            return False
        if self._local_reserve is None:
            return True
        return not self._ledger_sync.is_out_of_reach(request.account, request.tokens)

    def _try_reserve(self, request: ReserveRequest) -> ReserveProblem | None:
        problem = self._ledger.reserve(
            request.reservation_id,
            request.account,
            request.tokens,
            now_ms=self._ledger_sync.now_ms(),
        )
        if problem is None:
            self._ledger_sync.record_use()
        return problem

    async def _reserve_when_covered(
        self, request: ReserveRequest, until: float
    ) -> bool:
        """Reserve once the limit line covers a request; return whether it is reserved.

        Returns False at once if the line will not cover the request in time.
        """
        ledger, now_ms = self._ledger, self._ledger_sync.now_ms
        while (left := until - steady_seconds()) > 0:
            wait_ms = ledger.ms_until_available(
                request.account,
                request.tokens,
                now_ms=now_ms(),
                within_ms=int(left * 1000),
            )
            if wait_ms is None:
                return False
            await asyncio.sleep(wait_ms / 1000.0 + LINE_MARGIN_SECONDS)
            if self._try_reserve(request) is None:
                return True
        return False

    async def _borrow_and_reserve(
        self, request: ReserveRequest, started: float
    ) -> ReserveReply:
        """Borrow missing tokens from other routers, then reserve."""
        account = request.account
        until = started + GATHER_SECONDS
        gathered = await self.lenders.gather(account, request.tokens, until)
        if gathered.released:
            self._ledger_sync.request_refresh()
            until = steady_seconds() + COVER_SECONDS
            await self._ledger_sync.wait_until_covered(account, request.tokens, until)
        if self._try_reserve(request) is None:
            return ReserveReply(ReserveOutcome.RESERVED, "borrowed")
        if await self._reserve_when_covered(request, started + LINE_SECONDS):
            return ReserveReply(ReserveOutcome.RESERVED, "waited for the line")
        unanswered = self._grants_of_unanswered(account, gathered)
        unused = self._ledger.unused(account) + gathered.unused_elsewhere
        unused += max(self._ledger.free(account), 0) + sum(unanswered.values())
        unused += self._ledger.lent_reserves(account, steady_seconds())
        silent = ",".join(sorted({*gathered.silent, *unanswered}))
        detail = f"unused={unused} silent={silent}"
        if unused < request.tokens and self._ledger_sync.store_answers:
            return ReserveReply(ReserveOutcome.EXHAUSTED, detail, unused)
        return ReserveReply(ReserveOutcome.UNREACHABLE, detail, unused)

    def _grants_of_unanswered(
        self, account: str, gathered: GatherResult
    ) -> dict[str, int]:
        """Return the grants, by VM, of routers that did not report their unused tokens.

        All of these grants may still be unused.
        """
        known = self._ledger.totals_by_account.get(account)
        granted_by_vm = known.totals.granted_by_vm if known is not None else {}
        answered_vms = {*gathered.answered, self._members.own.vm}
        return {vm: n for vm, n in granted_by_vm.items() if vm not in answered_vms}

    async def _request_reservation(
        self, vm: str, request: ReserveRequest
    ) -> ReserveReply:
        try:
            return await self._peers.ask(vm, request)
        except PeerUnreachable as error:
            # The home may still have made the reservation, so settle it with 0.
            self._settlements.add(vm, Settlement(request.reservation_id, 0))
            return ReserveReply(ReserveOutcome.SILENT, str(error))
        except asyncio.CancelledError:
            self._settlements.add(vm, Settlement(request.reservation_id, 0))
            raise

    async def _handle_reserve(self, request: ReserveRequest) -> ReserveReply:
        return await self.reserve_locally(request)

    async def _handle_settle(self, request: SettleRequest) -> Ack:
        for settlement in request.settlements:
            self._ledger.settle(settlement.reservation_id, settlement.used)
        for loan in request.void_loans:
            tokens = self._ledger.cancel_loan(loan.loan_id, loan.account)
            log_event("loan voided", account=loan.account, tokens=tokens)
        self._ledger_sync.record_use()
        return Ack()

    async def _handle_lend(self, request: LendRequest) -> LendReply:
        account = request.account
        released, lent = 0, 0
        if request.by_store and self._ledger_sync.may_change_grants:
            # Tokens released to the store survive a crash of either router; loans do
            # not.
            needed, wanted = request.needed, request.wanted
            released = await self._ledger_sync.release(account, needed, wanted)
        if not released:
            if request.needed and self._ledger_sync.store_answers:
                until = steady_seconds() + LEND_COVER_SECONDS
                await self._ledger_sync.wait_for_limit_line(
                    account, request.needed, until
                )
            lent = self._ledger.lend(
                request.loan_id,
                account,
                needed=request.needed,
                wanted=request.wanted,
                now_ms=self._ledger_sync.now_ms(),
                now=steady_seconds(),
                for_reserve=bool(request.kept_by),
            )
        if lent and request.kept_by:
            self.lenders.record_reserve_loan(account, request.kept_by)
        self._ledger_sync.record_use()
        return LendReply(lent, released, self._ledger.unused(account))

    async def _handle_transfer(self, request: TransferRequest) -> Ack:
        self._ledger.transfer_in(request.gift_id, request.account, request.tokens)
        return Ack()

    async def _handle_ping(self, request: PingRequest) -> Ack:
        return Ack()

    def _log_reserved(
        self, request_id: str, request: ReserveRequest, holder: str, how: str
    ) -> None:
        log_event(
            "tokens reserved",
            request_id=request_id,
            account=request.account,
            tokens=request.tokens,
            holder=holder,
            how=how,
            store_answers=self._ledger_sync.store_answers,
        )

    def _log_refusal(
        self, request_id: str, request: ReserveRequest, tried: list[str], unused: int
    ) -> None:
        ledger = self._ledger
        share = ledger.shares_by_account.get(request.account)
        if unused >= request.tokens:
            self._metrics.refusals_with_tokens.inc()
        log_event(
            "no tokens for a request",
            request_id=request_id,
            account=request.account,
            tokens=request.tokens,
            tried=tried,
            unused=unused,
            store_answers=self._ledger_sync.store_answers,
            free=ledger.free(request.account),
            granted=share.terms.granted if share else 0,
            used=share.own_use if share else 0,
            prepaid=ledger.prepaid_by_account.get(request.account),
        )
