"""Send a request that crashes each upstream that runs it, repeatedly."""

import asyncio
import random

from lynxchute.http import ExchangeError
from tests.platform_support import HOST
from tests.soak.fleet import AMPLE_ACCOUNT

DEADLY_BODY = b"what no upstream survives"
SEND_INTERVAL = (0.1, 1.2)
RESTART_DELAY = (0.2, 1.5)
KINDS = ("stream", "once", "unsafe")
# After CRASHES_BEFORE_QUARANTINE crashes the request must be quarantined, and within
# PROPAGATION_SECONDS all routers must know of the quarantine. MAX_LATE_CRASHES more are
# tolerated after that.
CRASHES_BEFORE_QUARANTINE = 3
PROPAGATION_SECONDS = 3.0
MAX_LATE_CRASHES = 3
# Number of late crashes that are tolerated if the router that sent the request had
# started less than PROPAGATION_SECONDS before. The quarantine is lost if all routers
# are killed before one of them could write it to the store: in seeds 9702 and 9714, all
# had been killed while the store was unavailable, and each late send was by a router
# that had started 0.06 to 2.9 s before. Without any quarantine 17 to 45 upstreams
# crash.
MAX_LATE_CRASHES_AFTER_START = 9
QUARANTINE_REASON = b"ends-upstreams"


class DeadlyCaller:
    """Send a deadly request repeatedly and restart the upstreams that it crashes.

    It has a random generator of its own, so that its draws don't shift the other
    faults'.
    """

    def __init__(self, fleet, callers, checker, seed):
        self.crash_times = []
        self._fleet = fleet
        self._callers = callers
        self._checker = checker
        self._rng = random.Random(f"{seed} deadly")
        self._kind = self._rng.choice(KINDS)
        self._late_crashes = 0
        self._late_crashes_after_start = 0
        self._started_at_by_vm = {}
        self._tasks = set()

    async def run(self):
        watch_task = asyncio.create_task(self._watch_crashes())
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(*SEND_INTERVAL))
                await self._send_deadly_request(
                    self._rng.choice(sorted(self._fleet.routers_by_vm))
                )
        finally:
            for task in (watch_task, *self._tasks):
                task.cancel()

    def check(self):
        """Record a violation for late crashes and for quarantined other requests."""
        late_crashes, after_start = self._late_crashes, self._late_crashes_after_start
        detail = f"{self._kind}: {late_crashes} late, {after_start} at starts"
        if self._late_crashes > MAX_LATE_CRASHES:
            self._checker.record_violation("what ends upstreams is stopped", detail)
        if self._late_crashes_after_start > MAX_LATE_CRASHES_AFTER_START:
            self._checker.record_violation(
                "what ends upstreams is stopped, over starts", detail
            )
        for record in self._callers.records:
            if QUARANTINE_REASON in record.body:
                detail = f"{record.request_id} at {record.vm}"
                self._checker.record_violation("the innocent are not refused", detail)

    async def _send_deadly_request(self, vm):
        self._mark_body_deadly()
        number = self._rng.getrandbits(40)
        headers = [
            ("Host", HOST),
            ("X-Request-Id", f"deadly-{number:x}"),
            ("X-Deadline-Ms", "2000"),
            ("X-Credential", f"key-of-{AMPLE_ACCOUNT}"),
        ]
        if self._kind != "unsafe":
            headers.append(("X-Model", "m"))
            headers.append(("X-Token-Counts", "60,30"))
            headers.append(("X-Prompt-Prefix", "dd:50,de:10"))
        before = sum(upstream.standin.crashes for upstream in self._fleet.upstreams)
        was_due, was_informed = self._is_quarantine_due(), self._is_informed(vm)
        try:
            async with asyncio.timeout(3.0):
                response = await self._callers.client(vm).request(
                    "POST", f"/{self._kind}/x", headers=headers, body=DEADLY_BODY
                )
                await response.body()
        except (ExchangeError, TimeoutError):
            # The router or the upstream has ended.
            pass
        after = sum(upstream.standin.crashes for upstream in self._fleet.upstreams)
        if was_due and was_informed:
            self._late_crashes += after - before
        elif was_due:
            self._late_crashes_after_start += after - before

    def _is_informed(self, vm):
        """Return whether a router has run long enough to know of the quarantine."""
        start_number, started_at = self._started_at_by_vm.get(vm, (0, 0.0))
        if start_number != self._fleet.routers_by_vm[vm].process.starts:
            return False
        return asyncio.get_running_loop().time() - started_at > PROPAGATION_SECONDS

    def _record_starts(self):
        """Record the time at which each router process was first seen."""
        now = asyncio.get_running_loop().time()
        for vm, router in self._fleet.routers_by_vm.items():
            start_number, _ = self._started_at_by_vm.get(vm, (0, 0.0))
            if start_number != router.process.starts:
                self._started_at_by_vm[vm] = (router.process.starts, now)

    def _is_quarantine_due(self):
        """Return whether all routers must know of the quarantine by now."""
        if len(self.crash_times) < CRASHES_BEFORE_QUARANTINE:
            return False
        due_at = self.crash_times[CRASHES_BEFORE_QUARANTINE - 1] + PROPAGATION_SECONDS
        return asyncio.get_running_loop().time() > due_at

    def _mark_body_deadly(self):
        for upstream in self._fleet.upstreams:
            upstream.standin.crash_bodies.add(DEADLY_BODY)

    async def _watch_crashes(self):
        """Record the crashes of upstreams and restart each crashed upstream."""
        crashes_by_upstream = {}
        while True:
            await asyncio.sleep(0.02)
            self._record_starts()
            for upstream in self._fleet.upstreams:
                crashes = upstream.standin.crashes
                if crashes == crashes_by_upstream.get(upstream, 0):
                    continue
                crashes_by_upstream[upstream] = crashes
                self.crash_times.append(asyncio.get_running_loop().time())
                self._tasks.add(asyncio.create_task(self._restart(upstream)))

    async def _restart(self, upstream):
        await asyncio.sleep(self._rng.uniform(*RESTART_DELAY))
        if upstream.is_up:
            await upstream.standin.start_new_process(self._fleet.store)
