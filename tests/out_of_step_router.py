"""A router with its own view of other routers, engines, versions and streams."""

import asyncio
import contextlib
import json

from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.relayed_store import RelayedStore
from lynxchute.http.link_meter import UNLIMITED_LINK
from lynxchute.resumption import StreamOrigins, default_versions, version_record
from lynxchute.resumption.default_versions import DefaultVersions
from lynxchute.resumption.version_record import VersionRecord
from lynxchute.store import OutcomeUnknown, Put, RowId, StoreUnavailable, Write
from lynxchute.telemetry import Metrics
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.upstream import Upstream
from tests.origins_machine import MAX_AGE, MAX_UNCONFIRMED, SERVICE, TrueEngines
from tests.out_of_step_store import HOP_SECONDS, DirectStore, FleetPeers

FLEET, SERVERS = "fleet", "servers"
# Seconds until the store must have answered a router that follows a table.
FOLLOW_SECONDS = 0.6


class Router:
    """One router: what it knows of other routers, engines, versions and streams."""

    def __init__(self, fleet, vm, incarnation):
        self.fleet, self.vm = fleet, vm
        self.started_at = fleet.loop.time()
        self.awake = asyncio.Event()
        self.awake.set()
        self.tasks = set()
        self.handlers_by_class = {}
        self.confirmed_at = self.answered_at = float("-inf")
        self.is_fleet_known = self.is_registered = self.was_killed = False
        self.fleet_version = 0
        self.own = Member(vm, vm[0], str(incarnation), "127.0.0.1:1")
        self.members = Members(self.own)
        clock = fleet.loop.time
        peers = FleetPeers(fleet, self)
        self.store = RelayedStore(DirectStore(fleet, vm), self.members, peers, clock)
        self.store.serve(self)
        self.directory = Directory()
        self.directory.confirmed_at = lambda: self.confirmed_at
        self.record = VersionRecord(
            self.store,
            FLEET,
            self.members,
            self.directory,
            keep_seconds=lambda: MAX_AGE,
            is_table_known=lambda: self.is_fleet_known,
            clock=clock,
        )
        self.defaults = DefaultVersions(
            self.store, FLEET, self.record, self.directory, clock
        )
        self.origins = StreamOrigins(
            self.members,
            peers,
            self.store,
            self.directory,
            TrueEngines(fleet),
            Metrics(),
            UNLIMITED_LINK,
            clock,
            version_record=self.record,
            defaults=self.defaults,
            was_killed=lambda: self.was_killed and clock() < self.started_at + MAX_AGE,
            max_age=lambda: MAX_AGE,
            is_history_known=lambda: self.is_fleet_known,
            unconfirmed_seconds=lambda now: now - self.answered_at,
            max_unconfirmed=lambda: MAX_UNCONFIRMED,
            list_upstreams=self.follow_servers,
        )
        self.origins.serve(self)

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def kill(self):
        owners = (self.record, self.defaults, self.origins, self.origins.rows)
        for tasks in (self.tasks, *(owner.tasks._tasks for owner in owners)):
            for task in list(tasks):
                task.cancel()

    async def handle(self, message):
        await self.awake.wait()
        return await self.handlers_by_class[type(message)](message)

    async def register(self):
        row_id = RowId(FLEET, f"router/{self.vm}")
        with contextlib.suppress(StoreUnavailable, OutcomeUnknown):
            before = await self.store.read(row_id)
            if before is not None:
                incarnation = json.loads(before.value)["incarnation"]
                self.was_killed |= incarnation != self.own.incarnation
            put = Put(row_id, self.own.encode())
            await self.store.write(Write(puts=(put,)))
            self.is_registered = True

    async def follow_servers(self):
        """Read the entries of engines; return whether they are known now."""
        asked_at = self.fleet.loop.time()
        try:
            async with asyncio.timeout(FOLLOW_SECONDS):
                snapshot = await self.store.scan(SERVERS)
        except (StoreUnavailable, TimeoutError):
            return False
        now = self.fleet.loop.time()
        if asked_at < self.confirmed_at:
            # A later read has overtaken this one.
            return True
        gone = set(self.directory.entries_by_id)
        for row in snapshot.rows:
            start, version = json.loads(row.value)
            engine = row.id.key
            gone.discard(engine)
            upstream = Upstream(
                engine,
                SERVICE,
                f"{engine}:1",
                "a",
                started_ms=start,
                software_version=version,
            )
            self.directory.put(upstream, now)
        for engine in gone:
            self.directory.remove(engine, now)
        self.directory.observe_versions(now)
        self.confirmed_at, self.answered_at = asked_at, now
        return True

    async def follow_fleet(self):
        """Read the rows of versions and of routers."""
        try:
            async with asyncio.timeout(FOLLOW_SECONDS):
                snapshot = await self.store.scan(FLEET)
        except (StoreUnavailable, TimeoutError):
            return
        if snapshot.version < self.fleet_version:
            return
        self.fleet_version = snapshot.version
        gone = set(self.members.by_vm) - {self.vm}
        for row in snapshot.rows:
            if row.id.key == version_record.ROW_KEY:
                self.record.handle_row(row)
            elif row.id.key == default_versions.ROW_KEY:
                self.defaults.handle_row(row)
            else:
                member = Member.decode(row.value).ok
                gone.discard(member.vm)
                self.members.put(member)
        for vm in gone:
            self.members.remove(vm)
        self.is_fleet_known = True

    async def work(self):
        """Do the periodic work once."""
        if not self.awake.is_set():
            return
        if not self.is_registered:
            await self.register()
        await asyncio.gather(self.follow_servers(), self.follow_fleet())
        for vm in self.members.retries_due(self.fleet.loop.time()):
            is_cut = frozenset((vm, self.vm)) in self.fleet.cuts
            other = self.fleet.routers.get(vm)
            if not is_cut and other is not None and other.awake.is_set():
                self.members.record_success(vm)
        await self.record.observe()
        await self.tell()
        if self.origins.rows._is_due():
            await self.origins.rows.publish()

    async def tell(self):
        """Ask the engines of the streams, and tell other routers what is proven."""
        for _ in range(2):
            await self.origins.send_loop._step()
            await self.origins.prove_loop._step()
            await asyncio.sleep(HOP_SECONDS)
