"""Router processes whose upstreams, store or other routers send bytes without end.

`python -m tests.flood_play` plays floods by their names, and prints what sound callers
got beside and after each, and the memory that the routers took.
"""

import asyncio
import contextlib
import itertools
import json
import pathlib
import re
import tempfile
import time

import attrs
import defopt

from lynxchute.event_loop import run as run_loop
from lynxchute.fleet.members import Member
from lynxchute.fleet.registry import ROUTER_PREFIX
from lynxchute.fleet.registry import TABLE as FLEET_TABLE
from lynxchute.http import ExchangeError, HttpClient, Timeouts
from lynxchute.platform import names
from lynxchute.standins.link import Partition
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.platform_support import HOST, KEY, configuration, route
from tests.router_process import RouterProcess
from tests.soak.links import UpstreamLinks

ROUTERS = ("a-1", "a-2")
# In plays of tunnels it reaches all upstreams only through the other router.
CUT_ROUTER = "a-1"
PIECE_BYTES = 65_536
MAX_LISTED = 5
# Floods that run at a time on each route, and their callers' deadline in seconds.
FLOODS = 2
FLOOD_SECONDS = 3.0
SOUND_DEADLINE = 3.0
CALLER_TIMEOUTS = Timeouts(connect=0.5, first_byte=4.0, between_bytes=4.0)
MEMORY_PATTERN = re.compile(r"VmHWM:\s+(\d+) kB")


