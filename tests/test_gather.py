"""Borrowing when many routers hold a few tokens of one budget each."""

import asyncio
import time

from lynxchute.budgets import DemandPolicy, Ledger
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.messages import LendReply
from lynxchute.spending.lenders import LoanClient
from lynxchute.spending.reservations import GATHER_SECONDS
from tests.support import AsyncTestCase

ACCOUNT = "kanda"
HOLDERS = 20
# Tokens that each router holds, and the seconds that it takes to write their return to
# the store.
TOKENS_PER_HOLDER = 1_500
WRITE_SECONDS = 0.12


class LendingPeers(Peers):
    """Client for routers that each lend what they have."""

    def __init__(self, unreachable=()):
        self.unused = {}
        self.unreachable = set(unreachable)
        self.asked = []

    async def ask(self, vm, message):
        self.asked.append(vm)
        if vm in self.unreachable:
            raise PeerUnreachable(vm)
        await asyncio.sleep(WRITE_SECONDS)
        lent = min(
            self.unused.get(vm, TOKENS_PER_HOLDER), max(message.needed, message.wanted)
        )
        self.unused[vm] = self.unused.get(vm, TOKENS_PER_HOLDER) - lent
        return LendReply(lent, 0, self.unused[vm])


class FakeLedgerSync:
    store_answers = True

    def __init__(self, ledger):
        self.ledger = ledger

    def now_ms(self):
        return 0


class FakeSettlements:
    def __init__(self):
        self.void_loans = []

    def queue_cancellation(self, vm, loan):
        self.void_loans.append((vm, loan))


class GatherTest(AsyncTestCase):
    """A budget is nearly spent, after all routers have lost power."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger("a-0", "run", DemandPolicy(), parts=3)
        self.members = Members(Member("a-0", "a", "run", "127.0.0.1:1"))
        for number in range(1, HOLDERS + 1):
            vm = f"{'abc'[number % 3]}-{number}"
            self.members.put(Member(vm, vm[0], "run", "127.0.0.1:2"))
        self.settlements = FakeSettlements()

    def lenders(self, peers):
        lenders = LoanClient(
            FakeLedgerSync(self.ledger), self.members, peers, self.settlements
        )
        lenders.candidates = lambda account: [
            v for v in self.members.by_vm if v != "a-0"
        ]
        return lenders

    def gather(self, peers, tokens):
        async def scenario():
            # Simulates the state after the first write, in which borrowed tokens can
            # be reserved.
            self.ledger.is_open = True
            started = time.monotonic()
            until = started + GATHER_SECONDS
            found = await self.lenders(peers).gather(ACCOUNT, tokens, until)
            return found, time.monotonic() - started

        return self.run_async(scenario())

    def test_a_request_borrows_from_many_holders_in_time(self):
        found, seconds = self.gather(LendingPeers(), 10 * TOKENS_PER_HOLDER)
        self.assertGreaterEqual(
            self.ledger.share(ACCOUNT).borrowed, 10 * TOKENS_PER_HOLDER
        )
        self.assertEqual([], found.silent)
        self.assertLess(seconds, GATHER_SECONDS + 2 * WRITE_SECONDS)

    def test_no_more_holders_are_asked_than_needed(self):
        peers = LendingPeers()
        self.gather(peers, TOKENS_PER_HOLDER)
        self.assertLess(len(peers.asked), HOLDERS / 2)

    def test_loans_without_a_reply_are_voided(self):
        unreachable = [vm for vm in self.members.by_vm if vm.startswith("b")]
        found, _ = self.gather(LendingPeers(unreachable), 10 * TOKENS_PER_HOLDER)
        asked = [vm for vm, _ in self.settlements.void_loans]
        self.assertEqual(sorted(found.silent), sorted(asked))
        self.assertGreaterEqual(
            self.ledger.share(ACCOUNT).borrowed, 10 * TOKENS_PER_HOLDER
        )
