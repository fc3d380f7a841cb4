"""Streams are taken up at routers that are out of step with the software versions.

Routers are cut off from the store and from one another, stand still and start anew
while versions join, leave and come back. Streams begin only where a router may begin
them.
"""

import enum

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.origins_machine import MAX_AGE, SERVICE
from tests.out_of_step_fleet import STEP_SECONDS, OutOfStepFleet

VERSIONS = ("v1", "v2", "v3", "v4")
MAX_ENGINES = 6
ROUTERS = st.integers(0, 17)
SLOW_HOPS = (0.1, 0.25, 0.5)
MAX_JOINED = 2
DELAYS = st.sampled_from((0.01, 0.3, 0.6, 1.0, 2.0))
# Seconds that a stream which is taken up may wait.
LATE_SECONDS = 3.0


class Cut(enum.Enum):
    """Which routers are cut off."""

    ONE, TWO, DATA_CENTRE, ALL, PAIR = range(5)


# Which routers are cut off, whether from the store, and whether from the others.
CUTS = (
    (Cut.ONE, True, True),
    (Cut.TWO, True, True),
    (Cut.DATA_CENTRE, True, True),
    (Cut.ONE, True, False),
    (Cut.ALL, True, False),
    (Cut.ONE, False, True),
    (Cut.PAIR, False, True),
)


class Fault(enum.Enum):
    """What may happen to a router."""

    STANDS_STILL, SLOW_STORE, HEARS_NO_CHANGE = range(3)
    STARTS_ANEW, ALL_START_ANEW, JOINS = range(3, 6)


class OutOfStepMachine(OutOfStepFleet, RuleBasedStateMachine):
    """Check that no stream goes on at another version than the one that began it."""

    COUNT = 4

    @initialize()
    def start(self):
        for number in range(self.COUNT):
            self.start_router(f"{'ab'[number % 2]}-{number}")
        for _ in range(3):
            self.start_engine("v1")
        self.pass_time(1.5)

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.3, 1.0, 2.0, 10.0, 60.0)))
    def advance(self, seconds):
        self.pass_time(seconds)

    # Versions.

    @rule(version=st.sampled_from(VERSIONS), is_followed=st.booleans())
    def join(self, version, is_followed):
        """Let an engine join, and the routers in touch hear of it."""
        if len(self.live_engines()) < MAX_ENGINES:
            self.start_engine(version)
        if is_followed:
            self.pass_time(2 * STEP_SECONDS)

    @rule(number=st.integers(0, MAX_ENGINES - 1), version=st.sampled_from(VERSIONS))
    def replace(self, number, version):
        """Let an engine leave, or all for those of one version."""
        engines = self.live_engines()
        if number < len(engines) - 1:
            self.stop_engine(engines[number])
            return
        for engine in engines:
            self.stop_engine(engine)
        self.start_engine(version)

    # Faults.

    @rule(cut=st.sampled_from(CUTS), number=ROUTERS, other=ROUTERS)
    def cut(self, cut, number, other):
        """Cut routers off from the store, from the other routers or from both."""
        vms = {
            Cut.ONE: {self.vm(number)},
            Cut.TWO: {self.vm(number), self.vm(other)},
            Cut.DATA_CENTRE: {vm for vm in self.routers if vm.startswith("b")},
            Cut.ALL: set(self.routers),
            Cut.PAIR: {self.vm(number)},
        }[cut[0]]
        if cut[1]:
            self.store_cuts |= vms
        if cut[0] is Cut.PAIR:
            self.cuts.add(frozenset((self.vm(number), self.vm(other))))
        elif cut[2]:
            for vm in vms:
                for peer in set(self.routers) - vms:
                    self.cuts.add(frozenset((vm, peer)))

    @rule(number=ROUTERS, is_all=st.booleans())
    def heal(self, number, is_all):
        """Let one router or all reach the store and all others again."""
        vms = set(self.routers) if is_all else {self.vm(number)}
        self.store_cuts -= vms
        self.cuts = {pair for pair in self.cuts if not pair & vms}
        for vm in vms:
            self.healed_at[vm] = self.loop.now
            self.store_hops.pop(vm, None)
            self.routers[vm].awake.set()

    @rule(fault=st.sampled_from(Fault), number=ROUTERS)
    def disturb(self, fault, number):
        """Let a router stand still, start anew, or get answers late or incomplete."""
        router = self.routers[self.vm(number)]
        if fault is Fault.STANDS_STILL:
            router.awake.clear()
        elif fault is Fault.SLOW_STORE:
            self.store_hops[router.vm] = SLOW_HOPS[number % len(SLOW_HOPS)]
        elif fault is Fault.HEARS_NO_CHANGE and router.vm not in self.store_cuts:
            router.answered_at = self.loop.now
        elif fault is Fault.STARTS_ANEW:
            self.restart([router.vm])
        elif fault is Fault.ALL_START_ANEW:
            self.restart(list(self.routers))
        elif fault is Fault.JOINS and len(self.routers) < self.COUNT + MAX_JOINED:
            self.start_router(f"{'ab'[number % 2]}-{100 + self.incarnations}")

    def restart(self, vms):
        for vm in vms:
            self.routers[vm].kill()
            self.start_router(vm)

    # Streams.

    @rule(engine=st.integers(0, MAX_ENGINES - 1), is_over=st.booleans())
    def begin(self, engine, is_over):
        """Begin a stream at each router, at one of the newest engines it knows."""
        for router in self.routers.values():
            ids = router.directory.registered_ids(SERVICE)
            if not router.is_registered or not ids:
                continue
            entry = router.directory.entries_by_id[ids[-1 - engine % len(ids)]]
            self.attempts += 1
            self.spawn(self.begin_at(router, entry, f"q{self.attempts}"))
        self.pass_time(0.1 if is_over else 0.003)

    @rule(
        cut=st.sampled_from(CUTS),
        number=ROUTERS,
        other=ROUTERS,
        version=st.sampled_from(VERSIONS),
        delays=st.tuples(DELAYS, DELAYS),
    )
    def release_beside_a_cut(self, cut, number, other, version, delays):
        """Let streams of a joining version be taken up at routers that are cut off."""
        self.cut(cut, number, other)
        self.join(version, is_followed=True)
        self.pass_time(delays[0])
        self.begin(0, is_over=True)
        self.pass_time(delays[1])
        self.take_up(0, is_over=True)

    @rule(engine=st.integers(0, MAX_ENGINES - 1), delays=st.tuples(DELAYS, DELAYS))
    def begin_before_all_start_anew(self, engine, delays):
        """Let streams be taken up after all routers have started anew."""
        self.begin(engine, is_over=True)
        self.pass_time(delays[0])
        self.restart(list(self.routers))
        self.pass_time(delays[1])
        for stream in range(3):
            self.take_up(stream, is_over=False)
        self.pass_time(1.0)

    @rule(stream=st.integers(0, 9), is_over=st.booleans())
    def take_up(self, stream, is_over):
        """Take one of the last streams up at each router, and go on where it may."""
        if not self.streams:
            return
        found = self.streams[-1 - stream % len(self.streams)]
        if self.loop.now - found.began_at < MAX_AGE - LATE_SECONDS:
            for router in self.routers.values():
                self.spawn(self.take_up_at(router, found))
        self.pass_time(1.0 if is_over else 0.003)


class EightRoutersMachine(OutOfStepMachine):
    COUNT = 8


class ManyRoutersMachine(OutOfStepMachine):
    """More routers than may know where a stream began."""

    COUNT = 18
