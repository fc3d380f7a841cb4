"""Streams begin and are taken up while engines restart and routers come and go.

No network: routers ask one another by calls, and engines answer for their true process.
"""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.http.link_meter import UNLIMITED_LINK
from lynxchute.resumption import StreamOrigins
from lynxchute.store import Snapshot, Store, StoreClock, StoreUnavailable
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.directory import REGISTRATION_SECONDS, Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable, Probe
from lynxchute.upstreams.stream_origin import StreamOrigin
from lynxchute.upstreams.upstream import Upstream

VMS = ("a-1", "a-2", "b-1", "b-2")
ENGINES = ("e1", "e2", "e3")
VERSIONS = ("v1", "v2")
SERVICE = "pool"
STREAM_TIMEOUT = 15.0
MAX_AGE = 45.0
# Age of the known entries in seconds beyond which a router takes them as out of date.
MAX_UNCONFIRMED = 2.0
# Seconds within which routers see changes while the store answers, and within which an
# engine that has restarted has its entry.
FEED_LAG = 1.0
ENTRY_LAG = 0.75 * REGISTRATION_SECONDS
MAX_STREAMS = 40


class AbsentStore(Store):
    """A store that answers nothing, so that origins come from routers only."""

    def __init__(self):
        self.clock = StoreClock()

    async def write(self, write):
        raise StoreUnavailable("absent")

    async def scan(self, table, *, part=""):
        return Snapshot((), 0)

    async def changes(self, table, *, after, wait):
        raise StoreUnavailable("absent")


class DirectPeers(Peers):
    """Messages to other routers, which a partition loses."""

    def __init__(self, machine, vm):
        self._machine, self._vm = machine, vm

    async def ask(self, vm, message):
        if frozenset((vm, self._vm)) in self._machine.cuts:
            raise PeerUnreachable(vm)
        return await self._machine.routers[vm].handlers[type(message)](message)


class TrueEngines(EngineClient):
    """Engines that report which process they are."""

    def __init__(self, machine):
        self._machine = machine

    async def probe(self, upstream):
        if upstream.id in self._machine.down:
            raise EngineUnavailable("down")
        return Probe(started_ms=self._machine.processes[upstream.id][0])

    async def cached_parts(self, upstream):
        return []


class Router:
    """One router: what it knows of engines and streams."""

    def __init__(self, machine, vm):
        self.machine = machine
        self.confirmed_at = float("-inf")
        self.handlers = self.handlers_by_class = {}
        members = Members(self._member(vm))
        for other in VMS:
            if other != vm:
                members.put(self._member(other))
        self.directory = Directory()
        self.directory.confirmed_at = lambda: self.confirmed_at
        self.origins = StreamOrigins(
            members,
            DirectPeers(machine, vm),
            AbsentStore(),
            self.directory,
            TrueEngines(machine),
            Metrics(),
            UNLIMITED_LINK,
            lambda: machine.now,
            max_age=lambda: MAX_AGE,
            is_history_known=lambda: True,
            unconfirmed_seconds=lambda now: now - self.confirmed_at,
            max_unconfirmed=lambda: MAX_UNCONFIRMED,
        )
        self.origins.serve(self)
        for version in machine.versions:
            # The record of versions in the store names those that are gone.
            self.directory.versions.record(SERVICE, version, machine.now)
        self.sync()

    def _member(self, vm):
        return Member(vm, vm[0], f"of {vm}", "127.0.0.1:1")

    def sync(self):
        """Read the entries of engines as the store has them."""
        now = self.machine.now
        for engine, (start, version) in self.machine.rows.items():
            upstream = Upstream(
                engine,
                SERVICE,
                f"{engine}:1",
                "a",
                started_ms=start,
                software_version=version,
            )
            self.directory.put(upstream, now)
        for engine in set(ENGINES) - set(self.machine.rows):
            self.directory.remove(engine, now)
        self.directory.observe_versions(now)
        self.confirmed_at = now


