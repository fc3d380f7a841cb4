"""One router, one upstream, and what the upstream says of backoff and of leaving."""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lynxchute.upstreams.cold_admission import ColdLimits
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.statement import NOTHING_STATED, Statement
from lynxchute.upstreams.upstream import Upstream
from tests.support import no_limits_kept

ENGINE = Upstream("e", "pool", "127.0.0.1:1", "a", started_ms=1, keeps_id=True)


class WordsMachine(RuleBasedStateMachine):
    """Check that nothing is sent within a backoff, or to a process that leaves."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.started_ms = 1
        self.backoff_until = 0.0
        self.is_leaving = False
        self.wrong = []
        self.directory = Directory()
        self.directory.put(ENGINE, self.now)
        self.gate = SendGate(Evacuations(), lambda name: ColdLimits(), no_limits_kept())

    @property
    def entry(self):
        return self.directory.entries_by_id["e"]

    @rule(seconds=st.sampled_from((0.0, 0.1, 0.4, 1.0, 5.0)))
    def advance(self, seconds):
        self.now += seconds

    @rule(
        backoff=st.sampled_from((0.0, 0.0, 0.3, 2.0)),
        # Whatever leaves gets nothing, so that its backoff shows no more.
        is_leaving=st.sampled_from((False,) * 7 + (True,)),
        asked=st.sampled_from((0.0, 0.5, 3.0)),
    )
    def answer(self, backoff, is_leaving, asked):
        """Bring an answer to a request that was sent a while ago."""
        statement = Statement(backoff=backoff, is_leaving=is_leaving)
        self.directory.record_statement(
            self.entry, statement, asked_at=self.now - asked, now=self.now
        )
        self.backoff_until = max(self.backoff_until, self.now + backoff)
        self.is_leaving = self.is_leaving or is_leaving

    @rule(
        backoffs=st.lists(st.sampled_from((0.0, 0.3, 2.0)), min_size=1, max_size=3),
        then=st.sampled_from((0.1, 0.4, 1.9, 2.1)),
    )
    def turn_away(self, backoffs, then):
        """Turn several requests away at once, and have one more sent a little later."""
        for backoff in backoffs:
            self.answer(backoff, False, 0.1)
        self.advance(then)
        self.send()

    @rule()
    def report(self):
        self.directory.record_probe_answer(self.entry, NOTHING_STATED, self.now)

    @rule(slots=st.integers(1, 3))
    def put_entry(self, slots):
        """Bring an entry of the store that says ready."""
        entry = attrs.evolve(ENGINE, started_ms=self.started_ms, slots=slots)
        self.directory.put(entry, self.now)

    @rule()
    def lapse(self):
        """Have the entry vanish and come back."""
        self.directory.remove("e", self.now, expires_at=self.now + 9.0)
        self.send()
        self.put_entry(1)

    @rule(is_told_by_entry=st.booleans())
    def start_again(self, is_told_by_entry):
        """Let another process have the upstream's id; it has said nothing yet."""
        self.started_ms += 1
        if is_told_by_entry:
            self.put_entry(1)
        else:
            self.directory.record_start(self.entry, self.started_ms, self.now)
        self.backoff_until, self.is_leaving = 0.0, False

    @rule()
    def send(self):
        """Send a request that was placed before anything was said."""
        withheld = self.gate.withheld_reason(self.entry, permit_until=0.0, now=self.now)
        must_not = self.is_leaving or self.now < self.backoff_until
        if withheld is None and must_not:
            self.wrong.append(self.now)
        if withheld is not None and not must_not:
            self.wrong.append(-self.now)

    @invariant()
    def nothing_unwanted_is_sent_and_nothing_wanted_held_back(self):
        assert not self.wrong, f"unwanted or held back for nothing: {self.wrong}"
