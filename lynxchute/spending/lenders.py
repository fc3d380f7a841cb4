"""Ask the other routers that hold a part of a budget for tokens."""

from __future__ import annotations

import asyncio
import secrets

import attrs

from lynxchute.clock import steady_seconds
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import LendReply, LendRequest, VoidLoan
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.settlements import SettlementSender
from lynxchute.telemetry import log_event

# Seconds of its demand that a router asks for ahead, so that not every request
# has to ask.
AHEAD_SECONDS = 2.0
# Lenders that are asked at the same time. After a death of all, ten routers and more
# may hold a piece of one budget, and each takes up to a quarter of a second to give
# it back: one after the other, three or four were asked in the time that a request has,
# and 78 of 100 that were refused beside unused tokens had not asked all of them.
LENDERS_AT_ONCE = 6
# Seconds after which a router that was lent tokens to keep has used them or passed
# them on.
KEPT_SECONDS = 20.0
# Routers that are asked for tokens to keep, one after the other.
MOST_ASKED = 4


@attrs.define
class Gathered:
    """What other routers have given, and what they still have.

    Attributes
    ----------
    released
        Tokens that lie free at the store now.
    had
        Those, and the tokens that were lent.
    left_elsewhere
        Tokens that they have not used yet.
    silent
        Those that gave no answer.
    answered
        Those that did.
    """

    released: int = 0
    had: int = 0
    left_elsewhere: int = 0
    silent: list[str] = attrs.Factory(list)
    answered: list[str] = attrs.Factory(list)


class Lenders:
    """The other holders of budgets.

    Parameters
    ----------
    keeper
        This router's own grants.
    members, peers
        The other routers.
    settlements
        Takes back loans whose answers were lost.
    """

    def __init__(
        self,
        keeper: LedgerSync,
        members: Members,
        peers: Peers,
        settlements: SettlementSender,
    ) -> None:
        self._keeper = keeper
        self._ledger = keeper.ledger
        self._members = members
        self._peers = peers
        self._settlements = settlements
        # When each router was last lent tokens to keep, by account, in seconds.
        self._kept_at_by_vm: dict[str, dict[str, float]] = {}

    def note_kept(self, account: str, vm: str) -> None:
        """Note that a router was lent tokens to keep."""
        self._kept_at_by_vm.setdefault(account, {})[vm] = steady_seconds()

    async def gather(self, account: str, tokens: int, until: float) -> Gathered:
        """Ask the other holders until a number of tokens is in reach.

        They give it back to the store for this router to take, or lend it
        where that would take too long.

        Parameters
        ----------
        until
            When to stop asking, on the steady clock in seconds.
        """
        gathered = Gathered()
        share = self._ledger.share(account)
        lenders = self.in_order(account)
        while lenders:
            available = self._ledger.available(account, self._keeper.now_ms())
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
                    self._ask_for(gathered, vm, account, missing, missing + ahead)
                    for vm in asked
                )
            )
        return gathered

    async def fill(self, account: str, wanted: int) -> Gathered:
        """Ask the other holders for what they can spare."""
        gathered = Gathered()
        for vm in self.in_order(account):
            if gathered.had >= wanted:
                break
            await self._ask_for(gathered, vm, account, 0, wanted - gathered.had)
        return gathered

    async def fetch_to_keep(self, account: str, wanted: int) -> Gathered:
        """Ask for tokens to keep: the account's homes here, then other holders."""
        gathered = Gathered()
        own = self._members.own.vm
        nearest = [vm for vm in self._members.homes(account) if vm != own][:1]
        for vm in list(dict.fromkeys([*nearest, *self.in_order(account)]))[:MOST_ASKED]:
            if gathered.had >= wanted // 2:
                break
            await self._ask_for(
                gathered, vm, account, 0, wanted - gathered.had, kept_by=own
            )
        return gathered

    async def _ask_for(
        self,
        gathered: Gathered,
        vm: str,
        account: str,
        needed: int,
        wanted: int,
        *,
        kept_by: str = "",
    ) -> None:
        by_store = self._keeper.store_answers and not kept_by
        loan = LendRequest(
            secrets.token_hex(8), account, needed, wanted, by_store, kept_by
        )
        # Where no answer comes, it may have lent all the same.
        void = VoidLoan(loan.loan_id, account)
        try:
            reply = await self._peers.ask(vm, loan)
        except PeerUnreachable:
            self._settlements.void(vm, void)
            gathered.silent.append(vm)
            return
        except asyncio.CancelledError:
            self._settlements.void(vm, void)
            raise
        gathered.answered.append(vm)
        gathered.left_elsewhere += reply.unused
        gathered.released += reply.released
        gathered.had += reply.released + reply.lent
        if reply.lent:
            self._ledger.borrow(account, reply.lent)
        if reply.lent or reply.released:
            log_event(
                "tokens obtained from a lender",
                account=account,
                lender=vm,
                **_of(reply),
            )

    def in_order(self, account: str) -> list[str]:
        """Return the routers that may hold a part of a budget.

        Those that the store is known to have granted one come first, near ones
        before far ones; then the other data centres' homes, which may have
        been granted theirs since, and who was lent some to keep.
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
        return [*dict.fromkeys([*near, *far, *homes, *self._keeping(account)])]

    def _keeping(self, account: str) -> list[str]:
        """Return the routers that may still keep what they were lent."""
        since = steady_seconds() - KEPT_SECONDS
        found = []
        for vm, kept_at in self._kept_at_by_vm.get(account, {}).items():
            if kept_at >= since and self._members.is_reachable(vm):
                found.append(vm)
        return found


def _of(reply: LendReply) -> dict[str, int]:
    return {"lent": reply.lent, "released": reply.released, "unused": reply.unused}
