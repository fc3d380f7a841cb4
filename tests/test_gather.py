"""Tokens of one budget in the hands of many routers."""

import asyncio
import time

from lynxchute.budgets import DemandPolicy, Ledger
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.messages import LendReply
from lynxchute.spending.lenders import Lenders
from lynxchute.spending.reservations import GATHER_SECONDS
from tests.support import AsyncTestCase

ACCOUNT = "kanda"
HOLDERS = 20
# What each of them has, and how long it takes to write that it gives it back.
PIECE = 1_500
WRITE_SECONDS = 0.12


class Holders(Peers):
    """Routers that each lend what they have."""

    def __init__(self, dark=()):
        self.left = {}
        self.dark = set(dark)
        self.asked = []

    async def ask(self, vm, message):
        self.asked.append(vm)
        if vm in self.dark:
            raise PeerUnreachable(vm)
        await asyncio.sleep(WRITE_SECONDS)
        lent = min(self.left.get(vm, PIECE), max(message.needed, message.wanted))
        self.left[vm] = self.left.get(vm, PIECE) - lent
        return LendReply(lent, 0, self.left[vm])


class FakeKeeper:
    store_answers = True

    def __init__(self, ledger):
        self.ledger = ledger

    def now_ms(self):
        return 0


class NoSettlements:
    def __init__(self):
        self.void_loans = []

    def void(self, vm, loan):
        self.void_loans.append((vm, loan))


class GatherTest(AsyncTestCase):
    """The load: a budget near its end after all routers have lost power."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger("a-0", "run", DemandPolicy(), parts=3)
        self.members = Members(Member("a-0", "a", "run", "127.0.0.1:1"))
        for number in range(1, HOLDERS + 1):
            vm = f"{'abc'[number % 3]}-{number}"
            self.members.put(Member(vm, vm[0], "run", "127.0.0.1:2"))
        self.settlements = NoSettlements()

    def lenders(self, peers):
        lenders = Lenders(
            FakeKeeper(self.ledger), self.members, peers, self.settlements
        )
        lenders.in_order = lambda account: [v for v in self.members.by_vm if v != "a-0"]
        return lenders

    def gather(self, peers, tokens):
        async def work():
            # The run's row stands, so that what is borrowed can be reserved.
            self.ledger.is_open = True
            started = time.monotonic()
            until = started + GATHER_SECONDS
            found = await self.lenders(peers).gather(ACCOUNT, tokens, until)
            return found, time.monotonic() - started

        return self.run_async(work())

    def test_a_request_finds_its_tokens_in_many_pieces_in_time(self):
        found, seconds = self.gather(Holders(), 10 * PIECE)
        self.assertGreaterEqual(self.ledger.share(ACCOUNT).borrowed, 10 * PIECE)
        self.assertEqual([], found.silent)
        self.assertLess(seconds, GATHER_SECONDS + 2 * WRITE_SECONDS)

    def test_no_more_are_asked_than_it_takes(self):
        peers = Holders()
        self.gather(peers, PIECE)
        self.assertLess(len(peers.asked), HOLDERS / 2)

    def test_a_loan_that_may_have_been_made_is_taken_back(self):
        dark = [vm for vm in self.members.by_vm if vm.startswith("b")]
        found, _ = self.gather(Holders(dark), 10 * PIECE)
        asked = [vm for vm, _ in self.settlements.void_loans]
        self.assertEqual(sorted(found.silent), sorted(asked))
        self.assertGreaterEqual(self.ledger.share(ACCOUNT).borrowed, 10 * PIECE)
