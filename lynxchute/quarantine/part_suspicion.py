"""Find the prompt parts that cause upstream crashes."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import attrs

from lynxchute.quarantine.evidence import BrokenRun
from lynxchute.quarantine.part_crashes import PartCrash, PartTally
from lynxchute.quarantine.part_entries import PartEntries
from lynxchute.quarantine.record import MAX_PARTS_TOGETHER, QuarantineEntry
from lynxchute.quarantine.served_parts import ANY_VERSION

# Number of crashes after which a part may be quarantined.
CRASHES_TO_QUARANTINE_PART = 4
# The same while no router may know of earlier crashes, of more than one request.
CRASHES_WITHOUT_HISTORY = 2
# The same for one of several parts that are quarantined together, or that have been
# quarantined before.
CRASHES_OF_KNOWN_PART = 2
# Number of crashes from which on routers are asked whether they served a part.
CRASHES_TO_SUSPECT = 2
# Expected number of sound parts that crash as often by chance, at most.
MAX_CHANCE = 1e-4
MAX_CHANCE_WITHOUT_HISTORY = 5e-3
# Crashes and served runs that the estimated share of crashes starts with.
PRIOR_CRASHES, PRIOR_SERVED = 0.5, 10.0
# Milliseconds over which that share is taken.
SHARE_WINDOW_MS = 10_000
# Milliseconds for which a served part is not suspected. Upstreams that lose power at
# the same moment run requests with popular parts, which are served until then.
SERVED_GRACE_MS = 2_000
# Milliseconds for which a crash counts against a part.
CRASH_EXPIRY_MS = 600_000
# Limits on the state.
MAX_CRASHES = 64
# Entries that are added at a time, so that the event loop is not held up.
MAX_ENTRIES_AT_ONCE = 4
MAX_SERVED = 4000
MAX_SUSPECTED = 200
MAX_RIVALS = 16


@attrs.frozen
class PartGroup:
    """Suspected parts at one service, model and software version.

    Attributes
    ----------
    since_ms
        Time from which on served runs are to be counted, on the store's clock.
    """

    scope: str
    version: str
    parts: tuple[str, ...]
    since_ms: int


@attrs.frozen
class UnprovenPart:
    """The likeliest part of a scope that is not quarantined, and why.

    Attributes
    ----------
    crashes, needed_crashes
        Its crashes, and the number that may prove it.
    chance, max_chance
        Expected number of sound parts that crash as often, and the largest one with
        which it is quarantined.
    served_runs
        Runs that all routers served in the last `SHARE_WINDOW_MS`.
    """

    scope: str
    part: str
    crashes: int
    needed_crashes: int
    chance: float
    max_chance: float
    served_runs: int


class PartAttribution:
    """Attribute upstream crashes to prompt parts that crash whatever runs them.

    A part is the cause if each run with it crashes its upstream, so a part that was
    served since its first crash is not. Of the other ones, the one with the most
    crashes is quarantined once these are too many for chance, given how many other runs
    crash. Parts that were present in the same crashes are quarantined together: only
    requests that have all of them are refused, until a crash or a served run shows
    which of them it is.

    Times are milliseconds on the store's clock.

    Attributes
    ----------
    entries
        Quarantined parts.
    crashes
        Number of recorded runs that may have caused a crash.
    lacks_history
        Whether no router may remember earlier crashes. Fewer crashes then prove a
        part, and one makes it suspected.
    unproven
        The likeliest part of each scope that the last judgement did not quarantine.

    Examples
    --------
    >>> from lynxchute.quarantine import Progress, PromptParts
    >>> attribution = PartAttribution()
    >>> for number in range(4):
    ...     prompt = PromptParts("pool m", "v1", "a", ("p",))
    ...     run = BrokenRun(f"q{number}", f"e{number}", Progress.BEGUN, prompt=prompt)
    ...     attribution.record_crash(run.process, [run], number)
    >>> [entry.parts for entry in attribution.quarantine_proven(4)]
    [('p',)]
    """

    def __init__(self) -> None:
        self.entries = PartEntries()
        self.crashes = 0
        self.lacks_history = False
        self.unproven: list[UnprovenPart] = []
        self._crash_by_process: OrderedDict[str, PartCrash] = OrderedDict()
        self._served_ms_by_part: OrderedDict[tuple[str, str, str], int] = OrderedDict()
        self._renewed: list[QuarantineEntry] = []
        self._served_runs_by_scope: dict[str, int] = {}

    # Evidence.

    def record_crash(
        self, process: str, runs: Iterable[BrokenRun], now_ms: int
    ) -> None:
        """Record the runs that may have caused a crash.

        An expired entry is renewed if a request that it refused is among them. An entry
        for one account holds for all once a request of another one is among them.
        """
        for run in runs:
            if run.prompt is None or not run.prompt.ids:
                continue
            at_ms = run.broke_at_ms(now_ms)
            crash = self._crash_by_process.get(process)
            if crash is None:
                crash = PartCrash(at_ms, run.prompt.scope, run.prompt.version)
                self._crash_by_process[process] = crash
            crash.at_ms = min(crash.at_ms, at_ms)
            if run.content not in crash.prompts_by_content:
                self.crashes += 1
            crash.add(run)
            self._renewed += self.entries.record_crash(run.prompt, now_ms)
        while len(self._crash_by_process) > MAX_CRASHES:
            self._crash_by_process.popitem(last=False)

    def record_served(
        self,
        scope: str,
        version: str,
        served_ms_by_part: Mapping[str, int],
        now_ms: int,
    ) -> tuple[list[str], list[QuarantineEntry]]:
        """Record when parts were last served.

        Returns
        -------
        list of str
            Ids of entries that are no longer valid.
        list of QuarantineEntry
            Entries with fewer parts that replace some of them.
        """
        for part, served_ms in served_ms_by_part.items():
            key = (scope, version, part)
            self._served_ms_by_part[key] = max(
                served_ms, self._served_ms_by_part.get(key, served_ms)
            )
            self._served_ms_by_part.move_to_end(key)
        while len(self._served_ms_by_part) > MAX_SERVED:
            self._served_ms_by_part.popitem(last=False)
        removed, added = self.entries.record_served(
            scope, version, served_ms_by_part, now_ms
        )
        for entry in removed:
            self._forget_crashes(entry)
        return [entry.content for entry in removed], added

    def record_served_runs(self, runs_by_scope: Mapping[str, int]) -> None:
        """Record how many runs all routers served in the last `SHARE_WINDOW_MS`."""
        self._served_runs_by_scope = dict(runs_by_scope)

    # Findings.

    def suspected(self, now_ms: int) -> list[PartGroup]:
        """Return the parts of several crashes that were not served since.

        Each is asked for at the versions that crashed, and at any.
        """
        groups = []
        for scope in self._scopes():
            known = self.entries.known_parts(scope)
            tallies = [
                tally
                for tally in self._tallies(scope, self._explained(scope, now_ms))
                if self._is_suspected(tally, known)
            ]
            tallies.sort(key=lambda tally: -tally.count)
            parts = tuple(tally.part for tally in tallies[:MAX_SUSPECTED])
            if not parts:
                continue
            since_ms = now_ms - SHARE_WINDOW_MS
            for version in dict.fromkeys([*self._versions(scope), ANY_VERSION]):
                groups.append(PartGroup(scope, version, parts, since_ms))
        return groups

    def take_renewed(self) -> list[QuarantineEntry]:
        """Return the entries that were renewed since the last call."""
        renewed, self._renewed = self._renewed, []
        return renewed

    def quarantine_proven(self, now_ms: int) -> list[QuarantineEntry]:
        """Quarantine the parts that are proven to crash upstreams; return the new ones.

        Routers should have been asked before which of them they have served.
        """
        new = []
        self.unproven = []
        for scope in self._scopes():
            for _ in range(MAX_ENTRIES_AT_ONCE):
                explained = self._explained(scope, now_ms)
                tallies = self._tallies(scope, explained)
                if not tallies:
                    break
                known = self.entries.known_parts(scope)
                best = self._likeliest(tallies, known)
                needed = self._needed_crashes(best, known)
                chance = self._chance(scope, best, explained, now_ms)
                is_chance = best.part not in known and chance >= self._max_chance
                if best.count < needed or is_chance:
                    self._record_unproven(scope, best, needed, chance)
                    break
                new.append(self._quarantine(scope, best, tallies, now_ms))
        return new

    def _record_unproven(
        self, scope: str, tally: PartTally, needed: int, chance: float
    ) -> None:
        served = self._served_runs_by_scope.get(scope, 0)
        self.unproven.append(
            UnprovenPart(
                scope,
                tally.part,
                tally.count,
                needed,
                chance,
                self._max_chance,
                served,
            )
        )

    def expire(self, now_ms: int) -> list[str]:
        """Remove expired state; return the ids of the entries that are removed."""
        for process, crash in list(self._crash_by_process.items()):
            if now_ms - crash.at_ms >= CRASH_EXPIRY_MS:
                del self._crash_by_process[process]
        removed = self.entries.expire(now_ms)
        for entry in removed:
            self._forget_crashes(entry)
        return [entry.content for entry in removed]

    def remove(self, entry_id: str) -> None:
        """Remove an entry, with the crashes that it was based on."""
        entry = self.entries.by_id.pop(entry_id, None)
        if entry is not None:
            self._forget_crashes(entry)

    def crashed_processes(self, entry: QuarantineEntry) -> list[str]:
        """Return the processes that crashed under requests with an entry's parts."""
        return [
            process
            for process, crash in self._crash_by_process.items()
            if any(
                entry.matches(prompt) for prompt in crash.prompts_by_content.values()
            )
        ]

    def is_explained(self, runs: Iterable[BrokenRun], now_ms: int) -> bool:
        """Return whether one of the runs has parts that are in quarantine."""
        return any(
            run.prompt is not None and self.entries.refuses(run.prompt, now_ms)
            for run in runs
        )

    def crash_counts(self, scope: str) -> dict[str, int]:
        """Return the crashes of each part that several requests had, unserved since."""
        return {
            tally.part: tally.count
            for tally in self._tallies(scope, set())
            if tally.is_of_several_requests
        }

    # Internals.

    def _forget_crashes(self, entry: QuarantineEntry) -> None:
        for process in self.crashed_processes(entry):
            del self._crash_by_process[process]

    def _scopes(self) -> list[str]:
        return list(dict.fromkeys(c.scope for c in self._crash_by_process.values()))

    def _versions(self, scope: str) -> list[str]:
        """Return the software versions that crashed."""
        crashes = self._crash_by_process.values()
        return list(dict.fromkeys(c.version for c in crashes if c.scope == scope))

    def _explained(self, scope: str, now_ms: int) -> set[str]:
        """Return the processes that crashed under a request in quarantine."""
        return {
            process
            for process, crash in self._crash_by_process.items()
            if crash.scope == scope
            and any(
                self.entries.refuses(prompt, now_ms)
                for prompt in crash.prompts_by_content.values()
            )
        }

    def _tallies(self, scope: str, explained: set[str]) -> list[PartTally]:
        """Count the unexplained crashes of each part that was not served since.

        A part that is in most requests is in most crashes, whatever their cause. If it
        was served or answered somewhere since its first crash, crashes that a part of
        other requests explains do not count, provided that nobody was served or
        answered with that one. One crash under a part that is or was in quarantine is
        enough for that.
        """
        tallies = self._count_crashes(scope, explained)
        known = self.entries.known_parts(scope)
        several = [
            tally
            for tally in tallies
            if tally.count >= CRASHES_TO_SUSPECT or tally.part in known
        ]
        working = {tally.part for tally in several if tally.is_known_to_work}
        rivals = [tally for tally in several if tally.part not in working]
        if not working or not rivals:
            return tallies
        rivals.sort(key=lambda tally: (-tally.count, tally.part))
        explained_by_rival = [
            (set.intersection(*self._prompts_with(rival)), rival.processes)
            for rival in rivals[:MAX_RIVALS]
        ]
        remaining = []
        for tally in tallies:
            if tally.part not in working:
                remaining.append(tally)
                continue
            others: set[str] = set()
            for common, processes in explained_by_rival:
                if tally.part not in common:
                    others |= processes
            if tally.processes <= others:
                continue
            remaining.append(self._without_crashes(tally, others))
        return remaining

    def _without_crashes(self, tally: PartTally, processes: set[str]) -> PartTally:
        """Return a tally without the crashes of some processes."""
        if tally.processes.isdisjoint(processes):
            return tally
        rest = PartTally(tally.part)
        for process, crash in self._crash_by_process.items():
            if process in tally.processes and process not in processes:
                rest.add(process, crash)
        return rest

    def _prompts_with(self, tally: PartTally) -> list[set[str]]:
        """Return the parts of each request with a part that was open in its crashes."""
        return [
            set(prompt.ids)
            for process in tally.processes
            for prompt in self._crash_by_process[process].prompts_by_content.values()
            if tally.part in prompt.ids
        ]

    def _count_crashes(self, scope: str, explained: set[str]) -> list[PartTally]:
        """Count the unexplained crashes of each part after it was last served."""
        crashes_by_part: dict[str, dict[str, PartCrash]] = {}
        for process, crash in self._crash_by_process.items():
            if crash.scope != scope or process in explained:
                continue
            for part in crash.contents_by_part:
                served_ms = self._served_ms_by_part.get((scope, crash.version, part))
                if served_ms is not None and crash.at_ms <= served_ms + SERVED_GRACE_MS:
                    continue
                crashes_by_part.setdefault(part, {})[process] = crash
        versions = {*self._versions(scope), ANY_VERSION}
        answered = self._answered_parts(scope)
        return [
            self._tally(scope, part, crashes, versions, is_answered=part in answered)
            for part, crashes in crashes_by_part.items()
        ]

    def _answered_parts(self, scope: str) -> set[str]:
        """Return the parts that had brought events, in explained crashes too."""
        answered: set[str] = set()
        for crash in self._crash_by_process.values():
            if crash.scope == scope:
                answered |= crash.answered_parts
        return answered

    def _tally(
        self,
        scope: str,
        part: str,
        crashes: Mapping[str, PartCrash],
        versions: Iterable[str],
        *,
        is_answered: bool,
    ) -> PartTally:
        """Count the crashes of a part since its last service, or of one version."""
        served_ms = max(
            self._served_ms_by_part.get((scope, version, part), 0)
            for version in versions
        )
        recent = PartTally(part)
        by_version: dict[str, PartTally] = {}
        for process, crash in crashes.items():
            if crash.at_ms > served_ms + SERVED_GRACE_MS:
                recent.add(process, crash)
            by_version.setdefault(crash.version, PartTally(part)).add(process, crash)
        tallies = [*by_version.values()]
        if recent.processes:
            tallies.insert(0, recent)
        best = max(tallies, key=lambda tally: tally.count)
        best.not_counted = set(crashes) - best.processes
        best.is_known_to_work = is_answered or any(
            crash.at_ms < served_ms for crash in crashes.values()
        )
        return best

    @property
    def _max_chance(self) -> float:
        return MAX_CHANCE_WITHOUT_HISTORY if self.lacks_history else MAX_CHANCE

    def _chance(
        self,
        scope: str,
        tally: PartTally,
        explained: set[str],
        now_ms: int,
    ) -> float:
        """Return the expected number of sound parts that crash as often by chance."""
        other_crashes = sum(
            process not in explained
            and process not in tally.processes
            and process not in tally.not_counted
            and crash.scope == scope
            and now_ms - crash.at_ms < SHARE_WINDOW_MS
            for process, crash in self._crash_by_process.items()
        )
        served = self._served_runs_by_scope.get(scope, 0)
        if len(self._crash_by_process) == MAX_CRASHES:
            # Only crashes of a shorter time are kept.
            oldest_ms = min(crash.at_ms for crash in self._crash_by_process.values())
            kept_ms = min(now_ms - oldest_ms, SHARE_WINDOW_MS)
            served = served * kept_ms // SHARE_WINDOW_MS
        runs = served + other_crashes + PRIOR_SERVED
        crash_share = min((other_crashes + PRIOR_CRASHES) / runs, 1.0)
        # The expected number of times that as many runs in a row crash by chance.
        return (served + other_crashes + tally.count) * crash_share**tally.count

    def _quarantine(
        self,
        scope: str,
        best: PartTally,
        tallies: list[PartTally],
        now_ms: int,
    ) -> QuarantineEntry:
        """Quarantine a part, with those that may be the cause in its place."""
        known = self.entries.known_parts(scope)
        if best.part in known:
            # Few crashes are enough, in which parts of no interest come along.
            tallies = [tally for tally in tallies if tally.part in known]
        parts = self._alternatives(best, tallies)
        accounts = set(best.accounts)
        times = 0
        for entry in self.entries.by_id.values():
            if entry.scope == scope and set(parts) <= set(entry.parts):
                accounts.update(entry.accounts)
                times = max(times, entry.times - 1)
        times = max(times, *(self.entries.past_times(scope, part) for part in parts))
        entry = QuarantineEntry(
            "",
            best.first_ms,
            now_ms,
            parts=tuple(parts),
            scope=scope,
            version=best.last_version,
            # Requests of several accounts crash upstreams, so it is not the account.
            accounts=tuple(accounts) if len(accounts) == 1 else (),
        )
        return self.entries.put(entry, now_ms, times=times + 1)

    def _alternatives(self, best: PartTally, tallies: list[PartTally]) -> list[str]:
        """Return a part and those that explain nearly as many of the same crashes."""
        prompts = self._prompts_with(best)
        together = set.intersection(*prompts)
        parts = [best.part]
        for tally in sorted(tallies, key=lambda tally: -tally.count):
            if tally.part == best.part or len(parts) == MAX_PARTS_TOGETHER:
                continue
            is_rival = tally.count >= max(best.count - 1, CRASHES_TO_SUSPECT)
            shared = len(tally.processes & best.processes)
            if tally.part not in together and (
                not is_rival or 2 * shared < len(best.processes)
            ):
                continue
            candidate = {*parts, tally.part}
            if any(candidate <= ids for ids in prompts):
                parts.append(tally.part)
        return parts

    def _needed_crashes(self, tally: PartTally, known: set[str]) -> int:
        """Return the number of crashes that prove a part.

        Parameters
        ----------
        known
            Parts that are or were in quarantine.
        """
        if tally.part in known:
            return CRASHES_OF_KNOWN_PART
        if self.lacks_history and tally.is_of_several_requests:
            return CRASHES_WITHOUT_HISTORY
        return CRASHES_TO_QUARANTINE_PART

    def _likeliest(self, tallies: list[PartTally], known: set[str]) -> PartTally:
        """Return the part with the most crashes beyond those that are needed."""

        def rank(tally: PartTally) -> tuple[int, int, str]:
            extra = tally.count - self._needed_crashes(tally, known)
            return extra, tally.count, tally.part

        return max(tallies, key=rank)

    def _is_suspected(self, tally: PartTally, known: set[str]) -> bool:
        if self.lacks_history:
            return True
        if tally.count >= CRASHES_TO_SUSPECT and tally.is_of_several_requests:
            return True
        return tally.part in known and tally.count >= CRASHES_OF_KNOWN_PART
