"""Find the prompt parts that cause upstream crashes."""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping

import attrs

from lynxchute.quarantine.evidence import BrokenRun
from lynxchute.quarantine.prompt import PromptParts
from lynxchute.quarantine.record import (
    MAX_PART_ENTRIES,
    MAX_PARTS_TOGETHER,
    QuarantineEntry,
)

# Number of crashes after which a part may be quarantined.
CRASHES_TO_QUARANTINE_PART = 4
# The same for one of several parts that are quarantined together, or that have been
# quarantined before.
CRASHES_OF_KNOWN_PART = 2
# Number of crashes from which on routers are asked whether they served a part.
CRASHES_TO_SUSPECT = 2
# Most crashes under one request that count against a part: a request that crashes
# upstreams by itself has parts too.
MAX_CRASHES_PER_REQUEST = 2
# Expected number of sound parts that crash as often by chance, at most.
MAX_CHANCE = 1e-3
# Crashes and served runs that the estimated share of crashes starts with.
PRIOR_CRASHES, PRIOR_SERVED = 0.5, 10.0
# Milliseconds over which that share is taken.
SHARE_WINDOW_MS = 10_000
# Milliseconds for which a served part is not suspected. Upstreams that lose power at
# the same moment run requests with popular parts, which are served until then.
SERVED_GRACE_MS = 2_000
# Milliseconds for which a crash counts against a part.
CRASH_EXPIRY_MS = 600_000
# Duration of the first quarantine of a part, factor for each further one, and limit.
PART_QUARANTINE_MS = 60_000
QUARANTINE_GROWTH = 4
MAX_PART_QUARANTINE_MS = 7_200_000
# Limits on the state.
MAX_CRASHES = 64
MAX_RUNS_PER_CRASH = 8
# Entries that are added at a time, so that the event loop is not held up.
MAX_ENTRIES_AT_ONCE = 4
MAX_SERVED = 4000
MAX_SUSPECTED = 200
MAX_PAST = 200
KEY_BYTES = 8


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


@attrs.define
class _Crash:
    at_ms: int
    scope: str
    version: str
    prompts_by_content: dict[str, PromptParts] = attrs.Factory(dict)
    contents_by_part: dict[str, set[str]] = attrs.Factory(dict)

    def add(self, run: BrokenRun) -> None:
        """Add a run that may have caused it."""
        if run.prompt is None or len(self.prompts_by_content) >= MAX_RUNS_PER_CRASH:
            return
        self.prompts_by_content[run.content] = run.prompt
        for part in run.prompt.ids:
            self.contents_by_part.setdefault(part, set()).add(run.content)


