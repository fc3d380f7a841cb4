"""Stop routers and cut them off from the store and from one another.

It has a random generator of its own, so that its draws don't shift the other faults'.
"""

import asyncio
import collections
import enum
import itertools
import json
import random
import signal

import attrs

from lynxchute.standins.link import Direction, Link
from lynxchute.telemetry import log_event

# Seeds with routers that are out of step. Other seeds keep the faults that they had.
OUT_OF_STEP_SEEDS = range(77_000, 80_000)
# Ranges in seconds: before a series, between two disturbances of a series, and of one.
SERIES_INTERVAL = (0.5, 3.0)
PAUSE_IN_SERIES = (0.05, 0.8)
DURATION = (0.4, 4.0)
MAX_IN_SERIES = 3
# Seconds for which a router that stood still stays cut off after it goes on.
CUT_AFTER_STOP = (0.2, 1.5)
# Routers that stay in touch at any time.
MIN_IN_TOUCH = 2
CONCURRENT_SERIES = 2
PAIR_SHARE = 0.5
# Share of the pairs that are cut off from one another, too.
APART_SHARE = 0.4


def is_out_of_step(seed):
    """Return whether routers are stopped and cut off as versions join in a seed."""
    return seed in OUT_OF_STEP_SEEDS


class Disturbance(enum.Enum):
    """What keeps routers from hearing of changes."""

    STOP = "stop"
    CUT = "cut"
    CUT_STORE = "cut from the store"
    CUT_PEERS = "cut from the routers"
    STOP_AND_CUT = "stop and cut"

    @property
    def stops(self):
        return self in (Disturbance.STOP, Disturbance.STOP_AND_CUT)

    @property
    def cuts_store(self):
        return self in (
            Disturbance.CUT,
            Disturbance.CUT_STORE,
            Disturbance.STOP_AND_CUT,
        )

    @property
    def cuts_peers(self):
        return self in (
            Disturbance.CUT,
            Disturbance.CUT_PEERS,
            Disturbance.STOP_AND_CUT,
        )


@attrs.frozen(eq=False)
class Cut:
    """Routers that are cut off together.

    Attributes
    ----------
    is_apart
        Whether they are cut off from one another, too.
    """

    vms: frozenset
    kind: Disturbance
    is_apart: bool

    def covers_store(self, vm):
        return self.kind.cuts_store and vm in self.vms

    def covers_peers(self, vm, other):
        if not self.kind.cuts_peers:
            return False
        if self.is_apart:
            return vm in self.vms or other in self.vms
        return (vm in self.vms) != (other in self.vms)


class PeerLinks:
    """The links between each two routers of a fleet, one for each direction.

    Parameters
    ----------
    folder
        Folder of the files that tell the routers the addresses of their links.
    """

    def __init__(self, folder):
        self.links_by_pair = {}
        self._folder = folder

    def file(self, vm):
        """Return the file with the links of one router."""
        return self._folder / f"{vm}.links.json"

    async def start(self, addresses_by_vm):
        """Start the links, before any router runs."""
        for vm, other in itertools.permutations(addresses_by_vm, 2):
            link = Link(addresses_by_vm[other])
            await link.start()
            self.links_by_pair[vm, other] = link
        for vm in addresses_by_vm:
            ports = {}
            for (source, _), link in self.links_by_pair.items():
                if source == vm:
                    ports[link.target] = f"127.0.0.1:{link.port}"
            self.file(vm).write_text(json.dumps(ports))

    async def stop(self):
        for link in self.links_by_pair.values():
            await link.stop()


class OutOfStepInjector:
    """Disturb single routers and pairs, in series that may overlap.

    Attributes
    ----------
    disturbed_vms
        The routers that are stopped or cut off now.
    """

    def __init__(self, fleet, checker, seed):
        self.counts = collections.Counter()
        self.disturbed_vms = set()
        self._fleet = fleet
        self._checker = checker
        self._rng = random.Random(f"out of step of {seed}")
        self._cuts = []

    async def run(self, seconds):
        end = asyncio.get_running_loop().time() + seconds
        series = [self._run_series(end) for _ in range(CONCURRENT_SERIES)]
        await asyncio.gather(*series)

    async def _run_series(self, end):
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self._rng.uniform(*SERIES_INTERVAL))
            for _ in range(self._rng.randint(1, MAX_IN_SERIES)):
                await self.disturb()
                await asyncio.sleep(self._rng.uniform(*PAUSE_IN_SERIES))

    async def disturb(self):
        """Stop or cut off a router or a pair for some time, if enough are in touch."""
        vms = self._pick_routers()
        if not vms:
            return
        kind = self._rng.choice(list(Disturbance))
        cut = Cut(frozenset(vms), kind, self._rng.random() < APART_SHARE)
        seconds = self._rng.uniform(*DURATION)
        log_event("soak fault", fault=kind.value, vms=vms, apart=cut.is_apart)
        self.counts[f"out of step: {kind.value}"] += 1
        self._checker.disturbed_vms.update(vms)
        self.disturbed_vms.update(vms)
        self._cuts.append(cut)
        self._apply_cuts()
        try:
            if kind.stops:
                self._send_signal(vms, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            if kind.stops:
                self._send_signal(vms, signal.SIGCONT)
            if kind is Disturbance.STOP_AND_CUT:
                await asyncio.sleep(self._rng.uniform(*CUT_AFTER_STOP))
        finally:
            self._cuts.remove(cut)
            self._apply_cuts()
            self.disturbed_vms.difference_update(vms)

    def _pick_routers(self):
        in_touch = sorted(set(self._fleet.routers_by_vm) - self.disturbed_vms)
        count = 2 if self._rng.random() < PAIR_SHARE else 1
        count = min(count, len(in_touch) - MIN_IN_TOUCH)
        return sorted(self._rng.sample(in_touch, count)) if count > 0 else []

    def _send_signal(self, vms, number):
        for vm in vms:
            self._fleet.routers_by_vm[vm].process.send_signal(number)

    def _apply_cuts(self):
        for vm, router in self._fleet.routers_by_vm.items():
            is_cut = any(cut.covers_store(vm) for cut in self._cuts)
            router.store_link.hold(*(Direction if is_cut else ()))
        for pair, link in self._fleet.peer_links.links_by_pair.items():
            is_cut = any(cut.covers_peers(*pair) for cut in self._cuts)
            link.hold(*(Direction if is_cut else ()))
