"""Ledgers of several routers on an in-memory store, checked against a model."""

import attrs

from lynxchute.budgets import DemandLinePolicy, DemandPolicy, Ledger, LimitLine
from lynxchute.budgets.audit import is_incomplete
from lynxchute.budgets.rows import HolderRow, Totals, holder_id, totals_id
from lynxchute.store import Committed, Conflict, Row
from lynxchute.store.era import era_of, join_version, number_of

ACCOUNTS = ("a", "b")
# Other routers have DemandPolicy: routers with both policies share budgets while the
# feature is being rolled out.
POLICIES_BY_VM = {"y": DemandLinePolicy(), "z": DemandLinePolicy()}
# The original method, before any mutant patches it.
LINE_AT = LimitLine.at
# Each live router writes again within this time after a restore.
SILENT_MS = 10_000
# Writes after which a router has written its row again, with others' conflicts before.
MAX_WRITES_AGAIN = 4
# When grants may rise again at all routers that have written again in time.
HELD_MS = 40_000
# Oldest copy with which the store comes back while a router is dead.
COPY_MS = 20_000
# Each live router that reaches the store writes at least this often.
KEEPALIVE_MS = 30_000


class OverspendError(AssertionError):
    pass


class InMemoryStore:
    """Versioned rows with conditional writes, some of which may arrive late.

    It can come back from a copy, in a new era that gives version numbers out again.
    """

    def __init__(self):
        self.rows_by_id = {}
        self.era = 0
        self.number = 0
        self.late = []
        self._rows_by_number = [{}]
        self._copied_numbers = []

    def get(self, row_id):
        return self.rows_by_id.get(row_id)

    def write(self, write):
        rows = {item.id: self.get(item.id) for item in write.expected}
        for item in write.expected:
            row = rows[item.id]
            if (row.version if row else 0) != item.version:
                return Conflict(rows)
        self.number += 1
        version = join_version(self.era, self.number)
        for put in write.puts:
            self.rows_by_id[put.id] = Row(put.id, put.value, version)
        self._rows_by_number.append(dict(self.rows_by_id))
        return Committed(version)

    def deliver_late(self):
        for write in self.late:
            expected = [
                attrs.evolve(item, version=self._current(item.version))
                for item in write.expected
            ]
            self.write(attrs.evolve(write, expected=tuple(expected)))
        self.late = []

    def restore(self, number):
        """Come back from the copy that was made after a number of writes."""
        self.era += 1
        self.number = number
        self._copied_numbers.append(number)
        self._rows_by_number = [
            {
                row.id: attrs.evolve(
                    row, version=join_version(self.era, number_of(row.version))
                )
                for row in rows_by_id.values()
            }
            for rows_by_id in self._rows_by_number[: number + 1]
        ]
        self.rows_by_id = dict(self._rows_by_number[number])

    def _current(self, version):
        """Return the version as the store itself compares it: without its era.

        Numbers that were given out twice stand for different values and do not match.
        """
        number = number_of(version)
        if any(number > copied for copied in self._copied_numbers[era_of(version) :]):
            return version
        return join_version(self.era, number)


@attrs.define(eq=False)
class Router:
    vm: str
    ledger: Ledger
    lag_ms: int = 0
    runs: int = 1
    is_dead: bool = False


