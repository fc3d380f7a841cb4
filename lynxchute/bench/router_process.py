"""A router in a separate process, and its processor time."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from pathlib import Path

from lynxchute.http import ExchangeError, HttpClient
from lynxchute.platform import names
from lynxchute.platform.settings import SETTINGS_VARIABLE

HOST = "127.0.0.1"
DATA_CENTRE = "a"
READY_TIMEOUT = 20.0
POLL_SECONDS = 0.02


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class RouterProcess:
    """Run one router from a checkout of the code.

    Parameters
    ----------
    folder
        The folder for its settings file and its log.
    vm
        The name of its VM.
    store_port
        The port at which it reaches the store.
    code
        The checkout whose code it runs.
    profile
        The file to which its profile is written; None for none.
    """

    def __init__(
        self,
        folder: Path,
        vm: str,
        store_port: int,
        *,
        code: Path,
        profile: Path | None = None,
    ) -> None:
        self.vm = vm
        self.caller_port = free_port()
        self._ready_port = free_port()
        self._folder = folder
        self._store_port = store_port
        self._code = code
        self._profile = profile
        self._process: asyncio.subprocess.Process | None = None

    @property
    def processor_seconds(self) -> float:
        """Return the processor time of the process so far."""
        assert self._process is not None
        stat = Path(f"/proc/{self._process.pid}/schedstat").read_text(encoding="ascii")
        return int(stat.split()[0]) / 1e9

    async def start(self) -> None:
        """Start the process."""
        file = self._folder / f"{self.vm}.yaml"
        # Any JSON document is valid YAML.
        file.write_text(json.dumps(self._settings()), encoding="utf-8")
        environment = {**os.environ, SETTINGS_VARIABLE: str(file)}
        # Bytecode caching is enabled because a deployed router's code is precompiled.
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        environment["PYTHONPATH"] = str(self._code)
        command = ["-m", "lynxchute.platform"]
        if self._profile is not None:
            command = ["-m", "cProfile", "-o", str(self._profile), *command]
        with (self._folder / f"{self.vm}.log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, *command, stdout=log, env=environment, cwd=self._code
            )

    async def wait_until_ready(self) -> None:
        """Wait until the router reports that it is ready."""
        client = HttpClient(f"{HOST}:{self._ready_port}")
        async with asyncio.timeout(READY_TIMEOUT):
            while not await self._is_ready(client):
                await asyncio.sleep(POLL_SECONDS)
        client.close()

    async def stop(self) -> None:
        """Kill the process, or terminate it gracefully if it has a profile to write."""
        if self._process is None:
            return
        if self._profile is not None:
            self._process.terminate()
        else:
            self._process.kill()
        await self._process.wait()

    async def _is_ready(self, client: HttpClient) -> bool:
        try:
            status, _ = await client.get_json(names.READY_PATH)
        except ExchangeError:
            return False
        return status == 200

    def _settings(self) -> dict[str, object]:
        peers = free_port()
        return {
            "node_name": self.vm,
            "zone": DATA_CENTRE,
            "zones": {DATA_CENTRE: "r"},
            "ip": HOST,
            "listen": {
                "front": f"{HOST}:{self.caller_port}",
                "ready": f"{HOST}:{self._ready_port}",
            },
            "internal_ports": [peers, peers],
            "bootstrap": False,
            "limits": {"memory_mb": 200},
            "bounds": {"grace_s": 6},
            "platform": {"address": f"{HOST}:{self._store_port}", "across": True},
        }
