"""Stateful fuzzing of routers that place requests at a cold upstream.

Each router makes the real decisions with its own view of which routers are registered.
Views lag, one router at a time is isolated and learns nothing, processes restart with
empty memory, and a router other than the rank-0 router may do the placing.
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
from tests.support import unlimited_rates

ROUTERS = 4
LIMITS = ColdLimits(start_seconds=3.0, per_second=6.6, factor=1.5, extra=5.0)
SERVICE = "pool"
ENGINE = Upstream("e", SERVICE, "127.0.0.1:1", "a", started_ms=1)
# Seconds after which a router that is not isolated has learned of all membership
# changes.
MAX_VIEW_AGE = TAKE_OVER_SECONDS - 0.3
STEPS = (0.0, 0.01, 0.05, 0.2, 0.3, 0.5, 1.0)


@attrs.frozen
class PlacedSend:
    """A placed request that is sent a little later."""

    at: float
    sender: int
    asked_at: float
    is_counted: bool


@attrs.define(eq=False)
class Router:
    """One router process: its view of the registered routers, and its decisions."""

    number: int
    view: set
    view_updated_at: float
    is_isolated: bool = False
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
    """Check the limit of a cold upstream that all senders know to be cold."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.registered = set()
        self.routers = {}
        self.cold_since, self.cold_until = 0.0, 0.0
        self.arrivals = []
        self.informed = set()
        self.waiting = []
        self.gate = SendGate(Evacuations(), lambda name: LIMITS, unlimited_rates())

    @initialize()
    def begin(self):
        self.registered = set(range(ROUTERS))
        for number in range(ROUTERS):
            self.start(number)
        self.advance(TAKE_OVER_SECONDS)

    @rule(number=st.integers(0, ROUTERS - 1))
    def start(self, number):
        """Start a new process; it reads the registered routers before it serves."""
        self.registered.add(number)
        router = Router(number, set(self.registered), self.now)
        router.directory.put(ENGINE, self.now)
        router.entry.extend_cold(self.cold_until - self.now, self.now)
        self.routers[number] = router
        self.informed.add(number)
        router.refresh(self.now)

    @rule(number=st.integers(0, ROUTERS - 1))
    def stop(self, number):
        if len(self.registered) > 1:
            self.registered.discard(number)
            self.routers.pop(number, None)

    @rule(number=st.integers(0, ROUTERS - 1))
    def isolate(self, number):
        if any(router.is_isolated for router in self.routers.values()):
            return
        if number in self.routers:
            self.routers[number].is_isolated = True

    @rule()
    def reconnect(self):
        for router in self.routers.values():
            if router.is_isolated:
                router.is_isolated = False
                self.refresh_view(router)

    @rule(seconds=st.sampled_from(STEPS))
    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 0.1, end)
            self.send_due()
            for router in self.routers.values():
                if (
                    not router.is_isolated
                    and self.now - router.view_updated_at >= MAX_VIEW_AGE
                ):
                    self.refresh_view(router)

    @rule(number=st.integers(0, ROUTERS - 1))
    def refresh_view_now(self, number):
        router = self.routers.get(number)
        if router is not None and not router.is_isolated:
            self.refresh_view(router)

    def refresh_view(self, router):
        router.view, router.view_updated_at = set(self.registered), self.now
        router.refresh(self.now)

    @precondition(lambda self: self.now >= self.cold_until)
    @rule(aware=st.sets(st.integers(0, ROUTERS - 1)))
    def restart_upstream(self, aware):
        """Restart the upstream cold; some routers learn of it at once."""
        self.advance(0.01)
        self.cold_since = self.now
        self.cold_until = self.now + LIMITS.start_seconds
        self.informed = set(aware)
        for number, router in self.routers.items():
            if number in aware:
                router.entry.extend_cold(LIMITS.start_seconds, self.now)

    @rule(number=st.integers(0, ROUTERS - 1), seconds=st.floats(0.0, 2.0))
    def deliver_late_report(self, number, seconds):
        """Deliver an outdated report of the remaining warm-up time."""
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
        """Place requests at one router and send them by another a little later."""
        if by not in self.routers:
            return
        placing = self.routers[by]
        for _ in range(count):
            if placing.cold.admissible_entries([placing.entry], self.now):
                is_counted = placing.cold.record_placement(placing.entry, self.now)
                send = PlacedSend(self.now + delay, sender, self.now, is_counted)
                self.waiting.append(send)
        self.send_due()

    @rule(number=st.integers(0, ROUTERS - 1), times=st.integers(1, 3))
    def place_between_restarts(self, number, times):
        """Restart the placing router repeatedly while it places requests."""
        for _ in range(times):
            self.place(number, number, 20, 0.0)
            self.start(number)

    @rule()
    def deliver_late_reports_to_all(self):
        """Deliver an outdated report to all routers; each then places requests."""
        for number in self.routers:
            self.deliver_late_report(number, 0.1)
        self.advance(0.2)
        for number in list(self.routers):
            self.place(number, number, 20, 0.0)

    @precondition(lambda self: self.now >= self.cold_until)
    @rule()
    def send_all_at_once(self):
        """Send requests that were placed over a while at the same moment."""
        self.restart_upstream(set(range(ROUTERS)))
        first = min(self.routers)
        for delay in (2.6, 1.3, 0.0):
            self.place(first, first, 20, delay)
            self.advance(1.3)

    @rule()
    def have_two_rank_zero_routers(self):
        """Isolate the rank-0 router while another one takes over its rank."""
        self.reconnect()
        first = min(self.registered)
        self.stop(first)
        for router in self.routers.values():
            self.refresh_view(router)
        self.advance(TAKE_OVER_SECONDS)
        second = min(self.routers)
        self.isolate(second)
        self.start(first)
        self.advance(TAKE_OVER_SECONDS + 0.1)

    def send_due(self):
        """Send the placed requests that are due, if the senders' gates permit it."""
        due = [send for send in self.waiting if send.at <= self.now]
        self.waiting = [send for send in self.waiting if send.at > self.now]
        for send in due:
            if send.sender not in self.routers:
                continue
            entry = self.routers[send.sender].entry
            if send.sender not in self.informed:
                # The sender has learned by now that the upstream is cold, maybe after
                # it requested the placement.
                self.informed.add(send.sender)
                entry.extend_cold(self.cold_until - self.now, self.now)
            permit = send.asked_at + PERMIT_SECONDS if send.is_counted else 0.0
            if (
                self.gate.withheld_reason(entry, cold_permit_until=permit, now=self.now)
                is None
            ):
                self.arrivals.append(self.now)

    @invariant()
    def limit_is_kept(self):
        cold = [t for t in self.arrivals if self.cold_since <= t < self.cold_until]
        for index, begin in enumerate(cold):
            within = [t for t in cold[index:] if t < begin + 1.0]
            assert len(within) <= LIMITS.max_per_second, (
                f"cold rate: {len(within)} in a second"
            )
