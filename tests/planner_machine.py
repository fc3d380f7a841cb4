"""Requests whose running sends are given up, kept, or end, in any order.

No network: the chooser and the probes answer when a step says so.
"""

import asyncio
import types

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lynxchute.relay.origins import Origins
from lynxchute.relay.refusal import Reason, Refusal
from lynxchute.relay.resend_planner import ResendPlanner
from lynxchute.relay.resender import Resender
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable, Probe
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.upstream import Upstream

UPSTREAMS = ("u1", "u2", "u3")
SERVICE = "pool"


class FakeCall:
    request_id = "q"


class FakeExchange:
    """What the planner uses of an exchange."""

    def __init__(self):
        self.call = FakeCall()
        self.may_retry = True
        self.events = 0
        self.origin = None
        self.software_version = None
        self.last_event_at = 0.0
        self.is_resumable = True
        self.tried, self.passed_over = set(), set()
        self.planned = self.planning = self.planning_refusal = self.begun = None
        self.has_ended = False
        self.last_event = ""
        self.sends, self.sent_at = 1, 0.0

    @property
    def run_id(self):
        return f"q.{len(self.excluded)}"

    @property
    def excluded(self):
        return self.tried | self.passed_over

    @property
    def has_valid_resend(self):
        return self.begun is not None and self.begun.after_event == self.last_event


class FakeAnswer:
    """The response to an attempt."""

    def __init__(self, run_id, upstream_id):
        self.run_id, self.upstream_id = run_id, upstream_id
        self.response = types.SimpleNamespace(status=200)


class RecordedPlacement(Placement):
    """Records which runs have a place."""

    def __init__(self):
        self.upstream_by_run = {}

    async def choose(self, run_id, generation, candidates, aims=None):
        raise NotImplementedError

    def take(self, run_id, upstream_id):
        assert run_id not in self.upstream_by_run, "two places for one run"
        self.upstream_by_run[run_id] = upstream_id

    def record_end(self, run_id, upstream_id, *, failed):
        assert self.upstream_by_run.pop(run_id, None) == upstream_id, "no such place"


class SteppedChooser:
    """Chooses an upstream, or refuses, once a step says so."""

    def __init__(self, machine):
        self._machine = machine

    async def choose(self, exchange):
        machine = self._machine
        await machine.gate("choice")
        free = [name for name in UPSTREAMS if name not in exchange.excluded]
        if not free or machine.refuses:
            raise Refusal(Reason.COLD, "all are cold")
        run_id = exchange.run_id
        machine.placement.take(run_id, free[0])
        return Choice(machine.directory.entries_by_id[free[0]], run_id=run_id)


class SteppedEngines(EngineClient):
    """Answers probes once a step says so."""

    def __init__(self, machine):
        self._machine = machine

    async def probe(self, upstream):
        await self._machine.gate("probe")
        if upstream.id in self._machine.silent:
            raise EngineUnavailable("silent", is_timeout=True)
        return Probe()

    async def cached_parts(self, upstream):
        return []


class KnownOrigins(Origins):
    """Knows where every stream began."""

    def record(self, account, attempt, origin, *, timeout):
        pass

    async def find(self, account, attempt, service):
        raise NotImplementedError

    async def verify(self, origin, *, heard_at=None):
        return True

    def record_stated_version(self, entry, version):
        pass

    async def confirm_process(self, entry):
        return True


