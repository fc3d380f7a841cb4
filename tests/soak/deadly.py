"""Send a request that crashes each upstream that runs it, repeatedly."""

import asyncio
import random

from lynxchute.http import ExchangeError
from tests.platform_support import HOST
from tests.soak.fleet import AMPLE_ACCOUNT

DEADLY_BODY = b"what no upstream survives"
DEADLY_PART = "deadbeef"
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
QUARANTINE_REASONS = (b"ends-upstreams", b"crashing-prompt-part")


class DeadlyCaller:
    """Send a deadly request repeatedly and restart the upstreams that it crashes.

    It has a random generator of its own, so that its draws don't shift the other
    faults'.

    Attributes
    ----------
    crash_times
        Times at which upstreams crashed under its requests.
    """

    name = "deadly"
    crashes_before_quarantine = CRASHES_BEFORE_QUARANTINE
    restarts_upstreams = True

    def __init__(self, fleet, callers, checker, seed):
        self.crash_times = []
        self._fleet = fleet
        self._callers = callers
        self._checker = checker
        self._rng = random.Random(f"{seed} {self.name}")
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
        detail = (
            f"{self.name} {self._kind}: {late_crashes} late, {after_start} at starts"
        )
        if self._late_crashes > MAX_LATE_CRASHES:
            self._checker.record_violation("what ends upstreams is stopped", detail)
        if self._late_crashes_after_start > MAX_LATE_CRASHES_AFTER_START:
            self._checker.record_violation(
                "what ends upstreams is stopped, over starts", detail
            )
        for record in self._callers.records:
            if any(reason in record.body for reason in QUARANTINE_REASONS):
                detail = f"{record.request_id} at {record.vm}"
                self._checker.record_violation("the innocent are not refused", detail)

    def _request(self, number):
        """Return the prompt's parts and the body of the next request."""
        return "dd:50,de:10", DEADLY_BODY

    def _is_deadly(self, run):
        """Return whether it was one of its requests that crashed an upstream."""
        return run.body == DEADLY_BODY

    def _mark_deadly(self, standin):
        """Let an upstream crash under its requests."""
        standin.crash_bodies.add(DEADLY_BODY)

    def _crashes(self):
        """Return the number of crashes under its requests."""
        return sum(
            self._is_deadly(run)
            for upstream in self._fleet.upstreams
            for run in upstream.standin.crash_runs
        )

    async def _send_deadly_request(self, vm):
        for upstream in self._fleet.upstreams:
            self._mark_deadly(upstream.standin)
        number = self._rng.getrandbits(40)
        parts, body = self._request(number)
        headers = [
            ("Host", HOST),
            ("X-Request-Id", f"{self.name}-{number:x}"),
            ("X-Deadline-Ms", "2000"),
            ("X-Credential", f"key-of-{AMPLE_ACCOUNT}"),
        ]
        if self._kind != "unsafe":
            headers.append(("X-Model", "m"))
            headers.append(("X-Token-Counts", "60,30"))
            headers.append(("X-Prompt-Prefix", parts))
        before = self._crashes()
        was_due, was_informed = self._is_quarantine_due(), self._is_informed(vm)
        try:
            async with asyncio.timeout(3.0):
                response = await self._callers.client(vm).request(
                    "POST", f"/{self._kind}/x", headers=headers, body=body
                )
                await response.body()
        except (ExchangeError, TimeoutError):
            # The router or the upstream has ended.
            pass
        after = self._crashes()
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
        if len(self.crash_times) < self.crashes_before_quarantine:
            return False
        last_allowed = self.crash_times[self.crashes_before_quarantine - 1]
        due_at = last_allowed + PROPAGATION_SECONDS
        return asyncio.get_running_loop().time() > due_at

    async def _watch_crashes(self):
        """Record the crashes under its requests; restart each crashed upstream."""
        crashes_by_upstream = {}
        while True:
            await asyncio.sleep(0.02)
            self._record_starts()
            now = asyncio.get_running_loop().time()
            new_crashes = self._crashes() - len(self.crash_times)
            self.crash_times += [now] * new_crashes
            if not self.restarts_upstreams:
                continue
            for upstream in self._fleet.upstreams:
                crashes = upstream.standin.crashes
                if crashes == crashes_by_upstream.get(upstream, 0):
                    continue
                crashes_by_upstream[upstream] = crashes
                self._tasks.add(asyncio.create_task(self._restart(upstream)))

    async def _restart(self, upstream):
        await asyncio.sleep(self._rng.uniform(*RESTART_DELAY))
        if upstream.is_up:
            await upstream.standin.start_new_process(self._fleet.store)


class DeadlyPartCaller(DeadlyCaller):
    """Send requests that have a prompt part in common that crashes upstreams.

    No two of them are alike. The part stands among parts of sound requests, in some
    seeds also beside one that has no other use.
    """

    name = "deadly-part"
    # The number after which the platform expects all routers to refuse the part.
    crashes_before_quarantine = 5
    restarts_upstreams = False

    def __init__(self, fleet, callers, checker, seed):
        super().__init__(fleet, callers, checker, seed)
        self._kind = self._rng.choice(KINDS[:2])
        self._has_decoy = self._rng.random() < 0.5

    def _request(self, number):
        parts = [f"{DEADLY_PART}:{self._rng.randrange(1, 30)}"]
        if self._rng.random() < 0.7:
            parts.insert(0, "aa:20")
        if self._has_decoy:
            parts.append("decoy:5")
        return ",".join([*parts, f"{number:x}:10"]), f"question {number}".encode()

    def _is_deadly(self, run):
        return DEADLY_PART in run.shared_part_ids

    def _mark_deadly(self, standin):
        standin.crash_parts.add(DEADLY_PART)
