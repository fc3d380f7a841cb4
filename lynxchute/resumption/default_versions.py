"""The software version at which streams began that nothing in the store names."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable

from lynxchute.application import Tasks
from lynxchute.resumption.version_record import (
    READ_INTERVAL_SECONDS,
    READ_SECONDS,
    VersionRecord,
)
from lynxchute.store import (
    Committed,
    Expected,
    OutcomeUnknown,
    Put,
    Row,
    RowId,
    Store,
    StoreUnavailable,
    Write,
)
from lynxchute.store.fresh_read import FreshRead
from lynxchute.store.row_value import RowValue, RowValueError
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory

ROW_KEY = "default-versions"
# Seconds that a stream waits until its service has a default version.
WAIT_SECONDS = 0.3


class DefaultVersions:
    """Follows and writes the row with the default version of each service.

    Where a service has several versions, origins of streams at all but its default
    version are in the store before their first event. So a stream of which the store
    names no origin began at the default version, even if no router remembers it. A
    default version changes only once no stream can be left that began at it.

    Parameters
    ----------
    store, table
        The store, and the table of the row.
    record
        Knows which versions a service has had while streams may be resumed.
    directory
        The upstreams.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        record: VersionRecord,
        directory: Directory,
        clock: Callable[[], float],
    ) -> None:
        self.tasks = Tasks()
        self._reading = FreshRead(
            self._read, self.tasks, interval=READ_INTERVAL_SECONDS, clock=clock
        )
        self._store = store
        self._row_id = RowId(table, ROW_KEY)
        self._record = record
        self._directory = directory
        self._row_version = ABSENT
        self._version_by_service: dict[str, str] = {}
        self._writing: asyncio.Task[None] | None = None

    def handle_row(self, row: Row) -> None:
        """Apply the row as the store has it."""
        if row.version < self._row_version:
            return
        self._row_version = ABSENT if row.deleted else row.version
        self._version_by_service = {}
        if row.deleted:
            return
        try:
            value = RowValue.decode(row.value)
            for service in value.fields:
                self._version_by_service[service] = value.text(service)
        except RowValueError as error:
            log_event("default versions cannot be decoded", problem=str(error))

    def get(self, service: str) -> str | None:
        """Return the default version of a service; None if it has none."""
        version = self._version_by_service.get(service)
        if version is None or not self._record.has_had(service, version):
            return None
        return version

    async def read(self, service: str) -> str | None:
        """Return the default version of a service as the store names it now."""
        return self.get(service) if await self._reading.get() else None

    async def _read(self) -> bool:
        """Read the row; return whether it is known now."""
        try:
            async with asyncio.timeout(READ_SECONDS):
                row = await self._store.read(self._row_id)
        except (StoreUnavailable, TimeoutError) as error:
            log_event("default versions not read", reason=repr(error))
            return False
        if row is not None:
            self.handle_row(row)
        return row is not None

    async def settle(self, service: str) -> str | None:
        """Return the default version of a service; have one written if it has none."""
        version = self.get(service)
        if version is not None:
            return version
        if self._writing is not None and not self._writing.done():
            # It may be for another service.
            await asyncio.wait([self._writing], timeout=WAIT_SECONDS)
            version = self.get(service)
            if version is not None:
                return version
        if self._writing is None or self._writing.done():
            self._writing = self.tasks.spawn(self._write(service))
        await asyncio.wait([self._writing], timeout=WAIT_SECONDS)
        return self.get(service)

    async def _write(self, service: str) -> None:
        version = self._most_common(service)
        if version is None:
            return
        versions = {**self._version_by_service, service: version}
        put = Put(self._row_id, json.dumps(versions, separators=(",", ":")).encode())
        expected = Expected(self._row_id, self._row_version)
        try:
            outcome = await self._store.write(Write((expected,), (put,)))
        except (StoreUnavailable, OutcomeUnknown) as error:
            log_event("default versions not written", reason=str(error))
            return
        if isinstance(outcome, Committed):
            self._row_version, self._version_by_service = outcome.version, versions
            log_event("default versions written", versions=versions)
            return
        self._row_version = ABSENT
        row = outcome.rows_by_id.get(self._row_id)
        if row is not None:
            # Another router has written it meanwhile.
            self.handle_row(row)

    def _most_common(self, service: str) -> str | None:
        """Return the version of most registered upstreams of a service."""
        counts = Counter[str]()
        for upstream_id in self._directory.registered_ids(service):
            upstream = self._directory.entries_by_id[upstream_id].upstream
            version = upstream.software_version
            if version and self._record.is_recorded(service, version):
                counts[version] += 1
        return min(counts, key=lambda name: (-counts[name], name), default=None)
