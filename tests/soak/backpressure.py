"""Have upstreams declare limits, request backoff or announce a shutdown during faults.

It has a random generator of its own, so that its draws don't shift the other faults'.
"""

import asyncio
import collections
import random

import attrs

from lynxchute.standins.arrivals import max_in_window
from lynxchute.telemetry import log_event

LIMIT_GUARANTEE = "throttled upstreams get what they name"
BACKOFF_GUARANTEE = "upstreams get the backoff that they ask for"
LEAVING_GUARANTEE = "upstreams that say that they leave get nothing new"
START_DELAY = (0.3, 2.0)
PHASE_INTERVAL = (0.2, 1.5)
PHASE_DURATION = (4.0, 8.0)
LIMITS = (0.0, 0.25, 1.0, 2.5)
BACKOFFS = (0.7, 2.0, 3.0)
# The guarantees, as documented for users. From GRACE_SECONDS after an upstream first
# declares a limit, it gets at most LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_EXTRA
# requests in any window. From PROPAGATION_SECONDS after a router receives a refusal
# with a backoff, it sends at most MAX_IN_BACKOFF requests until the backoff ends. From
# DRAIN_SECONDS after a router receives the announcement of a shutdown, it sends none.
GRACE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
LIMIT_FACTOR, LIMIT_EXTRA = 1.5, 5
PROPAGATION_SECONDS = 0.5
MAX_IN_BACKOFF = 2
DRAIN_SECONDS = 2.0
# Seconds until the response head reaches the router that sent the request.
RESPONSE_HEAD_SECONDS = 0.3


@attrs.frozen
class Arrival:
    """The arrival of a request at an upstream.

    Attributes
    ----------
    at
        Time of the event loop's clock in seconds.
    vm
        VM of the router that sent it.
    start_number
        Which start of the router's process sent it.
    """

    at: float
    vm: str
    start_number: int

    @property
    def process(self):
        return self.vm, self.start_number


class BackpressureInjector:
    """Run random phases of backpressure at single upstreams and check the arrivals."""

    def __init__(self, fleet, callers, checker, injector, seed):
        self.counts = collections.Counter()
        self._fleet = fleet
        self._callers = callers
        self._checker = checker
        self._injector = injector
        self._rng = random.Random(f"backpressure of {seed}")

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.sleep(self._rng.uniform(*START_DELAY))
        while loop.time() < end:
            running = [u.standin for u in self._fleet.upstreams if u.is_up]
            standin = self._rng.choice(running)
            phase = self._rng.choice(
                (
                    self._declare_limit,
                    self._declare_limit,
                    self._request_backoff,
                    self._announce_shutdown,
                )
            )
            await phase(standin)
            await asyncio.sleep(self._rng.uniform(*PHASE_INTERVAL))

    async def _declare_limit(self, standin):
        """Declare a limit, change it once and withdraw it."""
        log_event("soak fault", fault=f"{standin.id} names a limit")
        loop = asyncio.get_running_loop()
        limits = [self._rng.choice(LIMITS) for _ in range(2)]
        since = loop.time()
        for limit in limits:
            standin.limit = limit
            await asyncio.sleep(self._rng.uniform(*PHASE_DURATION) / 2)
        until = loop.time()
        standin.limit = None
        self.counts["limits"] += 1
        arrivals = self._arrivals(standin, since, until)
        informed_at = _first_answer_at(arrivals)
        bound_times = []
        for arrival in arrivals:
            bound_from = informed_at[arrival.process] + PROPAGATION_SECONDS
            if self._is_disturbed(arrival.vm, since):
                continue
            if arrival.at >= max(bound_from, since + GRACE_SECONDS):
                bound_times.append(arrival.at)
        peak = max_in_window(bound_times, WINDOW_SECONDS)
        allowed = int(LIMIT_FACTOR * max(limits) * WINDOW_SECONDS + LIMIT_EXTRA)
        if peak > allowed:
            detail = f"{standin.id}: {peak} of {allowed} at limits {limits}"
            self._checker.record_violation(LIMIT_GUARANTEE, detail)

    async def _request_backoff(self, standin):
        """Refuse all requests with a backoff for a while."""
        log_event("soak fault", fault=f"{standin.id} wants backoff")
        loop = asyncio.get_running_loop()
        since = loop.time()
        seconds = self._rng.choice(BACKOFFS)
        standin.backoff_until = since + seconds
        await asyncio.sleep(seconds)
        self.counts["backoffs"] += 1
        arrivals = self._arrivals(standin, since, since + seconds)
        informed_at = _first_answer_at(arrivals)
        late_counts = collections.Counter()
        for arrival in arrivals:
            if arrival.at > informed_at[arrival.process] + PROPAGATION_SECONDS:
                late_counts[arrival.process] += 1
        for (vm, _), count in late_counts.items():
            if count > MAX_IN_BACKOFF and not self._is_disturbed(vm, since):
                detail = f"{standin.id}: {count} from {vm}"
                self._checker.record_violation(BACKOFF_GUARANTEE, detail)

    async def _announce_shutdown(self, standin):
        """Announce the shutdown in answers only, and stop."""
        upstream = next(u for u in self._fleet.upstreams if u.standin is standin)
        others = [
            u
            for u in self._fleet.upstreams
            if u.is_up and u.standin.service == standin.service and u is not upstream
        ]
        if not others:
            return
        log_event("soak fault", fault=f"{standin.id} says that it leaves")
        loop = asyncio.get_running_loop()
        since = loop.time()
        standin.announces_leaving = True
        upstream.is_up = False
        await self._fleet.add_upstream(standin.service, standin.data_centre)
        await asyncio.sleep(self._rng.uniform(*PHASE_DURATION))
        self.counts["leaving"] += 1
        arrivals = self._arrivals(standin, since, loop.time())
        informed_at = _first_answer_at(arrivals)
        for arrival in arrivals:
            is_late = arrival.at > informed_at[arrival.process] + DRAIN_SECONDS
            if is_late and not self._is_disturbed(arrival.vm, since):
                detail = f"{standin.id}: from {arrival.vm}"
                self._checker.record_violation(LEAVING_GUARANTEE, detail)
        await self._fleet.store.drop("servers", standin.id)
        await standin.stop()

    def clear(self):
        """Withdraw all limits and backoffs."""
        for upstream in self._fleet.upstreams:
            upstream.standin.limit = None
            upstream.standin.backoff_until = 0.0

    def _arrivals(self, standin, since, until):
        """Return the arrivals at an upstream within a time span."""
        records = {r.request_id: r for r in self._callers.records}
        arrivals = []
        for at, request_id in standin.arrival_log.items():
            record = records.get(request_id)
            if record is not None and since <= at < until:
                arrivals.append(Arrival(at, record.vm, record.start_number))
        return arrivals

    def _is_disturbed(self, vm, since):
        """Return whether a VM may have been disconnected or paused since a time."""
        disturbed_until = self._injector.disturbed_until_by_vm.get(vm, float("-inf"))
        return disturbed_until >= since


def _first_answer_at(arrivals):
    """Return the time of the first answer by router process."""
    informed_at = {}
    for arrival in arrivals:
        informed_at.setdefault(arrival.process, arrival.at + RESPONSE_HEAD_SECONDS)
    return informed_at
