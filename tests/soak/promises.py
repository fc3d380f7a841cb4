"""Check the guarantees of the fleet against records of callers and upstreams."""

import asyncio
import collections

from lynxchute.standins.budget_rules import BudgetRules, Sent
from tests.soak.fleet import AMPLE_ACCOUNT, EVENTS_PER_STREAM
from tests.soak.traffic import GENERATION_KINDS, IDEMPOTENT_KINDS

TOKENS_PER_EVENT = 3
# Field of each event that names the software version of its engine.
VERSION_FIELD = "software: "
VERSION_GUARANTEE = "streams are of one version"
SILENCE_GUARANTEE = "silence ends no answer"
GENERATION_SERVICE, PLAIN_SERVICE = "pool", "app"
BUDGET_GUARANTEE = "budgets are kept"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Seconds after the caller's deadline by which the final answer must have arrived;
# generous, since the machine may be busy.
MAX_LATE_SECONDS = 2.0
# Seconds within which a caller notices that a router or an upstream has ended.
NOTICE_SECONDS = 0.1
# Seconds after the end of a request within which its router has logged it.
LOG_SECONDS = 0.5
# A request that ends after this share of its deadline is assumed to have ended by the
# deadline and not by planned work. The documented guarantee excludes these as well.
DEADLINE_SHARE = 0.9
# Maximum number of violations of each guarantee that are reported in detail.
MAX_DETAILS = 5


