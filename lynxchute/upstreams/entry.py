"""Directory entry of one upstream: its health and this router's open requests."""

from __future__ import annotations

import enum
import itertools
import math
from collections.abc import Awaitable, Callable, Iterable

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
# An answer that has begun goes on at its upstream for this many seconds of silence: an
# upstream may fall silent for a second and go on, and a second run costs more than the
# pause.
MAX_ANSWER_SILENCE_SECONDS = 1.3
# An answer of which bytes have arrived within this many seconds does not come from a
# process that had ended before the start of another one became known.
ARRIVING_SECONDS = 0.5
# Seconds for which a send that may have reached a new process stays open after the news
# of its start, without the head of its answer.
RESTART_DOUBT_SECONDS = 1.3
# Requests that one log line names.
MAX_LOGGED_REQUESTS = 16


class ResendObstacle(enum.Enum):
    """Why a request cannot go on at another upstream.

    Attributes
    ----------
    NO_ATTEMPT
        Its route allows no further attempt.
    NOT_RESUMABLE
        A part of its answer has been forwarded, and the rest is to be had nowhere else.
    ORIGIN_UNKNOWN
        It is not known which software version began its stream.
    NO_UPSTREAM
        No other upstream can take it now and answers.
    NO_PERMIT
        The retry budget is used up.
    PLANNED
        Another send of the same request is about to go on here.
    DECLINED
        The other upstream did not take it.
    ENDED
        It has ended meanwhile.
    HEARD
        Its upstream has gone on meanwhile.
    """

    NO_ATTEMPT = "no attempt left"
    NOT_RESUMABLE = "not resumable"
    ORIGIN_UNKNOWN = "origin unknown"
    NO_UPSTREAM = "no upstream"
    NO_PERMIT = "no permit"
    PLANNED = "already planned"
    DECLINED = "declined"
    ENDED = "ended"
    HEARD = "upstream goes on"


async def _no_obstacle() -> ResendObstacle | None:
    return None


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
    plan_resend
        Secures what the request needs to go on at another upstream; returns why it
        cannot, or None.
    begin_resend
        Sends the request there; returns why this send has to be kept, or None.
    release_resend
        Gives up what was secured or begun.
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
    request_id
        Id of the request in log lines.
    heard_at
        When a byte last arrived on its connection, or when it was begun if none has, in
        seconds.
    obstacle, planned_at
        Why the request could not go on elsewhere when that was last tried, and when
        that was, in seconds.
    """

    handle: AbortHandle
    may_resend: Callable[[], bool]
    content: str = ""
    begin_resend: Callable[[], Awaitable[ResendObstacle | None]] = _no_obstacle
    plan_resend: Callable[[], Awaitable[ResendObstacle | None]] = _no_obstacle
    release_resend: Callable[[], None] = lambda: None
    progress: Progress = Progress.UNANSWERED
    answering_since: float | None = None
    is_cancelled: bool = False
    is_withdrawn: bool = False
    sent_at: float | None = None
    typical_seconds: float = 0.0
    prompt: PromptParts | None = None
    began_at: float | None = None
    request_id: str = ""
    heard_at: float = 0.0
    obstacle: ResendObstacle | None = None
    planned_at: float = -math.inf

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

    def is_overly_silent(self, now: float) -> bool:
        """Return whether it may be given up, as its upstream seems unreachable."""
        if self.answering_since is None:
            return True
        return now - self.heard_at >= MAX_ANSWER_SILENCE_SECONDS

    def is_arriving(self, now: float) -> bool:
        """Return whether bytes of the answer have arrived a moment ago."""
        if self.answering_since is None:
            return False
        return now - self.heard_at < ARRIVING_SECONDS

    def has_answered_since(self, at: float) -> bool:
        """Return whether its answer comes from a process that runs after a time.

        Bytes that arrive shortly after it may be those of a process that has ended.
        """
        if self.answering_since is None:
            return False
        return self.heard_at - at >= ARRIVING_SECONDS

    def cancel(self) -> None:
        """Abort the send; this does not count against the upstream."""
        self.is_cancelled = True
        self.handle.abort()

    def withdraw(self) -> None:
        """Cancel the send before the upstream works on it."""
        self.is_withdrawn = True
        self.cancel()


def logged_request_ids(sends: Iterable[OpenSend]) -> list[str]:
    """Return the ids of the first requests, for the log."""
    return [send.request_id for send in itertools.islice(sends, MAX_LOGGED_REQUESTS)]


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
    seen_until
        Until when the replaced process stated its start, likewise.
    """

    started_ms: int | None
    ran_until: float
    noticed_at: float
    seen_until: float = -math.inf

    def may_run(self, send: OpenSend, now: float) -> bool:
        """Return whether the next process may run a request of the replaced one."""
        if send.has_answered_since(self.noticed_at) or self.is_before(send):
            return True
        began_at = -math.inf if send.began_at is None else send.began_at
        if began_at <= self.ran_until:
            return False
        if send.progress is not Progress.UNANSWERED:
            return True
        return now - self.noticed_at < RESTART_DOUBT_SECONDS

    def was_running(self, at: float) -> bool:
        """Return whether the replaced process ran at a time, as far as entries say."""
        return at < max(self.ran_until, self.seen_until)

    def is_before(self, send: OpenSend) -> bool:
        """Return whether a send began after the next process was noticed."""
        return send.began_at is not None and send.began_at >= self.noticed_at


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
    seen_until
        Until when the process is known to have run, as it has stated its start since,
        in seconds.
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
    seen_until: float = -math.inf
    earlier_starts: tuple[int, ...] = ()
    replacements: tuple[Replacement, ...] = ()
    cold_until: float = 0.0
    last_statement: DeclaredBackpressure = NO_BACKPRESSURE
    backpressure: Backpressure = attrs.Factory(Backpressure)
    reported_requests: int = 0
    reported_at: float = -math.inf

    def has_been_heard_since(self, at: float) -> bool:
        """Return whether bytes of an open answer have arrived since a time."""
        return any(
            send.answering_since is not None and send.heard_at > at
            for send in self.open_sends
        )

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
