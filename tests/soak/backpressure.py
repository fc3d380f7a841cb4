"""Upstreams that name limits, ask for backoff or say that they leave, in all faults.

It draws its own numbers, so that kept seeds have the faults that they always had.
"""

import asyncio
import collections
import random

import attrs

from lynxchute.standins.arrivals import most_within
from lynxchute.telemetry import log_event

LIMIT_PROMISE = "throttled upstreams get what they name"
BACKOFF_PROMISE = "upstreams get the backoff that they ask for"
LEAVING_PROMISE = "upstreams that say that they leave get nothing new"
FIRST_AFTER = (0.3, 2.0)
PAUSES = (0.2, 1.5)
LASTS = (4.0, 8.0)
LIMITS = (0.0, 0.25, 1.0, 2.5)
BACKOFFS = (0.7, 2.0, 3.0)
# The promises, as the users' pages have them.
CONTACT_SECONDS = 3.0
SPAN_SECONDS = 4.0
FACTOR, EXTRA = 1.5, 5
HEARD_SECONDS = 0.5
MOST_IN_BACKOFF = 2
DRAIN_SECONDS = 2.0
# Seconds in which the head of an answer comes back to the router that asked.
ANSWERED_SECONDS = 0.3


@attrs.frozen
class Arrival:
    """A request at an upstream, and the run of the router that sent it."""

    at: float
    vm: str
    start: int

    @property
    def process(self):
        return self.vm, self.start


class BackpressureSetter:
    """Have upstreams state what they want, one at a time, and check what they get."""

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
        await asyncio.sleep(self._rng.uniform(*FIRST_AFTER))
        while loop.time() < end:
            up = [u.standin for u in self._fleet.upstreams if u.is_up]
            standin = self._rng.choice(up)
            need = self._rng.choice(
                (self._limit, self._limit, self._backoff, self._leave)
            )
            await need(standin)
            await asyncio.sleep(self._rng.uniform(*PAUSES))

    async def _limit(self, standin):
        """Name a limit, which changes once, and then none."""
        log_event("soak fault", fault=f"{standin.id} names a limit")
        loop = asyncio.get_running_loop()
        limits = [self._rng.choice(LIMITS) for _ in range(2)]
        since = loop.time()
        for limit in limits:
            standin.limit = limit
            await asyncio.sleep(self._rng.uniform(*LASTS) / 2)
        until = loop.time()
        standin.limit = None
        self.counts["limits"] += 1
        arrivals = self._arrivals(standin, since, until)
        told_at = _told_at(arrivals)
        bound = []
        for arrival in arrivals:
            told = told_at[arrival.process] + HEARD_SECONDS
            if self._is_disturbed(arrival.vm, since):
                continue
            if arrival.at >= max(told, since + CONTACT_SECONDS):
                bound.append(arrival.at)
        most = most_within(bound, SPAN_SECONDS)
        allowed = int(FACTOR * max(limits) * SPAN_SECONDS + EXTRA)
        if most > allowed:
            what = f"{standin.id}: {most} of {allowed} at limits {limits}"
            self._checker.note(LIMIT_PROMISE, what)

    async def _backoff(self, standin):
        """Turn all away for a while."""
        log_event("soak fault", fault=f"{standin.id} wants backoff")
        loop = asyncio.get_running_loop()
        since = loop.time()
        seconds = self._rng.choice(BACKOFFS)
        standin.backoff_until = since + seconds
        await asyncio.sleep(seconds)
        self.counts["backoffs"] += 1
        arrivals = self._arrivals(standin, since, since + seconds)
        refused_at = _told_at(arrivals)
        late = collections.Counter()
        for arrival in arrivals:
            if arrival.at > refused_at[arrival.process] + HEARD_SECONDS:
                late[arrival.process] += 1
        for (vm, _), count in late.items():
            if count > MOST_IN_BACKOFF and not self._is_disturbed(vm, since):
                what = f"{standin.id}: {count} from {vm}"
                self._checker.note(BACKOFF_PROMISE, what)

    async def _leave(self, standin):
        """Say in answers only that it leaves, and end."""
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
        standin.says_it_leaves = True
        upstream.is_up = False
        await self._fleet.add_upstream(standin.service, standin.data_centre)
        await asyncio.sleep(self._rng.uniform(*LASTS))
        self.counts["leaving"] += 1
        arrivals = self._arrivals(standin, since, loop.time())
        told_at = _told_at(arrivals)
        for arrival in arrivals:
            is_late = arrival.at > told_at[arrival.process] + DRAIN_SECONDS
            if is_late and not self._is_disturbed(arrival.vm, since):
                what = f"{standin.id}: from {arrival.vm}"
                self._checker.note(LEAVING_PROMISE, what)
        await self._fleet.store.drop("servers", standin.id)
        await standin.stop()

    def clear(self):
        """Let no upstream want anything any more."""
        for upstream in self._fleet.upstreams:
            upstream.standin.limit = None
            upstream.standin.backoff_until = 0.0

    def _arrivals(self, standin, since, until):
        """Return what came to an upstream in a span, by the router's run."""
        records = {r.request_id: r for r in self._callers.records}
        found = []
        for at, request_id in standin.taken.items():
            record = records.get(request_id)
            if record is not None and since <= at < until:
                found.append(Arrival(at, record.vm, record.process_start))
        return found

    def _is_disturbed(self, vm, since):
        """Return whether a VM may have been cut off or frozen since a moment."""
        at = self._injector.disturbed_at_by_vm.get(vm, float("-inf"))
        return at >= since


def _told_at(arrivals):
    """Return when each router's run had the first answer."""
    told_at = {}
    for arrival in arrivals:
        told_at.setdefault(arrival.process, arrival.at + ANSWERED_SECONDS)
    return told_at
