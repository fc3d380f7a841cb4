"""A store without its last writes, and what the product's own interface wrote there."""

import asyncio

import attrs

from lynxchute.config.document import Version
from lynxchute.containment.judge import JUDGE_KEY, QUARANTINE_ROW_ID
from lynxchute.fleet.quarantine_messages import CrashEvidence
from lynxchute.operators.client import StoreClient
from lynxchute.operators.history import (
    CURRENT_KEY,
    CURRENT_TABLE,
    OPERATIONS_TABLE,
    VERSIONS_TABLE,
)
from lynxchute.operators.quarantine_row import QuarantineRow
from lynxchute.quarantine import (
    BrokenRun,
    Progress,
    QuarantineEntry,
    QuarantineRecord,
)
from lynxchute.router import EVACUATION_PREFIX, make_platform
from lynxchute.standins.platform_store import Outage
from lynxchute.store.feed import REWRITE_SECONDS
from tests.platform_support import PlatformTestCase
from tests.support import ACCOUNT, AsyncTestCase, until, with_deployment

ROUTERS = ("kyu-a-1", "kyu-a-2", "kyu-b-1", "kyu-b-2")
# Seconds until routers have written again what a copy lacks: they ask the store every
# 0.9 s and spread their writes.
RESTORE_BOUND = 2.0
FIRST_PAID = 100_000


def stored_version(deployment):
    """Return the current version in the store, or None."""
    value = deployment.store.value(CURRENT_TABLE, CURRENT_KEY)
    return None if value is None else Version.decode(value).ok


def stored_number(deployment):
    version = stored_version(deployment)
    return 0 if version is None else version.number


def stored_paid(deployment):
    (paid,) = (
        account.paid
        for account in stored_version(deployment).document.accounts
        if account.name == ACCOUNT
    )
    return paid


def history_numbers(deployment):
    """Return the numbers of the versions in the history, and check the newest."""
    keys = [key for table, _, key in deployment.store.rows if table == VERSIONS_TABLE]
    newest = deployment.store.value(VERSIONS_TABLE, max(keys))
    assert newest == deployment.store.value(CURRENT_TABLE, CURRENT_KEY)
    return sorted(int(key) for key in keys)


def numbers_in_force(deployment):
    routers = deployment.routers_by_vm.values()
    versions = [router.configurations.current for router in routers]
    return {version.version if version else 0 for version in versions}


async def top_up(deployment, vm, tokens, operation=""):
    """Top up the account at a router; return the answer."""
    text = f"top up {ACCOUNT} by {tokens}"
    if operation:
        text += f" as {operation}"
    _, answer = await deployment.operate(vm, text)
    return answer


async def change_everywhere(deployment, tokens, operation=""):
    """Top up the account, and wait until the version is in force everywhere."""
    answer = await top_up(deployment, ROUTERS[0], tokens, operation)
    assert answer["state"] == "done", answer
    number = stored_number(deployment)
    await until(lambda: numbers_in_force(deployment) == {number})
    return answer


