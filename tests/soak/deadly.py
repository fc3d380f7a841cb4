"""A caller whose request ends each upstream that runs it, and comes again."""

import asyncio
import random

from lynxchute.http import ExchangeFailed
from tests.platform_support import HOST
from tests.soak.fleet import AMPLE

BODY = b"what no upstream survives"
PAUSE = (0.1, 1.2)
RESTART_AFTER = (0.2, 1.5)
KINDS = ("stream", "once", "unsafe")
# Ends after which it must be known, seconds in which all routers must know it, and
# attempts that may still reach an upstream after that.
ENDS_KNOWN = 3
KNOWN_WITHIN = 3.0
ATTEMPTS_LEFT = 3
REFUSED_FOR_ENDS = b"ends-upstreams"


class DeadlyCaller:
    """Send one deadly request again and again, and restart what it ends.

    It draws from numbers of its own, so that a seed has the faults that it always had.
    """

    def __init__(self, fleet, callers, checker, seed):
        self.ended_at = []
        self._fleet = fleet
        self._callers = callers
        self._checker = checker
        self._rng = random.Random(f"{seed} deadly")
        self._kind = self._rng.choice(KINDS)
        self._late_attempts = 0
        self._tasks = set()

    async def run(self):
        watching = asyncio.create_task(self._restart_all())
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(*PAUSE))
                await self._ask(self._rng.choice(sorted(self._fleet.routers_by_vm)))
        finally:
            for task in (watching, *self._tasks):
                task.cancel()

    def check(self):
        """Note what broke."""
        if self._late_attempts > ATTEMPTS_LEFT:
            what = f"{self._kind}: {self._late_attempts} sent late"
            self._checker.note("what ends upstreams is stopped", what)
        for record in self._callers.records:
            if REFUSED_FOR_ENDS in record.body:
                what = f"{record.request_id} at {record.vm}"
                self._checker.note("the innocent are not refused", what)

    async def _ask(self, vm):
        self._mark()
        number = self._rng.getrandbits(40)
        headers = [
            ("Host", HOST),
            ("X-Request-Id", f"deadly-{number:x}"),
            ("X-Deadline-Ms", "2000"),
            ("X-Credential", f"key-of-{AMPLE}"),
        ]
        if self._kind != "unsafe":
            headers.append(("X-Model", "m"))
            headers.append(("X-Token-Counts", "60,30"))
            headers.append(("X-Prompt-Prefix", "dd:50,de:10"))
        before = sum(upstream.standin.crashes for upstream in self._fleet.upstreams)
        known_before = self._is_due()
        try:
            async with asyncio.timeout(3.0):
                response = await self._callers.client(vm).request(
                    "POST", f"/{self._kind}/x", headers=headers, body=BODY
                )
                await response.body()
        except (ExchangeFailed, TimeoutError):
            # Its router or upstream is gone.
            pass
        after = sum(upstream.standin.crashes for upstream in self._fleet.upstreams)
        if known_before:
            self._late_attempts += after - before

    def _is_due(self):
        """Return whether all routers must know the request by now."""
        if len(self.ended_at) < ENDS_KNOWN:
            return False
        known_at = self.ended_at[ENDS_KNOWN - 1] + KNOWN_WITHIN
        return asyncio.get_running_loop().time() > known_at

    def _mark(self):
        for upstream in self._fleet.upstreams:
            upstream.standin.deadly_bodies.add(BODY)

    async def _restart_all(self):
        crashes_by_upstream = {}
        while True:
            await asyncio.sleep(0.02)
            for upstream in self._fleet.upstreams:
                crashes = upstream.standin.crashes
                if crashes == crashes_by_upstream.get(upstream, 0):
                    continue
                crashes_by_upstream[upstream] = crashes
                self.ended_at.append(asyncio.get_running_loop().time())
                self._tasks.add(asyncio.create_task(self._restart(upstream)))

    async def _restart(self, upstream):
        await asyncio.sleep(self._rng.uniform(*RESTART_AFTER))
        if upstream.is_up:
            await upstream.standin.start_anew(self._fleet.store)
