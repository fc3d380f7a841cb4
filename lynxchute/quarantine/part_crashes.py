"""Crashes of upstreams, counted by the prompt parts of what ran there."""

from __future__ import annotations

from collections import Counter

import attrs

from lynxchute.quarantine.evidence import BrokenRun
from lynxchute.quarantine.progress import Progress
from lynxchute.quarantine.prompt import PromptParts

# Most crashes under one request that count against a part: a request that crashes
# upstreams by itself has parts too.
MAX_CRASHES_PER_REQUEST = 2
MAX_RUNS_PER_CRASH = 8
# The same for further runs that have a part which none of those has.
MAX_DISTINCT_RUNS = 8


@attrs.define
class PartCrash:
    """A crash of an upstream, with the prompts of the runs that may have caused it.

    Attributes
    ----------
    at_ms
        When the first of the runs broke off, on the store's clock.
    scope, version
        Service and model, and software version, of the upstream.
    contents_by_part
        Ids of the requests that have each part.
    answered_parts
        Parts of runs that had brought events.
    """

    at_ms: int
    scope: str
    version: str
    prompts_by_content: dict[str, PromptParts] = attrs.Factory(dict)
    contents_by_part: dict[str, set[str]] = attrs.Factory(dict)
    answered_parts: set[str] = attrs.Factory(set)

    def add(self, run: BrokenRun) -> None:
        """Add a run that may have caused it; of many runs, only some are kept."""
        if run.prompt is None:
            return
        earlier = self.prompts_by_content.get(run.content)
        if earlier is not None:
            self._drop_parts(run.content, earlier, run.prompt)
        elif self._has_room(run.prompt):
            self.prompts_by_content[run.content] = run.prompt
            for part in run.prompt.ids:
                self.contents_by_part.setdefault(part, set()).add(run.content)
        if run.progress is Progress.ANSWERING:
            known_parts = self.contents_by_part.keys() & set(run.prompt.ids)
            self.answered_parts.update(known_parts)

    def _drop_parts(
        self, content: str, earlier: PromptParts, prompt: PromptParts
    ) -> None:
        """Drop the parts of a run that a later report leaves out, as served since."""
        kept = tuple(part for part in earlier.ids if part in prompt.ids)
        for part in set(earlier.ids).difference(kept):
            contents = self.contents_by_part[part]
            contents.discard(content)
            if not contents:
                del self.contents_by_part[part]
        self.prompts_by_content[content] = attrs.evolve(earlier, ids=kept)

    def _has_room(self, prompt: PromptParts) -> bool:
        """Return whether a run with these parts is kept."""
        kept = len(self.prompts_by_content)
        if kept < MAX_RUNS_PER_CRASH:
            return True
        if kept >= MAX_RUNS_PER_CRASH + MAX_DISTINCT_RUNS:
            return False
        return any(part not in self.contents_by_part for part in prompt.ids)


@attrs.define
class PartTally:
    """The crashes of one part that nothing else explains.

    Attributes
    ----------
    is_known_to_work
        Whether the part was served after one of its crashes, or a run with it had
        brought events before one.
    not_counted
        Processes that crashed under it at other versions, or before its last service.
    """

    part: str
    processes: set[str] = attrs.Factory(set)
    accounts: set[str] = attrs.Factory(set)
    first_ms: int = 0
    last_version: str = ""
    is_known_to_work: bool = False
    not_counted: set[str] = attrs.Factory(set)
    crashes_by_content: Counter[str] = attrs.Factory(Counter)

    def add(self, process: str, crash: PartCrash) -> None:
        """Add a crash under requests with the part."""
        if not self.processes or crash.at_ms < self.first_ms:
            self.first_ms = crash.at_ms
        self.processes.add(process)
        # Any version clears an entry of an unknown one.
        self.last_version = crash.version or self.last_version
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
