"""Reach the store through another router while it cannot be reached from here."""

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
    StoreEnd,
    StoreReply,
    StoreScanRequest,
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
from lynxchute.telemetry import log_event

ResultT = TypeVar("ResultT")

# Routers that are asked in turn: where the store turns some away or some are
# cut off, one of a few has it; where it is down, none has.
MAX_ASKED = 3
# Seconds until others are asked again after none of them had the store.
NOBODY_PAUSE = 0.5
# Seconds from one direct try to the next, about as long as one takes that is not
# answered. A router that dies before it has written its line again loses most of its
# grants, so that an outage should last no longer than it does.
DIRECT_AGAIN = 0.5
# Seconds between two questions for changes through another router, which does
# not hold them back until there is one.
CHANGES_STEP = 0.25
# Seconds that a call for another router may take: less than the other waits
# for this router's answer, so that a store which hangs is not taken for it.
SERVE_SECONDS = 0.4


class RelayedStore(Store):
    """Call the store directly, or through a router that still reaches it.

    Nothing is remembered or invented on the way: every answer is the store's
    own, with its versions and its time.

    Parameters
    ----------
    direct
        The store as it is reached from here.
    members, peers
        The other routers.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self,
        direct: Store,
        members: Members,
        peers: Peers,
        clock: Callable[[], float] = steady_seconds,
    ) -> None:
        self.clock = direct.clock
        self._direct = direct
        self._members = members
        self._peers = peers
        self._now = clock
        self._direct_at = 0.0
        self._others_at = 0.0
        self._is_away = False
        self._via = ""

    def serve(self, server: PeerServer) -> None:
        """Call the store for other routers."""
        server.handlers_by_class[StoreWriteRequest] = self._serve_write
        server.handlers_by_class[StoreScanRequest] = self._serve_scan
        server.handlers_by_class[StoreChangesRequest] = self._serve_changes

    async def write(self, write: Write) -> Outcome:
        """Apply a write."""
        if not self._is_away:
            try:
                return await self._note_direct(self._direct.write(write))
            except OutcomeUnknown as error:
                # It may have taken effect, so that it must not be repeated.
                if error.is_unresponsive:
                    self._note_away()
                raise
            except StoreUnavailable:
                self._note_away()
        reply = await self._ask_others(StoreWriteRequest.of(write))
        if reply.end is StoreEnd.DONE:
            return Committed(reply.version)
        rows_by_id: dict[RowId, Row | None] = {item.id: None for item in write.expected}
        for row in reply.rows:
            rows_by_id[row.decoded().id] = row.decoded()
        return Conflict(rows_by_id)

    async def scan(self, table: str, *, part: str = "") -> Snapshot:
        """Return all rows of a part of a table."""
        if self._may_try_directly():
            try:
                return await self._note_direct(self._direct.scan(table, part=part))
            except StoreUnavailable:
                self._note_away()
        reply = await self._ask_others(StoreScanRequest(table, part))
        return Snapshot(tuple(row.decoded() for row in reply.rows), reply.version)

    async def changes(self, table: str, *, after: int, wait: float) -> Changes:
        """Return what changed in a table after a version."""
        if self._may_try_directly():
            patience = 0.0 if self._is_away else wait
            try:
                return await self._note_direct(
                    self._direct.changes(table, after=after, wait=patience)
                )
            except StoreUnavailable:
                self._note_away()
        reply = await self._ask_others(StoreChangesRequest(table, after))
        if reply.end is StoreEnd.HISTORY_LOST:
            raise HistoryLost
        if not reply.rows:
            await asyncio.sleep(min(wait, CHANGES_STEP))
        return Changes(tuple(row.decoded() for row in reply.rows), reply.version)

    def move(self, address: str) -> None:
        """Go on with the same store at another address."""
        self._direct.move(address)

    def close(self) -> None:
        """Let go of what the store holds open."""
        self._direct.close()

    # Directly.

    def _may_try_directly(self) -> bool:
        if not self._is_away:
            return True
        if self._now() - self._direct_at < DIRECT_AGAIN:
            return False
        self._direct_at = self._now()
        return True

    async def _note_direct(self, answer: Awaitable[ResultT]) -> ResultT:
        try:
            result = await answer
        except HistoryLost:
            # That is an answer: the table can be listed now.
            self._note_reached()
            raise
        self._note_reached()
        return result

    def _note_reached(self) -> None:
        if self._is_away:
            log_event("store reached directly again", before=self._via)
        self._is_away = False
        self._via = ""

    def _note_away(self) -> None:
        self._is_away = True
        self._direct_at = self._now()

    # Through others.

    async def _ask_others(self, message: Message[StoreReply]) -> StoreReply:
        """Return the answer of the first router that has the store.

        Raises
        ------
        StoreUnavailable
            Where none has, or the one that has says that nothing was done.
        OutcomeUnknown
            Where a write may have taken effect.
        """
        if self._now() < self._others_at:
            raise StoreUnavailable("neither the store nor a router that has it answers")
        for vm in self._candidates():
            asked_at = self._now()
            try:
                reply = await self._peers.ask(vm, message)
            except PeerUnreachable as error:
                if isinstance(message, StoreWriteRequest):
                    raise OutcomeUnknown(f"through {vm}: {error}") from error
                continue
            if reply.end is StoreEnd.UNKNOWN:
                raise OutcomeUnknown(f"through {vm}")
            if reply.end is StoreEnd.UNAVAILABLE:
                continue
            self._note_reply(vm, reply, asked_at)
            return reply
        self._via = ""
        self._others_at = self._now() + NOBODY_PAUSE
        raise StoreUnavailable("no router that was asked has the store")

    def _candidates(self) -> list[str]:
        """Return the routers to ask: the last one that had the store first."""
        own = self._members.own
        vms = []
        for member in self._members.by_vm.values():
            if member.vm == own.vm or member.is_leaving:
                continue
            if self._members.is_reachable(member.vm):
                vms.append(member.vm)
        order = self._members.preference_order(f"store for {own.vm}", vms)
        if self._via in order:
            order.remove(self._via)
            order.insert(0, self._via)
        return order[:MAX_ASKED]

    def _note_reply(self, vm: str, reply: StoreReply, asked_at: float) -> None:
        if reply.told_ms:
            self.clock.observe(
                told_ms=reply.told_ms, now=self._now(), asked_at=asked_at
            )
        if self._via != vm:
            self._via = vm
            log_event("store reached through another router", peer=vm)

    # For others.

    async def _serve_write(self, request: StoreWriteRequest) -> StoreReply:
        if self._is_away:
            return StoreReply(StoreEnd.UNAVAILABLE)
        try:
            async with asyncio.timeout(SERVE_SECONDS):
                outcome = await self._direct.write(request.decoded())
        except StoreUnavailable:
            return StoreReply(StoreEnd.UNAVAILABLE)
        except (OutcomeUnknown, TimeoutError):
            return StoreReply(StoreEnd.UNKNOWN)
        told_ms = self.clock.last_reported_ms
        if isinstance(outcome, Committed):
            return StoreReply(StoreEnd.DONE, version=outcome.version, told_ms=told_ms)
        rows = wire_rows(outcome.rows_by_id.values())
        return StoreReply(StoreEnd.CONFLICT, rows, told_ms=told_ms)

    async def _serve_scan(self, request: StoreScanRequest) -> StoreReply:
        return await self._serve_rows(
            lambda: self._direct.scan(request.table, part=request.part)
        )

    async def _serve_changes(self, request: StoreChangesRequest) -> StoreReply:
        return await self._serve_rows(
            lambda: self._direct.changes(request.table, after=request.after, wait=0.0)
        )

    async def _serve_rows(
        self, call: Callable[[], Awaitable[Snapshot | Changes]]
    ) -> StoreReply:
        if self._is_away:
            return StoreReply(StoreEnd.UNAVAILABLE)
        try:
            async with asyncio.timeout(SERVE_SECONDS):
                found = await call()
        except (StoreUnavailable, TimeoutError):
            return StoreReply(StoreEnd.UNAVAILABLE)
        except HistoryLost:
            return StoreReply(StoreEnd.HISTORY_LOST)
        return StoreReply(
            StoreEnd.DONE,
            wire_rows(found.rows),
            found.version,
            self.clock.last_reported_ms,
        )
