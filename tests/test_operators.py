"""Versions of the configuration under faults, and what operators are shown."""

import asyncio
import collections
import logging
import random

import hypothesis.strategies as st
import testtools
from hypothesis import given, settings

from lynxchute.config.document import AccountDocument, FleetDocument, Version
from lynxchute.config.role import Role
from lynxchute.operators.changes import change_for, differences
from lynxchute.operators.client import StoreClient
from lynxchute.operators.history import (
    CURRENT_KEY,
    CURRENT_TABLE,
    ConfigurationHistory,
    Order,
)
from lynxchute.operators.language import parse
from lynxchute.operators.runner import StatementRunner
from lynxchute.platform.daemon import make_platform as users_platform
from lynxchute.router import FirstConfiguration, make_platform
from lynxchute.store import (
    Committed,
    Conflict,
    OutcomeUnknown,
    Row,
    RowId,
    Snapshot,
    Store,
    StoreClock,
    StoreRefused,
    StoreUnavailable,
)
from tests.platform_support import PlatformTestCase
from tests.support import ACCOUNT, AsyncTestCase, until

FATES = ("done", "done", "done", "lost", "late", "refused")


class FaultyStore(Store):
    """Rows in memory; each write meets a fate that the test has drawn."""

    def __init__(self, fates=(), seed=0):
        self.clock = StoreClock()
        self.rows = {}
        self.version = 0
        self._fates = list(fates)
        self._late = []
        self._random = random.Random(seed)

    async def write(self, write):
        await self._pause()
        fate = self._fates.pop() if self._fates else "done"
        if fate == "refused":
            raise StoreUnavailable("refused")
        if fate == "late":
            self._late.append(write)
            raise OutcomeUnknown("late")
        outcome = self._apply(write)
        if fate == "lost":
            raise OutcomeUnknown("lost")
        return outcome

    async def scan(self, table, *, part=""):
        await self._pause()
        rows = [row for row in self.rows.values() if row.id.table == table]
        return Snapshot(tuple(rows), self.version)

    async def changes(self, table, *, after, wait):
        raise StoreUnavailable("nobody follows here")

    def move(self, address):
        pass

    def close(self):
        pass

    async def _pause(self):
        """Let others go first, and late writes come when they come."""
        for _ in range(self._random.randint(0, 3)):
            await asyncio.sleep(0)
        while self._late and self._random.random() < 0.3:
            self._apply(self._late.pop(0))

    def _apply(self, write):
        found = {item.id: self.rows.get(item.id) for item in write.expected}
        for item in write.expected:
            row = found[item.id]
            if (row.version if row else 0) != item.version:
                return Conflict(found)
        self.version += 1
        for put in write.puts:
            self.rows[put.id] = Row(put.id, put.value, self.version)
        return Committed(self.version)


def document():
    return FleetDocument(accounts=(AccountDocument(name="a", key_hashes=(), paid=100),))


def current(store):
    row = store.rows[RowId(CURRENT_TABLE, CURRENT_KEY)]
    return Version.decode(row.value).ok


async def order(history, text, operation, operator="o"):
    change = change_for(parse(text).ok)
    return await history.change(change, Order(operation, operator, text))


