"""Stateful fuzzing of routers that send to a throttled upstream.

Each router makes the real decisions with its own view of which routers are registered,
and its reading of the store's clock is a little behind. Views lag, and one router at a
time, or all of them, are isolated and learn nothing. Processes restart with empty
memory, the upstream changes its limit, and its answers overtake one another.
"""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lynxchute.scheduling.backpressure_news import (
    known_backpressure,
    merge_backpressure,
)
from lynxchute.upstreams.cold_admission import (
    PERMIT_SECONDS,
    TAKE_OVER_SECONDS,
    ColdLimits,
    RankWatch,
)
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.rate_sharing import MostlyCentral, TurnPosition
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.statement import DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream

ROUTERS = 4
SERVICE = "pool"
ENGINE = Upstream("e", SERVICE, "127.0.0.1:1", "a", started_ms=1)
# The guarantee: from GRACE_SECONDS after the upstream first declares a limit, routers
# that know it send at most FACTOR times the limit plus EXTRA requests within any
# SPAN_SECONDS.
GRACE_SECONDS = 3.0
SPAN_SECONDS = 4.0
FACTOR = 1.5
EXTRA = 5
# Seconds after which a router that is not isolated has learned of all membership
# changes.
MAX_VIEW_AGE = TAKE_OVER_SECONDS - 0.3
LIMITS = (0.0, 0.25, 1.0, 1.1, 3.0, 8.0)
# Lag of each router's reading of the store's clock, in milliseconds.
LAGS_MS = (0, 2, 30, 8)
CLOCK_MS = 5_000_000


@attrs.define(eq=False)
class Answer:
    """An answer on its way back to a router.

    Attributes
    ----------
    made_at, at
        Times at which the upstream generates it and the router receives it.
    statement
        Backpressure that the answer declares; None before it is generated.
    """

    made_at: float
    at: float
    number: int
    run: int
    sent_at: float
    statement: DeclaredBackpressure | None = None


@attrs.frozen
class Arrival:
    """A request that reached the upstream from a router that knew its limit."""

    at: float
    number: int


@attrs.define(eq=False)
class Router:
    """One router process: its view of the registered routers, and its decisions."""

    number: int
    run: int
    view: set
    view_updated_at: float
    is_isolated: bool = False
    directory: Directory = attrs.Factory(Directory)
    watch: RankWatch = None
    gate: SendGate = None

    def __attrs_post_init__(self):
        self.watch = RankWatch(self.rank)
        self.directory.clock_ms = self.clock_ms
        rates = RateLimits(
            MostlyCentral(),
            self.watch.held_rank,
            self.position,
            self.clock_ms,
            lambda now: now - self.view_updated_at,
        )
        self.gate = SendGate(Evacuations(), lambda name: ColdLimits(), rates)

    def rank(self, service):
        return sorted(self.view | {self.number}).index(self.number)

    def position(self, service):
        return TurnPosition(self.rank(service), len(self.view | {self.number}))

    def clock_ms(self, now):
        return int(now * 1000) + CLOCK_MS - LAGS_MS[self.number]

    @property
    def entry(self):
        return self.directory.entries_by_id["e"]

    def refresh(self, now):
        self.watch.refresh([SERVICE], now)


