"""A local replica of a table, updated from the store's change feed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
from absl import logging

from lynxchute.application import BackgroundTask
from lynxchute.clock import steady_seconds
from lynxchute.listeners import LogLimit
from lynxchute.store.era import era_of, number_of
from lynxchute.store.rows import Changes, Row
from lynxchute.store.store import HistoryLost, Store, StoreUnavailable

# After an outage of more than this many seconds, the table is listed instead of
# replaying the history: a listing contains only the newest value of each row, the
# history contains all values. Over a link of 5 Mbit/s, sixty configurations of 60 KB
# take six seconds, and the newest one alone takes a tenth of a second. After a shorter
# outage few changes were missed, and a listing would fill such a link.
MISSED_SECONDS = 3.0
# Seconds in which the owners of rows write again what a store lacks that has come back
# from a copy. Until then, a row that is missing does not count as deleted.
REWRITE_SECONDS = 2.0


@attrs.frozen
class FeedTimes:
    """Polling intervals of a feed.

    Attributes
    ----------
    wait
        Long-poll timeout in seconds: the store answers after this time even if nothing
        has changed.
    pause
        Seconds to wait after an answer with changes, so that further changes are
        batched into one answer.
    retry
        Seconds until the next request after a failure.
    """

    wait: float = 2.0
    pause: float = 0.0
    retry: float = 0.2


class TableFeed(BackgroundTask):
    """Replicate a table of the store and follow its changes.

    The version of a row never decreases, whatever order answers arrive in. When the
    store comes back from a copy, its rows replace the known ones, apart from rows that
    have been deleted since. Times are seconds on the monotonic clock.

    Parameters
    ----------
    store
        The store that has the table.
    table
        The name of the table.
    times
        The polling intervals.
    on_row
        Called with each changed row in turn. When it raises an exception for one row,
        the other rows are still passed to it.
    on_batch
        Called after all rows of an answer have been passed to `on_row`.
    on_restore
        Called after the first listing of a store that has come back from a copy, so
        that the owners of rows can write again what it lacks.
    clock
        Returns the time on the monotonic clock.

    Attributes
    ----------
    rows_by_key
        The replica, including deleted rows.
    version
        The version of the store up to which changes have been applied.
    last_answer_at
        When the store last answered; None until it has.
    unavailable_since
        When the store stopped answering; None while it answers.
    recovered_at
        When the store last began to answer again; 0 if it never stopped.
    confirmed_at
        Send time of the last request that returned no changes, or of the last
        listing. The replica includes all changes up to then.
    asked_at
        Send time of the last request that the store answered.
    known_until
        Until when all changes are known if the store's watchers miss none. An answer
        may have waited in a socket, so this does not depend on when it was read.
    listed_at
        Send time of the last listing of the whole table.
    older_keys
        Keys of rows that a copy shows in an older state than the one known before.
    synced
        Set once the whole table has been listed for the first time.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        *,
        times: FeedTimes,
        on_row: Callable[[Row], None],
        on_batch: Callable[[], None] = lambda: None,
        on_restore: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = steady_seconds,
    ) -> None:
        super().__init__()
        self.table = table
        self.rows_by_key: dict[str, Row] = {}
        self.version = 0
        self.last_answer_at: float | None = None
        self.unavailable_since: float | None = None
        self.recovered_at = 0.0
        self.confirmed_at = float("-inf")
        self.asked_at = float("-inf")
        self.known_until = float("-inf")
        self.listed_at = float("-inf")
        self.older_keys: set[str] = set()
        self.synced = asyncio.Event()
        self._store = store
        self._times = times
        self._on_row = on_row
        self._on_batch = on_batch
        self._on_restore = on_restore
        self._clock = clock
        self._is_listed = False
        self._log_limit = LogLimit()
        # The last live row of each deleted key, to recognise it in a copy.
        self._live_row_by_deleted_key: dict[str, Row] = {}
        # When rows that an era's first listing lacked count as deleted; None if none.
        self._rewritten_at: float | None = None
        self._refreshing: asyncio.Task[bool] | None = None

    def seconds_since_answer(self, now: float) -> float:
        """Return the seconds for which changes may be unknown, infinity at first."""
        return now - self.known_until

    def seconds_since_read(self, now: float) -> float:
        """Return the seconds since an answer was read, infinity at first."""
        return (
            float("inf") if self.last_answer_at is None else now - self.last_answer_at
        )

    async def confirm_current(
        self, *, within: float, max_list_age: float, patience: float
    ) -> bool:
        """Refresh the replica where it is stale; return whether it is current.

        An answer with changes does not prove that the replica is current, since more
        changes may follow. An empty answer does, except while the store's watchers
        miss changes; then only a listing does.

        Parameters
        ----------
        within
            Maximum age of the last answer without changes, in seconds.
        max_list_age
            Maximum age of the last listing, in seconds.
        patience
            Timeout for the requests to the store, in seconds.
        """
        if self._refreshing is None or self._refreshing.done():
            refresh = self._refresh(within, max_list_age, patience)
            self._refreshing = asyncio.create_task(refresh)
        # Concurrent callers share one refresh: in sequence, each would wait for the
        # timeouts of those before it while the store is unavailable.
        return await asyncio.shield(self._refreshing)

    async def _refresh(
        self, within: float, max_list_age: float, patience: float
    ) -> bool:
        now = self._clock()
        try:
            async with asyncio.timeout(patience):
                if self.listed_at <= now - max_list_age:
                    await self._list()
                while self.confirmed_at <= now - within:
                    await self._fetch_changes(0.0)
        except HistoryLost:
            # The background loop lists the table again; until then it is stale.
            self._is_listed = False
            return False
        except (StoreUnavailable, TimeoutError) as error:
            logging.info(
                "could not verify that the table is current",
                extra={"fields": {"table": self.table, "reason": repr(error)}},
            )
            return False
        return True

    def apply_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply rows of the store, from any source and in any order."""
        changed = []
        for row in rows:
            known = self.rows_by_key.get(row.id.key)
            if known is not None and known.version >= row.version:
                continue
            if self._is_deleted_since(row):
                continue
            self._replace(row)
            changed.append(row)
        self._notify(changed)

    def _replace(self, row: Row) -> None:
        """Put a row into the replica."""
        key = row.id.key
        known = self.rows_by_key.get(key)
        if known is not None and _is_older_state(row, known):
            self.older_keys.add(key)
        else:
            self.older_keys.discard(key)
        if not row.deleted:
            self._live_row_by_deleted_key.pop(key, None)
        elif known is not None and not known.deleted:
            self._live_row_by_deleted_key[key] = known
        self.rows_by_key[key] = row

    def _is_deleted_since(self, row: Row) -> bool:
        """Return whether a row of a copy is one that is known to have been deleted."""
        before = self._live_row_by_deleted_key.get(row.id.key)
        if before is None or era_of(row.version) <= era_of(before.version):
            return False
        is_same = number_of(row.version) == number_of(before.version)
        return is_same and row.value == before.value

    def live_rows(self) -> list[Row]:
        """Return the rows that are not deleted."""
        return [row for row in self.rows_by_key.values() if not row.deleted]

    async def stop(self) -> None:
        """Stop at once."""
        await super().stop()
        if self._refreshing is not None:
            self._refreshing.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except StoreUnavailable as error:
                self._record_failure(error)
                await asyncio.sleep(self._times.retry)
            except HistoryLost:
                logging.info(
                    "change history lost; listing the table again",
                    extra={"fields": {"table": self.table, "version": self.version}},
                )
                self._is_listed = False
                if self._clock() - self.listed_at < self._times.retry:
                    await asyncio.sleep(self._times.retry)
            except Exception:
                logging.exception("feed of table %s failed; retrying", self.table)
                await asyncio.sleep(self._times.retry)

    async def _step(self) -> None:
        if (
            self.unavailable_since is not None
            and self._clock() - self.unavailable_since > MISSED_SECONDS
        ):
            self._is_listed = False
        if self._rewritten_at is not None and self._clock() >= self._rewritten_at:
            self._is_listed = False
        if not self._is_listed:
            await self._list()
        # After an outage, do not long-poll: the answer shows at once that the store is
        # back.
        wait = self._times.wait if self.unavailable_since is None else 0.0
        if self._rewritten_at is not None:
            wait = min(wait, max(self._rewritten_at - self._clock(), 0.0))
        changes = await self._fetch_changes(wait)
        if self._times.pause and changes.rows:
            await asyncio.sleep(self._times.pause)

    async def _fetch_changes(self, wait: float) -> Changes:
        """Request changes and apply them."""
        asked_at = self._clock()
        changes = await self._store.changes(self.table, after=self.version, wait=wait)
        self._record_answer(asked_at)
        # While the store's watchers miss changes, an empty answer may carry a version
        # beyond changes that it does not include, so only rows advance the version.
        # After a long time without rows, the store no longer has the history after this
        # version, and the table is listed.
        for row in changes.rows:
            self.version = max(self.version, row.version)
        self.apply_rows(changes.rows)
        if not changes.rows:
            self.confirmed_at = max(self.confirmed_at, asked_at)
            # The store holds a poll without changes for as long as it was asked to.
            held = min(wait, self._clock() - asked_at)
            self.known_until = max(self.known_until, asked_at + held)
        return changes

    async def _list(self) -> None:
        asked_at = self._clock()
        snapshot = await self._store.scan(self.table)
        self._record_answer(asked_at)
        if snapshot.version < self.version:
            raise StoreUnavailable(
                f"the store answered with version {number_of(snapshot.version)} of era "
                f"{era_of(snapshot.version)}, older than {number_of(self.version)} of "
                f"era {era_of(self.version)}"
            )
        is_restored = bool(self.version) and (
            era_of(snapshot.version) > era_of(self.version)
        )
        self._update_rewrite_time(is_restored=is_restored)
        if self._rewritten_at is None:
            self._delete_missing(snapshot.rows, snapshot.version)
        self.version = snapshot.version
        self._is_listed = True
        self.listed_at = asked_at
        self.confirmed_at = max(self.confirmed_at, asked_at)
        self.apply_rows(snapshot.rows)
        self.synced.set()
        if is_restored:
            self._on_restore()

    def _update_rewrite_time(self, *, is_restored: bool) -> None:
        """Keep missing rows for a while after the store came back from a copy."""
        now = self._clock()
        if is_restored:
            self._rewritten_at = now + REWRITE_SECONDS
        elif self._rewritten_at is not None and now >= self._rewritten_at:
            self._rewritten_at = None

    def _delete_missing(self, rows: tuple[Row, ...], version: int) -> None:
        """Mark rows as deleted that a listing no longer includes."""
        present = {row.id.key for row in rows}
        deleted = []
        for key, row in self.rows_by_key.items():
            if key in present or row.deleted or row.version > version:
                continue
            deleted.append(attrs.evolve(row, version=version, deleted=True))
        for row in deleted:
            self._replace(row)
        self._notify(deleted)

    def _notify(self, rows: list[Row]) -> None:
        """Pass rows to the callbacks, each row by itself.

        The rows are already part of the replica and are not passed on again, so an
        exception for one row must not skip the other rows of its batch.
        """
        if not rows:
            return
        for row in rows:
            try:
                self._on_row(row)
            except Exception:
                self._log_failed_row(row)
        try:
            self._on_batch()
        except Exception:
            if self._log_limit.allows():
                logging.exception("batch callback of table %s failed", self.table)

    def _log_failed_row(self, row: Row) -> None:
        if self._log_limit.allows():
            logging.exception(
                "row %s of table %s could not be applied",
                row.id.key,
                self.table,
                extra={
                    "fields": {
                        "version": row.version,
                        "suppressed": self._log_limit.take_suppressed(),
                    }
                },
            )

    def _record_answer(self, asked_at: float) -> None:
        now = self._clock()
        self.last_answer_at = now
        self.asked_at = max(self.asked_at, asked_at)
        self.known_until = max(self.known_until, asked_at)
        if self.unavailable_since is None:
            return
        outage_seconds = round(now - self.unavailable_since, 3)
        self.unavailable_since = None
        self.recovered_at = now
        logging.info(
            "the store answers again",
            extra={"fields": {"table": self.table, "silent_s": outage_seconds}},
        )

    def _record_failure(self, error: Exception) -> None:
        if self.unavailable_since is not None:
            return
        self.unavailable_since = self._clock()
        logging.warning(
            "the store does not answer",
            extra={"fields": {"table": self.table, "reason": str(error)}},
        )


def _is_older_state(row: Row, known: Row) -> bool:
    """Return whether a row of a later era was written before the known one."""
    if era_of(row.version) <= era_of(known.version):
        return False
    return number_of(row.version) < number_of(known.version)
