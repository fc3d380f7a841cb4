"""Cut routers off from all upstreams, and make plain upstreams brittle, during faults.

It has a random generator of its own, so that its draws don't shift the other faults'.
"""

import asyncio
import collections
import json
import random

from lynxchute.standins.link import Link, Partition
from lynxchute.standins.places import Places
from lynxchute.telemetry import log_event
from tests.soak.out_of_step import is_out_of_step
from tests.soak.silence import has_silence

BRITTLE_GUARANTEE = "brittle upstreams stay up"
# Every 3rd seed has links between each router and each upstream.
LINKED_INTERVAL = 3
PHASE_INTERVAL = (0.3, 1.5)
PHASE_DURATION = (0.5, 5.0)
SLOTS, ROOM, MAX_REJECTIONS = 6, 24, 4
BRITTLE_DURATION = (4.0, 7.0)


def has_links(seed):
    """Return whether the routers of a seed have links of their own to upstreams."""
    if has_silence(seed) or is_out_of_step(seed):
        return False
    return seed % LINKED_INTERVAL == 0


class UpstreamLinks:
    """The links between each router and each upstream of a fleet.

    Parameters
    ----------
    folder
        Folder of the files that tell the routers the addresses of their links.
    vms
        The routers.
    """

    def __init__(self, folder, vms):
        self.links_by_vm = {vm: {} for vm in vms}
        self._folder = folder

    def file(self, vm):
        """Return the file with the links of one router."""
        return self._folder / f"{vm}.links.json"

    async def add(self, address):
        """Start links to an upstream, before any router knows its address."""
        for vm, links in self.links_by_vm.items():
            link = Link(address)
            await link.start()
            links[address] = link
            ports = {a: f"127.0.0.1:{link.port}" for a, link in links.items()}
            self.file(vm).write_text(json.dumps(ports))

    def partition(self, vms, how):
        for vm in vms:
            for link in self.links_by_vm[vm].values():
                link.partition(how)

    async def restore(self, vms):
        for vm in vms:
            # Upstreams that start meanwhile get further links.
            for link in list(self.links_by_vm[vm].values()):
                await link.restore()

    async def stop(self):
        for links in self.links_by_vm.values():
            for link in links.values():
                await link.stop()


class LinkInjector:
    """Cut some, most or all routers off, one phase after the other."""

    def __init__(self, fleet, checker, seed):
        self.counts = collections.Counter()
        self._fleet = fleet
        self._checker = checker
        self._rng = random.Random(f"links of {seed}")

    async def run(self, seconds):
        if self._fleet.upstream_links is None:
            return
        end = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(self._cut_off(end), self._make_brittle(end))

    async def _cut_off(self, end):
        links = self._fleet.upstream_links
        vms = sorted(links.links_by_vm)
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self._rng.uniform(*PHASE_INTERVAL))
            cut = self._rng.sample(vms, self._rng.choice((1, len(vms) - 1, len(vms))))
            how = self._rng.choice(list(Partition))
            log_event("soak fault", fault="links lost", vms=cut, how=how.value)
            self.counts["links lost"] += 1
            links.partition(cut, how)
            try:
                await asyncio.sleep(self._rng.uniform(*PHASE_DURATION))
            finally:
                await links.restore(cut)

    async def _make_brittle(self, end):
        apps = [u.standin for u in self._fleet.upstreams if u.standin.places]
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self._rng.uniform(*PHASE_INTERVAL))
            before = sum(app.falls for app in apps)
            self.counts["brittle"] += 1
            for app in apps:
                app.places.become_brittle(MAX_REJECTIONS)
            await asyncio.sleep(self._rng.uniform(*BRITTLE_DURATION))
            for app in apps:
                app.places.become_brittle(None)
            falls = sum(app.falls for app in apps) - before
            if falls > 2 + 0.1 * len(apps):
                self._checker.record_violation(BRITTLE_GUARANTEE, f"{falls} falls")


def places():
    """Return the places of a plain upstream."""
    return Places(SLOTS, ROOM)