class ConfigurationTest(AsyncTestCase):
    def test_version_missing_in_the_copy_is_written_again(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await change_everywhere(deployment, 5, "op-1")
            value = deployment.store.value(CURRENT_TABLE, CURRENT_KEY)
            await deployment.store.restore_copy(copy)
            self.assertEqual(1, stored_number(deployment))
            await until(lambda: stored_number(deployment) == 2, RESTORE_BOUND)
            self.assertEqual(value, deployment.store.value(CURRENT_TABLE, CURRENT_KEY))
            self.assertEqual([1, 2], history_numbers(deployment))
            self.assertIsNotNone(deployment.store.value(OPERATIONS_TABLE, "op-1"))
            self.assertEqual({2}, numbers_in_force(deployment))

        with_deployment(self, scenario)

    def test_several_versions_missing_in_the_copy_are_written_again(self):
        async def scenario(deployment):
            copy = deployment.store.version
            for number in range(3):
                await change_everywhere(deployment, 5, f"op-{number}")
            await deployment.store.restore_copy(copy)
            await until(lambda: stored_number(deployment) == 4, RESTORE_BOUND)
            self.assertEqual([1, 2, 3, 4], history_numbers(deployment))
            for number in range(3):
                answer = await top_up(deployment, ROUTERS[1], 5, f"op-{number}")
                self.assertEqual("done", answer["state"])
            self.assertEqual(FIRST_PAID + 15, stored_paid(deployment))

        with_deployment(self, scenario)

    def test_change_at_once_after_a_restore_gets_a_higher_number(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await change_everywhere(deployment, 5)
            await deployment.store.restore_copy(copy)
            answer = await top_up(deployment, ROUTERS[3], 70)
            self.assertEqual("done", answer["state"])
            self.assertEqual(3, stored_number(deployment))
            self.assertEqual(FIRST_PAID + 75, stored_paid(deployment))
            await until(lambda: numbers_in_force(deployment) == {3}, RESTORE_BOUND)
            self.assertEqual([1, 2, 3], history_numbers(deployment))

        with_deployment(self, scenario)

    def test_change_of_the_store_client_gets_a_higher_number(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await change_everywhere(deployment, 5)
            await deployment.store.restore_copy(copy)
            port = await deployment.store.open_port()
            client = StoreClient(lambda: make_platform(f"127.0.0.1:{port}"))
            answer = await client._run(f"top up {ACCOUNT} by 70")
            self.assertEqual("done", answer["state"])
            self.assertEqual(3, stored_number(deployment))
            self.assertEqual(FIRST_PAID + 75, stored_paid(deployment))

        with_deployment(self, scenario)

    def test_repeated_operation_missing_in_the_copy_is_applied_once(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await change_everywhere(deployment, 5, "op-1")
            await deployment.store.restore_copy(copy)
            for vm in ROUTERS:
                answer = await top_up(deployment, vm, 5, "op-1")
                self.assertEqual("done", answer["state"])
                self.assertIn("counts once", answer["detail"])
            self.assertEqual(
                (2, FIRST_PAID + 5),
                (stored_number(deployment), stored_paid(deployment)),
            )

        with_deployment(self, scenario)

    def test_acknowledged_version_that_no_feed_has_delivered_is_written_again(self):
        async def scenario(deployment):
            copy = deployment.store.version
            for vm in ROUTERS:
                deployment.store_faults(vm).hides_changes = True
            answer = await top_up(deployment, ROUTERS[0], 5, "op-1")
            self.assertEqual("done", answer["state"])
            self.assertEqual({1}, numbers_in_force(deployment))
            await deployment.store.restore_copy(copy)
            for vm in ROUTERS:
                deployment.store_faults(vm).hides_changes = False
            await until(lambda: numbers_in_force(deployment) == {2}, RESTORE_BOUND)
            self.assertEqual(FIRST_PAID + 5, stored_paid(deployment))

        with_deployment(self, scenario)

    def test_copy_without_any_configuration_gets_the_newest_one(self):
        async def scenario(deployment):
            await change_everywhere(deployment, 5, "op-1")
            await deployment.store.restore_copy(0)
            await deployment.store.put("other", "row", b"")
            self.assertIsNone(stored_version(deployment))
            await until(lambda: stored_number(deployment) == 2, RESTORE_BOUND)
            self.assertEqual(FIRST_PAID + 5, stored_paid(deployment))

        with_deployment(self, scenario)

    def test_router_started_during_the_drill_changes_nothing_back(self):
        async def scenario(deployment):
            await deployment.kill_router(ROUTERS[3])
            await change_everywhere(deployment, 5)
            await deployment.store.restore_copy(0)
            # It finds no configuration, and may write the one of its settings.
            await deployment.start_router(ROUTERS[3])
            await until(lambda: numbers_in_force(deployment) == {2})
            answer = await top_up(deployment, ROUTERS[3], 70)
            self.assertEqual("done", answer["state"])
            self.assertEqual(
                (3, FIRST_PAID + 75),
                (stored_number(deployment), stored_paid(deployment)),
            )

        with_deployment(self, scenario)

    def test_two_restores_within_a_second(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await change_everywhere(deployment, 5, "op-1")
            await deployment.store.restore_copy(copy)
            await until(lambda: stored_number(deployment) == 2, RESTORE_BOUND)
            await deployment.store.restore_copy(copy)
            answer = await top_up(deployment, ROUTERS[2], 70)
            self.assertEqual("done", answer["state"])
            self.assertEqual(
                (3, FIRST_PAID + 75),
                (stored_number(deployment), stored_paid(deployment)),
            )
            self.assertEqual([1, 2, 3], history_numbers(deployment))

        with_deployment(self, scenario)

    def test_router_behind_a_relay_writes_again(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await change_everywhere(deployment, 5)
            for vm in ROUTERS[:3]:
                # Only the router behind a relay writes again.
                configurations = deployment.routers_by_vm[vm].configurations
                configurations.restore_listeners.clear()
            deployment.store_faults(ROUTERS[3]).outage = Outage.RESET
            router = deployment.routers_by_vm[ROUTERS[3]]
            await until(lambda: router.platform.store._is_cut_off)
            await deployment.store.restore_copy(copy)
            await until(lambda: stored_number(deployment) == 2, 3 * RESTORE_BOUND)

        with_deployment(self, scenario)


ORDER_KEY = f"{EVACUATION_PREFIX}kyu-a"


def stored_order(deployment):
    return deployment.store.value(CURRENT_TABLE, ORDER_KEY)


def evacuated_at(deployment):
    """Return the VMs whose routers send nothing new to the evacuated data centre."""
    vms = set()
    for vm, router in deployment.routers_by_vm.items():
        if router.evacuations.is_evacuated("kyu-a"):
            vms.add(vm)
    return vms


async def evacuate(deployment, vm=ROUTERS[0]):
    _, answer = await deployment.operate(vm, "evacuate data centre kyu-a")
    assert answer["state"] == "done", answer
    await until(lambda: evacuated_at(deployment) == set(deployment.routers_by_vm))


async def take_back(deployment, vm=ROUTERS[0]):
    _, answer = await deployment.operate(vm, "take back data centre kyu-a")
    assert answer["state"] == "done", answer


def record_changes(deployment):
    """Return a list that gets each order that begins or ends at any router."""
    changes = []
    for router in deployment.routers_by_vm.values():
        router.evacuations.listeners.append(changes.append)
    return changes


class EvacuationTest(AsyncTestCase):
    def test_order_missing_in_the_copy_is_written_again(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await evacuate(deployment)
            order = stored_order(deployment)
            changes = record_changes(deployment)
            await deployment.store.restore_copy(copy)
            self.assertIsNone(stored_order(deployment))
            await until(lambda: stored_order(deployment), RESTORE_BOUND)
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            self.assertEqual(
                (order, [], set(ROUTERS)),
                (stored_order(deployment), changes, evacuated_at(deployment)),
            )

        with_deployment(self, scenario)

    def test_order_missing_in_two_copies_is_written_again(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await evacuate(deployment)
            order = stored_order(deployment)
            changes = record_changes(deployment)
            await deployment.store.restore_copy(copy)
            await until(lambda: stored_order(deployment), RESTORE_BOUND)
            await deployment.store.restore_copy(copy)
            await until(lambda: stored_order(deployment), RESTORE_BOUND)
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            self.assertEqual((order, []), (stored_order(deployment), changes))

        with_deployment(self, scenario)

    def test_order_is_written_again_by_a_router_behind_a_relay(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await evacuate(deployment)
            for vm in ROUTERS[:3]:
                configurations = deployment.routers_by_vm[vm].configurations
                configurations.restore_listeners.clear()
            deployment.store_faults(ROUTERS[3]).outage = Outage.RESET
            router = deployment.routers_by_vm[ROUTERS[3]]
            await until(lambda: router.platform.store._is_cut_off)
            await deployment.store.restore_copy(copy)
            await until(lambda: stored_order(deployment), 3 * RESTORE_BOUND)

        with_deployment(self, scenario)

    def test_revoked_order_of_the_copy_is_removed(self):
        async def scenario(deployment):
            await evacuate(deployment)
            copy = deployment.store.version
            await take_back(deployment)
            await until(lambda: not evacuated_at(deployment))
            changes = record_changes(deployment)
            await deployment.store.restore_copy(copy)
            self.assertIsNotNone(stored_order(deployment))
            await until(lambda: not stored_order(deployment), RESTORE_BOUND)
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            self.assertEqual((None, []), (stored_order(deployment), changes))

        with_deployment(self, scenario)

    def test_order_that_was_followed_by_a_revoked_one_is_removed(self):
        async def scenario(deployment):
            await evacuate(deployment)
            copy = deployment.store.version
            for _ in range(2):
                await take_back(deployment)
                await until(lambda: not evacuated_at(deployment))
                await evacuate(deployment)
            await take_back(deployment)
            await until(lambda: not evacuated_at(deployment))
            await deployment.store.restore_copy(copy)
            self.assertIsNotNone(stored_order(deployment))
            await until(lambda: not stored_order(deployment), RESTORE_BOUND)
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            self.assertEqual(
                (None, set()), (stored_order(deployment), evacuated_at(deployment))
            )

        with_deployment(self, scenario)

    def test_order_revoked_at_once_after_a_restore_does_not_come_back(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await evacuate(deployment)
            await deployment.store.restore_copy(copy)
            await take_back(deployment, ROUTERS[3])
            await until(lambda: not evacuated_at(deployment))
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            self.assertEqual(
                (None, set()), (stored_order(deployment), evacuated_at(deployment))
            )

        with_deployment(self, scenario)

    def test_order_after_a_restore_is_not_taken_for_a_revoked_one(self):
        async def scenario(deployment):
            await evacuate(deployment)
            copy = deployment.store.version
            await take_back(deployment)
            await until(lambda: not evacuated_at(deployment))
            await deployment.store.restore_copy(copy)
            await evacuate(deployment, ROUTERS[3])
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            self.assertIsNotNone(stored_order(deployment))
            self.assertEqual(set(ROUTERS), evacuated_at(deployment))

        with_deployment(self, scenario)

    def test_router_that_hears_late_of_a_restore_does_not_undo_a_revocation(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await evacuate(deployment)
            deployment.set_cut("kyu-b", True)
            await deployment.store.restore_copy(copy)
            await until(lambda: stored_order(deployment), RESTORE_BOUND)
            await take_back(deployment)
            deployment.set_cut("kyu-b", False)
            await until(lambda: not evacuated_at(deployment), 20)
            await asyncio.sleep(1.0)
            self.assertIsNone(stored_order(deployment))

        with_deployment(self, scenario)

    def test_router_that_missed_a_lost_revocation_does_not_undo_it(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await evacuate(deployment)
            deployment.set_cut("kyu-b", True)
            await take_back(deployment)
            await until(lambda: evacuated_at(deployment) == set(ROUTERS[2:]))
            # The copy has neither the order nor the revocation.
            await deployment.store.restore_copy(copy)
            await asyncio.sleep(RESTORE_BOUND)
            deployment.set_cut("kyu-b", False)
            await until(lambda: not evacuated_at(deployment), 20)
            await asyncio.sleep(1.0)
            self.assertIsNone(stored_order(deployment))

        with_deployment(self, scenario)


VMS = ("a-1", "a-2", "b-1")
STORED_ENTRY = QuarantineEntry("stored", since_ms=1, until_ms=10**15)
LOST_ENTRY = QuarantineEntry("lost", since_ms=2, until_ms=10**15)


def stored_contents(deployment):
    """Return the quarantined requests in the store's row."""
    value = deployment.store.value(QUARANTINE_ROW_ID.table, QUARANTINE_ROW_ID.key)
    if value is None:
        return set()
    return {item.content for item in QuarantineRecord.decode(value).ok.quarantined}


def refused_contents(deployment):
    """Return the requests that each router refuses."""
    found = set()
    for router in deployment.routers.values():
        found.add(frozenset(router.containment.quarantine.by_content))
    return found


async def until_quarantined(deployment, *contents, timeout=10):
    expected = set(contents)
    await until(lambda: stored_contents(deployment) == expected, timeout)
    await until(lambda: refused_contents(deployment) == {frozenset(expected)}, timeout)


async def until_confirmed(deployment):
    """Wait until all routers have received the row that the judge has written."""
    routers = deployment.routers.values()
    await until(
        lambda: not any(r.containment.quarantine.unconfirmed() for r in routers)
    )


class QuarantineTest(PlatformTestCase):
    def judge_vm(self, deployment):
        return deployment.routers["a-1"].members.owner_of_key(JUDGE_KEY)

    def judge(self, deployment):
        return deployment.routers[self.judge_vm(deployment)].containment.judge

    async def quarantine(self, deployment, *entries):
        self.judge(deployment).handle_evidence(CrashEvidence(quarantined=entries))
        await until(lambda: {e.content for e in entries} <= stored_contents(deployment))
        await until_confirmed(deployment)

    async def release(self, deployment, content):
        row = QuarantineRow(deployment.routers["a-1"].platform.store)
        self.assertTrue((await row.release(content)).is_ok())

    def test_row_missing_in_the_copy_is_written_again(self):
        async def scenario(deployment):
            copy = deployment.store.version
            await self.quarantine(deployment, LOST_ENTRY)
            await until_quarantined(deployment, "lost")
            await deployment.store.restore_copy(copy)
            self.assertEqual(set(), stored_contents(deployment))
            await until_quarantined(deployment, "lost", timeout=RESTORE_BOUND)
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            await until_quarantined(deployment, "lost", timeout=0.1)

        self.with_platform(scenario, routers=VMS)

    def test_finding_missing_in_the_copy_is_written_again(self):
        async def scenario(deployment):
            await self.quarantine(deployment, STORED_ENTRY)
            copy = deployment.store.version
            await self.quarantine(deployment, LOST_ENTRY)
            await until_quarantined(deployment, "stored", "lost")
            await deployment.store.restore_copy(copy)
            for _ in range(20):
                self.assertEqual(
                    {frozenset(("stored", "lost"))}, refused_contents(deployment)
                )
                await asyncio.sleep(0.2)
            await until_quarantined(deployment, "stored", "lost", timeout=0.1)

        self.with_platform(scenario, routers=VMS)

    def test_suspect_missing_in_the_copy_is_written_again(self):
        async def scenario(deployment):
            judge = self.judge(deployment)
            copy = deployment.store.version
            for process in ("e-1", "e-2"):
                run = BrokenRun("suspect", process, Progress.BEGUN)
                judge.handle_evidence(CrashEvidence((run,)))
            store, (table, key) = deployment.store, attrs.astuple(QUARANTINE_ROW_ID)[:2]
            await until(lambda: b"suspect" in (store.value(table, key) or b""))
            await store.restore_copy(copy)
            self.assertIsNone(store.value(table, key))
            await until(lambda: store.value(table, key), RESTORE_BOUND)
            self.assertIn(b'"e-2"', store.value(table, key))

        self.with_platform(scenario, routers=VMS)

    def test_request_that_was_served_since_the_copy_is_cleared_again(self):
        async def scenario(deployment):
            await self.quarantine(deployment, STORED_ENTRY, LOST_ENTRY)
            await until_quarantined(deployment, "stored", "lost")
            copy = deployment.store.version
            self.judge(deployment).handle_evidence(CrashEvidence(survived=("lost",)))
            await until_quarantined(deployment, "stored")
            await deployment.store.restore_copy(copy)
            await until_quarantined(deployment, "stored", timeout=RESTORE_BOUND)
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            await until_quarantined(deployment, "stored", timeout=0.1)

        self.with_platform(scenario, routers=VMS)

    def test_request_that_was_released_since_the_copy_is_released_again(self):
        async def scenario(deployment):
            await self.quarantine(deployment, STORED_ENTRY, LOST_ENTRY)
            await until_quarantined(deployment, "stored", "lost")
            copy = deployment.store.version
            await self.release(deployment, "lost")
            await until_quarantined(deployment, "stored")
            await deployment.store.restore_copy(copy)
            await until_quarantined(deployment, "stored", timeout=RESTORE_BOUND)
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            await until_quarantined(deployment, "stored", timeout=0.1)

        self.with_platform(scenario, routers=VMS)

    def test_release_at_once_after_a_restore_lasts(self):
        async def scenario(deployment):
            await self.quarantine(deployment, STORED_ENTRY)
            copy = deployment.store.version
            await self.quarantine(deployment, LOST_ENTRY)
            await until_quarantined(deployment, "stored", "lost")
            await deployment.store.restore_copy(copy)
            await self.release(deployment, "lost")
            await until_quarantined(deployment, "stored")
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            await until_quarantined(deployment, "stored", timeout=0.1)

        self.with_platform(scenario, routers=VMS)

    def test_finding_after_a_restore_is_kept(self):
        async def scenario(deployment):
            await self.quarantine(deployment, STORED_ENTRY)
            await until_quarantined(deployment, "stored")
            copy = deployment.store.version
            await self.release(deployment, "stored")
            await until_quarantined(deployment)
            await deployment.store.restore_copy(copy)
            await self.quarantine(deployment, LOST_ENTRY)
            await until_quarantined(deployment, "lost")
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            await until_quarantined(deployment, "lost", timeout=0.1)

        self.with_platform(scenario, routers=VMS)

    def test_finding_missing_in_two_copies_is_written_again(self):
        async def scenario(deployment):
            await self.quarantine(deployment, STORED_ENTRY)
            copy = deployment.store.version
            await self.quarantine(deployment, LOST_ENTRY)
            await until_quarantined(deployment, "stored", "lost")
            for _ in range(2):
                await deployment.store.restore_copy(copy)
                expected = {"stored", "lost"}
                await until(
                    lambda expected=expected: stored_contents(deployment) == expected,
                    RESTORE_BOUND,
                )
            await asyncio.sleep(REWRITE_SECONDS + 1.0)
            await until_quarantined(deployment, "stored", "lost", timeout=0.1)

        self.with_platform(scenario, routers=VMS)

    def test_judge_behind_a_relay_writes_again(self):
        async def scenario(deployment):
            await self.quarantine(deployment, STORED_ENTRY)
            copy = deployment.store.version
            await self.quarantine(deployment, LOST_ENTRY)
            await until_quarantined(deployment, "stored", "lost")
            judge_vm = self.judge_vm(deployment)
            deployment.faults(judge_vm).outage = Outage.RESET
            store = deployment.routers[judge_vm].platform.store
            await until(lambda: store._is_cut_off)
            await deployment.store.restore_copy(copy)
            await until_quarantined(deployment, "stored", "lost", timeout=RESTORE_BOUND)

        self.with_platform(scenario, routers=VMS)

    def test_router_started_during_the_drill_learns_what_the_copy_lacks(self):
        async def scenario(deployment):
            await self.quarantine(deployment, STORED_ENTRY)
            copy = deployment.store.version
            await self.quarantine(deployment, LOST_ENTRY)
            await until_quarantined(deployment, "stored", "lost")
            started = next(vm for vm in VMS if vm != self.judge_vm(deployment))
            await deployment.routers.pop(started).kill()
            await deployment.store.restore_copy(copy)
            await deployment.start_router(started)
            await until_quarantined(deployment, "stored", "lost", timeout=RESTORE_BOUND)

        self.with_platform(scenario, routers=VMS)
