"""The router processes of a soak test, the stand-ins and the links between them."""

import asyncio
import collections

import attrs

from lynxchute.edge.settings import DeploymentBounds
from lynxchute.standins.link import Link
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.platform_support import DATA_CENTRES, configuration, free_port, route
from tests.router_process import RouterProcess
from tests.soak import silence
from tests.soak.forwarding import RequestTrace, log_time
from tests.soak.links import UpstreamLinks, has_links, places
from tests.soak.out_of_step import PeerLinks, is_out_of_step
from tests.soak.starts import RouterStart
from tests.soak.stops import GraceHistory, RouterStop

AMPLE_ACCOUNT, SCARCE_ACCOUNT = "ample", "scarce"
AMPLE_TOKENS = 50_000_000
SCARCE_TOKENS = 30_000
EVENTS_PER_STREAM = 6
EVENT_DELAY = 0.01
# Engines are cold after a start and after an evacuation. They are configured to bear
# 6.6 requests per second while cold; the fleet may send one at most 14 in any second.
COLD_SECONDS, COLD_REQUEST_RATE, MAX_COLD_REQUESTS = 1.5, 6.6, 14
# Each configuration version adds a route that identifies it; the routes of this many
# latest versions are kept.
MAX_VERSION_ROUTES = 50
ROUTER_MODULES = ("tests.linked_router", "tests.suspendable_router")


