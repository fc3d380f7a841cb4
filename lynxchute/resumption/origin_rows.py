"""Origins of streams in the store, for routers that cannot ask one another."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable, Sequence
from functools import partial

import attrs

from lynxchute.application import PeriodicTask, Tasks
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import from_json, to_json
from lynxchute.fleet.origin_messages import KnownOrigin, OriginNotice
from lynxchute.resumption.origin_memory import OriginMemory
from lynxchute.resumption.origin_messages import from_message, to_message
from lynxchute.store import OutcomeUnknown, Put, RowId, Store, StoreUnavailable, Write
from lynxchute.store.fresh_read import FreshRead
from lynxchute.store.row_value import RowValue
from lynxchute.telemetry import log_event
from lynxchute.upstreams.stream_origin import StreamOrigin

TABLE = "stream-origins"
ROW_KEY = "origins"
# Seconds between two checks for origins to write.
CHECK_SECONDS = 0.05
# Least seconds between two writes of a router, and the writes a second that all routers
# make together at most.
MIN_PUBLISH_SECONDS = 0.25
MAX_WRITES_PER_SECOND = 40
# Seconds beyond the last one that needs it for which a row is incomplete.
INCOMPLETE_MARGIN_SECONDS = 30.0
# Least seconds between two reads of a row, and seconds until the store must have
# answered.
READ_INTERVAL_SECONDS = 0.3
READ_SECONDS = 0.6
# Seconds that a stream waits until its origin is stored.
STORE_SECONDS = 0.3
# Newest origins in a row, which may have 64 KiB; some 180 bytes each.
MAX_ROW_ORIGINS = 300


@attrs.frozen
class _Begun:
    """An origin that is stored before its stream begins.

    Attributes
    ----------
    number
        Counts the origins to store; 0 for one of the VM's last process.
    """

    origin: StreamOrigin
    expires_at: float
    number: int


class OriginRows:
    """Writes the origins that this router may go by, and reads those of others.

    Each router has one row, in a partition of its own. The rows outlive the death of
    all routers, and can be read while routers do not reach one another. A row that is
    full says until when it lacks origins that would have to be stored.

    Parameters
    ----------
    store
        The store.
    members
        The registered routers.
    memory
        The origins that this router knows.
    is_sole_version
        Returns whether a service is known to have one software version only.
    is_needed
        Returns whether a service may have several.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        store: Store,
        members: Members,
        memory: OriginMemory,
        is_sole_version: Callable[[str], bool],
        is_needed: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.loop = PeriodicTask(
            "rows of origins", self.publish, CHECK_SECONDS, self._is_due
        )
        self.tasks = Tasks()
        self._store = store
        self._members = members
        self._memory = memory
        self._is_sole_version = is_sole_version
        self._is_needed = is_needed
        self._clock = clock
        self._published_changes = 0
        # Origins that are stored before the first events of their streams, and until
        # when. Those of the VM's last process are among them.
        self._begun_by_key: dict[str, _Begun] = {}
        self._has_read_own = False
        # Until when this router's row is incomplete, as requested and as stored.
        self._incomplete_until = -math.inf
        self._stored_incomplete_until = -math.inf
        self._incomplete_ms_by_vm: dict[str, int] = {}
        # Numbers of the last origin to store, and of the last one that is stored.
        self._requested = 0
        self._stored = 0
        self._storing: asyncio.Task[None] | None = None
        self._storing_since = -math.inf
        self._has_failed = False
        self._lock = asyncio.Lock()
        self._published_at = -math.inf
        self._reading_by_vm: dict[str, FreshRead[None]] = {}
        # When the rows as they are known were asked for, and when they arrived.
        self._asked_at_by_vm: dict[str, float] = {}
        self._read_at_by_vm: dict[str, float] = {}
        self._origins_by_vm: dict[str, dict[str, KnownOrigin]] = {}

    def _is_due(self) -> bool:
        if self._memory.changes == self._published_changes or not self._is_needed():
            return False
        interval = max(MIN_PUBLISH_SECONDS, self._members.count / MAX_WRITES_PER_SECOND)
        return self._clock() - self._published_at >= interval

    def has_stored(self, key: str) -> bool:
        """Return whether the origin of an attempt was to be stored."""
        return key in self._begun_by_key

    async def store(
        self,
        key: str,
        origin: StreamOrigin,
        expires_at: float,
        *,
        seconds: float = STORE_SECONDS,
        may_give_up: bool = True,
    ) -> bool:
        """Store the origin of a stream before it begins; return whether it is stored.

        Streams that begin at the same time share a write.

        Parameters
        ----------
        seconds
            How long to wait for the store.
        may_give_up
            Whether not to wait while the store does not answer.
        """
        known = self._begun_by_key.get(key)
        is_same = known is not None and known.origin.is_same_process(origin)
        if is_same and known is not None and known.number <= self._stored:
            return True
        is_full = known is None and len(self._begun_by_key) >= MAX_ROW_ORIGINS
        if is_full and expires_at <= self._stored_incomplete_until:
            return True
        if may_give_up and self._is_store_away():
            self._start_storing()
            return False
        self._requested += 1
        own = self._requested
        if is_full:
            until = expires_at + INCOMPLETE_MARGIN_SECONDS
            self._incomplete_until = max(self._incomplete_until, until)
        else:
            self._begun_by_key[key] = _Begun(origin, expires_at, own)
        return await self._wait_stored(own, seconds, may_give_up=may_give_up)

    async def _wait_stored(
        self, number: int, seconds: float, *, may_give_up: bool
    ) -> bool:
        """Wait until a request to store is done; return whether it is."""
        until = self._clock() + seconds
        while self._stored < number:
            left = until - self._clock()
            if left <= 0 or (may_give_up and self._has_failed):
                return False
            await asyncio.wait([self._start_storing()], timeout=left)
            if self._has_failed:
                await asyncio.sleep(CHECK_SECONDS)
        return True

    def _is_store_away(self) -> bool:
        """Return whether the last write failed, or the present one takes too long."""
        if self._has_failed:
            return True
        if self._storing is None or self._storing.done():
            return False
        return self._clock() - self._storing_since > STORE_SECONDS

    def _start_storing(self) -> asyncio.Task[None]:
        if self._storing is None or self._storing.done():
            self._storing_since = self._clock()
            self._storing = self.tasks.spawn(self.publish())
        return self._storing

    async def publish(self) -> None:
        """Write the newest origins to this router's row."""
        async with self._lock:
            await self._publish()

    async def _publish(self) -> None:
        now = self._clock()
        now_ms = self._store.clock.earliest_ms(now)
        if not now_ms or not await self._read_own():
            self._has_failed = True
            return
        self._published_at = now
        requested = self._requested
        changes = self._memory.changes
        notice = OriginNotice(self._newest(now))
        incomplete_until = self._incomplete_until
        if notice.origins or incomplete_until > now:
            value = {"now_ms": now_ms, **to_json(notice)}
            if incomplete_until > now:
                left_ms = int((incomplete_until - now) * 1000)
                value["incomplete_until_ms"] = now_ms + left_ms
            row_id = RowId(TABLE, ROW_KEY, self._members.own.vm)
            put = Put(row_id, json.dumps(value, separators=(",", ":")).encode())
            try:
                await self._store.write(Write(puts=(put,)))
            except (StoreUnavailable, OutcomeUnknown) as error:
                log_event("stream origins not written", reason=str(error))
                self._has_failed = True
                return
        self._published_changes = changes
        self._stored = requested
        self._stored_incomplete_until = incomplete_until
        self._has_failed = False

    def _newest(self, now: float) -> tuple[KnownOrigin, ...]:
        """Return the origins for the row: those to store, then the newest others."""
        for key, item in list(self._begun_by_key.items()):
            if item.expires_at <= now:
                del self._begun_by_key[key]
        known_by_key = {}
        for key, origin, expires_at in self._memory.items(now):
            if not (origin.is_proven or origin.is_assumed):
                continue
            if not self._is_sole_version(origin.service):
                known_by_key[key] = to_message(key, origin, expires_at, now)
        begun = []
        for key, item in self._begun_by_key.items():
            known = known_by_key.pop(key, None)
            begun.append(known or to_message(key, item.origin, item.expires_at, now))
        left = MAX_ROW_ORIGINS - len(begun)
        others = list(known_by_key.values())[-left:] if left > 0 else []
        return (*begun, *others)

    async def _read_own(self) -> bool:
        """Take over the origins of the VM's last process; return whether it is done."""
        if self._has_read_own:
            return True
        vm = self._members.own.vm
        await self._read_shared(vm)
        read_at = self._read_at_by_vm.get(vm)
        if read_at is None:
            return False
        self._has_read_own = True
        now_ms = self._store.clock.earliest_ms(read_at)
        left_ms = self._incomplete_ms_by_vm.get(vm, 0) - now_ms
        self._incomplete_until = max(self._incomplete_until, read_at + left_ms / 1000)
        for key, known in self._origins_by_vm[vm].items():
            begun = _Begun(from_message(known, read_at), read_at + known.keep, 0)
            self._begun_by_key.setdefault(key, begun)
        return True

    def are_complete(self, vms: Sequence[str]) -> bool:
        """Return whether the rows of routers lack no origin that has to be stored."""
        now_ms = self._store.clock.earliest_ms(self._clock())
        return all(self._incomplete_ms_by_vm.get(vm, 0) <= now_ms for vm in vms)

    def have_read(self, vms: Sequence[str], since: float) -> bool:
        """Return whether the rows of routers were read as they are since a time."""
        return all(self._asked_at_by_vm.get(vm, -math.inf) >= since for vm in vms)

    async def find(self, key: str, vms: Sequence[str]) -> StreamOrigin | None:
        """Return an origin that one of some routers has written, if any.

        The rows are read after this call: a stream that a caller takes up may have
        begun, or have been stored again with another origin, just before.
        """
        called_at = self._clock()
        try:
            async with asyncio.timeout(READ_INTERVAL_SECONDS + READ_SECONDS):
                await asyncio.gather(*(self._read_shared(vm) for vm in vms))
        except TimeoutError:
            log_event("stream origins not read in time", routers=len(vms))
        for vm in vms:
            known = self._origins_by_vm.get(vm, {}).get(key)
            if known is None or not self.have_read([vm], called_at):
                continue
            elapsed = self._clock() - self._read_at_by_vm[vm]
            if elapsed < known.keep:
                return from_message(known, self._clock() - elapsed)
        return None

    async def _read_shared(self, vm: str) -> None:
        """Read the row of a router once for all streams that wait for it."""
        reading = self._reading_by_vm.get(vm)
        if reading is None:
            reading = FreshRead(
                partial(self._read, vm),
                self.tasks,
                interval=READ_INTERVAL_SECONDS,
                clock=self._clock,
            )
            self._reading_by_vm[vm] = reading
        await reading.get()

    async def _read(self, vm: str) -> None:
        """Read the row of a router."""
        asked_at = self._clock()
        try:
            row = await self._store.read(RowId(TABLE, ROW_KEY, vm))
        except StoreUnavailable as error:
            log_event("stream origins not read", peer=vm, reason=str(error))
            return
        now = self._clock()
        now_ms = self._store.clock.earliest_ms(now)
        origins_by_key: dict[str, KnownOrigin] = {}
        incomplete_ms = 0
        if row is not None:
            try:
                origins_by_key, incomplete_ms = _decode(row.value, now_ms)
            except (ValueError, KeyError, TypeError, OverflowError) as error:
                # The row does not count as read: nobody knows what it lacks.
                log_event("stream origins not decoded", peer=vm, reason=repr(error))
                return
        self._asked_at_by_vm[vm] = asked_at
        self._read_at_by_vm[vm] = now
        self._origins_by_vm[vm] = origins_by_key
        self._incomplete_ms_by_vm[vm] = incomplete_ms


def _decode(value: bytes, now_ms: int) -> tuple[dict[str, KnownOrigin], int]:
    """Return the origins of a row by key, and until when it lacks some."""
    fields = RowValue.decode(value).fields
    notice: OriginNotice = from_json(fields, OriginNotice)
    elapsed = max(now_ms - int(fields["now_ms"]), 0) / 1000.0
    found = {}
    for known in notice.origins:
        found[known.key] = attrs.evolve(
            known, age=known.age + elapsed, keep=known.keep - elapsed
        )
    return found, int(fields.get("incomplete_until_ms", 0))
