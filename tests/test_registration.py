"""Registrations of routers whose writes the store performs late."""

import asyncio
from unittest import mock

from lynxchute.fleet.registry import ROUTER_PREFIX, TABLE
from tests.platform_support import PlatformTestCase
from tests.support import until

VMS = ("a-1", "a-2", "b-1")
LATE_SECONDS = 1.0
# Seconds until all routers have heard of a write.
NOTICE_SECONDS = 1.0


def performed_late(store, vm):
    """Let the store perform the next registration of a VM late, without an answer."""
    write, late_vms = store._write, {vm}

    async def write_late(faults, request, respond):
        body = request.json()
        for put in body.get("puts") or []:
            if put["table"] == TABLE and put["key"] == ROUTER_PREFIX + vm and late_vms:
                late_vms.clear()
                task = asyncio.create_task(store._write_late(body, LATE_SECONDS))
                store._tasks.add(task)
                respond.abort()
                return
        await write(faults, request, respond)

    return mock.patch.object(store, "_write", write_late)


class LateRegistrationTest(PlatformTestCase):
    def check_registered(self, deployment):
        """Check that all routers take all of them for staying, by the same process."""
        routers = deployment.routers
        for router in routers.values():
            members = router.members
            self.assertEqual(len(VMS), members.count)
            for vm, other in routers.items():
                known = members.by_vm[vm].incarnation
                self.assertEqual(other.members.own.incarnation, known)
        for key in ("first", "second", "third"):
            ranks = {router.members.own_rank(key) for router in routers.values()}
            self.assertEqual(set(range(len(VMS))), ranks)

    def test_a_late_mark_of_an_ended_process_does_not_mark_its_successor(self):
        async def scenario(deployment):
            with performed_late(deployment.store, "a-1"):
                router = deployment.routers["a-1"]
                await router.registry.register(router.members.mark_leaving())
                await router.kill()
                await deployment.start_router("a-1")
                await until(lambda: deployment.is_settled("a-1"))
                await asyncio.sleep(LATE_SECONDS + NOTICE_SECONDS)
            self.check_registered(deployment)

        self.with_platform(scenario, routers=VMS)

    def test_a_late_registration_does_not_undo_a_mark_of_the_same_process(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            with performed_late(deployment.store, "a-1"):
                await router.registry.register(router.members.own)
                await router.registry.register(router.members.mark_leaving())
                await asyncio.sleep(LATE_SECONDS + NOTICE_SECONDS)
            for vm in ("a-2", "b-1"):
                known = deployment.routers[vm].members.by_vm["a-1"]
                self.assertTrue(known.is_leaving)

        self.with_platform(scenario, routers=VMS)

    def test_a_row_that_another_writer_has_changed_is_written_again(self):
        async def scenario(deployment):
            router = deployment.routers["a-1"]
            row_id = ROUTER_PREFIX + "a-1"
            before = router.members.own
            stale = router.members.mark_leaving()
            router.members.own = router.members.by_vm["a-1"] = before
            await deployment.store.put(TABLE, row_id, stale.encode())
            await asyncio.sleep(NOTICE_SECONDS)
            self.check_registered(deployment)

        self.with_platform(scenario, routers=VMS)
