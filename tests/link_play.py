"""Simulate an account that sends more than one VM's link carries, in virtual time.

The VMs use the real load shedding code; links, balancer and callers are simulated as
the platform documents them. A caller's connections all go to one ready VM, chosen by a
hash. The balancer checks each VM every second and removes it after two failures. Open
connections stay. A caller retries once, at another VM.
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
LOAD_POLL_SECONDS = 0.05
HEALTH_CHECK_SECONDS = 1.0
MAX_MISSES = 2


@attrs.define(eq=False)
class Vm:
    """One router: its load shedding, its simulated link and its health check state."""

    load: RouterLoad
    meter: LinkMeter
    receive_free_at: float = 0.0
    send_free_at: float = 0.0
    misses: int = 0
    is_open: bool = True

    @property
    def is_in_rotation(self):
        return self.misses < MAX_MISSES


@attrs.define(eq=False)
class SimulatedRequest:
    """One request of the account."""

    at: float
    attempts: int = 0
    last_vm: int = -1
    outcome: str = "unserved"
    answered_at: float = 0.0


class LinkSimulation:
    """Simulates one account's requests to several VMs.

    Parameters
    ----------
    should_close
        Returns whether to close a connection after a response, given the VM's load.
    pauses_accepting
        Whether a VM with a full link accepts no connections.
    """

    def __init__(self, *, vms, should_close, pauses_accepting, seed=1):
        self.now = 0.0
        self.vms = []
        for _ in range(vms):
            meter = LinkMeter(MBPS, lambda: self.now)
            load = RouterLoad(meter, lambda: self.now, random.Random(seed))
            self.vms.append(Vm(load, meter))
        self.requests = []
        self._should_close = should_close
        self._pauses_accepting = pauses_accepting
        self._random = random.Random(seed)
        self._events = []
        self._sequence = itertools.count()
        self._idle = []

    def run(self, seconds, rate_at):
        """Run the simulation; ``rate_at`` returns the request rate at a given time."""
        self._schedule(0.0, self._check_health)
        self._schedule(0.0, self._poll_load)
        self._schedule(0.0, lambda: self._handle_arrival(seconds, rate_at))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            if self.now > seconds + 5.0:
                return
            event()

    def share(self, begin, end, outcome):
        """Return the share of the requests of a time span that had an outcome."""
        requests = [a for a in self.requests if begin <= a.at < end]
        return sum(a.outcome == outcome for a in requests) / len(requests)

    def _schedule(self, when, event):
        heapq.heappush(self._events, (when, next(self._sequence), event))

    def _handle_arrival(self, seconds, rate_at):
        request = SimulatedRequest(self.now)
        self.requests.append(request)
        self._send(request)
        gap = self._random.expovariate(rate_at(self.now))
        if self.now + gap < seconds:
            self._schedule(
                self.now + gap, lambda: self._handle_arrival(seconds, rate_at)
            )

    def _send(self, request):
        request.attempts += 1
        if self._idle and request.attempts == 1:
            index = self._idle.pop(self._random.randrange(len(self._idle)))
        else:
            index = self._pick_vm(request)
            if not self.vms[index].is_open:
                self._fail(request, index, "unserved")
                return
        vm = self.vms[index]
        vm.receive_free_at = max(vm.receive_free_at, self.now) + BODY / BYTES_PER_S
        self._schedule(
            vm.receive_free_at, lambda: self._handle_received(request, index)
        )

    def _pick_vm(self, request):
        ready = [n for n, vm in enumerate(self.vms) if vm.is_in_rotation]
        if len(ready) < len(self.vms) / 2:
            ready = list(range(len(self.vms)))
        if request.attempts > 1:
            others = [n for n in ready if n != request.last_vm]
            return self._random.choice(others or ready)
        return ready[0]

    def _handle_received(self, request, index):
        vm = self.vms[index]
        vm.meter.record_received(BODY)
        if vm.load.misses_objective(OBJECTIVE):
            self._fail(request, index, "refused")
            return
        vm.meter.record_sent(BODY)
        vm.send_free_at = max(vm.send_free_at, self.now) + BODY / BYTES_PER_S
        done = vm.send_free_at + SERVICE_SECONDS
        self._schedule(done, lambda: self._handle_answered(request, index))

    def _handle_answered(self, request, index):
        late = self.now - request.at > OBJECTIVE
        request.outcome = "late" if late else "served"
        if not self._should_close(self.vms[index].load):
            self._idle.append(index)

    def _fail(self, request, index, outcome):
        request.outcome, request.last_vm = outcome, index
        if request.attempts < 2:
            self._schedule(self.now + 0.05, lambda: self._send(request))

    def _check_health(self):
        for vm in self.vms:
            vm.misses = vm.misses + 1 if vm.load.is_shedding else 0
        self._schedule(self.now + HEALTH_CHECK_SECONDS, self._check_health)

    def _poll_load(self):
        for vm in self.vms:
            vm.is_open = not (self._pauses_accepting and vm.load.is_full)
        self._schedule(self.now + LOAD_POLL_SECONDS, self._poll_load)
