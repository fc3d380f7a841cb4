"""The budget decisions: fuzzing, and the same as a naive ledger."""

import attrs
import hypothesis.strategies as st
import testtools
from hypothesis import given, settings

from lynxchute.accounting import Accounting
from lynxchute.book import Book
from lynxchute.grants import DemandPolicy, ShareView
from lynxchute.holder import Holder, ReserveProblem, SettleState
from lynxchute.journal import Journal
from lynxchute.ledger import budget_key, empty_budget
from lynxchute.members import Heartbeat, Liveness, Members
from lynxchute.records import RequestRecord
from lynxchute.rendezvous import ranked
from lynxchute.routing import RetryAllowance
from lynxchute.standins.table import TableStore
from lynxchute.tables.transaction import Add, Committed, Conflict, Swap, Transaction
from tests.fuzz import run

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["reserve", "settle", "release"]),
        st.integers(0, 7),
        st.integers(1, 60),
    ),
    max_size=60,
)


class NaiveLedger:
    """One number for a budget, as a single process would keep it."""

    def __init__(self, paid):
        self.left = paid
        self.open = {}
        self.done = set()

    def reserve(self, name, tokens):
        if name in self.open or name in self.done:
            return "known"
        if tokens > self.left:
            return "short"
        self.left -= tokens
        self.open[name] = tokens
        return "reserved"

    def settle(self, name, used):
        if name in self.open:
            reserved = self.open.pop(name)
            self.left += reserved - min(used, reserved)
            self.done.add(name)

    def release(self, name):
        if name in self.open:
            self.left += self.open.pop(name)


def record(name, tokens, attempt):
    return RequestRecord(
        request_id=name,
        attempt=f"{name}.{attempt}",
        account="a",
        reserved=tokens,
        entry="e",
        holder="h.1",
        upstream="u",
    )


class Whole:
    """A holder that brings itself tokens before each refusal."""

    def __init__(self, paid):
        self.store = TableStore()
        row = {**empty_budget(), "paid": paid, "free": paid}
        self.store.rows_by_key[budget_key("a")] = row
        self.holder = Holder(Journal("h.1", "h", "x"), DemandPolicy())
        self.attempts = 0
        self.flush()

    def flush(self):
        for _ in range(4):
            transaction = self.holder.next_write(0.0)
            if transaction is None:
                return
            self.holder.wrote(self.store.apply(transaction))

    def reserve(self, name, tokens):
        self.attempts += 1
        wanted = record(name, tokens, self.attempts)
        for _ in range(2):
            result = self.holder.reserve(wanted, 0.0)
            if result.is_ok():
                return "reserved"
            if result.error.problem is not ReserveProblem.SHORT:
                return "known"
            lacking = tokens - result.error.available
            self.holder.set_shortfall("a", lacking)
            self.flush()
            self.holder.set_shortfall("a", 0)
        return "short"

    def settle(self, name, used):
        known = self.holder.find(name)
        if known is not None and known.used is None:
            used = min(used, known.reserved)
            self.holder.settle(attrs.evolve(known, used=used))
        self.flush()

    def release(self, name):
        known = self.holder.find(name)
        if known is not None and known.used is None:
            self.holder.release(known.attempt)


class DifferentialTest(testtools.TestCase):
    @given(OPERATIONS)
    @settings(max_examples=200)
    def test_the_same_refusals_and_balance_as_a_naive_ledger(self, operations):
        naive, whole = NaiveLedger(200), Whole(200)
        for kind, number, tokens in operations:
            name = f"r{number}"
            if kind == "reserve":
                expected = naive.reserve(name, tokens)
                self.assertEqual(expected, whole.reserve(name, tokens))
            elif kind == "settle":
                naive.settle(name, tokens)
                whole.settle(name, tokens)
            else:
                naive.release(name)
                whole.release(name)
        whole.flush()
        budget = whole.store.rows_by_key[budget_key("a")]
        reserved = sum(naive.open.values())
        self.assertEqual(200 - naive.left - reserved, budget["charged"])
        self.assertEqual(naive.left + reserved, budget["free"] + budget["granted"])


class FuzzTest(testtools.TestCase):
    def test_every_promise_holds_under_fuzzing(self):
        run(examples=120, steps=40, shrink=False)


class HolderTest(testtools.TestCase):
    def test_a_late_reservation_of_an_ended_attempt_is_refused(self):
        whole = Whole(100)
        whole.holder.release("r.1")
        result = whole.holder.reserve(record("r", 10, 1), 0.0)
        self.assertEqual(ReserveProblem.ENDED, result.error.problem)

    def test_charges_are_refused_once_too_many_wait(self):
        whole = Whole(1000)
        whole.holder._max_unflushed = 1
        whole.reserve("r1", 10)
        whole.holder.settle(attrs.evolve(record("r1", 10, 1), used=5))
        result = whole.holder.reserve(record("r2", 10, 9), 0.0)
        self.assertEqual(ReserveProblem.FULL, result.error.problem)

    def test_a_replaced_attempt_is_released_once_the_new_one_has_tokens(self):
        whole = Whole(100)
        whole.reserve("r", 60)
        short = whole.holder.reserve(record("r", 90, 2), 0.0, "r.1")
        self.assertEqual(ReserveProblem.SHORT, short.error.problem)
        self.assertEqual(SettleState.OPEN, whole.holder.state_of("r.1"))
        self.assertTrue(whole.holder.reserve(record("r", 10, 3), 0.0, "r.1").is_ok())
        self.assertEqual(["r.3"], list(whole.holder.open_by_attempt))


