"""Stateful fuzzing of one router and one upstream that asks for backoff and leaves."""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lynxchute.upstreams.cold_admission import ColdLimits
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.statement import NO_BACKPRESSURE, DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream
from tests.support import unlimited_rates

ENGINE = Upstream("e", "pool", "127.0.0.1:1", "a", started_ms=1, keeps_id=True)


class WordsMachine(RuleBasedStateMachine):
    """Check that nothing is sent during a backoff or to a leaving process."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.started_ms = 1
        self.backoff_until = 0.0
        self.is_leaving = False
        self.violations = []
        self.directory = Directory()
        self.directory.put(ENGINE, self.now)
        self.gate = SendGate(
            Evacuations(), lambda name: ColdLimits(), unlimited_rates()
        )

    @property
    def entry(self):
        return self.directory.entries_by_id["e"]

    @rule(seconds=st.sampled_from((0.0, 0.1, 0.4, 1.0, 5.0)))
    def advance(self, seconds):
        self.now += seconds

    @rule(
        backoff=st.sampled_from((0.0, 0.0, 0.3, 2.0)),
        # Rare, since a leaving upstream receives nothing and its backoff has no further
        # effect.
        is_leaving=st.sampled_from((False,) * 7 + (True,)),
        asked=st.sampled_from((0.0, 0.5, 3.0)),
    )
    def answer(self, backoff, is_leaving, asked):
        """Deliver an answer to a request that was sent a while ago."""
        statement = DeclaredBackpressure(backoff=backoff, is_leaving=is_leaving)
        self.directory.record_declaration(
            self.entry, statement, asked_at=self.now - asked, now=self.now
        )
        self.backoff_until = max(self.backoff_until, self.now + backoff)
        self.is_leaving = self.is_leaving or is_leaving

    @rule(
        backoffs=st.lists(st.sampled_from((0.0, 0.3, 2.0)), min_size=1, max_size=3),
        then=st.sampled_from((0.1, 0.4, 1.9, 2.1)),
    )
    def refuse_several(self, backoffs, then):
        """Refuse several requests at once, and send one more a little later."""
        for backoff in backoffs:
            self.answer(backoff, False, 0.1)
        self.advance(then)
        self.send()

    @rule()
    def report(self):
        self.directory.record_probe_answer(self.entry, NO_BACKPRESSURE, self.now)

    @rule(slots=st.integers(1, 3))
    def put_entry(self, slots):
        """Deliver an entry of the store that reports the upstream as ready."""
        entry = attrs.evolve(ENGINE, started_ms=self.started_ms, slots=slots)
        self.directory.put(entry, self.now)

    @rule()
    def remove_and_restore_entry(self):
        """Remove the upstream's entry, send a request and restore the entry."""
        self.directory.remove("e", self.now, expires_at=self.now + 9.0)
        self.send()
        self.put_entry(1)

    @rule(is_reported_by_entry=st.booleans())
    def restart(self, is_reported_by_entry):
        """Replace the upstream's process with one that has declared nothing yet."""
        self.started_ms += 1
        if is_reported_by_entry:
            self.put_entry(1)
        else:
            self.directory.record_start(self.entry, self.started_ms, self.now)
        self.backoff_until, self.is_leaving = 0.0, False

    @rule()
    def send(self):
        """Send a request that was placed before anything was declared."""
        withheld = self.gate.withheld_reason(
            self.entry, cold_permit_until=0.0, now=self.now
        )
        is_forbidden = self.is_leaving or self.now < self.backoff_until
        if withheld is None and is_forbidden:
            self.violations.append(self.now)
        if withheld is not None and not is_forbidden:
            self.violations.append(-self.now)

    @invariant()
    def sends_match_the_declared_state(self):
        assert not self.violations, (
            f"sent although forbidden or withheld without a reason: {self.violations}"
        )
