"""Routers with part of a whole act only on views that include all others."""

import asyncio
from unittest import mock

import testtools
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lynxchute.fleet import view as view_module
from lynxchute.fleet.client import PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.registry import Registry
from lynxchute.fleet.view import JOIN_SECONDS, MAX_VIEW_SECONDS, FleetView
from lynxchute.http import BadRequest
from lynxchute.upstreams.slot_shares import (
    SLOTS_WHILE_UNKNOWN,
    SLOTS_WITH_OLD_VIEW,
    FleetPosition,
    slot_share,
)
from tests.fuzz import run
from tests.support import AsyncTestCase, until
from tests.test_stream_versions import STREAMS, StreamVersionCase
from tests.version_play import ROUTERS, begin

SLOTS = 12
VMS = tuple(f"{place}-{number}" for place in "abc" for number in range(1, 5))
# Seconds after which a router that reaches the store has polled it.
POLL_SECONDS = 2.0


class DirectRouter:
    """A router whose messages reach others at once, unless it is cut off."""

    def __init__(self, fleet, vm, *, is_new=True):
        self.fleet, self.vm = fleet, vm
        self.members = Members(Member(vm, vm[0], f"of {vm}", "127.0.0.1:1"))
        self.asked_at = fleet.now
        self.view = FleetView(
            self.members, self, lambda: True, lambda: self.asked_at, lambda: fleet.now
        )
        self.registry = Registry(mock.Mock(), self.members, is_first_start=False)
        self.poll()
        self.view.record_registered(is_new=is_new)

    async def ask(self, vm, message):
        if frozenset((self.vm, vm)) in self.fleet.cuts:
            raise PeerUnreachable(vm)
        return await self.fleet.routers[vm].registry._handle_announcement(message)

    def poll(self):
        """Read the registered routers from the store."""
        self.asked_at = self.fleet.now
        for other in self.fleet.registered:
            self.members.put(other)

    def share(self):
        """Return the slots of one upstream that this router uses."""
        position = FleetPosition(self.members.own_rank("service"), self.members.count)
        share = slot_share("u1", {"u1": SLOTS}, position)
        if not self.view.is_known():
            return min(share, SLOTS_WHILE_UNKNOWN)
        return share if self.view.is_current() else min(share, SLOTS_WITH_OLD_VIEW)


