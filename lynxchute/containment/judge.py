"""Judge the ends of upstreams for the fleet, or have another router do so."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.application import Component, Loop, Tasks
from lynxchute.containment.news import Newscast
from lynxchute.fleet.members import Members
from lynxchute.fleet.quarantine_messages import RunEvidence
from lynxchute.fleet.registry import TABLE
from lynxchute.quarantine import Finding, QuarantineRecord, Suspicion, Verdict
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
HOME_KEY = "quarantine"
# Seconds between two looks while ends are judged. A copy of the request is on its way
# to the next upstream meanwhile; the routers' reports themselves take half as long.
STEP_SECONDS = 0.1
# The same while routers are only to be told again, and while there is nothing to do.
RETELL_SECONDS = 0.5
IDLE_SECONDS = 5.0
# Seconds until the row is written again after the store did not take it.
REWRITE_SECONDS = 0.5
# Tries to write the row at one look, where others have written it.
WRITE_TRIES = 3


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
        news: Newscast,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.suspicion = Suspicion()
        self._loop = Loop("quarantine", self._step, IDLE_SECONDS)
        self._tasks = Tasks()
        self._timer: asyncio.TimerHandle | None = None
        self._telling: asyncio.Task[None] | None = None
        self._members = members
        self._store = store
        self._news = news
        self._metrics = metrics
        self._clock = clock
        self._version = ABSENT
        self._is_unwritten = False
        self._is_writing = False
        self._write_at = 0.0

    @property
    def components(self) -> list[Component]:
        """Return what runs in the background."""
        return [self._loop, self._tasks]

    def now_ms(self) -> int:
        """Return a time that the store's clock has reached, in milliseconds."""
        return self._store.clock.earliest_ms(self._clock())

    def take(self, evidence: RunEvidence) -> None:
        """Take what runs say, here or at another router."""
        now_ms = self.now_ms()
        for run in evidence.broken:
            self.suspicion.report(run, now_ms)
        for quarantined in evidence.quarantined:
            if self.suspicion.take_over(quarantined):
                # The judge before has died, and who has started since knows nothing.
                self._news.tell(quarantined=(quarantined,))
        for content in evidence.survived:
            was_quarantined = content in self.suspicion.quarantined_by_content
            if not self.suspicion.clear(content):
                continue
            log_event("request cleared", content=content, quarantined=was_quarantined)
            if was_quarantined:
                self._news.tell(cleared=(content,))
        self._loop.wake()

    def adopt(self, record: QuarantineRecord, version: int) -> None:
        """Take what stands in the store."""
        if version > self._version:
            self._version = version
            self._adopt(record)

    def _adopt(self, record: QuarantineRecord) -> None:
        self.suspicion.adopt(record)
        # Nobody is told any more of what was taken back.
        self._news.keep_only(self.suspicion.quarantined_by_content.keys())

    async def _step(self) -> None:
        self._look()
        if self._telling is None or self._telling.done():
            # Ends are judged meanwhile: a router that is gone keeps a message waiting.
            self._telling = self._tasks.spawn(self._news.send())
        pause = self._pause()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(pause, self._loop.wake)

    def _pause(self) -> float:
        if self.suspicion.has_ends() or self.suspicion.is_changed:
            return STEP_SECONDS
        return RETELL_SECONDS if self._news.is_waiting else IDLE_SECONDS

    def _look(self) -> None:
        now_ms = self.now_ms()
        for finding in self.suspicion.judge(now_ms):
            self._note(finding)
        lapsed = self.suspicion.forget(now_ms)
        if lapsed and self._members.first_for(HOME_KEY) == self._members.own.vm:
            self.suspicion.is_changed = True
        is_due = self._clock() >= self._write_at and not self._is_writing
        if self.suspicion.is_changed and is_due:
            self._is_writing = True
            self._tasks.spawn(self._write())

    def _note(self, finding: Finding) -> None:
        self._metrics.upstream_ends_blamed.inc(finding.verdict.value)
        quarantined = self.suspicion.quarantined_by_content.get(finding.content)
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
            self._news.tell(quarantined=(quarantined,))

    async def _write(self) -> None:
        """Write what is new, unless the store is away; a later look tries again.

        The others are told meanwhile: a store that is away keeps a call for seconds.
        """
        try:
            for _ in range(WRITE_TRIES):
                if not self.suspicion.is_changed:
                    return
                self.suspicion.is_changed = False
                if await self._put_row(self.suspicion.record()):
                    return
        finally:
            self._is_writing = False

    async def _put_row(self, record: QuarantineRecord) -> bool:
        """Write the row; return whether no other try is worth it now."""
        expected = Expected(QUARANTINE_ROW_ID, self._version)
        write = Write((expected,), (Put(QUARANTINE_ROW_ID, record.encode()),))
        try:
            outcome = await self._store.write(write)
        except (StoreUnavailable, OutcomeUnknown) as error:
            self.suspicion.is_changed = True
            self._write_at = self._clock() + REWRITE_SECONDS
            if not self._is_unwritten:
                log_event("quarantine row write failed", reason=str(error))
            self._is_unwritten = True
            return True
        if isinstance(outcome, Committed):
            self._note_written(record, outcome.version)
            return True
        # Another router has judged as well; both findings count.
        self.suspicion.is_changed = True
        row = outcome.rows_by_id.get(QUARANTINE_ROW_ID)
        self._version = row.version if row is not None else ABSENT
        found = QuarantineRecord.decode(row.value) if row is not None else None
        if found is not None and found.is_ok():
            self._adopt(found.ok)
        return False

    def _note_written(self, record: QuarantineRecord, version: int) -> None:
        self._version = version
        self.suspicion.note_written(record)
        self._is_unwritten = False
        log_event(
            "quarantine row written",
            quarantined=len(record.quarantined),
            suspects=len(record.suspects),
            version=version,
        )
