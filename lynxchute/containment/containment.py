"""Report upstream crashes, and refuse the requests that cause them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

import attrs

from lynxchute.application import Component, PeriodicTask, Tasks
from lynxchute.containment.judge import JUDGE_KEY, ROW_KEY, Judge
from lynxchute.containment.news import QuarantineBroadcast
from lynxchute.containment.part_inquiry import PartInquirer
from lynxchute.containment.parts import PartWatch
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import Ack
from lynxchute.fleet.quarantine_messages import (
    CrashEvidence,
    PartInquiry,
    PartReport,
    PartsServed,
    QuarantineUpdate,
)
from lynxchute.fleet.registry import Registry
from lynxchute.fleet.server import PeerServer
from lynxchute.quarantine import (
    BrokenRun,
    PartGroup,
    Progress,
    PromptParts,
    Quarantine,
    QuarantineEntry,
    QuarantineRecord,
    ServedContents,
)
from lynxchute.quarantine.served_parts import ANY_VERSION
from lynxchute.store import Row, Store, TableFeed
from lynxchute.store.era import era_of
from lynxchute.store.feed import REWRITE_SECONDS
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import OpenSend
from lynxchute.upstreams.upstream import Upstream

# Seconds for which evidence is collected into one message: all runs of a crashed
# upstream break off within some milliseconds.
BATCH_SECONDS = 0.05
# Seconds between checks whether another router has become the judge.
JUDGE_CHECK_SECONDS = 5.0
# Maximum number of reports waiting to be sent, and of those kept for a new judge:
# enough for the open runs of several crashed upstreams.
MAX_PENDING = 300
# Milliseconds for which evidence is retained for the next judge. A judge that dies has
# received the evidence, but has stored only requests that are blamed for two crashes or
# more.
EVIDENCE_RETENTION_MS = 60_000
# Attempts to reach the fleet's judge before this router judges by itself.
JUDGE_ATTEMPTS = 3
# Maximum number of reported content ids that are remembered, so that the judge is told
# if such a request is served later.
MAX_REPORTED = 500
# Seconds by which the end of the time for rewriting a lost row is checked too late
# rather than too early.
SETTLE_MARGIN_SECONDS = 0.05
# Milliseconds for which a request that was served is not suspected. A request that is
# sent many times a second is open during most crashes, and cannot be their cause while
# other upstreams serve it. The time is short, because an upstream may be replaced by a
# version that crashes on requests that the old one could serve.
SERVED_RECENTLY_MS = 5_000


class Containment:
    """Report runs that broke off in crashes, and refuse quarantined requests.

    Parameters
    ----------
    members, peers
        The other routers.
    store
        Provides the clock that all routers share.
    directory
        The upstreams and their open sends.
    metrics
        Counts broken runs and quarantined requests.
    clock
        Seconds on the steady clock.
    may_have_lost_state
        Returns whether an earlier process of this VM was killed just now.

    Attributes
    ----------
    judge
        Judges crashes while this router does so for the fleet.
    quarantine
        The requests that are refused.
    parts
        What is known of prompt parts.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        store: Store,
        directory: Directory,
        metrics: Metrics,
        clock: Callable[[], float],
        may_have_lost_state: Callable[[], bool] = lambda: False,
    ) -> None:
        self._may_have_lost_state = may_have_lost_state
        broadcast = QuarantineBroadcast(members, peers, clock)
        broadcast.listeners.append(self._handle_update)
        self.quarantine = Quarantine()
        tasks = Tasks()
        inquirer = self._inquirer = PartInquirer(
            members, peers, self._report_parts, tasks
        )
        self.judge = Judge(members, store, broadcast, inquirer, metrics, clock, tasks)
        self.parts = PartWatch(
            members, directory, self.quarantine, self.judge.now_ms, clock
        )
        self.judge.restore_listeners.append(self._schedule_settle)
        self._members = members
        self._peers = peers
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        self._served = ServedContents()
        self._reported: OrderedDict[str, None] = OrderedDict()
        self._suspects: set[str] = set()
        self._pending_runs: deque[BrokenRun] = deque(maxlen=MAX_PENDING)
        self._recent_evidence: deque[tuple[int, BrokenRun]] = deque(maxlen=MAX_PENDING)
        self._last_judge = members.own.incarnation
        self._feed: TableFeed | None = None
        self._settle_timer: asyncio.TimerHandle | None = None
        self._pending_survived: deque[str] = deque(maxlen=MAX_PENDING)
        self._pending_parts_served: deque[PartsServed] = deque(maxlen=MAX_PENDING)
        self._loop = PeriodicTask("evidence", self._send_evidence, JUDGE_CHECK_SECONDS)

    @property
    def components(self) -> list[Component]:
        """Return the background components."""
        return [self._loop, *self.judge.components]

    def serve(self, server: PeerServer) -> None:
        """Register the handlers for messages from other routers."""
        server.handlers_by_class[CrashEvidence] = self._handle_evidence_message
        server.handlers_by_class[QuarantineUpdate] = self._handle_update_message
        server.handlers_by_class[PartInquiry] = self._handle_inquiry

    def register_listeners(self, registry: Registry) -> None:
        """Follow the row in the store, and changes of the judge."""
        self._feed = registry.feed
        registry.handlers_by_key[ROW_KEY] = self._handle_row
        registry.listeners.append(self._handle_members)

    def quarantine_seconds_left(self, content: str) -> float | None:
        """Return the remaining quarantine of a request; None if it has none."""
        now_ms = self.judge.now_ms()
        found = self.quarantine.find(content, now_ms)
        return None if found is None else (found.until_ms - now_ms) / 1000.0

    def part_seconds_left(
        self, prompt_of: Callable[[], PromptParts | None]
    ) -> float | None:
        """Return for how long a request is refused for its parts; None if it is not."""
        if not self.quarantine.part_entries:
            return None
        prompt = prompt_of()
        return None if prompt is None else self.parts.seconds_refused(prompt)

    def record_send(self, send: OpenSend, request_id: str) -> None:
        """Record that a request is about to be sent; it may be a trial of its parts."""
        if not self.quarantine.part_entries or send.prompt is None:
            return
        entry_id = self.parts.record_send(send.prompt)
        if entry_id:
            log_event(
                "quarantined prompt parts tried", request_id=request_id, entry=entry_id
            )

    async def may_send_again(self, prompt: PromptParts | None) -> bool:
        """Return whether a request may go on whose upstream may have crashed under it.

        While no router may remember earlier crashes, only if each shared part of its
        prompt was served since.
        """
        if prompt is None or not prompt.ids or not self._may_have_lost_state():
            return True
        group = PartGroup(prompt.scope, ANY_VERSION, prompt.ids, self.judge.now_ms())
        report = await self._inquirer.ask([group])
        if not report.may_have_lost_state:
            return True
        served = set[str]().union(*(item.at_ms for item in report.served))
        return served.issuperset(prompt.ids)

    def is_suspected(self, prompt_of: Callable[[], PromptParts | None]) -> bool:
        """Return whether a request must not be sent again after a crash."""
        if not self.parts.has_suspected:
            return False
        prompt = prompt_of()
        return prompt is not None and self.parts.is_suspected(prompt)

    def record_broken(self, upstream: Upstream, send: OpenSend) -> None:
        """Record a run that broke off because its upstream crashed, or may have."""
        self._metrics.broken_runs.inc(send.progress.value)
        if send.is_cancelled or send.is_past_crash_window(self._clock()):
            return
        if self._served.was_served_since(
            send.content, self.judge.now_ms() - SERVED_RECENTLY_MS
        ):
            return
        prompt = send.prompt
        run = BrokenRun(
            send.content,
            upstream.process,
            send.progress,
            upstream.is_start_known,
            self.parts.without_served(prompt) if prompt is not None else None,
            self._began_ms(send),
        )
        self._pending_runs.append(run)
        self._recent_evidence.append((self.judge.now_ms(), run))
        self._reported[send.content] = None
        if len(self._reported) > MAX_REPORTED:
            self._reported.popitem(last=False)
        self._loop.wake()

    def _began_ms(self, send: OpenSend) -> int:
        if send.began_at is None:
            return 0
        return self.judge.now_ms() - int((self._clock() - send.began_at) * 1000)

    def record_end(
        self, send: OpenSend, *, is_whole: bool, is_served: bool = False
    ) -> None:
        """Record the end of a run, with or without a complete answer.

        Parameters
        ----------
        is_served
            Whether it certainly ran to its end, so that its prompt crashes nothing.
        """
        is_past_crash_window = send.is_past_crash_window(self._clock())
        if is_served or is_past_crash_window:
            parts_served = self.parts.record_served(send)
            if parts_served is not None:
                self._report_parts_served(parts_served)
        if not is_whole and not is_past_crash_window:
            return
        self._served.record_served(send.content, self.judge.now_ms())
        if send.content in self._reported or send.content in self._suspects:
            self._reported.pop(send.content, None)
            self._suspects.discard(send.content)
            self._record_survived(send.content)

    def _handle_members(self) -> None:
        """Wake the loop if a new judge has to get its predecessor's evidence."""
        if self._feed is not None:
            self.judge.observe_era(era_of(self._feed.version))
        if self._has_backlog_for_judge:
            self._loop.wake()

    @property
    def _has_backlog_for_judge(self) -> bool:
        if not self._recent_evidence and not self.quarantine.unconfirmed():
            return False
        return self._current_judge().incarnation != self._last_judge

    def _handle_row(self, row: Row) -> None:
        """Handle a new version of the row; a deleted row stands for an empty one."""
        record = _decode_row(row)
        if record is None:
            return
        self.judge.observe_era(era_of(row.version))
        self.judge.merge_record(record, row.version)
        if self.judge.is_restoring:
            record = self.judge.without_cleared(self.judge.attribution.record())
        self._apply_record(record)

    def _apply_record(self, record: QuarantineRecord) -> None:
        self._suspects = {suspect.content for suspect in record.suspects}
        new = self.quarantine.replace(record.quarantined, self.judge.now_ms())
        self._apply_quarantine(new, source="store")

    def _schedule_settle(self) -> None:
        if self._settle_timer is not None:
            self._settle_timer.cancel()
        self._settle_timer = asyncio.get_running_loop().call_later(
            REWRITE_SECONDS + SETTLE_MARGIN_SECONDS, self._settle
        )

    def _settle(self) -> None:
        """Apply the row as it is, now that the judge had time to write it again."""
        row = self._feed.rows_by_key.get(ROW_KEY) if self._feed is not None else None
        record = _decode_row(row) if row is not None else None
        if row is None or record is None:
            return
        if self.judge.settle(record, row.version):
            self._apply_record(record)

    async def _send_evidence(self) -> None:
        await asyncio.sleep(BATCH_SECONDS)
        broken, survived = tuple(self._pending_runs), tuple(self._pending_survived)
        parts_served = tuple(self._pending_parts_served)
        self._pending_runs.clear()
        self._pending_survived.clear()
        self._pending_parts_served.clear()
        if broken or survived or parts_served or self._has_backlog_for_judge:
            await self._send_to_judge(broken, survived, parts_served)

    async def _send_to_judge(
        self,
        broken: tuple[BrokenRun, ...],
        survived: tuple[str, ...],
        parts_served: tuple[PartsServed, ...],
    ) -> None:
        """Send evidence to the fleet's judge; a new judge gets all recent evidence."""
        for _ in range(JUDGE_ATTEMPTS):
            judge = self._current_judge()
            runs = broken
            quarantined: tuple[QuarantineEntry, ...] = ()
            if judge.incarnation != self._last_judge:
                runs = self._recent_runs(broken)
                quarantined = self.quarantine.unconfirmed()
            evidence = CrashEvidence(runs, survived, quarantined, parts_served)
            if judge.vm == self._members.own.vm:
                break
            try:
                await self._peers.ask(judge.vm, evidence)
            except PeerUnreachable as error:
                log_event(
                    "crash evidence not delivered", peer=judge.vm, reason=str(error)
                )
                continue
            self._last_judge = judge.incarnation
            return
        self._last_judge = self._members.own.incarnation
        self.judge.handle_evidence(evidence)

    def _current_judge(self) -> Member:
        return self._members.by_vm[self._members.owner_of_key(JUDGE_KEY)]

    def _recent_runs(self, new: tuple[BrokenRun, ...]) -> tuple[BrokenRun, ...]:
        """Return recent evidence for a new judge, ending with what is new."""
        oldest_ms = self.judge.now_ms() - EVIDENCE_RETENTION_MS
        new_runs = set(new)
        earlier = [
            attrs.evolve(run, broke_ms=recorded_ms)
            for recorded_ms, run in self._recent_evidence
            if recorded_ms >= oldest_ms and run not in new_runs
        ]
        return (*earlier, *new)

    async def _handle_evidence_message(self, evidence: CrashEvidence) -> Ack:
        self.judge.handle_evidence(evidence)
        return Ack()

    async def _handle_inquiry(self, inquiry: PartInquiry) -> PartReport:
        return self._report_parts(inquiry.groups)

    def _report_parts(self, groups: Sequence[PartGroup]) -> PartReport:
        """Return what this router has served, and whether it may have lost state."""
        return PartReport(self.parts.report(groups), self._may_have_lost_state())

    async def _handle_update_message(self, update: QuarantineUpdate) -> Ack:
        self._handle_update(update)
        return Ack()

    def _handle_update(self, update: QuarantineUpdate) -> None:
        self.judge.record_cleared(update.cleared)
        self.quarantine.clear(update.cleared)
        self.parts.suspect(update.suspected)
        new = self.quarantine.add(update.quarantined, self.judge.now_ms())
        self._apply_quarantine(new, source="router")

    def _apply_quarantine(self, contents: list[str], *, source: str) -> None:
        """Apply new quarantine entries: withdraw open sends, or clear the request."""
        for content in contents:
            quarantined = self.quarantine.by_content.get(content)
            if quarantined is None:
                continue
            if quarantined.parts:
                self._apply_part_quarantine(quarantined, source)
                continue
            was_served = self._served.was_served_since(content, quarantined.since_ms)
            withdrawn = 0
            if was_served:
                # It was served after the first crash that it is blamed for.
                self.quarantine.clear([content])
                self._record_survived(content)
            else:
                withdrawn = self._withdraw_content(content)
            # Logged as quarantined even if it was just cleared; see was_served.
            log_event(
                "request quarantined",
                content=content,
                source=source,
                until_ms=quarantined.until_ms,
                times=quarantined.times,
                was_served=was_served,
                withdrawn=withdrawn,
            )

    def _apply_part_quarantine(self, entry: QuarantineEntry, source: str) -> None:
        """Withdraw the open sends of prompts with quarantined parts."""
        parts_served = self.parts.served_since(entry)
        if parts_served is not None:
            # The judge decides which of the parts remain suspicious.
            self._report_parts_served(parts_served)
        withdrawn = self._withdraw_sends(
            lambda send: send.prompt is not None and entry.matches(send.prompt)
        )
        log_event(
            "prompt parts quarantined",
            entry=entry.content,
            parts=entry.parts,
            scope=entry.scope,
            version=entry.version,
            accounts=entry.accounts,
            source=source,
            until_ms=entry.until_ms,
            times=entry.times,
            served=sorted(parts_served.at_ms) if parts_served is not None else [],
            withdrawn=withdrawn,
        )

    def _report_parts_served(self, parts_served: PartsServed) -> None:
        self._pending_parts_served.append(parts_served)
        self._loop.wake()

    def _withdraw_content(self, content: str) -> int:
        return self._withdraw_sends(lambda send: send.content == content)

    def _withdraw_sends(self, matches: Callable[[OpenSend], bool]) -> int:
        """Abort unanswered sends of requests; return their number."""
        withdrawn = 0
        for entry in self._directory.entries_by_id.values():
            for send in list(entry.open_sends):
                if send.progress is Progress.ANSWERING or not matches(send):
                    continue
                send.withdraw()
                withdrawn += 1
        return withdrawn

    def _record_survived(self, content: str) -> None:
        kept = [item for item in self._recent_evidence if item[1].content != content]
        self._recent_evidence = deque(kept, maxlen=MAX_PENDING)
        self._pending_survived.append(content)
        self._loop.wake()


def _decode_row(row: Row) -> QuarantineRecord | None:
    """Return the record in the row, an empty one if it is deleted; None if invalid."""
    if row.deleted:
        return QuarantineRecord()
    result = QuarantineRecord.decode(row.value)
    if result.is_error():
        log_event("quarantine row unreadable", problem=result.error)
        return None
    return result.ok
