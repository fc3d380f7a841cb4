"""A random history of links, routers and checks, against what a router believes."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lynxchute.tunnels.paths import (
    CHECK_SECONDS,
    MAX_CHECK_SECONDS,
    MAX_CHECKS_NEEDED,
    Helper,
    PathState,
    UpstreamPaths,
)

ADDRESSES = ("u1:1", "u2:1", "u3:1")
VMS = ("a-1", "a-2", "b-1")
ROUNDS = MAX_CHECKS_NEEDED + 2


class PathsMachine(RuleBasedStateMachine):
    """Links of one router and of its helpers fail and return; upstreams stop and start.

    An attempt behaves as one of the clients: direct first, then through a helper.
    """

    paths_class = UpstreamPaths

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.paths = self.paths_class(random.Random(1))
        self.up = set(ADDRESSES)
        self.direct = set(ADDRESSES)
        self.helped = {(vm, address) for vm in VMS for address in ADDRESSES}
        self.hangs = False
        self.last_attempt = {}

    @rule(seconds=st.floats(0.01, 3.0))
    def pass_time(self, seconds):
        self.now += seconds
        self.check_due()

    @rule(addresses=st.sets(st.sampled_from(ADDRESSES)), hangs=st.booleans())
    def change_direct_links(self, addresses, hangs):
        self.direct, self.hangs = addresses, hangs

    @rule(vm=st.sampled_from(VMS), addresses=st.sets(st.sampled_from(ADDRESSES)))
    def change_links_of_helper(self, vm, addresses):
        self.helped = {pair for pair in self.helped if pair[0] != vm}
        self.helped |= {(vm, address) for address in addresses}

    @rule(addresses=st.sets(st.sampled_from(ADDRESSES)))
    def change_upstreams(self, addresses):
        self.up = addresses

    @rule(address=st.sampled_from(ADDRESSES))
    def forget(self, address):
        self.paths.forget(address)
        assert self.paths.state(address) is PathState.DIRECT

    @rule(address=st.sampled_from(ADDRESSES))
    def connect(self, address):
        state = self.paths.state(address)
        if state is PathState.UNREACHABLE:
            return
        if state is PathState.DIRECT and self.reaches(address):
            self.paths.record_direct(address, self.now)
            return
        self.connect_through_helper(address)

    @precondition(lambda self: self.up == set(ADDRESSES) == self.direct)
    @rule()
    def let_links_stay(self):
        """With all links back, all paths are direct after a bounded time."""
        for _ in range(ROUNDS):
            self.now += MAX_CHECK_SECONDS
            self.check_due()
        for address in ADDRESSES:
            assert self.paths.state(address) is PathState.DIRECT, address

    @invariant()
    def lost_paths_are_checked_soon(self):
        far = self.now + max(CHECK_SECONDS, MAX_CHECK_SECONDS)
        due = self.paths.checks_due(far)
        for address in ADDRESSES:
            assert self.paths.is_lost(address) == (address in due), address

    @invariant()
    def a_router_that_reaches_an_upstream_is_not_cut_off(self):
        if self.paths.is_cut_off:
            assert len(self.paths.lost_addresses) > 1

    @invariant()
    def helpers_are_asked_once(self):
        helpers = [Helper(vm, vm[0] == "a") for vm in VMS]
        for address in ADDRESSES:
            order = self.paths.helpers_for(address, helpers, self.now)
            assert len(order) == len(set(order)) <= len(VMS)

    def reaches(self, address):
        return address in self.direct and address in self.up

    def check_due(self):
        for address in self.paths.checks_due(self.now):
            if self.reaches(address):
                self.paths.record_direct(address, self.now)
                continue
            before = self.paths.state(address)
            self.paths.record_check_failed(address, self.now, hangs=self.hangs)
            assert self.paths.state(address) is before
            if before is PathState.UNREACHABLE:
                self.connect_through_helper(address)

    def connect_through_helper(self, address):
        helpers = [Helper(vm, vm[0] == "a") for vm in VMS]
        for vm in self.paths.helpers_for(address, helpers, self.now):
            if (vm, address) in self.helped and address in self.up:
                self.paths.record_lost(address, self.now, hangs=self.hangs)
                assert self.paths.state(address) is PathState.LOST
                return
            self.paths.record_refused(vm, address, self.now, is_unreachable=True)
        self.paths.record_unreachable(address, self.now, hangs=self.hangs)
        assert self.paths.state(address) is PathState.UNREACHABLE