class Checker:
    """Collect violations of guarantees during and after a run.

    Attributes
    ----------
    violations
        Descriptions of the violations by guarantee.
    planned_only
        Whether the run has planned work only, which must not interrupt requests.
    links_are_sound
        Whether no answer may end early unless its router or its upstream has ended.
    disturbed_vms
        VMs that were killed, paused or disconnected; their answers may be late.
    """

    def __init__(self, fleet, callers):
        self.violations = collections.defaultdict(list)
        self.planned_only = False
        self.links_are_sound = False
        self.disturbed_vms = set()
        self._fleet = fleet
        self._records = callers.records
        self._checked_ids = set()
        # Ended requests whose router may not have logged their end yet.
        self._unlogged = []
        # Late answers whose router may not have logged its start yet.
        self._late = []

    async def watch(self):
        """Check finished requests every 0.5 s."""
        while True:
            await asyncio.sleep(0.5)
            logged_until = asyncio.get_running_loop().time() - LOG_SECONDS
            self.check_finished(logged_until)

    def check_finished(self, logged_until=float("inf")):
        """Check the requests that ended since the last call, and all spending.

        Parameters
        ----------
        logged_until
            Time until which routers have logged the ends of requests; whether later
            ends were early, or late for a router's start, is checked by a later call.
        """
        runs = self._runs_by_id()
        for record in self._records:
            if not record.ended_at or record.request_id in self._checked_ids:
                continue
            self._checked_ids.add(record.request_id)
            self._check_answer(record)
            self._unlogged.append(record)
            # A disturbance after the answer did not delay it.
            if self._is_late(record):
                self._late.append(record)
        self._check_early_ends(runs, logged_until)
        self._check_late_ends(logged_until)
        self._check_runs(runs)
        self._check_spending(runs)

    def check_budgets(self):
        """Check retries, attempts, deadlines and backoff as upstreams saw them."""
        received_by_service = collections.defaultdict(list)
        ends_by_id = {}
        for upstream in self._fleet.upstreams:
            standin = upstream.standin
            received_by_service[standin.service] += standin.received
            ends_by_id[standin.id] = standin.ends
        rules = BudgetRules(
            self._fleet.bounds,
            received_by_service,
            {record.request_id: _sent(record) for record in self._records},
            is_disturbed=lambda vm, time: vm in self.disturbed_vms,
            has_ended=lambda upstream_id, time: bool(ends_by_id.get(upstream_id)),
        )
        for detail in rules.violations():
            self.record_violation(BUDGET_GUARANTEE, detail)

    def record_violation(self, guarantee, detail):
        """Record a violation, unless the same detail is recorded already."""
        if detail not in self.violations[guarantee]:
            self.violations[guarantee].append(detail)

    def violation_counts(self):
        """Return the number of violations by guarantee."""
        return {name: len(found) for name, found in self.violations.items() if found}

    def violation_details(self, limit=MAX_DETAILS):
        for name, found in self.violations.items():
            for detail in found[:limit]:
                yield f"{name}: {detail}"

    def _runs_by_id(self):
        runs = collections.defaultdict(list)
        for run in self._fleet.runs():
            runs[run.request_id].append(run)
        return runs

    def _check_answer(self, record):
        if record.status == 402 and record.account == AMPLE_ACCOUNT:
            self.record_violation("false refusal", f"{record.request_id} got 402")
        if record.status in (401, 403, 404):
            self.record_violation("denied", f"{record.request_id} got {record.status}")
        if record.status != 200:
            return
        if record.echoed_id != record.request_id:
            self.record_violation(
                "own answer", f"{record.request_id} got {record.echoed_id}"
            )
        if record.kind not in GENERATION_KINDS:
            expected = b"answer to " + record.request_id.encode()
            if record.is_complete and record.body != expected:
                self.record_violation(
                    "own answer", f"{record.request_id}: {record.body[:60]!r}"
                )
            return
        numbers = event_numbers(record)
        if numbers != list(range(1, len(numbers) + 1)):
            self.record_violation("events in order", f"{record.request_id}: {numbers}")
        if len(versions := software_versions(record.body)) > 1:
            self.record_violation(VERSION_GUARANTEE, f"{record.request_id}: {versions}")
        if record.is_complete and len(numbers) != EVENTS_PER_STREAM:
            self.record_violation(
                "whole answer", f"{record.request_id}: {len(numbers)} events"
            )

    def _is_late(self, record):
        """Return whether an answer was late, whatever its router's start allows."""
        if record.vm in self.disturbed_vms:
            return False
        return _late_seconds(record) > MAX_LATE_SECONDS

    def _check_late_ends(self, logged_until):
        """Check the late answers until a time against the starts of their routers."""
        ended, self._late = self._late, []
        for record in ended:
            if record.ended_at > logged_until:
                self._late.append(record)
                continue
            late_seconds = _late_seconds(record)
            if late_seconds <= MAX_LATE_SECONDS + self._fleet.start_wait(record):
                continue
            detail = f"{record.request_id} at {record.vm}: {late_seconds:.1f} s late"
            self.record_violation("final answer in time", detail)

    def _check_early_ends(self, runs, logged_until):
        """Check that the requests that ended until a time did not end early."""
        ended, self._unlogged = self._unlogged, []
        for record in ended:
            if record.ended_at > logged_until:
                self._unlogged.append(record)
                continue
            if self.planned_only:
                self._check_planned(record, runs)
            if self.links_are_sound:
                self._check_whole(record, runs)

    def _check_planned(self, record, runs):
        """Check that planned work did not interrupt a request."""
        if record.has_disconnected or record.is_complete or not runs[record.request_id]:
            return
        duration = record.ended_at - record.sent_at
        if duration >= DEADLINE_SHARE * record.deadline:
            return
        if self._fleet.was_cut_by_stop(record):
            return
        self.record_violation(
            "planned work cuts nothing", f"{record.request_id} at {record.vm}"
        )

    def _check_whole(self, record, runs):
        """Check that an answer did not end early beside silent upstreams."""
        has_answer = record.is_complete and record.status < 500
        if record.has_disconnected or has_answer or not runs[record.request_id]:
            return
        duration = record.ended_at - record.sent_at
        if duration >= DEADLINE_SHARE * record.deadline:
            return
        until = record.ended_at + NOTICE_SECONDS
        if self._fleet.has_lost_part(
            record.request_id, record.vm, record.sent_at, until
        ):
            return
        if self._fleet.was_cut_by_stop(record):
            return
        detail = (
            f"{record.request_id} at {record.vm}: {record.kind}, {record.status}, "
            f"{len(event_numbers(record))} events, after {duration:.2f} s"
        )
        self.record_violation(SILENCE_GUARANTEE, detail)

    def _check_runs(self, runs):
        """Check that no request ran twice, or ran although its answer says not run."""
        for record in self._records:
            own_runs = runs.get(record.request_id, ())
            if record.kind not in IDEMPOTENT_KINDS and len(own_runs) > 1:
                self.record_violation(
                    "at most once", f"{record.request_id}: {len(own_runs)} runs"
                )
            if record.status in NOT_RUN_STATUSES and own_runs:
                detail = f"{record.request_id} got {record.status} and ran"
                self.record_violation("not run is true", detail)

    def _check_spending(self, runs):
        """Check that no account used more tokens than were prepaid."""
        spent = collections.Counter()
        for record in self._records:
            if record.kind in GENERATION_KINDS and runs.get(record.request_id):
                spent[record.account] += record.prompt_tokens
                spent[record.account] += TOKENS_PER_EVENT * len(event_numbers(record))
        for account, tokens in spent.items():
            paid = self._fleet.prepaid_by_account[account]
            if tokens > paid:
                self.record_violation("no overspend", f"{account}: {tokens} of {paid}")


def _sent(record):
    """Return a record as the rules of budgets count it."""
    is_generation = record.kind in GENERATION_KINDS
    return Sent(
        record.request_id,
        GENERATION_SERVICE if is_generation else PLAIN_SERVICE,
        record.vm,
        record.sent_at,
        record.deadline,
        max_attempts=2 if record.kind in IDEMPOTENT_KINDS else 1,
    )


def _late_seconds(record):
    """Return for how many seconds after its deadline a request ended."""
    return record.ended_at - record.sent_at - record.deadline


def software_versions(body):
    """Return the software versions of the engines that made the complete events."""
    lines = body.decode(errors="replace").rpartition("\n\n")[0].split("\n")
    prefix = VERSION_FIELD
    return {line.removeprefix(prefix) for line in lines if line.startswith(prefix)}


def event_numbers(record):
    """Return the ids of the complete events of an answer.

    A malformed event, or one of another request, counts as -1.
    """
    numbers = []
    for event in record.body.decode(errors="replace").split("\n\n")[:-1]:
        lines = event.split("\n")
        if lines[-1].startswith(VERSION_FIELD):
            lines.pop()
        number = lines[0].removeprefix("id: ")
        is_own = lines[1:] == [f"data: {record.request_id}.{number}"]
        numbers.append(int(number) if is_own and number.isdigit() else -1)
    return numbers
