"""A router in a process of its own, and what it has taken of the processor."""

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
READY_WITHIN = 20.0
LOOK_SECONDS = 0.02


def free_port() -> int:
    """Return a port that nothing listens at."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class RouterProcess:
    """Run one router from a checkout of the code.

    Parameters
    ----------
    folder
        Takes its settings file and its log.
    vm
        Its name.
    store_port
        Where it reaches the store.
    code
        The checkout whose code it runs.
    profile
        Where its profile goes; None for none.
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
        self.front = free_port()
        self._ready = free_port()
        self._folder = folder
        self._store_port = store_port
        self._code = code
        self._profile = profile
        self._process: asyncio.subprocess.Process | None = None

    @property
    def processor_seconds(self) -> float:
        """Return what the process has taken of the processor so far."""
        assert self._process is not None
        stat = Path(f"/proc/{self._process.pid}/schedstat").read_text(encoding="ascii")
        return int(stat.split()[0]) / 1e9

    async def start(self) -> None:
        """Start the process."""
        file = self._folder / f"{self.vm}.yaml"
        # JSON is YAML.
        file.write_text(json.dumps(self._settings()), encoding="utf-8")
        environment = {**os.environ, SETTINGS_VARIABLE: str(file)}
        # A deployed router's code is compiled before its start.
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        environment["PYTHONPATH"] = str(self._code)
        command = ["-m", "lynxchute.platform"]
        if self._profile is not None:
            command = ["-m", "cProfile", "-o", str(self._profile), *command]
        with (self._folder / f"{self.vm}.log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, *command, stdout=log, env=environment, cwd=self._code
            )

    async def ready(self) -> None:
        """Wait until it serves."""
        client = HttpClient(f"{HOST}:{self._ready}")
        async with asyncio.timeout(READY_WITHIN):
            while not await self._is_ready(client):
                await asyncio.sleep(LOOK_SECONDS)
        client.close()

    async def stop(self) -> None:
        """End it; gracefully where a profile is to be written."""
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
                "front": f"{HOST}:{self.front}",
                "ready": f"{HOST}:{self._ready}",
            },
            "internal_ports": [peers, peers],
            "bootstrap": False,
            "limits": {"memory_mb": 200},
            "bounds": {"grace_s": 6},
            "platform": {"address": f"{HOST}:{self._store_port}", "across": True},
        }
