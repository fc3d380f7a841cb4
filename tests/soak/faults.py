"""Random faults, planned work and changes, in series and overlapping."""

import asyncio
import signal

import attrs

from lynxchute.platform.names import UPSTREAM_TABLE
from lynxchute.standins.link import Direction
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.upstream_run import Fault
from lynxchute.telemetry import log_event
from tests.soak.fleet import SCARCE

# Seconds between the beginnings of two faults; most last longer than that.
GAP = (0.2, 1.6)
LASTS = (0.3, 4.0)
SLOW = (0.02, 0.3)
RESTART_AFTER = (0.2, 2.0)
# Leaving upstreams get nothing new after this many seconds, of which the
# pages give two.
DRAINED_AFTER = 3.0
# They end so many seconds after that.
ENDS_AFTER = 1.0
STOP_WITHIN = 8.0
TOP_UP = 5_000
ONE_WAY = ((Direction.TO_TARGET,), (Direction.FROM_TARGET,), tuple(Direction))
# What ends an upstream has a caller of its own.
UPSTREAM_FAULTS = tuple(
    fault for fault in Fault if fault not in (Fault.UNSIGNED, Fault.CRASH)
)


@attrs.frozen
class Plan:
    """What goes wrong in one run; the same for the same seed."""

    seconds: float
    planned_only: bool


