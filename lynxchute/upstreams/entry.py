"""Directory entry of one upstream: its health and this router's open requests."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from lynxchute.http import AbortHandle
from lynxchute.quarantine import Progress, PromptParts
from lynxchute.upstreams.backpressure import Backpressure
from lynxchute.upstreams.health import Health
from lynxchute.upstreams.statement import NO_BACKPRESSURE, DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream

# Seconds of a response after which its request cannot be the cause of the upstream's
# crash. Requests that crash an upstream did so within 0.12 s of their start, in 25
# crashes in one day of logs.
CRASH_WINDOW_SECONDS = 0.5


# Seconds for which a reported number of active requests is valid; requests last at
# least as long.
REPORT_VALID_SECONDS = 2.0


@attrs.define(eq=False)
class OpenSend:
    """A request at an upstream whose response is not complete yet.

    Attributes
    ----------
    handle
        Aborts the exchange.
    may_resend
        Returns whether the request may be sent to another upstream instead.
    content
        Identifies the content of the request.
    claim_resend
        Returns whether the request gets a permit to be sent again.
    progress
        How far the upstream has processed the request.
    answering_since
        When the first part of the response itself arrived, in seconds; None before.
    is_cancelled
        Whether this router has cancelled the send, for whatever reason.
    is_withdrawn
        Whether it was cancelled because of the request, not because of the upstream.
    sent_at
        When the first byte was sent, in seconds; None before.
    typical_seconds
        Typical time until the head of the response, in seconds; 0 if unknown.
    prompt
        Shared parts of its prompt; None for a request without a prompt.
    began_at
        When this router began to send it, in seconds; None if not known.
    """

    handle: AbortHandle
    may_resend: Callable[[], bool]
    content: str = ""
    claim_resend: Callable[[], bool] = lambda: True
    progress: Progress = Progress.UNANSWERED
    answering_since: float | None = None
    is_cancelled: bool = False
    is_withdrawn: bool = False
    sent_at: float | None = None
    typical_seconds: float = 0.0
    prompt: PromptParts | None = None
    began_at: float | None = None

    def overdue_ratio(self, now: float) -> float:
        """Return the wait for a response as a multiple of the typical time."""
        if self.sent_at is None or self.typical_seconds <= 0:
            return 0.0
        if self.progress is not Progress.UNANSWERED:
            return 0.0
        return max(now - self.sent_at, 0.0) / self.typical_seconds

    def record_answering(self, now: float) -> None:
        """Record that a part of the response has arrived."""
        self.progress = Progress.ANSWERING
        if self.answering_since is None:
            self.answering_since = now

    def is_past_crash_window(self, now: float) -> bool:
        """Return whether the request has run too long to be the cause of a crash."""
        since = self.answering_since
        return since is not None and now - since >= CRASH_WINDOW_SECONDS

    def cancel(self) -> None:
        """Abort the send; this does not count against the upstream."""
        self.is_cancelled = True
        self.handle.abort()

    def withdraw(self) -> None:
        """Cancel the send before the upstream works on it."""
        self.is_withdrawn = True
        self.cancel()


@attrs.frozen
class Replacement:
    """A process that was replaced by a later one with the same upstream id.

    Attributes
    ----------
    started_ms
        Start of the replaced process, in Unix milliseconds; None if not known.
    ran_until
        Until when the replaced process was known to run, in seconds on the steady
        clock; requests sent later may have reached the next process.
    noticed_at
        When the next process was noticed, in seconds on the steady clock.
    """

    started_ms: int | None
    ran_until: float
    noticed_at: float


@attrs.define(eq=False)
class UpstreamEntry:
    """An upstream, its health, and this router's open requests there.

    Attributes
    ----------
    open_requests
        Requests of this router that the upstream is working on.
    open_tokens
        Tokens of their prompts plus the most that their responses can have.
    removed_at
        When the upstream's entry vanished; None while it exists.
    expires_at
        If the entry may have vanished only because the store was unavailable: when the
        upstream counts as gone unless the entry is back.
    open_sends
        Sends of this router that are not complete.
    heard_at, probed_at
        When a byte last arrived from the upstream, and when it was last probed, in
        seconds.
    earlier_starts
        The last starts under this id before the current one, in Unix milliseconds.
    replacements
        The last processes before the current one.
    cold_until
        Until when it is cold and can handle only a few requests a second, in seconds.
    last_statement
        What its last response declared.
    backpressure
        Backpressure derived from all its declarations.
    reported_requests, reported_at
        Requests that it last reported as running or waiting, and when, in seconds.
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
    replacements: tuple[Replacement, ...] = ()
    cold_until: float = 0.0
    last_statement: DeclaredBackpressure = NO_BACKPRESSURE
    backpressure: Backpressure = attrs.Factory(Backpressure)
    reported_requests: int = 0
    reported_at: float = -math.inf

    def record_active_requests(self, active_requests: int, now: float) -> None:
        """Record the number of requests that the upstream reports."""
        self.reported_requests = active_requests
        self.reported_at = now

    def reported_load(self, now: float) -> float:
        """Return reported requests as a share of the slots; 0 if out of date."""
        if now - self.reported_at > REPORT_VALID_SECONDS:
            return 0.0
        return self.reported_requests / max(self.upstream.slots, 1)

    def replacement_of(self, started_ms: int | None) -> Replacement | None:
        """Return how the process with a start time was replaced, if it was."""
        for replacement in self.replacements:
            if replacement.started_ms == started_ms:
                return replacement
        return None

    def extend_cold(self, seconds: float, now: float) -> bool:
        """Record a remaining warm-up time; return whether it extends the known one.

        Reports can be late or arrive out of order, so none shortens the time.
        """
        if not seconds or now + seconds <= self.cold_until:
            return False
        self.cold_until = now + seconds
        return True

    @property
    def is_leaving(self) -> bool:
        """Return whether it is draining, by its entry or by one of its responses.

        The entry in the store can be out of date for long while the store is
        unavailable.
        """
        return self.upstream.is_leaving or self.backpressure.is_leaving

    @property
    def takes_work(self) -> bool:
        """Return whether it may receive new requests."""
        return self.removed_at is None and not self.is_leaving

    def may_return(self, now: float) -> bool:
        """Return whether its entry may be missing only due to a store outage."""
        if self.removed_at is None or self.is_leaving:
            return False
        return now < self.expires_at
