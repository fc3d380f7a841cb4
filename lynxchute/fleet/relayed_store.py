"""A store client that falls back to other routers while the store is unreachable."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lynxchute.clock import steady_seconds
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import Message
from lynxchute.fleet.server import PeerServer
from lynxchute.fleet.store_messages import (
    StoreChangesRequest,
    StoreReply,
    StoreScanRequest,
    StoreStatus,
    StoreWriteRequest,
    wire_rows,
)
from lynxchute.store import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Outcome,
    OutcomeUnknown,
    Row,
    RowId,
    Snapshot,
    Store,
    StoreUnavailable,
    Write,
)
from lynxchute.store.era import era_of, join_version, number_of
from lynxchute.telemetry import log_event

ResultT = TypeVar("ResultT")

# Maximum routers tried as relays for one call. If the store refuses some routers or
# some are cut off, one of these few still reaches it; if it is down, none does.
MAX_RELAYS_TRIED = 3
# Seconds until relays are tried again after none of them reached the store.
RELAYS_RETRY_SECONDS = 0.5
# Seconds between direct attempts during an outage, about as long as an unanswered one
# takes. A router that dies before it has rewritten its limit line loses most of its
# grants, so a router should notice the end of an outage soon.
DIRECT_RETRY_SECONDS = 0.5
# Seconds between requests for changes through a relay, which does not long-poll.
RELAYED_POLL_SECONDS = 0.25
# Seconds after which a row is read through another router too.
DIRECT_READ_SECONDS = 0.15
# Timeout in seconds of a relay's own call to the store. It is shorter than the asking
# router's timeout for the relay, so that a hanging store is not mistaken for an
# unreachable relay.
RELAYED_CALL_TIMEOUT = 0.4


class RelayedStore(Store):
    """Call the store directly, or through another router that still reaches it.

    Relays neither cache results nor create their own: each result comes from the
    store, with the store's versions and time.

    Parameters
    ----------
    direct
        The direct client of the store.
    members, peers
        The other routers, and the client for messages to them.
    clock
        Returns the seconds on the steady clock.
    """

    def __init__(
        self,
        direct: Store,
        members: Members,
        peers: Peers,
        clock: Callable[[], float] = steady_seconds,
    ) -> None:
        self.clock = direct.clock
        self.era = direct.era
        self._direct = direct
        self._members = members
        self._peers = peers
        self._now = clock
        self._direct_tried_at = 0.0
        self._relays_retry_at = 0.0
        self._is_cut_off = False
        self._relay_vm = ""

    def serve(self, server: PeerServer) -> None:
        """Register the handlers that call the store for other routers."""
        server.handlers_by_class[StoreWriteRequest] = self._handle_write
        server.handlers_by_class[StoreScanRequest] = self._handle_scan
        server.handlers_by_class[StoreChangesRequest] = self._handle_changes

    async def write(self, write: Write) -> Outcome:
        """Apply a write."""
        if not self._is_cut_off:
            try:
                return await self._call_directly(self._direct.write(write))
            except OutcomeUnknown as error:
                # The write may have been applied, so it must not be retried.
                if error.is_unresponsive:
                    self._record_direct_failure()
                raise
            except StoreUnavailable:
                self._record_direct_failure()
        reply, era = await self._call_relays(StoreWriteRequest.of(write))
        if reply.end is StoreStatus.DONE:
            return Committed(join_version(era, reply.version))
        rows_by_id: dict[RowId, Row | None] = {item.id: None for item in write.expected}
        for wire_row in reply.rows:
            row = wire_row.decoded(era)
            rows_by_id[row.id] = row
        return Conflict(rows_by_id)

    async def scan(self, table: str, *, part: str = "") -> Snapshot:
        """Return all rows of a table, or of one of its partitions."""
        if self._may_call_directly():
            try:
                return await self._call_directly(self._direct.scan(table, part=part))
            except StoreUnavailable:
                self._record_direct_failure()
        reply, era = await self._call_relays(StoreScanRequest(table, part))
        rows = tuple(row.decoded(era) for row in reply.rows)
        return Snapshot(rows, join_version(era, reply.version))

    async def read(self, row_id: RowId) -> Row | None:
        """Return a row as it is now; None if there is none.

        A caller waits for it, so other routers are asked as soon as the store is slow.
        """
        direct: asyncio.Task[Row | None] | None = None
        if self._may_call_directly():
            call = self._call_directly(self._direct.read(row_id))
            direct = asyncio.ensure_future(call)
            await asyncio.wait([direct], timeout=DIRECT_READ_SECONDS)
        try:
            return await self._first_read(row_id, direct)
        finally:
            if direct is not None:
                _abandon(direct)

    async def _first_read(
        self, row_id: RowId, direct: asyncio.Task[Row | None] | None
    ) -> Row | None:
        """Return a row from the store or through a router, whichever answers first."""
        if direct is None:
            return await self._read_relayed(row_id)
        if direct.done():
            if not isinstance(direct.exception(), StoreUnavailable):
                return direct.result()
            self._record_direct_failure()
            return await self._read_relayed(row_id)
        relayed = asyncio.ensure_future(self._read_relayed(row_id))
        try:
            done, _ = await asyncio.wait(
                [direct, relayed], return_when=asyncio.FIRST_COMPLETED
            )
            first = direct if direct in done else relayed
            if not isinstance(first.exception(), StoreUnavailable):
                return first.result()
            return await (relayed if first is direct else direct)
        finally:
            _abandon(relayed)

    async def _read_relayed(self, row_id: RowId) -> Row | None:
        message = StoreScanRequest(row_id.table, row_id.part, row_id.key)
        reply, era = await self._call_relays(message)
        for wire_row in reply.rows:
            if wire_row.id.key == row_id.key:
                return wire_row.decoded(era)
        return None

    async def changes(self, table: str, *, after: int, wait: float) -> Changes:
        """Return the changes of a table after a version."""
        if self._may_call_directly():
            direct_wait = 0.0 if self._is_cut_off else wait
            try:
                return await self._call_directly(
                    self._direct.changes(table, after=after, wait=direct_wait)
                )
            except StoreUnavailable:
                self._record_direct_failure()
        message = StoreChangesRequest(table, number_of(after), era_of(after))
        reply, era = await self._call_relays(message)
        if reply.end is StoreStatus.HISTORY_LOST or era > era_of(after):
            raise HistoryLost
        if not reply.rows:
            await asyncio.sleep(min(wait, RELAYED_POLL_SECONDS))
        rows = tuple(row.decoded(era) for row in reply.rows)
        return Changes(rows, join_version(era, reply.version))

    def move(self, address: str) -> None:
        """Use a new address for the same store."""
        self._direct.move(address)

    def close(self) -> None:
        """Close the connections to the store."""
        self._direct.close()

    # Direct calls.

    def _may_call_directly(self) -> bool:
        if not self._is_cut_off:
            return True
        if self._now() - self._direct_tried_at < DIRECT_RETRY_SECONDS:
            return False
        self._direct_tried_at = self._now()
        return True

    async def _call_directly(self, direct_call: Awaitable[ResultT]) -> ResultT:
        try:
            result = await direct_call
        except HistoryLost:
            # The store answered, so the table can be listed directly.
            self._record_reached()
            raise
        self._record_reached()
        return result

    def _record_reached(self) -> None:
        if self._is_cut_off:
            log_event("store reached directly again", before=self._relay_vm)
        self._is_cut_off = False
        self._relay_vm = ""

    def _record_direct_failure(self) -> None:
        self._is_cut_off = True
        self._direct_tried_at = self._now()

    # Calls through relays.

    async def _call_relays(
        self, message: Message[StoreReply]
    ) -> tuple[StoreReply, int]:
        """Return the reply of the first relay that reaches the store, and its era.

        Raises
        ------
        StoreUnavailable
            When no relay reaches the store, and nothing was done.
        OutcomeUnknown
            When a write may have been applied.
        """
        if self._now() < self._relays_retry_at:
            raise StoreUnavailable(
                "neither the store nor a router that reaches it answers"
            )
        for vm in self._relay_candidates():
            asked_at = self._now()
            try:
                reply = await self._peers.ask(vm, message)
            except PeerUnreachable as error:
                if isinstance(message, StoreWriteRequest):
                    raise OutcomeUnknown(f"relayed through {vm}: {error}") from error
                continue
            if reply.end is StoreStatus.UNKNOWN:
                raise OutcomeUnknown(f"relayed through {vm}")
            if reply.end is StoreStatus.UNAVAILABLE:
                continue
            era = self.era.current if reply.era is None else reply.era
            if not self.era.observe(era):
                # The relay has not heard yet that the store came back from a copy.
                if reply.end is StoreStatus.DONE and isinstance(
                    message, StoreWriteRequest
                ):
                    raise OutcomeUnknown(f"relayed through {vm} in an earlier era")
                continue
            self._record_relay(vm, reply, asked_at)
            return reply, era
        self._relay_vm = ""
        self._relays_retry_at = self._now() + RELAYS_RETRY_SECONDS
        raise StoreUnavailable("no router that was tried reaches the store")

    def _relay_candidates(self) -> list[str]:
        """Return the VMs to try as relays, the last one that worked first."""
        own = self._members.own
        vms = []
        for member in self._members.by_vm.values():
            if member.vm == own.vm or member.is_leaving:
                continue
            if self._members.is_reachable(member.vm):
                vms.append(member.vm)
        order = self._members.preference_order(f"store for {own.vm}", vms)
        if self._relay_vm in order:
            order.remove(self._relay_vm)
            order.insert(0, self._relay_vm)
        return order[:MAX_RELAYS_TRIED]

    def _record_relay(self, vm: str, reply: StoreReply, asked_at: float) -> None:
        if reply.told_ms:
            self.clock.observe(
                told_ms=reply.told_ms, now=self._now(), asked_at=asked_at
            )
        if self._relay_vm != vm:
            self._relay_vm = vm
            log_event("store reached through another router", peer=vm)

    # Handlers of relayed calls.

    async def _handle_write(self, request: StoreWriteRequest) -> StoreReply:
        if self._is_cut_off:
            return StoreReply(StoreStatus.UNAVAILABLE)
        try:
            async with asyncio.timeout(RELAYED_CALL_TIMEOUT):
                write = request.decoded(self.era.current)
                outcome = await self._direct.write(write)
        except StoreUnavailable:
            return StoreReply(StoreStatus.UNAVAILABLE)
        except (OutcomeUnknown, TimeoutError):
            return StoreReply(StoreStatus.UNKNOWN)
        told_ms = self.clock.last_reported_ms
        if isinstance(outcome, Committed):
            return StoreReply(
                StoreStatus.DONE,
                version=number_of(outcome.version),
                told_ms=told_ms,
                era=era_of(outcome.version),
            )
        rows = wire_rows(outcome.rows_by_id.values())
        era = _era_of_rows(outcome, self.era.current)
        return StoreReply(StoreStatus.CONFLICT, rows, told_ms=told_ms, era=era)

    async def _handle_scan(self, request: StoreScanRequest) -> StoreReply:
        if request.key is not None:
            row_id = RowId(request.table, request.key, request.part)
            return await self._read_rows(lambda: self._read_row(row_id))
        return await self._read_rows(
            lambda: self._direct.scan(request.table, part=request.part)
        )

    async def _read_row(self, row_id: RowId) -> Snapshot:
        """Read a row; its version is that of the snapshot."""
        row = await self._direct.read(row_id)
        if row is None:
            return Snapshot((), join_version(self.era.current, 0))
        return Snapshot((row,), row.version)

    async def _handle_changes(self, request: StoreChangesRequest) -> StoreReply:
        era = self.era.current if request.era is None else request.era
        after = join_version(era, request.after)
        return await self._read_rows(
            lambda: self._direct.changes(request.table, after=after, wait=0.0)
        )

    async def _read_rows(
        self, call: Callable[[], Awaitable[Snapshot | Changes]]
    ) -> StoreReply:
        if self._is_cut_off:
            return StoreReply(StoreStatus.UNAVAILABLE)
        try:
            async with asyncio.timeout(RELAYED_CALL_TIMEOUT):
                found = await call()
        except (StoreUnavailable, TimeoutError):
            return StoreReply(StoreStatus.UNAVAILABLE)
        except HistoryLost:
            return StoreReply(StoreStatus.HISTORY_LOST, era=self.era.current)
        return StoreReply(
            StoreStatus.DONE,
            wire_rows(found.rows),
            number_of(found.version),
            self.clock.last_reported_ms,
            era_of(found.version),
        )


def _abandon(call: asyncio.Future[Row | None]) -> None:
    """Cancel a call of which the result is not needed, whatever it is."""
    call.cancel()
    call.add_done_callback(lambda done: done.cancelled() or done.exception())


def _era_of_rows(conflict: Conflict, known: int) -> int:
    """Return the era of a conflict's rows, or the known one if it has none."""
    versions = [row.version for row in conflict.rows_by_id.values() if row is not None]
    return era_of(max(versions)) if versions else known
