"""Find the requests that cause upstream crashes."""

from __future__ import annotations

import attrs

from lynxchute.quarantine.evidence import BrokenRun, Finding, Verdict
from lynxchute.quarantine.part_suspicion import PartAttribution
from lynxchute.quarantine.progress import Progress
from lynxchute.quarantine.record import (
    MAX_QUARANTINED,
    MAX_SUSPECTS_KEPT,
    QuarantineEntry,
    QuarantineRecord,
    Suspect,
)

# Number of crashes after which a request is quarantined. One crash may have any cause.
# Two may be chance: a request may have been open beside the cause and then retried at
# the same upstream as the cause.
CRASHES_TO_QUARANTINE = 3
# Number of crashes after which a request is quarantined even if another run may have
# been the cause of each of them.
AMBIGUOUS_CRASHES_TO_QUARANTINE = 5
# Weight of a run that had just begun when the upstream crashed; each earlier crash of a
# request weighs 1. Of 25 engine crashes caused by a request, 23 had exactly one run
# with the head of its response and no event, and it was the cause. Runs that were still
# queued, or had been answering for a while, were open by chance.
STARTED_WEIGHT = 2
# Milliseconds for which reports on a crash are collected before it is judged: routers
# send them every 50 ms, and a message takes some milliseconds.
REPORT_WINDOW_MS = 300
# If the processes of an upstream share one id, reports within this many milliseconds
# count as one crash: longer than routers take to notice a crash, and about as long as
# the upstream is down.
SAME_CRASH_MS = 2_000
# Separates the id of such an upstream from the time of its crash.
TIME_SEPARATOR = "#"
# Milliseconds for which a crash counts against a request. Callers retry a failed
# request within seconds to minutes, so a later one is not a retry.
BLAME_EXPIRY_MS = 600_000
# Duration of the first quarantine. It doubles each time the request is quarantined
# again: an upstream restarts within seconds, but deploying a fixed version takes longer
# than the first quarantine.
QUARANTINE_MS = 600_000
MAX_QUARANTINE_MS = 7_200_000
# Limits on the state; each entry takes some 300 bytes.
MAX_SUSPECTS = 400
MAX_CRASHES = 64
# Milliseconds for which a crash is kept for late reports.
LATE_REPORT_MS = 10_000


@attrs.define
class _Crash:
    """A crash of an upstream, with the runs that may have caused it.

    Attributes
    ----------
    judged_weight
        Weight of the runs that were blamed; None until the crash is judged.
    """

    at_ms: int
    progress_by_content: dict[str, Progress] = attrs.Factory(dict)
    judged_weight: int | None = None
    run_by_content: dict[str, BrokenRun] = attrs.Factory(dict)

    @property
    def possible_causes(self) -> list[BrokenRun]:
        """Return the runs that had begun; without any, the only one that waited.

        Those without any event come first. A run that waited is left out if it is
        reported again: other runs may have been at routers that have ended.
        """
        runs = list(self.run_by_content.values())
        begun = [run for run in runs if run.progress is Progress.BEGUN]
        begun += [run for run in runs if run.progress is Progress.ANSWERING]
        if begun or len(runs) > 1:
            return begun
        return [run for run in runs if not run.broke_ms]


