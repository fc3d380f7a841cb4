"""Streams taken up at router processes that stood still as a version joined.

A process that SIGSTOP has stopped answers what waited in its sockets as soon as it goes
on, with what it knew before.
"""

import asyncio
import pathlib
import random
import signal
import tempfile

import attrs

from lynxchute.address import Address
from lynxchute.standins.link import Direction, Link
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.platform_support import configuration, free_port
from tests.router_process import RouterProcess
from tests.soak.out_of_step import PeerLinks
from tests.support import AsyncTestCase
from tests.version_play import (
    EVENTS,
    NEW,
    OLD,
    ROUTERS,
    begin,
    mixed,
    prepare,
    take_up,
    whole_share,
)

FROZEN, SUSPENDED = "tests.linked_router", "tests.suspendable_router"
ENGINES = 3
STREAMS = 40
SEED = 20
# Seconds for which the old version is the only one, beside streams at all routers.
LONE_SECONDS = 2.0
# Ranges in seconds: from the stop until the version joins, and for which routers stand
# still at least.
JOIN_DELAY = (0.02, 0.2)
STOP_DURATION = (0.4, 1.2)
# Seconds within which the requests sent to a stopped process are in its sockets.
SEND_SECONDS = 0.1
CALM_SECONDS = 8.0


@attrs.frozen
class CallerSettings:
    callers: Address


class ProcessDeployment:
    """Four router processes with links, simulated upstreams and the store."""

    def __init__(self, folder, modules_by_vm):
        self.store = PlatformStoreStandin()
        self.engines = []
        self.processes_by_vm = {}
        self.settings = {}
        self._store_link_by_vm = {}
        self._peer_links = PeerLinks(folder)
        self._folder = folder
        self._modules_by_vm = modules_by_vm

    async def start(self):
        await self.add_engines(OLD)
        await self.store.configure(configuration())
        for vm in ROUTERS:
            link = Link(f"127.0.0.1:{await self.store.open_port()}")
            await link.start()
            self._store_link_by_vm[vm] = link
            process = RouterProcess(
                self._folder,
                vm,
                link.port,
                module=self._modules_by_vm.get(vm, FROZEN),
                links_file=self._peer_links.file(vm),
            )
            address = Address("127.0.0.1", process.ports["front"])
            self.processes_by_vm[vm] = process
            self.settings[vm] = CallerSettings(address)
        processes = self.processes_by_vm.items()
        await self._peer_links.start(
            {vm: f"127.0.0.1:{process.ports['peers']}" for vm, process in processes}
        )
        for process in self.processes_by_vm.values():
            await process.start()
        for process in self.processes_by_vm.values():
            await process.ready()

    async def add_engines(self, version):
        for number in range(ENGINES):
            engine = PlatformUpstreamStandin("pool", "ab"[number % 2], events=EVENTS)
            engine.software_version = version
            await engine.start(free_port())
            await engine.register(self.store)
            self.engines.append(engine)
        prepare(self)

    def send_signal(self, vms, number):
        for vm in vms:
            self.processes_by_vm[vm].send_signal(number)

    def hold_links(self, vms, *directions):
        """Hold back what routers and the store, or other routers, send each other."""
        for vm in vms:
            self._store_link_by_vm[vm].hold(*directions)
        for (vm, other), link in self._peer_links.links_by_pair.items():
            if (vm in vms) != (other in vms):
                link.hold(*directions)

    async def stop(self):
        for process in self.processes_by_vm.values():
            await process.kill()
        for link in self._store_link_by_vm.values():
            await link.stop()
        await self._peer_links.stop()
        for engine in self.engines:
            await engine.stop()
        await self.store.close()


class StoppedRouterTest(AsyncTestCase):
    """Guards against streams of two versions at routers that stood still."""

    def test_a_stopped_router_joins_no_streams(self):
        self.play({"a-2": FROZEN}, SEED)

    def test_a_suspended_router_joins_no_streams(self):
        self.play({"b-1": SUSPENDED}, SEED + 1)

    def test_two_stopped_routers_join_no_streams(self):
        self.play({"a-2": FROZEN, "b-1": SUSPENDED}, SEED + 2)

    def test_a_router_stopped_and_cut_off_joins_no_streams(self):
        self.play({"a-2": FROZEN}, SEED + 3, is_cut=True)

    def test_two_routers_stopped_and_cut_off_join_no_streams(self):
        self.play({"a-2": FROZEN, "b-1": SUSPENDED}, SEED + 4, is_cut=True)

    def play(self, modules_by_vm, seed, *, is_cut=False):
        async def work():
            with tempfile.TemporaryDirectory() as name:
                deployment = ProcessDeployment(pathlib.Path(name), modules_by_vm)
                try:
                    await deployment.start()
                    await self._serve_one_version(deployment)
                    streams = await self._take_up_at_stopped(
                        deployment, list(modules_by_vm), random.Random(seed), is_cut
                    )
                    deployment.hold_links(modules_by_vm)
                    await self._check_calm(deployment, streams)
                finally:
                    await deployment.stop()

        self.run_async(work())

    async def _serve_one_version(self, deployment):
        loop = asyncio.get_running_loop()
        end = loop.time() + LONE_SECONDS
        while loop.time() < end:
            await begin(deployment, len(ROUTERS), events=None)

    async def _take_up_at_stopped(self, deployment, stopped, rng, is_cut):
        """Let a version join while routers stand still, and streams come to these."""
        loop = asyncio.get_running_loop()
        others = [vm for vm in ROUTERS if vm not in stopped]
        old = await begin(deployment, STREAMS // 2, vms=others)
        deployment.send_signal(stopped, signal.SIGSTOP)
        if is_cut:
            deployment.hold_links(stopped, *Direction)
        end = loop.time() + rng.uniform(*STOP_DURATION)
        await asyncio.sleep(rng.uniform(*JOIN_DELAY))
        await deployment.add_engines(NEW)
        streams = []
        while not any(stream.versions == {NEW} for stream in streams):
            streams = await begin(deployment, STREAMS, vms=others)
        await asyncio.sleep(end - loop.time())
        streams = [stream for stream in old + streams if stream.first_attempt]
        waiting = take_up(deployment, streams[::2], vms=stopped)
        waiting = asyncio.create_task(waiting)
        await asyncio.sleep(SEND_SECONDS)
        deployment.send_signal(stopped, signal.SIGCONT)
        await take_up(deployment, streams[1::2], vms=stopped)
        await waiting
        self.assertEqual(0, len(mixed(streams)), "streams of two versions")
        return streams

    async def _check_calm(self, deployment, streams):
        """Check that all streams go on soon after the routers went on."""
        loop = asyncio.get_running_loop()
        end = loop.time() + CALM_SECONDS
        while whole_share(streams) < 1.0 and loop.time() < end:
            await take_up(deployment, streams)
        self.assertEqual(0, len(mixed(streams)), "streams of two versions")
        self.assertEqual(1.0, whole_share(streams))
