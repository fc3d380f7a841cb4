"""Judge upstream crashes for the fleet, on the router elected to do so."""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

from lynxchute.application import Component, PeriodicTask, Tasks
from lynxchute.containment.news import QuarantineBroadcast
from lynxchute.containment.part_inquiry import PartInquirer
from lynxchute.fleet.members import Members
from lynxchute.fleet.quarantine_messages import CrashEvidence, PartsServed
from lynxchute.fleet.registry import TABLE
from lynxchute.quarantine import (
    CrashAttribution,
    Finding,
    PartAttribution,
    PartGroup,
    QuarantineEntry,
    QuarantineRecord,
    Verdict,
)
from lynxchute.store import (
    Committed,
    Expected,
    OutcomeUnknown,
    Put,
    RowId,
    Store,
    StoreUnavailable,
    Write,
)
from lynxchute.store.era import era_of
from lynxchute.store.feed import REWRITE_SECONDS
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import Metrics, log_event

# The row is part of a table that every router follows already, so the row needs no feed
# of its own.
ROW_KEY = "quarantine"
QUARANTINE_ROW_ID = RowId(TABLE, ROW_KEY)
JUDGE_KEY = "quarantine"
# Seconds between polls while crashes are being judged. This is short because a retry of
# the request may already be on its way to the next upstream; reports from routers take
# half as long.
POLL_SECONDS = 0.1
# Poll intervals while messages only have to be sent again, and while idle.
RESEND_SECONDS = 0.5
IDLE_SECONDS = 5.0
# Seconds until the row is written again after the store was unavailable.
WRITE_RETRY_SECONDS = 0.5
# Attempts to write the row in one poll when another router has written it meanwhile.
WRITE_ATTEMPTS = 3
# Maximum number of cleared requests that are remembered, to recognise them in a copy
# that the store has come back from.
MAX_CLEARED = 500
# Suspected prompt parts in one log line.
MAX_LOGGED_PARTS = 16


