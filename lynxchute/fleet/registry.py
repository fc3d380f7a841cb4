"""Registration of this router in the store, and discovery of the others."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable

from lynxchute.application import BackgroundTask
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.era_mark import ERA_KEY, EraMark
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import Ack
from lynxchute.fleet.messages import AnnounceRequest, PingRequest
from lynxchute.fleet.server import PeerServer
from lynxchute.http import BadRequest
from lynxchute.listeners import LogLimit, notify
from lynxchute.store import (
    Committed,
    Expected,
    OutcomeUnknown,
    Put,
    Row,
    RowId,
    Store,
    StoreUnavailable,
    TableFeed,
    Write,
)
from lynxchute.store.feed import FeedTimes
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import log_event

TABLE = "fleet"
SECRET_KEY = "secret"
ROUTER_PREFIX = "router/"

# Long-poll wait and pause of the feed. Registrations and quarantined requests seldom
# change, but routers must learn of both within three seconds, even if they were cut off
# or their connection to the store has stopped responding, and a poll times out one
# second after its wait. With a wait of 5 s, a router could send requests that crash
# upstreams for 6 s. The shorter wait costs 0.47 more calls a second.
FEED_TIMES = FeedTimes(wait=1.5, pause=0.2)
RETRY_SECONDS = 0.3
# Seconds between checks for unreachable routers that are due for a ping.
PING_SECONDS = 1.0
SECRET_BYTES = 24
MAX_SECRET_LENGTH = 256
# Seconds within which all VMs of a new fleet start.
FIRST_START_SECONDS = 1.5
# Seconds over which the routers of a fleet spread the writes that restore their rows.
REWRITE_SPREAD_SECONDS = 0.4


class Registry(BackgroundTask):
    """Register this router and keep the members in sync with the store.

    Parameters
    ----------
    store
        The store in which routers register.
    members
        The registered routers, which this class updates.
    is_first_start
        Whether the whole fleet is starting for the first time, in any order.

    Attributes
    ----------
    secret
        The shared secret in the fleet's messages; empty until read from the store.
    members_known
        Set once the registered routers are known; at a first start, only after the
        time in which all VMs of the fleet start.
    was_predecessor_killed
        Whether the last process of this VM ended without marking itself as leaving.
    is_registered
        Whether the store has this process's registration.
    registration_listeners
        Called once it has.
    listeners
        Called once the registered routers are known, and after each batch of changed
        rows.
    peers
        Sends pings to unreachable routers; None until it is set.
    era_mark
        Tells since when the fleet has known the store's era.
    handlers_by_key
        Handlers of further rows of the table, by row key.
    feed
        The replica of the table.
    """

    def __init__(self, store: Store, members: Members, *, is_first_start: bool) -> None:
        super().__init__()
        self.secret = ""
        self.members_known = asyncio.Event()
        self.was_predecessor_killed = False
        self.is_registered = False
        self.registration_listeners: list[Callable[[], None]] = []
        self.listeners: list[Callable[[], None]] = []
        self.peers: Peers | None = None
        self.era_mark = EraMark(store, TABLE, is_first_start=is_first_start)
        self.handlers_by_key: dict[str, Callable[[Row], None]] = {
            ERA_KEY: self.era_mark.handle_row
        }
        self.feed = TableFeed(
            store,
            TABLE,
            times=FEED_TIMES,
            on_row=self._handle_row,
            on_batch=lambda: notify(self.listeners),
            on_restore=self._request_rewrite,
        )
        # Version of this router's own row, as far as is known.
        self._own_version = ABSENT
        # Version of the secret's row if it cannot be decoded.
        self._invalid_secret_version = ABSENT
        self._rewrite_due = asyncio.Event()
        self._log_limit = LogLimit()
        self._is_restored = False
        self._store = store
        self._members = members
        self._is_first_start = is_first_start

    def serve(self, server: PeerServer) -> None:
        """Register the handler for messages of other routers."""
        server.handlers_by_class[AnnounceRequest] = self._handle_announcement

    async def start(self) -> None:
        """Start following the table and register this router."""
        await self.feed.start()
        await super().start()

    async def stop(self) -> None:
        """Stop following the table."""
        await super().stop()
        await self.feed.stop()

    async def register(self, member: Member) -> bool:
        """Write this router's registration; return whether it is stored.

        The write holds only for the row as it is known, so that one which the store
        performs late undoes no later one.
        """
        row_id = RowId(TABLE, ROUTER_PREFIX + member.vm)
        put = Put(row_id, member.encode())
        try:
            while True:
                expected = Expected(row_id, self._own_version)
                outcome = await self._store.write(Write((expected,), (put,)))
                if isinstance(outcome, Committed):
                    self._own_version = outcome.version
                    break
                row = outcome.rows_by_id.get(row_id)
                self._own_version = ABSENT if row is None else row.version
                self._observe_predecessor(row)
        except (StoreUnavailable, OutcomeUnknown) as error:
            log_event("router not registered yet", reason=str(error))
            return False
        log_event(
            "router registered",
            incarnation=member.incarnation,
            is_leaving=member.is_leaving,
        )
        if not self.is_registered:
            self.is_registered = True
            notify(self.registration_listeners)
        return True

    def _observe_predecessor(self, row: Row | None) -> None:
        """Record whether the row is one of a process that did not leave in order."""
        if row is None:
            return
        result = Member.decode(row.value)
        if result.is_error() or result.ok.incarnation == self._members.own.incarnation:
            return
        self.was_predecessor_killed = not result.ok.is_leaving

    async def _run(self) -> None:
        while not await self.register(self._members.own):
            await asyncio.sleep(RETRY_SECONDS)
        await self.feed.synced.wait()
        while not self.secret:
            await self._propose_secret()
        await self._mark_era()
        if self._is_first_start:
            await asyncio.sleep(FIRST_START_SECONDS)
        self.members_known.set()
        notify(self.listeners)
        while True:
            try:
                async with asyncio.timeout(PING_SECONDS):
                    await self._rewrite_due.wait()
            except TimeoutError:
                await self._ping_unreachable()
                continue
            self._rewrite_due.clear()
            if self._is_restored:
                self._is_restored = False
                await self._rewrite()
            while not await self.register(self._members.own):
                await asyncio.sleep(RETRY_SECONDS)

    def announce_budget_era(self, era: int) -> None:
        """Register an era in which this router has written its use of the budgets."""
        self._members.update_budget_era(era)
        self._rewrite_due.set()

    def _request_rewrite(self) -> None:
        self._is_restored = True
        self._rewrite_due.set()

    async def _rewrite(self) -> None:
        """Write again what a store that has come back from a copy may lack."""
        await asyncio.sleep(random.uniform(0.0, REWRITE_SPREAD_SECONDS))
        await self._mark_era()
        while not await self._restore_secret():
            await asyncio.sleep(RETRY_SECONDS)

    async def _mark_era(self) -> None:
        try:
            await self.era_mark.write()
        except (StoreUnavailable, OutcomeUnknown) as error:
            # Another router marks it, or processes that start wait longer for grants.
            log_event("era mark not written", reason=str(error))

    async def _restore_secret(self) -> bool:
        """Write the secret unless the store has one; return whether that is known."""
        row_id = RowId(TABLE, SECRET_KEY)
        write = Write((Expected(row_id, ABSENT),), (Put(row_id, self.secret.encode()),))
        try:
            outcome = await self._store.write(write)
        except (StoreUnavailable, OutcomeUnknown) as error:
            log_event("fleet secret not written; retrying", reason=str(error))
            return False
        if isinstance(outcome, Committed):
            log_event("fleet secret written again")
        return True

    async def _propose_secret(self) -> None:
        """Create the fleet secret unless one exists; the first one written is used.

        A secret that cannot be decoded is replaced.
        """
        row_id = RowId(TABLE, SECRET_KEY)
        proposed = secrets.token_hex(SECRET_BYTES)
        expected = Expected(row_id, self._invalid_secret_version)
        write = Write((expected,), (Put(row_id, proposed.encode()),))
        try:
            outcome = await self._store.write(write)
        except (StoreUnavailable, OutcomeUnknown) as error:
            log_event("fleet secret not written; retrying", reason=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            return
        if isinstance(outcome, Committed):
            self.secret = proposed
            return
        row = outcome.rows_by_id.get(row_id)
        self._invalid_secret_version = ABSENT
        if row is not None:
            self._handle_secret_row(row)

    async def _ping_unreachable(self) -> None:
        """Ping unreachable routers, so that no request has to try them."""
        if self.peers is None:
            return
        loop = asyncio.get_running_loop()
        for vm in self._members.retries_due(loop.time()):
            try:
                await self.peers.ask(vm, PingRequest())
            except PeerUnreachable:
                # The peer client has recorded the failure.
                continue
            log_event("router answers again", peer=vm)

    def _handle_row(self, row: Row) -> None:
        if row.id.key == SECRET_KEY and not row.deleted:
            self._handle_secret_row(row)
            return
        if row.id.key in self.handlers_by_key:
            self.handlers_by_key[row.id.key](row)
            return
        if row.id.key.startswith(ROUTER_PREFIX):
            self._handle_router_row(row)

    def _handle_secret_row(self, row: Row) -> None:
        """Use the secret in a row, or keep the known one if the row has none."""
        secret = _decode_secret(row.value)
        if secret is None:
            self._invalid_secret_version = row.version
            log_event("fleet secret cannot be decoded", version=row.version)
            return
        self.secret = secret

    def _check_own_row(self, row: Row) -> None:
        """Register again if another writer has changed this router's row."""
        if row.version <= self._own_version or not self.members_known.is_set():
            return
        self._own_version = ABSENT if row.deleted else row.version
        if row.deleted or row.value != self._members.own.encode():
            log_event("own registration changed by another writer", version=row.version)
            self._rewrite_due.set()

    def _handle_router_row(self, row: Row) -> None:
        vm = row.id.key.removeprefix(ROUTER_PREFIX)
        if vm == self._members.own.vm:
            self._check_own_row(row)
        if row.deleted:
            self._members.remove(vm)
            log_event("router deregistered", peer=vm)
            return
        result = Member.decode(row.value)
        if result.is_error():
            self._log_invalid_router(vm, result.error)
            return
        if result.ok.vm != vm:
            self._log_invalid_router(vm, "it names another router")
            return
        self._members.put(result.ok)
        log_event(
            "router registration received",
            peer=vm,
            incarnation=result.ok.incarnation,
            is_leaving=result.ok.is_leaving,
            version=row.version,
        )

    async def _handle_announcement(self, request: AnnounceRequest) -> Ack:
        """Count a router that the store may not have reported yet.

        Raises
        ------
        BadRequest
            When its registration is invalid.
        """
        result = Member.decode(request.registration.encode())
        if result.is_error():
            self._log_invalid_router("", result.error)
            raise BadRequest(422, result.error)
        member = result.ok
        known = self._members.by_vm.get(member.vm)
        is_counted = known is not None and (
            not known.is_leaving or known.incarnation == member.incarnation
        )
        if not is_counted:
            self._members.put(member)
            notify(self.listeners)
        log_event(
            "announcement received",
            peer=member.vm,
            incarnation=member.incarnation,
            was_counted=is_counted,
        )
        return Ack()

    def _log_invalid_router(self, vm: str, problem: str) -> None:
        if self._log_limit.allows():
            log_event("router row could not be decoded", peer=vm, problem=problem)


def _decode_secret(value: bytes) -> str | None:
    """Return the secret in a row; None if it cannot be sent in a header."""
    if not 0 < len(value) <= MAX_SECRET_LENGTH or not value.isalnum():
        return None
    return value.decode("ascii")
