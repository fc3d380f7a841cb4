"""Discrete-event simulation of accounts that overload the processors of VMs.

The VMs use the real guards and meters. Each iteration of an event loop runs all ready
events; a request consists of several events and a wait for its engine. Connections of
an account go to the first ready VM in the account's order. The balancer checks VMs
every second and removes one after two failed checks. Open connections stay open, and a
refused caller retries once at another VM.
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
# Events of a stream after its first one, and the processor time of each.
LATER_EVENTS = 10
LATER_SECONDS = 0.001
STREAM_SECONDS = 1.5
REFUSAL_SECONDS = 0.006
CONNECT_SECONDS = 0.002
CLOSE_SECONDS = 0.002
ENGINE_SECONDS = 0.08
EVENTS = 6
BRIEF_EVENTS = 2
POLL_SECONDS = 0.05
HEALTH_CHECK_SECONDS = 1.0
MAX_MISSES = 2
RETRY_SECONDS = 0.05
MAX_SLEEP = 0.1


@attrs.frozen
class Kind:
    """The properties of one kind of request."""

    objective: float = 0.4
    is_plain_call: bool = False


STREAM = Kind()
CALL = Kind(objective=0.12, is_plain_call=True)


@attrs.define(eq=False)
class SimulatedRequest:
    """One simulated request and its attempts."""

    account: str
    kind: Kind
    at: float
    attempts: int = 0
    last_vm: int = -1
    outcome: str = "unserved"


class SimulatedVm:
    """One router: its event loop, its guard and its state at the balancer."""

    def __init__(self, simulation, limits, *, shares):
        self.simulation = simulation
        self.ready = []
        self.is_awake = False
        self.slept_since = 0.0
        self.misses = 0
        self.busy_seconds = 0.0
        clock = lambda: simulation.now  # noqa: E731
        self.meter = ProcessorMeter(clock)
        local = LocalShares(lambda: self.guard.sustainable_share()) if shares else None
        resources = [Resource(self.meter, limits)]
        self.guard = OverloadGuard(
            resources, clock, random.Random(simulation.seed), local
        )

    @property
    def is_in_rotation(self):
        return self.misses < MAX_MISSES

    def schedule(self, seconds, callback):
        """Add an event to the event loop."""
        self.ready.append((seconds, callback))
        if not self.is_awake:
            self.is_awake = True
            self.meter.record_sleep(self.slept_since, self.simulation.now, MAX_SLEEP)
            self.run_iteration()

    def poll(self):
        """Poll the load, as a timer of the event loop does."""
        if not self.is_awake:
            self.meter.record_sleep(self.slept_since, self.simulation.now, MAX_SLEEP)
            self.slept_since = self.simulation.now
        self.guard.poll()

    def run_iteration(self):
        """Run all events that are ready."""
        batch, self.ready = self.ready, []
        end = self.simulation.now
        for seconds, callback in batch:
            end += seconds
            self.busy_seconds += seconds
            self.simulation.at(end, callback)
        self.simulation.at(end, self.end_iteration)

    def end_iteration(self):
        """Run the next iteration, or sleep until the next event."""
        if self.ready:
            self.meter.record_sleep(self.simulation.now, self.simulation.now, 0.0)
            self.run_iteration()
            return
        self.is_awake = False
        self.slept_since = self.simulation.now


class LoadSimulation:
    """Simulate the requests of accounts at the VMs of a data centre.

    Parameters
    ----------
    limits
        The limits of the guards; None to shed no load.
    orders
        The order in which the connections of each account try the VMs.
    """

    def __init__(self, *, vms, orders, limits=PROCESSOR_LIMITS, shares=True, seed=1):
        self.now = 0.0
        self.seed = seed
        self.requests = []
        self.is_guarded = limits is not None
        self.vms = [
            SimulatedVm(self, limits or PROCESSOR_LIMITS, shares=shares)
            for _ in range(vms)
        ]
        self._orders = orders
        self._idle = {account: [] for account in orders}
        self._random = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()

    def run(self, seconds, rates):
        """Run the simulation.

        Parameters
        ----------
        seconds
            Duration for which requests arrive.
        rates
            Functions that return each account's requests per second at a time.
        """
        self.at(0.0, self._check_health)
        self.at(0.0, self._poll_load)
        for account in self._orders:
            self.at(0.0, lambda a=account: self._handle_arrival(a, seconds, rates[a]))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            if self.now > seconds + 5.0:
                return
            event()

    def at(self, when, event):
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def share(self, outcome, begin, end, account=None):
        """Return the share of the requests in a time span with an outcome."""
        requests = [r for r in self.requests if begin <= r.at < end]
        if account is not None:
            requests = [r for r in requests if r.account == account]
        return sum(r.outcome == outcome for r in requests) / len(requests)

    def _handle_arrival(self, account, seconds, rate_at):
        kind = CALL if self._random.random() < 0.25 else STREAM
        request = SimulatedRequest(account, kind, self.now)
        self.requests.append(request)
        self._attempt(request)
        gap = self._random.expovariate(rate_at(self.now))
        if self.now + gap < seconds:
            self.at(
                self.now + gap, lambda: self._handle_arrival(account, seconds, rate_at)
            )

    def _attempt(self, request):
        request.attempts += 1
        idle = self._idle[request.account]
        if idle and request.attempts == 1:
            number = idle.pop(self._random.randrange(len(idle)))
            self.vms[number].schedule(
                EVENT_SECONDS, lambda: self._handle_received(request, number)
            )
            return
        number = self._pick_vm(request)
        if self.is_guarded and self.vms[number].guard.closes_new_connection():
            self.vms[number].schedule(
                CLOSE_SECONDS, lambda: self._handle_closed(request, number)
            )
            return
        cost = CONNECT_SECONDS + EVENT_SECONDS
        self.vms[number].schedule(cost, lambda: self._handle_received(request, number))

    def _pick_vm(self, request):
        order = self._orders[request.account]
        ready = [n for n in order if self.vms[n].is_in_rotation]
        if len(ready) < len(self.vms) / 2:
            ready = order
        others = [n for n in ready if n != request.last_vm]
        return (others or ready)[0]

    def _handle_received(self, request, number):
        vm = self.vms[number]
        guard, kind = vm.guard, request.kind
        if self.is_guarded and guard.shed_reason(
            kind.objective, request.account, is_plain_call=kind.is_plain_call
        ):
            vm.schedule(REFUSAL_SECONDS, lambda: self._handle_refused(request, number))
            return
        guard.record_request(request.account)
        ends = self.is_guarded and guard.closes_after_response(request.account)
        left = BRIEF_EVENTS if kind.is_plain_call else EVENTS
        self._continue(request, number, left - 1, ends)

    def _continue(self, request, number, left, ends):
        vm = self.vms[number]
        if left == 0:
            is_late = self.now - request.at > request.kind.objective
            request.outcome = "late" if is_late else "served"
            later = 0 if request.kind.is_plain_call else LATER_EVENTS
            self._stream(request, number, later, ends)
            return
        wait = 0.0
        if left == 2 and not request.kind.is_plain_call:
            wait = ENGINE_SECONDS
        next_step = lambda: vm.schedule(  # noqa: E731
            EVENT_SECONDS, lambda: self._continue(request, number, left - 1, ends)
        )
        self.at(self.now + wait + 0.002, next_step)

    def _stream(self, request, number, left, ends):
        if left:
            next_step = lambda: self.vms[number].schedule(  # noqa: E731
                LATER_SECONDS, lambda: self._stream(request, number, left - 1, ends)
            )
            self.at(self.now + STREAM_SECONDS / LATER_EVENTS, next_step)
        elif not ends:
            self._idle[request.account].append(number)

    def _handle_closed(self, request, number):
        request.outcome, request.last_vm = "closed", number
        if request.attempts < 2:
            self._attempt(request)

    def _handle_refused(self, request, number):
        request.outcome, request.last_vm = "refused", number
        if request.attempts < 2:
            self.at(self.now + RETRY_SECONDS, lambda: self._attempt(request))

    def _check_health(self):
        for vm in self.vms:
            is_ready = vm.guard.is_ready or not self.is_guarded
            vm.misses = 0 if is_ready else vm.misses + 1
        self.at(self.now + HEALTH_CHECK_SECONDS, self._check_health)

    def _poll_load(self):
        for vm in self.vms:
            vm.poll()
        self.at(self.now + POLL_SECONDS, self._poll_load)