class CrashAttribution:
    """Attribute upstream crashes to requests that were open during them.

    A crash is blamed on the runs with the greatest weight: a run that had just begun
    has more weight, and so has a request that was blamed for earlier crashes, or one
    with a prompt part that is suspected of them. If all
    weigh the same, all are blamed. A crash is blamed on nobody if a quarantined request
    was open there. A request is quarantined when it is blamed for
    ``CRASHES_TO_QUARANTINE`` crashes and was the only possible cause of at least one of
    them, or when it is blamed for ``AMBIGUOUS_CRASHES_TO_QUARANTINE`` crashes; and only
    if no other run is blamed for the latest crash.

    Times are milliseconds on the store's clock, which continues across restarts and is
    the same for all routers.

    Attributes
    ----------
    suspects_by_content
        Requests that are blamed for crashes.
    quarantined_by_content
        Requests that are not sent to any upstream.
    parts
        Attributes crashes to prompt parts. A crash under a request with quarantined
        parts is blamed on no request.
    has_unsaved_changes
        Whether the state has changes that are not in the store.

    Examples
    --------
    >>> attribution = CrashAttribution()
    >>> for number in range(3):
    ...     attribution.record_run(BrokenRun("q", f"e{number}", Progress.BEGUN), number)
    >>> [found.verdict.value for found in attribution.judge(REPORT_WINDOW_MS + 2)]
    ['blamed', 'blamed', 'quarantined']
    """

    def __init__(self) -> None:
        self.suspects_by_content: dict[str, Suspect] = {}
        self.quarantined_by_content: dict[str, QuarantineEntry] = {}
        self.parts = PartAttribution()
        self.has_unsaved_changes = False
        self._stored_contents: frozenset[str] = frozenset()
        self._crash_by_process: dict[str, _Crash] = {}

    @property
    def entries_by_id(self) -> dict[str, QuarantineEntry]:
        """Return all entries: requests by content, and prompt parts."""
        return {**self.quarantined_by_content, **self.parts.entries.by_id}

    def record_run(self, run: BrokenRun, now_ms: int) -> None:
        """Record a run that broke off when its upstream crashed."""
        process = run.process
        if not run.is_start_known:
            process = self._crash_key(run, now_ms)
        crash = self._crash_by_process.get(process)
        if crash is None:
            self._evict_oldest_crash()
            crash = self._crash_by_process[process] = _Crash(now_ms)
        known = crash.progress_by_content.get(run.content)
        if known is Progress.BEGUN:
            return
        crash.progress_by_content[run.content] = run.progress
        crash.run_by_content[run.content] = run
        if crash.judged_weight is not None:
            self.parts.record_crash(process, crash.possible_causes, now_ms)
        if (
            crash.judged_weight is not None
            and self._weight(run.content, run.progress) >= crash.judged_weight
        ):
            # A late report; blaming it in addition to the other runs does no harm.
            self._blame(run.content, process, now_ms, is_alone=False)

    def judge(self, now_ms: int) -> list[Finding]:
        """Judge the crashes whose reports are complete; return the findings."""
        findings = []
        for process, crash in self._crash_by_process.items():
            if crash.judged_weight is None and now_ms - crash.at_ms >= REPORT_WINDOW_MS:
                findings.extend(self._judge_crash(process, crash, now_ms))
        return findings

    def has_pending_crashes(self) -> bool:
        """Return whether any crash is still to be judged."""
        return any(
            crash.judged_weight is None for crash in self._crash_by_process.values()
        )

    def clear(self, content: str) -> bool:
        """Clear a request of blame and quarantine; return whether it had any."""
        suspect = self.suspects_by_content.pop(content, None)
        quarantined = self.quarantined_by_content.pop(content, None)
        for crash in self._crash_by_process.values():
            crash.progress_by_content.pop(content, None)
            crash.run_by_content.pop(content, None)
        if quarantined is None:
            quarantined = self.parts.entries.by_id.get(content)
            self.parts.remove(content)
        if quarantined is not None or (suspect is not None and _is_persisted(suspect)):
            self.has_unsaved_changes = True
        return suspect is not None or quarantined is not None

    def adopt_quarantine(self, quarantined: QuarantineEntry) -> bool:
        """Add an entry found by an earlier judge; return whether it is new."""
        if quarantined.parts:
            is_new = self.parts.entries.adopt(quarantined)
            self.has_unsaved_changes = self.has_unsaved_changes or is_new
            return is_new
        if quarantined.content in self.quarantined_by_content:
            return False
        self.suspects_by_content.pop(quarantined.content, None)
        self._add_quarantine(quarantined)
        self.has_unsaved_changes = True
        return True

    def merge_record(self, record: QuarantineRecord) -> None:
        """Merge the record in the store with entries that were never stored.

        Entries that were stored before and are now gone were released by someone else.
        """
        stored = record.contents
        for content in self._stored_contents - stored:
            self.quarantined_by_content.pop(content, None)
            self.suspects_by_content.pop(content, None)
            self.parts.remove(content)
        self._stored_contents = stored
        for quarantined in record.quarantined:
            if quarantined.parts:
                self.parts.entries.adopt(quarantined)
                continue
            known = self.quarantined_by_content.get(quarantined.content)
            if known is None or known.until_ms < quarantined.until_ms:
                self._add_quarantine(quarantined)
        for suspect in record.suspects:
            self._merge_suspect(suspect)

    def expire(self, now_ms: int) -> bool:
        """Remove expired state; return whether any of it is in the store.

        A request whose quarantine expires is quarantined again after one more crash.
        """
        expired = bool(self.parts.expire(now_ms))
        for content, quarantined in list(self.quarantined_by_content.items()):
            if now_ms >= quarantined.until_ms:
                del self.quarantined_by_content[content]
                self._restore_suspect(quarantined, now_ms)
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
        """Record what this router has written to the store."""
        self._stored_contents = record.contents

    def record(self) -> QuarantineRecord:
        """Return the state to be stored."""
        suspects = [s for s in self.suspects_by_content.values() if _is_persisted(s)]
        suspects.sort(key=lambda suspect: (len(suspect.ended), suspect.last_ms))
        return QuarantineRecord(
            tuple(self.entries_by_id.values()),
            tuple(suspects[-MAX_SUSPECTS_KEPT:]),
        )

    def _crash_key(self, run: BrokenRun, now_ms: int) -> str:
        """Return a key for one crash of an upstream whose processes share an id."""
        for name, crash in self._crash_by_process.items():
            if not name.startswith(f"{run.process}{TIME_SEPARATOR}"):
                continue
            # A run that was sent after a crash broke off in a later one.
            if run.began_ms <= crash.at_ms and now_ms - crash.at_ms < SAME_CRASH_MS:
                return name
        return f"{run.process}{TIME_SEPARATOR}{now_ms}"

    def _judge_crash(self, process: str, crash: _Crash, now_ms: int) -> list[Finding]:
        progress_by_content = crash.progress_by_content
        quarantined = progress_by_content.keys() & self.quarantined_by_content.keys()
        crash.judged_weight = 0
        self.parts.record_crash(process, crash.possible_causes, now_ms)
        is_explained = self.parts.is_explained(crash.possible_causes, now_ms)
        if quarantined or is_explained or not progress_by_content:
            # A request in quarantine was still open, which explains the crash.
            return []
        part_crashes = self._part_crashes(crash)
        weights = {
            content: self._weight(content, progress, part_crashes.get(content, 0))
            for content, progress in progress_by_content.items()
        }
        crash.judged_weight = max(weights.values())
        blamed = [
            content for content in weights if weights[content] == crash.judged_weight
        ]
        begun = [c for c, p in progress_by_content.items() if p is Progress.BEGUN]
        findings = []
        for content in blamed:
            others = begun if content in begun else list(progress_by_content)
            company = len(others) - 1
            self._blame(content, process, now_ms, is_alone=not company)
            findings.append(self._finding(content, process, company))
        if len(blamed) == 1 and self._is_proven(blamed[0]):
            findings[0] = self._quarantine(findings[0], now_ms)
        return findings

    def _part_crashes(self, crash: _Crash) -> dict[str, int]:
        """Return the crashes that each run's prompt parts may have caused.

        Parts that all of the runs have tell nothing about which run is the cause.
        """
        prompts_by_content = {
            run.content: run.prompt
            for run in crash.possible_causes
            if run.prompt is not None
        }
        if len(prompts_by_content) < 2:
            return {}
        prompts = list(prompts_by_content.values())
        shared = set.intersection(*(set(prompt.ids) for prompt in prompts))
        counts = self.parts.crash_counts(prompts[0].scope)
        return {
            content: max(
                (counts.get(part, 0) for part in prompt.ids if part not in shared),
                default=0,
            )
            for content, prompt in prompts_by_content.items()
        }

    def _weight(self, content: str, progress: Progress, part_crashes: int = 0) -> int:
        suspect = self.suspects_by_content.get(content)
        crashes = len(suspect.ended) if suspect is not None else 0
        earlier = max(crashes, part_crashes)
        return earlier + (STARTED_WEIGHT if progress is Progress.BEGUN else 0)

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
        # Re-inserted at the end: of the suspects with the fewest crashes, the one that
        # was blamed longest ago is evicted.
        self.suspects_by_content.pop(content, None)
        self.suspects_by_content[content] = suspect
        self.has_unsaved_changes = self.has_unsaved_changes or _is_persisted(suspect)
        if len(self.suspects_by_content) > MAX_SUSPECTS:
            evicted = min(self.suspects_by_content.values(), key=lambda s: len(s.ended))
            del self.suspects_by_content[evicted.content]

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
        crashes = len(self.suspects_by_content[content].ended)
        return Finding(Verdict.BLAMED, content, process, company, crashes)

    def _restore_suspect(self, quarantined: QuarantineEntry, now_ms: int) -> None:
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
        """Add an entry; if there are too many, drop the one that expires first."""
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
    """Return whether a suspect is worth storing.

    After a single crash, a suspect is most likely innocent. Such suspects are lost with
    the router that judged the crash, which costs at most one further crash.
    """
    return len(suspect.ended) > 1