@attrs.define
class _Tally:
    """The crashes of one part that nothing else explains."""

    part: str
    processes: set[str] = attrs.Factory(set)
    accounts: set[str] = attrs.Factory(set)
    first_ms: int = 0
    crashes_by_content: Counter[str] = attrs.Factory(Counter)

    def add(self, process: str, crash: _Crash) -> None:
        """Add a crash under requests with the part."""
        if not self.processes:
            self.first_ms = crash.at_ms
        self.processes.add(process)
        for content in crash.contents_by_part[self.part]:
            self.accounts.add(crash.prompts_by_content[content].account)
            self.crashes_by_content[content] += 1

    @property
    def _most_of_one_request(self) -> int:
        return max(self.crashes_by_content.values())

    @property
    def is_of_several_requests(self) -> bool:
        """Return whether no single request was open in all of the crashes."""
        return self._most_of_one_request < len(self.processes)

    @property
    def count(self) -> int:
        """Return the number of crashes that count against the part."""
        most = self._most_of_one_request
        return len(self.processes) - most + min(most, MAX_CRASHES_PER_REQUEST)


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
    entries_by_id
        Quarantined parts.
    crashes
        Number of recorded runs that may have caused a crash.

    Examples
    --------
    >>> from lynxchute.quarantine import Progress
    >>> attribution = PartAttribution()
    >>> for number in range(4):
    ...     prompt = PromptParts("pool m", "v1", "a", ("p",))
    ...     run = BrokenRun(f"q{number}", f"e{number}", Progress.BEGUN, prompt=prompt)
    ...     attribution.record_crash(run.process, [run], number)
    >>> [entry.parts for entry in attribution.quarantine_proven(4)]
    [('p',)]
    """

    def __init__(self) -> None:
        self.entries_by_id: dict[str, QuarantineEntry] = {}
        self.crashes = 0
        self._crash_by_process: OrderedDict[str, _Crash] = OrderedDict()
        self._served_ms_by_part: OrderedDict[tuple[str, str, str], int] = OrderedDict()
        self._renewed: list[QuarantineEntry] = []
        self._served_runs: dict[tuple[str, str], int] = {}
        self._past_times: OrderedDict[tuple[str, str], int] = OrderedDict()

    # Evidence.

    def record_crash(
        self, process: str, runs: Iterable[BrokenRun], now_ms: int
    ) -> None:
        """Record the runs that may have caused a crash.

        An expired entry is renewed if a request that it refused is among them.
        """
        for run in runs:
            if run.prompt is None or not run.prompt.ids:
                continue
            crash = self._crash_by_process.get(process)
            if crash is None:
                crash = _Crash(now_ms, run.prompt.scope, run.prompt.version)
                self._crash_by_process[process] = crash
            if run.content not in crash.prompts_by_content:
                self.crashes += 1
            crash.add(run)
            for entry in list(self.entries_by_id.values()):
                if now_ms >= entry.until_ms and entry.matches(run.prompt):
                    self._renewed.append(self._put(entry, now_ms, entry.times + 1))
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
        removed, added = [], []
        for entry in list(self.entries_by_id.values()):
            is_trial = now_ms >= entry.until_ms
            if entry.scope != scope or (entry.version != version and not is_trial):
                continue
            since_ms = entry.until_ms if is_trial else entry.since_ms
            rest = tuple(
                part
                for part in entry.parts
                if served_ms_by_part.get(part, since_ms) <= since_ms
            )
            if rest == entry.parts:
                continue
            removed.append(entry.content)
            self.remove(entry.content)
            if rest:
                entry = attrs.evolve(entry, parts=rest, content=_entry_id(entry, rest))
                self._add(entry)
                added.append(entry)
        return removed, added

    def record_served_runs(self, scope: str, version: str, runs: int) -> None:
        """Record how many runs all routers served in the last `SHARE_WINDOW_MS`."""
        self._served_runs[(scope, version)] = runs

    # Findings.

    def suspected(self, now_ms: int) -> list[PartGroup]:
        """Return the parts of several crashes that were not served since."""
        groups = []
        for scope, version in self._places():
            explained = self._explained(scope, version, now_ms)
            known = self._accounts_by_known_part(scope)
            tallies = [
                tally
                for tally in self._tallies(scope, version, explained)
                if _is_suspected(tally, known)
            ]
            tallies.sort(key=lambda tally: -tally.count)
            parts = tuple(tally.part for tally in tallies[:MAX_SUSPECTED])
            if parts:
                since_ms = now_ms - SHARE_WINDOW_MS
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
        for scope, version in self._places():
            for _ in range(MAX_ENTRIES_AT_ONCE):
                explained = self._explained(scope, version, now_ms)
                tallies = self._tallies(scope, version, explained)
                if not tallies:
                    break
                known = self._accounts_by_known_part(scope)
                best = _likeliest(tallies, known)
                # Crashes under another likely cause say nothing about chance.
                for tally in tallies:
                    if tally.count >= CRASHES_TO_QUARANTINE_PART:
                        explained = explained | (tally.processes - best.processes)
                needed = _needed_crashes(best, known)
                if best.count < needed:
                    break
                if needed == CRASHES_TO_QUARANTINE_PART and self._may_be_chance(
                    scope, version, best, explained, now_ms
                ):
                    break
                new.append(self._quarantine(scope, version, best, tallies, now_ms))
        return new

    def expire(self, now_ms: int) -> list[str]:
        """Remove expired state; return the ids of the entries that are removed."""
        for process, crash in list(self._crash_by_process.items()):
            if now_ms - crash.at_ms >= CRASH_EXPIRY_MS:
                del self._crash_by_process[process]
        removed = [
            entry.content
            for entry in self.entries_by_id.values()
            if now_ms >= entry.removed_ms
        ]
        for entry_id in removed:
            entry = self.entries_by_id[entry_id]
            for part in entry.parts:
                self._past_times[(entry.scope, part)] = entry.times
                self._past_times.move_to_end((entry.scope, part))
            self.remove(entry_id)
        while len(self._past_times) > MAX_PAST:
            self._past_times.popitem(last=False)
        return removed

    def remove(self, entry_id: str) -> None:
        """Remove an entry, with the crashes that it was based on."""
        entry = self.entries_by_id.pop(entry_id, None)
        if entry is None:
            return
        for process, crash in list(self._crash_by_process.items()):
            prompts = crash.prompts_by_content.values()
            if any(entry.matches(prompt) for prompt in prompts):
                del self._crash_by_process[process]

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
            run.prompt is not None and self._is_refused(run.prompt, now_ms)
            for run in runs
        )

    # Internals.

    def _places(self) -> list[tuple[str, str]]:
        return list(
            dict.fromkeys((c.scope, c.version) for c in self._crash_by_process.values())
        )

    def _is_refused(self, prompt: PromptParts, now_ms: int) -> bool:
        return any(
            now_ms < entry.until_ms and entry.matches(prompt)
            for entry in self.entries_by_id.values()
        )

    def _explained(self, scope: str, version: str, now_ms: int) -> set[str]:
        """Return the processes that crashed under a request in quarantine."""
        return {
            process
            for process, crash in self._crash_by_process.items()
            if crash.scope == scope
            and crash.version == version
            and any(
                self._is_refused(prompt, now_ms)
                for prompt in crash.prompts_by_content.values()
            )
        }

    def _tallies(self, scope: str, version: str, explained: set[str]) -> list[_Tally]:
        """Count the unexplained crashes of each part that was not served since."""
        tallies_by_part: dict[str, _Tally] = {}
        for process, crash in self._crash_by_process.items():
            if (crash.scope, crash.version) != (scope, version) or process in explained:
                continue
            for part in crash.contents_by_part:
                served_ms = self._served_ms_by_part.get((scope, version, part))
                if served_ms is not None and crash.at_ms <= served_ms + SERVED_GRACE_MS:
                    continue
                tally = tallies_by_part.setdefault(part, _Tally(part))
                tally.add(process, crash)
        return list(tallies_by_part.values())

    def _accounts_by_known_part(self, scope: str) -> dict[str, set[str] | None]:
        """Return the accounts that each known part is refused for; None for all."""
        accounts_by_part: dict[str, set[str] | None] = {
            part: None for place, part in self._past_times if place == scope
        }
        for entry in self.entries_by_id.values():
            if entry.scope == scope:
                accounts = set(entry.accounts) or None
                accounts_by_part.update(dict.fromkeys(entry.parts, accounts))
        return accounts_by_part

    def _may_be_chance(
        self,
        scope: str,
        version: str,
        tally: _Tally,
        explained: set[str],
        now_ms: int,
    ) -> bool:
        """Return whether so many crashes of a sound part are likely enough."""
        other_crashes = sum(
            process not in explained
            and process not in tally.processes
            and (crash.scope, crash.version) == (scope, version)
            and now_ms - crash.at_ms < SHARE_WINDOW_MS
            for process, crash in self._crash_by_process.items()
        )
        served = self._served_runs.get((scope, version), 0)
        runs = served + other_crashes + PRIOR_SERVED
        crash_share = min((other_crashes + PRIOR_CRASHES) / runs, 1.0)
        # The expected number of times that as many runs in a row crash by chance.
        chance = (served + other_crashes + tally.count) * crash_share**tally.count
        return chance >= MAX_CHANCE

    def _quarantine(
        self,
        scope: str,
        version: str,
        best: _Tally,
        tallies: list[_Tally],
        now_ms: int,
    ) -> QuarantineEntry:
        """Quarantine a part, with those that may be the cause in its place."""
        known = self._accounts_by_known_part(scope)
        if best.part in known:
            # Few crashes are enough, in which parts of no interest come along.
            tallies = [tally for tally in tallies if tally.part in known]
        parts = self._alternatives(best, tallies)
        accounts = set(best.accounts)
        times = 0
        for entry in self.entries_by_id.values():
            if entry.scope == scope and set(parts) <= set(entry.parts):
                accounts.update(entry.accounts)
                times = max(times, entry.times - 1)
        times = max(times, *(self._past_times.get((scope, p), 0) for p in parts))
        entry = QuarantineEntry(
            "",
            best.first_ms,
            now_ms,
            parts=tuple(parts),
            scope=scope,
            version=version,
            # Requests of several accounts crash upstreams, so it is not the account.
            accounts=tuple(accounts) if len(accounts) == 1 else (),
        )
        return self._put(entry, now_ms, times + 1)

    def adopt(self, entry: QuarantineEntry) -> bool:
        """Add an entry of another judge; return whether it lasts longer."""
        known = self.entries_by_id.get(entry.content)
        if known is not None and known.until_ms >= entry.until_ms:
            return False
        self._add(entry)
        return True

    def _add(self, entry: QuarantineEntry) -> None:
        """Add an entry; if there are too many, drop the one that expires first."""
        others = [e for e in self.entries_by_id.values() if e.content != entry.content]
        if len(others) >= MAX_PART_ENTRIES:
            soonest = min(others, key=lambda item: item.until_ms)
            del self.entries_by_id[soonest.content]
        self.entries_by_id[entry.content] = entry

    def _alternatives(self, best: _Tally, tallies: list[_Tally]) -> list[str]:
        """Return a part and those that explain nearly as many of the same crashes."""
        prompts = [
            set(prompt.ids)
            for process in best.processes
            for prompt in self._crash_by_process[process].prompts_by_content.values()
            if best.part in prompt.ids
        ]
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

    def _put(self, entry: QuarantineEntry, now_ms: int, times: int) -> QuarantineEntry:
        lasts_ms = PART_QUARANTINE_MS * QUARANTINE_GROWTH ** min(times - 1, 8)
        entry = attrs.evolve(
            entry,
            content=_entry_id(entry, entry.parts),
            until_ms=now_ms + min(lasts_ms, MAX_PART_QUARANTINE_MS),
            times=times,
        )
        self._add(entry)
        return entry


def _needed_crashes(tally: _Tally, known: Mapping[str, set[str] | None]) -> int:
    """Return the number of crashes that prove a part.

    Parameters
    ----------
    known
        Parts that are or were in quarantine, with the accounts that they are refused
        for; None for all.
    """
    if tally.part not in known:
        return CRASHES_TO_QUARANTINE_PART
    accounts = known[tally.part]
    if accounts is not None and not tally.accounts <= accounts:
        # Requests of another account crash upstreams too.
        return 1
    return CRASHES_OF_KNOWN_PART


def _likeliest(tallies: list[_Tally], known: Mapping[str, set[str] | None]) -> _Tally:
    """Return the part with the most crashes beyond those that are needed."""

    def rank(tally: _Tally) -> tuple[int, int, str]:
        return tally.count - _needed_crashes(tally, known), tally.count, tally.part

    return max(tallies, key=rank)


def _is_suspected(tally: _Tally, known: Mapping[str, set[str] | None]) -> bool:
    if tally.count >= CRASHES_TO_SUSPECT and tally.is_of_several_requests:
        return True
    needed = _needed_crashes(tally, known)
    return needed < CRASHES_TO_QUARANTINE_PART and tally.count >= needed


def _entry_id(entry: QuarantineEntry, parts: Iterable[str]) -> str:
    name = "\n".join([entry.scope, entry.version, *sorted(parts)])
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_BYTES)
    return f"part-{digest.hexdigest()}"