class LedgerFleet:
    """Routers under fuzzing; `check` compares their ledgers with the actual use."""

    def __init__(self, vms=("x", "y", "z"), prepaid=None):
        self.store = InMemoryStore()
        self.now_ms = 1_000
        self.prepaid = dict(prepaid or {"a": 1_000, "b": 300})
        self.used = dict.fromkeys(self.prepaid, 0)
        self.open = {}
        self.requests = 0
        self.loans = 0
        self.last_death = 0
        self.restored_ms = None
        self.unrestored = set()
        self._numbers_by_ms = {}
        self.overcounted = dict.fromkeys(self.prepaid, 0)
        self.routers = [self._start(vm, 0) for vm in vms]

    def _start(self, vm, runs):
        policy = POLICIES_BY_VM.get(vm, DemandPolicy())
        ledger = Ledger(vm, f"{vm}{runs}", policy, parts=2)
        ledger.prepaid_by_account.update(self.prepaid)
        ledger.observe_era(self.store.era)
        self._read_totals(ledger)
        row = self.store.get(holder_id(vm))
        ledger.take_over(row, self.now_ms, restored_ms=self.restored_ms)
        for account in self.prepaid:
            ledger.share(account).is_home = True
        return Router(vm, ledger, runs=runs + 1)

    def _read_totals(self, ledger):
        rows = map(self.store.get, map(totals_id, self.prepaid))
        ledger.update_totals(row for row in rows if row is not None)

    def time(self, router):
        return max(self.now_ms - router.lag_ms, 0)

    def seconds(self):
        return self.now_ms / 1000

    def write(self, router, fate, *, with_grants=True):
        ledger = router.ledger
        if ledger.fenced or ledger.pending is not None:
            return
        self._audit(ledger)
        plan = ledger.plan(
            now_ms=self.time(router), now=self.seconds(), with_grants=with_grants
        )
        if fate == "lost":
            ledger.record_write_failed()
            return
        if fate == "late":
            self.store.late.append(plan.write)
            ledger.record_outcome_unknown()
            return
        outcome = self.store.write(plan.write)
        if isinstance(outcome, Committed) and plan.era == self.store.era:
            self.unrestored.discard(router.vm)
        if fate == "unanswered":
            ledger.record_outcome_unknown()
            return
        ledger.observe_era(self.store.era)
        ledger.apply_outcome(outcome)

    def _audit(self, ledger):
        """Have a ledger know the incomplete rows, once its grants may rise again."""
        if ledger.are_grants_held(self.seconds()) or not ledger.is_open:
            return
        incomplete = {r.vm for r in self.routers if self._is_incomplete(r.vm)}
        if ledger.audit.era < self.store.era:
            # Configurations arrive in far less time than grants are held.
            ledger.prepaid_by_account.update(self.prepaid)
            ledger.audit.record(self.store.era, incomplete)
        for vm in ledger.audit.vms - incomplete:
            ledger.audit.record_complete(vm)

    def _is_incomplete(self, vm):
        row = self.store.get(holder_id(vm))
        decoded = HolderRow.decode(row.value) if row is not None else None
        return is_incomplete(decoded, self.store.era, self.restored_ms)

    def reserve(self, router, account, tokens):
        self.requests += 1
        request_id = f"r{self.requests}"
        problem = router.ledger.reserve(
            request_id, account, tokens, now_ms=self.time(router)
        )
        if problem is None:
            self.open[request_id] = (router, router.runs, account, tokens)
        return problem

    def settle(self, number, used):
        """Settle a request, whose reserving process may have ended since."""
        if not self.open:
            return
        request_id = list(self.open)[number % len(self.open)]
        router, runs, account, tokens = self.open.pop(request_id)
        used = min(used, tokens)
        self.used[account] += used
        if router.runs == runs:
            router.ledger.settle(request_id, used)

    def lend(
        self, lender, borrower, account, needed, wanted, reply, *, for_reserve=False
    ):
        if lender is borrower or not borrower.ledger.is_open:
            return
        self.loans += 1
        loan = f"l{self.loans}"
        terms = {
            "needed": needed,
            "wanted": wanted,
            "now_ms": self.time(lender),
            "now": self.seconds(),
            "for_reserve": for_reserve,
        }
        if reply == "voided early":
            lender.ledger.cancel_loan(loan, account)
        lent = lender.ledger.lend(loan, account, **terms)
        if reply == "twice":
            lent = lender.ledger.lend(loan, account, **terms)
        if reply in ("voided", "voided twice"):
            lender.ledger.cancel_loan(loan, account)
        if reply == "voided twice":
            lender.ledger.cancel_loan(loan, account)
        if reply in ("taken", "twice", "voided early"):
            borrower.ledger.borrow(account, lent)

    def transfer(self, giver, taker, account, fate, *, retained=0):
        """Send leftover borrowed tokens to another router."""
        if giver is taker or account not in giver.ledger.shares_by_account:
            return
        tokens = giver.ledger.leftover(account, self.time(giver), retained=retained)
        if tokens <= 0:
            return
        self.loans += 1
        giver.ledger.transfer_out(account, tokens)
        for _ in range({"lost": 0, "taken": 1, "twice": 2}[fate]):
            taker.ledger.transfer_in(f"g{self.loans}", account, tokens)

    def restart(self, number):
        """Kill a router's process and start another on its VM."""
        router = self.routers[number % len(self.routers)]
        if router.vm in self.unrestored:
            self._write_again(router)
        self.last_death = self.store.number
        before = {a: router.ledger.share(a).own_use for a in self.prepaid}
        was_open = router.ledger.is_open and not router.ledger.fenced
        new = self._start(router.vm, router.runs)
        router.ledger, router.runs = new.ledger, new.runs
        router.lag_ms = 0
        for account, used in before.items():
            used -= sum(self._totals(account).withheld_for(router.vm).values())
            if was_open and router.ledger.share(account).own_use < used:
                raise OverspendError(f"forgotten: {router.vm} {account} {used}")

    def restore(self, writes):
        """Bring the store back without its last writes, but with those of the dead."""
        number = max(self.store.number - writes, self.last_death)
        self.store.restore(number)
        self._numbers_by_ms = {}
        self.restored_ms = self.now_ms
        self.unrestored = {router.vm for router in self.routers if not router.is_dead}

    def keep_alive(self):
        """Have routers write that did not for long; copies are no older than that."""
        for router in self.routers:
            row = self.store.get(holder_id(router.vm))
            written_ms = HolderRow.decode(row.value).written_ms if row else 0
            if written_ms < self.now_ms - KEEPALIVE_MS:
                self.write(router, "answered", with_grants=False)
                self._numbers_by_ms[self.now_ms - COPY_MS] = self.store.number

    def kill_and_restore(self, router, writes):
        """Kill a router, and bring the store back without its last writes."""
        # A fenced ledger neither spends nor writes.
        router.ledger.fenced = router.is_dead = True
        oldest = 0
        for ms, number in self._numbers_by_ms.items():
            if ms <= self.now_ms - COPY_MS:
                oldest = number
        before = {a: self._totals(a).granted_by_vm for a in self.prepaid}
        self.restore(min(writes, self.store.number - oldest))
        for account, granted_by_vm in before.items():
            # What a dead router gave back since the copy counts as its use, too.
            restored = self._totals(account).granted_by_vm.get(router.vm, 0)
            returned = restored - granted_by_vm.get(router.vm, 0)
            self.overcounted[account] += max(returned, 0)

    def start_again(self, router):
        """Start a process on the VM of a dead router."""
        new = self._start(router.vm, router.runs)
        router.ledger, router.runs = new.ledger, new.runs
        router.lag_ms, router.is_dead = 0, False
        self.last_death = self.store.number

    def advance(self, ms):
        """Let time pass, in which all routers write again if the store came back."""
        if self.unrestored and self.now_ms + ms > self.restored_ms + SILENT_MS:
            self.write_again()
        self._numbers_by_ms[self.now_ms] = self.store.number
        self.now_ms += ms

    def write_again(self):
        for router in self.routers:
            if router.vm in self.unrestored:
                self._write_again(router)

    def _write_again(self, router):
        for _ in range(MAX_WRITES_AGAIN):
            self.write(router, "answered", with_grants=False)
            if router.vm not in self.unrestored:
                return
        raise OverspendError(f"not written again: {router.vm}")

    def check_free_is_granted(self, router, account):
        """Check that a router is granted all free tokens after the hold."""
        self.write_again()
        self.advance(HELD_MS)
        ledger = router.ledger
        if ledger.is_closing:
            return
        share = ledger.share(account)
        for release in list(share.releases):
            ledger.cancel_release(account, release)
        self._read_totals(ledger)
        wanted = sum(self.prepaid.values())
        share.waiting += wanted
        for _ in range(MAX_WRITES_AGAIN):
            self.write(router, "answered")
        share.waiting -= wanted
        row = self.store.get(totals_id(account))
        granted = Totals.decode(row.value).granted if row else 0
        if granted < ledger.prepaid_by_account[account]:
            raise OverspendError(f"stuck: {router.vm} {account} at {granted}")

    def raise_prepaid(self, account, tokens, informed):
        self.prepaid[account] += tokens
        for router in self.routers[:informed]:
            router.ledger.prepaid_by_account[account] = self.prepaid[account]

    def spent(self, account):
        running = sum(t for _, _, a, t in self.open.values() if a == account)
        return self.used[account] + running

    def check(self):
        for account, paid in self.prepaid.items():
            if self.spent(account) > paid:
                raise OverspendError(
                    f"overspend: {account} {self.spent(account)} of {paid}"
                )
            counted = sum(r.ledger.share(account).own_use for r in self.routers)
            if counted + self._uncounted_at_most(account) < self.spent(account):
                raise OverspendError(f"uncounted: {account} {counted}")
            self._check_grants(account, paid)
        for router in self.routers:
            self._check_row(router)

    def _uncounted_at_most(self, account):
        """Return the tokens that a router which died around a restore may have used.

        They are what is free until every router knows which rows are incomplete, and
        are withheld then.
        """
        if all(router.ledger.is_complete for router in self.routers):
            return 0
        totals = self._totals(account)
        withheld = sum(totals.withheld.values())
        live = [router.ledger for router in self.routers if not router.is_dead]
        if all(ledger.audit.era == self.store.era for ledger in live):
            return withheld
        return withheld + max(self.prepaid[account] - totals.granted, 0)

    def _totals(self, account):
        row = self.store.get(totals_id(account))
        return Totals.decode(row.value) if row is not None else Totals()

    def _check_grants(self, account, paid):
        row = self.store.get(totals_id(account))
        by_vm = Totals.decode(row.value).granted_by_vm if row else {}
        overcounted = self.overcounted[account]
        if sum(by_vm.values()) > paid + overcounted and not self.unrestored:
            raise OverspendError(f"granted: {account} {by_vm} of {paid}")
        for router in self.routers:
            if router.vm in self.unrestored:
                continue
            row = self.store.get(holder_id(router.vm))
            terms = HolderRow.decode(row.value).terms_by_account if row else {}
            own = terms[account].granted if account in terms else 0
            if own != by_vm.get(router.vm, 0):
                raise OverspendError(f"granted: {router.vm} {account} {own} in {by_vm}")

    def _check_row(self, router):
        """Check that a process that starts now counts at least the actual use."""
        if router.vm in self.unrestored or router.is_dead:
            return
        row = self.store.get(holder_id(router.vm))
        if row is None or not router.ledger.is_open:
            return
        found = HolderRow.decode(row.value)
        if found.incarnation != router.ledger.incarnation:
            return
        for account, terms in found.terms_by_account.items():
            own_use = router.ledger.share(account).own_use
            limit = min(terms.granted, LINE_AT(terms.line, self.now_ms))
            # A process that starts now counts these tokens as well.
            limit += sum(self._totals(account).withheld_for(router.vm).values())
            if own_use > limit:
                raise OverspendError(
                    f"beyond the line: {router.vm} {account} {own_use} of {limit}"
                )
