"""Inject random faults, planned work and configuration changes, which may overlap."""

import asyncio
import signal

import attrs

from lynxchute.platform.names import UPSTREAM_TABLE
from lynxchute.standins.link import Direction
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.upstream_run import Fault
from lynxchute.telemetry import log_event
from tests.soak.fleet import SCARCE_ACCOUNT

# Ranges in seconds. Most faults last longer than the interval between two of them.
FAULT_INTERVAL = (0.2, 1.6)
FAULT_DURATION = (0.3, 4.0)
ADDED_DELAY = (0.02, 0.3)
RESTART_DELAY = (0.2, 2.0)
# Seconds after which a draining upstream must get no new requests. The documented
# limit is 2 s.
DRAIN_SECONDS = 3.0
# Seconds after DRAIN_SECONDS in which new requests count as violations. The upstream
# stops at their end.
DRAINED_CHECK_SECONDS = 1.0
STOP_TIMEOUT = 8.0
TOP_UP_TOKENS = 5_000
HOLD_DIRECTIONS = ((Direction.TO_TARGET,), (Direction.FROM_TARGET,), tuple(Direction))
# Crashes are left out since DeadlyCaller sends requests that crash upstreams.
UPSTREAM_FAULTS = tuple(
    fault
    for fault in Fault
    # The relays take connections for crashed upstreams, so that the end of an answer
    # without a length cannot be told from a crash.
    if fault not in (Fault.UNSIGNED, Fault.CRASH, Fault.CUT_AND_CRASH)
)


@attrs.frozen
class FaultPlan:
    """Which faults are injected in a run, and for how long.

    Attributes
    ----------
    seconds
        Seconds during which faults begin.
    planned_only
        Whether only planned work is injected; the seed decides this.
    spares_links
        Whether links and answers of upstreams have no faults, so that only silence and
        ends of processes can break an answer off.
    """

    seconds: float
    planned_only: bool
    spares_links: bool = False


