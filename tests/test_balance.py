"""Transfers of leftover tokens to an account's home."""

import random

import attrs

from lynxchute.budgets import DemandPolicy, Ledger
from lynxchute.clock import steady_seconds
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.messages import Ack
from lynxchute.spending.balance import PendingTransfer, Rebalancer
from lynxchute.spending.lenders import GatherResult
from tests.support import AsyncTestCase


class LossyPeers(Peers):
    """Record messages; the replies to the first ones are lost."""

    def __init__(self, lost):
        self.lost = lost
        self.recorded = []

    async def ask(self, vm, message):
        self.recorded.append((vm, message.gift_id, message.tokens))
        if self.lost:
            self.lost -= 1
            raise PeerUnreachable(vm)
        return Ack()


@attrs.define
class FakeLedgerSync:
    ledger: Ledger

    store_answers: bool = True

    def now_ms(self):
        return 0


@attrs.define
class FakeLenders:
    asked: int = 0

    async def borrow_spare(self, account, wanted):
        self.asked += 1
        return GatherResult()


class RefillTest(AsyncTestCase):
    def test_a_home_asks_lenders_while_its_grant_must_not_rise(self):
        async def scenario():
            ledger = Ledger("a-1", "run", DemandPolicy(), parts=1)
            ledger.prepaid_by_account["kanda"] = 1_000
            ledger.share("kanda").demand.add(500, steady_seconds())
            ledger.observe_era(1)
            lenders = FakeLenders()
            members = Members(Member("a-1", "a", "run", "x:1"))
            rebalancer = Rebalancer(FakeLedgerSync(ledger), lenders, members, None)
            await rebalancer._refill_home("kanda")
            self.assertEqual(1, lenders.asked)

        self.run_async(scenario())


class TransferTest(AsyncTestCase):
    def rebalancer(self, lost):
        self.ledger = Ledger("a-1", "run", DemandPolicy(), parts=1)
        self.members = Members(Member("a-1", "a", "run", "x:1"))
        account = next(
            name
            for name in (f"account-{random.Random(n).random()}" for n in range(99))
            if Members.preference_order(self.both_members(), name, ["a-1", "a-2"])[0]
            == "a-2"
        )
        self.members.put(Member("a-2", "a", "run-2", "x:2"))
        self.peers = LossyPeers(lost)
        self.account = account
        return Rebalancer(FakeLedgerSync(self.ledger), None, self.members, self.peers)

    def both_members(self):
        members = Members(Member("a-1", "a", "run", "x:1"))
        members.put(Member("a-2", "a", "run-2", "x:2"))
        return members

    async def send(self, rebalancer, times):
        for _ in range(times):
            for transfer in list(rebalancer._transfers):
                await rebalancer._send_transfer(transfer)

    def test_a_transfer_is_retried_until_the_same_process_confirms_it(self):
        async def scenario():
            rebalancer = self.rebalancer(lost=2)
            rebalancer._transfers.append(PendingTransfer("g1", self.account, 70))
            await self.send(rebalancer, 4)
            self.assertEqual([("a-2", "g1", 70)] * 3, self.peers.recorded)
            self.assertEqual([], rebalancer._transfers)

        self.run_async(scenario())

    def test_a_transfer_that_an_ended_process_may_have_is_not_sent_elsewhere(self):
        async def scenario():
            rebalancer = self.rebalancer(lost=1)
            rebalancer._transfers.append(PendingTransfer("g1", self.account, 70))
            await self.send(rebalancer, 1)
            self.members.put(Member("a-2", "a", "run-3", "x:2"))
            await self.send(rebalancer, 2)
            self.assertEqual(1, len(self.peers.recorded))
            self.assertEqual([], rebalancer._transfers)
            self.assertEqual({}, self.ledger.shares_by_account)

        self.run_async(scenario())

    def test_a_stopping_router_sends_borrowed_tokens_to_the_home(self):
        async def scenario():
            rebalancer = self.rebalancer(lost=1)
            share = self.ledger.share(self.account)
            share.is_home = True
            share.borrowed, share.reserved = 100, 30
            self.ledger.is_closing = True
            await rebalancer.transfer_borrowed()
            # The first reply is lost, so the same router is sent it again.
            await rebalancer.transfer_borrowed()
            self.assertEqual([70, 70], [tokens for _, _, tokens in self.peers.recorded])
            self.assertEqual(0, share.borrowed - share.used)
            # Tokens that an open request did not use are sent later.
            share.reserved = 0
            await rebalancer.transfer_borrowed()
            self.assertEqual(30, self.peers.recorded[-1][2])

        self.run_async(scenario())

    def test_a_transfer_without_another_home_is_spent_here(self):
        async def scenario():
            rebalancer = self.rebalancer(lost=0)
            self.members.remove("a-2")
            rebalancer._transfers.append(PendingTransfer("g1", self.account, 70))
            await self.send(rebalancer, 1)
            self.assertEqual(70, self.ledger.share(self.account).borrowed)

        self.run_async(scenario())
