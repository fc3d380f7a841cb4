"""The upstreams of the fleet, as they tell of themselves."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from lynxchute.telemetry import log_event
from lynxchute.upstreams.backpressure import Backpressure
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.health import Health
from lynxchute.upstreams.statement import Statement
from lynxchute.upstreams.upstream import Upstream

# Starts under one id whose late words are known as such; the store delays a write by
# some seconds at most, in which a process starts once or twice.
MAX_EARLIER_STARTS = 8


class Directory:
    """All known upstreams by id.

    Attributes
    ----------
    throttled_by_id
        Those that name a limit, or did so until just now, or that have said that they
        leave.
    listeners
        Called after upstreams have changed.
    start_listeners
        Called with what an upstream was that has started again under its id.
    cold_seconds_of
        Returns how long the upstreams of a service are cold after a start.
    clock_ms
        Returns the store's clock at a moment of the own one; 0 where it is not known.
    """

    def __init__(self) -> None:
        self.cold_seconds_of: Callable[[str], float] = lambda service: 0.0
        self.clock_ms: Callable[[float], int] = lambda now: 0
        self.entries_by_id: dict[str, Entry] = {}
        self.throttled_by_id: dict[str, Entry] = {}
        self.listeners: list[Callable[[], None]] = []
        self.restart_listeners: list[Callable[[Upstream], None]] = []

    def put(
        self, upstream: Upstream, now: float = 0.0, *, is_start: bool = False
    ) -> bool:
        """Take what an upstream says of itself; return whether that is news.

        Parameters
        ----------
        now
            When it was heard, in seconds.
        is_start
            Whether one that was not known must have started just now.
        """
        is_news = self._put(upstream, now, is_start=is_start)
        entry = self.entries_by_id.get(upstream.id)
        if entry is not None and upstream.started_ms in (
            None,
            entry.upstream.started_ms,
        ):
            entry.note_cold(upstream.warm_up, now)
        return is_news

    def _put(self, upstream: Upstream, now: float, *, is_start: bool) -> bool:
        entry = self.entries_by_id.get(upstream.id)
        if entry is None:
            entry = Entry(upstream)
            self.entries_by_id[upstream.id] = entry
            if is_start:
                entry.note_cold(self.cold_seconds_of(upstream.service), now)
            return True
        known = entry.upstream.started_ms
        if upstream.started_ms is None:
            upstream = attrs.evolve(upstream, started_ms=known)
        if upstream.started_ms in entry.earlier_starts:
            # A late word of a process that has ended.
            return False
        if known is not None and upstream.started_ms != known:
            self._begin_anew(entry, upstream, now)
            return True
        is_news = entry.upstream != upstream or entry.removed_at is not None
        entry.upstream = upstream
        entry.removed_at = None
        return is_news

    def record_statement(
        self,
        entry: Entry,
        statement: Statement,
        *,
        asked_at: float,
        now: float,
        is_served: bool = True,
    ) -> bool:
        """Take what the answer to a request states of its upstream.

        Parameters
        ----------
        asked_at
            When the request was sent.
        is_served
            Whether it ran, as far as the answer says.

        Returns
        -------
        bool
            Whether it states something else than the answer before.
        """
        is_news = statement != entry.stated
        entry.stated = statement
        was_leaving = entry.is_leaving
        clock_ms = self.clock_ms(now)
        entry.backpressure.record_answer(
            statement,
            asked_at=asked_at,
            now=now,
            clock_ms=clock_ms,
            is_served=is_served,
        )
        self.refresh_throttled(entry, now)
        if entry.is_leaving != was_leaving:
            self.changed()
        return is_news

    def note_report(self, entry: Entry, statement: Statement, now: float) -> None:
        """Take what the answer to a question that was no request states."""
        was_leaving = entry.is_leaving
        entry.backpressure.note_report(
            statement,
            now,
            self.clock_ms(now),
            is_start_known=entry.upstream.is_start_known,
        )
        self.refresh_throttled(entry, now)
        if entry.is_leaving != was_leaving:
            self.changed()

    def record_leaving(self, entry: Entry, now: float) -> None:
        """Take from another router that an upstream has said that it leaves."""
        if entry.backpressure.is_leaving:
            return
        entry.backpressure.is_leaving = True
        self.refresh_throttled(entry, now)
        self.changed()

    def refresh_throttled(self, entry: Entry, now: float) -> None:
        """Keep an upstream among those throttled for as long as it is."""
        upstream_id = entry.upstream.id
        is_known = self.entries_by_id.get(upstream_id) is entry
        if is_known and entry.backpressure.are_news(now):
            self.throttled_by_id[upstream_id] = entry
        elif self.throttled_by_id.get(upstream_id) is entry:
            del self.throttled_by_id[upstream_id]

    def describe_backpressure(self, upstream_id: str, now: float) -> str:
        """Return for people what an upstream has said that it wants."""
        entry = self.entries_by_id.get(upstream_id)
        return "" if entry is None else entry.backpressure.describe(now)

    def throttled(self, service: str, now: float) -> list[Entry]:
        """Return the upstreams of a service that are throttled."""
        for entry in list(self.throttled_by_id.values()):
            self.refresh_throttled(entry, now)
        found = []
        for entry in self.throttled_by_id.values():
            if entry.upstream.service == service:
                found.append(entry)
        return found

    def record_start(
        self, entry: Entry, started_ms: int | None, now: float = 0.0
    ) -> bool:
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
        removed_at, expires_at = entry.removed_at, entry.expires_at
        self._begin_anew(entry, attrs.evolve(upstream, started_ms=started_ms), now)
        self.entries_by_id[upstream.id].removed_at = removed_at
        self.entries_by_id[upstream.id].expires_at = expires_at
        return True

    def _begin_anew(self, entry: Entry, upstream: Upstream, now: float) -> None:
        """Keep nothing of the process that had an upstream's id before."""
        before = entry.upstream
        known = before.started_ms or 0
        if (upstream.started_ms or 0) > known:
            starts = (*entry.earlier_starts, known)[-MAX_EARLIER_STARTS:]
            begun = Entry(upstream, earlier_starts=starts)
            begun.note_cold(self.cold_seconds_of(upstream.service), now)
            self.entries_by_id[upstream.id] = begun
            # That process has ended. Where its VM lost power no reset tells, and
            # each of these would wait for its timeout.
            for send in list(entry.open_sends):
                send.handle.abort()
        else:
            # Its clock was set back, or this is a late word of a process that this
            # router never knew: whether the other one has ended is not certain.
            entry.upstream = upstream
            entry.removed_at = None
            entry.health = Health()
            entry.backpressure = Backpressure()
        log_event(
            "upstream started again",
            upstream=upstream.id,
            started_ms=upstream.started_ms,
            before_ms=known,
            open_sends=len(entry.open_sends),
        )
        for listener in self.restart_listeners:
            listener(before)

    def remove(self, upstream_id: str, now: float, *, expires_at: float = 0.0) -> bool:
        """Note that an upstream's entry has vanished.

        Parameters
        ----------
        lapses_at
            Until when it may come back, where the store was away just now.
        """
        entry = self.entries_by_id.get(upstream_id)
        if entry is None or entry.removed_at is not None:
            return False
        entry.removed_at = now
        entry.expires_at = expires_at
        return True

    def changed(self) -> None:
        """Tell the listeners that upstreams have changed."""
        for listener in self.listeners:
            listener()

    def prune(self, before: float) -> list[Upstream]:
        """Drop upstreams that vanished before a time and have nothing open."""
        dropped = []
        for upstream_id, entry in list(self.entries_by_id.items()):
            if (
                entry.removed_at is None
                or entry.removed_at > before
                or entry.open_requests
            ):
                continue
            dropped.append(self.entries_by_id.pop(upstream_id).upstream)
        return dropped

    def count(self) -> int:
        """Return how many upstreams take work."""
        return sum(1 for entry in self.entries_by_id.values() if entry.takes_work)

    def count_cold(self, now: float) -> int:
        """Return how many upstreams that take work are cold."""
        found = 0
        for entry in self.entries_by_id.values():
            found += entry.takes_work and now < entry.cold_until
        return found

    def count_limits(self) -> int:
        """Return how many upstreams name a limit."""
        entries = self.throttled_by_id.values()
        return sum(1 for entry in entries if entry.backpressure.limit is not None)

    def mark_data_centre_cold(self, data_centre: str, now: float) -> None:
        """Take all upstreams of a data centre for just started."""
        for entry in self.entries_by_id.values():
            if entry.upstream.data_centre == data_centre:
                entry.note_cold(self.cold_seconds_of(entry.upstream.service), now)

    def ids_that_answer(self, service: str) -> list[str]:
        """Return the upstreams of a service whose entries stand, leaving or not."""
        found = []
        for upstream_id, entry in self.entries_by_id.items():
            if entry.upstream.service == service and entry.removed_at is None:
                found.append(upstream_id)
        return found

    def available(self, service: str, now: float) -> Iterator[Entry]:
        """Yield the upstreams of a service that take work, or may well do so."""
        for entry in self.entries_by_id.values():
            if entry.upstream.service != service:
                continue
            if entry.takes_work or entry.may_be_back(now):
                yield entry