class HistoryTest(AsyncTestCase):
    @given(
        st.lists(st.sampled_from(FATES), max_size=20),
        st.lists(
            st.tuples(st.integers(0, 4), st.integers(1, 3)), min_size=1, max_size=12
        ),
        st.integers(0, 99),
    )
    @settings(max_examples=150)
    def test_each_order_counts_once_whatever_happens(self, fates, orders, seed):
        """Operators at once top up under a few ids, and repeat what was unsure."""

        async def work():
            store = FaultyStore(seed=seed)
            history = ConfigurationHistory(store)
            await history.begin(document())
            store._fates = list(fates)
            outcomes = collections.defaultdict(list)

            async def one(number):
                tokens = 10**number
                for _ in range(4):
                    text = f"top up a by {tokens}"
                    result = await order(history, text, f"op{number}")
                    outcomes[number].append(result)
                    if result.is_ok():
                        return

            await asyncio.gather(*(one(n) for n, _ in orders))
            # What is on its way arrives, in any order.
            for _ in range(40):
                await store.scan("nothing")
            paid = current(store).document.accounts[0].paid - 100
            for number, results in outcomes.items():
                times = paid // 10**number % 10
                self.assertLessEqual(times, 1, (number, results))
                if any(result.is_ok() for result in results):
                    self.assertEqual(1, times)
                if all(r.is_error() and not r.error.is_unknown for r in results):
                    self.assertEqual(0, times)
            self._versions_follow(store)

        self.run_async(work())

    def _versions_follow(self, store):
        numbers = []
        for row_id, row in sorted(store.rows.items(), key=lambda item: item[0].key):
            if row_id.table == "configuration-versions":
                numbers.append(Version.decode(row.value).ok.number)
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
        self.assertEqual(numbers[-1], current(store).number)

    def test_only_one_first_configuration_counts(self):
        async def work():
            store = FaultyStore()
            first, second = document(), FleetDocument()
            history = ConfigurationHistory(store)
            await asyncio.gather(history.begin(first), history.begin(second))
            self.assertEqual(1, current(store).number)
            kept = current(store).document
            await history.begin(second)
            self.assertEqual(kept, current(store).document)

        self.run_async(work())

    def test_what_cannot_be_done_says_what_could(self):
        async def work():
            store = FaultyStore()
            history = ConfigurationHistory(store)
            missing = await order(history, "top up a by 1", "x")
            self.assertIn("no configuration", missing.error.reason)
            await history.begin(document())
            for text, said in (
                ("top up b by 1", "Known: a"),
                ("top up a by 0", "at least one"),
                ("drain upstream u", "No upstream"),
                ("drop account b", "No client account"),
                ("set upstream u service s", "No service"),
                ("set account b weight 2", "Known: a"),
                ("set account a weight 0", "from 0.01 to 100"),
                ("set account a weight -2", "from 0.01 to 100"),
                ("set account a weight 1000000", "from 0.01 to 100"),
            ):
                result = await order(history, text, text)
                self.assertIn(said, result.error.reason)
            self.assertEqual(1, current(store).number)

        self.run_async(work())


class FirstConfigurationTest(AsyncTestCase):
    def test_a_store_that_refuses_it_is_told_of_and_not_asked_again(self):
        class RefusingStore(FaultyStore):
            asked = 0

            async def write(self, write):
                self.asked += 1
                raise StoreRefused("the store answered 413")

        async def work():
            store = RefusingStore()
            first = FirstConfiguration(ConfigurationHistory(store), document())
            with self.assertLogs("absl", logging.ERROR) as logs:
                await first._run()
            self.assertEqual(1, store.asked)
            self.assertIn("refused by the store", logs.output[0])

        self.run_async(work())


class DifferencesTest(testtools.TestCase):
    def test_each_difference_is_a_row(self):
        first = document()
        change = change_for(parse("create account b key k").ok)
        second = change(change_for(parse("top up a by 5").ok)(first).ok).ok
        rows = differences(first, second)
        self.assertEqual(
            [("accounts", "a"), ("accounts", "b")],
            [(row["what"], row["name"]) for row in rows],
        )
        self.assertEqual([], differences(first, first))


class RolesTest(AsyncTestCase):
    def test_each_role_permits_what_those_before_it_do(self):
        async def work():
            runner = StatementRunner(make_platform("127.0.0.1:1"))
            for text, role in (
                ("top up a by 1", Role.READ),
                ("drain vm x", Role.READ),
                ("drop account a", Role.OPERATE),
            ):
                answer = await runner.run(text, operator="o", role=role)
                self.assertEqual("not_done", answer.state)
                self.assertIn("needs the role", answer.detail)

        self.run_async(work())


class UsersPlatformTest(PlatformTestCase):
    def test_the_client_shows_the_rows_of_the_users_platform(self):
        async def scenario(deployment):
            port = await deployment.store.open_port()
            client = StoreClient(lambda: users_platform(f"127.0.0.1:{port}"))
            ledgers = [r.ledger_sync.ledger for r in deployment.routers.values()]
            await until(lambda: all(x.shares_by_account for x in ledgers))
            await until(
                lambda: all(s.terms.granted for x in ledgers
                            for s in x.shares_by_account.values())
            )  # fmt: skip
            shown = {}
            for collection in ("budgets", "grants", "upstreams", "vms", "routes"):
                answer = await client._run(f"show {collection}")
                self.assertEqual(("rows", True), (answer["state"], answer["complete"]))
                shown[collection] = answer["rows"]
            (budget,) = shown["budgets"]
            self.assertEqual((ACCOUNT, 1_000_000), (budget["account"], budget["paid"]))
            self.assertEqual(
                budget["granted"], sum(row["granted"] for row in shown["grants"])
            )
            self.assertEqual(set(deployment.routers), {r["vm"] for r in shown["vms"]})
            self.assertEqual(len(deployment.upstreams), len(shown["upstreams"]))
            self.assertTrue(all(row["age_s"] >= 0 for row in shown["grants"]))
            answer = await client._run("top up kanda by 5")
            self.assertEqual("not_done", answer["state"])

        self.with_platform(scenario)
