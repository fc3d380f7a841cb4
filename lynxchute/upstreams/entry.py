"""One upstream in the directory: how it fares, and what is open there."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from lynxchute.http import AbortHandle
from lynxchute.quarantine import Progress
from lynxchute.upstreams.backpressure import Backpressure
from lynxchute.upstreams.health import Health
from lynxchute.upstreams.statement import NOTHING_STATED, Statement
from lynxchute.upstreams.upstream import Upstream

# Seconds of an answer after which its request cannot be what ends the upstream: those
# that do end it within 0.12 s of its beginning, in 25 ends seen in a day's lines.
CRASH_WINDOW_SECONDS = 0.5


# Seconds for which its word of what it has in work tells of its load: requests last so
# long and longer.
REPORT_VALID_SECONDS = 2.0


@attrs.define(eq=False)
class OpenSend:
    """A request that an upstream has not answered whole.

    Attributes
    ----------
    handle
        Breaks it off.
    may_move
        Returns whether it may be sent to another upstream instead.
    content
        Names what it asks for.
    progress
        How far the upstream has come with it.
    answering_since
        When the first part of the answer itself came, in seconds; None before.
    is_left
        Whether this router has broken it off.
    is_withdrawn
        Whether it did so for the request's sake, not for the upstream's.
    sent_at
        When its first byte left, in seconds; None before.
    work
        What it usually takes until the head of its answer, in seconds; 0 where that is
        not known.
    """

    handle: AbortHandle
    may_move: Callable[[], bool]
    content: str = ""
    progress: Progress = Progress.UNANSWERED
    answering_since: float | None = None
    is_cancelled: bool = False
    is_withdrawn: bool = False
    sent_at: float | None = None
    typical_seconds: float = 0.0

    def overdue_ratio(self, now: float) -> float:
        """Return how many times as long as usual it has waited for an answer."""
        if self.sent_at is None or self.typical_seconds <= 0:
            return 0.0
        if self.progress is not Progress.UNANSWERED:
            return 0.0
        return max(now - self.sent_at, 0.0) / self.typical_seconds

    def note_answering(self, now: float) -> None:
        """Note a part of the answer."""
        self.progress = Progress.ANSWERING
        if self.answering_since is None:
            self.answering_since = now

    def is_past_crash_window(self, now: float) -> bool:
        """Return whether the upstream has run it for so long that it can run it."""
        since = self.answering_since
        return since is not None and now - since >= CRASH_WINDOW_SECONDS

    def cancel(self) -> None:
        """Break it off, which says nothing of the upstream."""
        self.is_cancelled = True
        self.handle.abort()

    def withdraw(self) -> None:
        """Break it off before the upstream works on it."""
        self.is_withdrawn = True
        self.cancel()


@attrs.define(eq=False)
class Entry:
    """An upstream, how it fares, and what this router has open there.

    Attributes
    ----------
    open_requests
        Requests of this router that it is working on.
    open_tokens
        Tokens of their prompts, and of their answers at most.
    gone_at
        When its entry vanished; None while it stands.
    lapses_at
        Where it may have vanished only because the store was away: when it is
        to be taken as gone unless it is back.
    open_sends
        What it is working on for this router.
    heard_at, probed_at
        When a byte last came from it, and when it was last asked whether it
        is there, in seconds.
    earlier_starts
        The last starts under its id before this one, as Unix milliseconds.
    cold_until
        Until when it bears a few requests a second only, in seconds.
    stated
        What its last answer stated.
    backpressure
        What it wants, by all that it has stated.
    stated_work, work_stated_at
        Requests that it said it had in work, and when, in seconds.
    """

    upstream: Upstream
    health: Health = attrs.Factory(Health)
    open_requests: int = 0
    open_tokens: int = 0
    removed_at: float | None = None
    expires_at: float = 0.0
    open_sends: set[OpenSend] = attrs.Factory(set)
    heard_at: float = 0.0
    probed_at: float = 0.0
    earlier_starts: tuple[int, ...] = ()
    cold_until: float = 0.0
    stated: Statement = NOTHING_STATED
    backpressure: Backpressure = attrs.Factory(Backpressure)
    stated_work: int = 0
    work_stated_at: float = -math.inf

    def record_active_requests(self, active_requests: int, now: float) -> None:
        """Take the word of how many requests it has in work."""
        self.stated_work = active_requests
        self.work_stated_at = now

    def reported_load(self, now: float) -> float:
        """Return the share of its places that it said are taken; 0 if that is old."""
        if now - self.work_stated_at > REPORT_VALID_SECONDS:
            return 0.0
        return self.stated_work / max(self.upstream.slots, 1)

    def note_cold(self, seconds: float, now: float) -> bool:
        """Take the word that it is cold for so long; return whether that is longer.

        A word may be late, or be older than one that has come before it, and none
        makes the time shorter.
        """
        if not seconds or now + seconds <= self.cold_until:
            return False
        self.cold_until = now + seconds
        return True

    @property
    def is_leaving(self) -> bool:
        """Return whether it leaves, by its entry or by an answer of its own.

        Its entry may say otherwise for long: the store may be away.
        """
        return self.upstream.is_leaving or self.backpressure.is_leaving

    @property
    def takes_work(self) -> bool:
        """Return whether it may get new requests."""
        return self.removed_at is None and not self.is_leaving

    def may_be_back(self, now: float) -> bool:
        """Return whether its entry may have lapsed with the store only."""
        if self.removed_at is None or self.is_leaving:
            return False
        return now < self.expires_at
