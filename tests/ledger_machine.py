"""Stateful fuzzing of grants, limit lines and loans against a model."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.ledger_fleet import ACCOUNTS, HELD_MS, LedgerFleet

NUMBERS = st.integers(0, 40)
TOKENS = st.integers(1, 200)
# Writes that a restore of the store loses.
WRITES = st.integers(0, 12)
# Ends the loop of reservations if a broken ledger never refuses; more reservations than
# any budget here allows.
MAX_RESERVED = 40
REPLIES = (
    "taken",
    "taken",
    "lost",
    "twice",
    "voided",
    "voided twice",
    "voided early",
)
FATES = st.sampled_from(("answered",) * 4 + ("unanswered", "late", "lost"))


class LedgerMachine(RuleBasedStateMachine):
    steps = 0
    examples = 0

    def __init__(self):
        super().__init__()
        type(self).examples += 1
        self.fleet = LedgerFleet()
        for router in self.fleet.routers:
            self.fleet.write(router, "answered")
            self.fleet.write(router, "answered")

    def router(self, number):
        return self.fleet.routers[number % len(self.fleet.routers)]

    @rule(ms=st.sampled_from((5, 50, 400, 2_000, 6_000, 20_000)))
    def wait(self, ms):
        self.fleet.advance(ms)

    @rule(router=NUMBERS, lag_ms=st.integers(0, 300))
    def set_clock_lag(self, router, lag_ms):
        self.router(router).lag_ms = lag_ms

    @rule(router=NUMBERS, fate=FATES, with_grants=st.booleans())
    def write(self, router, fate, with_grants):
        self.fleet.write(self.router(router), fate, with_grants=with_grants)

    @rule()
    def deliver_late_writes(self):
        self.fleet.store.deliver_late()

    @rule(
        router=NUMBERS,
        account=st.sampled_from(ACCOUNTS),
        tokens=TOKENS,
        times=st.integers(1, 6),
    )
    def reserve(self, router, account, tokens, times):
        for _ in range(times):
            self.fleet.reserve(self.router(router), account, tokens)

    @rule(router=NUMBERS, account=st.sampled_from(ACCOUNTS))
    def reserve_all(self, router, account):
        tokens = 256
        for _ in range(MAX_RESERVED):
            if self.fleet.reserve(self.router(router), account, tokens) is not None:
                tokens //= 2
            if not tokens:
                return

    @rule(router=NUMBERS, fate=FATES, account=st.sampled_from(ACCOUNTS))
    def write_and_reserve_all(self, router, fate, account):
        self.fleet.write(self.router(router), fate)
        self.reserve_all(router, account)

    @rule(number=NUMBERS, account=st.sampled_from(ACCOUNTS))
    def restart_and_reserve_all(self, number, account):
        self.fleet.restart(number)
        self.fleet.write(self.router(number), "answered")
        self.fleet.write(self.router(number), "answered")
        self.reserve_all(number, account)

    @rule(account=st.sampled_from(ACCOUNTS))
    def reserve_all_everywhere(self, account):
        for number in range(len(self.fleet.routers)):
            self.fleet.write(self.router(number), "answered")
            self.reserve_all(number, account)

    @rule(used=TOKENS)
    def settle_all(self, used):
        while self.fleet.open:
            self.fleet.settle(0, used)

    @rule(number=NUMBERS, used=TOKENS)
    def settle(self, number, used):
        self.fleet.settle(number, used)

    @rule(
        lender=NUMBERS,
        borrower=NUMBERS,
        account=st.sampled_from(ACCOUNTS),
        needed=TOKENS,
        more=TOKENS,
        reply=st.sampled_from(REPLIES),
    )
    def lend(self, lender, borrower, account, needed, more, reply):
        self.fleet.lend(
            self.router(lender),
            self.router(borrower),
            account,
            needed,
            needed + more,
            reply,
        )

    @rule(router=NUMBERS, account=st.sampled_from(ACCOUNTS), tokens=TOKENS)
    def add_demand(self, router, account, tokens):
        share = self.router(router).ledger.share(account)
        share.demand.add(tokens, self.fleet.seconds())

    @rule(
        lender=NUMBERS,
        holder=NUMBERS,
        account=st.sampled_from(ACCOUNTS),
        wanted=TOKENS,
        times=st.integers(1, 4),
        reply=st.sampled_from(REPLIES),
    )
    def lend_for_reserve_and_reserve_all(
        self, lender, holder, account, wanted, times, reply
    ):
        """Lend tokens to a router's reserve; both routers spend all that they can."""
        lending, holding = self.router(lender), self.router(holder)
        for _ in range(times):
            self.fleet.lend(
                lending, holding, account, 0, wanted, reply, for_reserve=True
            )
        self.reserve_all(holder, account)
        self.reserve_all(lender, account)

    @rule(
        lender=NUMBERS,
        account=st.sampled_from(ACCOUNTS),
        wanted=TOKENS,
        retained=st.sampled_from((0, 0, 2)),
        fate=st.sampled_from(("lost", "taken", "twice")),
    )
    def lend_for_reserve_and_transfer(self, lender, account, wanted, retained, fate):
        """Transfer a borrowed reserve to a third router; all spend all they can."""
        first, holder, taker = (self.router(lender + n) for n in range(3))
        self.fleet.advance(400)
        self.fleet.write(first, "answered")
        self.fleet.lend(first, holder, account, 0, wanted, "taken", for_reserve=True)
        holder.ledger.share(account).is_home = False
        self.fleet.transfer(holder, taker, account, fate, retained=retained)
        for number in range(3):
            self.reserve_all(lender + number, account)

    @rule(
        giver=NUMBERS,
        taker=NUMBERS,
        account=st.sampled_from(ACCOUNTS),
        fate=st.sampled_from(("lost", "taken", "twice")),
        retained=st.sampled_from((0, 0, 5, 50)),
    )
    def transfer(self, giver, taker, account, fate, retained):
        self.router(giver).ledger.share(account).is_home = False
        self.fleet.transfer(
            self.router(giver), self.router(taker), account, fate, retained=retained
        )
        self.reserve_all(giver, account)
        self.reserve_all(taker, account)

    @rule(
        lender=NUMBERS,
        taker=NUMBERS,
        account=st.sampled_from(ACCOUNTS),
        needed=TOKENS,
        fate=FATES,
    )
    def release_and_reserve_all(self, lender, taker, account, needed, fate):
        self.router(lender).ledger.release(
            account, needed=needed, wanted=needed, now=self.fleet.seconds()
        )
        self.fleet.write(self.router(lender), fate)
        self.fleet.write(self.router(taker), "answered")
        self.fleet.write(self.router(taker), "answered")
        self.reserve_all(taker, account)
        self.reserve_all(lender, account)

    @rule(number=NUMBERS, account=st.sampled_from(ACCOUNTS))
    def deliver_late_write_after_conflict(self, number, account):
        router, other = self.router(number), self.router(number + 1)
        self.fleet.write(router, "answered")
        self.fleet.advance(2_000)
        self.fleet.write(router, "late")
        other.ledger.release(account, needed=9, wanted=9, now=self.fleet.seconds())
        self.fleet.write(other, "answered")
        router.ledger.share(account).waiting += 50
        self.fleet.write(router, "answered")
        router.ledger.share(account).waiting -= 50
        self.reserve_all(number, account)
        self.fleet.store.deliver_late()

    @rule(number=NUMBERS)
    def restart(self, number):
        self.fleet.restart(number)

    @rule(router=NUMBERS, account=st.sampled_from(ACCOUNTS), is_home=st.booleans())
    def change_home(self, router, account, is_home):
        self.router(router).ledger.share(account).is_home = is_home

    @rule(number=NUMBERS, account=st.sampled_from(ACCOUNTS), fate=FATES)
    def move_home_and_reserve_all(self, number, account, fate):
        """One router returns its share, another claims it; both spend all they can."""
        old, new = self.router(number), self.router(number + 1)
        old.ledger.share(account).is_home = False
        new.ledger.share(account).is_home = True
        self.fleet.write(old, fate)
        self.fleet.write(new, "answered")
        self.fleet.write(new, "answered")
        self.reserve_all(number + 1, account)
        self.reserve_all(number, account)

    @rule(writes=WRITES)
    def restore_store(self, writes):
        self.fleet.restore(writes)

    @rule(writes=WRITES, account=st.sampled_from(ACCOUNTS))
    def restore_store_and_reserve_all_everywhere(self, writes, account):
        """Spend before and after a restore, also what a router could be granted."""
        for _ in range(2):
            self.reserve_all_everywhere(account)
        self.fleet.restore(writes)
        for number in range(len(self.fleet.routers)):
            for _ in range(3):
                self.fleet.write(self.router(number), "answered")
            self.reserve_all(number, account)

    @rule(number=NUMBERS, writes=WRITES, account=st.sampled_from(ACCOUNTS))
    def restore_row_of_predecessor(self, number, writes, account):
        self.fleet.restart(number)
        for _ in range(2):
            self.fleet.write(self.router(number), "answered")
        self.fleet.restore(writes)
        self.reserve_all(number, account)

    @rule(number=NUMBERS, writes=WRITES, account=st.sampled_from(ACCOUNTS))
    def restore_store_and_claim_free_tokens(self, number, writes, account):
        self.fleet.restore(writes)
        self.fleet.check_free_is_granted(self.router(number), account)
        self.reserve_all(number, account)

    @rule(
        number=NUMBERS,
        writes=WRITES,
        account=st.sampled_from(ACCOUNTS),
        needed=TOKENS,
        fate=st.sampled_from(("answered", "unanswered")),
    )
    def restore_store_after_release(self, number, writes, account, needed, fate):
        """Release tokens that another router claims; both spend all they can."""
        lender, taker = self.router(number), self.router(number + 1)
        lender.ledger.release(
            account, needed=needed, wanted=needed, now=self.fleet.seconds()
        )
        self.fleet.write(lender, fate)
        share = taker.ledger.share(account)
        wanted = share.headroom + needed
        share.waiting += wanted
        for _ in range(2):
            self.fleet.write(taker, "answered")
        share.waiting -= wanted
        self.reserve_all(number + 1, account)
        self.fleet.restore(writes)
        self.fleet.write_again()
        self.reserve_all(number, account)

    @rule(
        number=NUMBERS,
        writes=WRITES,
        account=st.sampled_from(ACCOUNTS),
        starts_late=st.booleans(),
    )
    def die_around_a_restore(self, number, writes, account, starts_late):
        """Spend all that a router can be granted, then lose the record of it."""
        dying = self.router(number)
        if dying.ledger.fenced:
            return
        self.fleet.keep_alive()
        self.claim_and_reserve_all(number, account)
        self.fleet.kill_and_restore(dying, writes)
        if not starts_late:
            self.fleet.start_again(dying)
            self.fleet.write(dying, "answered")
        self.fleet.write_again()
        self.fleet.advance(HELD_MS)
        for other in range(1, len(self.fleet.routers)):
            self.claim_and_reserve_all(number + other, account)
        if starts_late:
            self.fleet.start_again(dying)
        for _ in range(2):
            self.fleet.write(dying, "answered")
        self.claim_and_reserve_all(number, account)

    def claim_and_reserve_all(self, number, account):
        router = self.router(number)
        share = router.ledger.share(account)
        wanted = self.fleet.prepaid[account]
        share.waiting += wanted
        for _ in range(3):
            self.fleet.write(router, "answered")
        share.waiting -= wanted
        self.reserve_all(number, account)

    @rule(router=NUMBERS)
    def start_closing(self, router):
        self.router(router).ledger.is_closing = True

    @rule(
        account=st.sampled_from(ACCOUNTS),
        tokens=TOKENS,
        informed=st.integers(0, 3),
    )
    def top_up(self, account, tokens, informed):
        self.fleet.raise_prepaid(account, tokens, informed)

    @invariant()
    def never_overspends(self):
        type(self).steps += 1
        self.fleet.check()