class Judge:
    """Decide which requests to quarantine, and notify all routers.

    One router does this for the fleet, elected by rendezvous hashing, as only a single
    judge sees all runs that were open during a crash. Its findings are stored in a row,
    so that a successor or a restarted router knows them. They are also sent to all
    routers, which can reach one another even while the store is unavailable.

    When the store comes back from a copy, the judge writes the row again. Until it had
    time to do so, requests that the row lacks count as lost, not as released, and those
    that were cleared since the copy stay cleared.

    Parameters
    ----------
    members
        The routers of the fleet.
    store
        The store that holds the row.
    broadcast
        Notifies the other routers.
    inquirer
        Asks routers which prompt parts they have served.
    metrics
        Counts the findings.
    clock
        Seconds on the steady clock.
    tasks
        Runs what must not delay the judging.

    Attributes
    ----------
    attribution
        The crashes and the requests blamed for them.
    restore_listeners
        Called when the store has come back from a copy.
    """

    def __init__(
        self,
        members: Members,
        store: Store,
        broadcast: QuarantineBroadcast,
        inquirer: PartInquirer,
        metrics: Metrics,
        clock: Callable[[], float],
        tasks: Tasks,
    ) -> None:
        self.attribution = CrashAttribution()
        self.restore_listeners: list[Callable[[], None]] = []
        self._loop = PeriodicTask("quarantine", self._poll, IDLE_SECONDS)
        self._tasks = tasks
        self._timer: asyncio.TimerHandle | None = None
        self._send_task: asyncio.Task[None] | None = None
        self._members = members
        self._store = store
        self._broadcast = broadcast
        self._inquirer = inquirer
        self._inquiry_task: asyncio.Task[None] | None = None
        self._asked_at_crash = 0
        self._metrics = metrics
        self._clock = clock
        self._version = ABSENT
        self._era: int | None = None
        self._restored_until = float("-inf")
        self._stored_contents: frozenset[str] = frozenset()
        self._cleared_at_ms_by_content: OrderedDict[str, int] = OrderedDict()
        self._is_write_failing = False
        self._is_writing = False
        self._next_write_at = 0.0

    @property
    def components(self) -> list[Component]:
        """Return the background components."""
        return [self._loop, self._tasks]

    def now_ms(self) -> int:
        """Return a lower bound of the store's clock, in milliseconds."""
        return self._store.clock.earliest_ms(self._clock())

    def handle_evidence(self, evidence: CrashEvidence) -> None:
        """Handle reports on runs, from this router or another one."""
        now_ms = self.now_ms()
        for run in evidence.broken:
            self.attribution.record_run(run, now_ms)
        for quarantined in evidence.quarantined:
            if self.attribution.adopt_quarantine(quarantined):
                # The previous judge has died, and restarted routers lack the entry.
                self._broadcast.publish(quarantined=(quarantined,))
        for content in evidence.survived:
            was_quarantined = content in self.attribution.quarantined_by_content
            if not self.attribution.clear(content):
                continue
            self.record_cleared((content,))
            log_event("request cleared", content=content, quarantined=was_quarantined)
            if was_quarantined:
                self._broadcast.publish(cleared=(content,))
        for parts_served in evidence.parts_served:
            self._record_parts_served(parts_served)
        self._loop.wake()

    @property
    def is_restoring(self) -> bool:
        """Return whether the row may lack what was stored before a restore."""
        return self._clock() < self._restored_until

    def observe_era(self, era: int) -> None:
        """Record the era of the store; a higher one means that it has come back."""
        previous, self._era = self._era, max(era, self._era or 0)
        if previous is None or era <= previous:
            return
        self._restored_until = self._clock() + REWRITE_SECONDS
        self._keep_stored()
        if self._version != ABSENT and self._is_judge():
            self.attribution.has_unsaved_changes = True
            self._loop.wake()
        for listener in self.restore_listeners:
            listener()

    def record_cleared(self, contents: Iterable[str]) -> None:
        """Record that requests were cleared of blame or released."""
        now_ms = self.now_ms()
        for content in contents:
            self._cleared_at_ms_by_content[content] = now_ms
            self._cleared_at_ms_by_content.move_to_end(content)
        while len(self._cleared_at_ms_by_content) > MAX_CLEARED:
            self._cleared_at_ms_by_content.popitem(last=False)

    def without_cleared(self, record: QuarantineRecord) -> QuarantineRecord:
        """Return a record without the entries that were cleared since."""
        cleared_at_ms = self._cleared_at_ms_by_content
        return QuarantineRecord(
            tuple(
                item
                for item in record.quarantined
                if item.since_ms > cleared_at_ms.get(item.content, -1)
            ),
            tuple(
                suspect
                for suspect in record.suspects
                if suspect.since_ms > cleared_at_ms.get(suspect.content, -1)
            ),
        )

    def merge_record(self, record: QuarantineRecord, version: int) -> None:
        """Merge the record in the store, unless a newer version was merged before."""
        if version > self._version:
            self._version = version
            self._apply_record(record)

    def settle(self, record: QuarantineRecord, version: int) -> bool:
        """Drop what the row lacks, now that the judge had time to write it again.

        Returns
        -------
        bool
            False if the row is older than the last one that this router has written,
            or if this router has not written its state yet.
        """
        if self.is_restoring or version < self._version:
            return False
        if self.attribution.has_unsaved_changes or self._is_writing:
            return False
        self.attribution.record_written(self.attribution.record())
        self._apply_record(record)
        return True

    def _is_judge(self) -> bool:
        return self._members.owner_of_key(JUDGE_KEY) == self._members.own.vm

    def _keep_stored(self) -> None:
        """Keep entries that the next row lacks; by default, they count as released."""
        self._stored_contents = frozenset()
        self.attribution.record_written(QuarantineRecord())

    def _apply_record(self, record: QuarantineRecord) -> None:
        if self.is_restoring:
            self._keep_stored()
            record = self.without_cleared(record)
        else:
            self.record_cleared(self._stored_contents - record.contents)
        self._stored_contents = record.contents
        self.attribution.merge_record(record)
        # Stop sending messages about requests that were released.
        self._broadcast.prune(self.attribution.entries_by_id.keys())

    async def _poll(self) -> None:
        self._judge_and_persist()
        if self._send_task is None or self._send_task.done():
            # Runs in the background, as a message to a dead router takes long to fail.
            self._send_task = self._tasks.spawn(self._broadcast.send_pending())
        interval = self._poll_interval()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(interval, self._loop.wake)

    def _poll_interval(self) -> float:
        if (
            self.attribution.has_pending_crashes()
            or self.attribution.has_unsaved_changes
        ):
            return POLL_SECONDS
        return RESEND_SECONDS if self._broadcast.has_undelivered else IDLE_SECONDS

    def _judge_and_persist(self) -> None:
        now_ms = self.now_ms()
        for finding in self.attribution.judge(now_ms):
            self._report_finding(finding)
        self._publish_parts(self.attribution.parts.take_renewed())
        self._start_inquiry(now_ms)
        expired = self.attribution.expire(now_ms)
        if expired and self._is_judge():
            self.attribution.has_unsaved_changes = True
        is_due = self._clock() >= self._next_write_at and not self._is_writing
        if self.attribution.has_unsaved_changes and is_due:
            self._is_writing = True
            self._tasks.spawn(self._write_row())

    def _start_inquiry(self, now_ms: int) -> None:
        """Ask routers about suspected prompt parts after each crash."""
        parts = self.attribution.parts
        is_asking = self._inquiry_task is not None and not self._inquiry_task.done()
        if is_asking or parts.crashes == self._asked_at_crash:
            return
        self._asked_at_crash = parts.crashes
        # The others may remember, which the inquiry shows.
        parts.lacks_history = self._inquirer.may_have_lost_state
        groups = parts.suspected(now_ms)
        if groups:
            self._inquiry_task = self._tasks.spawn(self._verify_parts(groups))

    async def _verify_parts(self, groups: list[PartGroup]) -> None:
        """Ask which suspected parts were served; quarantine those that are proven."""
        parts = self.attribution.parts
        runs_by_scope: Counter[str] = Counter()
        report = await self._inquirer.ask(groups)
        parts.lacks_history = report.may_have_lost_state
        for served in report.served:
            runs_by_scope[served.scope] += served.runs
            self._record_parts_served(served)
        parts.record_served_runs(runs_by_scope)
        now_ms = self.now_ms()
        self._publish_parts(parts.quarantine_proven(now_ms))
        self._log_unproven(parts)
        suspected = parts.suspected(now_ms)
        if suspected:
            for group in suspected:
                log_event(
                    "prompt parts suspected",
                    scope=group.scope,
                    version=group.version,
                    parts=group.parts[:MAX_LOGGED_PARTS],
                    count=len(group.parts),
                )
            self._broadcast.publish(suspected=tuple(suspected))
        self._loop.wake()

    def _log_unproven(self, parts: PartAttribution) -> None:
        for unproven in parts.unproven:
            log_event(
                "prompt part not blamed",
                scope=unproven.scope,
                part=unproven.part,
                crashes=unproven.crashes,
                needed=unproven.needed_crashes,
                chance=float(f"{unproven.chance:.3g}"),
                max_chance=unproven.max_chance,
                served_runs=unproven.served_runs,
                lacks_history=parts.lacks_history,
            )

    def _record_parts_served(self, served: PartsServed) -> None:
        removed, added = self.attribution.parts.record_served(
            served.scope, served.version, served.at_ms, self.now_ms()
        )
        if not removed:
            return
        self.attribution.has_unsaved_changes = True
        self.record_cleared(removed)
        for entry_id in removed:
            log_event(
                "prompt parts cleared", entry=entry_id, served=sorted(served.at_ms)
            )
        self._broadcast.publish(quarantined=tuple(added), cleared=tuple(removed))

    def _publish_parts(self, entries: list[QuarantineEntry]) -> None:
        if not entries:
            return
        self.attribution.has_unsaved_changes = True
        for entry in entries:
            self._metrics.upstream_ends_blamed.inc("parts quarantined")
            log_event(
                "prompt parts blamed",
                entry=entry.content,
                parts=entry.parts,
                scope=entry.scope,
                version=entry.version,
                accounts=entry.accounts,
                processes=self.attribution.parts.crashed_processes(entry),
                since_ms=entry.since_ms,
                until_ms=entry.until_ms,
                times=entry.times,
            )
        self._broadcast.publish(quarantined=tuple(entries))

    def _report_finding(self, finding: Finding) -> None:
        self._metrics.upstream_ends_blamed.inc(finding.verdict.value)
        quarantined = self.attribution.quarantined_by_content.get(finding.content)
        log_event(
            "upstream crash attributed",
            content=finding.content,
            process=finding.process,
            verdict=finding.verdict.value,
            company=finding.company,
            ends=finding.ends,
            until_ms=quarantined.until_ms if quarantined is not None else 0,
        )
        if finding.verdict is Verdict.QUARANTINED and quarantined is not None:
            self._broadcast.publish(quarantined=(quarantined,))

    async def _write_row(self) -> None:
        """Write unsaved changes; if the store is unavailable, a later poll retries.

        It runs in the background so that routers are notified meanwhile: a call to an
        unavailable store takes seconds.
        """
        try:
            for _ in range(WRITE_ATTEMPTS):
                if not self.attribution.has_unsaved_changes:
                    return
                self.attribution.has_unsaved_changes = False
                if await self._try_write(self.attribution.record()):
                    return
        finally:
            self._is_writing = False

    async def _try_write(self, record: QuarantineRecord) -> bool:
        """Write the row; return False if it should be tried again at once."""
        expected = Expected(QUARANTINE_ROW_ID, self._version)
        write = Write((expected,), (Put(QUARANTINE_ROW_ID, record.encode()),))
        try:
            outcome = await self._store.write(write)
        except (StoreUnavailable, OutcomeUnknown) as error:
            self.attribution.has_unsaved_changes = True
            self._next_write_at = self._clock() + WRITE_RETRY_SECONDS
            if not self._is_write_failing:
                log_event("quarantine row write failed", reason=str(error))
            self._is_write_failing = True
            return True
        self.observe_era(self._store.era.current)
        if isinstance(outcome, Committed):
            self._record_written(record, outcome.version)
            return True
        # Another router has judged as well: merge its findings and write again.
        self.attribution.has_unsaved_changes = True
        row = outcome.rows_by_id.get(QUARANTINE_ROW_ID)
        self._version = row.version if row is not None else ABSENT
        decoded = QuarantineRecord.decode(row.value) if row is not None else None
        if decoded is not None and decoded.is_ok():
            self._apply_record(decoded.ok)
        return False

    def _record_written(self, record: QuarantineRecord, version: int) -> None:
        self._version = version
        if era_of(version) == self._era:
            # The row has all that this router knows, so what is removed is released.
            self._restored_until = float("-inf")
        self._stored_contents = record.contents
        self.attribution.record_written(record)
        self._is_write_failing = False
        log_event(
            "quarantine row written",
            quarantined=len(record.quarantined),
            suspects=len(record.suspects),
            version=version,
        )