class BackpressureMachine(RuleBasedStateMachine):
    """Check that a throttled upstream receives no more than its limit permits."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.runs = 0
        self.registered = set()
        self.routers = {}
        self.limit = None
        self.limited_since = None
        self.limits = []
        self.arrivals = []
        self.answers = []
        self.informed = set()

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
        self.runs += 1
        self.informed.discard(number)
        router = Router(number, self.runs, set(self.registered), self.now)
        router.directory.put(ENGINE, self.now)
        self.routers[number] = router
        router.refresh(self.now)

    @rule(number=st.integers(0, ROUTERS - 1))
    def isolate(self, number):
        if any(router.is_isolated for router in self.routers.values()):
            return
        if number in self.routers:
            self.routers[number].is_isolated = True

    @rule()
    def isolate_all(self):
        """Disconnect all routers from one another."""
        for router in self.routers.values():
            self.refresh_view(router)
            router.is_isolated = True

    @rule()
    def reconnect(self):
        for router in self.routers.values():
            if router.is_isolated:
                router.is_isolated = False
                self.refresh_view(router)

    @rule(limit=st.sampled_from(LIMITS))
    def set_limit(self, limit):
        if self.limit is None:
            self.limited_since = self.now
        self.limit = limit
        self.limits.append((self.now, limit))

    @rule()
    def clear_limit(self):
        self.limit = self.limited_since = None
        self.limits = []
        self.informed = set()

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 3.0, 20.0)))
    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.step()

    @rule(
        seconds=st.sampled_from((0.5, 2.0, 5.0, 9.0)),
        delay=st.sampled_from((0.02, 0.3, 1.5)),
        transit=st.sampled_from((0.0, 0.0, 0.6, 3.5)),
    )
    def send_load(self, seconds, delay, transit=0.0):
        """Give every router a request in each step."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            for router in list(self.routers.values()):
                # Answers differ in their transit time.
                late = transit if router.number % 2 == int(self.now * 10) % 2 else 0.0
                self.place_and_send(router, delay, late)
            self.step()

    @rule(limit=st.sampled_from(LIMITS), idle=st.sampled_from((0.0, 0.0, 20.0)))
    def send_load_at_limit(self, limit, idle):
        """Declare a limit to all routers, then send them requests."""
        self.reconnect()
        self.set_limit(limit)
        self.send_load(GRACE_SECONDS + 0.5, 0.02)
        self.advance(idle)
        self.send_load(SPAN_SECONDS + 1.0, 0.02)

    @rule()
    def deliver_answers_out_of_order(self):
        """Deliver answers with a higher limit long after it was lowered."""
        self.reconnect()
        self.set_limit(8.0)
        self.send_load(SPAN_SECONDS, 0.02, transit=9.0)
        self.set_limit(1.0)
        self.send_load(9.0, 0.02)

    @rule(limit=st.sampled_from(LIMITS))
    def send_load_while_all_are_isolated(self, limit):
        self.send_load_at_limit(limit, 0.0)
        self.isolate_all()
        self.send_load(SPAN_SECONDS + 2.0, 0.02)
        self.reconnect()

    @rule(limit=st.sampled_from(LIMITS))
    def send_load_with_two_rank_zero_routers(self, limit):
        """Isolate the rank-0 router while another one takes over its rank."""
        self.send_load_at_limit(limit, 0.0)
        self.registered.discard(0)
        for router in self.routers.values():
            self.refresh_view(router)
        del self.routers[0]
        self.send_load(TAKE_OVER_SECONDS, 0.02)
        self.isolate(1)
        self.start(0)
        self.send_load(TAKE_OVER_SECONDS + SPAN_SECONDS, 0.02)
        self.reconnect()

    @rule(times=st.integers(2, 12))
    def send_load_between_restarts(self, times):
        """Restart sending routers repeatedly."""
        for _ in range(times):
            for number in range(1, ROUTERS):
                self.start(number)
            self.send_load(0.4, 0.02)

    @rule(number=st.integers(0, ROUTERS - 1))
    def share_with_all(self, number):
        """Let one router share its known backpressure with the others."""
        sender = self.routers[number]
        for router in self.routers.values():
            self.share_backpressure(sender, router)

    def step(self):
        self.now += 0.1
        for answer in self.answers:
            if answer.statement is None and answer.made_at <= self.now:
                answer.statement = DeclaredBackpressure(self.limit)
        due = [answer for answer in self.answers if answer.at <= self.now]
        self.answers = [answer for answer in self.answers if answer.at > self.now]
        for answer in due:
            self.deliver(answer)
        for router in self.routers.values():
            if (
                not router.is_isolated
                and self.now - router.view_updated_at >= MAX_VIEW_AGE
            ):
                self.refresh_view(router)

    def refresh_view(self, router):
        router.view, router.view_updated_at = set(self.registered), self.now
        router.refresh(self.now)

    def share_backpressure(self, sender, router):
        if sender is router or sender.is_isolated or router.is_isolated:
            return
        shared = known_backpressure(sender.directory, SERVICE, self.now)
        merge_backpressure(router.directory, shared, self.now)

    def place_and_send(self, router, delay, transit):
        """Give a router one request, which it sends if it may."""
        asked_at, rate_permit_until = self.now, 0.0
        central = self.central_router_of(router)
        self.share_backpressure(router, central)
        self.share_backpressure(central, router)
        rates, entry = router.gate.rates, router.entry
        if rates.is_limited(entry, asked_at) and not rates.has_turn(entry, asked_at):
            if not central.gate.rates.admit(central.entry, asked_at):
                return
            rate_permit_until = asked_at + PERMIT_SECONDS
        self.send(router, delay, transit, rate_permit_until)

    def central_router_of(self, router):
        """Return the router of lowest rank that a router can reach in its view."""
        for number in sorted(router.view | {router.number}):
            other = self.routers.get(number)
            if other is None:
                continue
            if other is router or not (other.is_isolated or router.is_isolated):
                return other
        return router

    def send(self, router, delay, transit, rate_permit_until):
        withheld = router.gate.withheld_reason(
            router.entry,
            cold_permit_until=0.0,
            rate_permit_until=rate_permit_until,
            now=self.now,
        )
        if withheld is not None:
            return
        if (
            router.entry.backpressure.limit is not None
            or router.number in self.informed
        ):
            self.arrivals.append(Arrival(self.now, router.number))
        made_at = self.now + delay
        self.answers.append(
            Answer(made_at, made_at + transit, router.number, router.run, self.now)
        )

    def deliver(self, answer):
        router = self.routers[answer.number]
        if router.run != answer.run:
            return
        router.directory.record_declaration(
            router.entry, answer.statement, asked_at=answer.sent_at, now=self.now
        )
        if self.limit is not None and answer.statement.limit is not None:
            self.informed.add(answer.number)

    @invariant()
    def limit_is_kept(self):
        if self.limited_since is None:
            return
        since = self.limited_since + GRACE_SECONDS
        bound = [a.at for a in self.arrivals if a.at >= since]
        for index, begin in enumerate(bound):
            within = [at for at in bound[index:] if at < begin + SPAN_SECONDS]
            most = FACTOR * SPAN_SECONDS * self.highest_limit(begin, within[-1]) + EXTRA
            assert len(within) <= int(most), f"limit passed: {len(within)} of {most}"

    def highest_limit(self, begin, end):
        """Return the highest limit that applies in a span, grace periods included."""
        in_effect = [limit for at, limit in self.limits if at < end]
        before = [at for at, _ in self.limits if at <= begin - GRACE_SECONDS]
        return max(in_effect[max(len(before) - 1, 0) :])
