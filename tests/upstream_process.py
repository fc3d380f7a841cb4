"""An upstream in a separate process, which can be suspended by signals.

`python -m tests.upstream_process SPECIFICATION` serves until SIGTERM, then writes what
it received to a file.
"""

import asyncio
import json
import pathlib
import random
import signal
import sys

import attrs

from lynxchute.event_loop import run as run_loop
from lynxchute.standins.budget_rules import Received
from lynxchute.standins.places import Places
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from lynxchute.standins.upstream_run import Fault
from tests.platform_support import free_port

READY_TIMEOUT = 20.0
STOP_TIMEOUT = 10.0


class RandomFaults(list):
    """Faults of a share of all requests."""

    def __init__(self, fault, share, seed):
        super().__init__()
        self._fault, self._share = fault, share
        self._rng = random.Random(seed)

    def __bool__(self):
        return self._share > 0.0

    def pop(self, index=0):
        return self._fault if self._rng.random() < self._share else None


class UpstreamProcess:
    """Start, suspend and end one upstream.

    Attributes
    ----------
    standin
        What it registers; its records are read when the process has ended.
    """

    def __init__(
        self,
        folder,
        service,
        data_centre,
        *,
        events=0,
        event_delay=0.005,
        slots=None,
        fault=Fault.FAIL,
        failed_share=0.0,
        environment=None,
    ):
        self.standin = PlatformUpstreamStandin(
            service, data_centre, events=events, event_delay=event_delay
        )
        if slots is not None:
            self.standin.places = Places(slots, 0)
        self.standin.port = free_port()
        self._environment = environment
        self._file = folder / f"{self.standin.id}.json"
        self._records = folder / f"{self.standin.id}.received"
        self._process = None
        specification = {
            "id": self.standin.id,
            "service": service,
            "data_centre": data_centre,
            "events": events,
            "event_delay": event_delay,
            "slots": slots,
            "started_ms": self.standin.started_ms,
            "port": self.standin.port,
            "fault": fault.value,
            "failed_share": failed_share,
            "records": str(self._records),
        }
        self._file.write_text(json.dumps(specification))

    @property
    def service(self):
        return self.standin.service

    async def start(self, store):
        """Start the process and register it once it listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.upstream_process", str(self._file)
        )
        async with asyncio.timeout(READY_TIMEOUT):
            while not await self._is_listening():
                await asyncio.sleep(0.05)
        await self.standin.register(store)

    async def _is_listening(self):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.standin.port)
        except OSError:
            return False
        writer.close()
        return True

    def suspend(self):
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)

    async def stop(self):
        """End the process and read its records."""
        if self._process is None:
            return
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        if self._records.exists():
            received = json.loads(self._records.read_text())
            self.standin.received = [Received(**item) for item in received]


async def serve(specification):
    standin = PlatformUpstreamStandin(
        specification["service"],
        specification["data_centre"],
        events=specification["events"],
        event_delay=specification["event_delay"],
    )
    standin.id = specification["id"]
    standin.started_ms = specification["started_ms"]
    if specification["slots"] is not None:
        standin.places = Places(specification["slots"], 0)
    standin.faults = RandomFaults(
        Fault(specification["fault"]), specification["failed_share"], standin.id
    )
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await standin.start(specification["port"])
    await stopped.wait()
    await standin.stop()
    return [attrs.asdict(received) for received in standin.received]


def main():
    specification = json.loads(pathlib.Path(sys.argv[1]).read_text())
    records = run_loop(serve(specification))
    pathlib.Path(specification["records"]).write_text(json.dumps(records))


if __name__ == "__main__":
    main()
