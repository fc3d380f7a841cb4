"""Leftover tokens on their way to an account's home."""

import random

import attrs

from lynxchute.budgets import DemandPolicy, Ledger
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.messages import Done
from lynxchute.spending.balance import Gift, Rebalancer
from tests.support import AsyncTestCase


class LossyPeers(Peers):
    """Take messages; the first answers are lost."""

    def __init__(self, lost):
        self.lost = lost
        self.taken = []

    async def ask(self, vm, message):
        self.taken.append((vm, message.gift_id, message.tokens))
        if self.lost:
            self.lost -= 1
            raise PeerUnreachable(vm)
        return Done()


@attrs.define
class FakeKeeper:
    ledger: Ledger

    def now_ms(self):
        return 0


class GiftTest(AsyncTestCase):
    def balance(self, lost):
        self.ledger = Ledger("a-1", "run", DemandPolicy(), parts=1)
        self.members = Members(Member("a-1", "a", "run", "x:1"))
        account = next(
            name
            for name in (f"account-{random.Random(n).random()}" for n in range(99))
            if Members.in_order(self.both(), name, ["a-1", "a-2"])[0] == "a-2"
        )
        self.members.put(Member("a-2", "a", "run-2", "x:2"))
        self.peers = LossyPeers(lost)
        self.account = account
        return Rebalancer(FakeKeeper(self.ledger), None, self.members, self.peers)

    def both(self):
        members = Members(Member("a-1", "a", "run", "x:1"))
        members.put(Member("a-2", "a", "run-2", "x:2"))
        return members

    async def send(self, balance, times):
        for _ in range(times):
            for gift in list(balance._gifts):
                await balance._send(gift)

    def test_a_gift_is_sent_until_the_same_run_has_it(self):
        async def work():
            balance = self.balance(lost=2)
            balance._gifts.append(Gift("g1", self.account, 70))
            await self.send(balance, 4)
            self.assertEqual([("a-2", "g1", 70)] * 3, self.peers.taken)
            self.assertEqual([], balance._gifts)

        self.run_async(work())

    def test_a_gift_that_a_run_which_ended_may_have_goes_to_nobody_else(self):
        async def work():
            balance = self.balance(lost=1)
            balance._gifts.append(Gift("g1", self.account, 70))
            await self.send(balance, 1)
            self.members.put(Member("a-2", "a", "run-3", "x:2"))
            await self.send(balance, 2)
            self.assertEqual(1, len(self.peers.taken))
            self.assertEqual([], balance._gifts)
            self.assertEqual({}, self.ledger.shares_by_account)

        self.run_async(work())

    def test_a_router_that_stops_hands_over_all_that_it_was_lent(self):
        async def work():
            balance = self.balance(lost=1)
            share = self.ledger.share(self.account)
            share.is_home = True
            share.borrowed, share.reserved = 100, 30
            self.ledger.is_closing = True
            await balance.transfer_borrowed()
            # The first answer is lost: it goes to the same router again.
            await balance.transfer_borrowed()
            self.assertEqual([70, 70], [tokens for _, _, tokens in self.peers.taken])
            self.assertEqual(0, share.borrowed - share.used)
            # What an open request did not use goes later.
            share.reserved = 0
            await balance.transfer_borrowed()
            self.assertEqual(30, self.peers.taken[-1][2])

        self.run_async(work())

    def test_where_nobody_else_is_home_it_is_spent_here(self):
        async def work():
            balance = self.balance(lost=0)
            self.members.remove("a-2")
            balance._gifts.append(Gift("g1", self.account, 70))
            await self.send(balance, 1)
            self.assertEqual(70, self.ledger.share(self.account).borrowed)

        self.run_async(work())
