"""Keep the software versions of services in the store, for routers that start."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable

from lynxchute.application import PeriodicTask, Tasks
from lynxchute.fleet.members import Members
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
from lynxchute.store.row_value import RowValue
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory

ROW_KEY = "software-versions"
# Seconds between two observations of the registered versions.
OBSERVE_SECONDS = 1.0
# Seconds after which any router writes a change that the row still lacks.
TAKE_OVER_SECONDS = 3.0
# Seconds until a write that did not help is tried again.
RETRY_SECONDS = 0.05
# Seconds that a stream waits until the row names its version.
WAIT_SECONDS = 0.3
# Seconds that a stream waits until a router that has just started knows the row.
MAX_START_SECONDS = 2.0
# Seconds for which a version that is gone may still begin streams: entries that lapsed
# in an outage of the store come back within two seconds of its return.
GONE_GRACE_SECONDS = 5.0
# Seconds within which the store must answer what versions there are, and least seconds
# between two such questions.
READ_SECONDS = 0.6
READ_INTERVAL_SECONDS = 0.05
# Services of one version each need some 60 bytes of the row.
MAX_ROW_BYTES = 16_384

# Times beyond this one, in milliseconds, are mistakes.
MAX_TIME_MS = 2**53
# Name of the service and version in a row that has no room for all. Like any version
# it is kept for a while after it is gone, since the row lacks what left meanwhile.
TOO_MANY = "*"

# When a service last had a version, in milliseconds of the store's clock; None while it
# has it.
GoneByVersion = dict[str, int | None]
ALL_OF_MANY: GoneByVersion = {TOO_MANY: None}


class VersionRecord:
    """Follows and writes the row of software versions.

    A router that starts cannot see which versions a service had before. The row names
    them, so that it knows whether there was only one. A version begins no stream that
    may be resumed before the row names it.

    Parameters
    ----------
    store, table
        The store, and the table of the row.
    members
        The registered routers; one of them writes the row.
    directory
        The upstreams.
    keep_seconds
        Returns the seconds for which a version is kept after it is gone.
    is_table_known
        Returns whether the table with the row has been read.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        members: Members,
        directory: Directory,
        *,
        keep_seconds: Callable[[], float],
        is_table_known: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.loop = PeriodicTask("software versions", self.observe, OBSERVE_SECONDS)
        self._store = store
        self._row_id = RowId(table, ROW_KEY)
        self._members = members
        self._directory = directory
        self._keep_seconds = keep_seconds
        self._is_table_known = is_table_known
        self._clock = clock
        self._row_version = ABSENT
        self._gone_by_service: dict[str, GoneByVersion] = {}
        self._outdated_since = math.inf
        # Whether the row is to be written over, since nobody can decode it.
        self._is_unreadable = False
        self._writing: asyncio.Task[None] | None = None
        self.tasks = Tasks()
        self._reading = FreshRead(
            self._read, self.tasks, interval=READ_INTERVAL_SECONDS, clock=clock
        )

    def handle_row(self, row: Row) -> None:
        """Apply the row as the store has it."""
        if row.version < self._row_version:
            return
        self._row_version = ABSENT if row.deleted else row.version
        if row.deleted:
            self._gone_by_service = {}
            return
        try:
            self._gone_by_service = _decode(row.value)
        except ValueError as error:
            log_event("software versions cannot be decoded", problem=repr(error))
            self._is_unreadable = True
            self.loop.wake()
            return
        self._is_unreadable = False
        self._record_others()

    def is_recorded(self, service: str, version: str | None) -> bool:
        """Return whether routers that start learn of a version from the row."""
        if self._gone_by_service.get(TOO_MANY) == ALL_OF_MANY:
            return True
        gone_by_version = self._gone_by_service.get(service, {})
        if version is None or version not in gone_by_version:
            return False
        gone_ms = gone_by_version[version]
        if gone_ms is None:
            return True
        now_ms = self._store.clock.earliest_ms(self._clock())
        return now_ms - gone_ms < GONE_GRACE_SECONDS * 1000

    def has_had(self, service: str, version: str) -> bool:
        """Return whether streams may be left that began at a version."""
        return version in self._gone_by_service.get(service, {})

    async def read_versions(self, service: str) -> set[str | None] | None:
        """Return the versions that can have begun a stream which a caller knows of.

        A version begins no streams before the row names it, so the row as it is after
        the caller's request names the version that began the caller's stream.

        Returns
        -------
        set or None
            The versions, with None for ones that the row has no room for; None instead
            of a set if the store does not say.
        """
        gone_by_service = await self._reading.get()
        if gone_by_service is None:
            return None
        if TOO_MANY in gone_by_service:
            return {None}
        now_ms = self._store.clock.earliest_ms(self._clock())
        keep_ms = (self._keep_seconds() + GONE_GRACE_SECONDS) * 1000
        versions = set[str | None]()
        for version, gone_ms in gone_by_service.get(service, {}).items():
            if gone_ms is None or now_ms - gone_ms < keep_ms:
                versions.add(version)
        return versions

    async def _read(self) -> dict[str, GoneByVersion] | None:
        """Return the content of the row as it is now; None if that is not known."""
        try:
            async with asyncio.timeout(READ_SECONDS):
                row = await self._store.read(self._row_id)
            if row is None:
                return {}
            gone_by_service = _decode(row.value)
        except (StoreUnavailable, TimeoutError, ValueError) as error:
            log_event("software versions not read", reason=repr(error))
            return None
        self.handle_row(row)
        return gone_by_service

    async def ensure_recorded(self, service: str, version: str | None) -> bool:
        """Wait briefly until the row names a version; return whether it does."""
        if not self.is_recorded(service, version):
            await self._wait_for_table()
        until = self._clock() + WAIT_SECONDS
        while not self.is_recorded(service, version):
            left = until - self._clock()
            if left <= 0:
                return False
            if self._writing is None or self._writing.done():
                self._writing = self.tasks.spawn(self._write_current())
            await asyncio.wait([self._writing], timeout=left)
            if self._writing.done() and not self.is_recorded(service, version):
                # Nothing more can be done if it was not written just now.
                await asyncio.sleep(min(RETRY_SECONDS, left))
        return True

    async def _wait_for_table(self) -> None:
        """Wait until a router that has just started has read the table."""
        until = self._clock() + MAX_START_SECONDS
        while not self._is_table_known() and self._clock() < until:
            await asyncio.sleep(RETRY_SECONDS)

    async def _write_current(self) -> None:
        now_ms = self._store.clock.earliest_ms(self._clock())
        if now_ms:
            await self._write(self._current(now_ms))

    async def observe(self) -> None:
        """Record the versions in use, and write the row if it lacks a change."""
        now = self._clock()
        self._directory.observe_versions(now)
        if not self._is_table_known():
            return
        self._record_others()
        self._directory.versions.forget(now - self._keep_seconds())
        now_ms = self._store.clock.earliest_ms(now)
        current = self._current(now_ms)
        is_current = current == self._gone_by_service and not self._is_unreadable
        if not now_ms or is_current:
            self._outdated_since = math.inf
            return
        self._outdated_since = min(self._outdated_since, now)
        is_writer = self._members.owner_of_key(ROW_KEY) == self._members.own.vm
        if is_writer or now - self._outdated_since > TAKE_OVER_SECONDS:
            await self._write(current)

    def _record_others(self) -> None:
        """Record the versions that other routers have seen."""
        now = self._clock()
        now_ms = self._store.clock.earliest_ms(now)
        for service, gone_by_version in self._gone_by_service.items():
            for version, gone_ms in gone_by_version.items():
                age = 0 if gone_ms is None else max(now_ms - gone_ms, 0)
                seen_at = now - age / 1000.0
                self._directory.versions.record(service, version, seen_at)

    def _current(self, now_ms: int) -> dict[str, GoneByVersion]:
        """Return what the row should say."""
        keep_ms = (self._keep_seconds() + GONE_GRACE_SECONDS) * 1000
        present = self._directory.versions_by_service()
        current: dict[str, GoneByVersion] = {}
        for service in {*present, *self._gone_by_service}:
            versions = present.get(service, set())
            gone_by_version: GoneByVersion = {}
            for known, gone_ms in self._gone_by_service.get(service, {}).items():
                if gone_ms is None and None not in versions:
                    gone_ms = now_ms
                if gone_ms is None or now_ms - gone_ms < keep_ms:
                    gone_by_version[known] = gone_ms
            for version in versions:
                if version is not None:
                    gone_by_version[version] = None
            if gone_by_version:
                current[service] = gone_by_version
        if len(_encode(current)) > MAX_ROW_BYTES:
            return {TOO_MANY: ALL_OF_MANY}
        return current

    async def _write(self, current: dict[str, GoneByVersion]) -> None:
        if current.get(TOO_MANY) == ALL_OF_MANY:
            log_event("too many software versions for one row")
        value = _encode(current)
        expected = Expected(self._row_id, self._row_version)
        try:
            outcome = await self._store.write(
                Write((expected,), (Put(self._row_id, value),))
            )
        except (StoreUnavailable, OutcomeUnknown) as error:
            log_event("software versions not written", reason=str(error))
            return
        if isinstance(outcome, Committed):
            self._row_version, self._gone_by_service = outcome.version, current
            self._is_unreadable = False
            log_event("software versions written", versions=current)
            return
        self._row_version = ABSENT
        row = outcome.rows_by_id.get(self._row_id)
        if row is not None:
            # Another router has written it meanwhile.
            self.handle_row(row)


def _encode(gone_by_service: dict[str, GoneByVersion]) -> bytes:
    return json.dumps(gone_by_service, separators=(",", ":")).encode()


def _decode(value: bytes) -> dict[str, GoneByVersion]:
    """Return the content of the row; raise ValueError if it is invalid."""
    found: dict[str, GoneByVersion] = {}
    row = RowValue.decode(value)
    for service in row.fields:
        for version, gone_ms in row.mapping(service).items():
            if gone_ms is not None and not _is_time(gone_ms):
                raise ValueError(f"{version} of {service} is gone at no time")
            found.setdefault(service, {})[version] = gone_ms
    return found


def _is_time(value: object) -> bool:
    """Return whether a value is a number of milliseconds."""
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return 0 <= value <= MAX_TIME_MS
