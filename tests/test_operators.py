"""Configuration history under store faults, roles, and the operators' client."""

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
    ChangeRequest,
    ConfigurationHistory,
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

WRITE_OUTCOMES = ("done", "done", "done", "lost", "late", "refused")


class FaultyStore(Store):
    """In-memory store; the test plans the outcome of each write.

    "lost" applies the write but loses the reply, "late" applies it at some later time.
    """

    def __init__(self, planned_outcomes=(), seed=0):
        self.clock = StoreClock()
        self.rows = {}
        self.version = 0
        self._planned_outcomes = list(planned_outcomes)
        self._late = []
        self._random = random.Random(seed)

    async def write(self, write):
        await self._pause()
        planned = self._planned_outcomes.pop() if self._planned_outcomes else "done"
        if planned == "refused":
            raise StoreUnavailable("refused")
        if planned == "late":
            self._late.append(write)
            raise OutcomeUnknown("late")
        outcome = self._apply(write)
        if planned == "lost":
            raise OutcomeUnknown("lost")
        return outcome

    async def scan(self, table, *, part=""):
        await self._pause()
        rows = [row for row in self.rows.values() if row.id.table == table]
        return Snapshot(tuple(rows), self.version)

    async def changes(self, table, *, after, wait):
        raise StoreUnavailable("this store has no change feed")

    def move(self, address):
        pass

    def close(self):
        pass

    async def _pause(self):
        """Yield to other tasks, and apply some of the late writes."""
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


async def apply_change(history, text, operation, operator="o"):
    change = change_for(parse(text).ok)
    return await history.change(change, ChangeRequest(operation, operator, text))


class HistoryTest(AsyncTestCase):
    @given(
        st.lists(st.sampled_from(WRITE_OUTCOMES), max_size=20),
        st.lists(
            st.tuples(st.integers(0, 4), st.integers(1, 3)), min_size=1, max_size=12
        ),
        st.integers(0, 99),
    )
    @settings(max_examples=150)
    def test_each_operation_is_applied_once_despite_faults(
        self, planned_outcomes, top_ups, seed
    ):
        """Concurrent top-ups under a few ids, retried while the outcome is unknown."""

        async def work():
            store = FaultyStore(seed=seed)
            history = ConfigurationHistory(store)
            await history.initialize(document())
            store._planned_outcomes = list(planned_outcomes)
            outcomes = collections.defaultdict(list)

            async def one(number):
                tokens = 10**number
                for _ in range(4):
                    text = f"top up a by {tokens}"
                    result = await apply_change(history, text, f"op{number}")
                    outcomes[number].append(result)
                    if result.is_ok():
                        return

            await asyncio.gather(*(one(n) for n, _ in top_ups))
            # Late writes are applied, in any order relative to the scans.
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
            self._check_versions_are_consecutive(store)

        self.run_async(work())

    def _check_versions_are_consecutive(self, store):
        numbers = []
        for row_id, row in sorted(store.rows.items(), key=lambda item: item[0].key):
            if row_id.table == "configuration-versions":
                numbers.append(Version.decode(row.value).ok.number)
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
        self.assertEqual(numbers[-1], current(store).number)

    def test_only_one_first_configuration_is_written(self):
        async def work():
            store = FaultyStore()
            first, second = document(), FleetDocument()
            history = ConfigurationHistory(store)
            await asyncio.gather(history.initialize(first), history.initialize(second))
            self.assertEqual(1, current(store).number)
            kept = current(store).document
            await history.initialize(second)
            self.assertEqual(kept, current(store).document)

        self.run_async(work())

    def test_rejected_changes_explain_why(self):
        async def work():
            store = FaultyStore()
            history = ConfigurationHistory(store)
            missing = await apply_change(history, "top up a by 1", "x")
            self.assertIn("no configuration", missing.error.reason)
            await history.initialize(document())
            for text, hint in (
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
                result = await apply_change(history, text, text)
                self.assertIn(hint, result.error.reason)
            self.assertEqual(1, current(store).number)

        self.run_async(work())


class FirstConfigurationTest(AsyncTestCase):
    def test_a_refusal_by_the_store_is_logged_and_not_retried(self):
        class RefusingStore(FaultyStore):
            writes = 0

            async def write(self, write):
                self.writes += 1
                raise StoreRefused("the store answered 413")

        async def work():
            store = RefusingStore()
            first = FirstConfiguration(ConfigurationHistory(store), document())
            with self.assertLogs("absl", logging.ERROR) as logs:
                await first._run()
            self.assertEqual(1, store.writes)
            self.assertIn("refused by the store", logs.output[0])

        self.run_async(work())


class DifferencesTest(testtools.TestCase):
    def test_each_differing_item_is_listed_once(self):
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
    def test_a_role_below_the_required_one_is_rejected(self):
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
    def test_the_client_reads_rows_of_the_users_platform(self):
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