class SoakStandin(PlatformUpstreamStandin):
    """A stand-in upstream that records when it and its runs ended.

    Attributes
    ----------
    ends
        Times of the event loop's clock in seconds at which it ended.
    end_times_by_run
        Times at which it stopped working on a run.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.ends = []
        self.end_times_by_run = {}

    async def stop(self):
        self.ends.append(asyncio.get_running_loop().time())
        await super().stop()

    def was_working(self, request_id, time):
        """Return whether it worked on a request at a time or later."""
        for run in self.runs:
            if run.request_id != request_id:
                continue
            if self.end_times_by_run.get(run, float("inf")) >= time:
                return True
        return False

    async def _answer(self, exchange):
        try:
            return await super()._answer(exchange)
        finally:
            ended_at = asyncio.get_running_loop().time()
            self.end_times_by_run[exchange.run] = ended_at


@attrs.define(eq=False)
class SoakUpstream:
    """A stand-in upstream and the link through which routers reach it."""

    standin: SoakStandin
    link: Link
    is_up: bool = True


@attrs.define(eq=False)
class SoakRouter:
    """A router process and the links for its connections."""

    process: RouterProcess
    store_port: int
    store_link: Link
    peer_link: Link
    caller_link: Link

    @property
    def links(self):
        return [self.store_link, self.peer_link, self.caller_link]


class SoakFleet:
    """Start, reconfigure and stop the routers, upstreams and store of one run."""

    def __init__(self, folder, seed, *, routers, engines=3, apps=2, contracts=()):
        self.folder = folder
        self.contracts = contracts
        self.store = PlatformStoreStandin(seed=seed)
        self.routers_by_vm = {}
        self.upstreams = []
        self.version = 0
        self.software_version = "v1"
        self.event_delay = EVENT_DELAY
        self.idle_timeout_ms = None
        self.timeout_ms = None
        self.bounds = DeploymentBounds()
        # Times at which routers were killed, by VM.
        self.kills_by_vm = collections.defaultdict(list)
        self.stops_by_vm = collections.defaultdict(list)
        self.graces_by_vm = {}
        self._lone_version = ""
        if silence.has_silence(seed):
            self.event_delay = silence.EVENT_DELAY
            self.timeout_ms = max(silence.DEADLINES_MS)
            self._lone_version = silence.LONE_VERSION
        self.prepaid_by_account = {
            AMPLE_ACCOUNT: AMPLE_TOKENS,
            SCARCE_ACCOUNT: SCARCE_TOKENS,
        }
        self._vms = [f"{DATA_CENTRES[n % 2]}-{n // 2 + 1}" for n in range(routers)]
        self.upstream_links = None
        if has_links(seed):
            self.upstream_links = UpstreamLinks(folder, self._vms)
        self.peer_links = PeerLinks(folder) if is_out_of_step(seed) else None
        self._services = ["pool"] * engines + ["app"] * apps

    async def start(self):
        for number, service in enumerate(self._services):
            await self.add_upstream(service, DATA_CENTRES[number % 2])
        if self._lone_version:
            lone = self.upstreams[0].standin
            lone.software_version = self._lone_version
            await lone.register(self.store)
        await self.configure()
        for vm in self._vms:
            await self._add_router(vm)
        if self.peer_links is not None:
            addresses_by_vm = {}
            for vm, router in self.routers_by_vm.items():
                addresses_by_vm[vm] = f"127.0.0.1:{router.peer_link.port}"
            await self.peer_links.start(addresses_by_vm)
        for router in self.routers_by_vm.values():
            await router.process.start()
        for router in self.routers_by_vm.values():
            await router.process.ready()

    async def stop(self):
        for router in self.routers_by_vm.values():
            await router.process.kill()
            for link in router.links:
                await link.stop()
        for upstream in self.upstreams:
            await upstream.standin.stop()
            await upstream.link.stop()
        if self.upstream_links is not None:
            await self.upstream_links.stop()
        if self.peer_links is not None:
            await self.peer_links.stop()
        await self.store.close()

    async def configure(self):
        """Write the next configuration version, with a route that identifies it."""
        self.version += 1
        document = configuration(version=self.version)
        for version in range(
            max(self.version - MAX_VERSION_ROUTES, 0) + 1, self.version + 1
        ):
            version_route = route(
                f"v{version}", f"/v{version}/", "app", "safe", public=True
            )
            document["routes"].append(version_route)
        document["tenants"] = [
            {"name": name, "api_keys": [f"key-of-{name}"], "prepaid": tokens}
            for name, tokens in self.prepaid_by_account.items()
        ]
        for service in document["services"]:
            if service["name"] == "pool":
                service["cold_start_s"] = COLD_SECONDS
                service["cold_per_s"] = COLD_REQUEST_RATE
        if self.idle_timeout_ms is not None:
            document["limits"]["idle_timeout_ms"] = self.idle_timeout_ms
        if self.timeout_ms is not None:
            for changed_route in document["routes"]:
                changed_route["timeout_ms"] = self.timeout_ms
        await self.store.configure(document)

    async def top_up(self, account, tokens):
        """Add prepaid tokens to an account in a new configuration version."""
        self.prepaid_by_account[account] += tokens
        await self.configure()

    async def add_upstream(self, service, data_centre):
        events = EVENTS_PER_STREAM if service == "pool" else 0
        standin = SoakStandin(
            service, data_centre, events=events, event_delay=self.event_delay
        )
        standin.software_version = self.software_version
        await standin.start()
        link = Link(f"127.0.0.1:{standin.port}")
        await link.start()
        standin.advertised_port = link.port
        if self.upstream_links is not None:
            await self.upstream_links.add(standin.address)
            if service == "app":
                standin.places = places()
        if self.version and service == "pool":
            # An engine that joins a running fleet starts cold.
            standin.become_cold(COLD_SECONDS)
        await standin.register(self.store)
        upstream = SoakUpstream(standin, link)
        self.upstreams.append(upstream)
        return upstream

    async def _add_router(self, vm):
        store_port = await self.store.open_port()
        store_link = Link(f"127.0.0.1:{store_port}")
        await store_link.start()
        peer_port = free_port()
        peer_link = Link(f"127.0.0.1:{peer_port}")
        await peer_link.start()
        links = self.upstream_links or self.peer_links
        process = RouterProcess(
            self.folder,
            vm,
            store_link.port,
            peers_at=peer_port,
            peers_reached_at=peer_link.port,
            # Routers of every second VM see a pause (SIGSTOP) as a suspension of the
            # VM, the others as a frozen process.
            module=ROUTER_MODULES[len(self.routers_by_vm) % 2],
            contracts=self.contracts,
            links_file=links.file(vm) if links else None,
        )
        process.settings["bounds"]["retry_budget_extra"] = self.bounds.retry_extra
        grace = process.settings["bounds"]["grace_s"]
        self.graces_by_vm[vm] = GraceHistory(grace)
        caller_link = Link(f"127.0.0.1:{process.ports['front']}")
        await caller_link.start()
        self.routers_by_vm[vm] = SoakRouter(
            process, store_port, store_link, peer_link, caller_link
        )

    def use_short_delays(self):
        """Let all upstreams, and those that are added, answer fast."""
        self.event_delay = EVENT_DELAY
        for upstream in self.upstreams:
            upstream.standin.event_delay = EVENT_DELAY

    def has_lost_part(self, request_id, vm, since, until):
        """Return whether a router or an upstream of a request ended within a time.

        A router that forwarded the request counts only if no other upstream could take
        the request over.
        """
        ends = list(self.kills_by_vm[vm])
        for upstream in self.upstreams:
            standin = upstream.standin
            if any(run.request_id == request_id for run in standin.runs):
                ends += standin.ends
        if any(since <= end <= until for end in ends):
            return True
        return self._has_lost_forwarder(request_id, vm, since, until)

    def record_grace(self, vm, grace):
        """Record that a router's settings file has a grace period from now on."""
        now = asyncio.get_running_loop().time()
        self.graces_by_vm[vm].add(now, grace)

    def record_stop(self, vm):
        """Record that a router is sent SIGTERM now."""
        now = asyncio.get_running_loop().time()
        grace = self.graces_by_vm[vm].longest_at(now)
        starts = self.routers_by_vm[vm].process.starts
        self.stops_by_vm[vm].append(RouterStop(starts, now, grace))

    def was_cut_by_stop(self, record):
        """Return whether the end of a stop's time cut an answer, as is allowed.

        An upstream must have been at work on the request when the router could cut it
        at the earliest, or later.
        """
        for stop in self.stops_by_vm[record.vm]:
            if not stop.may_cut(record):
                continue
            if not any(
                upstream.standin.was_working(record.request_id, stop.may_cut_from)
                for upstream in self.upstreams
            ):
                continue
            log = self.folder / f"{record.vm}.log"
            return RequestTrace.read(log, record.request_id).ended_with_stop
        return False

    def start_wait(self, record):
        """Return for how many seconds a request may have waited for a starting router.

        A starting process accepts connections before it can answer; requests wait in
        its backlog for as long as the start itself waits for a processor.
        """
        sent_at = log_time(record.sent_at, asyncio.get_running_loop())
        for start in RouterStart.read_all(self.folder / f"{record.vm}.log"):
            if wait := start.wait_of_request(sent_at):
                return wait
        return 0.0

    def _has_lost_forwarder(self, request_id, vm, since, until):
        """Return whether an answer ended with the router that forwarded it."""
        if not any(self.kills_by_vm.values()):
            return False
        loop = asyncio.get_running_loop()
        trace = RequestTrace.read(self.folder / f"{vm}.log", request_id)
        kills = self.kills_by_vm.get(trace.forwarder, ())
        kill_times = [log_time(kill, loop) for kill in kills if since <= kill <= until]
        return trace.ended_with_forwarder(kill_times)

    def runs(self):
        """Yield the runs of all upstreams, including those that were stopped."""
        for upstream in self.upstreams:
            yield from upstream.standin.runs
