"""Register this router in the store and follow who else is registered."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from lynxchute.application import BackgroundTask
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.messages import PingRequest
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

# Routers come and go seldom, and so do requests in quarantine; but a router whose
# connection to the store has gone silent, or that was cut off, must hear of these
# within three seconds, and gives a question up a second after its wait. With a wait of
# 5 s it could send what ends upstreams for six. The price is 0.47 calls a second more.
FEED_TIMES = FeedTimes(wait=1.5, pause=0.2)
RETRY_SECONDS = 0.3
# Seconds between questions to routers that gave no answer.
PING_SECONDS = 1.0
SECRET_BYTES = 24
# Seconds in which the VMs of a new fleet all start.
FIRST_START_SECONDS = 1.5


class Registry(BackgroundTask):
    """Keep this router registered, and the members in step with the store.

    Parameters
    ----------
    store
        Where routers register.
    members
        Whom it tells of the others.
    is_first_start
        Whether the whole fleet is starting, in any order.

    Attributes
    ----------
    secret
        What the fleet's messages bear; empty until the store has told it.
    settled
        Set once the others are known, as far as they had registered.
    listeners
        Called after routers have come or gone.
    takers_by_key
        Who takes other rows of the table, by their keys.
    """

    def __init__(self, store: Store, members: Members, *, is_first_start: bool) -> None:
        super().__init__()
        self.secret = ""
        self.settled = asyncio.Event()
        self.listeners: list[Callable[[], None]] = []
        self.peers: Peers | None = None
        self.handlers_by_key: dict[str, Callable[[Row], None]] = {}
        self.feed = TableFeed(
            store,
            TABLE,
            times=FEED_TIMES,
            on_row=self._take,
            on_batch=self._note_change,
        )
        self._store = store
        self._members = members
        self._is_first_start = is_first_start

    async def start(self) -> None:
        """Begin to follow and register."""
        await self.feed.start()
        await super().start()

    async def stop(self) -> None:
        """Stop following."""
        await super().stop()
        await self.feed.stop()

    async def announce(self, member: Member) -> bool:
        """Write what this router says of itself; return whether it stands."""
        row_id = RowId(TABLE, ROUTER_PREFIX + member.vm)
        try:
            await self._store.write(Write(puts=(Put(row_id, member.encode()),)))
        except (StoreUnavailable, OutcomeUnknown) as error:
            log_event("router not registered yet", reason=str(error))
            return False
        log_event(
            "router registered",
            incarnation=member.incarnation,
            is_leaving=member.is_leaving,
        )
        return True

    async def _run(self) -> None:
        while not await self.announce(self._members.own):
            await asyncio.sleep(RETRY_SECONDS)
        await self.feed.synced.wait()
        while not self.secret:
            await self._propose_secret()
        if self._is_first_start:
            await asyncio.sleep(FIRST_START_SECONDS)
        self.settled.set()
        while True:
            await asyncio.sleep(PING_SECONDS)
            await self._ping_silent()

    async def _propose_secret(self) -> None:
        """Write a secret where there is none; the first one written counts."""
        row_id = RowId(TABLE, SECRET_KEY)
        proposed = secrets.token_hex(SECRET_BYTES)
        write = Write((Expected(row_id, ABSENT),), (Put(row_id, proposed.encode()),))
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
        if row is not None:
            self.secret = row.value.decode()

    async def _ping_silent(self) -> None:
        """Ask routers that gave no answer, so that no request has to try."""
        if self.peers is None:
            return
        loop = asyncio.get_running_loop()
        for vm in self._members.retries_due(loop.time()):
            try:
                await self.peers.ask(vm, PingRequest())
            except PeerUnreachable:
                # That it is still silent was noted by the peers.
                continue
            log_event("router answers again", peer=vm)

    def _take(self, row: Row) -> None:
        if row.id.key == SECRET_KEY and not row.deleted:
            self.secret = row.value.decode()
            return
        if row.id.key in self.handlers_by_key:
            self.handlers_by_key[row.id.key](row)
            return
        if row.id.key.startswith(ROUTER_PREFIX):
            self._take_router(row)

    def _note_change(self) -> None:
        for listener in self.listeners:
            listener()

    def _take_router(self, row: Row) -> None:
        vm = row.id.key.removeprefix(ROUTER_PREFIX)
        if row.deleted:
            self._members.remove(vm)
            log_event("router deregistered", peer=vm)
            return
        result = Member.decode(row.value)
        if result.is_error():
            log_event("router row could not be decoded", peer=vm, problem=result.error)
            return
        self._members.put(result.ok)
        log_event(
            "router registration received",
            peer=vm,
            incarnation=result.ok.incarnation,
            is_leaving=result.ok.is_leaving,
            version=row.version,
        )