class PlannerMachine(RuleBasedStateMachine):
    """One request, whose send is planned to be given up again and again.

    A run has a place at its upstream until it ends.
    """

    @initialize()
    def start(self):
        self.loop = asyncio.new_event_loop()
        self.placement = RecordedPlacement()
        self.directory = Directory()
        for name in UPSTREAMS:
            self.directory.put(Upstream(name, SERVICE, f"{name}:1", "a"))
        self.refuses, self.silent = False, set()
        self.gates = []
        self.exchange = FakeExchange()
        self.chooser = SteppedChooser(self)
        self.planner = ResendPlanner(
            self.chooser,
            self.placement,
            KnownOrigins(),
            self.directory,
            SteppedEngines(self),
            Metrics(),
            lambda: 0.0,
        )
        self.resender = Resender(self.planner, self._attempt, self._discard)
        self.running = self.upstream = ""
        self.declines = False
        self.sends, self.moves = [], []
        self.request_send()

    async def gate(self, name):
        passed = self.loop.create_future()
        self.gates.append(passed)
        await passed

    def spin(self):
        for _ in range(8):
            self.loop.run_until_complete(asyncio.sleep(0))

    def open_gates(self):
        gates, self.gates = self.gates, []
        for passed in gates:
            if not passed.done():
                passed.set_result(None)
        self.spin()

    async def _send(self):
        """Send as a request does: as begun or planned, or by a new choice."""
        begun = self.resender.take(self.exchange)
        if begun is not None:
            answer = await self.resender.result(begun)
            if answer is not None:
                assert begun.after_event == self.exchange.last_event, "events repeated"
                self.running, self.upstream = answer.run_id, answer.upstream_id
                return
            self.exchange.tried.add(begun.choice.entry.upstream.id)
        choice = await self.planner.take(self.exchange)
        if choice is None:
            choice = await self.chooser.choose(self.exchange)
        assert choice.entry.upstream.id not in self.exchange.tried, "tried before"
        self.running = choice.run_id
        self.upstream = choice.entry.upstream.id

    async def _attempt(self, exchange, choice):
        """Send once, as a sender does; an answer is its run and its upstream."""
        run_id, upstream_id = choice.run_id, choice.entry.upstream.id
        try:
            await self.gate("connection")
            exchange.sends += 1
            await self.gate("attempt")
        except asyncio.CancelledError:
            self.placement.record_end(run_id, upstream_id, failed=False)
            raise
        if self.declines:
            self.placement.record_end(run_id, upstream_id, failed=True)
            return None
        return FakeAnswer(run_id, upstream_id)

    def _discard(self, answer):
        self.placement.record_end(answer.run_id, answer.upstream_id, failed=False)

    async def _move(self, entry, running, event):
        """Plan and begin a request elsewhere, then give its running send up."""
        if await self.planner.plan(self.exchange, entry) is not None:
            return
        if running != self.running:
            return
        if event != self.exchange.last_event:
            self.resender.release(self.exchange)
            return
        if await self.resender.begin(self.exchange) is not None:
            return
        if running != self.running:
            return
        if event != self.exchange.last_event:
            self.resender.release(self.exchange)
            return
        begun = self.exchange.begun
        assert begun is not None, "given up for nothing"
        if begun.attempt.done():
            assert begun.attempt.result() is not None, "given up though declined"
        self.end_running()
        self.sends.append(self.loop.create_task(self._send()))

    async def _cancel_sends(self, steps):
        for _ in range(steps):
            await asyncio.sleep(0)
        for task in self.sends:
            task.cancel()

    def request_send(self):
        self.sends.append(self.loop.create_task(self._send()))
        self.spin()

    @property
    def is_moving(self):
        return any(not task.done() for task in self.moves)

    @property
    def is_sending(self):
        return any(not task.done() for task in self.sends)

    def end_running(self):
        if self.running:
            self.placement.record_end(self.running, self.upstream, failed=False)
            self.exchange.tried.add(self.upstream)
            self.running = ""

    # What happens.

    @rule(refuses=st.booleans(), silent=st.sets(st.sampled_from(UPSTREAMS)))
    def change_upstreams(self, refuses, silent):
        self.refuses, self.silent = refuses, silent

    @rule(name=st.sampled_from(UPSTREAMS))
    def fail_elsewhere(self, name):
        """Another send of the request, such as a hedge, has failed."""
        if name != self.upstream:
            self.exchange.tried.add(name)

    @precondition(lambda self: self.exchange.planned is not None)
    @rule()
    def fail_where_planned(self):
        self.exchange.tried.add(self.exchange.planned.entry.upstream.id)

    @rule()
    def pass_time(self):
        self.open_gates()

    @rule(declines=st.booleans(), is_slow=st.booleans())
    def change_declines(self, declines, is_slow):
        self.declines = declines
        self.resender.decline_seconds = 0.0 if is_slow else 1.0

    @precondition(lambda self: self.running)
    @rule()
    def move(self):
        """The running send is to be given up, maybe for the second time."""
        entry = self.directory.entries_by_id[self.upstream]
        moving = self._move(entry, self.running, self.exchange.last_event)
        self.moves.append(self.loop.create_task(moving))
        self.spin()

    @precondition(lambda self: self.running and not self.is_moving)
    @rule()
    def plan_only(self):
        """Plan for a send that is given up without beginning elsewhere before."""
        entry = self.directory.entries_by_id[self.upstream]
        planning = self.planner.plan(self.exchange, entry)
        self.moves.append(self.loop.create_task(planning))
        self.spin()
        for _ in ("choice", "probe"):
            self.pass_time()

    @precondition(lambda self: self.running and not self.is_moving)
    @rule()
    def move_to_an_upstream_that_declines(self):
        self.change_declines(declines=True, is_slow=False)
        self.move()
        for _ in ("choice", "probe", "connection", "attempt"):
            self.pass_time()

    @precondition(lambda self: self.running and not self.is_moving)
    @rule()
    def move_to_an_upstream_that_is_slow(self):
        self.change_declines(declines=False, is_slow=True)
        self.move()
        for _ in ("choice", "probe", "connection"):
            self.pass_time()

    @precondition(lambda self: self.running and not self.is_sending)
    @rule()
    def deliver_event(self):
        """The running send brings an event."""
        self.exchange.last_event += "e"

    @precondition(lambda self: self.running and not self.is_sending)
    @rule()
    def break_off(self):
        """The running send ends by itself; the request goes on."""
        self.end_running()
        self.request_send()

    @precondition(lambda self: self.exchange.planned and not self.is_sending)
    @rule()
    def break_off_as_the_planned_upstream_fails(self):
        self.fail_where_planned()
        self.break_off()

    @precondition(lambda self: self.exchange.begun and not self.is_sending)
    @rule()
    def break_off_after_an_event(self):
        """The running send has brought an event since the next one has begun."""
        self.deliver_event()
        self.break_off()

    @precondition(lambda self: not self.is_sending)
    @rule()
    def hear(self):
        """The upstream goes on: what was planned is not needed."""
        if self.exchange.planning is None and not self.is_moving:
            self.resender.release(self.exchange)

    @precondition(lambda self: self.is_sending)
    @rule(steps=st.integers(0, 4))
    def end_request_as_an_answer_arrives(self, steps):
        for passed in self.gates:
            if not passed.done():
                passed.set_result(None)
        self.loop.run_until_complete(self._cancel_sends(steps))
        self.spin()
        self.resender.end(self.exchange)

    @precondition(lambda self: self.is_moving)
    @rule()
    def cancel_moves(self):
        for task in self.moves:
            task.cancel()
        self.spin()

    @invariant()
    def a_plan_holds_one_place(self):
        if not hasattr(self, "placement"):
            return
        assert len(self.placement.upstream_by_run) <= 2, "more than two places"

    def teardown(self):
        if not hasattr(self, "placement"):
            return
        for task in self.sends:
            task.cancel()
        self.spin()
        self.end_running()
        self.resender.end(self.exchange)
        for _ in range(8):
            self.open_gates()
        tasks = [*self.sends, *self.moves]
        for task in tasks:
            if not task.done():
                task.cancel()
        self.spin()
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                error = task.exception()
                if not isinstance(error, Refusal):
                    raise error
        left = dict(self.placement.upstream_by_run)
        self.loop.close()
        assert not left, f"places left: {left}"
