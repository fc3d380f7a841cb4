"""Accounts that send more than a VM's processor carries, in virtual time.

The VMs have the real decisions and meters. An event loop takes all events that are
ready in one turn; a request is some events and a wait for its engine. The balancer and
the callers are as the users' pages tell: an account's connections go to the first VM
of an order that is ready, the balancer asks each second and gives a VM up after two
misses, open connections stay, and a caller who is refused tries once more elsewhere.
"""

import heapq
import itertools
import random

import attrs

from lynxchute.overload import (
    PROCESSOR_LIMITS,
    LocalShares,
    OverloadGuard,
    ProcessorMeter,
    Resource,
)

EVENT_SECONDS = 0.003
# What comes of a stream after its first event.
LATER_EVENTS = 10
LATER_SECONDS = 0.001
STREAM_SECONDS = 1.5
REFUSAL_SECONDS = 0.006
CONNECT_SECONDS = 0.002
CLOSE_SECONDS = 0.002
ENGINE_SECONDS = 0.08
EVENTS = 6
BRIEF_EVENTS = 2
LOOK_SECONDS = 0.05
POLL_SECONDS = 1.0
MISSES = 2
RETRY_SECONDS = 0.05
MAX_SLEEP = 0.1


@attrs.frozen
class Kind:
    """A kind of request."""

    objective: float = 0.4
    is_brief: bool = False


STREAM = Kind()
CALL = Kind(objective=0.12, is_brief=True)


@attrs.define(eq=False)
class Asked:
    """One request."""

    account: str
    kind: Kind
    at: float
    tries: int = 0
    last_vm: int = -1
    outcome: str = "unserved"


class Vm:
    """One router: its loop, its decisions, and what the balancer thinks of it."""

    def __init__(self, play, limits, *, shares):
        self.play = play
        self.ready = []
        self.is_awake = False
        self.slept_from = 0.0
        self.misses = 0
        self.worked = 0.0
        clock = lambda: play.now  # noqa: E731
        self.meter = ProcessorMeter(clock)
        local = LocalShares(lambda: self.guard.sustainable_share()) if shares else None
        resources = [Resource(self.meter, limits)]
        self.guard = OverloadGuard(resources, clock, random.Random(play.seed), local)

    @property
    def is_in_rotation(self):
        return self.misses < MISSES

    def put(self, seconds, done):
        """Have an event taken by the loop."""
        self.ready.append((seconds, done))
        if not self.is_awake:
            self.is_awake = True
            self.meter.record_sleep(self.slept_from, self.play.now, MAX_SLEEP)
            self.turn()

    def poll(self):
        """Look at the load, as a timer of the loop does."""
        if not self.is_awake:
            self.meter.record_sleep(self.slept_from, self.play.now, MAX_SLEEP)
            self.slept_from = self.play.now
        self.guard.poll()

    def turn(self):
        """Take all events that are ready."""
        batch, self.ready = self.ready, []
        end = self.play.now
        for seconds, done in batch:
            end += seconds
            self.worked += seconds
            self.play.at(end, done)
        self.play.at(end, self.turned)

    def turned(self):
        """Sleep until the next event."""
        if self.ready:
            self.meter.record_sleep(self.play.now, self.play.now, 0.0)
            self.turn()
            return
        self.is_awake = False
        self.slept_from = self.play.now


