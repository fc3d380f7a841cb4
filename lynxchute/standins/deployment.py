"""A complete deployment in one process, with stand-ins over the loopback interface."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import attrs
from expression import Ok

from lynxchute.address import Address
from lynxchute.config.document import (
    AccountDocument,
    FleetDocument,
    LimitDocument,
    OperatorDocument,
    RouteDocument,
    ServiceDocument,
    ServiceKind,
    UpstreamDocument,
    hash_key,
)
from lynxchute.config.role import Role
from lynxchute.edge.settings import EdgeSettings
from lynxchute.http import HttpClient
from lynxchute.operators.service import COMMANDS_PATH
from lynxchute.router import RouterApplication
from lynxchute.settings import ListenSettings, RouterSettings
from lynxchute.standins.engine import EngineServer
from lynxchute.standins.link import Link, Partition
from lynxchute.standins.platform_store import PlatformStoreStandin, StoreFaults
from lynxchute.standins.service import ServiceServer
from lynxchute.standins.upstream import UpstreamServer

HOST = "127.0.0.1"
MODEL = "dispatch-7b"
ENGINES, SERVICE = "engines", "app"
OPERATOR_KEY = "operator-key"
# Interval at which the routers' readiness is polled, in seconds.
POLL_SECONDS = 0.01


def caller_key(account: str) -> str:
    """Return the API key of a client account of a stand-in deployment."""
    return f"key-of-{account}"


@attrs.frozen
class Shape:
    """The size of a deployment.

    Attributes
    ----------
    routers_by_data_centre
        How many entry VMs each data centre has.
    engines, services
        Replicas of the model engine and of the plain service in each data centre.
    budgets
        Prepaid tokens of each client account, by account.
    prefix
        The path prefix of the plain service's route.
    limits
        Limits on callers' requests.
    cold_seconds, cold_per_second
        How long an engine is cold after a start, and the requests a second that it
        can serve meanwhile; 0 for no limit.
    """

    routers_by_data_centre: dict[str, int]
    budgets: dict[str, int]
    engines: int = 2
    services: int = 1
    prefix: str = "/tickets/"
    token_delay: float = 0.002
    first_token_delay: float = 0.005
    max_answer_tokens: int = 256
    limits: LimitDocument = attrs.Factory(LimitDocument)
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


@attrs.define(eq=False)
class _RouterLinks:
    """The links of one router: to the store, and from other data centres to its port.

    Attributes
    ----------
    peer_links_by_source
        The links to its port for other routers, by the data centre that uses them.
    upstream_links_by_address
        The links from it to the upstreams, by their address.
    """

    data_centre: str
    store_port: int
    store_link: Link
    peer_links_by_source: dict[str, Link]
    upstream_links_by_address: dict[str, Link]


class Deployment:
    """Run routers and stand-ins in this process, and inject faults.

    Parameters
    ----------
    shape
        The size of the deployment.
    """

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.store = PlatformStoreStandin()
        self.engines_by_name: dict[str, EngineServer] = {}
        self.services_by_name: dict[str, ServiceServer] = {}
        self.routers_by_vm: dict[str, RouterApplication] = {}
        self._settings_by_vm: dict[str, EdgeSettings] = {}
        self.document = FleetDocument()
        self._links_by_vm: dict[str, _RouterLinks] = {}
        self._data_centre_by_vm: dict[str, str] = {}
        for data_centre, count in shape.routers_by_data_centre.items():
            for index in range(1, count + 1):
                self._data_centre_by_vm[f"{data_centre}-{index}"] = data_centre

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Return the names of the data centres."""
        return tuple(self.shape.routers_by_data_centre)

    @property
    def upstreams(self) -> list[UpstreamServer]:
        """Return the stand-ins of all engines and services."""
        return [*self.engines_by_name.values(), *self.services_by_name.values()]

    @property
    def control_bytes(self) -> int:
        """Return the bytes sent so far between routers, and to and from the store."""
        carried = 0
        for links in self._links_by_vm.values():
            carried += links.store_link.bytes_carried
            for link in links.peer_links_by_source.values():
                carried += link.bytes_carried
        return carried

    async def start(self) -> None:
        """Start the stand-ins, then every router."""
        await self._start_upstreams()
        for vm, data_centre in self._data_centre_by_vm.items():
            await self._start_links(vm, data_centre)
        await asyncio.gather(*[self.start_router(vm) for vm in self._data_centre_by_vm])
        await self.wait_until_ready()

    async def start_router(self, vm: str) -> RouterApplication:
        """Start a new router process on a VM."""
        settings = self._settings(vm)
        router = RouterApplication(settings)
        self._settings_by_vm[vm] = settings.edge()
        router.watch_settings(
            lambda: Ok(self._settings_by_vm[vm]), lambda: self._settings_by_vm[vm]
        )
        source = self._data_centre_by_vm[vm]
        router.peers.address_of = lambda member: self._peer_address(member.vm, source)
        router.clients.address_of = lambda address: self._upstream_address(vm, address)
        try:
            await router.start()
        except BaseException:
            await router.kill()
            raise
        self.routers_by_vm[vm] = router
        for link in self._links_by_vm[vm].peer_links_by_source.values():
            link.target = f"{HOST}:{router.peer_server.server.port}"
        return router

    async def kill_router(self, vm: str) -> None:
        """Stop a router without draining, as the loss of its VM would."""
        await self.routers_by_vm.pop(vm).kill()

    async def stop_router(self, vm: str) -> None:
        """Drain a router, then stop it."""
        router = self.routers_by_vm.pop(vm)
        await router.drain()
        await router.kill()

    def reload_settings(self, vm: str, **bounds: float) -> None:
        """Change bounds in a router's settings, which it reloads within a second."""
        settings = self._settings_by_vm[vm]
        self._settings_by_vm[vm] = attrs.evolve(
            settings, bounds=attrs.evolve(settings.bounds, **bounds)
        )

    async def wait_until_ready(self) -> None:
        """Wait until every router is ready, knows the others and has budget shares."""
        while not all(self._is_joined(vm) for vm in self.routers_by_vm):
            await asyncio.sleep(POLL_SECONDS)
        while not all(self._holds_budgets(place) for place in self.data_centres):
            await asyncio.sleep(POLL_SECONDS)

    def caller_port(self, vm: str) -> int:
        """Return the port on which a router listens for callers."""
        return self.routers_by_vm[vm].callers.port

    async def operate(self, vm: str, statement: str) -> tuple[int, dict[str, object]]:
        """Run an operator's statement at a router; return status and answer."""
        client = HttpClient(f"{HOST}:{self.caller_port(vm)}")
        headers = [("Authorization", f"Bearer {OPERATOR_KEY}")]
        try:
            return await client.post_json(
                COMMANDS_PATH, {"statement": statement}, headers=headers
            )
        finally:
            client.close()

    def set_cut(self, data_centre: str, cut: bool) -> None:
        """Disconnect a data centre from the store and the others, or reconnect it."""
        for links in self._links_by_vm.values():
            if links.data_centre == data_centre:
                links.store_link.set_cut(cut)
            for source, link in links.peer_links_by_source.items():
                if (source == data_centre) != (links.data_centre == data_centre):
                    link.set_cut(cut)

    def partition(self, vms: Iterable[str], how: Partition) -> None:
        """Cut routers off from all upstreams."""
        for vm in vms:
            for link in self._links_by_vm[vm].upstream_links_by_address.values():
                link.partition(how)

    async def restore(self, vms: Iterable[str]) -> None:
        """Connect routers with the upstreams again."""
        for vm in vms:
            for link in self._links_by_vm[vm].upstream_links_by_address.values():
                await link.restore()

    def silence(self, names: Iterable[str]) -> None:
        """Let upstreams fall silent towards all routers."""
        for link in self._links_to(names):
            link.partition(Partition.SILENT)

    async def end_silence(self, names: Iterable[str]) -> None:
        """Let silent upstreams go on."""
        for link in self._links_to(names):
            await link.restore()

    def store_faults(self, vm: str) -> StoreFaults:
        """Return the faults that the store injects for one router, to be changed."""
        return self.store.faults_by_port[self._links_by_vm[vm].store_port]

    async def stop(self) -> None:
        """Stop all routers, links and stand-ins without draining."""
        for router in list(self.routers_by_vm.values()):
            await router.kill()
        for links in self._links_by_vm.values():
            await links.store_link.stop()
            for link in links.peer_links_by_source.values():
                await link.stop()
            for link in links.upstream_links_by_address.values():
                await link.stop()
        for upstream in self.upstreams:
            await upstream.server.kill()
        await self.store.close()

    def _is_joined(self, vm: str) -> bool:
        router = self.routers_by_vm[vm]
        expected = len(self.routers_by_vm)
        return (
            router.is_ready()
            and router.ledger_sync.ledger.is_open
            and router.members.count >= expected
        )

    def _holds_budgets(self, data_centre: str) -> bool:
        """Return whether a data centre's routers hold a grant of every budget."""
        held: set[str] = set()
        for vm, router in self.routers_by_vm.items():
            if self._data_centre_by_vm[vm] != data_centre:
                continue
            for account, share in router.ledger_sync.ledger.shares_by_account.items():
                if share.terms.granted:
                    held.add(account)
        return held >= set(self.shape.budgets)

    def _links_to(self, names: Iterable[str]) -> list[Link]:
        """Return the links from all routers to some upstreams."""
        found = []
        for name in names:
            address = self.document.upstreams_by_name[name].address
            for links in self._links_by_vm.values():
                found.append(links.upstream_links_by_address[address])
        return found

    def _peer_address(self, vm: str, source: str) -> str:
        """Return the address at which a data centre reaches a router, over its link."""
        return f"{HOST}:{self._links_by_vm[vm].peer_links_by_source[source].port}"

    async def _start_links(self, vm: str, data_centre: str) -> None:
        """Start the links to the store and to the router's port for other routers."""
        port = await self.store.open_port()
        store_link = Link(f"{HOST}:{port}")
        await store_link.start()
        peer_links_by_source = {}
        for source in self.data_centres:
            link = Link(f"{HOST}:1")
            await link.start()
            peer_links_by_source[source] = link
        upstream_links_by_address = {}
        for upstream in self.document.upstreams:
            link = Link(upstream.address)
            await link.start()
            upstream_links_by_address[upstream.address] = link
        self._links_by_vm[vm] = _RouterLinks(
            data_centre,
            port,
            store_link,
            peer_links_by_source,
            upstream_links_by_address,
        )

    def _upstream_address(self, vm: str, address: str) -> str:
        """Return the address at which a router reaches an upstream, over its link."""
        link = self._links_by_vm[vm].upstream_links_by_address.get(address)
        return address if link is None else f"{HOST}:{link.port}"

    async def _start_upstreams(self) -> None:
        documents = []
        for data_centre in self.data_centres:
            for index in range(1, self.shape.engines + 1):
                engine = EngineServer(
                    f"{data_centre}-engine-{index}",
                    (MODEL,),
                    first_token_delay=self.shape.first_token_delay,
                    token_delay=self.shape.token_delay,
                )
                self.engines_by_name[engine.name] = engine
                documents.append(await _start_upstream(engine, ENGINES, data_centre))
            for index in range(1, self.shape.services + 1):
                service = ServiceServer(f"{data_centre}-app-{index}")
                self.services_by_name[service.name] = service
                documents.append(await _start_upstream(service, SERVICE, data_centre))
        self.document = self._document(tuple(documents))

    def _document(self, upstreams: tuple[UpstreamDocument, ...]) -> FleetDocument:
        accounts = []
        for name, paid in self.shape.budgets.items():
            key_hash = hash_key(caller_key(name))
            accounts.append(
                AccountDocument(name=name, key_hashes=(key_hash,), paid=paid)
            )
        operator = OperatorDocument(
            name="operator", role=Role.CONFIGURE, key_hashes=(hash_key(OPERATOR_KEY),)
        )
        services = (
            ServiceDocument(
                name=ENGINES,
                kind=ServiceKind.ENGINE,
                cold_seconds=self.shape.cold_seconds,
                cold_per_second=self.shape.cold_per_second,
            ),
            ServiceDocument(name=SERVICE, kind=ServiceKind.PLAIN),
        )
        routes = (
            RouteDocument(name="chat", model=MODEL, service=ENGINES),
            RouteDocument(name="app", prefix=self.shape.prefix, service=SERVICE),
        )
        return FleetDocument(
            accounts=tuple(accounts),
            operators=(operator,),
            services=services,
            upstreams=upstreams,
            routes=routes,
            limits=self.shape.limits,
        )

    def _settings(self, vm: str) -> RouterSettings:
        links = self._links_by_vm[vm]
        any_port = Address(HOST, 0)
        return RouterSettings(
            vm=vm,
            data_centre=links.data_centre,
            data_centres=self.data_centres,
            listen=ListenSettings(
                callers=any_port,
                readiness=any_port,
                peers=any_port,
            ),
            store=Address(HOST, links.store_link.port),
            stop=10.0,
            max_answer_tokens=self.shape.max_answer_tokens,
            configuration=self.document,
        )


async def _start_upstream(
    standin: UpstreamServer, service: str, data_centre: str
) -> UpstreamDocument:
    await standin.server.start(HOST, 0)
    return UpstreamDocument(
        name=standin.name,
        service=service,
        data_centre=data_centre,
        address=f"{HOST}:{standin.server.port}",
    )
