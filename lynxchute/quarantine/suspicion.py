"""Find out which request ends the upstreams that run it."""

from __future__ import annotations

import attrs

from lynxchute.quarantine.evidence import BrokenRun, Finding, Verdict
from lynxchute.quarantine.progress import Progress
from lynxchute.quarantine.record import (
    MAX_QUARANTINED,
    MAX_SUSPECTS_KEPT,
    QuarantineEntry,
    QuarantineRecord,
    Suspect,
)

# Upstreams that a request must have ended before no further one is risked. One end is
# any crash, two may be bad luck: a request that was open beside the cause and was sent
# on to the same place as it.
CRASHES_TO_QUARANTINE = 3
# The same where another run could be the cause at each of these ends.
AMBIGUOUS_CRASHES_TO_QUARANTINE = 5
# How much having begun at the moment of an end counts, in earlier ends. Of 25 ends of
# engines under such requests, seen in one day's lines, 23 had one run with the head of
# an answer and no event, the cause; what waited there and what had answered for a while
# was open by chance.
STARTED_WEIGHT = 2
# Milliseconds for which the reports on an end are collected: routers send them every
# 50 ms, and a message takes some ms.
REPORT_WINDOW_MS = 300
# Milliseconds for which reports on an upstream whose processes all have one name speak
# of one end: longer than routers take to notice it, about as long as it is down.
SAME_CRASH_MS = 2_000
# Stands between the name of such an upstream and the time of its end.
TIME_SEPARATOR = "#"
# How long an end counts against a request. Callers repeat what fails within seconds to
# minutes; what an upstream survives later is none of them.
BLAME_EXPIRY_MS = 600_000
# How long a request is kept away, doubled each time it ends another upstream after
# that: an upstream takes some seconds to come back, and a mended one takes longer
# than this to be installed.
QUARANTINE_MS = 600_000
MAX_QUARANTINE_MS = 7_200_000
# What is kept at most; each entry takes some 300 bytes.
MAX_SUSPECTS = 400
MAX_CRASHES = 64
# How long an end is kept for reports that come late, in milliseconds.
LATE_REPORT_MS = 10_000


@attrs.define
class _Crash:
    """The end of an upstream, with the runs that may have caused it.

    Attributes
    ----------
    best
        The weight of what was blamed, once it was judged.
    """

    at_ms: int
    progress_by_content: dict[str, Progress] = attrs.Factory(dict)
    judged_weight: int | None = None


