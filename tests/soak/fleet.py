"""The routers of a soak, their stand-ins, and the links between all of them."""

import attrs

from lynxchute.standins.link import Link
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.platform_support import DATA_CENTRES, configuration, free_port, route
from tests.router_process import RouterProcess

AMPLE, SCARCE = "ample", "scarce"
AMPLE_TOKENS = 50_000_000
SCARCE_TOKENS = 30_000
EVENTS = 6
EVENT_DELAY = 0.01
# Engines are cold after a start and an evacuation; the fleet may send one 14 requests
# in any second then.
COLD_SECONDS, COLD_PER_SECOND, COLD_MOST = 1.5, 6.6, 14
# Versions whose own route is still there.
ROUTES_KEPT = 50
ROUTER_MODULES = ("lynxchute.platform", "tests.suspendable_router")


@attrs.define(eq=False)
class SoakUpstream:
    """A stand-in upstream and the link before it."""

    standin: PlatformUpstreamStandin
    link: Link
    is_up: bool = True


@attrs.define(eq=False)
class SoakRouter:
    """A router's process and the links to it and from it."""

    process: RouterProcess
    store_port: int
    store_link: Link
    peer_link: Link
    caller_link: Link

    @property
    def links(self):
        return [self.store_link, self.peer_link, self.caller_link]


class SoakFleet:
    """Start, change and end everything of one run."""

    def __init__(self, folder, seed, *, routers, engines=3, apps=2, contracts=()):
        self.folder = folder
        self.contracts = contracts
        self.store = PlatformStoreStandin(seed=seed)
        self.routers_by_vm = {}
        self.upstreams = []
        self.version = 0
        self.prepaid_by_account = {AMPLE: AMPLE_TOKENS, SCARCE: SCARCE_TOKENS}
        self._vms = [f"{DATA_CENTRES[n % 2]}-{n // 2 + 1}" for n in range(routers)]
        self._services = ["pool"] * engines + ["app"] * apps

    async def start(self):
        for number, service in enumerate(self._services):
            await self.add_upstream(service, DATA_CENTRES[number % 2])
        await self.configure()
        for vm in self._vms:
            await self._add_router(vm)
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
        await self.store.close()

    async def configure(self):
        """Write one more version, with a route that tells it from the others."""
        self.version += 1
        document = configuration(version=self.version)
        for version in range(max(self.version - ROUTES_KEPT, 0) + 1, self.version + 1):
            named = route(f"v{version}", f"/v{version}/", "app", "safe", public=True)
            document["routes"].append(named)
        document["tenants"] = [
            {"name": name, "api_keys": [f"key-of-{name}"], "prepaid": tokens}
            for name, tokens in self.prepaid_by_account.items()
        ]
        for service in document["services"]:
            if service["name"] == "pool":
                service["cold_start_s"] = COLD_SECONDS
                service["cold_per_s"] = COLD_PER_SECOND
        await self.store.configure(document)

    async def top_up(self, account, tokens):
        self.prepaid_by_account[account] += tokens
        await self.configure()

    async def add_upstream(self, service, data_centre):
        events = EVENTS if service == "pool" else 0
        standin = PlatformUpstreamStandin(
            service, data_centre, events=events, event_delay=EVENT_DELAY
        )
        await standin.start()
        link = Link(f"127.0.0.1:{standin.port}")
        await link.start()
        standin.reached_at = link.port
        if self.version and service == "pool":
            # It starts while there is traffic.
            standin.grow_cold(COLD_SECONDS)
        await standin.register(self.store)
        upstream = SoakUpstream(standin, link)
        self.upstreams.append(upstream)
        return upstream

    async def _add_router(self, vm):
        store_port = await self.store.open_port()
        store_link = Link(f"127.0.0.1:{store_port}")
        await store_link.start()
        peers_port = free_port()
        peer_link = Link(f"127.0.0.1:{peers_port}")
        await peer_link.start()
        process = RouterProcess(
            self.folder,
            vm,
            store_link.port,
            peers_at=peers_port,
            peers_reached_at=peer_link.port,
            # To every other VM a pause is a suspension, to the others a freeze.
            module=ROUTER_MODULES[len(self.routers_by_vm) % 2],
            contracts=self.contracts,
        )
        caller_link = Link(f"127.0.0.1:{process.ports['front']}")
        await caller_link.start()
        self.routers_by_vm[vm] = SoakRouter(
            process, store_port, store_link, peer_link, caller_link
        )

    def runs(self):
        """Yield what all upstreams have worked on, those that are gone too."""
        for upstream in self.upstreams:
            yield from upstream.standin.runs
