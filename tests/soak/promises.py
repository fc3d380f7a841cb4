"""What a soak checks, from what callers and upstreams have seen."""

import asyncio
import collections

from tests.soak.fleet import AMPLE, EVENTS
from tests.soak.traffic import GENERATIONS, REPEATABLE

TOKENS_PER_EVENT = 3
NOT_RUN = frozenset({408, 421, 429, 503})
# Final answers later than this many seconds after the caller's deadline are
# held; generous, since the machine may be busy.
LATE = 2.0
# A request that had used this share of its time is not cut by planned work but
# ended by its own deadline, which the pages leave out as well.
DEADLINE_SHARE = 0.9
# Each kind of break is told in full this many times.
TOLD = 5


class Checker:
    """Collect broken promises while a soak runs, and at its end."""

    def __init__(self, fleet, callers):
        self.broken = collections.defaultdict(list)
        self.planned_only = False
        self.disturbed_vms = set()
        self._fleet = fleet
        self._records = callers.records
        self._checked = set()

    async def watch(self):
        while True:
            await asyncio.sleep(0.5)
            self.look()

    def look(self):
        """Check the requests that have ended since, and all spending."""
        runs = self._runs_by_id()
        for record in self._records:
            if not record.ended_at or record.request_id in self._checked:
                continue
            self._checked.add(record.request_id)
            self._check_answer(record)
            self._check_time(record)
            if self.planned_only:
                self._check_planned(record, runs)
        self._check_runs(runs)
        self._check_spending(runs)

    def note(self, promise, what):
        if what not in self.broken[promise]:
            self.broken[promise].append(what)

    def summary(self):
        """Return how often each promise was broken."""
        return {name: len(found) for name, found in self.broken.items() if found}

    def details(self):
        for name, found in self.broken.items():
            for what in found[:TOLD]:
                yield f"{name}: {what}"

    def _runs_by_id(self):
        runs = collections.defaultdict(list)
        for run in self._fleet.runs():
            runs[run.request_id].append(run)
        return runs

    def _check_answer(self, record):
        if record.status == 402 and record.account == AMPLE:
            self.note("false refusal", f"{record.request_id} got 402")
        if record.status in (401, 403, 404):
            self.note("denied", f"{record.request_id} got {record.status}")
        if record.status != 200:
            return
        if record.echoed_id != record.request_id:
            self.note("own answer", f"{record.request_id} got {record.echoed_id}")
        if record.kind not in GENERATIONS:
            expected = b"answer to " + record.request_id.encode()
            if record.is_whole and record.body != expected:
                self.note("own answer", f"{record.request_id}: {record.body[:60]!r}")
            return
        numbers = events_of(record)
        if numbers != list(range(1, len(numbers) + 1)):
            self.note("events in order", f"{record.request_id}: {numbers}")
        if record.is_whole and len(numbers) != EVENTS:
            self.note("whole answer", f"{record.request_id}: {len(numbers)} events")

    def _check_time(self, record):
        late = record.ended_at - record.sent_at - record.deadline
        if late > LATE and record.vm not in self.disturbed_vms:
            what = f"{record.request_id} at {record.vm}: {late:.1f} s late"
            self.note("final answer in time", what)

    def _check_planned(self, record, runs):
        if record.left or record.is_whole or not runs[record.request_id]:
            return
        taken = record.ended_at - record.sent_at
        if taken >= DEADLINE_SHARE * record.deadline:
            return
        self.note("planned work cuts nothing", f"{record.request_id} at {record.vm}")

    def _check_runs(self, runs):
        for record in self._records:
            own = runs.get(record.request_id, ())
            if record.kind not in REPEATABLE and len(own) > 1:
                self.note("at most once", f"{record.request_id}: {len(own)} runs")
            if record.status in NOT_RUN and own:
                what = f"{record.request_id} got {record.status} and ran"
                self.note("not run is true", what)

    def _check_spending(self, runs):
        spent = collections.Counter()
        for record in self._records:
            if record.kind in GENERATIONS and runs.get(record.request_id):
                spent[record.account] += record.prompt_tokens
                spent[record.account] += TOKENS_PER_EVENT * len(events_of(record))
        for account, tokens in spent.items():
            paid = self._fleet.prepaid_by_account[account]
            if tokens > paid:
                self.note("no overspend", f"{account}: {tokens} of {paid}")


def events_of(record):
    """Return the ids of the whole events that a caller has got."""
    found = []
    for event in record.body.decode(errors="replace").split("\n\n")[:-1]:
        first, _, data = event.partition("\n")
        number = first.removeprefix("id: ")
        own = data == f"data: {record.request_id}.{number}"
        found.append(int(number) if own and number.isdigit() else -1)
    return found
