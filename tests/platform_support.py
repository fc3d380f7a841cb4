"""Test deployment: routers and simulated platform services in one process."""

import asyncio
import contextlib
import errno
import functools
import itertools
import os
import socket

from lynxchute.address import Address
from lynxchute.edge.application import EdgeApplication
from lynxchute.edge.settings import DeploymentBounds, EdgeSettings, Features
from lynxchute.http import ExchangeError, HttpClient, Timeouts
from lynxchute.platform.daemon import make_platform
from lynxchute.standins.link import Link, Partition
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.support import AsyncTestCase, until

HOST = "app.example"
KEY = "key-of-kanda"
ACCOUNT = "kanda"
DATA_CENTRES = ("a", "b")
# Below the kernel's ephemeral port range, which outgoing connections use.
FIRST_PORT, PORTS = 12_000, 18_000
# Each test process takes its ports from a block of its own.
BLOCK_SIZE = 600
_request_numbers = itertools.count(1)


def route(name, prefix, service, kind, **options):
    fields = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "sticky_sessions": False,
        "stream_resume": False,
    }
    return {**fields, **options}


def configuration(version=1, prepaid=1_000_000, **options):
    generation = {"sticky_sessions": True, "gap_aim_ms": 400}
    fields = {
        "version": version,
        "routes": [
            route("safe", "/safe/", "app", "safe"),
            route("unsafe", "/unsafe/", "app", "unsafe"),
            route("public", "/public/", "app", "safe", public=True),
            route(
                "stream",
                "/stream/",
                "pool",
                "streaming",
                stream_resume=True,
                **generation,
            ),
            route(
                "once",
                "/once/",
                "pool",
                "streaming",
                max_attempts=1,
                **generation,
            ),
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_connections": 100},
            {
                "name": "pool",
                "health_path": "/health",
                "max_connections": 100,
                "engine": {
                    "slots": 64,
                    "kv_tokens": 400_000,
                    "kv_bytes": 1000,
                    "stride": 3,
                    "models": [{"name": "m"}],
                },
            },
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 200_000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 3000,
        },
        "tenants": [
            {"name": ACCOUNT, "api_keys": [KEY], "priority": 1, "prepaid": prepaid}
        ],
    }
    return {**fields, **options}


class PlatformDeployment:
    """Simulated store and upstreams, and routers, all in this process."""

    def __init__(
        self,
        routers=("a-1", "b-1"),
        engines=2,
        apps=2,
        events=6,
        features=None,
        memory_mb=200,
        has_upstream_links=False,
        places=None,
        versions=(),
    ):
        self.has_upstream_links = has_upstream_links
        self.upstream_links_by_vm = {}
        self.memory_mb = memory_mb
        self.features = features or Features()
        self.store = PlatformStoreStandin()
        self.routers = {}
        self.store_ports = {}
        self.settings = {}
        self._vms = routers
        self.engines = [
            PlatformUpstreamStandin("pool", DATA_CENTRES[n % 2], events=events)
            for n in range(engines)
        ]
        self.apps = [
            PlatformUpstreamStandin("app", DATA_CENTRES[n % 2]) for n in range(apps)
        ]

        for engine, version in zip(self.engines, versions, strict=False):
            engine.software_version = version
        if places is not None:
            for upstream in self.upstreams:
                upstream.places = places()

    @property
    def upstreams(self):
        return [*self.engines, *self.apps]

    async def start(self):
        for upstream in self.upstreams:
            await upstream.start(free_port())
            await upstream.register(self.store)
        await self.configure()
        for vm in self._vms:
            await self.start_router(vm)
        await until(lambda: all(self.is_settled(vm) for vm in self._vms))

    async def configure(self, **options):
        await self.store.configure(configuration(**options))

    async def start_router(self, vm, **more):
        if vm not in self.store_ports:
            self.store_ports[vm] = await self.store.open_port()
        settings = EdgeSettings(
            vm=vm,
            data_centre=vm[0],
            data_centres=DATA_CENTRES,
            callers=Address("127.0.0.1", free_port()),
            readiness=Address("127.0.0.1", free_port()),
            peers=Address("127.0.0.1", free_port()),
            store=f"127.0.0.1:{self.store_ports[vm]}",
            memory_mb=self.memory_mb,
            store_spans_parts=True,
            bounds=DeploymentBounds(stop=4.0),
            features=self.features,
            **more,
        )
        router = EdgeApplication(settings, make_platform(settings.store))
        if self.has_upstream_links:
            router.clients.address_of = await self._start_upstream_links(vm)
        await router.start()
        self.routers[vm] = router
        self.settings[vm] = settings
        return router

    async def _start_upstream_links(self, vm):
        """Start a link from a router to each upstream; return the address mapping."""
        if vm not in self.upstream_links_by_vm:
            links = [Link(upstream.address) for upstream in self.upstreams]
            for link in links:
                await link.start(port=free_port())
            self.upstream_links_by_vm[vm] = links
        links = self.upstream_links_by_vm[vm]
        ports = {link.target: f"127.0.0.1:{link.port}" for link in links}
        return ports.__getitem__

    def partition(self, vms, how):
        """Cut routers off from all upstreams."""
        for vm in vms:
            for link in self.upstream_links_by_vm[vm]:
                link.partition(how)

    def silence(self, upstream):
        """Let an upstream fall silent towards all routers."""
        for link in self._links_to(upstream):
            link.partition(Partition.SILENT)

    async def end_silence(self, upstream):
        for link in self._links_to(upstream):
            await link.restore()

    def _links_to(self, upstream):
        index = self.upstreams.index(upstream)
        return [links[index] for links in self.upstream_links_by_vm.values()]

    async def restore(self, vms):
        for vm in vms:
            for link in self.upstream_links_by_vm[vm]:
                await link.restore()

    def faults(self, vm):
        return self.store.faults_by_port[self.store_ports[vm]]

    def is_settled(self, vm):
        router = self.routers[vm]
        ledger = router.ledger_sync.ledger
        return (
            router.is_ready()
            and ledger.is_open
            and router.directory.count() == len(self.upstreams)
            and router.members.count == len(self._vms)
        )

    async def stop(self):
        for router in self.routers.values():
            await router.kill()
        for links in self.upstream_links_by_vm.values():
            for link in links:
                await link.stop()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.close()


