"""The upstreams of the fleet, as they tell of themselves."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from lynxchute.http import AbortHandle
from lynxchute.quarantine import Progress
from lynxchute.telemetry import log_event
from lynxchute.upstreams.health import Health
from lynxchute.upstreams.upstream import Upstream

# Starts under one id whose late words are known as such; the store delays a write by
# some seconds at most, in which a process starts once or twice.
MAX_EARLIER_STARTS = 8
# Seconds of an answer after which its request cannot be what ends the upstream: those
# that do end it within 0.12 s of its beginning, in 25 ends seen in a day's lines.
OUTLIVED_SECONDS = 0.5


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
    """

    handle: AbortHandle
    may_move: Callable[[], bool]
    content: str = ""
    progress: Progress = Progress.UNANSWERED
    answering_since: float | None = None
    is_left: bool = False
    is_withdrawn: bool = False

    def note_answering(self, now: float) -> None:
        """Note a part of the answer."""
        self.progress = Progress.ANSWERING
        if self.answering_since is None:
            self.answering_since = now

    def has_outlived(self, now: float) -> bool:
        """Return whether the upstream has run it for so long that it can run it."""
        since = self.answering_since
        return since is not None and now - since >= OUTLIVED_SECONDS

    def leave(self) -> None:
        """Break it off, which says nothing of the upstream."""
        self.is_left = True
        self.handle.abort()

    def withdraw(self) -> None:
        """Break it off before the upstream works on it."""
        self.is_withdrawn = True
        self.leave()


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
    """

    upstream: Upstream
    health: Health = attrs.Factory(Health)
    open_requests: int = 0
    open_tokens: int = 0
    gone_at: float | None = None
    lapses_at: float = 0.0
    open_sends: set[OpenSend] = attrs.Factory(set)
    heard_at: float = 0.0
    probed_at: float = 0.0
    earlier_starts: tuple[int, ...] = ()

    @property
    def takes_work(self) -> bool:
        """Return whether it may get new requests."""
        return self.gone_at is None and not self.upstream.is_leaving

    def may_be_back(self, now: float) -> bool:
        """Return whether its entry may have lapsed with the store only."""
        if self.gone_at is None or self.upstream.is_leaving:
            return False
        return now < self.lapses_at


class Directory:
    """All known upstreams by id.

    Attributes
    ----------
    listeners
        Called after upstreams have changed.
    start_listeners
        Called with what an upstream was that has started again under its id.
    """

    def __init__(self) -> None:
        self.entries_by_id: dict[str, Entry] = {}
        self.listeners: list[Callable[[], None]] = []
        self.start_listeners: list[Callable[[Upstream], None]] = []

    def put(self, upstream: Upstream) -> bool:
        """Take what an upstream says of itself; return whether that is news."""
        entry = self.entries_by_id.get(upstream.id)
        if entry is None:
            self.entries_by_id[upstream.id] = Entry(upstream)
            return True
        known = entry.upstream.started_ms
        if upstream.started_ms is None:
            upstream = attrs.evolve(upstream, started_ms=known)
        if upstream.started_ms in entry.earlier_starts:
            # A late word of a process that has ended.
            return False
        if known is not None and upstream.started_ms != known:
            self._begin_anew(entry, upstream)
            return True
        is_news = entry.upstream != upstream or entry.gone_at is not None
        entry.upstream = upstream
        entry.gone_at = None
        return is_news

    def note_started(self, entry: Entry, started_ms: int | None) -> bool:
        """Take when a process says that it started; return whether that is news.

        The entry in the store may still be the one of the process before.
        """
        upstream = entry.upstream
        if self.entries_by_id.get(upstream.id) is not entry:
            return False
        if started_ms is None or upstream.started_ms is None:
            return False
        if started_ms <= upstream.started_ms or started_ms in entry.earlier_starts:
            return False
        gone_at, lapses_at = entry.gone_at, entry.lapses_at
        self._begin_anew(entry, attrs.evolve(upstream, started_ms=started_ms))
        self.entries_by_id[upstream.id].gone_at = gone_at
        self.entries_by_id[upstream.id].lapses_at = lapses_at
        return True

    def _begin_anew(self, entry: Entry, upstream: Upstream) -> None:
        """Keep nothing of the process that had an upstream's id before."""
        before = entry.upstream
        known = before.started_ms or 0
        if (upstream.started_ms or 0) > known:
            starts = (*entry.earlier_starts, known)[-MAX_EARLIER_STARTS:]
            self.entries_by_id[upstream.id] = Entry(upstream, earlier_starts=starts)
            # That process has ended. Where its VM lost power no reset tells, and
            # each of these would wait for its timeout.
            for send in list(entry.open_sends):
                send.handle.abort()
        else:
            # Its clock was set back, or this is a late word of a process that this
            # router never knew: whether the other one has ended is not certain.
            entry.upstream = upstream
            entry.gone_at = None
            entry.health = Health()
        log_event(
            "upstream started again",
            upstream=upstream.id,
            started_ms=upstream.started_ms,
            before_ms=known,
            open_sends=len(entry.open_sends),
        )
        for listener in self.start_listeners:
            listener(before)

    def remove(self, upstream_id: str, now: float, *, lapses_at: float = 0.0) -> bool:
        """Note that an upstream's entry has vanished.

        Parameters
        ----------
        lapses_at
            Until when it may come back, where the store was away just now.
        """
        entry = self.entries_by_id.get(upstream_id)
        if entry is None or entry.gone_at is not None:
            return False
        entry.gone_at = now
        entry.lapses_at = lapses_at
        return True

    def changed(self) -> None:
        """Tell the listeners that upstreams have changed."""
        for listener in self.listeners:
            listener()

    def forget(self, before: float) -> list[Upstream]:
        """Drop upstreams that vanished before a time and have nothing open."""
        dropped = []
        for upstream_id, entry in list(self.entries_by_id.items()):
            if entry.gone_at is None or entry.gone_at > before or entry.open_requests:
                continue
            dropped.append(self.entries_by_id.pop(upstream_id).upstream)
        return dropped

    def count(self) -> int:
        """Return how many upstreams take work."""
        return sum(1 for entry in self.entries_by_id.values() if entry.takes_work)

    def ids_that_answer(self, service: str) -> list[str]:
        """Return the upstreams of a service whose entries stand, leaving or not."""
        found = []
        for upstream_id, entry in self.entries_by_id.items():
            if entry.upstream.service == service and entry.gone_at is None:
                found.append(upstream_id)
        return found

    def of_service(self, service: str, now: float) -> Iterator[Entry]:
        """Yield the upstreams of a service that take work, or may well do so."""
        for entry in self.entries_by_id.values():
            if entry.upstream.service != service:
                continue
            if entry.takes_work or entry.may_be_back(now):
                yield entry
