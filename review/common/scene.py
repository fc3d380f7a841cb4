"""Routers as processes of their own, the platform's store, and clients."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

import yaml

from lynxchute.standins.platform_store import Outage, PlatformStoreStandin

__all__ = ["Outage", "PlatformStoreStandin"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "app.example"
KEY = "key-of-kanda"
TENANT = "kanda"
ZONES = ("sala-prado", "sala-cerro", "sala-pocitos")
COULD_NOT_RUN = 2


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Scene:
    """Everything that one script starts; `close` ends all of it."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.record_file = open(Path(folder) / "record.txt", "w", buffering=1, encoding="utf-8")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.store = PlatformStoreStandin()
        self.store.era = None
        self.processes = []
        self.taken_ports = set()
        self.heartbeats = []

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def free_port(self):
        """Return a free port below those that the kernel gives to connections."""
        while True:
            port = random.randrange(11_000, 30_000)
            if port in self.taken_ports:
                continue
            with socket.socket() as sock:
                try:
                    sock.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.taken_ports.add(port)
            return port

    async def spawn(self, arguments, log, **variables):
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        path = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        environment.update(PYTHONPATH=path, PYTHONDONTWRITEBYTECODE="1", **variables)
        with open(self.folder / log, "ab") as output:
            process = await asyncio.create_subprocess_exec(
                *arguments, cwd=ROOT, stdout=output, stderr=output, env=environment
            )
        self.processes.append(process)
        return process

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            await process.wait()
        await self.store.close()
        self.record_file.close()
        self.temporary.cleanup()


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, scene, number):
        self.scene = scene
        self.zone = ZONES[number % len(ZONES)]
        self.vm = f"front-{self.zone}-{number // len(ZONES) + 1}"
        self.front, self.ready, self.control = (scene.free_port() for _ in range(3))
        self.peers, self.metrics = scene.free_port(), scene.free_port()
        self.file = scene.folder / f"{self.vm}.yaml"
        self.log = scene.folder / f"{self.vm}.log"
        self.store_port = 0
        self.process = None
        self.more_bounds = {}

    def settings(self):
        address = "127.0.0.1"
        return {
            "node_name": self.vm,
            "role": "router",
            "machine_class": "front",
            "serves": ["front"],
            "ip": address,
            "zone": self.zone,
            "region": "uy-sur",
            "zones": dict.fromkeys(ZONES, "uy-sur"),
            "listen": {
                "front": f"{address}:{self.front}",
                "ready": f"{address}:{self.ready}",
                "control": f"{address}:{self.control}",
            },
            "internal_ports": [self.peers, self.peers + 15],
            "seeds": [],
            "bootstrap": False,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_open_files": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                "tenants", "platform",
            ],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
                "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000,
                "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                "downgrade_slack_ms": 250, "outer_bound_ms": 5000,
                "strict_revocation": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
                "budget_window_s": 10, "retry_budget_extra": 56, "recovery_s": 12,
                "pass_ms": 120, "again_s": 10, "settle_ms": 1500,
                **self.more_bounds,
            },
            "platform": {
                "address": f"{address}:{self.store_port}", "form": "table",
                "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 3.0,
                "partition_writes_s": 300, "row_bytes": 65536, "across": True,
                "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
            },
        }

    async def start(self):
        if not self.store_port:
            self.store_port = await self.scene.store.open_port()
        self.file.write_text(yaml.safe_dump(self.settings()))
        self.process = await self.scene.spawn(
            ["python3", "-m", "lynxchute.platform"],
            self.log.name,
            LYNXCHUTE_SETTINGS=str(self.file),
            LYNXCHUTE_METRICS_PORT=str(self.metrics),
        )

    async def is_ready(self):
        try:
            answer = await exchange(self.ready, "GET", "/lynxchute/readyz", [], timeout=1)
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, seconds=20):
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def events(self, name):
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") == name:
                found.append(entry)
        return found


class Answer:
    """What a client got. `is_complete`: the framing says that the body is whole."""

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.body = b""
        self.is_complete = False


async def exchange(
    port, method, path, headers, body=b"", timeout=20, connection=None, answer=None
):
    """Send one request; return the answer as far as it came, in `answer` if given."""
    async with asyncio.timeout(timeout):
        reader, writer = connection or await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            found = {}
            for line in lines[1:]:
                if line:
                    name, _, value = line.partition(":")
                    found[name.strip().lower()] = value.strip()
            answer = answer or Answer(0, {})
            answer.status, answer.headers = int(lines[0].split(" ")[1]), found
            await _read_body(reader, answer)
            return answer
        finally:
            if connection is None:
                writer.close()


async def _read_body(reader, answer):
    try:
        if "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            while len(answer.body) < length:
                piece = await reader.read(length - len(answer.body))
                if not piece:
                    return
                answer.body += piece
            answer.is_complete = True
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            answer.body += piece[:size]
            if not size:
                answer.is_complete = True
                return
    except (asyncio.IncompleteReadError, ConnectionError):
        return


def event_ids(body):
    return [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]


def request_headers(request_id, deadline_ms, tokens=None, key=KEY, parts=""):
    headers = [("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms))]
    if key:
        headers.append(("X-Credential", key))
    if tokens:
        prompt, most = tokens
        headers.append(("X-Model", "m"))
        headers.append(("X-Token-Counts", f"{prompt},{most}"))
        headers.append(("X-Prompt-Prefix", parts or f"aa{request_id}:{prompt}"))
    return headers


def route(name, service, kind, **options):
    fields = {
        "name": name, "host": HOST, "prefix": f"/{name}/", "service": service,
        "kind": kind, "timeout_ms": 15000, "target_latency_ms": 600, "priority": 1,
        "max_attempts": 1 if kind == "unsafe" else 2, "public": False,
        "sticky_sessions": False, "stream_resume": False,
    }
    return {**fields, **options}


def configuration(version=1, prepaid=100_000_000, routes=None):
    stream = {"sticky_sessions": True, "gap_aim_ms": 400, "stream_resume": True}
    engine = {
        "slots": 64, "kv_tokens": 418121, "kv_bytes": 327680, "stride": 3,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": routes or [
            route("ask", "pool", "streaming", **stream),
            route("check", "app", "safe", timeout_ms=800),
            route("ticket", "app", "unsafe", timeout_ms=800),
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_connections": 100},
            {
                "name": "pool", "health_path": "/health", "max_connections": 360,
                "engine": engine,
            },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 1000000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": TENANT, "api_keys": [KEY], "priority": 1, "prepaid": prepaid}
        ],
    }


async def register_replica(
    store, own_id, service, zone, port, state="ready", cold_ms=0, version="v1"
):
    entry = {
        "service": service, "address": f"127.0.0.1:{port}", "zone": zone, "version": version,
        "slots": 64, "state": state, "cold_remaining_ms": cold_ms, "sequence": 1,
    }
    await store.put("servers", own_id, json.dumps(entry).encode())


def run(play, folder):
    """Run a script's coroutine; exit with its result, or 2 if it could not run."""

    async def body():
        scene = Scene(folder)
        try:
            async with asyncio.timeout(110):
                return await play(scene)
        except Exception as error:
            scene.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            await scene.close()

    sys.exit(asyncio.run(body()))
