"""Update the directory of upstreams from the store."""

from __future__ import annotations

import attrs

from lynxchute.application import Component
from lynxchute.clock import steady_seconds
from lynxchute.edge.platform import Platform
from lynxchute.http import ClientPool
from lynxchute.listeners import LogLimit
from lynxchute.store import Row, TableFeed
from lynxchute.store.feed import FeedTimes
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory

# Interval in seconds at which changes are fetched in batches; a draining upstream must
# be known within the deployment's drain bound.
FETCH_INTERVAL_SECONDS = 0.4
# Long-poll timeout as a fraction of the drain bound; a dead connection is detected one
# second after it. A short timeout loads the store: at 0.6 s, 86 routers made 15,100
# calls in the first 24 s of a run, at 2 s only 10,700.
LONG_POLL_SHARE = 0.45
# Seconds after a store outage in which upstreams may renew entries that expired during
# it; the platform itself allows about two seconds.
LAPSE_GRACE_SECONDS = 2.0
# Seconds for which a removed upstream is kept, since its open requests may still end.
REMOVED_RETENTION_SECONDS = 30.0


class UpstreamWatcher(Component):
    """Follows the registrations of upstreams in the store.

    Parameters
    ----------
    platform
        Services of the platform, and the table in which upstreams register.
    directory
        The directory to update.
    clients
        Connection pool; connections to pruned upstreams are closed.
    bound
        Maximum seconds until a draining upstream receives no new requests.
    """

    def __init__(
        self,
        platform: Platform,
        directory: Directory,
        clients: ClientPool,
        *,
        bound: float,
    ) -> None:
        self.feed = TableFeed(
            platform.store,
            platform.upstream_table,
            times=FeedTimes(wait=bound * LONG_POLL_SHARE, pause=FETCH_INTERVAL_SECONDS),
            on_row=self._handle_row,
            on_batch=self._handle_batch,
        )
        self._is_changed = False
        self._log_limit = LogLimit()
        self._decode = platform.decode_upstream
        self._directory = directory
        self._clients = clients

    async def start(self) -> None:
        """Start following the table."""
        await self.feed.start()

    async def stop(self) -> None:
        """Stop following the table."""
        await self.feed.stop()

    def _handle_row(self, row: Row) -> None:
        self._is_changed = self._apply_row(row, steady_seconds()) or self._is_changed

    def _handle_batch(self) -> None:
        now = steady_seconds()
        if not self.feed.synced.is_set():
            log_event("upstreams listed", count=self._directory.count())
        for upstream in self._directory.prune(now - REMOVED_RETENTION_SECONDS):
            self._clients.drop(upstream.address)
        if self._is_changed:
            self._is_changed = False
            self._directory.changed()

    def _apply_row(self, row: Row, now: float) -> bool:
        """Apply a row to the directory; return whether that changed anything."""
        if row.deleted:
            # `recovered_at` is zero if the feed has never lost the store.
            expires_at = self.feed.recovered_at + LAPSE_GRACE_SECONDS
            return self._remove(row, now, expires_at=expires_at)
        result = self._decode(row)
        if result.is_error():
            # An unreadable row offers no usable upstream, whatever the row held
            # before. Requests that already run there continue.
            self._log_invalid(row, result.error)
            return self._remove(row, now, expires_at=0.0)
        upstream = result.ok
        entry = self._directory.entries_by_id.get(upstream.id)
        was_leaving = entry is not None and entry.upstream.is_leaving
        if was_leaving and row.id.key in self.feed.older_keys:
            # The copy is older than the upstream's announcement, which still holds.
            upstream = attrs.evolve(upstream, is_leaving=True)
        # The first listing has upstreams that already ran; a row in a later batch
        # belongs to an upstream that has started since.
        is_start = self.feed.synced.is_set()
        is_change = self._directory.put(upstream, now, is_start=is_start)
        # The upstreams of the first listing are logged in one summary line: one line
        # for each of 3,000 upstreams took 0.2 s of processor time at the start.
        is_logged = is_start or upstream.is_leaving
        if is_logged and (entry is None or upstream.is_leaving != was_leaving):
            log_event(
                "upstream leaving" if upstream.is_leaving else "upstream registered",
                upstream=upstream.id,
                service=upstream.service,
                address=upstream.address,
                version=row.version,
                software=upstream.software_version,
            )
        return is_change

    def _log_invalid(self, row: Row, problem: str) -> None:
        if not self._log_limit.allows():
            return
        log_event(
            "upstream entry cannot be decoded",
            version=row.version,
            problem=problem,
            suppressed=self._log_limit.take_suppressed(),
        )

    def _remove(self, row: Row, now: float, *, expires_at: float) -> bool:
        removed = self._directory.remove(row.id.key, now, expires_at=expires_at)
        if removed:
            log_event(
                "upstream removed",
                upstream=row.id.key,
                version=row.version,
                may_be_back_s=round(max(expires_at - now, 0.0), 2),
            )
        return removed
