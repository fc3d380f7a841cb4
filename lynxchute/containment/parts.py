"""What this router knows of prompt parts that may crash upstreams."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from lynxchute.fleet.members import Members
from lynxchute.fleet.quarantine_messages import PartsServed
from lynxchute.quarantine import (
    PartGroup,
    PromptParts,
    Quarantine,
    QuarantineEntry,
    ServedParts,
)
from lynxchute.quarantine.part_suspicion import SERVED_GRACE_MS
from lynxchute.quarantine.served_parts import ANY_VERSION
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import CRASH_WINDOW_SECONDS, OpenSend

# Seconds for which requests with a suspected part are not sent again after a crash.
SUSPECTED_SECONDS = 30.0
MAX_SUSPECTED = 1000
# Seconds after which the next trial of expired parts may begin if the result of the
# last one is not known.
TRIAL_SECONDS = 10.0
# Retry-After of other requests with those parts, in seconds.
TRIAL_RETRY_AFTER = 1.0


class PartWatch:
    """Tracks served and suspected prompt parts, and refuses quarantined ones.

    Parameters
    ----------
    members
        The routers; the owner of an expired entry is the one that tries it.
    directory
        The upstreams and their open sends.
    quarantine
        The entries of parts.
    now_ms
        The store's clock in milliseconds.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        members: Members,
        directory: Directory,
        quarantine: Quarantine,
        now_ms: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._members = members
        self._directory = directory
        self._quarantine = quarantine
        self._now_ms = now_ms
        self._clock = clock
        self._served = ServedParts()
        self._suspected_until: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._trial_began_at: dict[str, float] = {}

    # Served parts.

    def record_served(self, send: OpenSend) -> PartsServed | None:
        """Record a run that did not crash its upstream.

        Returns
        -------
        PartsServed or None
            What the judge has to know, because some of the parts are in quarantine.
        """
        prompt = send.prompt
        if prompt is None or not prompt.ids:
            return None
        served_ms = self._served_ms(send)
        self._served.record_served(prompt, served_ms)
        if self._suspected_until:
            for part in prompt.ids:
                self._suspected_until.pop((prompt.scope, part), None)
        watched = self._watched(prompt)
        if not watched:
            return None
        return PartsServed(
            prompt.scope, prompt.version, dict.fromkeys(watched, served_ms)
        )

    def without_served(self, prompt: PromptParts) -> PromptParts:
        """Return a prompt without the parts that were served just now."""
        oldest_ms = self._now_ms() - SERVED_GRACE_MS
        ids = tuple(
            part
            for part in prompt.ids
            if (self._served.last_ms(prompt.scope, prompt.version, part) or 0)
            < oldest_ms
        )
        return attrs.evolve(prompt, ids=ids)

    def report(self, groups: Iterable[PartGroup]) -> tuple[PartsServed, ...]:
        """Return when this router has last served each of the parts."""
        open_ms = self._open_served_ms()
        reports = []
        for group in groups:
            at_ms: dict[str, int] = {}
            for part in group.parts:
                last_ms = self._served.last_ms(group.scope, group.version, part)
                running_ms = open_ms.get((group.scope, group.version, part))
                known = [ms for ms in (last_ms, running_ms) if ms is not None]
                if known:
                    at_ms[part] = max(known)
            runs = self._served.count_since(group.scope, group.version, group.since_ms)
            reports.append(PartsServed(group.scope, group.version, at_ms, runs))
        return tuple(reports)

    def served_since(self, entry: QuarantineEntry) -> PartsServed | None:
        """Return the parts of an entry that were served after their first crash."""
        group = PartGroup(entry.scope, entry.version, entry.parts, entry.since_ms)
        (report,) = self.report([group])
        at_ms = {part: ms for part, ms in report.at_ms.items() if ms > entry.since_ms}
        return attrs.evolve(report, at_ms=at_ms) if at_ms else None

    # Suspected and quarantined parts.

    def suspect(self, groups: Iterable[PartGroup]) -> None:
        """Record parts whose requests are not sent again after a crash."""
        until = self._clock() + SUSPECTED_SECONDS
        for group in groups:
            for part in group.parts:
                self._suspected_until[(group.scope, part)] = until
                self._suspected_until.move_to_end((group.scope, part))
        while len(self._suspected_until) > MAX_SUSPECTED:
            self._suspected_until.popitem(last=False)

    @property
    def has_suspected(self) -> bool:
        """Return whether any part is or was suspected."""
        return bool(self._suspected_until)

    def is_suspected(self, prompt: PromptParts) -> bool:
        """Return whether a part of a prompt may have crashed upstreams."""
        now = self._clock()
        return any(
            self._suspected_until.get((prompt.scope, part), 0.0) > now
            for part in prompt.ids
        )

    def seconds_refused(self, prompt: PromptParts) -> float | None:
        """Return for how long a request is refused; None if it may be sent."""
        entry = self._quarantine.find_parts(prompt)
        if entry is None:
            return None
        left_ms = entry.until_ms - self._now_ms()
        if left_ms > 0:
            return left_ms / 1000.0
        if self._now_ms() >= entry.removed_ms:
            self._quarantine.expire_parts(self._now_ms())
            return None
        tried_at = self._trial_began_at.get(entry.content, -TRIAL_SECONDS)
        is_owner = self._members.owner_of_key(entry.content) == self._members.own.vm
        if is_owner and self._clock() - tried_at >= TRIAL_SECONDS:
            return None
        return TRIAL_RETRY_AFTER

    def record_send(self, prompt: PromptParts) -> str:
        """Record a send; return the id of the entry that it tries, if any."""
        entry = self._quarantine.find_parts(prompt)
        if entry is None:
            return ""
        began_at = {
            entry_id: time
            for entry_id, time in self._trial_began_at.items()
            if entry_id in self._quarantine.by_content
        }
        self._trial_began_at = {**began_at, entry.content: self._clock()}
        return entry.content

    # Internals.

    def _watched(self, prompt: PromptParts) -> list[str]:
        parts = {
            part
            for entry in self._quarantine.part_entries
            if entry.scope == prompt.scope
            for part in entry.parts
        }
        return [part for part in prompt.ids if part in parts]

    def _served_ms(self, send: OpenSend) -> int:
        """Return when a run was known not to crash its upstream, in milliseconds."""
        if send.answering_since is None:
            return self._now_ms()
        ran = self._clock() - send.answering_since - CRASH_WINDOW_SECONDS
        return self._now_ms() - int(max(ran, 0.0) * 1000)

    def _open_served_ms(self) -> dict[tuple[str, str, str], int]:
        """Return when each part was last served by a run that has not ended."""
        at_ms: dict[tuple[str, str, str], int] = {}
        now = self._clock()
        for entry in self._directory.entries_by_id.values():
            for send in entry.open_sends:
                prompt = send.prompt
                if prompt is None or not send.is_past_crash_window(now):
                    continue
                served_ms = self._served_ms(send)
                for part in prompt.ids:
                    for version in {prompt.version, ANY_VERSION}:
                        key = (prompt.scope, version, part)
                        at_ms[key] = max(served_ms, at_ms.get(key, served_ms))
        return at_ms