class FaultInjector:
    """Inject faults at random times and undo each one after a random duration."""

    def __init__(self, fleet, checker, rng, plan):
        self.counts = {}
        self.disturbed_until_by_vm = {}
        self.store_disturbed_until = float("-inf")
        self._fleet = fleet
        self._checker = checker
        self._rng = rng
        self._plan = plan
        self._tasks = set()
        self._busy_vms = set()
        self._store_fault_count = 0

    async def run(self):
        loop = asyncio.get_running_loop()
        end = loop.time() + self._plan.seconds
        fault_methods = PLANNED_WORK
        if self._plan.spares_links and not self._plan.planned_only:
            fault_methods = [*PLANNED_WORK, *FAULTS_SPARING_LINKS]
        elif not self._plan.planned_only:
            fault_methods = [*PLANNED_WORK, *UNPLANNED_FAULTS]
        while loop.time() < end:
            fault_method = self._rng.choice(fault_methods)
            name = fault_method.__name__.strip("_")
            self.counts[name] = self.counts.get(name, 0) + 1
            log_event("soak fault", fault=name)
            task = asyncio.create_task(fault_method(self))
            self._tasks.add(task)
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL))
        await asyncio.gather(*self._tasks)

    async def _sleep_fault_duration(self):
        await asyncio.sleep(self._rng.uniform(*FAULT_DURATION))

    def _pick_idle_router(self):
        """Return a random router that is not stopped, killed or paused, or None."""
        idle = sorted(set(self._fleet.routers_by_vm) - self._busy_vms)
        return self._fleet.routers_by_vm[self._rng.choice(idle)] if idle else None

    def _pick_upstream(self):
        running = [upstream for upstream in self._fleet.upstreams if upstream.is_up]
        return self._rng.choice(running)

    # Planned work

    async def _stop_router(self):
        """Stop a router with SIGTERM and start it again."""
        if self._plan.planned_only and self._busy_vms:
            # The platform stops a router only while the others are up to take over its
            # callers.
            return
        router = self._pick_idle_router()
        if router is None:
            return
        vm = router.process.vm
        self._busy_vms.add(vm)
        self._record_disturbed([(vm, router)])
        self._fleet.record_stop(vm)
        router.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                await router.process.process.wait()
        except TimeoutError:
            self._checker.record_violation("a stop ends in time", vm)
            await router.process.kill()
        await router.process.start()
        await router.process.ready()
        self._busy_vms.discard(vm)

    async def _reload(self):
        """Change a router's settings file and usually send it SIGHUP."""
        router = self._pick_idle_router()
        if router is None:
            return
        settings = router.process.settings
        grace = self._rng.choice((5, 6, 7))
        settings["bounds"]["grace_s"] = grace
        self._fleet.record_grace(router.process.vm, grace)
        router.process.file.write_text(str(settings).replace("'", '"'))
        # Until a process runs its first lines, any signal ends it.
        if self._rng.random() < 0.7 and await router.process.is_listening():
            router.process.send_signal(signal.SIGHUP)

    async def _change_configuration(self):
        for _ in range(self._rng.choice((1, 1, 5))):
            await self._fleet.configure()

    async def _top_up(self):
        await self._fleet.top_up(SCARCE_ACCOUNT, TOP_UP_TOKENS)

    async def _replace_upstream(self):
        """Add an upstream, drain an old one and stop it.

        The old upstream must get no new requests after DRAIN_SECONDS.
        """
        old = self._pick_upstream()
        standin = old.standin
        old.is_up = False
        count_before = self._store_fault_count
        await self._fleet.add_upstream(standin.service, standin.data_centre)
        if self._rng.random() < 0.3:
            # The entry disappears without a draining state.
            await self._fleet.store.drop(UPSTREAM_TABLE, standin.id)
        else:
            standin.state = "draining"
            await standin.register(self._fleet.store)
        await asyncio.sleep(DRAIN_SECONDS)
        arrival_count = len(standin.arrivals)
        await asyncio.sleep(DRAINED_CHECK_SECONDS)
        late_arrivals = standin.arrivals[arrival_count:]
        # A router that was paused or disconnected may not have been informed.
        all_informed = self._store_fault_count == count_before
        if late_arrivals and all_informed and not self._checker.disturbed_vms:
            detail = f"{standin.id}: {late_arrivals}"
            self._checker.record_violation("leaving upstreams get nothing new", detail)
        await self._fleet.store.drop(UPSTREAM_TABLE, standin.id)
        await standin.stop()

    # Unplanned faults

    async def kill_router(self):
        router = self._pick_idle_router()
        if router is not None:
            await self._kill([router])

    async def kill_all(self):
        routers = []
        for vm, router in self._fleet.routers_by_vm.items():
            if vm not in self._busy_vms:
                routers.append(router)
        await self._kill(routers)

    async def _kill(self, routers):
        vms = {router.process.vm for router in routers}
        self._checker.disturbed_vms |= vms
        self._record_disturbed([(vm, None) for vm in vms])
        self._busy_vms |= vms
        loop = asyncio.get_running_loop()
        for router in routers:
            self._fleet.kills_by_vm[router.process.vm].append(loop.time())
            await router.process.kill()
        await asyncio.sleep(self._rng.uniform(*RESTART_DELAY))
        for router in routers:
            await router.process.start()
        # Does not wait for readiness, since the store may be unavailable now. The
        # recovery check at the end of the run verifies readiness.
        self._busy_vms -= vms

    async def _pause_router(self):
        router = self._pick_idle_router()
        if router is None:
            return
        vm = router.process.vm
        self._checker.disturbed_vms.add(vm)
        self._record_disturbed([(vm, router)])
        self._busy_vms.add(vm)
        router.process.send_signal(signal.SIGSTOP)
        await self._sleep_fault_duration()
        router.process.send_signal(signal.SIGCONT)
        self._busy_vms.discard(vm)

    def _record_disturbed(self, vm_pairs):
        now = asyncio.get_running_loop().time()
        for vm, _ in vm_pairs:
            self.disturbed_until_by_vm[vm] = now + FAULT_DURATION[1]

    def _vms_and_links(self):
        routers = list(self._fleet.routers_by_vm.values())
        pairs = []
        for router in routers:
            pairs.extend((router.process.vm, link) for link in router.links)
        pairs.extend(("", upstream.link) for upstream in self._fleet.upstreams)
        return pairs

    def _pick_links(self):
        links = self._vms_and_links()
        vms_and_links = self._rng.sample(links, self._rng.choice((1, 1, 2, 4)))
        if self._rng.random() < 0.25:
            # The links of all routers to the store
            routers = self._fleet.routers_by_vm.values()
            vms_and_links = [(r.process.vm, r.store_link) for r in routers]
        self._checker.disturbed_vms |= {vm for vm, _ in vms_and_links}
        self._record_disturbed(vms_and_links)
        self._store_fault_count += 1
        return [link for _, link in vms_and_links]

    async def _reset_links(self):
        for link in self._pick_links():
            link.reset()

    async def _slow_links(self):
        links = self._pick_links()
        for link in links:
            link.delay = self._rng.uniform(*ADDED_DELAY)
        await self._sleep_fault_duration()
        for link in links:
            link.delay = 0.0

    async def _hold_links(self):
        """Hold back the bytes of one or both directions."""
        links = self._pick_links()
        for link in links:
            link.hold(*self._rng.choice(HOLD_DIRECTIONS))
        await self._sleep_fault_duration()
        for link in links:
            link.hold()

    async def _cut_links(self):
        links = self._pick_links()
        for link in links:
            link.set_cut(True)
        await self._sleep_fault_duration()
        for link in links:
            link.set_cut(False)

    def record_store_fault(self):
        """Record that the store is disturbed from now on."""
        self._store_fault_count += 1
        self.store_disturbed_until = (
            asyncio.get_running_loop().time() + FAULT_DURATION[1]
        )

    def _pick_store_faults(self):
        self.record_store_fault()
        ports = [r.store_port for r in self._fleet.routers_by_vm.values()]
        if self._rng.random() < 0.5:
            ports = [self._rng.choice(ports)]
        return [self._fleet.store.faults_by_port[port] for port in ports]

    async def _store_away(self):
        """Make the store unavailable to one router or to all."""
        faults = self._pick_store_faults()
        outage = self._rng.choice([o for o in Outage if o is not Outage.NONE])
        for fault in faults:
            fault.outage = outage
        await self._sleep_fault_duration()
        for fault in faults:
            fault.outage = Outage.NONE

    async def _store_slow(self):
        """Delay the store's answers to one router or to all."""
        faults = self._pick_store_faults()
        for fault in faults:
            fault.delay = self._rng.uniform(*ADDED_DELAY)
        await self._sleep_fault_duration()
        for fault in faults:
            fault.delay = 0.0

    async def _store_loses_answers(self):
        """Drop 40% of the store's answers and deliver 30% late."""
        faults = self._pick_store_faults()
        for fault in faults:
            fault.lost_share, fault.late_share = 0.4, 0.3
        await self._sleep_fault_duration()
        for fault in faults:
            fault.lost_share = fault.late_share = 0.0

    async def _store_forgets(self):
        """Discard the store's history of changes."""
        self._store_fault_count += 1
        self._fleet.store.discard_history()

    async def _upstream_faults(self):
        """Make an upstream fail up to 6 of its next requests."""
        standin = self._pick_upstream().standin
        count = self._rng.randint(1, 6)
        standin.faults.extend(self._rng.choices(UPSTREAM_FAULTS, k=count))

    async def _crash_upstream(self):
        old = self._pick_upstream()
        old.is_up = False
        standin = old.standin
        await standin.stop()
        await asyncio.sleep(self._rng.uniform(*RESTART_DELAY))
        new = await self._fleet.add_upstream(standin.service, standin.data_centre)
        if self._rng.random() < 0.5:
            # Another upstream, of any service, is now reached at the old address.
            old.link.target = f"127.0.0.1:{self._pick_upstream().standin.port}"
        await asyncio.sleep(self._rng.uniform(*FAULT_DURATION))
        await self._fleet.store.drop(UPSTREAM_TABLE, standin.id)
        assert new.standin.id != standin.id


PLANNED_WORK = (
    FaultInjector._stop_router,
    FaultInjector._reload,
    FaultInjector._change_configuration,
    FaultInjector._top_up,
    FaultInjector._replace_upstream,
)
UNPLANNED_FAULTS = (
    FaultInjector.kill_router,
    FaultInjector.kill_all,
    FaultInjector._pause_router,
    FaultInjector._reset_links,
    FaultInjector._slow_links,
    FaultInjector._hold_links,
    FaultInjector._cut_links,
    FaultInjector._store_away,
    FaultInjector._store_slow,
    FaultInjector._store_loses_answers,
    FaultInjector._store_forgets,
    FaultInjector._upstream_faults,
    FaultInjector._crash_upstream,
)
FAULTS_SPARING_LINKS = (
    FaultInjector.kill_router,
    FaultInjector.kill_all,
    FaultInjector._store_away,
    FaultInjector._store_slow,
    FaultInjector._store_loses_answers,
    FaultInjector._store_forgets,
    FaultInjector._crash_upstream,
)
