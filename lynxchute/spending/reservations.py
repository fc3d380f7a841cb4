"""Find tokens for a request: here, at the account's home, or elsewhere."""

from __future__ import annotations

import asyncio
import secrets

import attrs

from lynxchute.budgets import ReserveProblem
from lynxchute.clock import steady_seconds
from lynxchute.config import ClientAccount
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import Done
from lynxchute.fleet.messages import (
    GiveRequest,
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
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.lenders import Gathered, Lenders
from lynxchute.spending.settlements import SettlementSender
from lynxchute.spending.standing import LocalReserve
from lynxchute.telemetry import Metrics, log_event

# Seconds that a request waits for the store to cover it: some writes of 5 ms,
# or one of a store that is slow.
COVER_SECONDS = 0.25
# Seconds that a request waits while this router takes over what the run before had,
# which takes 0.1 to 0.4 s. Without it 15 of the 30 requests of the two seconds around
# the opening were refused, after a loss of power of all.
OPEN_SECONDS = 0.4
# Seconds after which a router that looks for a request's tokens asks no further
# lender: its asker waits 0.6 s for the answer, and a lender takes up to 0.25 s.
GATHER_SECONDS = 0.3
# Seconds that a lender waits until its line covers what it lends: a few writes.
LEND_COVER_SECONDS = 0.1
# Bytes that tell apart the reservations of requests with one id.
NONCE_BYTES = 4
# Seconds that a request waits for the line of its account's home to grow over it in
# an outage, with what was spent on asking others: less than the asker waits for an
# answer, and a third of what most callers allow for the first event. It serves 2 to 11
# of 1,700 to 2,900 requests of a minute with two outages that would be refused.
LINE_SECONDS = 0.42
# Seconds by which a line may be behind its time: the store's clock is only known from
# below.
LINE_MARGIN_SECONDS = 0.005
# Turns of the event loop in which a caller's close that has arrived is seen: one reads
# it, one ends the request. What is reserved without a wait would be sent before.
TURNS_FOR_CLOSE = 2
# How many homes are tried in turn.
MAX_HOMES = 3


@attrs.define(eq=False)
class _HeldReservation(Reservation):
    """Tokens that a router, or this one, has set aside."""

    holder: str
    reservation_id: str
    settlements: SettlementSender

    def settle(self, used: int) -> None:
        """Give back what the request did not use."""
        self.settlements.add(self.holder, Settlement(self.reservation_id, used))


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
    metrics
        Where refusals are counted for which there were tokens somewhere.
    standing
        What this router keeps for its callers; None where it keeps nothing.

    Attributes
    ----------
    lenders
        The other holders, asked for what lacks.
    """

    def __init__(
        self,
        keeper: LedgerSync,
        members: Members,
        peers: Peers,
        settlements: SettlementSender,
        metrics: Metrics,
        lenders: Lenders,
        standing: LocalReserve | None = None,
    ) -> None:
        self._metrics = metrics
        self._standing = standing
        self._keeper = keeper
        self._ledger = keeper.ledger
        self._members = members
        self._peers = peers
        self._settlements = settlements
        self.lenders = lenders

    def serve(self, server: PeerServer) -> None:
        """Answer the questions of other routers."""
        server.answers_by_class[ReserveRequest] = self._serve_reserve
        server.answers_by_class[SettleRequest] = self._serve_settle
        server.answers_by_class[LendRequest] = self._serve_lend
        server.answers_by_class[GiveRequest] = self._serve_give
        server.answers_by_class[PingRequest] = self._serve_ping

    async def reserve(
        self, request_id: str, account: ClientAccount, tokens: int
    ) -> Reservation:
        """Set tokens aside."""
        if self._standing is not None:
            for _ in range(TURNS_FOR_CLOSE):
                await asyncio.sleep(0)
        own = self._members.own.vm
        tried = []
        unused = 0
        # Callers may use an id twice; each request is counted all the same.
        reservation_id = f"{request_id}.{secrets.token_hex(NONCE_BYTES)}"
        request = ReserveRequest(reservation_id, account.name, tokens)
        homes = self._members.homes(account.name)[:MAX_HOMES]
        if self._try_kept(request, is_home=homes[:1] == [own]):
            self._metrics.reservations_kept.inc()
            self._log_reserved(request_id, request, own, "kept here")
            return _HeldReservation(own, reservation_id, self._settlements)
        for vm in homes:
            if vm == own:
                reply = await self.reserve_here(request)
            else:
                reply = await self._ask(vm, request)
            if reply.outcome is ReserveOutcome.RESERVED:
                how = reply.detail or "granted"
                self._log_reserved(request_id, request, vm, how)
                return _HeldReservation(vm, reservation_id, self._settlements)
            tried.append(f"{vm}: {reply.outcome.value} {reply.detail}".strip())
            unused = max(unused, reply.unused)
            if reply.outcome is ReserveOutcome.UNREACHABLE:
                # It has asked all that the next one would ask.
                break
            if reply.outcome is ReserveOutcome.EXHAUSTED:
                self._log_refusal(request_id, request, tried, unused)
                title = f"The budget does not cover {tokens} tokens."
                raise BudgetExhausted(title)
        self._log_refusal(request_id, request, tried, unused)
        raise BudgetUnreachable("No tokens can be had at the moment. Send it again.")

    async def reserve_here(self, request: ReserveRequest) -> ReserveReply:
        """Set tokens of the own grant aside, raising or borrowing what lacks."""
        keeper, ledger = self._keeper, self._ledger
        account, tokens = request.account, request.tokens
        started = steady_seconds()
        share = ledger.share(account)
        share.is_home = self._members.homes(account)[:1] == [self._members.own.vm]
        share.demand.add(tokens, steady_seconds())
        if keeper.is_opening:
            await keeper.opened(started + OPEN_SECONDS)
        problem = self._try_here(request)
        if problem is ReserveProblem.SHORT and self._may_be_covered(request):
            until = steady_seconds() + COVER_SECONDS
            if await keeper.cover(account, tokens, until):
                problem = self._try_here(request)
        if problem is None:
            return ReserveReply(ReserveOutcome.RESERVED)
        if problem is ReserveProblem.CLOSED:
            return ReserveReply(ReserveOutcome.CLOSED)
        return await self._borrow_and_reserve(request, started)

    def _try_kept(self, request: ReserveRequest, *, is_home: bool) -> bool:
        if self._standing is None:
            return False
        return self._standing.try_reserve(request, is_home=is_home)

    def _may_be_covered(self, request: ReserveRequest) -> bool:
        """Return whether a write may bring what a request lacks."""
        if not self._keeper.store_answers:
            return False
        if self._standing is None:
            return True
        return not self._keeper.is_hopeless(request.account, request.tokens)

    def _try_here(self, request: ReserveRequest) -> ReserveProblem | None:
        problem = self._ledger.reserve(
            request.reservation_id,
            request.account,
            request.tokens,
            now_ms=self._keeper.now_ms(),
        )
        if problem is None:
            self._keeper.touch()
        return problem

    async def _wait_for_line(self, request: ReserveRequest, until: float) -> bool:
        """Return whether the own line has grown over a request by a moment.

        A request for which it does not is not held.
        """
        ledger, now_ms = self._ledger, self._keeper.now_ms
        while (left := until - steady_seconds()) > 0:
            wait_ms = ledger.ms_until(
                request.account,
                request.tokens,
                now_ms=now_ms(),
                within_ms=int(left * 1000),
            )
            if wait_ms is None:
                return False
            await asyncio.sleep(wait_ms / 1000.0 + LINE_MARGIN_SECONDS)
            if self._try_here(request) is None:
                return True
        return False

    async def _borrow_and_reserve(
        self, request: ReserveRequest, started: float
    ) -> ReserveReply:
        """Get what lacks from the other routers that hold a part."""
        account = request.account
        until = started + GATHER_SECONDS
        gathered = await self.lenders.gather(account, request.tokens, until)
        if gathered.released:
            self._keeper.look_soon()
            until = steady_seconds() + COVER_SECONDS
            await self._keeper.cover(account, request.tokens, until)
        if self._try_here(request) is None:
            return ReserveReply(ReserveOutcome.RESERVED, "borrowed")
        if await self._wait_for_line(request, started + LINE_SECONDS):
            return ReserveReply(ReserveOutcome.RESERVED, "waited for the line")
        unheard = self._granted_to_unheard(account, gathered)
        unused = self._ledger.unused(account) + gathered.left_elsewhere
        unused += max(self._ledger.free(account), 0) + sum(unheard.values())
        unused += self._ledger.kept_elsewhere(account, steady_seconds())
        silent = ",".join(sorted({*gathered.silent, *unheard}))
        detail = f"unused={unused} silent={silent}"
        if unused < request.tokens and self._keeper.store_answers:
            return ReserveReply(ReserveOutcome.EXHAUSTED, detail, unused)
        return ReserveReply(ReserveOutcome.UNREACHABLE, detail, unused)

    def _granted_to_unheard(self, account: str, gathered: Gathered) -> dict[str, int]:
        """Return the grants of routers that did not say what is left of them.

        All of it may be left.
        """
        known = self._ledger.totals_by_account.get(account)
        granted_by_vm = known.totals.granted_by_vm if known is not None else {}
        heard = {*gathered.answered, self._members.own.vm}
        return {vm: n for vm, n in granted_by_vm.items() if vm not in heard}

    async def _ask(self, vm: str, request: ReserveRequest) -> ReserveReply:
        try:
            return await self._peers.ask(vm, request)
        except PeerUnreachable as error:
            # It may have set the tokens aside all the same.
            self._settlements.add(vm, Settlement(request.reservation_id, 0))
            return ReserveReply(ReserveOutcome.SILENT, str(error))
        except asyncio.CancelledError:
            self._settlements.add(vm, Settlement(request.reservation_id, 0))
            raise

    async def _serve_reserve(self, request: ReserveRequest) -> ReserveReply:
        return await self.reserve_here(request)

    async def _serve_settle(self, request: SettleRequest) -> Done:
        for settlement in request.settlements:
            self._ledger.settle(settlement.reservation_id, settlement.used)
        for loan in request.void_loans:
            tokens = self._ledger.void_loan(loan.loan_id, loan.account)
            log_event("loan voided", account=loan.account, tokens=tokens)
        self._keeper.touch()
        return Done()

    async def _serve_lend(self, request: LendRequest) -> LendReply:
        account = request.account
        released, lent = 0, 0
        if request.by_store and self._keeper.may_change_grants:
            # What the store knows of is not lost with this router or the other.
            needed, wanted = request.needed, request.wanted
            released = await self._keeper.release(account, needed, wanted)
        if not released:
            if request.needed and self._keeper.store_answers:
                until = steady_seconds() + LEND_COVER_SECONDS
                await self._keeper.cover_own(account, request.needed, until)
            lent = self._ledger.lend(
                request.loan_id,
                account,
                needed=request.needed,
                wanted=request.wanted,
                now_ms=self._keeper.now_ms(),
                now=steady_seconds(),
                for_reserve=bool(request.kept_by),
            )
        if lent and request.kept_by:
            self.lenders.note_kept(account, request.kept_by)
        self._keeper.touch()
        return LendReply(lent, released, self._ledger.unused(account))

    async def _serve_give(self, request: GiveRequest) -> Done:
        self._ledger.take_gift(request.gift_id, request.account, request.tokens)
        return Done()

    async def _serve_ping(self, request: PingRequest) -> Done:
        return Done()

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
            store_answers=self._keeper.store_answers,
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
            store_answers=self._keeper.store_answers,
            free=ledger.free(request.account),
            granted=share.terms.granted if share else 0,
            used=share.own_use if share else 0,
            prepaid=ledger.prepaid_by_account.get(request.account),
        )
