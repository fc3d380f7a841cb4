"""Find out at which software version a stream may be resumed."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence

import attrs

from lynxchute.application import PeriodicTask
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.message import Ack
from lynxchute.fleet.origin_messages import OriginNotice, OriginQuery, OriginReply
from lynxchute.fleet.server import PeerServer
from lynxchute.http import LinkMeter
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.origins import OriginLookup, Origins
from lynxchute.resumption.default_versions import DefaultVersions
from lynxchute.resumption.origin_memory import OriginMemory
from lynxchute.resumption.origin_messages import from_message, to_message
from lynxchute.resumption.origin_owners import MAX_OWNERS, OriginOwners
from lynxchute.resumption.origin_prover import OriginProver, Proof
from lynxchute.resumption.origin_replicator import OriginReplicator
from lynxchute.resumption.origin_rows import (
    STORE_SECONDS,
    OriginRows,
)
from lynxchute.resumption.origin_teller import OriginTeller
from lynxchute.resumption.version_record import VersionRecord
from lynxchute.store import Store
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.probes import handle_probe
from lynxchute.upstreams.stream_origin import StreamOrigin, origin_key

# Seconds after its timeout in which the caller of a stream may come back.
RETURN_SECONDS = 30.0
# Seconds until origins that were not delivered are sent to the next routers, and
# between two checks whether a service has a second version.
RETRY_SECONDS = 0.1
# Seconds between two checks whether origins have been proven.
PROVE_SECONDS = 0.05
# Routers that are asked first: those that remember the stream, and one more in case
# that routers have come or gone since.
FIRST_ASKED = 3
# Timeout in seconds for the answers of the routers that are asked together.
QUERY_SECONDS = 0.3
# Seconds for which a stop waits until other routers have the origins.
HAND_OVER_SECONDS = 1.0
# Seconds for which a router that has just started waits to know the upstreams.
START_SECONDS = 0.3
START_POLL_SECONDS = 0.02
# Seconds that a stream waits for the store whose upstream has answered already.
MAX_STORE_SECONDS = 2.0
# Seconds of silence after which a stream's process counts as ended, once another one
# was noticed at its upstream.
SILENT_SECONDS = 0.3
NOWHERE = OriginLookup(None, "nowhere")


async def _trust() -> bool:
    """Return that all is known, as in a deployment without other writers."""
    return True


class StreamOrigins(Origins):
    """Remembers where streams began, here and at two other routers.

    While a service has had only one software version for as long as a stream may be
    resumed, its streams can be resumed at any upstream, and no messages are sent.

    Parameters
    ----------
    members, peers
        The other routers.
    store
        Has the origins for routers that cannot ask one another.
    directory
        The upstreams.
    engines
        Asks upstreams which process they are.
    metrics
        Counts lookups by where the origin was known from.
    meter
        Estimates how long messages wait for the VM's network link.
    clock
        Steady clock in seconds.
    version_record
        Knows which versions routers that start learn of; None to begin streams at any.
    defaults
        Knows at which versions streams began that the store does not name.
    was_killed
        Returns whether an earlier process of this VM was killed that may have known
        streams which can still be resumed.
    max_age
        Returns the seconds after its begin for which a stream may be resumed.
    is_history_known
        Returns whether the software versions before the start of this router are known.
    unconfirmed_seconds
        Returns the seconds since the store last confirmed the entries of upstreams.
    max_unconfirmed
        Returns the seconds after which the entries may lack a software version.
    list_upstreams
        Lists the upstreams anew; returns whether all are known then.
    era_seconds
        Returns the seconds since the store last came back from a copy.
    are_routers_current
        Returns whether all routers are known that may have begun streams.
    wait_known
        Waits briefly until no other router acts on a view without this one; returns
        whether that is so.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        store: Store,
        directory: Directory,
        engines: EngineClient,
        metrics: Metrics,
        meter: LinkMeter,
        clock: Callable[[], float],
        *,
        version_record: VersionRecord | None = None,
        defaults: DefaultVersions | None = None,
        was_killed: Callable[[], bool] = lambda: False,
        max_age: Callable[[], float],
        is_history_known: Callable[[], bool],
        unconfirmed_seconds: Callable[[float], float],
        max_unconfirmed: Callable[[], float],
        list_upstreams: Callable[[], Awaitable[bool]] | None = None,
        era_seconds: Callable[[float], float] = lambda now: math.inf,
        are_routers_current: Callable[[], bool] = lambda: True,
        wait_known: Callable[[], Awaitable[bool]] | None = None,
    ) -> None:
        self.memory = OriginMemory()
        self.send_loop = PeriodicTask(
            "stream origins", self._send_due, RETRY_SECONDS, self._is_send_due
        )
        self._members = members
        self._peers = peers
        self._directory = directory
        self._metrics = metrics
        self._meter = meter
        self._clock = clock
        self._version_record = version_record
        self._defaults = defaults
        self._was_killed = was_killed
        self._max_age = max_age
        self._is_history_known = is_history_known
        self._unconfirmed_seconds = unconfirmed_seconds
        self._max_unconfirmed = max_unconfirmed
        self._list_upstreams = list_upstreams or _trust
        self._era_seconds = era_seconds
        self._are_routers_current = are_routers_current
        self._wait_known = wait_known or _trust
        self._prover = OriginProver(directory, engines, clock)
        self.tasks = self._prover.tasks
        self._owners = OriginOwners(members)
        self._replicator = OriginReplicator(members, peers, self._owners, clock)
        self.rows = OriginRows(
            store,
            members,
            self.memory,
            self._has_sole_version,
            self._is_any_service_divided,
            clock,
        )
        self._services: set[str] = set()
        self._teller = OriginTeller(
            self.memory,
            self._prover,
            self._replicator,
            directory,
            self._has_sole_version,
            clock,
        )
        self.prove_loop = PeriodicTask(
            "proofs of origins",
            self._teller.prove,
            PROVE_SECONDS,
            lambda: self._teller.has_unproven,
        )

    def serve(self, server: PeerServer) -> None:
        """Register the handlers for messages of other routers."""
        server.handlers_by_class[OriginNotice] = self._handle_notice
        server.handlers_by_class[OriginQuery] = self._handle_query

    # What this router knows.

    def record(
        self, account: str, attempt: str, origin: StreamOrigin, *, timeout: float
    ) -> None:
        """Remember where the stream of an attempt began."""
        now = self._clock()
        key = origin_key(account, attempt)
        expires_at = now + timeout + RETURN_SECONDS
        # An origin that was found is recorded for each further attempt.
        origin.is_assumed |= self._has_sole_version(origin.service)
        self.memory.put(key, origin, expires_at=expires_at, now=now)
        self._services.add(origin.service)
        if self._teller.add(key, origin, expires_at):
            self.send_loop.wake()

    def sole_version(self, service: str) -> str | None:
        """Return the only version that may have begun streams; None if not known."""
        if not self._is_history_known() or not self._is_confirmed():
            return None
        versions = self._versions(service)
        return versions.pop() if len(versions) == 1 else None

    def _has_sole_version(self, service: str) -> bool:
        return self.sole_version(service) is not None

    def _versions(self, service: str) -> set[str | None]:
        """Return the versions that may have begun streams, as far as is known."""
        since = self._clock() - self._max_age()
        return self._directory.versions.versions(service, since=since)

    def _is_confirmed(self) -> bool:
        """Return whether the known upstreams are up to date."""
        seconds = self._unconfirmed_seconds(self._clock())
        return seconds <= self._max_unconfirmed()

    async def verify(
        self, origin: StreamOrigin, *, heard_at: float | None = None
    ) -> bool:
        """Return whether the version at an origin is known to have begun its stream.

        While no other version is known, a process that cannot be asked any more is
        assumed to have had the only one.
        """
        is_sole = self.sole_version(origin.service) == origin.software_version
        if is_sole and heard_at is not None:
            # The stream goes on within its answer, and its caller waits.
            return True
        proof = await self._prover.prove(origin)
        if is_sole and proof is not Proof.REPLACED:
            return True
        if proof is Proof.PROVEN:
            return True
        if self._versions(origin.service) == {origin.software_version}:
            return True
        return origin.is_assumed and self._is_plausible(origin, proof, heard_at)

    def _is_plausible(
        self, origin: StreamOrigin, proof: Proof, heard_at: float | None
    ) -> bool:
        """Return whether entries agree with an origin that was not asked for."""
        entry = self._directory.entries_by_id.get(origin.upstream)
        if proof is Proof.OPEN or entry is None:
            return True
        if entry.upstream.software_version == origin.software_version:
            return True
        replaced = entry.replacement_of(origin.started_ms)
        if replaced is None or replaced.was_running(origin.began_at):
            return True
        # A stream at the next process would not have fallen silent.
        return heard_at is not None and heard_at < replaced.noticed_at - SILENT_SECONDS

    def record_stated_version(self, entry: UpstreamEntry, version: str) -> None:
        """Record the software version that an upstream states in a response."""
        self._directory.record_software_version(entry, version, self._clock())

    async def may_begin(
        self, exchange: Exchange, origin: StreamOrigin, *, has_begun: bool = False
    ) -> bool:
        """Return whether a stream may begin at an upstream, as an origin names it."""
        if self._version_record is None or self._defaults is None:
            return True
        service, version = origin.service, origin.software_version
        if not await self._version_record.ensure_recorded(service, version):
            return False
        if not await self._may_others_expect(service, version):
            return False
        if len(self._members.by_vm) > MAX_OWNERS:
            # No router reads the rows of all others, so none goes by a default version.
            return True
        default = await self._defaults.settle(service)
        if default is None:
            return True
        account = exchange.account.name if exchange.account is not None else ""
        key = origin_key(account, exchange.call.request_id)
        if version == default and not self.rows.has_stored(key):
            return True
        expires_at = self._clock() + exchange.route.timeout + RETURN_SECONDS
        # No upstream is left where one at the default version is withheld.
        is_last = has_begun or version == default
        seconds = MAX_STORE_SECONDS if is_last else STORE_SECONDS
        if await self.rows.store(
            key, origin, expires_at, seconds=seconds, may_give_up=not is_last
        ):
            return True
        if default not in self._directory.versions_by_service().get(service, set()):
            return True
        if version != default:
            exchange.bound_version = default
        return False

    async def _may_others_expect(self, service: str, version: str | None) -> bool:
        """Return whether no router takes a stream at a version for another one's.

        Routers that have not heard of this one may agree on the default version.
        """
        if self._defaults is None or version == self._defaults.get(service):
            return True
        if len(self._versions(service)) <= 1:
            return True
        return await self._wait_known()

    async def confirm_process(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream still runs the process that its entry states."""
        upstream = entry.upstream
        if upstream.states_version or upstream.started_ms is None:
            return True
        try:
            probe = await self._prover.ask(entry)
        except EngineUnavailable as error:
            log_event(
                "upstream process not confirmed",
                upstream=upstream.id,
                reason=str(error),
            )
            return False
        handle_probe(self._directory, entry, probe, self._clock())
        if probe.started_ms != upstream.started_ms:
            return False
        return self._directory.entries_by_id.get(upstream.id) is entry

    # What other routers know.

    async def find(self, account: str, attempt: str, service: str) -> OriginLookup:
        """Return where the stream of an attempt began."""
        await self._wait_until_started()
        lookup = await self._find(origin_key(account, attempt), service)
        view_age = self._unconfirmed_seconds(self._clock())
        may_lack_upstreams = False
        if lookup.origin is not None and not self._serves(lookup.origin):
            is_current = await self._list_upstreams()
            may_lack_upstreams = not is_current and not self._serves(lookup.origin)
        lookup = attrs.evolve(
            lookup, view_age=view_age, may_lack_upstreams=may_lack_upstreams
        )
        self._metrics.origin_lookups.inc(lookup.source)
        return lookup

    def _serves(self, origin: StreamOrigin) -> bool:
        """Return whether a registered upstream may go on with a stream."""
        for upstream_id in self._directory.registered_ids(origin.service):
            upstream = self._directory.entries_by_id[upstream_id].upstream
            if upstream.may_run(origin.software_version):
                return True
        return False

    async def _wait_until_started(self) -> None:
        """Wait briefly until a router that has just started knows the upstreams."""
        end = self._clock() + START_SECONDS
        while self._clock() < end:
            is_confirmed = math.isfinite(self._unconfirmed_seconds(self._clock()))
            if is_confirmed and self._is_history_known():
                return
            await asyncio.sleep(START_POLL_SECONDS)

    async def _find(self, key: str, service: str) -> OriginLookup:
        origin = self.memory.get(key, self._clock())
        if origin is not None and await self.verify(origin):
            return OriginLookup(origin, "here")
        order = self._owners.in_order(key)
        reading = None
        if len(self._versions(service)) <= 1:
            # Otherwise routers have been told where streams began.
            reading = self._start_reading_versions(service)
        replies_by_vm: dict[str, OriginReply] = {}
        for vms in (order[:FIRST_ASKED], order[FIRST_ASKED:]):
            new_replies = await self._ask_all(vms, OriginQuery(key, service))
            lookup = await self._verified(new_replies)
            if lookup is not None:
                return lookup
            replies_by_vm.update(new_replies)
            reading = reading or self._start_reading_versions(service)
            version = await self._agreed_version(service, replies_by_vm, reading)
            if version is not None:
                origin = StreamOrigin(service, version)
                replies = len(replies_by_vm)
                return OriginLookup(origin, "sole version", replies=replies)
        if reading is not None and await asyncio.shield(reading) is None:
            # The rows cannot be read either.
            return NOWHERE
        vms = [self._members.own.vm, *order]
        asked_at = self._clock()
        origin = await self.rows.find(key, vms)
        if origin is not None:
            is_sound = await self.verify(origin)
            return OriginLookup(origin, "store") if is_sound else NOWHERE
        if not any(
            [
                self._was_killed(),
                *(r.may_have_lost_state for r in replies_by_vm.values()),
            ]
        ):
            return NOWHERE
        return await self._default(service, vms, asked_at)

    async def _default(
        self, service: str, vms: Sequence[str], since: float
    ) -> OriginLookup:
        """Return the origin of a stream of which no row says anything."""
        if self._defaults is None or len(self._members.by_vm) > len(vms):
            return NOWHERE
        if not self.rows.have_read(vms, since) or not self.rows.are_complete(vms):
            return NOWHERE
        if self._era_seconds(self._clock()) < self._max_age():
            # A copy of the store lacks the rows of streams that may still last.
            return NOWHERE
        default = await self._defaults.read(service)
        if default is None:
            return NOWHERE
        return OriginLookup(StreamOrigin(service, default), "default version")

    async def _verified(
        self, replies_by_vm: dict[str, OriginReply]
    ) -> OriginLookup | None:
        """Return an origin that other routers know, proven ones first, if any holds."""
        now = self._clock()
        lookups = []
        for vm, reply in replies_by_vm.items():
            if reply.origin is not None:
                known = from_message(reply.origin, now)
                lookups.append((known.is_proven, OriginLookup(known, "router", vm)))
        lookups.sort(key=lambda item: not item[0])
        for _, lookup in lookups:
            if lookup.origin is not None and await self.verify(lookup.origin):
                return lookup
        return None

    def _start_reading_versions(
        self, service: str
    ) -> asyncio.Task[set[str | None] | None] | None:
        """Ask the store which versions a service has, while routers are asked."""
        if self._version_record is None:
            return None
        return self.tasks.spawn(self._version_record.read_versions(service))

    async def _agreed_version(
        self,
        service: str,
        replies_by_vm: dict[str, OriginReply],
        reading: asyncio.Task[set[str | None] | None] | None,
    ) -> str | None:
        """Return the only version that can have begun a stream, if that is known.

        The store names every version that may have begun the stream. Some routers that
        agree prove nothing, since they may lack the same changes; only if all routers
        that are registered do, has none of them begun a stream at another version.
        Others may have registered since if the known routers were not confirmed.
        """
        stored = await asyncio.shield(reading) if reading is not None else None
        others = set(self._members.by_vm) - {self._members.own.vm}
        informed = [r for r in replies_by_vm.values() if r.is_history_known]
        if stored is None and (not informed or len(informed) < len(others)):
            return None
        if stored is None and not self._are_routers_current():
            log_event("no agreement without the store", service=service)
            return None
        if stored is not None and not stored:
            return None
        versions = set[str | None](stored or ())
        versions.update(*(reply.versions for reply in informed))
        if self._is_history_known():
            versions |= self._versions(service)
        return versions.pop() if len(versions) == 1 else None

    async def _ask_all(
        self, vms: Sequence[str], query: OriginQuery
    ) -> dict[str, OriginReply]:
        """Return the replies of routers, until one of them knows a proven origin."""
        waiting = {
            asyncio.create_task(self._ask(vm, query))
            for vm in vms
            if self._members.is_reachable(vm)
        }
        end = self._clock() + QUERY_SECONDS + self._meter.delay()
        replies_by_vm: dict[str, OriginReply] = {}
        try:
            while waiting:
                done, waiting = await asyncio.wait(
                    waiting,
                    timeout=max(end - self._clock(), 0.0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    log_event(
                        "routers too slow to say where a stream began",
                        count=len(waiting),
                        replies=len(replies_by_vm),
                    )
                    break
                for task in done:
                    replies_by_vm.update(task.result())
                origins = [reply.origin for reply in replies_by_vm.values()]
                if any(origin and origin.is_proven for origin in origins):
                    break
        finally:
            for task in waiting:
                task.cancel()
        return replies_by_vm

    async def _ask(self, vm: str, query: OriginQuery) -> dict[str, OriginReply]:
        """Return the reply of one router; empty if it gives none."""
        try:
            return {vm: await self._peers.ask(vm, query)}
        except PeerUnreachable:
            # The peer client has logged the failure.
            return {}

    async def _handle_notice(self, notice: OriginNotice) -> Ack:
        now = self._clock()
        for known in notice.origins:
            origin = from_message(known, now)
            self._services.add(origin.service)
            earlier = self.memory.get(known.key, now)
            if earlier is not None and earlier.is_proven and not origin.is_proven:
                # The messages have overtaken one another.
                continue
            self.memory.put(known.key, origin, expires_at=now + known.keep, now=now)
        return Ack()

    async def _handle_query(self, query: OriginQuery) -> OriginReply:
        now = self._clock()
        origin = self.memory.get(query.key, now)
        if origin is not None and self._is_sound(origin):
            return OriginReply(to_message(query.key, origin, now, now))
        versions = tuple(self._versions(query.service))
        return OriginReply(None, versions, self._is_history_known(), self._was_killed())

    def _is_sound(self, origin: StreamOrigin) -> bool:
        """Return whether nothing that is known here speaks against an origin."""
        proof = self._prover.proof(origin)
        if proof is not Proof.REPLACED:
            return True
        return origin.is_assumed and self._is_plausible(origin, proof, None)

    # Periodic work.

    async def hand_over(self) -> None:
        """Send all origins to the routers that remember them once this one is gone."""
        for key, origin, expires_at in self.memory.items(self._clock()):
            if not self._has_sole_version(origin.service):
                self._replicator.enqueue(key, origin, expires_at)
        try:
            async with asyncio.timeout(HAND_OVER_SECONDS):
                await self._replicator.send_pending()
        except TimeoutError:
            log_event("stream origins not handed over in time", count=len(self.memory))

    def _is_any_service_divided(self) -> bool:
        """Return whether a service of known origins may have several versions."""
        return not all(self._has_sole_version(service) for service in self._services)

    def _is_send_due(self) -> bool:
        return self._replicator.has_pending or self._teller.has_needed

    async def _send_due(self) -> None:
        self._teller.tell_needed()
        await self._replicator.send_pending()