class OriginsMachine(RuleBasedStateMachine):
    """Check that no stream goes on at another version than the one that began it."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.cuts = set()
        self.processes, self.rows = {}, {}
        self.down = set()
        self.versions = set()
        self.pending_since = {}
        self.is_store_up = True
        self.routers = {}
        self.streams = []
        self.went_on = 0
        self.loop = asyncio.new_event_loop()

    def teardown(self):
        self.loop.close()

    @initialize()
    def start(self):
        for number, engine in enumerate(ENGINES):
            self.processes[engine] = (1000, VERSIONS[number % 2])
        self.rows = dict(self.processes)
        self.versions = set(VERSIONS)
        for vm in VMS:
            self.routers[vm] = Router(self, vm)

    def run(self, work):
        return self.loop.run_until_complete(work)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 3.0, 20.0)))
    def advance(self, seconds):
        """Let time pass; entries and views are updated in time if the store answers."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 0.25, end)
            if not self.is_store_up:
                continue
            for engine, since in list(self.pending_since.items()):
                if self.now - since >= ENTRY_LAG:
                    self.register(engine)
            for router in self.routers.values():
                if self.now - router.confirmed_at >= FEED_LAG:
                    router.sync()

    @rule(engine=st.sampled_from(ENGINES), version=st.sampled_from(VERSIONS))
    def restart(self, engine, version):
        """Restart an engine under its id."""
        self.down.discard(engine)
        self.processes[engine] = (self.processes[engine][0] + 1000, version)
        self.pending_since.setdefault(engine, self.now)
        routers = self.routers.values()
        if any(router.origins.sole_version(SERVICE) for router in routers):
            # Nothing is told while a service has one version, so that the first second
            # of another one is not covered.
            self.register(engine)
            for router in routers:
                router.sync()

    @rule(engine=st.sampled_from(ENGINES))
    def die(self, engine):
        """End an engine, with its entry if it has one."""
        self.down.add(engine)
        self.pending_since.pop(engine, None)
        if self.is_store_up:
            self.rows.pop(engine, None)

    @rule(engine=st.sampled_from(ENGINES))
    def register(self, engine):
        if self.is_store_up and engine not in self.down:
            self.rows[engine] = self.processes[engine]
            self.versions.add(self.processes[engine][1])
            self.pending_since.pop(engine, None)

    @rule(vm=st.sampled_from(VMS))
    def sync(self, vm):
        if self.is_store_up:
            self.routers[vm].sync()

    @rule(is_up=st.booleans())
    def change_store(self, is_up):
        self.is_store_up = is_up
        if is_up:
            for engine in list(self.pending_since):
                self.pending_since[engine] = self.now

    @rule(pair=st.sampled_from([(a, b) for a in VMS for b in VMS if a < b]))
    def cut(self, pair):
        self.cuts.add(frozenset(pair))

    @rule(vm=st.sampled_from(VMS))
    def cut_off(self, vm):
        for other in VMS:
            if other != vm:
                self.cuts.add(frozenset((vm, other)))

    @rule()
    def heal(self):
        self.cuts.clear()

    @rule(vm=st.sampled_from(VMS))
    def kill(self, vm):
        if self.is_store_up:
            self.routers[vm] = Router(self, vm)

    @rule(vm=st.sampled_from(VMS), engine=st.sampled_from(ENGINES))
    def begin(self, vm, engine):
        """Begin a stream at an engine as a router knows it."""
        if len(self.streams) >= MAX_STREAMS:
            return
        router = self.routers[vm]
        entry = router.directory.entries_by_id.get(engine)
        if entry is None or engine in self.down:
            return
        upstream = entry.upstream
        attempt = f"q{len(self.streams)}"
        self.streams.append((attempt, self.processes[engine][1]))
        if upstream.software_version is None:
            return
        origin = StreamOrigin(
            SERVICE,
            upstream.software_version,
            engine,
            upstream.started_ms,
            began_at=self.now,
        )
        self.run(self.record(router, attempt, origin))

    async def record(self, router, attempt, origin):
        """Let a router notice the first event of a stream, and tell it."""
        router.origins.record("account", attempt, origin, timeout=STREAM_TIMEOUT)
        await self.tell(router)

    async def tell(self, router):
        """Let a router ask the engines of its streams, and tell what is proven."""
        for _ in range(2):
            await router.origins.send_loop._step()
            await router.origins.prove_loop._step()
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    @rule(vm=st.sampled_from(VMS), stream=st.integers(0, MAX_STREAMS - 1))
    def take_up(self, vm, stream):
        """Take one of the last streams up at a router, and go on where it may."""
        if not self.streams:
            return
        attempt, true_version = self.streams[-1 - stream % len(self.streams)]
        router = self.routers[vm]
        lookup = self.run(router.origins.find("account", attempt, SERVICE))
        if lookup.origin is None:
            return
        for engine in ENGINES:
            self.go_on(router, lookup, engine, true_version)

    def go_on(self, router, lookup, engine, true_version):
        entry = router.directory.entries_by_id.get(engine)
        if entry is None or engine in self.down:
            return
        if not entry.upstream.may_run(lookup.origin.software_version):
            return
        if not self.run(router.origins.confirm_process(entry)):
            return
        self.went_on += 1
        found = self.processes[engine][1]
        assert found == true_version, f"begun at {true_version}, goes on at {found}"