class CrashAttribution:
    """Blame the ends of upstreams on requests that were open there.

    An end is blamed on the run that had just begun there, and on requests under which
    others have ended before; what was open beside it keeps no blame. Only a request
    that is blamed for several upstreams, and was the only one that could be the cause
    for one of them, is put in quarantine.

    Times are milliseconds on the store's clock, which goes on over restarts and is the
    same for all routers.

    Attributes
    ----------
    suspects_by_content
        Requests that are blamed.
    quarantined_by_content
        Requests that are sent nowhere.
    is_changed
        Whether there is something that the store does not have.

    Examples
    --------
    >>> suspicion = Suspicion()
    >>> for number in range(3):
    ...     suspicion.report(BrokenRun("q", f"e{number}", Progress.BEGUN), number)
    >>> [finding.verdict.value for finding in suspicion.judge(SETTLE_MS + 2)]
    ['blamed', 'blamed', 'quarantined']
    """

    def __init__(self) -> None:
        self.suspects_by_content: dict[str, Suspect] = {}
        self.quarantined_by_content: dict[str, QuarantineEntry] = {}
        self.has_unsaved_changes = False
        self._stored_contents: frozenset[str] = frozenset()
        self._crash_by_process: dict[str, _Crash] = {}

    def record_run(self, run: BrokenRun, now_ms: int) -> None:
        """Take a run that broke off when its upstream ended."""
        process = run.process
        if not run.is_start_known:
            process = self._crash_name(process, now_ms)
        crash = self._crash_by_process.get(process)
        if crash is None:
            self._evict_oldest_crash()
            crash = self._crash_by_process[process] = _Crash(now_ms)
        known = crash.progress_by_content.get(run.content)
        if known is Progress.BEGUN:
            return
        crash.progress_by_content[run.content] = run.progress
        if (
            crash.judged_weight is not None
            and self._weight(run.content, run.progress) >= crash.judged_weight
        ):
            # Its router was heard late; that others were blamed meanwhile does no harm.
            self._blame(run.content, process, now_ms, is_alone=False)

    def judge(self, now_ms: int) -> list[Finding]:
        """Blame the ends whose reports are in; return what came of each."""
        findings = []
        for process, crash in self._crash_by_process.items():
            if crash.judged_weight is None and now_ms - crash.at_ms >= REPORT_WINDOW_MS:
                findings.extend(self._judge_crash(process, crash, now_ms))
        return findings

    def has_pending_crashes(self) -> bool:
        """Return whether any end is still to be judged."""
        return any(
            crash.judged_weight is None for crash in self._crash_by_process.values()
        )

    def clear(self, content: str) -> bool:
        """Take a request for innocent; return whether it was not before."""
        suspect = self.suspects_by_content.pop(content, None)
        quarantined = self.quarantined_by_content.pop(content, None)
        for crash in self._crash_by_process.values():
            crash.progress_by_content.pop(content, None)
        if quarantined is not None or (suspect is not None and _is_persisted(suspect)):
            self.has_unsaved_changes = True
        return suspect is not None or quarantined is not None

    def adopt_quarantine(self, quarantined: QuarantineEntry) -> bool:
        """Take what another judge had found; return whether that is news."""
        if quarantined.content in self.quarantined_by_content:
            return False
        self.suspects_by_content.pop(quarantined.content, None)
        self._add_quarantine(quarantined)
        self.has_unsaved_changes = True
        return True

    def merge_record(self, record: QuarantineRecord) -> None:
        """Take what stands in the store, beside what never stood there.

        What stood there and does not any more was taken back by someone else.
        """
        stored = record.contents
        for content in self._stored_contents - stored:
            self.quarantined_by_content.pop(content, None)
            self.suspects_by_content.pop(content, None)
        self._stored_contents = stored
        for quarantined in record.quarantined:
            known = self.quarantined_by_content.get(quarantined.content)
            if known is None or known.until_ms < quarantined.until_ms:
                self._add_quarantine(quarantined)
        for suspect in record.suspects:
            self._merge_suspect(suspect)

    def expire(self, now_ms: int) -> bool:
        """Let go of what has lapsed; return whether any of it stands in the store.

        Whoever leaves quarantine needs to end one more upstream to be back.
        """
        expired = False
        for content, quarantined in list(self.quarantined_by_content.items()):
            if now_ms >= quarantined.until_ms:
                del self.quarantined_by_content[content]
                self._watch_released(quarantined, now_ms)
                expired = True
        for content, suspect in list(self.suspects_by_content.items()):
            if now_ms - suspect.last_ms >= BLAME_EXPIRY_MS:
                del self.suspects_by_content[content]
                expired = expired or _is_persisted(suspect)
        for process, crash in list(self._crash_by_process.items()):
            if now_ms - crash.at_ms >= LATE_REPORT_MS:
                del self._crash_by_process[process]
        return expired

    def record_written(self, record: QuarantineRecord) -> None:
        """Note what was written to the store from here."""
        self._stored_contents = record.contents

    def record(self) -> QuarantineRecord:
        """Return what is to be kept in the store."""
        suspects = [s for s in self.suspects_by_content.values() if _is_persisted(s)]
        suspects.sort(key=lambda suspect: (len(suspect.ended), suspect.last_ms))
        return QuarantineRecord(
            tuple(self.quarantined_by_content.values()),
            tuple(suspects[-MAX_SUSPECTS_KEPT:]),
        )

    def _crash_name(self, upstream: str, now_ms: int) -> str:
        """Name one end of an upstream whose processes all have the same name."""
        for name, crash in self._crash_by_process.items():
            is_same_upstream = name.startswith(f"{upstream}{TIME_SEPARATOR}")
            if is_same_upstream and now_ms - crash.at_ms < SAME_CRASH_MS:
                return name
        return f"{upstream}{TIME_SEPARATOR}{now_ms}"

    def _judge_crash(self, process: str, crash: _Crash, now_ms: int) -> list[Finding]:
        progress_by_content = crash.progress_by_content
        known = progress_by_content.keys() & self.quarantined_by_content.keys()
        crash.judged_weight = 0
        if known or not progress_by_content:
            # A copy of what is in quarantine was still open there.
            return []
        weights = {
            content: self._weight(content, progress)
            for content, progress in progress_by_content.items()
        }
        crash.judged_weight = max(weights.values())
        blamed = [
            content for content in weights if weights[content] == crash.judged_weight
        ]
        started = [c for c, p in progress_by_content.items() if p is Progress.BEGUN]
        findings = []
        for content in blamed:
            others = started if content in started else list(progress_by_content)
            company = len(others) - 1
            self._blame(content, process, now_ms, is_alone=not company)
            findings.append(self._finding(content, process, company))
        if len(blamed) == 1 and self._is_proven(blamed[0]):
            findings[0] = self._quarantine(findings[0], now_ms)
        return findings

    def _weight(self, content: str, progress: Progress) -> int:
        suspect = self.suspects_by_content.get(content)
        ends = len(suspect.ended) if suspect is not None else 0
        return ends + (STARTED_WEIGHT if progress is Progress.BEGUN else 0)

    def _blame(
        self, content: str, process: str, now_ms: int, *, is_alone: bool
    ) -> None:
        suspect = self.suspects_by_content.get(content)
        if suspect is None:
            suspect = Suspect(content, since_ms=now_ms)
        if process in suspect.ended:
            return
        suspect = attrs.evolve(
            suspect,
            ended=(*suspect.ended, process)[-AMBIGUOUS_CRASHES_TO_QUARANTINE:],
            alone=suspect.alone + is_alone,
            last_ms=now_ms,
        )
        # The newest one comes last, so that room is made by the oldest.
        self.suspects_by_content.pop(content, None)
        self.suspects_by_content[content] = suspect
        self.has_unsaved_changes = self.has_unsaved_changes or _is_persisted(suspect)
        if len(self.suspects_by_content) > MAX_SUSPECTS:
            fewest = min(self.suspects_by_content.values(), key=lambda s: len(s.ended))
            del self.suspects_by_content[fewest.content]

    def _is_proven(self, content: str) -> bool:
        suspect = self.suspects_by_content[content]
        if len(suspect.ended) >= AMBIGUOUS_CRASHES_TO_QUARANTINE:
            return True
        return len(suspect.ended) >= CRASHES_TO_QUARANTINE and suspect.alone > 0

    def _quarantine(self, finding: Finding, now_ms: int) -> Finding:
        suspect = self.suspects_by_content.pop(finding.content)
        times = suspect.times + 1
        lasts_ms = min(QUARANTINE_MS * 2 ** min(times - 1, 8), MAX_QUARANTINE_MS)
        until_ms = now_ms + lasts_ms
        self._add_quarantine(
            QuarantineEntry(finding.content, suspect.since_ms, until_ms, times)
        )
        self.has_unsaved_changes = True
        return attrs.evolve(finding, verdict=Verdict.QUARANTINED)

    def _finding(self, content: str, process: str, company: int) -> Finding:
        ends = len(self.suspects_by_content[content].ended)
        return Finding(Verdict.BLAMED, content, process, company, ends)

    def _watch_released(self, quarantined: QuarantineEntry, now_ms: int) -> None:
        earlier = range(CRASHES_TO_QUARANTINE - 1)
        self.suspects_by_content[quarantined.content] = Suspect(
            quarantined.content,
            ended=tuple(f"before {number}" for number in earlier),
            alone=1,
            since_ms=now_ms,
            last_ms=now_ms,
            times=quarantined.times,
        )

    def _merge_suspect(self, suspect: Suspect) -> None:
        if suspect.content in self.quarantined_by_content:
            return
        known = self.suspects_by_content.get(suspect.content)
        if known is None:
            self.suspects_by_content[suspect.content] = suspect
            return
        ended = dict.fromkeys((*known.ended, *suspect.ended))
        self.suspects_by_content[suspect.content] = attrs.evolve(
            known,
            ended=tuple(ended)[-AMBIGUOUS_CRASHES_TO_QUARANTINE:],
            alone=max(known.alone, suspect.alone),
            since_ms=min(known.since_ms, suspect.since_ms),
            last_ms=max(known.last_ms, suspect.last_ms),
            times=max(known.times, suspect.times),
        )

    def _add_quarantine(self, quarantined: QuarantineEntry) -> None:
        """Keep a request away; the one that lapses first makes room where none is."""
        self.quarantined_by_content[quarantined.content] = quarantined
        if len(self.quarantined_by_content) > MAX_QUARANTINED:
            items = self.quarantined_by_content.values()
            soonest = min(items, key=lambda item: item.until_ms)
            del self.quarantined_by_content[soonest.content]

    def _evict_oldest_crash(self) -> None:
        if len(self._crash_by_process) < MAX_CRASHES:
            return
        oldest = min(
            self._crash_by_process, key=lambda p: self._crash_by_process[p].at_ms
        )
        del self._crash_by_process[oldest]


def _is_persisted(suspect: Suspect) -> bool:
    """Return whether a suspect is worth a row in the store.

    Most requests that were open at one end are innocent, and forgotten with the router
    that judged it: that costs one upstream more at most.
    """
    return len(suspect.ended) > 1
