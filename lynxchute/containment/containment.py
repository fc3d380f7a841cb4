"""Keep requests that end upstreams away from them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable

from lynxchute.application import Component, Loop
from lynxchute.containment.judge import JUDGE_KEY, ROW_KEY, Judge
from lynxchute.containment.news import QuarantineBroadcast
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import Done
from lynxchute.fleet.quarantine_messages import QuarantineNews, RunEvidence
from lynxchute.fleet.registry import Registry
from lynxchute.fleet.server import PeerServer
from lynxchute.quarantine import (
    BrokenRun,
    Progress,
    Quarantine,
    QuarantineEntry,
    QuarantineRecord,
    ServedContents,
)
from lynxchute.store import Row, Store
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import OpenSend
from lynxchute.upstreams.upstream import Upstream

# Evidence of this many seconds goes out together: all runs of an upstream break off
# within some ms.
BATCH_SECONDS = 0.05
# Seconds between two looks whether another router judges by now.
JUDGE_CHECK_SECONDS = 5.0
# Evidence that waits at most, and that is kept: the open runs of several upstreams.
MAX_PENDING = 300
# Milliseconds for which evidence is kept for the next judge: one that ends had
# collected it, and had written to the store what is blamed for two ends or more.
EVIDENCE_RETENTION_MS = 60_000
# Routers that are tried for the fleet's judge before this one judges by itself.
JUDGE_ATTEMPTS = 3
# Contents that were reported from here, whose survival is worth telling.
MAX_REPORTED = 500
# Milliseconds for which having been served speaks for a request. What is asked for many
# times a second is open at most ends, and is no cause while others run it; an upstream
# that was replaced since may end with what the one before could run.
SERVED_RECENTLY_MS = 5_000


class Containment:
    """Report runs that ended with their upstreams, and refuse what ends them.

    Parameters
    ----------
    members, peers
        The other routers.
    store
        Tells the time that all share.
    directory
        Has the sends that are open.
    metrics
        Where quarantined requests are counted.
    clock
        Seconds on the steady clock.

    Attributes
    ----------
    judge
        Judges the ends, where this router does it for the fleet.
    quarantine
        What is refused.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        store: Store,
        directory: Directory,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        news = QuarantineBroadcast(members, peers, clock)
        news.listeners.append(self._handle_news)
        self.judge = Judge(members, store, news, metrics, clock)
        self.quarantine = Quarantine()
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
        self._pending_survived: deque[str] = deque(maxlen=MAX_PENDING)
        self._loop = Loop("evidence", self._send_evidence, JUDGE_CHECK_SECONDS)

    @property
    def components(self) -> list[Component]:
        """Return what runs in the background."""
        return [self._loop, *self.judge.components]

    def serve(self, server: PeerServer) -> None:
        """Take what other routers tell."""
        server.answers_by_class[RunEvidence] = self._handle_evidence_message
        server.answers_by_class[QuarantineNews] = self._handle_news_message

    def watch_registry(self, registry: Registry) -> None:
        """Take what stands in the store, and notice who judges."""
        registry.takers_by_key[ROW_KEY] = self._handle_row
        registry.listeners.append(self._handle_members)

    def quarantine_seconds_left(self, content: str) -> float | None:
        """Return how long a request is still kept away; None where it is not."""
        now_ms = self.judge.now_ms()
        found = self.quarantine.find(content, now_ms)
        return None if found is None else (found.until_ms - now_ms) / 1000.0

    def record_broken(self, upstream: Upstream, send: OpenSend) -> None:
        """Note a run that broke off because its upstream ended, or seems to have."""
        self._metrics.broken_runs.inc(send.progress.value)
        if send.is_cancelled or send.is_past_crash_window(self._clock()):
            return
        if self._served.has_served_since(
            send.content, self.judge.now_ms() - SERVED_RECENTLY_MS
        ):
            return
        run = BrokenRun(
            send.content, upstream.process, send.progress, upstream.is_start_known
        )
        self._pending_runs.append(run)
        self._recent_evidence.append((self.judge.now_ms(), run))
        self._reported[send.content] = None
        if len(self._reported) > MAX_REPORTED:
            self._reported.popitem(last=False)
        self._loop.wake()

    def record_end(self, send: OpenSend, *, is_whole: bool) -> None:
        """Note a run that has ended, with a whole answer or otherwise."""
        if not is_whole and not send.is_past_crash_window(self._clock()):
            return
        self._served.record_served(send.content, self.judge.now_ms())
        if send.content in self._reported or send.content in self._suspects:
            self._reported.pop(send.content, None)
            self._suspects.discard(send.content)
            self._record_survived(send.content)

    def _handle_members(self) -> None:
        """Give a new judge what the one before was told, and what it told."""
        if self._has_backlog_for_judge:
            self._loop.wake()

    @property
    def _has_backlog_for_judge(self) -> bool:
        if not self._recent_evidence and not self.quarantine.unconfirmed():
            return False
        return self._current_judge().incarnation != self._last_judge

    def _handle_row(self, row: Row) -> None:
        """Take what the fleet knows; a row that is gone says that it is nothing."""
        record = QuarantineRecord()
        if not row.deleted:
            result = QuarantineRecord.decode(row.value)
            if result.is_error():
                log_event("quarantine row unreadable", problem=result.error)
                return
            record = result.ok
        self.judge.merge_record(record, row.version)
        self._suspects = {suspect.content for suspect in record.suspects}
        new = self.quarantine.replace(record.quarantined, self.judge.now_ms())
        self._apply_quarantine(new, source="store")

    async def _send_evidence(self) -> None:
        await asyncio.sleep(BATCH_SECONDS)
        broken, survived = tuple(self._pending_runs), tuple(self._pending_survived)
        self._pending_runs.clear()
        self._pending_survived.clear()
        if broken or survived or self._has_backlog_for_judge:
            await self._send_to_judge(broken, survived)

    async def _send_to_judge(
        self, broken: tuple[BrokenRun, ...], survived: tuple[str, ...]
    ) -> None:
        """Give evidence to the fleet's judge, all that counts yet to a new one."""
        for _ in range(JUDGE_ATTEMPTS):
            judge = self._current_judge()
            quarantined: tuple[QuarantineEntry, ...] = ()
            if judge.incarnation != self._last_judge:
                broken, quarantined = self._recent_runs(), self.quarantine.unconfirmed()
            evidence = RunEvidence(broken, survived, quarantined)
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
        return self._members.by_vm[self._members.first_for(JUDGE_KEY)]

    def _recent_runs(self) -> tuple[BrokenRun, ...]:
        oldest_ms = self.judge.now_ms() - EVIDENCE_RETENTION_MS
        return tuple(
            run
            for recorded_ms, run in self._recent_evidence
            if recorded_ms >= oldest_ms
        )

    async def _handle_evidence_message(self, evidence: RunEvidence) -> Done:
        self.judge.handle_evidence(evidence)
        return Done()

    async def _handle_news_message(self, news: QuarantineNews) -> Done:
        self._handle_news(news)
        return Done()

    def _handle_news(self, news: QuarantineNews) -> None:
        self.quarantine.clear(news.cleared)
        new = self.quarantine.add(news.quarantined, self.judge.now_ms())
        self._apply_quarantine(new, source="router")

    def _apply_quarantine(self, contents: list[str], *, source: str) -> None:
        """Act on requests that are newly quarantined."""
        for content in contents:
            quarantined = self.quarantine.by_content.get(content)
            if quarantined is None:
                continue
            was_served = self._served.has_served_since(content, quarantined.since_ms)
            withdrawn = 0
            if was_served:
                # It was served here after the first end that it is blamed for.
                self.quarantine.clear([content])
                self._record_survived(content)
            else:
                withdrawn = self._withdraw_sends(content)
            log_event(
                "request quarantined",
                content=content,
                source=source,
                until_ms=quarantined.until_ms,
                times=quarantined.times,
                was_served=was_served,
                withdrawn=withdrawn,
            )

    def _withdraw_sends(self, content: str) -> int:
        """Break off what waits at upstreams; return how much that was."""
        withdrawn = 0
        for entry in self._directory.entries_by_id.values():
            for send in list(entry.open_sends):
                if send.content != content or send.progress is Progress.ANSWERING:
                    continue
                send.withdraw()
                withdrawn += 1
        return withdrawn

    def _record_survived(self, content: str) -> None:
        kept = [item for item in self._recent_evidence if item[1].content != content]
        self._recent_evidence = deque(kept, maxlen=MAX_PENDING)
        self._pending_survived.append(content)
        self._loop.wake()
