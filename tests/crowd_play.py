"""A router process, and crowds of connections that send more than they should.

`python -m tests.crowd_play` plays crowds by their names and prints, for each, the most
memory and descriptors that the router took, and whether it answered a request then.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import tempfile
import threading
import time

import attrs
import defopt

from lynxchute.event_loop import run as run_loop
from lynxchute.http import ExchangeError, HttpClient, Timeouts
from lynxchute.platform.names import READY_PATH
from lynxchute.standins.platform_store import Outage, PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.platform_support import HOST, KEY, configuration
from tests.router_process import RouterProcess

VM = "a-1"
# Limits of the router. It uses about 40 MB at rest.
MEMORY_MB = 80
MAX_OPEN_FILES = 1000
MAX_HEAD_BYTES = 8192
MAX_BODY_BYTES = 200_000
HEADER_TIMEOUT_MS = 5000
# Seconds that a crowd may take to send what it can, and after its last byte.
SEND_SECONDS = 12.0
SETTLE_SECONDS = 0.5
# Seconds in which an ordinary caller repeats a request until it is served.
ANSWER_SECONDS = 30.0
SAMPLE_SECONDS = 0.01
# Seconds between two bytes of connections that trickle.
TRICKLE_SECONDS = 1.0
# Bytes of the body of an ordinary request.
ORDINARY_BYTES = 2000
# Bytes of the receive buffers of connections that read nothing.
UNREAD_BYTES = 4096
CALLER_TIMEOUTS = Timeouts(connect=1.0, first_byte=4.0, between_bytes=4.0)
PEAK_PATTERN = re.compile(r"VmHWM:\s+(\d+) kB")
RESIDENT_PATTERN = re.compile(r"VmRSS:\s+(\d+) kB")
MEGABYTE = 1e6


CALLER_LINES = (
    f"Host: {HOST}",
    "X-Request-Id: crowd",
    "X-Deadline-Ms: 9000",
    f"X-Credential: {KEY}",
)


def _head(line, *more):
    lines = [f"{line} HTTP/1.1", *CALLER_LINES, *more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _get(path, size=0):
    """Return a GET request, filled up to a size in bytes."""
    filling = size - len(_head(f"GET {path}")) - len("X-Filling: \r\n")
    more = [f"X-Filling: {'x' * filling}"] if filling > 0 else []
    return _head(f"GET {path}", *more)


def _post(path, framing):
    return _head(f"POST {path}", framing)


BODY_BYTES = MAX_BODY_BYTES - 1000
SHORT_BODY = _post("/safe/x", f"Content-Length: {BODY_BYTES}") + b"x" * (
    BODY_BYTES - 10
)
TRICKLED_BODY = SHORT_BODY[:-1000]
SMALL_TRICKLED_BODY = _post("/safe/x", "Content-Length: 1900") + b"x" * 1500
CHUNK_BYTES = 19_000
CHUNKED_BODY = _post("/safe/x", "Transfer-Encoding: chunked") + 10 * (
    f"{CHUNK_BYTES:x}\r\n".encode() + b"x" * CHUNK_BYTES + b"\r\n"
)
WHOLE_BODY = SHORT_BODY + b"x" * 10
UNFINISHED_HEAD = _get("/none", size=8000)[:-4]
NO_ROUTE = _get("/none")
LARGE_NO_ROUTE = _get("/none", size=4000)
LARGE_READY = _get(READY_PATH, size=4000)


@attrs.frozen
class Crowd:
    """Connections that all send the same, and stay open.

    Attributes
    ----------
    connections
        Their number.
    data
        What each sends.
    repeats
        How many times each sends that.
    port
        Name of the router's port.
    pieces
        Number of parts in which `data` is sent, with a pause after each.
    pause
        Seconds between two parts.
    reads
        Whether they read what the router sends; otherwise their windows are small.
    trickles
        Whether they send single bytes afterwards, without end.
    delay
        Seconds before they connect.
    """

    connections: int
    data: bytes
    repeats: int = 1
    port: str = "front"
    pieces: int = 1
    pause: float = 0.1
    reads: bool = False
    trickles: bool = False
    delay: float = 0.0


# 40 MB on one connection.
AHEAD = {"data": LARGE_NO_ROUTE, "repeats": 10_000}
CROWDS_BY_NAME = {
    "ahead": [Crowd(1, **AHEAD)],
    "ahead_read": [Crowd(1, reads=True, **AHEAD)],
    "ahead_eight": [Crowd(8, **AHEAD)],
    "ahead_ready": [Crowd(4, LARGE_READY, 10_000, "ready")],
    "ahead_peers": [Crowd(4, port="peers", **AHEAD)],
    "ahead_metrics": [Crowd(4, port="metrics", **AHEAD)],
    "ahead_metrics_found": [Crowd(60, _get("/metrics"), 100, "metrics")],
    "ahead_many": [Crowd(300, LARGE_NO_ROUTE, 100)],
    "ahead_ready_many": [Crowd(300, LARGE_READY, 100, "ready")],
    "short_bodies": [Crowd(400, SHORT_BODY)],
    "short_bodies_in_pieces": [Crowd(400, SHORT_BODY, pieces=20)],
    "trickled_bodies": [
        Crowd(100, TRICKLED_BODY, trickles=True),
        Crowd(300, SMALL_TRICKLED_BODY, trickles=True, delay=2.0),
    ],
    "short_bodies_ready": [Crowd(400, SHORT_BODY, port="ready")],
    "short_bodies_peers": [Crowd(400, SHORT_BODY, port="peers")],
    "short_bodies_metrics": [Crowd(400, SHORT_BODY, port="metrics")],
    "chunked": [Crowd(400, CHUNKED_BODY)],
    "whole_bodies": [Crowd(400, WHOLE_BODY)],
    "heads": [Crowd(600, UNFINISHED_HEAD)],
    "connections": [Crowd(900, NO_ROUTE[:20])],
    "mixed": [
        Crowd(2, **AHEAD),
        Crowd(100, SHORT_BODY, pieces=5),
        Crowd(100, CHUNKED_BODY),
        Crowd(100, SHORT_BODY, port="ready"),
        Crowd(100, LARGE_READY, 100, "ready"),
        Crowd(50, SHORT_BODY, port="peers"),
    ],
}


def _unread_bytes(ports):
    """Return the bytes in the kernel that sockets of these ports have not read."""
    found = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # In the state of listening, the queue holds connections, not bytes.
        if fields[3] != "0A" and int(fields[1].rpartition(":")[2], 16) in ports:
            found += int(fields[4].rpartition(":")[2], 16)
    return found


class Sampler:
    """Samples what a process holds, in a thread.

    Attributes
    ----------
    peak_bytes
        The most memory, with the bytes that the kernel held unread for it.
    peak_unread_bytes
        The most of the latter.
    peak_descriptors
        The most open descriptors.
    """

    def __init__(self, pid, ports):
        self.peak_bytes = self.peak_unread_bytes = self.peak_descriptors = 0
        self._folder = pathlib.Path("/proc", str(pid))
        self._ports = set(ports)
        self._is_ended = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._is_ended.set()
        self._thread.join()

    def _run(self):
        while not self._is_ended.is_set():
            with contextlib.suppress(OSError, TypeError):
                self._sample()
            time.sleep(SAMPLE_SECONDS)

    def _sample(self):
        unread = _unread_bytes(self._ports)
        status = self._folder.joinpath("status").read_text()
        resident = int(RESIDENT_PATTERN.search(status)[1]) * 1024
        peak = int(PEAK_PATTERN.search(status)[1]) * 1024
        descriptors = len(os.listdir(self._folder / "fd"))
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.peak_bytes = max(self.peak_bytes, peak, resident + unread)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)


class Connections:
    """The open connections of a crowd."""

    def __init__(self, crowd, port):
        self._crowd, self._port = crowd, port
        self._sockets = []
        self._trickles = set()

    async def send(self):
        """Send all that the router takes."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self._crowd.connections):
                group.create_task(self._send_one())

    async def _send_one(self):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._crowd.delay)
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        if not self._crowd.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_SECONDS):
                await loop.sock_connect(sock, ("127.0.0.1", self._port))
                reading = None
                if self._crowd.reads:
                    reading = asyncio.create_task(self._read(sock))
                try:
                    await self._send_data(sock)
                finally:
                    if reading is not None:
                        reading.cancel()
            if self._crowd.trickles:
                self._trickles.add(asyncio.create_task(self._trickle(sock)))

    async def _send_data(self, sock):
        loop = asyncio.get_running_loop()
        crowd = self._crowd
        size = -(-len(crowd.data) // crowd.pieces)
        for _ in range(crowd.repeats):
            for start in range(0, len(crowd.data), size):
                await loop.sock_sendall(sock, crowd.data[start : start + size])
                if crowd.pieces > 1:
                    await asyncio.sleep(crowd.pause)

    async def _trickle(self, sock):
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(TRICKLE_SECONDS)
                await asyncio.get_running_loop().sock_sendall(sock, b"x")

    async def _read(self, sock):
        with contextlib.suppress(OSError):
            while await asyncio.get_running_loop().sock_recv(sock, 65536):
                pass

    def close(self):
        for task in self._trickles:
            task.cancel()
        for sock in self._sockets:
            sock.close()


@attrs.define
class CrowdFleet:
    """A router process with its store and upstreams."""

    folder: pathlib.Path
    code: str | None = None
    store: PlatformStoreStandin = attrs.field(factory=PlatformStoreStandin)
    upstreams: list = attrs.Factory(list)
    router: RouterProcess | None = None

    async def start(self):
        for service in ("app", "pool"):
            upstream = PlatformUpstreamStandin(service, "a")
            await upstream.start()
            await upstream.register(self.store)
            self.upstreams.append(upstream)
        await self.configure(1, MAX_BODY_BYTES)
        store_port = await self.store.open_port()
        self.router = RouterProcess(self.folder, VM, store_port, code=self.code)
        limits = self.router.settings["limits"]
        limits |= {"memory_mb": MEMORY_MB, "max_open_files": MAX_OPEN_FILES}
        await self.router.start()
        await self.router.ready()

    async def configure(self, version, max_body_bytes):
        document = configuration(version)
        document["limits"] = {
            "max_header_bytes": MAX_HEAD_BYTES,
            "max_body_bytes": max_body_bytes,
            "header_timeout_ms": HEADER_TIMEOUT_MS,
            "idle_timeout_ms": HEADER_TIMEOUT_MS,
        }
        await self.store.configure(document)

    async def send_ordinary(self):
        """Repeat a request until it is served; return whether it was."""
        deadline = time.monotonic() + ANSWER_SECONDS
        while self.router.is_running and time.monotonic() < deadline:
            if await self._send_once():
                return True
            await asyncio.sleep(0.5)
        return False

    async def _send_once(self):
        headers = [
            ("Host", HOST),
            ("X-Request-Id", f"ordinary-{time.monotonic_ns()}"),
            ("X-Deadline-Ms", "3000"),
            ("X-Credential", KEY),
        ]
        client = HttpClient(
            f"127.0.0.1:{self.router.ports['front']}", timeouts=CALLER_TIMEOUTS
        )
        try:
            response = await client.request(
                "POST", "/safe/x", headers=headers, body=b"x" * ORDINARY_BYTES
            )
            while await response.read() is not None:
                pass
        except ExchangeError:
            return False
        finally:
            client.close()
        return response.status == 200

    def disturb(self, name):
        """Begin something that lasts while a crowd is there."""
        if name == "outage":
            for faults in self.store.faults_by_port.values():
                faults.outage = Outage.SILENT
        if name == "stop":
            self.router.send_signal(signal.SIGTERM)

    async def stop(self):
        if self.router is not None:
            await self.router.kill()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.close()


@attrs.frozen
class CrowdResult:
    """What a crowd did to the router.

    Attributes
    ----------
    is_alive
        Whether its process did not end by itself.
    is_served
        Whether a request was served while the crowd's connections were open.
    peak_megabytes, unread_megabytes
        The most memory that it used, with the bytes that the kernel held for it, and
        the most of the latter.
    descriptors
        The most that it had open.
    """

    name: str
    is_alive: bool
    is_served: bool
    peak_megabytes: float
    unread_megabytes: float
    descriptors: int


async def _send_beside(fleet, sending, beside):
    """Send what a crowd sends, and disturb the router meanwhile."""
    task = asyncio.ensure_future(sending)
    if beside == "limits":
        for version in range(2, 6):
            await asyncio.sleep(0.3)
            size = MAX_BODY_BYTES // 10 if version % 2 else MAX_BODY_BYTES
            await fleet.configure(version, size)
    elif beside:
        fleet.disturb(beside)
    await task


async def play(folder, name, *, beside="", code=None):
    """Play a crowd; return what it did.

    Parameters
    ----------
    beside
        What happens meanwhile: "outage" of the store, "stop" of the router, "limits"
        that change; empty for nothing.
    code
        Folder of the router's code; this one by default.
    """
    fleet = CrowdFleet(folder, code)
    crowds = []
    try:
        await fleet.start()
        ports = fleet.router.ports
        crowds = [Connections(c, ports[c.port]) for c in CROWDS_BY_NAME[name]]
        with Sampler(fleet.router.process.pid, ports.values()) as sampler:
            sending = asyncio.gather(*(crowd.send() for crowd in crowds))
            await _send_beside(fleet, sending, beside)
            await asyncio.sleep(SETTLE_SECONDS)
            if beside == "stop":
                is_alive = await fleet.router.process.wait() == 0
                await fleet.router.start()
                await fleet.router.ready()
            else:
                is_alive = fleet.router.is_running
            is_served = await fleet.send_ordinary()
        return CrowdResult(
            name,
            is_alive and fleet.router.is_running,
            is_served,
            round(sampler.peak_bytes / MEGABYTE, 1),
            round(sampler.peak_unread_bytes / MEGABYTE, 1),
            sampler.peak_descriptors,
        )
    finally:
        for crowd in crowds:
            crowd.close()
        await fleet.stop()


def main(*names: str, beside: str = "", code: str | None = None) -> None:
    """Play crowds one after another, and print a line of JSON for each.

    Parameters
    ----------
    names
        Names of crowds; none for all.
    beside
        What happens meanwhile: "outage", "stop" or "limits".
    code
        Folder of the router's code; this one by default.
    """
    for name in names or CROWDS_BY_NAME:
        with tempfile.TemporaryDirectory() as folder:
            result = run_loop(
                play(pathlib.Path(folder), name, beside=beside, code=code)
            )
        print(json.dumps(attrs.asdict(result)), flush=True)


if __name__ == "__main__":
    defopt.run(main)
