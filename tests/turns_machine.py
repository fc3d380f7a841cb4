"""Routers that ask one router for places at a few engines, leave, die and ask again.

The scheduling router has the real decisions: board, turns and placing. The model beside
it knows who was placed, who waits and who has gone.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lynxchute.fleet.messages import PlaceRequest
from lynxchute.overload.claim import Claim
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.placing import EnginePlacing
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
from tests.support import no_limits_kept

ENGINES = 2
SLOTS = 2
ROUTERS = 3
SERVICE = "pool"
LIMITS = ColdLimits()


class TurnsMachine(RuleBasedStateMachine):
    """Check that places are kept to, given back, and given to who waits."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.directory = Directory()
        self.entries = []
        gate = SendGate(Evacuations(), lambda service: LIMITS, no_limits_kept())
        watch = RankWatch(lambda service: 0)
        self.turns = AdmissionQueue(lambda account: 1.0, Metrics())
        self.placing = EnginePlacing(
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
        self.gone = set()
        self.leaves_at_by_run = {}

    @initialize()
    def begin(self):
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
    def come(self, router, account, rank, left):
        """Let a request come."""
        self.count += 1
        run_id = f"r{self.count}"
        claim = Claim(account, rank, f"c{self.count}", 0.0, left, 1.0)
        self.requests[run_id] = PlaceRequest(
            run_id, SERVICE, "a", (), 100, 10, (), self.incarnation(router), claim=claim
        )
        self.leaves_at_by_run[run_id] = self.now + left
        self.ask(run_id)

    def ask(self, run_id):
        self.waiting.pop(run_id, None)
        reply = self.placing.decide_for_peer(self.requests[run_id], self.entries)
        if reply.upstream:
            self.engine_by_run[run_id] = reply.upstream
        elif reply.wait_ms:
            self.waiting[run_id] = self.now
        else:
            assert reply.retry_ms, "neither a place, nor a turn, nor a refusal"
            self.gone.add(run_id)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def ask_again(self, data):
        self.ask(data.draw(st.sampled_from(sorted(self.waiting))))

    @precondition(lambda self: self.engine_by_run)
    @rule(data=st.data())
    def end(self, data):
        """Let a run end."""
        run_id = data.draw(st.sampled_from(sorted(self.engine_by_run)))
        self.placing.board.record_end(self.engine_by_run.pop(run_id), run_id, self.now)
        self.turns.record_freed(SERVICE, self.now)
        self.gone.add(run_id)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def leave(self, data):
        """Let a caller leave who waits."""
        run_id = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[run_id]
        self.placing.board.discard_run(run_id)
        self.turns.discard(run_id)
        self.gone.add(run_id)

    @rule(router=st.integers(0, ROUTERS - 1))
    def start_again(self, router):
        """Let a router's process end, with all that it has."""
        before = self.incarnation(router)
        self.starts[router] += 1
        self.register()
        for run_id, request in self.requests.items():
            if request.router == before:
                self.waiting.pop(run_id, None)
                self.engine_by_run.pop(run_id, None)
                self.gone.add(run_id)

    @rule(router=st.integers(0, ROUTERS - 1))
    def ask_for_a_process_that_has_ended(self, router):
        """Bring a question late that a process asked which has ended."""
        claim = Claim("a", 3, "late", 0.0, 30.0, 1.0)
        request = PlaceRequest(
            "late", SERVICE, "a", (), 100, 10, (), f"run-{router}-old", claim=claim
        )
        reply = self.placing.decide_for_peer(request, self.entries)
        assert not reply.upstream and not reply.wait_ms, "a place for nobody"
        assert not reply.is_refused, "refused for a question that nobody asked"

    @rule()
    def all_ask(self):
        """Let all who wait ask until nobody gets a place any more."""
        for _ in range(len(self.waiting) + 1):
            for run_id in sorted(self.waiting):
                self.ask(run_id)
            self.now += 0.06
        free = ENGINES * SLOTS - len(self.engine_by_run)
        assert not (free and self.waiting), "room was not given back"

    @invariant()
    def no_engine_gets_more_than_its_places(self):
        for state in self.placing.board.engines_by_id.values():
            assert len(state.runs_by_id) <= SLOTS, "more than its places"

    @invariant()
    def only_who_waits_has_a_ticket(self):
        limit = self.now - MAX_POLL_SECONDS - GRACE_SECONDS
        held = sum(row["waiting"] for row in self.turns.describe(self.now))
        assert held <= len(self.waiting), "a ticket of somebody who does not wait"
        late = 0
        for run_id, asked_at in self.waiting.items():
            late += asked_at < limit or self.leaves_at_by_run[run_id] <= self.now
        assert held >= len(self.waiting) - late, "a ticket was lost"