class FleetMachine(RuleBasedStateMachine):
    """Routers start, lose the store and one another, and share the slots."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.routers, self.registered, self.cuts = {}, [], set()
        self.without_store = set()
        self.runner = asyncio.Runner()
        for vm in VMS[:2]:
            self.start(vm, is_new=False)
        for router in self.routers.values():
            router.poll()

    def teardown(self):
        self.runner.close()

    def start(self, vm, *, is_new=True):
        member = Member(vm, vm[0], f"of {vm}", "127.0.0.1:1")
        self.registered.append(member)
        self.routers[vm] = DirectRouter(self, vm, is_new=is_new)

    @precondition(lambda self: len(self.routers) < len(VMS))
    @rule()
    def join(self):
        self.start(VMS[len(self.routers)])

    @rule(vms=st.sets(st.sampled_from(VMS)))
    def lose_store(self, vms):
        self.without_store = vms

    @rule(vms=st.sets(st.sampled_from(VMS)))
    def cut(self, vms):
        self.cuts = {frozenset((a, b)) for a in vms for b in set(VMS) - vms}

    @rule(tenths=st.integers(1, 40))
    def wait(self, tenths):
        self.now += tenths / 10.0
        for vm, router in self.routers.items():
            is_late = self.now - router.asked_at > POLL_SECONDS
            if is_late and vm not in self.without_store:
                router.poll()

    @rule()
    def announce(self):
        for router in self.routers.values():
            if not router.view.is_known():
                self.runner.run(router.view._announce())

    @invariant()
    def slots_are_not_shared_out_twice(self):
        shares = {vm: router.share() for vm, router in self.routers.items()}
        assert sum(shares.values()) <= SLOTS, shares


class FleetViewFuzzTest(testtools.TestCase):
    """Guards against slots that two views of the fleet give to two routers."""

    def check(self):
        run(300, 40, machine=FleetMachine)

    def test_slots_are_shared_out_once(self):
        self.check()

    def test_fuzzing_detects_a_router_that_takes_part_at_once(self):
        with (
            mock.patch.object(FleetView, "is_known", lambda view: True),
            testtools.ExpectedException(AssertionError),
        ):
            self.check()

    def test_fuzzing_detects_a_view_that_never_ages(self):
        with (
            mock.patch.object(FleetView, "is_current", lambda view: True),
            testtools.ExpectedException(AssertionError),
        ):
            self.check()

    def test_fuzzing_detects_a_router_that_waits_too_briefly(self):
        with (
            mock.patch.object(view_module, "JOIN_SECONDS", MAX_VIEW_SECONDS / 2),
            testtools.ExpectedException(AssertionError),
        ):
            self.check()


class JoinedRouterTest(StreamVersionCase):
    """Guards against streams that a router breaks off since it has just joined."""

    def test_streams_at_a_router_that_joins_are_whole(self):
        async def scenario(deployment):
            await begin(deployment, len(ROUTERS), events=None)
            router = await deployment.start_router("a-3")
            await until(router.is_ready)
            streams = await begin(deployment, STREAMS, vms=["a-3"], events=None)
            failed = [s.reasons or s.statuses for s in streams if not s.is_whole]
            self.assertEqual([], failed)
            self.assertGreater(len({frozenset(s.versions) for s in streams}), 1)

        self.with_versions(scenario)


class FleetViewTest(AsyncTestCase):
    """Guards against routers that keep others waiting, or act unheard."""

    def fleet(self, count):
        machine = FleetMachine()
        self.addCleanup(machine.teardown)
        while len(machine.routers) < count:
            machine.start(VMS[len(machine.routers)])
        return machine

    def test_a_router_takes_part_once_all_others_have_acknowledged_it(self):
        fleet = self.fleet(3)
        joined = fleet.routers[VMS[2]]
        self.assertFalse(joined.view.is_known())
        self.run_async(joined.view._announce())
        self.assertTrue(joined.view.is_known())
        for vm in VMS[:2]:
            self.assertEqual(3, fleet.routers[vm].members.count)

    def test_a_router_that_one_other_does_not_hear_waits_for_its_view_to_age(self):
        fleet = self.fleet(3)
        fleet.cuts = {frozenset((VMS[0], VMS[2]))}
        joined = fleet.routers[VMS[2]]
        self.run_async(joined.view._announce())
        fleet.now += JOIN_SECONDS - 0.1
        self.assertFalse(joined.view.is_known())
        fleet.now += 0.2
        self.assertTrue(joined.view.is_known())

    def test_a_stream_waits_for_the_acknowledgements(self):
        fleet = self.fleet(3)
        joined = fleet.routers[VMS[2]]

        async def scenario():
            waiting = asyncio.create_task(joined.view.wait_known())
            await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            await joined.view._announce()
            self.assertTrue(await waiting)

        self.run_async(scenario())

    def test_a_router_that_leaves_is_not_waited_for(self):
        fleet = self.fleet(3)
        fleet.cuts = {frozenset((VMS[0], VMS[2]))}
        joined = fleet.routers[VMS[2]]
        joined.members.put(fleet.routers[VMS[0]].members.mark_leaving())
        self.run_async(joined.view._announce())
        self.assertTrue(joined.view.is_known())

    def test_a_router_that_the_others_count_already_takes_part_at_once(self):
        fleet = self.fleet(2)
        self.assertTrue(fleet.routers[VMS[0]].view.is_known())

    def test_an_announcement_that_cannot_be_decoded_is_not_acknowledged(self):
        registry = self.fleet(2).routers[VMS[0]].registry
        request = view_module.AnnounceRequest('{"vm": 3}')
        with testtools.ExpectedException(BadRequest):
            self.run_async(registry._handle_announcement(request))

    def test_an_old_announcement_does_not_replace_a_newer_process(self):
        router = self.fleet(2).routers[VMS[0]]
        old = Member(VMS[1], VMS[1][0], "an earlier one", "127.0.0.1:2")
        request = view_module.AnnounceRequest(old.encode().decode())
        self.run_async(router.registry._handle_announcement(request))
        self.assertEqual(f"of {VMS[1]}", router.members.by_vm[VMS[1]].incarnation)
