"""Crashes of upstreams, counted by the prompt parts of what ran there."""

from __future__ import annotations

from collections import Counter

import attrs

from lynxchute.quarantine.evidence import BrokenRun
from lynxchute.quarantine.prompt import PromptParts

# Most crashes under one request that count against a part: a request that crashes
# upstreams by itself has parts too.
MAX_CRASHES_PER_REQUEST = 2
MAX_RUNS_PER_CRASH = 8


@attrs.define
class PartCrash:
    """A crash of an upstream, with the prompts of the runs that may have caused it.

    Attributes
    ----------
    at_ms
        When it was first reported, on the store's clock.
    scope, version
        Service and model, and software version, of the upstream.
    contents_by_part
        Ids of the requests that have each part.
    """

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
class PartTally:
    """The crashes of one part that nothing else explains."""

    part: str
    processes: set[str] = attrs.Factory(set)
    accounts: set[str] = attrs.Factory(set)
    first_ms: int = 0
    last_version: str = ""
    crashes_by_content: Counter[str] = attrs.Factory(Counter)

    def add(self, process: str, crash: PartCrash) -> None:
        """Add a crash under requests with the part."""
        if not self.processes:
            self.first_ms = crash.at_ms
        self.processes.add(process)
        self.last_version = crash.version
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