class AccountingTest(testtools.TestCase):
    def test_nobody_relies_on_a_router_that_a_recovery_would_not_ask(self):
        journal = Journal("w.1", "w", "x")
        accounting = Accounting(Holder(journal, DemandPolicy()), Book("w.1"))
        asked = (record("r", 10, 1),)
        self.assertFalse(accounting.witness(asked))
        store = TableStore()
        accounting.holder.wrote(store.apply(accounting.holder.next_write(0.0)))
        accounting.holder.ready = False
        self.assertFalse(accounting.witness(asked))
        accounting.holder.ready = True
        self.assertTrue(accounting.witness(asked))


class PolicyTest(testtools.TestCase):
    @given(
        st.integers(0, 10_000), st.integers(-100, 10_000), st.integers(0, 500),
        st.floats(0, 500), st.one_of(st.none(), st.integers(0, 10_000)), st.booleans(),
    )  # fmt: skip
    def test_never_gives_back_more_than_is_available(
        self, owned, available, shortfall, rate, free, is_home
    ):
        view = ShareView(owned, available, shortfall, rate, free, is_home)
        policy = DemandPolicy()
        self.assertGreaterEqual(policy.change(view), -max(available, 0))
        self.assertLessEqual(policy.spare(view), max(available, 0))

    def test_comes_to_rest(self):
        whole = Whole(10_000)
        whole.holder.learn_free("a", 10_000)
        whole.flush()
        self.assertIsNone(whole.holder.next_write(0.0))


class TableTest(testtools.TestCase):
    def test_a_transaction_takes_effect_whole_or_not_at_all(self):
        store = TableStore(rows_by_key={"n": {"free": 5}})
        add = Add("n", {"free": -6})
        outcome = store.apply(Transaction((Swap("x", None, {"a": 1}), add)))
        self.assertEqual(Conflict({"n": {"free": 5}}), outcome)
        self.assertNotIn("x", store.rows_by_key)
        outcome = store.apply(Transaction((Add("n", {"free": -5}),)))
        self.assertIsInstance(outcome, Committed)


def beat(vm, generation=1, counter=1, **more):
    return Heartbeat(vm, "x", f"{vm}.{generation}", generation, counter, **more)


class MembersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.members = Members(beat("own"), suspect_after=2.0, gone_after=4.0)

    def test_silence_makes_suspect_then_gone(self):
        self.members.merge([beat("b")], 0.0)
        states = [self.members.liveness("b", now) for now in (1.0, 3.0, 5.0)]
        expected = [Liveness.ALIVE, Liveness.SUSPECT, Liveness.GONE]
        self.assertEqual(expected, states)

    def test_old_news_does_not_revive(self):
        self.members.merge([beat("b", counter=5)], 0.0)
        self.members.merge([beat("b", counter=5)], 3.9)
        self.assertEqual(Liveness.GONE, self.members.liveness("b", 4.1))

    def test_a_replaced_incarnation_is_given_up_at_once(self):
        self.members.merge([beat("b", generation=1)], 0.0)
        self.members.merge([beat("b", generation=2)], 1.0)
        self.assertEqual(["b.1"], self.members.given_up(1.0))
        self.members.merge([beat("b", generation=1, counter=99)], 1.5)
        self.assertEqual("b.2", self.members.by_vm["b"].heartbeat.incarnation)

    def test_a_leaving_router_gets_no_new_work(self):
        self.members.merge([beat("b", leaving=True)], 0.0)
        self.assertEqual({"own.1"}, set(self.members.live(0.0, "x")))

    @given(
        st.lists(
            st.tuples(st.sampled_from("bcd"), st.integers(1, 3), st.integers(1, 9)),
            max_size=30,
        )
    )
    def test_news_in_any_order_ends_at_the_newest(self, news):
        members = Members(beat("own"), suspect_after=2.0, gone_after=4.0)
        newest = {}
        for vm, generation, counter in news:
            members.merge([beat(vm, generation, counter)], 0.0)
            newest[vm] = max(newest.get(vm, (0, 0)), (generation, counter))
        found = {vm: member.heartbeat.age for vm, member in members.by_vm.items()}
        self.assertEqual(newest, found)


class RendezvousTest(testtools.TestCase):
    @given(st.text(max_size=5), st.sets(st.text(min_size=1, max_size=3), min_size=2))
    def test_losing_one_moves_only_its_own(self, key, names):
        order = ranked(key, names)
        self.assertEqual(order[1:], ranked(key, names - {order[0]}))


class RetryAllowanceTest(testtools.TestCase):
    def test_a_failing_upstream_does_not_double_the_load(self):
        allowance = RetryAllowance(share=0.2, most=10.0, saved=10.0)
        retries = 0
        for _ in range(1000):
            allowance.request()
            retries += allowance.retry()
        self.assertLessEqual(retries, 211)
