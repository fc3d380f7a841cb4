"""Upstreams of the platform, at their published protocol, with their faults."""

from __future__ import annotations

import asyncio
import itertools
import json
import time

import h11

from lynxchute.platform import names
from lynxchute.platform.names import UPSTREAM_TABLE
from lynxchute.standins.arrivals import Arrivals
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.upstream_exchange import UpstreamExchange
from lynxchute.standins.upstream_run import (
    Fault,
    Run,
    next_event,
    read_body,
    run_of,
)

_ids = itertools.count(1)


class PlatformUpstreamStandin:
    """Serve a model engine's or a plain service's requests.

    Parameters
    ----------
    service
        The service that it belongs to.
    data_centre
        Where it stands.
    events
        Events of each stream; 0 makes it a plain service.
    event_delay
        Seconds between two events, and before a plain answer.

    Attributes
    ----------
    faults
        What the next requests meet, in order; then they are served.
    arrivals
        The ids of all requests that came, run or not.
    runs
        What it has worked on.
    cache
        Tokens of the parts of prompts that it says it keeps, by id.
    started_ms
        When its process started, in Unix milliseconds; None where it does not say.
    reached_at
        The port that it registers, where a relay stands before it; 0 for its
        own.
    deadly_bodies
        Requests that end the process as soon as it works on them, by body.
    crashes
        How often that has happened.
    taken
        When it took requests, and when it was cold.
    cold_most
        Requests within a second that end it while it is cold; 0 for none.
    limit
        Requests a second from all routers that its answers name as its limit.
    backoff
        Seconds of backoff that its refusals ask for; 0 for none.
    backoff_until
        Until when it turns all requests away and asks for the time that is left, on
        the loop's clock.
    says_it_leaves
        Whether its answers say that it leaves, whatever its entry says.
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
        self.faults: list[Fault] = []
        self.arrivals: list[str] = []
        self.runs: list[Run] = []
        self.cache: dict[str, int] = {}
        self.state = "ready"
        self.port = 0
        self.reached_at = 0
        self.deadly_bodies: set[bytes] = set()
        self.crashes = 0
        self.taken = Arrivals()
        self.cold_most = 0
        self.limit: float | None = None
        self.backoff = 0.0
        self.backoff_until = 0.0
        self.says_it_leaves = False
        self.connections = 0
        self.started_ms: int | None = int(time.time() * 1000)
        self._is_dark = False
        self._server: asyncio.Server | None = None
        self._ending: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        # Held, since a connection that nobody holds is closed.
        self._dark_writers: list[asyncio.StreamWriter] = []

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 takes any free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End at once, like a crash."""
        if self._server is not None:
            self._server.close()
        for writer in self._dark_writers:
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def lose_power(self) -> None:
        """End without a word: connections stay open and bring nothing more."""
        assert self._server is not None
        self._server.close()
        self._is_dark = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def start_again(self, after_ms: int = 1000) -> None:
        """Start again under the same id and address, knowing nothing of before."""
        self.started_ms = (self.started_ms or 0) + after_ms
        self.runs, self.cache, self.faults = [], {}, []
        self._is_dark = False
        await self.start(self.port)

    async def start_anew(self, store: PlatformStoreStandin) -> None:
        """Start as another process at the same address, under an id of its own."""
        await store.drop(UPSTREAM_TABLE, self.id)
        self.id = f"i-{next(_ids):06x}"
        self.started_ms = int(time.time() * 1000)
        await self.start(self.port)
        await self.register(store)

    def grow_cold(self, seconds: float) -> None:
        """Bear only a few requests for a while, as after a start."""
        self.taken.note_cold(seconds, asyncio.get_running_loop().time())

    @property
    def _cold_ms(self) -> int:
        now = asyncio.get_running_loop().time()
        return int(max(self.taken.cold_seconds(now), 0.0) * 1000)

    def stated(self, *, is_refusal: bool = False) -> list[tuple[str, str]]:
        """Return the headers in which an answer says what the process wants."""
        headers = []
        if self.limit is not None:
            headers.append((names.UPSTREAM_LIMIT, f"{self.limit:g}"))
        if self.says_it_leaves:
            headers.append((names.UPSTREAM_LEAVING, "1"))
        backoff = max(
            self.backoff, self.backoff_until - asyncio.get_running_loop().time()
        )
        if backoff > 0 and is_refusal:
            headers.append((names.RETRY_AFTER, f"{backoff:.3f}"))
        return headers

    async def register(self, store: PlatformStoreStandin) -> None:
        """Write its entry."""
        entry: dict[str, object] = {
            "service": self.service,
            "address": f"127.0.0.1:{self.reached_at or self.port}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": 64,
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
            if self._is_dark:
                self._dark_writers.append(writer)
                return
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            if not self._is_dark:
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
                await self._tell(protocol, writer)
                continue
            fault = self.faults.pop(0) if self.faults else None
            run = run_of(head)
            self.arrivals.append(run.request_id)
            if fault is Fault.EARLY:
                await self._decline_early(writer)
                return
            run.body = await read_body(protocol, reader)
            expected = run.headers.get(names.EXPECTED_UPSTREAM.lower(), self.id)
            if expected != self.id:
                fault = Fault.MOVED
            elif self._is_too_much(run.request_id) or run.body in self.deadly_bodies:
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
                self.stated,
            )
            if not await exchange.answer():
                if fault is Fault.CRASH:
                    self._crash()
                return
            protocol.start_next_cycle()

    def _is_too_much(self, request_id: str) -> bool:
        """Note a request; return whether it is more than a cold process bears."""
        now = asyncio.get_running_loop().time()
        self.taken.note(now, request_id)
        if not self.cold_most or self.taken.cold_seconds(now) <= 0:
            return False
        return len(self.taken.since(now - 1.0)) > self.cold_most

    def _crash(self) -> None:
        """End the process; every connection goes with it."""
        self.crashes += 1
        self._ending = asyncio.create_task(self.stop())

    async def _tell(
        self, protocol: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        """Say what it is doing and what it keeps of prompts."""
        held = [["", part_id, tokens, "m"] for part_id, tokens in self.cache.items()]
        told: dict[str, object] = {"epoch": 1, "next": 0, "held": held, "sequence": 1}
        if self.started_ms is not None:
            told[names.START_TIME_FIELD] = self.started_ms
        body = json.dumps(told).encode()
        headers = [
            ("Content-Length", str(len(body))),
            (names.COLD_MS, str(self._cold_ms)),
            *self.stated(),
        ]
        writer.write(
            protocol.send(h11.Response(status_code=200, headers=headers)) or b""
        )
        writer.write(protocol.send(h11.Data(data=body)) or b"")
        writer.write(protocol.send(h11.EndOfMessage()) or b"")
        await writer.drain()
        protocol.start_next_cycle()

    async def _decline_early(self, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        await writer.drain()
        await asyncio.sleep(0.2)
