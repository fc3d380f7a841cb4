"""Roll out software of engines, and take broken streams up at other routers.

It has a random generator of its own, so that its draws don't shift the other faults'.
"""

import asyncio
import collections
import random

from lynxchute.http import ExchangeError
from lynxchute.telemetry import log_event
from tests.platform_support import HOST
from tests.soak.fleet import AMPLE_ACCOUNT
from tests.soak.promises import VERSION_GUARANTEE, software_versions

VERSIONS = ("v1", "v2", "v10")
ROLLOUT_INTERVAL = (0.4, 2.5)
# Share of the steps in which an engine comes back under its id with other software.
REBORN_SHARE = 0.3
DOWN_SECONDS = (0.1, 1.0)
STREAM_CALLERS = 4
STREAM_INTERVAL = (0.05, 0.4)
RETURN_DELAY = (0.0, 0.4)
MAX_ATTEMPTS = 4
# Share of the attempts that their caller breaks off.
BREAK_SHARE = 0.7
MAX_EVENTS_READ = 4


class RolloutInjector:
    """Change the software of engines forward and back, and check resumed streams."""

    caller_count = STREAM_CALLERS

    def __init__(self, fleet, callers, checker, seed, *, planned_only):
        self.counts = collections.Counter()
        self._fleet = fleet
        self._callers = callers
        self._checker = checker
        self._planned_only = planned_only
        self._rng = random.Random(f"rollouts of {seed}")

    async def run(self, seconds):
        """Change versions and take streams up for some seconds."""
        end = asyncio.get_running_loop().time() + seconds
        callers = [self._resume_streams(end) for _ in range(self.caller_count)]
        await asyncio.gather(self._change_versions(end), *callers)

    async def _change_versions(self, end):
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self._rng.uniform(*ROLLOUT_INTERVAL))
            # Engines that are replaced from now on have this version.
            self._fleet.software_version = self._rng.choice(VERSIONS)
            self.counts["rollouts"] += 1
            if not self._planned_only and self._rng.random() < REBORN_SHARE:
                await self._restart_engine()

    async def _restart_engine(self):
        """Restart an engine under its id with other software."""
        engines = [u for u in self._fleet.upstreams if u.is_up and u.standin.events]
        upstream = self._rng.choice(engines)
        engine, runs = upstream.standin, upstream.standin.runs
        crashes = engine.crashes
        log_event("soak fault", fault="engine restarts", upstream=engine.id)
        await engine.stop()
        await asyncio.sleep(self._rng.uniform(*DOWN_SECONDS))
        if not upstream.is_up or engine.crashes != crashes:
            return
        engine.software_version = self._fleet.software_version
        # Another process may have got the port; routers reach the engine by its link.
        engine.port = 0
        await engine.restart()
        upstream.link.target = f"127.0.0.1:{engine.port}"
        engine.runs = runs
        await engine.register(self._fleet.store)
        self.counts["engines restarted"] += 1

    async def _resume_streams(self, end):
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self._rng.uniform(*STREAM_INTERVAL))
            await self._run_stream()

    async def _run_stream(self):
        """Send one stream, and take it up again while it is broken."""
        name, body, first_attempt = f"t{self._rng.getrandbits(40):x}", b"", ""
        for number in range(MAX_ATTEMPTS):
            attempt = f"{name}-{number}"
            status, read = await self._attempt(attempt, body, first_attempt)
            if body:
                self.counts["taken up"] += 1
                self.counts["went on"] += status == 200 and bool(read)
                self.counts[f"taken up: {status}"] += 1
            if read and not first_attempt:
                first_attempt = attempt
            body += read
            if len(versions := software_versions(body)) > 1:
                self._checker.record_violation(VERSION_GUARANTEE, f"{name}: {versions}")
            await asyncio.sleep(self._rng.uniform(*RETURN_DELAY))

    def _choose_vm(self, is_taken_up):
        return self._rng.choice(sorted(self._fleet.routers_by_vm))

    async def _attempt(self, attempt, body, first_attempt):
        """Return the status and the complete events of one attempt."""
        vm = self._choose_vm(bool(body))
        headers = [
            ("Host", HOST),
            ("X-Request-Id", attempt),
            ("X-Deadline-Ms", "3000"),
            ("X-Credential", f"key-of-{AMPLE_ACCOUNT}"),
            ("X-Model", "m"),
            ("X-Token-Counts", "60,30"),
            ("X-Prompt-Prefix", f"aa:50,{attempt}:10"),
        ]
        if body:
            last = body.rpartition(b"id: ")[2].partition(b"\n")[0].decode()
            headers += [("Last-Event-Id", last), ("Resumes", first_attempt)]
        breaks = self._rng.random() < BREAK_SHARE
        max_events = self._rng.randint(1, MAX_EVENTS_READ) if breaks else None
        client, read, status = self._callers.client(vm), b"", 0
        try:
            response = await client.request(
                "POST", "/stream/x", headers=headers, body=attempt.encode()
            )
            status = response.status
            while status == 200 and (chunk := await response.read()) is not None:
                read += chunk
                if max_events is not None and read.count(b"\n\n") >= max_events:
                    break
            response.close()
        except ExchangeError:
            pass
        finally:
            client.close()
        return status, read[: read.rfind(b"\n\n") + 2] if b"\n\n" in read else b""
