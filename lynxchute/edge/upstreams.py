"""Keep the directory of upstreams in step with the store."""

from __future__ import annotations

from lynxchute.application import Component
from lynxchute.clock import steady_seconds
from lynxchute.edge.platform import Platform
from lynxchute.http import ClientPool
from lynxchute.store import Row, TableFeed
from lynxchute.store.feed import FeedTimes
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory

# Changes are fetched together at this interval, in seconds; a leaving upstream must
# be known in less than the deployment's bound.
PAUSE_SECONDS = 0.4
# Share of that bound for which the store may hold a question back: a connection that
# has gone silent shows a second after that. With a wait of 0.6 s 86 routers made 15,100
# calls to the store in the first 24 s of a day instead of 10,700 with one of 2 s.
WAIT_SHARE = 0.45
# Seconds after the store has come back in which entries that lapsed while it
# was away come back as well; the platform's own figure is about two.
LAPSE_SECONDS = 2.0
# An upstream that vanished is remembered while requests may still end there.
FORGET_AFTER = 30.0


class UpstreamWatcher(Component):
    """Follow what upstreams write about themselves.

    Parameters
    ----------
    platform
        Where they write it.
    directory
        What is kept in step.
    clients
        Connections to them; those of forgotten ones are closed.
    bound
        Seconds after which a leaving upstream must get nothing new.
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
            times=FeedTimes(wait=bound * WAIT_SHARE, pause=PAUSE_SECONDS),
            on_row=self._take,
            on_batch=self._note_page,
        )
        self._is_changed = False
        self._decode = platform.decode_upstream
        self._directory = directory
        self._clients = clients

    async def start(self) -> None:
        """Begin to follow."""
        await self.feed.start()

    async def stop(self) -> None:
        """Stop following."""
        await self.feed.stop()

    def _take(self, row: Row) -> None:
        self._is_changed = self._take_row(row, steady_seconds()) or self._is_changed

    def _note_page(self) -> None:
        now = steady_seconds()
        if not self.feed.synced.is_set():
            log_event("upstreams listed", count=self._directory.count())
        for upstream in self._directory.prune(now - FORGET_AFTER):
            self._clients.drop(upstream.address)
        if self._is_changed:
            self._is_changed = False
            self._directory.changed()

    def _take_row(self, row: Row, now: float) -> bool:
        """Take an entry; return whether it is news."""
        if row.deleted:
            # A feed that never lost the store has regained_at at zero.
            expires_at = self.feed.recovered_at + LAPSE_SECONDS
            return self._remove(row, now, expires_at=expires_at)
        result = self._decode(row)
        if result.is_error():
            # It names no upstream to use, whatever it named before; what runs there
            # goes on.
            log_event("upstream entry cannot be decoded", problem=result.error)
            return self._remove(row, now, expires_at=0.0)
        upstream = result.ok
        entry = self._directory.entries_by_id.get(upstream.id)
        was_leaving = entry is not None and entry.upstream.is_leaving
        # What a later page brings has started since; the first list tells of all that
        # stood before.
        is_start = self.feed.synced.is_set()
        is_news = self._directory.put(upstream, now, is_start=is_start)
        # What stood there before is told in one line: 3,000 of them cost a start 0.2 s
        # of a processor.
        is_told = is_start or upstream.is_leaving
        if is_told and (entry is None or upstream.is_leaving != was_leaving):
            log_event(
                "upstream leaving" if upstream.is_leaving else "upstream registered",
                upstream=upstream.id,
                service=upstream.service,
                address=upstream.address,
                version=row.version,
            )
        return is_news

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
