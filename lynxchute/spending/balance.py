"""Move unused tokens to where they are asked for, before a request needs them."""

from __future__ import annotations

import asyncio
import secrets

import attrs

from lynxchute.application import Loop
from lynxchute.clock import steady_seconds
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.messages import GiveRequest
from lynxchute.spending.keeper import LedgerSync
from lynxchute.spending.lenders import Lenders
from lynxchute.spending.standing import LocalReserve
from lynxchute.telemetry import log_event

# Seconds between two looks.
STEP_SECONDS = 1.0
# A home that holds less than this many seconds of its demand asks the others:
# a cut of its data centre lasts about six.
LOW_SECONDS = 6.0
FILL_SECONDS = 8.0


@attrs.frozen
class Gift:
    """Tokens on their way to an account's home.

    Attributes
    ----------
    taker
        The run of a router that may have them already; None before they were
        sent.
    """

    gift_id: str
    account: str
    tokens: int
    taker: Member | None = None


class Rebalancer:
    """Fill a home that runs low, and pass on what a stand-in has left over.

    Parameters
    ----------
    keeper
        This router's own grants.
    lenders
        The other holders.
    members, peers
        The other routers.
    standing
        What this router keeps for its callers; None where it keeps nothing.
    """

    def __init__(
        self,
        keeper: LedgerSync,
        lenders: Lenders,
        members: Members,
        peers: Peers,
        standing: LocalReserve | None = None,
    ) -> None:
        self._standing = standing
        self.loop = Loop("balance", self._step, STEP_SECONDS)
        self._keeper = keeper
        self._ledger = keeper.ledger
        self._lenders = lenders
        self._members = members
        self._peers = peers
        self._gifts: list[Gift] = []

    async def _step(self) -> None:
        if not self._ledger.is_open or self._ledger.is_closing:
            return
        for account in list(self._ledger.shares_by_account):
            share = self._ledger.shares_by_account[account]
            if share.is_home:
                await self._fill(account)
                continue
            self._pass_on(account, retained=self._kept(account))
        for gift in list(self._gifts):
            await self._send(gift)

    async def _fill(self, account: str) -> None:
        share = self._ledger.shares_by_account[account]
        demand = share.demand.rate(steady_seconds())
        at_hand = share.terms.granted + share.borrowed - share.used
        if demand <= 0 or at_hand >= demand * LOW_SECONDS:
            return
        if self._ledger.free(account) > 0 and self._keeper.store_answers:
            self._keeper.request_write()
            return
        wanted = int(demand * FILL_SECONDS) - at_hand
        gathered = await self._lenders.fill(account, wanted)
        if gathered.released:
            self._keeper.look_soon()
            self._keeper.request_write()

    async def transfer_borrowed(self) -> None:
        """Pass on all that was lent to this router, before it ends.

        The lenders count it as used, and no row says who has it: it would be lost.
        """
        for account, share in list(self._ledger.shares_by_account.items()):
            share.is_home = False
            self._pass_on(account)
        await asyncio.gather(*(self._send(gift) for gift in list(self._gifts)))

    def _kept(self, account: str) -> int:
        return self._standing.retained(account) if self._standing is not None else 0

    def _pass_on(self, account: str, *, retained: int = 0) -> None:
        tokens = self._ledger.leftover(
            account, self._keeper.now_ms(), retained=retained
        )
        if tokens <= 0:
            return
        self._ledger.transfer_out(account, tokens)
        self._gifts.append(Gift(secrets.token_hex(8), account, tokens))
        log_event(
            "leftover tokens sent to the account's home", account=account, tokens=tokens
        )

    async def _send(self, gift: Gift) -> None:
        self._gifts.remove(gift)
        taker = gift.taker or self._taker_of(gift)
        if taker is None:
            # Nobody else to ask for it: it is spent here.
            self._ledger.take_gift(gift.gift_id, gift.account, gift.tokens)
            return
        member = self._members.by_vm.get(taker.vm)
        if member is None or member.incarnation != taker.incarnation:
            # A run that has ended may have taken it, so that nobody else may.
            log_event(
                "leftover tokens lost",
                account=gift.account,
                tokens=gift.tokens,
                peer=taker.vm,
            )
            return
        try:
            await self._peers.ask(
                taker.vm, GiveRequest(gift.gift_id, gift.account, gift.tokens)
            )
        except PeerUnreachable:
            # It is taken once, however often it is sent to the same run.
            self._gifts.append(attrs.evolve(gift, taker=taker))

    def _taker_of(self, gift: Gift) -> Member | None:
        """Return the account's home; None where that is this router."""
        homes = self._members.homes(gift.account)
        if not homes or homes[0] == self._members.own.vm:
            return None
        return self._members.by_vm[homes[0]]
