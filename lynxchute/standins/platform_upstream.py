"""Stand-ins for the platform's upstreams and their HTTP protocol, with faults."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time

import h11

from lynxchute.address import Address
from lynxchute.listening import listen
from lynxchute.platform import names
from lynxchute.platform.names import UPSTREAM_TABLE
from lynxchute.standins.arrivals import ArrivalLog
from lynxchute.standins.budget_rules import Received
from lynxchute.standins.early_answer import EarlyAnswer
from lynxchute.standins.places import Places
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.upstream_exchange import UpstreamExchange
from lynxchute.standins.upstream_run import (
    Fault,
    Run,
    next_event,
    parse_run,
    read_body,
)

_ids = itertools.count(1)
# Faults with which a request does not run, and those of them that may ask for backoff.
REFUSALS = frozenset({Fault.DECLINE, Fault.BUSY, Fault.MOVED, Fault.EARLY})
BACKOFF_REFUSALS = frozenset({Fault.DECLINE, Fault.BUSY})
# Seconds until an upstream is back after it fell over.
FALL_SECONDS = 3.0


class PlatformUpstreamStandin:
    """Serve requests as a model engine or a plain service of the platform.

    Parameters
    ----------
    service
        The service that it belongs to.
    data_centre
        The data centre that it registers.
    events
        Number of events in each stream; 0 makes it a plain service.
    event_delay
        Seconds between two events, and before a plain answer.

    Attributes
    ----------
    first_pause
        Seconds for which a stream pauses after its first event, in addition.
    plain_pieces
        Bytes of each piece of a plain answer, sent `event_delay` apart; empty for an
        answer in one piece.
    faults
        The faults of the next requests, in order; later requests have none.
    arrivals, received
        The ids of all requests that arrived, including those that did not run, and
        what is known of each arrival, in order.
    runs
        The requests that it ran.
    cache
        Tokens of the prompt parts that it reports as cached, by id of the part.
    started_ms
        When its process started, in Unix milliseconds; None if it does not report it.
    advertised_port
        The port that it registers if a relay is in front of it; 0 for its own.
    crash_bodies
        Request bodies that crash the process as soon as it runs them.
    crash_parts
        Ids of prompt parts that crash the process as soon as it runs a request with one
        of them, unless it is the last part.
    crash_share
        Share of requests, 0 to 1, that crash the process by chance as it runs them.
    ends_with_connection
        Whether answers have neither a length nor chunks and end with their connection.
    cuts_inside_event
        Whether a crash ends such a stream inside an event.
    resets_on_crash
        Whether a crash resets its connections instead of closing them.
    crash_runs
        The requests that crashed it.
    crashes
        The number of crashes so far.
    arrival_log
        The arrival times of requests, and the periods in which it was cold.
    max_cold_rate
        Requests a second that it can serve while cold; one more crashes it. 0 for no
        limit.
    limit
        The rate limit for all routers together that its answers declare, in requests
        a second; None for none.
    backoff
        Seconds of backoff that its refusals ask for; 0 for none.
    backoff_until
        Until when it refuses all requests and asks for a backoff of the remaining
        time, on the loop's clock.
    announces_leaving
        Whether its answers announce that it is leaving, whatever its registered
        state.
    places
        How many requests it takes at a time; None for any number.
    software_version
        The version of its software that it registers.
    early_answer
        What it answers to each request before it has read the body; None for nothing.
    receive_buffer
        Bytes that the kernel receives before they are read; 0 for its default.
    falls
        How often it fell over as it rejected too many requests while it was brittle.
    """

    def __init__(
        self,
        service: str,
        data_centre: str,
        *,
        events: int = 0,
        event_delay: float = 0.005,
    ) -> None:
        self.id = f"i-{next(_ids):06x}"
        self.service = service
        self.data_centre = data_centre
        self.events = events
        self.event_delay = event_delay
        self.first_pause = 0.0
        self.plain_pieces: tuple[int, ...] = ()
        self.faults: list[Fault] = []
        self.arrivals: list[str] = []
        self.received: list[Received] = []
        self.runs: list[Run] = []
        self.cache: dict[str, int] = {}
        self.state = "ready"
        self.port = 0
        self.advertised_port = 0
        self.crash_bodies: set[bytes] = set()
        self.crash_parts: set[str] = set()
        self.crash_share = 0.0
        self._crash_random = random.Random(self.id)
        self.ends_with_connection = False
        self.cuts_inside_event = True
        self.resets_on_crash = True
        self.crash_runs: list[Run] = []
        self.crashes = 0
        self.arrival_log = ArrivalLog()
        self.max_cold_rate = 0
        self.limit: float | None = None
        self.backoff = 0.0
        self.backoff_until = 0.0
        self.announces_leaving = False
        self.places: Places | None = None
        self.software_version = "v1"
        self.early_answer: EarlyAnswer | None = None
        self.receive_buffer = 0
        self.falls = 0
        self.connections = 0
        self.started_ms: int | None = int(time.time() * 1000)
        self._is_unresponsive = False
        self._server: asyncio.Server | None = None
        self._fall_task: asyncio.Task[None] | None = None
        self._crash_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        # Writers are kept because a connection without a reference would be closed.
        self._unresponsive_writers: list[asyncio.StreamWriter] = []

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 chooses a free one."""
        if self.receive_buffer:
            address = Address("127.0.0.1", port)
            listener = listen(address, receive_buffer=self.receive_buffer)
            self._server = await asyncio.start_server(self._accept, sock=listener)
        else:
            self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all connections at once, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in self._unresponsive_writers:
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def lose_power(self) -> None:
        """Stop responding without closing connections, as a machine without power."""
        assert self._server is not None
        self._server.close()
        self._is_unresponsive = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def restart(self, after_ms: int = 1000) -> None:
        """Restart under the same id and address, without earlier runs and cache."""
        self.started_ms = (self.started_ms or 0) + after_ms
        self.runs, self.cache, self.faults = [], {}, []
        self._is_unresponsive = False
        await self.start(self.port)

    async def start_new_process(self, store: PlatformStoreStandin) -> None:
        """Start a new process with a new id at the same address, and register it."""
        await store.drop(UPSTREAM_TABLE, self.id)
        self.id = f"i-{next(_ids):06x}"
        self.started_ms = int(time.time() * 1000)
        await self.start(self.port)
        await self.register(store)

    def become_cold(self, seconds: float) -> None:
        """Be cold for some seconds, as after a start."""
        self.arrival_log.record_cold(seconds, asyncio.get_running_loop().time())

    @property
    def _cold_ms(self) -> int:
        now = asyncio.get_running_loop().time()
        return int(max(self.arrival_log.cold_seconds(now), 0.0) * 1000)

    def backpressure_headers(
        self, *, is_refusal: bool = False
    ) -> list[tuple[str, str]]:
        """Return the backpressure headers of an answer: limit, leaving and backoff."""
        headers = []
        if self.limit is not None:
            headers.append((names.UPSTREAM_LIMIT, f"{self.limit:g}"))
        if self.places is not None and self.places.max_rejections is not None:
            headers.append((names.UPSTREAM_BRITTLE, str(self.places.max_rejections)))
        if self.announces_leaving:
            headers.append((names.UPSTREAM_LEAVING, "1"))
        backoff = self._backoff_seconds()
        if backoff > 0 and is_refusal:
            headers.append((names.RETRY_AFTER, f"{backoff:.3f}"))
        return headers

    def _backoff_seconds(self) -> float:
        return max(self.backoff, self.backoff_until - asyncio.get_running_loop().time())

    @property
    def open_connections(self) -> int:
        """Return the number of its open connections."""
        return len(self._tasks)

    @property
    def address(self) -> str:
        """Return the address that it registers."""
        return f"127.0.0.1:{self.advertised_port or self.port}"

    async def register(self, store: PlatformStoreStandin) -> None:
        """Write its entry to the store."""
        entry: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": self.software_version,
            "slots": self.places.slots if self.places is not None else 64,
            "state": self.state,
            names.COLD_REMAINING_FIELD: self._cold_ms,
            "sequence": 1,
        }
        if self.started_ms is not None:
            entry[names.START_TIME_FIELD] = self.started_ms
        await store.put(UPSTREAM_TABLE, self.id, json.dumps(entry).encode())

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            await self._serve(reader, writer)
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            if self._is_unresponsive:
                self._unresponsive_writers.append(writer)
                return
            if self.resets_on_crash and not self.ends_with_connection:
                writer.transport.abort()
        finally:
            self._tasks.discard(task)
            if not self._is_unresponsive:
                writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        protocol = h11.Connection(h11.SERVER)
        while True:
            head = await next_event(protocol, reader)
            if not isinstance(head, h11.Request):
                return
            if head.target.decode() in (names.CACHE_LIST, names.REPORT_PATH):
                await read_body(protocol, reader)
                await self._send_report(protocol, writer)
                continue
            fault = self.faults.pop(0) if self.faults else None
            run = parse_run(head)
            self._record_received(run)
            if self.early_answer is not None or fault is Fault.EARLY:
                await self._answer_early(run, protocol, reader, writer)
                return
            run.body = await read_body(protocol, reader)
            expected = run.headers.get(names.EXPECTED_UPSTREAM.lower(), self.id)
            if expected != self.id:
                fault = Fault.MOVED
            elif self._exceeds_cold_rate(run.request_id) or self._is_deadly(run):
                fault = Fault.CRASH
            elif asyncio.get_running_loop().time() < self.backoff_until:
                fault = Fault.DECLINE
            exchange = UpstreamExchange(
                self.id,
                self.runs,
                self.events,
                self.event_delay,
                run,
                fault,
                protocol,
                reader,
                writer,
                self.backpressure_headers,
                self.first_pause,
                self.software_version,
                self.ends_with_connection,
                self.cuts_inside_event,
                self.plain_pieces,
            )
            if not await self._answer(exchange):
                if fault in (Fault.CRASH, Fault.CUT_AND_CRASH):
                    self.crash_runs.append(run)
                    self.crash()
                return
            protocol.start_next_cycle()

    def _record_received(self, run: Run) -> None:
        deadline_ms = run.headers.get(names.DEADLINE.lower())
        run.received = Received(
            asyncio.get_running_loop().time(),
            run.request_id,
            self.id,
            None if deadline_ms is None else int(deadline_ms) / 1000.0,
        )
        self.arrivals.append(run.request_id)
        self.received.append(run.received)

    async def _answer(self, exchange: UpstreamExchange) -> bool:
        """Answer once a place is free; return whether the connection can be reused."""
        places = self.places
        if places is not None and not places.admit():
            exchange.fault = Fault.DECLINE
            if places.falls():
                self._fall()
                return False
            self._record_outcome(exchange)
            return await exchange.answer()
        if places is None:
            self._record_outcome(exchange)
            return await exchange.answer()
        has_begun = False
        try:
            await places.begin()
            has_begun = True
            self._record_outcome(exchange)
            return await exchange.answer()
        finally:
            places.end(has_begun=has_begun)

    def _record_outcome(self, exchange: UpstreamExchange) -> None:
        """Record whether a request runs, and the backoff that its refusal asks for."""
        received = exchange.run.received
        received.has_run = exchange.fault not in REFUSALS
        if exchange.fault in BACKOFF_REFUSALS:
            received.backoff = self._backoff_seconds()

    def _fall(self) -> None:
        """Crash, and come back under the same id after some seconds."""
        if self._fall_task is not None and not self._fall_task.done():
            return
        self.falls += 1
        self._fall_task = asyncio.create_task(self._fall_and_restart())

    async def _fall_and_restart(self) -> None:
        runs = self.runs
        await self.stop()
        await asyncio.sleep(FALL_SECONDS)
        await self.restart()
        self.runs = runs

    def _exceeds_cold_rate(self, request_id: str) -> bool:
        """Record a request; return whether it exceeds the rate of a cold process."""
        now = asyncio.get_running_loop().time()
        self.arrival_log.record(now, request_id)
        if not self.max_cold_rate or self.arrival_log.cold_seconds(now) <= 0:
            return False
        return len(self.arrival_log.since(now - 1.0)) > self.max_cold_rate

    def _is_deadly(self, run: Run) -> bool:
        """Return whether a request crashes the process that runs it."""
        if run.body in self.crash_bodies:
            return True
        if self.crash_share and self._crash_random.random() < self.crash_share:
            return True
        return not self.crash_parts.isdisjoint(run.shared_part_ids)

    def crash(self) -> None:
        """Crash the process, which closes all connections."""
        self.crashes += 1
        self._crash_task = asyncio.create_task(self.stop())

    async def _send_report(
        self, protocol: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        """Send the report of its start time, cold period and cached prompt parts."""
        cached_parts = [
            ["", part_id, tokens, "m"] for part_id, tokens in self.cache.items()
        ]
        report: dict[str, object] = {
            "epoch": 1,
            "next": 0,
            "held": cached_parts,
            "sequence": 1,
        }
        if self.started_ms is not None:
            report[names.START_TIME_FIELD] = self.started_ms
        body = json.dumps(report).encode()
        headers = [
            ("Content-Length", str(len(body))),
            (names.COLD_MS, str(self._cold_ms)),
            *self.backpressure_headers(),
        ]
        writer.write(
            protocol.send(h11.Response(status_code=200, headers=headers)) or b""
        )
        writer.write(protocol.send(h11.Data(data=body)) or b"")
        writer.write(protocol.send(h11.EndOfMessage()) or b"")
        await writer.drain()
        protocol.start_next_cycle()

    async def _answer_early(
        self,
        run: Run,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request whose body has not been read; decline it by default."""
        if self.early_answer is not None:
            await self.early_answer.send(run, protocol, reader, writer)
            return
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        await writer.drain()
        await asyncio.sleep(0.2)
