"""Take over from routers of this data centre that have died or are leaving."""

from __future__ import annotations

import asyncio

from absl import logging

from lynxchute.application import Loop, Tasks
from lynxchute.entry import Adoption, Entry
from lynxchute.flusher import Flusher
from lynxchute.members import Liveness
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import CloseNotice, KeepRequest, ReportRequest
from lynxchute.records import RequestRecord
from lynxchute.recovery import Recovery, Report
from lynxchute.rendezvous import ranked
from lynxchute.settlement import Settlement
from lynxchute.tables import OutcomeUnknown, Unavailable
from lynxchute.upstreams.resolver import OrphanResolver

INTERVAL = 0.3
TRY_AGAIN_AFTER = 0.5
WRITE_OFF_AFTER = 30.0


class Takeover:
    """Recover dead incarnations and settle the requests that they left open.

    Parameters
    ----------
    node
        This incarnation.
    flusher
        Writes the adoptions.
    settlement
        Settles orphaned requests.
    resolver
        Finds out what orphaned requests used.
    tasks
        Runs recoveries in the background.
    """

    def __init__(
        self,
        node: Node,
        flusher: Flusher,
        settlement: Settlement,
        resolver: OrphanResolver,
        tasks: Tasks,
    ) -> None:
        self.loop = Loop("takeover", self._step, INTERVAL)
        self.recovered = 0
        self.written_off_tokens = 0
        self._node = node
        self._flusher = flusher
        self._settlement = settlement
        self._resolver = resolver
        self._tasks = tasks
        self._recovering: set[str] = set()
        self._resolving: set[str] = set()
        self._adopting = asyncio.Lock()
        flusher.listeners.append(self._note_written)

    def note_closed(self, notice: CloseNotice) -> None:
        """Learn who has adopted an incarnation."""
        node = self._node
        node.accounting.close(notice.victim, notice.adopter)
        node.members.forget_past(notice.victim)

    def hand_over(self, incarnation: str) -> None:
        """Recover a router that asks for it because it is stopping."""
        self._begin(incarnation)

    async def _step(self) -> None:
        node = self._node
        now = node.now()
        victims = {*node.members.given_up(now), *node.book.adopters_by_fenced}
        for victim in victims:
            if node.book.adopters_by_fenced.get(victim):
                continue
            live = node.members.live(now, node.data_centre)
            order = ranked(victim, live)
            if order and order[0] == node.incarnation:
                self._begin(victim)
        self._resolve_orphans()

    def _begin(self, victim: str) -> None:
        if victim in self._recovering or victim == self._node.incarnation:
            return
        self._recovering.add(victim)
        self._tasks.spawn(self._recover(victim))

    async def _recover(self, victim: str) -> None:
        try:
            recovery = Recovery(victim)
            started = self._node.now()
            while not await self._advance(recovery, started):
                await asyncio.sleep(TRY_AGAIN_AFTER * self._node.random.random())
        finally:
            self._recovering.discard(victim)

    async def _advance(self, recovery: Recovery, started: float) -> bool:
        """Go one round; return whether the incarnation is recovered."""
        node = self._node
        if node.holder.journal.fenced:
            return True
        try:
            rows = await node.table.read(prefixes=recovery.prefixes)
            seal = recovery.learn_rows(rows)
            if seal is not None:
                await node.table.write(seal)
                rows = await node.table.read(prefixes=recovery.prefixes)
                recovery.learn_rows(rows)
        except (Unavailable, OutcomeUnknown):
            return False
        if recovery.adopter:
            self.note_closed(CloseNotice(recovery.victim, recovery.adopter))
            return True
        if not recovery.sealed:
            unknown = recovery.never_opened
            if unknown:
                node.members.forget_past(recovery.victim)
                node.book.close(recovery.victim, node.incarnation)
            return unknown
        await self._collect(recovery)
        write_off = self._may_write_off(recovery, started)
        if recovery.missing and not write_off:
            return False
        try:
            recovery.learn_durable(await node.table.read(keys=recovery.top_up_keys()))
            recovery.learn_billed(await node.table.read(keys=recovery.charge_keys()))
        except Unavailable:
            return False
        await self._place_copies(recovery)
        adoption = recovery.adoption(node.incarnation, write_off=write_off)
        await self._adopt(adoption)
        return bool(node.book.adopters_by_fenced.get(recovery.victim))

    async def _collect(self, recovery: Recovery) -> None:
        node = self._node
        request = ReportRequest(recovery.victim, recovery.predecessors)
        missing = recovery.missing
        if node.incarnation in missing:
            own = node.accounting.report(recovery.victim, recovery.predecessors)
            recovery.learn_report(own)
        work = []
        for reporter in missing - {node.incarnation}:
            work.append(self._ask(recovery.vms_by_reporter[reporter], request))
        for report in await asyncio.gather(*work):
            if report is not None:
                recovery.learn_report(report)

    async def _place_copies(self, recovery: Recovery) -> None:
        """Have another router keep what only this one would keep."""
        node = self._node
        records = recovery.sole_copies(node.incarnation)
        if not records:
            return
        for reporter in recovery.reports_by_reporter:
            vm = recovery.vms_by_reporter.get(reporter)
            if vm is None or reporter == node.incarnation:
                continue
            try:
                await node.peers.ask(vm, KeepRequest(records))
            except PeerUnreachable:
                continue
            recovery.learn_kept(reporter, records)
            return

    async def _ask(self, vm: str, request: ReportRequest) -> Report | None:
        try:
            return await self._node.peers.ask(vm, request)
        except PeerUnreachable:
            return None

    def _may_write_off(self, recovery: Recovery, started: float) -> bool:
        """Return whether everyone who is missing is certainly gone."""
        node = self._node
        now = node.now()
        if now - started < WRITE_OFF_AFTER:
            return False
        for incarnation in recovery.missing:
            liveness = node.members.incarnation_liveness(incarnation, now)
            if liveness is not Liveness.GONE:
                return False
        return True

    async def _adopt(self, adoption: Adoption) -> None:
        node = self._node
        async with self._adopting:
            node.holder.adopt(adoption)
            while node.holder.adopting == adoption.victim:
                self._flusher.wake()
                await self._flusher.wrote(5.0)
                if node.holder.journal.fenced:
                    return

    def _note_written(self, entry: Entry) -> None:
        adoption = entry.adoption
        if adoption is None:
            return
        node = self._node
        self.recovered += 1
        self.written_off_tokens += sum(adoption.written_off().values())
        logging.info(
            "took over %s: %d requests, written off %s",
            adoption.victim,
            len(adoption.held()),
            adoption.written_off(),
        )
        node.accounting.learn_written(entry)
        notice = CloseNotice(adoption.victim, node.incarnation)
        self.note_closed(notice)
        for heartbeat in node.members.live(node.now(), node.data_centre).values():
            if heartbeat.incarnation != node.incarnation:
                self._tasks.spawn(self._tell(heartbeat.vm, notice))

    async def _tell(self, vm: str, notice: CloseNotice) -> None:
        try:
            await self._node.peers.ask(vm, notice)
        except PeerUnreachable:
            logging.warning("could not tell %s who adopted %s", vm, notice.victim)

    def _resolve_orphans(self) -> None:
        """Find out what became of requests whose entry router is given up."""
        node = self._node
        now = node.now()
        entries = {record.entry for record in node.holder.open_by_attempt.values()}
        for entry in entries - {node.incarnation}:
            gone = node.members.incarnation_liveness(entry, now) is Liveness.GONE
            if not gone and not node.book.is_fenced(entry):
                continue
            for record in node.accounting.take_over(entry):
                if record.attempt in self._resolving:
                    continue
                self._resolving.add(record.attempt)
                self._tasks.spawn(self._resolve(record))

    async def _resolve(self, record: RequestRecord) -> None:
        try:
            used = await self._resolver.resolve(record)
            if used is None:
                self._settlement.not_run(record)
                return
            self._settlement.finish(record, used)
        finally:
            self._resolving.discard(record.attempt)
