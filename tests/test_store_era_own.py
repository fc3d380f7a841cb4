"""A store without its last writes, and what the product's own interface wrote there."""

from lynxchute.config.document import Version
from lynxchute.operators.client import StoreClient
from lynxchute.operators.history import (
    CURRENT_KEY,
    CURRENT_TABLE,
    OPERATIONS_TABLE,
    VERSIONS_TABLE,
)
from lynxchute.router import make_platform
from lynxchute.standins.platform_store import Outage
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
