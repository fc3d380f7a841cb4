"""Judge the ends of upstreams for the fleet, or have another router do so."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.application import Component, Loop, Tasks
from lynxchute.containment.news import QuarantineBroadcast
from lynxchute.fleet.members import Members
from lynxchute.fleet.quarantine_messages import RunEvidence
from lynxchute.fleet.registry import TABLE
from lynxchute.quarantine import CrashAttribution, Finding, QuarantineRecord, Verdict
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
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import Metrics, log_event

# The row stands in a table that every router follows anyway, so that it needs no feed
# of its own.
ROW_KEY = "quarantine"
QUARANTINE_ROW_ID = RowId(TABLE, ROW_KEY)
JUDGE_KEY = "quarantine"
# Seconds between two looks while ends are judged. A copy of the request is on its way
# to the next upstream meanwhile; the routers' reports themselves take half as long.
POLL_SECONDS = 0.1
# The same while routers are only to be told again, and while there is nothing to do.
RESEND_SECONDS = 0.5
IDLE_SECONDS = 5.0
# Seconds until the row is written again after the store did not take it.
WRITE_RETRY_SECONDS = 0.5
# Tries to write the row at one look, where others have written it.
WRITE_ATTEMPTS = 3


class Judge:
    """Decide which requests are kept from upstreams, and tell everyone.

    One router does it for the fleet, named by rendezvous hashing: it alone sees all
    runs that were open at an end. What it finds stands in a row of the store, so that
    whoever takes over, or starts again, knows it; and is told to all routers, which
    reach one another also while the store is away.

    Parameters
    ----------
    members
        The routers.
    store
        Where the row stands.
    news
        Tells the other routers.
    metrics
        Where findings are counted.
    clock
        Seconds on the steady clock.

    Attributes
    ----------
    suspicion
        What is known.
    """

    def __init__(
        self,
        members: Members,
        store: Store,
        broadcast: QuarantineBroadcast,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.attribution = CrashAttribution()
        self._loop = Loop("quarantine", self._poll, IDLE_SECONDS)
        self._tasks = Tasks()
        self._timer: asyncio.TimerHandle | None = None
        self._sending: asyncio.Task[None] | None = None
        self._members = members
        self._store = store
        self._broadcast = broadcast
        self._metrics = metrics
        self._clock = clock
        self._version = ABSENT
        self._is_write_failing = False
        self._is_writing = False
        self._next_write_at = 0.0

    @property
    def components(self) -> list[Component]:
        """Return what runs in the background."""
        return [self._loop, self._tasks]

    def now_ms(self) -> int:
        """Return a time that the store's clock has reached, in milliseconds."""
        return self._store.clock.earliest_ms(self._clock())

    def handle_evidence(self, evidence: RunEvidence) -> None:
        """Take what runs say, here or at another router."""
        now_ms = self.now_ms()
        for run in evidence.broken:
            self.attribution.record_run(run, now_ms)
        for quarantined in evidence.quarantined:
            if self.attribution.adopt_quarantine(quarantined):
                # The judge before has died, and who has started since knows nothing.
                self._broadcast.publish(quarantined=(quarantined,))
        for content in evidence.survived:
            was_quarantined = content in self.attribution.quarantined_by_content
            if not self.attribution.clear(content):
                continue
            log_event("request cleared", content=content, quarantined=was_quarantined)
            if was_quarantined:
                self._broadcast.publish(cleared=(content,))
        self._loop.wake()

    def merge_record(self, record: QuarantineRecord, version: int) -> None:
        """Take what stands in the store."""
        if version > self._version:
            self._version = version
            self._merge_record(record)

    def _merge_record(self, record: QuarantineRecord) -> None:
        self.attribution.merge_record(record)
        # Nobody is told any more of what was taken back.
        self._broadcast.retain_only(self.attribution.quarantined_by_content.keys())

    async def _poll(self) -> None:
        self._judge_crashes()
        if self._sending is None or self._sending.done():
            # Ends are judged meanwhile: a router that is gone keeps a message waiting.
            self._sending = self._tasks.spawn(self._broadcast.send_pending())
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

    def _judge_crashes(self) -> None:
        now_ms = self.now_ms()
        for finding in self.attribution.judge(now_ms):
            self._report_finding(finding)
        expired = self.attribution.expire(now_ms)
        if expired and self._members.first_for(JUDGE_KEY) == self._members.own.vm:
            self.attribution.has_unsaved_changes = True
        is_due = self._clock() >= self._next_write_at and not self._is_writing
        if self.attribution.has_unsaved_changes and is_due:
            self._is_writing = True
            self._tasks.spawn(self._write_row())

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
        """Write what is new, unless the store is away; a later look tries again.

        The others are told meanwhile: a store that is away keeps a call for seconds.
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
        """Write the row; return whether no other try is worth it now."""
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
        if isinstance(outcome, Committed):
            self._record_written(record, outcome.version)
            return True
        # Another router has judged as well; both findings count.
        self.attribution.has_unsaved_changes = True
        row = outcome.rows_by_id.get(QUARANTINE_ROW_ID)
        self._version = row.version if row is not None else ABSENT
        found = QuarantineRecord.decode(row.value) if row is not None else None
        if found is not None and found.is_ok():
            self._merge_record(found.ok)
        return False

    def _record_written(self, record: QuarantineRecord, version: int) -> None:
        self._version = version
        self.attribution.record_written(record)
        self._is_write_failing = False
        log_event(
            "quarantine row written",
            quarantined=len(record.quarantined),
            suspects=len(record.suspects),
            version=version,
        )
