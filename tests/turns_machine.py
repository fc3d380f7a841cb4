"""Stateful fuzzing of routers that request placements, poll, cancel and restart.

The scheduling router uses the real `EngineBoard`, `AdmissionQueue` and `EnginePlacer`.
The machine keeps a model of the requests that are placed, waiting and finished.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lynxchute.fleet.messages import PlacementRequest
from lynxchute.overload.claim import Claim
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.placing import EnginePlacer
from lynxchute.scheduling.turns import GRACE_SECONDS, MAX_POLL_SECONDS, AdmissionQueue
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.cold_admission import (
    ColdLimits,
    FirstRegistered,
    RankWatch,
)
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.upstream import Upstream
from tests.support import unlimited_rates

ENGINES = 2
SLOTS = 2
ROUTERS = 3
SERVICE = "pool"
LIMITS = ColdLimits()


class TurnsMachine(RuleBasedStateMachine):
    """Check that slots are respected, released and given to waiting requests."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.directory = Directory()
        self.entries = []
        gate = SendGate(Evacuations(), lambda service: LIMITS, unlimited_rates())
        watch = RankWatch(lambda service: 0)
        self.turns = AdmissionQueue(lambda account: 1.0, Metrics())
        self.placing = EnginePlacer(
            self.directory,
            Neighbourhood(self.directory),
            lambda service: None,
            gate,
            ColdPlacementLimiter(FirstRegistered(), watch, lambda service: LIMITS),
            self.turns,
            lambda: self.now,
        )
        self.starts = [0] * ROUTERS
        self.count = 0
        self.requests = {}
        self.engine_by_run = {}
        self.waiting = {}
        self.finished = set()
        self.deadline_by_run = {}

    @initialize()
    def set_up_engines(self):
        for number in range(ENGINES):
            address = f"127.0.0.1:{number + 1}"
            upstream = Upstream(f"e{number}", SERVICE, address, "a", slots=SLOTS)
            self.directory.put(upstream, self.now)
        self.entries = list(self.directory.entries_by_id.values())
        self.register()

    def incarnation(self, router):
        return f"run-{router}-{self.starts[router]}"

    def register(self):
        alive = {self.incarnation(router) for router in range(ROUTERS)}
        self.turns.update_routers(alive)
        self.placing.board.prune_runs(alive)

    @rule(seconds=st.sampled_from((0.0, 0.02, 0.06, 0.2)))
    def advance(self, seconds):
        self.now += seconds

    @rule(
        router=st.integers(0, ROUTERS - 1),
        account=st.sampled_from("abc"),
        rank=st.integers(3, 4),
        left=st.sampled_from((0.0, 0.3, 30.0)),
    )
    def arrive(self, router, account, rank, left):
        """Send a new request."""
        self.count += 1
        run_id = f"r{self.count}"
        claim = Claim(account, rank, f"c{self.count}", 0.0, left, 1.0)
        self.requests[run_id] = PlacementRequest(
            run_id, SERVICE, "a", (), 100, 10, (), self.incarnation(router), claim=claim
        )
        self.deadline_by_run[run_id] = self.now + left
        self.query(run_id)

    def query(self, run_id):
        self.waiting.pop(run_id, None)
        reply = self.placing.decide_for_peer(self.requests[run_id], self.entries)
        if reply.upstream:
            self.engine_by_run[run_id] = reply.upstream
        elif reply.wait_ms:
            self.waiting[run_id] = self.now
        else:
            assert reply.retry_ms, "no placement, no wait time and no refusal"
            self.finished.add(run_id)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def poll(self, data):
        self.query(data.draw(st.sampled_from(sorted(self.waiting))))

    @precondition(lambda self: self.engine_by_run)
    @rule(data=st.data())
    def finish_run(self, data):
        """End a run."""
        run_id = data.draw(st.sampled_from(sorted(self.engine_by_run)))
        self.placing.board.record_end(self.engine_by_run.pop(run_id), run_id, self.now)
        self.turns.record_slot_freed(SERVICE, self.now)
        self.finished.add(run_id)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        """Cancel a waiting request."""
        run_id = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[run_id]
        self.placing.board.discard_run(run_id)
        self.turns.discard(run_id)
        self.finished.add(run_id)

    @rule(router=st.integers(0, ROUTERS - 1))
    def restart_router(self, router):
        """Restart a router, which loses its requests and runs."""
        before = self.incarnation(router)
        self.starts[router] += 1
        self.register()
        for run_id, request in self.requests.items():
            if request.router == before:
                self.waiting.pop(run_id, None)
                self.engine_by_run.pop(run_id, None)
                self.finished.add(run_id)

    @rule(router=st.integers(0, ROUTERS - 1))
    def query_from_ended_process(self, router):
        """Deliver a late query of a router process that has ended."""
        claim = Claim("a", 3, "late", 0.0, 30.0, 1.0)
        request = PlacementRequest(
            "late", SERVICE, "a", (), 100, 10, (), f"run-{router}-old", claim=claim
        )
        reply = self.placing.decide_for_peer(request, self.entries)
        assert not reply.upstream and not reply.wait_ms, (
            "placement for an ended process"
        )
        assert not reply.is_refused, "refusal for an ended process"

    @rule()
    def poll_all(self):
        """Poll for all waiting requests until none is placed any more."""
        for _ in range(len(self.waiting) + 1):
            for run_id in sorted(self.waiting):
                self.query(run_id)
            self.now += 0.06
        free = ENGINES * SLOTS - len(self.engine_by_run)
        assert not (free and self.waiting), "free slots are not used"

    @invariant()
    def no_engine_exceeds_its_slots(self):
        for state in self.placing.board.engines_by_id.values():
            assert len(state.runs_by_id) <= SLOTS, "more runs than slots"

    @invariant()
    def tickets_match_waiting_requests(self):
        limit = self.now - MAX_POLL_SECONDS - GRACE_SECONDS
        held = sum(row["waiting"] for row in self.turns.describe(self.now))
        assert held <= len(self.waiting), "a ticket without a waiting request"
        late = 0
        for run_id, asked_at in self.waiting.items():
            late += asked_at < limit or self.deadline_by_run[run_id] <= self.now
        assert held >= len(self.waiting) - late, "a ticket was lost"