@functools.cache
def _leased_block():
    """Lease a block of ports until this process ends.

    Returns the socket that holds the lease and an endless iterator of the ports. The
    first port of a block is its lock: without SO_REUSEADDR, one process can bind it.
    """
    blocks = PORTS // BLOCK_SIZE
    for number in range(blocks):
        first = FIRST_PORT + (os.getpid() + number) % blocks * BLOCK_SIZE
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", first))
        except OSError:
            lock.close()
            continue
        return lock, itertools.cycle(range(first + 1, first + BLOCK_SIZE))
    raise OSError(errno.EADDRINUSE, "other test runs have leased all blocks of ports")


def free_port():
    """Return a free port outside the ephemeral range that no other test run finds."""
    _, ports = _leased_block()
    for port in itertools.islice(ports, BLOCK_SIZE):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise OSError(errno.EADDRINUSE, "no port of this test run's block is free")


class PlatformTestCase(AsyncTestCase):
    def with_platform(self, scenario, timeout=60, **options):
        async def run_scenario():
            deployment = PlatformDeployment(**options)
            try:
                await deployment.start()
                return await scenario(deployment)
            finally:
                await deployment.stop()

        return self.run_async(run_scenario(), timeout)


class PlatformCaller:
    """Client of one router that sends the platform's request headers."""

    def __init__(self, deployment, vm="a-1", key=KEY):
        address = deployment.settings[vm].callers
        limits = Timeouts(first_byte=10.0, between_bytes=10.0)
        self.client = HttpClient(str(address), timeouts=limits)
        self.key = key

    def headers(self, request_id, deadline_ms=3000, tokens=None, **options):
        headers = [("Host", HOST), ("X-Request-Id", request_id)]
        if deadline_ms is not None:
            headers.append(("X-Deadline-Ms", str(deadline_ms)))
        if self.key:
            headers.append(("X-Credential", self.key))
        if tokens is not None:
            headers.append(("X-Token-Counts", f"{tokens[0]},{tokens[1]}"))
            headers.append(("X-Model", "m"))
            headers.append(("X-Prompt-Prefix", f"aa:{tokens[0]},b{request_id}:1"))
        headers.extend(options.get("extra", ()))
        return headers

    async def send(self, method, path, body=b"", request_id=None, **options):
        request_id = request_id or f"q{next(_request_numbers)}"
        response = await self.client.request(
            method, path, headers=self.headers(request_id, **options), body=body
        )
        return response.status, response.headers, await response.body()

    async def stream(self, path="/stream/x", tokens=(100, 60), **options):
        return await self.send("POST", path, b"prompt", tokens=tokens, **options)

    async def send_fails(self, *arguments, **options):
        with contextlib.suppress(ExchangeError):
            await self.send(*arguments, **options)
            return False
        return True


def event_ids(body):
    return [
        int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")
    ]


async def settled(ledger):
    async with asyncio.timeout(5):
        while ledger.reservations_by_id:
            await asyncio.sleep(0.01)


async def start_long_stream(deployment):
    """Start a long stream; return its task, its engine and the other engine."""
    for engine in deployment.engines:
        engine.events, engine.event_delay = 30, 0.02
    stream = asyncio.create_task(PlatformCaller(deployment).stream())
    await until(lambda: any(engine.runs for engine in deployment.engines))
    busy, idle = sorted(deployment.engines, key=lambda engine: -len(engine.runs))
    await until(lambda: busy.runs[0].events_sent > 3)
    return stream, busy, idle