class LoadPlay:
    """Play the requests of accounts against the VMs of a data centre.

    Parameters
    ----------
    limits
        When work goes elsewhere; None where it never does.
    orders
        The VMs that each account's connections try, in order.
    """

    def __init__(self, *, vms, orders, limits=PROCESSOR_LIMITS, shares=True, seed=1):
        self.now = 0.0
        self.seed = seed
        self.asked = []
        self.is_guarded = limits is not None
        self.vms = [
            Vm(self, limits or PROCESSOR_LIMITS, shares=shares) for _ in range(vms)
        ]
        self._orders = orders
        self._idle = {account: [] for account in orders}
        self._random = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()

    def run(self, seconds, rates):
        """Play; ``rates`` give each account's requests a second at each moment."""
        self.at(0.0, self._poll)
        self.at(0.0, self._look)
        for account in self._orders:
            self.at(0.0, lambda a=account: self._arrive(a, seconds, rates[a]))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            if self.now > seconds + 5.0:
                return
            event()

    def at(self, when, event):
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def share(self, outcome, begin, end, account=None):
        """Return the share of the requests of a time that had an outcome."""
        asked = [a for a in self.asked if begin <= a.at < end]
        if account is not None:
            asked = [a for a in asked if a.account == account]
        return sum(a.outcome == outcome for a in asked) / len(asked)

    def _arrive(self, account, seconds, rate_at):
        kind = CALL if self._random.random() < 0.25 else STREAM
        asked = Asked(account, kind, self.now)
        self.asked.append(asked)
        self._try(asked)
        gap = self._random.expovariate(rate_at(self.now))
        if self.now + gap < seconds:
            self.at(self.now + gap, lambda: self._arrive(account, seconds, rate_at))

    def _try(self, asked):
        asked.tries += 1
        idle = self._idle[asked.account]
        if idle and asked.tries == 1:
            number = idle.pop(self._random.randrange(len(idle)))
            self.vms[number].put(EVENT_SECONDS, lambda: self._received(asked, number))
            return
        number = self._balance(asked)
        if self.is_guarded and self.vms[number].guard.closes_connection():
            self.vms[number].put(CLOSE_SECONDS, lambda: self._closed(asked, number))
            return
        cost = CONNECT_SECONDS + EVENT_SECONDS
        self.vms[number].put(cost, lambda: self._received(asked, number))

    def _balance(self, asked):
        order = self._orders[asked.account]
        ready = [n for n in order if self.vms[n].is_in_rotation]
        if len(ready) < len(self.vms) / 2:
            ready = order
        others = [n for n in ready if n != asked.last_vm]
        return (others or ready)[0]

    def _received(self, asked, number):
        vm = self.vms[number]
        guard, kind = vm.guard, asked.kind
        if self.is_guarded and guard.shed_reason(
            kind.objective, asked.account, is_brief=kind.is_brief
        ):
            vm.put(REFUSAL_SECONDS, lambda: self._refused(asked, number))
            return
        guard.record_request(asked.account)
        ends = self.is_guarded and guard.ends_connection(asked.account)
        left = BRIEF_EVENTS if kind.is_brief else EVENTS
        self._go_on(asked, number, left - 1, ends)

    def _go_on(self, asked, number, left, ends):
        vm = self.vms[number]
        if left == 0:
            is_late = self.now - asked.at > asked.kind.objective
            asked.outcome = "late" if is_late else "served"
            later = 0 if asked.kind.is_brief else LATER_EVENTS
            self._stream(asked, number, later, ends)
            return
        wait = 0.0
        if left == 2 and not asked.kind.is_brief:
            wait = ENGINE_SECONDS
        step = lambda: vm.put(  # noqa: E731
            EVENT_SECONDS, lambda: self._go_on(asked, number, left - 1, ends)
        )
        self.at(self.now + wait + 0.002, step)

    def _stream(self, asked, number, left, ends):
        if left:
            step = lambda: self.vms[number].put(  # noqa: E731
                LATER_SECONDS, lambda: self._stream(asked, number, left - 1, ends)
            )
            self.at(self.now + STREAM_SECONDS / LATER_EVENTS, step)
        elif not ends:
            self._idle[asked.account].append(number)

    def _closed(self, asked, number):
        asked.outcome, asked.last_vm = "closed", number
        if asked.tries < 2:
            self._try(asked)

    def _refused(self, asked, number):
        asked.outcome, asked.last_vm = "refused", number
        if asked.tries < 2:
            self.at(self.now + RETRY_SECONDS, lambda: self._try(asked))

    def _poll(self):
        for vm in self.vms:
            is_ready = vm.guard.is_ready or not self.is_guarded
            vm.misses = 0 if is_ready else vm.misses + 1
        self.at(self.now + POLL_SECONDS, self._poll)

    def _look(self):
        for vm in self.vms:
            vm.poll()
        self.at(self.now + LOOK_SECONDS, self._look)
