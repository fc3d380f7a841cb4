"""Routers that place requests at a cold upstream, with what they know of one another.

Each router has the real decisions and a view of who is registered. Views lag, one
router at a time is cut off and hears nothing, processes restart with nothing in
memory, and some other router than the one that counts may do the placing.
"""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.upstreams.cold_admission import (
    PERMIT_SECONDS,
    TAKE_OVER_SECONDS,
    ColdLimits,
    FirstRegistered,
    RankWatch,
)
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream
from tests.support import no_limits_kept

ROUTERS = 4
LIMITS = ColdLimits(start_seconds=3.0, per_second=6.6, factor=1.5, extra=5.0)
SERVICE = "pool"
ENGINE = Upstream("e", SERVICE, "127.0.0.1:1", "a", started_ms=1)
# A router that is not cut off has heard of the others' comings and goings by then.
HEARS_WITHIN = TAKE_OVER_SECONDS - 0.3
STEPS = (0.0, 0.01, 0.05, 0.2, 0.3, 0.5, 1.0)


@attrs.frozen
class PlacedSend:
    """A request that has a place and is sent a little later."""

    at: float
    sender: int
    asked_at: float
    is_counted: bool


@attrs.define(eq=False)
class Router:
    """One process: its view of who is registered, and its decisions."""

    number: int
    view: set
    heard_at: float
    is_cut: bool = False
    cold: ColdPlacementLimiter = None
    directory: Directory = attrs.Factory(Directory)

    def __attrs_post_init__(self):
        watch = RankWatch(self.rank)
        self.cold = ColdPlacementLimiter(FirstRegistered(), watch, lambda name: LIMITS)

    def rank(self, service):
        return sorted(self.view | {self.number}).index(self.number)

    @property
    def entry(self):
        return self.directory.entries_by_id["e"]

    def refresh(self, now):
        self.cold.refresh([SERVICE], now)


