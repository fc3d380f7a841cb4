"""Routers that send to a throttled upstream, with what they know of it and of others.

Each router has the real decisions, a view of who is registered, and a store's clock
that is a little behind. Views lag, one router at a time is cut off and hears nothing,
then all of them are; processes start again with nothing in memory; the upstream changes
what it names, and its answers overtake one another.
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
from lynxchute.upstreams.statement import Statement
from lynxchute.upstreams.upstream import Upstream

ROUTERS = 4
SERVICE = "pool"
ENGINE = Upstream("e", SERVICE, "127.0.0.1:1", "a", started_ms=1)
# The promise: from so long after the upstream has begun to name a limit, it gets within
# any span no more than so many times what that allows, and some on top, from routers
# that know of it.
CONTACT_SECONDS = 3.0
SPAN_SECONDS = 4.0
FACTOR = 1.5
EXTRA = 5
# A router that is not cut off has heard of the others' comings and goings by then.
HEARS_WITHIN = TAKE_OVER_SECONDS - 0.3
LIMITS = (0.0, 0.25, 1.0, 1.1, 3.0, 8.0)
# Milliseconds by which a router takes the store's clock to be earlier than it is.
LAGS_MS = (0, 2, 30, 8)
CLOCK_MS = 5_000_000


@attrs.define(eq=False)
class Answer:
    """An answer on its way back to a router.

    Attributes
    ----------
    made_at, at
        When the upstream makes it, and when it comes.
    statement
        What it states; None before it is made.
    """

    made_at: float
    at: float
    number: int
    run: int
    sent_at: float
    statement: Statement | None = None


@attrs.frozen
class Arrival:
    """A request that reached the upstream from a router that knew of its limit."""

    at: float
    number: int


@attrs.define(eq=False)
class Router:
    """One process: its view of who is registered, and its decisions."""

    number: int
    run: int
    view: set
    heard_at: float
    is_cut: bool = False
    directory: Directory = attrs.Factory(Directory)
    watch: RankWatch = None
    gate: SendGate = None

    def __attrs_post_init__(self):
        self.watch = RankWatch(self.rank)
        self.directory.clock_ms = self.clock_ms
        rates = RateLimits(
            MostlyCentral(),
            self.watch.held_rank,
            self.seat,
            self.clock_ms,
            lambda now: now - self.heard_at,
        )
        self.gate = SendGate(Evacuations(), lambda name: ColdLimits(), rates)

    def rank(self, service):
        return sorted(self.view | {self.number}).index(self.number)

    def seat(self, service):
        return TurnPosition(self.rank(service), len(self.view | {self.number}))

    def clock_ms(self, now):
        return int(now * 1000) + CLOCK_MS - LAGS_MS[self.number]

    @property
    def entry(self):
        return self.directory.entries_by_id["e"]

    def refresh(self, now):
        self.watch.refresh([SERVICE], now)


class BackpressureMachine(RuleBasedStateMachine):
    """Check that a throttled upstream gets what it names."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.runs = 0
        self.registered = set()
        self.routers = {}
        self.limit = None
        self.named_at = None
        self.limits = []
        self.arrivals = []
        self.answers = []
        self.told = set()

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
        self.runs += 1
        self.told.discard(number)
        router = Router(number, self.runs, set(self.registered), self.now)
        router.directory.put(ENGINE, self.now)
        self.routers[number] = router
        router.refresh(self.now)

    @rule(number=st.integers(0, ROUTERS - 1))
    def cut(self, number):
        if any(router.is_cut for router in self.routers.values()):
            return
        if number in self.routers:
            self.routers[number].is_cut = True

    @rule()
    def cut_all(self):
        """Let no router reach another one."""
        for router in self.routers.values():
            self.hear(router)
            router.is_cut = True

    @rule()
    def heal(self):
        for router in self.routers.values():
            if router.is_cut:
                router.is_cut = False
                self.hear(router)

    @rule(limit=st.sampled_from(LIMITS))
    def name(self, limit):
        if self.limit is None:
            self.named_at = self.now
        self.limit = limit
        self.limits.append((self.now, limit))

    @rule()
    def name_none(self):
        self.limit = self.named_at = None
        self.limits = []
        self.told = set()

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
    def press(self, seconds, delay, transit=0.0):
        """Have every router sent a request in each moment."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            for router in list(self.routers.values()):
                # Not all answers take as long on their way.
                late = transit if router.number % 2 == int(self.now * 10) % 2 else 0.0
                self.ask(router, delay, late)
            self.step()

    @rule(limit=st.sampled_from(LIMITS), idle=st.sampled_from((0.0, 0.0, 20.0)))
    def press_at(self, limit, idle):
        """Have the upstream name a limit that all hear of, and press it then."""
        self.heal()
        self.name(limit)
        self.press(CONTACT_SECONDS + 0.5, 0.02)
        self.advance(idle)
        self.press(SPAN_SECONDS + 1.0, 0.02)

    @rule()
    def let_answers_overtake(self):
        """Have answers that state a higher limit come long after it was lowered."""
        self.heal()
        self.name(8.0)
        self.press(SPAN_SECONDS, 0.02, transit=9.0)
        self.name(1.0)
        self.press(9.0, 0.02)

    @rule(limit=st.sampled_from(LIMITS))
    def press_where_nobody_reaches_another(self, limit):
        self.press_at(limit, 0.0)
        self.cut_all()
        self.press(SPAN_SECONDS + 2.0, 0.02)
        self.heal()

    @rule(limit=st.sampled_from(LIMITS))
    def press_while_two_take_themselves_for_the_first(self, limit):
        """Have the first router not hear of the one that becomes the first."""
        self.press_at(limit, 0.0)
        self.registered.discard(0)
        for router in self.routers.values():
            self.hear(router)
        del self.routers[0]
        self.press(TAKE_OVER_SECONDS, 0.02)
        self.cut(1)
        self.start(0)
        self.press(TAKE_OVER_SECONDS + SPAN_SECONDS, 0.02)
        self.heal()

    @rule(times=st.integers(2, 12))
    def press_with_starts(self, times):
        """Have routers that send start again and again."""
        for _ in range(times):
            for number in range(1, ROUTERS):
                self.start(number)
            self.press(0.4, 0.02)

    @rule(number=st.integers(0, ROUTERS - 1))
    def tell(self, number):
        """Have one router tell the others what it has heard."""
        teller = self.routers[number]
        for router in self.routers.values():
            self.exchange(teller, router)

    def step(self):
        self.now += 0.1
        for answer in self.answers:
            if answer.statement is None and answer.made_at <= self.now:
                answer.statement = Statement(self.limit)
        due = [answer for answer in self.answers if answer.at <= self.now]
        self.answers = [answer for answer in self.answers if answer.at > self.now]
        for answer in due:
            self.deliver(answer)
        for router in self.routers.values():
            if not router.is_cut and self.now - router.heard_at >= HEARS_WITHIN:
                self.hear(router)

    def hear(self, router):
        router.view, router.heard_at = set(self.registered), self.now
        router.refresh(self.now)

    def exchange(self, teller, router):
        if teller is router or teller.is_cut or router.is_cut:
            return
        told = known_backpressure(teller.directory, SERVICE, self.now)
        merge_backpressure(router.directory, told, self.now)

    def ask(self, router, delay, transit):
        """Have a router sent one request, and send it where it may."""
        asked_at, admitted_until = self.now, 0.0
        first = self.first_for(router)
        self.exchange(router, first)
        self.exchange(first, router)
        rates, entry = router.gate.rates, router.entry
        if rates.is_limited(entry, asked_at) and not rates.has_turn(entry, asked_at):
            if not first.gate.rates.admit(first.entry, asked_at):
                return
            admitted_until = asked_at + PERMIT_SECONDS
        self.send(router, delay, transit, admitted_until)

    def first_for(self, router):
        """Return whom a router takes for the first one of those that it reaches."""
        for number in sorted(router.view | {router.number}):
            other = self.routers.get(number)
            if other is None:
                continue
            if other is router or not (other.is_cut or router.is_cut):
                return other
        return router

    def send(self, router, delay, transit, admitted_until):
        withheld = router.gate.withheld_reason(
            router.entry,
            permit_until=0.0,
            admitted_until=admitted_until,
            now=self.now,
        )
        if withheld is not None:
            return
        if router.entry.backpressure.limit is not None or router.number in self.told:
            self.arrivals.append(Arrival(self.now, router.number))
        made_at = self.now + delay
        self.answers.append(
            Answer(made_at, made_at + transit, router.number, router.run, self.now)
        )

    def deliver(self, answer):
        router = self.routers[answer.number]
        if router.run != answer.run:
            return
        router.directory.record_statement(
            router.entry, answer.statement, asked_at=answer.sent_at, now=self.now
        )
        if self.limit is not None and answer.statement.limit is not None:
            self.told.add(answer.number)

    @invariant()
    def no_more_than_it_names(self):
        if self.named_at is None:
            return
        since = self.named_at + CONTACT_SECONDS
        bound = [a.at for a in self.arrivals if a.at >= since]
        for index, begin in enumerate(bound):
            within = [at for at in bound[index:] if at < begin + SPAN_SECONDS]
            most = FACTOR * SPAN_SECONDS * self.highest(begin, within[-1]) + EXTRA
            assert len(within) <= int(most), f"limit passed: {len(within)} of {most}"

    def highest(self, begin, end):
        """Return the highest limit that was named in a span, or heard of in it."""
        held_rank = [limit for at, limit in self.limits if at < end]
        before = [at for at, _ in self.limits if at <= begin - CONTACT_SECONDS]
        return max(held_rank[max(len(before) - 1, 0) :])
