"""A client account that sends more than one VM's link carries, in virtual time.

The VMs have the real decisions; links, the balancer and the callers are as the users'
pages tell: a caller's connections go to one VM, found by a hash among those that
are ready; the balancer asks each second and gives a VM up after two misses; open
connections stay; a caller tries once more, at another VM.
"""

import heapq
import itertools
import random

import attrs

from lynxchute.http import LinkMeter
from lynxchute.relay.load import RouterLoad

MBPS = 5.0
BYTES_PER_S = MBPS * 1e6 / 8
BODY = 10_000
OBJECTIVE = 0.8
SERVICE_SECONDS = 0.15
LOOK_SECONDS = 0.05
POLL_SECONDS = 1.0
MISSES = 2


@attrs.define(eq=False)
class Vm:
    """One router: its decisions, its link as it is, and what the balancer thinks."""

    load: RouterLoad
    meter: LinkMeter
    in_free_at: float = 0.0
    out_free_at: float = 0.0
    misses: int = 0
    is_open: bool = True

    @property
    def is_in_rotation(self):
        return self.misses < MISSES


@attrs.define(eq=False)
class Asked:
    """One request of the account."""

    at: float
    tries: int = 0
    last_vm: int = -1
    outcome: str = "unserved"
    answered_at: float = 0.0


class LinkPlay:
    """Play one account's requests against some VMs.

    Parameters
    ----------
    ends
        Says whether an answer ends its connection: given the VM's decisions.
    closes
        Whether a VM whose link is full takes no connection.
    """

    def __init__(self, *, vms, ends, closes, seed=1):
        self.now = 0.0
        self.vms = []
        for _ in range(vms):
            meter = LinkMeter(MBPS, lambda: self.now)
            load = RouterLoad(meter, lambda: self.now, random.Random(seed))
            self.vms.append(Vm(load, meter))
        self.asked = []
        self._ends = ends
        self._closes = closes
        self._random = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self._idle = []

    def run(self, seconds, rate_at):
        """Play; ``rate_at`` gives the requests a second at each moment."""
        self._at(0.0, self._poll)
        self._at(0.0, self._look)
        self._at(0.0, lambda: self._arrive(seconds, rate_at))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            if self.now > seconds + 5.0:
                return
            event()

    def share(self, begin, end, outcome):
        """Return the share of the requests of a time that had an outcome."""
        asked = [a for a in self.asked if begin <= a.at < end]
        return sum(a.outcome == outcome for a in asked) / len(asked)

    def _at(self, when, event):
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def _arrive(self, seconds, rate_at):
        asked = Asked(self.now)
        self.asked.append(asked)
        self._try(asked)
        gap = self._random.expovariate(rate_at(self.now))
        if self.now + gap < seconds:
            self._at(self.now + gap, lambda: self._arrive(seconds, rate_at))

    def _try(self, asked):
        asked.tries += 1
        if self._idle and asked.tries == 1:
            number = self._idle.pop(self._random.randrange(len(self._idle)))
        else:
            number = self._balance(asked)
            if not self.vms[number].is_open:
                self._fail(asked, number, "unserved")
                return
        vm = self.vms[number]
        vm.in_free_at = max(vm.in_free_at, self.now) + BODY / BYTES_PER_S
        self._at(vm.in_free_at, lambda: self._received(asked, number))

    def _balance(self, asked):
        ready = [n for n, vm in enumerate(self.vms) if vm.is_in_rotation]
        if len(ready) < len(self.vms) / 2:
            ready = list(range(len(self.vms)))
        if asked.tries > 1:
            others = [n for n in ready if n != asked.last_vm]
            return self._random.choice(others or ready)
        return ready[0]

    def _received(self, asked, number):
        vm = self.vms[number]
        vm.meter.note_received(BODY)
        if vm.load.is_too_slow(OBJECTIVE):
            self._fail(asked, number, "refused")
            return
        vm.meter.note_sent(BODY)
        vm.out_free_at = max(vm.out_free_at, self.now) + BODY / BYTES_PER_S
        done = vm.out_free_at + SERVICE_SECONDS
        self._at(done, lambda: self._answered(asked, number))

    def _answered(self, asked, number):
        late = self.now - asked.at > OBJECTIVE
        asked.outcome = "late" if late else "served"
        if not self._ends(self.vms[number].load):
            self._idle.append(number)

    def _fail(self, asked, number, outcome):
        asked.outcome, asked.last_vm = outcome, number
        if asked.tries < 2:
            self._at(self.now + 0.05, lambda: self._try(asked))

    def _poll(self):
        for vm in self.vms:
            vm.misses = vm.misses + 1 if vm.load.is_shedding else 0
        self._at(self.now + POLL_SECONDS, self._poll)

    def _look(self):
        for vm in self.vms:
            vm.is_open = not (self._closes and vm.load.is_full)
        self._at(self.now + LOOK_SECONDS, self._look)
