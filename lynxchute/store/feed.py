"""Keep a copy of a table in step with the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
from absl import logging

from lynxchute.application import BackgroundTask
from lynxchute.clock import steady_seconds
from lynxchute.store.rows import Changes, Row
from lynxchute.store.store import HistoryLost, Store, StoreUnavailable

# Whoever was away for so many seconds has missed changes, and lists the table: a list
# holds each row once, where the history holds all its values; sixty configurations of
# 60 KB take six seconds over a link of 5 Mbit/s, the newest one a tenth. After a
# shorter silence there is little to miss, and a list would fill such a link.
MISSED_SECONDS = 3.0


@attrs.frozen
class FeedTimes:
    """How a feed asks.

    Attributes
    ----------
    wait
        Seconds that the store may hold a question while nothing changes.
    pause
        Seconds between two questions, so that several changes come in one
        answer.
    retry
        Seconds until the next question after a failure.
    """

    wait: float = 2.0
    pause: float = 0.0
    retry: float = 0.2


class TableFeed(BackgroundTask):
    """Copy a table of the store and follow its changes.

    Versions of a row only grow here, whatever order answers come in.

    Parameters
    ----------
    store
        Where the table stands.
    table
        Its name.
    times
        How to ask.
    on_row
        Called with each row that has changed, one after the other; one that it
        cannot take costs no other row.
    on_page
        Called after the rows of an answer have been taken.

    Attributes
    ----------
    rows_by_key
        The table as far as it is known.
    version
        The version of the store up to which changes are known.
    heard_at
        When the store last answered, on the steady clock in seconds.
    lost_at
        When it stopped answering; None while it answers.
    regained_at
        When it began to answer again.
    confirmed_at
        When the store was last asked for changes and had none, or for the whole
        table: what stood there then is known here.
    listed_at
        When the whole table was last asked for.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        *,
        times: FeedTimes,
        on_row: Callable[[Row], None],
        on_batch: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = steady_seconds,
    ) -> None:
        super().__init__()
        self.table = table
        self.rows_by_key: dict[str, Row] = {}
        self.version = 0
        self.heard_at: float | None = None
        self.unavailable_since: float | None = None
        self.recovered_at = 0.0
        self.confirmed_at = float("-inf")
        self.listed_at = float("-inf")
        self.synced = asyncio.Event()
        self._store = store
        self._times = times
        self._on_row = on_row
        self._on_page = on_batch
        self._clock = clock
        self._listed = False
        self._confirming: asyncio.Task[bool] | None = None

    def seconds_since_answer(self, now: float) -> float:
        """Return the seconds since the store last answered this feed."""
        return float("inf") if self.heard_at is None else now - self.heard_at

    async def ensure_current(
        self, *, within: float, max_list_age: float, patience: float
    ) -> bool:
        """Return whether the table is known as it stood a moment ago.

        An answer with changes proves nothing of the kind, since it may hold the
        first of many. One without any does, but while the store's watchers hear
        nothing; only a list proves it then.

        Parameters
        ----------
        within
            Seconds that the last answer without changes may be old.
        list_within
            Seconds that the last list may be old.
        patience
            Seconds that asking may take.
        """
        if self._confirming is None or self._confirming.done():
            asking = self._confirm(within, max_list_age, patience)
            self._confirming = asyncio.create_task(asking)
        # All who wait share one question: one after the other they would wait for
        # each other's time to run out while the store is away.
        return await asyncio.shield(self._confirming)

    async def _confirm(
        self, within: float, max_list_age: float, patience: float
    ) -> bool:
        now = self._clock()
        try:
            async with asyncio.timeout(patience):
                if self.listed_at <= now - max_list_age:
                    await self._list()
                while self.confirmed_at <= now - within:
                    await self._ask(0.0)
        except HistoryLost:
            # The table is listed again; what it says then is still to come.
            self._listed = False
            return False
        except (StoreUnavailable, TimeoutError) as error:
            logging.info(
                "could not verify that the table is current",
                extra={"fields": {"table": self.table, "reason": repr(error)}},
            )
            return False
        return True

    def apply_rows(self, rows: tuple[Row, ...]) -> None:
        """Take rows that the store had, however they came here."""
        changed = []
        for row in rows:
            known = self.rows_by_key.get(row.id.key)
            if known is not None and known.version >= row.version:
                continue
            self.rows_by_key[row.id.key] = row
            changed.append(row)
        self._tell(changed)

    def live_rows(self) -> list[Row]:
        """Return the rows that have not been dropped."""
        return [row for row in self.rows_by_key.values() if not row.deleted]

    async def stop(self) -> None:
        """End at once."""
        await super().stop()
        if self._confirming is not None:
            self._confirming.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except StoreUnavailable as error:
                self._note_lost(error)
                await asyncio.sleep(self._times.retry)
            except HistoryLost:
                logging.info(
                    "change history lost; listing the table again",
                    extra={"fields": {"table": self.table, "version": self.version}},
                )
                self._listed = False
            except Exception:
                logging.exception("feed of table %s failed; retrying", self.table)
                await asyncio.sleep(self._times.retry)

    async def _step(self) -> None:
        if (
            self.unavailable_since is not None
            and self._clock() - self.unavailable_since > MISSED_SECONDS
        ):
            self._listed = False
        if not self._listed:
            await self._list()
        # After a silence, hear at once that the store is back.
        wait = self._times.wait if self.unavailable_since is None else 0.0
        changes = await self._ask(wait)
        if self._times.pause and changes.rows:
            await asyncio.sleep(self._times.pause)

    async def _ask(self, wait: float) -> Changes:
        """Ask for changes and take them."""
        asked_at = self._clock()
        changes = await self._store.changes(self.table, after=self.version, wait=wait)
        self._note_heard()
        # An empty answer may bear a version beyond changes that it does not
        # tell, while the store's watchers hear nothing; only rows are proof.
        # After a quiet spell the history is gone, and the table is listed.
        for row in changes.rows:
            self.version = max(self.version, row.version)
        self.apply_rows(changes.rows)
        if not changes.rows:
            self.confirmed_at = max(self.confirmed_at, asked_at)
        return changes

    async def _list(self) -> None:
        asked_at = self._clock()
        snapshot = await self._store.scan(self.table)
        self._note_heard()
        if snapshot.version < self.version:
            raise StoreUnavailable("the store answered with an older state")
        self._drop_missing(snapshot.rows, snapshot.version)
        self.version = snapshot.version
        self._listed = True
        self.listed_at = asked_at
        self.confirmed_at = max(self.confirmed_at, asked_at)
        self.apply_rows(snapshot.rows)
        self.synced.set()

    def _drop_missing(self, rows: tuple[Row, ...], version: int) -> None:
        """Take rows that a list no longer has as dropped."""
        present = {row.id.key for row in rows}
        dropped = []
        for key, row in self.rows_by_key.items():
            if key in present or row.deleted or row.version > version:
                continue
            dropped.append(attrs.evolve(row, version=version, deleted=True))
        for row in dropped:
            self.rows_by_key[row.id.key] = row
        self._tell(dropped)

    def _tell(self, rows: list[Row]) -> None:
        """Hand rows on, each by itself.

        They count as known from now on, and are not handed on again: whatever one
        of them makes fail, the others of its page must be taken.
        """
        if not rows:
            return
        for row in rows:
            try:
                self._on_row(row)
            except Exception:
                logging.exception(
                    "row %s of table %s could not be applied", row.id.key, self.table
                )
        try:
            self._on_page()
        except Exception:
            logging.exception("batch callback of table %s failed", self.table)

    def _note_heard(self) -> None:
        now = self._clock()
        self.heard_at = now
        if self.unavailable_since is None:
            return
        silent = round(now - self.unavailable_since, 3)
        self.unavailable_since = None
        self.recovered_at = now
        logging.info(
            "the store answers again",
            extra={"fields": {"table": self.table, "silent_s": silent}},
        )

    def _note_lost(self, error: Exception) -> None:
        if self.unavailable_since is not None:
            return
        self.unavailable_since = self._clock()
        logging.warning(
            "the store does not answer",
            extra={"fields": {"table": self.table, "reason": str(error)}},
        )