class ColdMachine(RuleBasedStateMachine):
    """Check that an upstream that all senders know as cold gets what it bears."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.registered = set()
        self.routers = {}
        self.cold_since, self.cold_until = 0.0, 0.0
        self.arrivals = []
        self.told = set()
        self.waiting = []
        self.gate = SendGate(Evacuations(), lambda name: LIMITS, no_limits_kept())

    @initialize()
    def begin(self):
        self.registered = set(range(ROUTERS))
        for number in range(ROUTERS):
            self.start(number)
        self.advance(TAKE_OVER_SECONDS)

    @rule(number=st.integers(0, ROUTERS - 1))
    def start(self, number):
        """Begin a new process; it reads who is registered before it serves."""
        self.registered.add(number)
        router = Router(number, set(self.registered), self.now)
        router.directory.put(ENGINE, self.now)
        router.entry.extend_cold(self.cold_until - self.now, self.now)
        self.routers[number] = router
        self.told.add(number)
        router.refresh(self.now)

    @rule(number=st.integers(0, ROUTERS - 1))
    def leave(self, number):
        if len(self.registered) > 1:
            self.registered.discard(number)
            self.routers.pop(number, None)

    @rule(number=st.integers(0, ROUTERS - 1))
    def cut(self, number):
        if any(router.is_cut for router in self.routers.values()):
            return
        if number in self.routers:
            self.routers[number].is_cut = True

    @rule()
    def heal(self):
        for router in self.routers.values():
            if router.is_cut:
                router.is_cut = False
                self.hear(router)

    @rule(seconds=st.sampled_from(STEPS))
    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 0.1, end)
            self.send_due()
            for router in self.routers.values():
                if not router.is_cut and self.now - router.heard_at >= HEARS_WITHIN:
                    self.hear(router)

    @rule(number=st.integers(0, ROUTERS - 1))
    def hear_now(self, number):
        router = self.routers.get(number)
        if router is not None and not router.is_cut:
            self.hear(router)

    def hear(self, router):
        router.view, router.heard_at = set(self.registered), self.now
        router.refresh(self.now)

    @precondition(lambda self: self.now >= self.cold_until)
    @rule(knows=st.sets(st.integers(0, ROUTERS - 1)))
    def start_upstream(self, knows):
        """Let the upstream grow cold; some routers know at once."""
        self.advance(0.01)
        self.cold_since = self.now
        self.cold_until = self.now + LIMITS.start_seconds
        self.told = set(knows)
        for number, router in self.routers.items():
            if number in knows:
                router.entry.extend_cold(LIMITS.start_seconds, self.now)

    @rule(number=st.integers(0, ROUTERS - 1), seconds=st.floats(0.0, 2.0))
    def tell_late(self, number, seconds):
        """Bring an old word of how long the upstream is cold."""
        if number in self.routers:
            self.routers[number].directory.put(
                attrs.evolve(ENGINE, warm_up=seconds), self.now
            )

    @rule(
        by=st.integers(0, ROUTERS - 1),
        sender=st.integers(0, ROUTERS - 1),
        count=st.integers(1, 20),
        delay=st.sampled_from((0.0, 0.1, 0.2, PERMIT_SECONDS, 0.6, 1.3, 2.6)),
    )
    def place(self, by, sender, count, delay):
        """Have requests placed by one router and sent by another a little later."""
        if by not in self.routers:
            return
        placing = self.routers[by]
        for _ in range(count):
            if placing.cold.admissible_entries([placing.entry], self.now):
                counted = placing.cold.record_placement(placing.entry, self.now)
                send = PlacedSend(self.now + delay, sender, self.now, counted)
                self.waiting.append(send)
        self.send_due()

    @rule(number=st.integers(0, ROUTERS - 1), times=st.integers(1, 3))
    def place_with_each_start(self, number, times):
        """Let a router that counts be replaced again and again as it places."""
        for _ in range(times):
            self.place(number, number, 20, 0.0)
            self.start(number)

    @rule()
    def tell_all_late(self):
        """Bring all routers an old word, and have some of them place at once."""
        for number in self.routers:
            self.tell_late(number, 0.1)
        self.advance(0.2)
        for number in list(self.routers):
            self.place(number, number, 20, 0.0)

    @precondition(lambda self: self.now >= self.cold_until)
    @rule()
    def send_all_at_once(self):
        """Let what was placed over a while be sent at one moment."""
        self.start_upstream(set(range(ROUTERS)))
        first = min(self.routers)
        for delay in (2.6, 1.3, 0.0):
            self.place(first, first, 20, delay)
            self.advance(1.3)

    @rule()
    def let_two_count(self):
        """Let a router that is cut off not hear of the one that is first by now."""
        self.heal()
        first = min(self.registered)
        self.leave(first)
        for router in self.routers.values():
            self.hear(router)
        self.advance(TAKE_OVER_SECONDS)
        second = min(self.routers)
        self.cut(second)
        self.start(first)
        self.advance(TAKE_OVER_SECONDS + 0.1)

    def send_due(self):
        """Send what is due, as far as the senders' gates let it."""
        due = [send for send in self.waiting if send.at <= self.now]
        self.waiting = [send for send in self.waiting if send.at > self.now]
        for send in due:
            if send.sender not in self.routers:
                continue
            entry = self.routers[send.sender].entry
            if send.sender not in self.told:
                # It has heard by now that the upstream is cold, maybe after it asked.
                self.told.add(send.sender)
                entry.extend_cold(self.cold_until - self.now, self.now)
            permit = send.asked_at + PERMIT_SECONDS if send.is_counted else 0.0
            if (
                self.gate.withheld_reason(entry, permit_until=permit, now=self.now)
                is None
            ):
                self.arrivals.append(self.now)

    @invariant()
    def no_more_than_it_bears(self):
        cold = [t for t in self.arrivals if self.cold_since <= t < self.cold_until]
        for index, begin in enumerate(cold):
            within = [t for t in cold[index:] if t < begin + 1.0]
            assert len(within) <= LIMITS.max_per_second, (
                f"cold rate: {len(within)} in a second"
            )