def _head(status, *fields):
    lines = [f"HTTP/1.1 {status} x", "X-Response-Stamp: s", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


PIECE = b"x" * PIECE_BYTES
CHUNK = f"{PIECE_BYTES:x}\r\n".encode() + PIECE + b"\r\n"
JSON_PIECE = b"[]," * (PIECE_BYTES // 3)
# First bytes of an answer, and the bytes that follow without end.
FLOODS_BY_NAME = {
    "lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 10_000),
    "line": (b"HTTP/1.1 200 OK\r\na: ", PIECE),
    "interim": (b"", b"HTTP/1.1 102 x\r\n\r\n" * 4_000),
    "extension": (_head(200, "Transfer-Encoding: chunked") + b"5;a=", PIECE),
    "chunked": (_head(200, "Transfer-Encoding: chunked"), CHUNK),
    "tiny": (_head(200, "Transfer-Encoding: chunked"), b"1\r\nx\r\n" * 10_000),
    "huge": (_head(200, "Content-Length: 1000000000000"), PIECE),
    "close": (_head(200), PIECE),
    "error": (_head(500, "Transfer-Encoding: chunked"), CHUNK),
    "refuse": (_head(503, "Transfer-Encoding: chunked"), CHUNK),
    "declined": (_head(503, "X-Not-Run: 1", "Transfer-Encoding: chunked"), CHUNK),
    "event": (
        _head(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"),
        CHUNK,
    ),
    "small": (
        _head(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"),
        b"9\r\ndata: x\n\n\r\n" * 4_000,
    ),
    "events": (
        _head(200, "Content-Type: text/event-stream"),
        b"data: something\n\n" * 4_000,
    ),
    "json": (_head(200, "Content-Type: application/json") + b"[", JSON_PIECE),
    "trickle": (_head(200, "Transfer-Encoding: chunked"), b"1\r\nx\r\n"),
}


class FloodingUpstream:
    """Answers requests whose path it floods without end, and its reports if asked to.

    Attributes
    ----------
    flood
        Name of what it sends.
    floods_reports
        Whether it floods reports and lists in place of requests.
    sent_bytes
        Bytes that it has sent.
    """

    def __init__(self, service, flood, *, floods_reports=False):
        self.standin = PlatformUpstreamStandin(service, "a")
        self.flood, self.floods_reports = flood, floods_reports
        self.sent_bytes = 0
        self._server = None
        self._tasks = set()

    async def start(self, store):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.standin.port = self._server.sockets[0].getsockname()[1]
        await self.standin.register(store)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                is_report = path in (names.CACHE_LIST, names.REPORT_PATH)
                if is_report and not self.floods_reports:
                    body = json.dumps({"held": [], "sequence": 1}).encode()
                    writer.write(_head(200, f"Content-Length: {len(body)}") + body)
                    continue
                await self.send_without_end(head, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def send_without_end(self, head, writer):
        begin, rest = FLOODS_BY_NAME[self.flood]
        match = re.search(rb"x-request-id: *(\S+)", head, re.IGNORECASE)
        echoed = b"\r\nX-Request-Id: " + match[1] + b"\r\n" if match else b"\r\n"
        writer.write(begin.replace(b"\r\n", echoed, 1))
        while True:
            writer.write(rest)
            self.sent_bytes += len(rest)
            await writer.drain()
            if self.flood == "trickle":
                await asyncio.sleep(0.05)

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class FloodingStore:
    """Passes connections on to the store, and floods all of them from some time on."""

    def __init__(self, port, flood):
        self.port = 0
        self._store_port = port
        self._flood = flood
        self._is_flooding = False
        self._server = None
        self._tasks = set()
        self._writers = set()
        self._upstream = FloodingUpstream("store", flood)

    @property
    def sent_bytes(self):
        return self._upstream.sent_bytes

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def flood(self):
        """Answer all further requests with bytes without end."""
        self._is_flooding = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            if self._is_flooding:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._upstream.send_without_end(head, writer)
            await self._pass_on(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _pass_on(self, reader, writer):
        there = await asyncio.open_connection("127.0.0.1", self._store_port)
        self._writers |= {writer, there[1]}
        try:
            await asyncio.gather(_copy(reader, there[1]), _copy(there[0], writer))
        finally:
            self._writers -= {writer, there[1]}
            there[1].transport.abort()

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _copy(reader, writer):
    while data := await reader.read(PIECE_BYTES):
        writer.write(data)
        await writer.drain()
    writer.transport.abort()


@attrs.define
class FloodFleet:
    """Two routers, sound upstreams, and others that flood.

    Attributes
    ----------
    has_tunnels
        Whether `CUT_ROUTER` has lost its links to all upstreams.
    """

    folder: pathlib.Path
    flood: str
    code: str | None = None
    link_mbps: float | None = None
    has_tunnels: bool = False
    links: UpstreamLinks | None = None
    routers: dict = attrs.Factory(dict)
    sound: list = attrs.Factory(list)
    flooding: list = attrs.Factory(list)
    stores: list = attrs.Factory(list)
    store: PlatformStoreStandin = attrs.field(factory=PlatformStoreStandin)
    _numbers: object = attrs.Factory(lambda: itertools.count(1))

    async def start(self, *, floods_reports=0):
        await self._start_upstreams(floods_reports)
        await self.store.configure(self._configuration())
        if self.has_tunnels:
            await self._start_links()
        for vm in ROUTERS:
            await self._start_router(vm)
        await asyncio.gather(*(router.ready() for router in self.routers.values()))
        if self.links is not None:
            self.links.partition([CUT_ROUTER], Partition.REFUSE)

    async def _start_upstreams(self, floods_reports):
        for service, events in (("app", 0), ("pool", 6)):
            upstream = PlatformUpstreamStandin(service, "a", events=events)
            await upstream.start()
            await upstream.register(self.store)
            self.sound.append(upstream)
        if floods_reports:
            self.flooding = [
                FloodingUpstream("bad-pool", self.flood, floods_reports=True)
                for _ in range(floods_reports)
            ]
        else:
            self.flooding = [
                FloodingUpstream(service, self.flood)
                for service in ("bad-app", "bad-pool")
            ]
        for upstream in self.flooding:
            await upstream.start(self.store)

    async def _start_links(self):
        self.links = UpstreamLinks(self.folder, ROUTERS)
        for standin in (*self.sound, *(u.standin for u in self.flooding)):
            await self.links.add(standin.address)

    async def _start_router(self, vm):
        store = FloodingStore(await self.store.open_port(), self.flood)
        await store.start()
        self.stores.append(store)
        process = RouterProcess(self.folder, vm, store.port, code=self.code)
        if self.links is not None:
            process.module = "tests.linked_router"
            process.links_file = self.links.file(vm)
        if self.link_mbps is not None:
            process.settings["limits"]["link_mbps"] = self.link_mbps
        self.routers[vm] = process
        await process.start()

    def _configuration(self):
        document = configuration()
        timeout_ms = int(FLOOD_SECONDS * 1000)
        document["routes"] += [
            route("bad", "/bad/", "bad-app", "safe", timeout_ms=timeout_ms),
            route(
                "bad-stream",
                "/bad-stream/",
                "bad-pool",
                "streaming",
                timeout_ms=timeout_ms,
                sticky_sessions=True,
                gap_aim_ms=400,
            ),
        ]
        for name, model in (("bad-app", "app"), ("bad-pool", "pool")):
            found = next(s for s in document["services"] if s["name"] == model)
            document["services"].append({**found, "name": name})
        return document

    async def send(self, vm, path, *, is_read=True):
        """Send a request; return its status, whether it was whole, and its seconds."""
        request_id = f"f{next(self._numbers)}"
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(int(SOUND_DEADLINE * 1000))),
            ("X-Credential", KEY),
        ]
        method = "GET"
        if "stream" in path:
            method = "POST"
            headers.append(("X-Model", "m"))
            headers.append(("X-Token-Counts", "100,60"))
            headers.append(("X-Prompt-Prefix", f"aa:90,{request_id}:10"))
        address = f"127.0.0.1:{self.routers[vm].ports['front']}"
        client = HttpClient(address, timeouts=CALLER_TIMEOUTS)
        status, is_whole, began = 0, False, time.monotonic()
        try:
            response = await client.request(method, path, headers=headers)
            status = response.status
            if not is_read:
                await asyncio.sleep(FLOOD_SECONDS)
            while await response.read() is not None:
                pass
            is_whole = True
        except ExchangeError:
            pass
        finally:
            client.close()
        return status, is_whole, time.monotonic() - began

    async def add_flooding_routers(self, count):
        """Register routers that answer whatever they are asked without end."""
        for number in range(count):
            router = FloodingUpstream("none", self.flood, floods_reports=True)
            await router.start(self.store)
            self.flooding.append(router)
            vm = f"a-{number + 8}"
            member = Member(vm, "a", f"{number:012x}", router.standin.address)
            await self.store.put(FLEET_TABLE, ROUTER_PREFIX + vm, member.encode())

    async def send_floods(self, *, is_read=True):
        """Send bad requests of each kind; return what their callers got."""
        return await asyncio.gather(
            *(
                self.send(vm, path, is_read=is_read)
                for vm in ROUTERS
                for path in ("/bad/x", "/bad-stream/x")
                for _ in range(FLOODS)
            )
        )

    async def send_sound(self, count, interval):
        """Send sound requests in turn; return what their callers got."""
        tasks = []
        for number in range(count):
            vm = ROUTERS[number % len(ROUTERS)]
            path = ("/safe/x", "/stream/x")[number // 2 % 2]
            tasks.append(asyncio.create_task(self.send(vm, path)))
            await asyncio.sleep(interval)
        return await asyncio.gather(*tasks)

    def peak_megabytes(self):
        """Return the most memory that each router has used, in megabytes."""
        peaks = {}
        for vm, router in self.routers.items():
            path = pathlib.Path(f"/proc/{router.process.pid}/status")
            found = MEMORY_PATTERN.search(path.read_text())
            peaks[vm] = round(int(found[1]) / 1024, 1) if found else 0.0
        return peaks

    async def stop(self):
        for router in self.routers.values():
            await router.kill()
        for upstream in [*self.sound, *self.flooding, *self.stores]:
            await upstream.stop()
        if self.links is not None:
            await self.links.stop()
        await self.store.close()


@contextlib.asynccontextmanager
async def running_fleet(folder, flood, *, floods_reports=0, **options):
    """Run a fleet until the end of the block."""
    fleet = FloodFleet(folder, flood, **options)
    try:
        await fleet.start(floods_reports=floods_reports)
        yield fleet
    finally:
        await fleet.stop()


def _served(answers):
    return sum(status == 200 and is_whole for status, is_whole, _ in answers)


def _statuses(answers):
    return sorted(f"{status}{'' if whole else ' cut'}" for status, whole, _ in answers)


@attrs.frozen
class FloodResult:
    """What one flood did.

    Attributes
    ----------
    beside, after
        Answers to sound requests while and just after it ran.
    bad
        Answers to the requests that were flooded.
    peak_megabytes
        The most memory that a router has used.
    """

    flood: str
    beside: list
    after: list
    bad: list
    peak_megabytes: float
    sent_megabytes: float
    ended: list

    def summary(self):
        return {
            "flood": self.flood,
            "served beside": f"{_served(self.beside)} of {len(self.beside)}",
            "slowest beside": round(max((s for _, _, s in self.beside), default=0), 2),
            "served after": f"{_served(self.after)} of {len(self.after)}",
            "bad": _statuses(self.bad),
            "longest bad": round(max((s for _, _, s in self.bad), default=0), 2),
            "peak MB": self.peak_megabytes,
            "flood MB": self.sent_megabytes,
            "ended": self.ended,
            "unserved": [
                f"{status}{'' if whole else ' cut'} after {seconds:.2f} s"
                for status, whole, seconds in (*self.beside, *self.after)
                if status != 200 or not whole
            ][:MAX_LISTED],
        }


async def play(
    folder, flood, *, reports=0, routers=0, stores=False, is_read=True, **options
):
    """Flood routers; return what it did to sound callers and to memory.

    Parameters
    ----------
    reports, routers
        Upstreams that flood their reports, and routers that flood their replies.
    stores
        Whether the store floods its answers.
    is_read
        Whether callers read answers without end.
    """
    async with running_fleet(folder, flood, floods_reports=reports, **options) as fleet:
        # Routers have tokens and know their peers before the flood.
        await fleet.send_sound(8, 0.05)
        if stores:
            for store in fleet.stores:
                store.flood()
        await fleet.add_flooding_routers(routers)
        if reports or routers or stores:
            bad, beside = [], await fleet.send_sound(80, 0.05)
        else:
            bad, beside = await asyncio.gather(
                fleet.send_floods(is_read=is_read), fleet.send_sound(40, 0.07)
            )
        after = await fleet.send_sound(40, 0.02)
        ended = [vm for vm, r in fleet.routers.items() if not r.is_running]
        peaks = {} if ended else fleet.peak_megabytes()
        sent = sum(f.sent_bytes for f in (*fleet.flooding, *fleet.stores)) / 1e6
    return FloodResult(
        flood,
        beside,
        after,
        bad,
        max(peaks.values(), default=0.0),
        round(sent, 1),
        ended,
    )


def main(
    *floods: str,
    code: str | None = None,
    reports: int = 0,
    routers: int = 0,
    stores: bool = False,
    unread: bool = False,
    link_mbps: float | None = None,
    tunnels: bool = False,
) -> None:
    """Play floods one after another, and print a line of JSON for each.

    Parameters
    ----------
    floods
        Names of floods; none for all.
    code
        Folder of the routers' code; this one by default.
    reports
        Number of upstreams that flood reports in place of requests.
    routers
        Number of routers that flood their replies in place of requests.
    stores
        Whether the store floods its answers, in place of requests.
    unread
        Whether the callers of flooded requests read nothing but the head.
    link_mbps
        What the routers' settings say of their links, in Mbit/s.
    tunnels
        Whether a router reaches all upstreams only through the other one.
    """
    for flood in floods or FLOODS_BY_NAME:
        with tempfile.TemporaryDirectory() as folder:
            result = run_loop(
                play(
                    pathlib.Path(folder),
                    flood,
                    reports=reports,
                    routers=routers,
                    stores=stores,
                    is_read=not unread,
                    code=code,
                    link_mbps=link_mbps,
                    has_tunnels=tunnels,
                )
            )
        print(json.dumps(result.summary()), flush=True)


if __name__ == "__main__":
    defopt.run(main)