class Injector:
    """Begin faults at random moments and heal each of them after a while."""

    def __init__(self, fleet, checker, rng, plan):
        self.counts = {}
        self.disturbed_at_by_vm = {}
        self.store_disturbed_at = float("-inf")
        self._fleet = fleet
        self._checker = checker
        self._rng = rng
        self._plan = plan
        self._tasks = set()
        self._busy_vms = set()
        self._store_faults = 0

    async def run(self):
        loop = asyncio.get_running_loop()
        end = loop.time() + self._plan.seconds
        kinds = PLANNED if self._plan.planned_only else [*PLANNED, *UNPLANNED]
        while loop.time() < end:
            kind = self._rng.choice(kinds)
            name = kind.__name__.strip("_")
            self.counts[name] = self.counts.get(name, 0) + 1
            log_event("soak fault", fault=name)
            task = asyncio.create_task(kind(self))
            self._tasks.add(task)
            await asyncio.sleep(self._rng.uniform(*GAP))
        await asyncio.gather(*self._tasks)

    async def _while_it_lasts(self):
        await asyncio.sleep(self._rng.uniform(*LASTS))

    def _router(self):
        """Return a router whose process is not being handled, if there is one."""
        idle = sorted(set(self._fleet.routers_by_vm) - self._busy_vms)
        return self._fleet.routers_by_vm[self._rng.choice(idle)] if idle else None

    def _upstream(self):
        up = [upstream for upstream in self._fleet.upstreams if upstream.is_up]
        return self._rng.choice(up)

    # Planned work.

    async def _stop_router(self):
        if self._plan.planned_only and self._busy_vms:
            # Others must be there to take the callers, as the platform sees to.
            return
        router = self._router()
        if router is None:
            return
        vm = router.process.vm
        self._busy_vms.add(vm)
        self._note_disturbed([(vm, router)])
        router.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_WITHIN):
                await router.process.process.wait()
        except TimeoutError:
            self._checker.note("a stop ends in time", vm)
            await router.process.kill()
        await router.process.start()
        await router.process.ready()
        self._busy_vms.discard(vm)

    async def _reload(self):
        router = self._router()
        if router is None:
            return
        settings = router.process.settings
        settings["bounds"]["grace_s"] = self._rng.choice((5, 6, 7))
        router.process.file.write_text(str(settings).replace("'", '"'))
        if self._rng.random() < 0.7:
            router.process.send_signal(signal.SIGHUP)

    async def _change_configuration(self):
        for _ in range(self._rng.choice((1, 1, 5))):
            await self._fleet.configure()

    async def _top_up(self):
        await self._fleet.top_up(SCARCE, TOP_UP)

    async def _replace_upstream(self):
        old = self._upstream()
        standin = old.standin
        old.is_up = False
        faults_before = self._store_faults
        await self._fleet.add_upstream(standin.service, standin.data_centre)
        if self._rng.random() < 0.3:
            # Some never say that they leave; their entry is gone.
            await self._fleet.store.drop(UPSTREAM_TABLE, standin.id)
        else:
            standin.state = "draining"
            await standin.register(self._fleet.store)
        await asyncio.sleep(DRAINED_AFTER)
        arrived = len(standin.arrivals)
        await asyncio.sleep(ENDS_AFTER)
        late = standin.arrivals[arrived:]
        # A router that was paused or cut off may not know.
        all_know = self._store_faults == faults_before
        if late and all_know and not self._checker.disturbed_vms:
            what = f"{standin.id}: {late}"
            self._checker.note("leaving upstreams get nothing new", what)
        await self._fleet.store.drop(UPSTREAM_TABLE, standin.id)
        await standin.stop()

    # Faults.

    async def _kill_router(self):
        router = self._router()
        if router is not None:
            await self._kill([router])

    async def _kill_all(self):
        routers = []
        for vm, router in self._fleet.routers_by_vm.items():
            if vm not in self._busy_vms:
                routers.append(router)
        await self._kill(routers)

    async def _kill(self, routers):
        vms = {router.process.vm for router in routers}
        self._checker.disturbed_vms |= vms
        self._note_disturbed([(vm, None) for vm in vms])
        self._busy_vms |= vms
        for router in routers:
            await router.process.kill()
        await asyncio.sleep(self._rng.uniform(*RESTART_AFTER))
        for router in routers:
            await router.process.start()
        # Whether it becomes ready again is seen at the end: the store may be
        # away for now.
        self._busy_vms -= vms

    async def _pause_router(self):
        router = self._router()
        if router is None:
            return
        vm = router.process.vm
        self._checker.disturbed_vms.add(vm)
        self._note_disturbed([(vm, router)])
        self._busy_vms.add(vm)
        router.process.send_signal(signal.SIGSTOP)
        await self._while_it_lasts()
        router.process.send_signal(signal.SIGCONT)
        self._busy_vms.discard(vm)

    def _note_disturbed(self, vms_and_things):
        now = asyncio.get_running_loop().time()
        for vm, _ in vms_and_things:
            self.disturbed_at_by_vm[vm] = now + LASTS[1]

    def _links(self):
        routers = list(self._fleet.routers_by_vm.values())
        found = []
        for router in routers:
            found.extend((router.process.vm, link) for link in router.links)
        found.extend(("", upstream.link) for upstream in self._fleet.upstreams)
        return found

    def _some_links(self):
        links = self._links()
        vms_and_links = self._rng.sample(links, self._rng.choice((1, 1, 2, 4)))
        if self._rng.random() < 0.25:
            # All routers' ways to the store at once.
            routers = self._fleet.routers_by_vm.values()
            vms_and_links = [(r.process.vm, r.store_link) for r in routers]
        self._checker.disturbed_vms |= {vm for vm, _ in vms_and_links}
        self._note_disturbed(vms_and_links)
        self._store_faults += 1
        return [link for _, link in vms_and_links]

    async def _reset_links(self):
        for link in self._some_links():
            link.reset()

    async def _slow_links(self):
        links = self._some_links()
        for link in links:
            link.delay = self._rng.uniform(*SLOW)
        await self._while_it_lasts()
        for link in links:
            link.delay = 0.0

    async def _hold_links(self):
        """Hold bytes one way, or both ways."""
        links = self._some_links()
        for link in links:
            link.hold(*self._rng.choice(ONE_WAY))
        await self._while_it_lasts()
        for link in links:
            link.hold()

    async def _cut_links(self):
        links = self._some_links()
        for link in links:
            link.set_cut(True)
        await self._while_it_lasts()
        for link in links:
            link.set_cut(False)

    def _some_store_faults(self):
        self._store_faults += 1
        self.store_disturbed_at = asyncio.get_running_loop().time() + LASTS[1]
        ports = [r.store_port for r in self._fleet.routers_by_vm.values()]
        if self._rng.random() < 0.5:
            ports = [self._rng.choice(ports)]
        return [self._fleet.store.faults_by_port[port] for port in ports]

    async def _store_away(self):
        faults = self._some_store_faults()
        outage = self._rng.choice([o for o in Outage if o is not Outage.NONE])
        for fault in faults:
            fault.outage = outage
        await self._while_it_lasts()
        for fault in faults:
            fault.outage = Outage.NONE

    async def _store_slow(self):
        faults = self._some_store_faults()
        for fault in faults:
            fault.delay = self._rng.uniform(*SLOW)
        await self._while_it_lasts()
        for fault in faults:
            fault.delay = 0.0

    async def _store_loses_answers(self):
        faults = self._some_store_faults()
        for fault in faults:
            fault.lost_share, fault.late_share = 0.4, 0.3
        await self._while_it_lasts()
        for fault in faults:
            fault.lost_share = fault.late_share = 0.0

    async def _store_forgets(self):
        self._store_faults += 1
        self._fleet.store.forget_history()

    async def _upstream_faults(self):
        standin = self._upstream().standin
        count = self._rng.randint(1, 6)
        standin.faults.extend(self._rng.choices(UPSTREAM_FAULTS, k=count))

    async def _crash_upstream(self):
        old = self._upstream()
        old.is_up = False
        standin = old.standin
        await standin.stop()
        await asyncio.sleep(self._rng.uniform(*RESTART_AFTER))
        new = await self._fleet.add_upstream(standin.service, standin.data_centre)
        if self._rng.random() < 0.5:
            # Its address goes to another upstream, of any service.
            old.link.target = f"127.0.0.1:{self._upstream().standin.port}"
        await asyncio.sleep(self._rng.uniform(*LASTS))
        await self._fleet.store.drop(UPSTREAM_TABLE, standin.id)
        assert new.standin.id != standin.id


PLANNED = (
    Injector._stop_router,
    Injector._reload,
    Injector._change_configuration,
    Injector._top_up,
    Injector._replace_upstream,
)
UNPLANNED = (
    Injector._kill_router,
    Injector._kill_all,
    Injector._pause_router,
    Injector._reset_links,
    Injector._slow_links,
    Injector._hold_links,
    Injector._cut_links,
    Injector._store_away,
    Injector._store_slow,
    Injector._store_loses_answers,
    Injector._store_forgets,
    Injector._upstream_faults,
    Injector._crash_upstream,
)
