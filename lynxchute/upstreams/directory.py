"""Directory of the upstreams, built from what they report of themselves."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

import attrs

from lynxchute.listeners import notify
from lynxchute.telemetry import log_event
from lynxchute.upstreams.backpressure import Backpressure
from lynxchute.upstreams.entry import (
    Replacement,
    UpstreamEntry,
    logged_request_ids,
)
from lynxchute.upstreams.health import Health
from lynxchute.upstreams.statement import DeclaredBackpressure
from lynxchute.upstreams.upstream import Upstream
from lynxchute.upstreams.version_history import VersionHistory

# Number of earlier starts under one id whose late reports are recognised. The store
# delays a write by some seconds at most, in which a process starts once or twice.
MAX_EARLIER_STARTS = 8
# Seconds from the moment a process serves requests until the store has its entry.
REGISTRATION_SECONDS = 2.0


class Directory:
    """All known upstreams by id.

    Attributes
    ----------
    backpressured_by_id
        Upstreams with a rate limit, with one that ended a moment ago, or that are
        draining.
    brittle_by_id
        Upstreams that fall over if they have to reject many requests.
    replaced_entries
        How the processes were replaced to whose entries sends are still open, by entry.
    listeners
        Called after upstreams have changed.
    backoff_listeners
        Called with an upstream that has asked this router for backoff.
    restart_listeners
        Called with the previous state of an upstream that has restarted under its id.
    cold_seconds_of
        Returns the length of the warm-up of a service's upstreams after a start, in
        seconds.
    confirmed_at
        Returns until when all changes of entries are known, in seconds.
    versions
        Software versions that the services have had lately.
    clock_ms
        Converts a time of this process's clock to the store's clock; returns 0 if that
        is not known.
    """

    def __init__(self) -> None:
        self.cold_seconds_of: Callable[[str], float] = lambda service: 0.0
        self.clock_ms: Callable[[float], int] = lambda now: 0
        self.confirmed_at: Callable[[], float] = lambda: -math.inf
        self.versions = VersionHistory()
        self.entries_by_id: dict[str, UpstreamEntry] = {}
        self.backpressured_by_id: dict[str, UpstreamEntry] = {}
        self.brittle_by_id: dict[str, UpstreamEntry] = {}
        self.listeners: list[Callable[[], None]] = []
        self.replaced_entries: dict[UpstreamEntry, Replacement] = {}
        self.restart_listeners: list[Callable[[Upstream], None]] = []
        self.backoff_listeners: list[Callable[[Upstream], None]] = []

    def put(
        self, upstream: Upstream, now: float = 0.0, *, is_start: bool = False
    ) -> bool:
        """Add or update an upstream; return whether anything changed.

        Parameters
        ----------
        now
            When the information arrived, in seconds.
        is_start
            Whether an upstream that is not known yet must have started just now.
        """
        is_changed = self._put(upstream, now, is_start=is_start)
        entry = self.entries_by_id.get(upstream.id)
        if is_changed and entry is not None:
            self._record_version(entry, now)
        if entry is not None and upstream.started_ms in (
            None,
            entry.upstream.started_ms,
        ):
            entry.extend_cold(upstream.warm_up, now)
        return is_changed

    def _put(self, upstream: Upstream, now: float, *, is_start: bool) -> bool:
        entry = self.entries_by_id.get(upstream.id)
        if entry is None:
            entry = UpstreamEntry(upstream)
            self.entries_by_id[upstream.id] = entry
            if is_start:
                entry.extend_cold(self.cold_seconds_of(upstream.service), now)
            return True
        known_start_ms = entry.upstream.started_ms
        if upstream.started_ms is None:
            upstream = attrs.evolve(upstream, started_ms=known_start_ms)
        if upstream.started_ms in entry.earlier_starts:
            # A late report of a process that has ended.
            return False
        known_version = entry.upstream.software_version
        if upstream.software_version is None:
            upstream = attrs.evolve(upstream, software_version=known_version)
        is_restart = (
            known_start_ms is not None and upstream.started_ms != known_start_ms
        )
        is_other_software = known_version not in (None, upstream.software_version)
        if is_restart or is_other_software:
            self._replace_process(entry, upstream, now)
            return True
        is_changed = entry.upstream != upstream or entry.removed_at is not None
        entry.upstream = upstream
        entry.removed_at = None
        return is_changed

    def record_declaration(
        self,
        entry: UpstreamEntry,
        statement: DeclaredBackpressure,
        *,
        asked_at: float,
        now: float,
        is_served: bool = True,
    ) -> bool:
        """Record what the response to a request declares about its upstream.

        Parameters
        ----------
        asked_at
            When the request was sent.
        is_served
            Whether the request ran, as far as the response says.

        Returns
        -------
        bool
            Whether the declaration differs from that of the previous response.
        """
        is_changed = statement != entry.last_statement
        entry.last_statement = statement
        was_leaving = entry.is_leaving
        clock_ms = self.clock_ms(now)
        entry.backpressure.record_answer(
            statement,
            asked_at=asked_at,
            now=now,
            clock_ms=clock_ms,
            is_served=is_served,
        )
        self.update_backpressured(entry, now)
        if entry.is_leaving != was_leaving:
            self.changed()
        if statement.backoff:
            notify(self.backoff_listeners, entry.upstream)
        return is_changed

    def record_forwarded_backoff(
        self, address: str, seconds: float, now: float
    ) -> None:
        """Record a backoff that an upstream asked for in a forwarded response."""
        for entry in self.at_address(address):
            entry.backpressure.record_backoff(seconds, now)
            self.update_backpressured(entry, now)
            notify(self.backoff_listeners, entry.upstream)

    def is_backing_off(self, address: str, now: float) -> bool:
        """Return whether an upstream with an address has asked for backoff."""
        return any(e.backpressure.is_backing_off(now) for e in self.at_address(address))

    def record_probe_answer(
        self, entry: UpstreamEntry, statement: DeclaredBackpressure, now: float
    ) -> None:
        """Record what the response to a probe declares about its upstream."""
        was_leaving = entry.is_leaving
        entry.backpressure.record_probe_answer(
            statement,
            now,
            self.clock_ms(now),
            is_start_known=entry.upstream.is_start_known,
        )
        self.update_backpressured(entry, now)
        if entry.is_leaving != was_leaving:
            self.changed()

    def record_leaving(self, entry: UpstreamEntry, now: float) -> None:
        """Record the report of another router that an upstream is draining."""
        if entry.backpressure.is_leaving:
            return
        entry.backpressure.is_leaving = True
        self.update_backpressured(entry, now)
        self.changed()

    def update_backpressured(self, entry: UpstreamEntry, now: float) -> None:
        """Add an upstream to `backpressured_by_id` or remove it, as appropriate."""
        upstream_id = entry.upstream.id
        is_known = self.entries_by_id.get(upstream_id) is entry
        if is_known and entry.backpressure.max_rejections is not None:
            self.brittle_by_id[upstream_id] = entry
        elif self.brittle_by_id.get(upstream_id) is entry:
            del self.brittle_by_id[upstream_id]
        if is_known and entry.backpressure.is_in_effect(now):
            self.backpressured_by_id[upstream_id] = entry
        elif self.backpressured_by_id.get(upstream_id) is entry:
            del self.backpressured_by_id[upstream_id]

    def describe_backpressure(self, upstream_id: str, now: float) -> str:
        """Return a readable summary of an upstream's backpressure."""
        entry = self.entries_by_id.get(upstream_id)
        return "" if entry is None else entry.backpressure.describe(now)

    def software_version_of(self, upstream_id: str) -> str:
        """Return the software version of an upstream; empty if it is not known."""
        entry = self.entries_by_id.get(upstream_id)
        return entry.upstream.software_version or "" if entry is not None else ""

    def with_backpressure(self, service: str, now: float) -> list[UpstreamEntry]:
        """Return the upstreams of a service that have backpressure to report."""
        for entry in list(self.backpressured_by_id.values()):
            self.update_backpressured(entry, now)
        found = []
        for entry in self.backpressured_by_id.values():
            if entry.upstream.service == service:
                found.append(entry)
        return found

    def record_start(
        self, entry: UpstreamEntry, started_ms: int | None, now: float = 0.0
    ) -> bool:
        """Record a process's start time; return whether the process is a new one.

        The store may still hold the entry of the previous process.
        """
        upstream = entry.upstream
        if self.entries_by_id.get(upstream.id) is not entry:
            return False
        if started_ms is None or upstream.started_ms is None:
            return False
        if started_ms <= upstream.started_ms or started_ms in entry.earlier_starts:
            return False
        removed_at, expires_at = entry.removed_at, entry.expires_at
        restarted = attrs.evolve(upstream, started_ms=started_ms, software_version=None)
        self._replace_process(entry, restarted, now)
        replacement = self.entries_by_id[upstream.id]
        replacement.removed_at = removed_at
        replacement.expires_at = expires_at
        self._record_version(replacement, now)
        return True

    def restarts_known_until(self) -> float:
        """Return the time up to which all restarts of upstreams are known."""
        return self.confirmed_at() - REGISTRATION_SECONDS

    def record_software_version(
        self, entry: UpstreamEntry, version: str, now: float
    ) -> None:
        """Record the software version that an upstream states in a response."""
        if entry.upstream.software_version == version:
            return
        entry.upstream = attrs.evolve(entry.upstream, software_version=version)
        self._record_version(entry, now)

    def observe_versions(self, now: float) -> None:
        """Record which versions the registered upstreams have now."""
        for entry in self.entries_by_id.values():
            if entry.removed_at is None:
                self._record_version(entry, now)

    def versions_by_service(self) -> dict[str, set[str | None]]:
        """Return the software versions of the registered upstreams of each service."""
        found: dict[str, set[str | None]] = {}
        for entry in self.entries_by_id.values():
            if entry.removed_at is None:
                versions = found.setdefault(entry.upstream.service, set())
                versions.add(entry.upstream.software_version)
        return found

    def _record_version(self, entry: UpstreamEntry, now: float) -> None:
        upstream = entry.upstream
        if upstream.software_version is None and upstream.states_version:
            # It declines what another version has to run.
            return
        self.versions.record(upstream.service, upstream.software_version, now)

    def _replace_process(
        self, entry: UpstreamEntry, upstream: Upstream, now: float
    ) -> None:
        """Discard all state of the previous process with an upstream's id."""
        before = entry.upstream
        known_start_ms = before.started_ms or 0
        replaced = Replacement(
            before.started_ms, self.restarts_known_until(), now, entry.seen_until
        )
        replacements = (*entry.replacements, replaced)[-MAX_EARLIER_STARTS:]
        if (upstream.started_ms or 0) > known_start_ms:
            starts = (*entry.earlier_starts, known_start_ms)[-MAX_EARLIER_STARTS:]
            replacement = UpstreamEntry(
                upstream, earlier_starts=starts, replacements=replacements
            )
            self.brittle_by_id.pop(upstream.id, None)
            replacement.extend_cold(self.cold_seconds_of(upstream.service), now)
            self.entries_by_id[upstream.id] = replacement
            self.replaced_entries[entry] = replaced
            self.abort_replaced(now)
        else:
            # Either the process's clock was set back, or this is a late report of an
            # earlier process that this router never knew: it is uncertain whether the
            # known process has ended.
            entry.upstream = upstream
            entry.seen_until = -math.inf
            entry.replacements = replacements
            entry.removed_at = None
            entry.health = Health()
            entry.backpressure = Backpressure()
            self.brittle_by_id.pop(upstream.id, None)
        log_event(
            "upstream started again",
            upstream=upstream.id,
            started_ms=upstream.started_ms,
            before_ms=known_start_ms,
            open_sends=len(entry.open_sends),
            request_ids=logged_request_ids(entry.open_sends),
        )
        notify(self.restart_listeners, before)

    def abort_replaced(self, now: float) -> None:
        """Abort sends to replaced processes, unless their answers still arrive.

        A process whose VM lost power resets no connections, so each of these sends
        would wait for its timeout. Sends that may have reached the new process, whose
        start was not known yet, stay open: for a while if they have no answer yet.
        """
        for entry, replacement in list(self.replaced_entries.items()):
            for send in list(entry.open_sends):
                if send.is_arriving(now) or replacement.may_run(send, now):
                    continue
                send.handle.abort()
            if not entry.open_sends:
                del self.replaced_entries[entry]

    def remove(self, upstream_id: str, now: float, *, expires_at: float = 0.0) -> bool:
        """Record that an upstream's entry has vanished; return whether that is new.

        Parameters
        ----------
        expires_at
            Until when the entry may come back, if the store has just been unavailable.
        """
        entry = self.entries_by_id.get(upstream_id)
        if entry is None or entry.removed_at is not None:
            return False
        entry.removed_at = now
        entry.expires_at = expires_at
        return True

    def changed(self) -> None:
        """Notify the listeners that upstreams have changed."""
        notify(self.listeners)

    def prune(self, before: float) -> list[Upstream]:
        """Drop and return upstreams that vanished before a time and are idle."""
        dropped = []
        for upstream_id, entry in list(self.entries_by_id.items()):
            if (
                entry.removed_at is None
                or entry.removed_at > before
                or entry.open_requests
            ):
                continue
            dropped.append(self.entries_by_id.pop(upstream_id).upstream)
            self.brittle_by_id.pop(upstream_id, None)
        return dropped

    def count(self) -> int:
        """Return how many upstreams accept work."""
        return sum(1 for entry in self.entries_by_id.values() if entry.takes_work)

    def count_cold(self, now: float) -> int:
        """Return how many upstreams that accept work are cold."""
        found = 0
        for entry in self.entries_by_id.values():
            found += entry.takes_work and now < entry.cold_until
        return found

    def count_limited(self) -> int:
        """Return how many upstreams have a rate limit."""
        entries = self.backpressured_by_id.values()
        return sum(1 for entry in entries if entry.backpressure.limit is not None)

    def mark_data_centre_cold(self, data_centre: str, now: float) -> None:
        """Treat all upstreams of a data centre as just started."""
        for entry in self.entries_by_id.values():
            if entry.upstream.data_centre == data_centre:
                entry.extend_cold(self.cold_seconds_of(entry.upstream.service), now)

    def has_address(self, address: str) -> bool:
        """Return whether any known upstream has an address."""
        return any(True for _ in self.at_address(address))

    def at_address(self, address: str) -> Iterator[UpstreamEntry]:
        """Yield the upstreams with an address; it may be used again by another one."""
        for entry in self.entries_by_id.values():
            if entry.upstream.address == address:
                yield entry

    def registered_ids(self, service: str) -> list[str]:
        """Return the ids of a service's registered upstreams, draining or not."""
        found = []
        for upstream_id, entry in self.entries_by_id.items():
            if entry.upstream.service == service and entry.removed_at is None:
                found.append(upstream_id)
        return found

    def available(self, service: str, now: float) -> Iterator[UpstreamEntry]:
        """Yield the upstreams of a service that accept work, or may do so again."""
        for entry in self.entries_by_id.values():
            if entry.upstream.service != service:
                continue
            if entry.takes_work or entry.may_return(now):
                yield entry
