"""Evidence on upstream crashes, and the findings drawn from it."""

from __future__ import annotations

import enum

import attrs

from lynxchute.quarantine.progress import Progress
from lynxchute.quarantine.prompt import PromptParts


@attrs.frozen
class BrokenRun:
    """A run that broke off early enough to be the cause of its upstream's crash.

    Attributes
    ----------
    content
        Id of the request's content.
    process
        Id of the upstream process: the upstream and its start.
    progress
        How far the run had progressed at the upstream.
    is_start_known
        Whether a restarted process of the upstream gets a different id.
    prompt
        Shared parts of its prompt; None for a request without a prompt. Parts that the
        reporting router has served shortly before are left out.
    began_ms
        When it was sent, on the store's clock; 0 if not known.
    broke_ms
        When it broke off, on the store's clock; 0 if it has just done so.
    """

    content: str
    process: str
    progress: Progress
    is_start_known: bool = True
    prompt: PromptParts | None = None
    began_ms: int = 0
    broke_ms: int = 0

    def broke_at_ms(self, now_ms: int) -> int:
        """Return when it broke off, given the time at which it is reported."""
        return min(self.broke_ms or now_ms, now_ms)


class Verdict(enum.Enum):
    """The conclusion about a request that was open when an upstream crashed.

    Attributes
    ----------
    BLAMED
        The request may have caused the crash.
    QUARANTINED
        The request has caused too many crashes and is quarantined.
    """

    BLAMED = "blamed"
    QUARANTINED = "quarantined"


@attrs.frozen
class Finding:
    """The conclusion about one request after one crash.

    Attributes
    ----------
    company
        Number of other runs that may have caused the crash; named as in the log.
    ends
        Number of crashes that the request is blamed for so far; named as in the log.
    """

    verdict: Verdict
    content: str
    process: str
    company: int
    ends: int
