"""The callers of a soak, and a record of what each of their requests met."""

import asyncio
import itertools

import attrs

from lynxchute.http import ExchangeError, HttpClient, Timeouts
from tests.platform_support import HOST
from tests.soak.fleet import AMPLE, SCARCE

CALLERS_PER_ROUTER = 3
PAUSE = (0.02, 0.12)
DEADLINES_MS = (900, 1500, 3000)
TOKENS = ((60, 30), (200, 40), (500, 60))
SCARCE_SHARE = 0.3
LEAVING_SHARE = 0.05
LEAVES_AFTER = (0.01, 0.08)
RETRY_AFTER_LIMIT = 0.5
CALLER_TIMEOUTS = Timeouts(first_byte=12.0, between_bytes=12.0)


@attrs.define(eq=False)
class Record:
    """One request of a caller; times are the loop's, in seconds.

    A status of 0 stands for a connection that ended without a final answer.
    """

    request_id: str
    kind: str
    account: str
    vm: str
    process_start: int
    deadline: float
    prompt_tokens: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    was_sent: bool = True
    is_whole: bool = False
    left: bool = False
    body: bytes = b""
    echoed_id: str = ""


class Callers:
    """Send requests to all routers until told to stop."""

    def __init__(self, fleet, rng):
        self.records = []
        self._fleet = fleet
        self._rng = rng
        self._numbers = itertools.count(1)
        self._tasks = []

    def beside(self, rng):
        """Return callers that draw other numbers, with the same record."""
        others = Callers(self._fleet, rng)
        others.records = self.records
        others._numbers = self._numbers
        return others

    def start(self):
        for vm in self._fleet.routers_by_vm:
            for _ in range(CALLERS_PER_ROUTER):
                self._tasks.append(asyncio.create_task(self._call(vm)))

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        ends = await asyncio.gather(*self._tasks, return_exceptions=True)
        for end in ends:
            if not isinstance(end, asyncio.CancelledError):
                raise end

    async def _call(self, vm):
        client = self.client(vm)
        while True:
            record = await self.send(client, vm, self._rng.choice(KINDS))
            if record.status == 0:
                # Its process may be gone; an open connection is used till then.
                await asyncio.sleep(RETRY_AFTER_LIMIT)
            await asyncio.sleep(self._rng.uniform(*PAUSE))

    def client(self, vm):
        port = self._fleet.routers_by_vm[vm].caller_link.port
        return HttpClient(f"127.0.0.1:{port}", timeouts=CALLER_TIMEOUTS)

    async def send(self, client, vm, kind, *, account="", may_leave=True):
        rng = self._rng
        account = account or (SCARCE if rng.random() < SCARCE_SHARE else AMPLE)
        prompt, output = rng.choice(TOKENS)
        deadline_ms = rng.choice(DEADLINES_MS)
        record = Record(
            f"s{next(self._numbers)}",
            kind,
            account,
            vm,
            self._fleet.routers_by_vm[vm].process.starts,
            deadline_ms / 1000.0,
            prompt if kind in GENERATIONS else 0,
            asyncio.get_running_loop().time(),
        )
        self.records.append(record)
        headers = [
            ("Host", HOST),
            ("X-Request-Id", record.request_id),
            ("X-Deadline-Ms", str(deadline_ms)),
            ("X-Credential", f"key-of-{account}"),
        ]
        if kind in GENERATIONS:
            headers.append(("X-Model", "m"))
            headers.append(("X-Token-Counts", f"{prompt},{output}"))
            parts = f"aa:{prompt - 10},{record.request_id}:10"
            headers.append(("X-Prompt-Prefix", parts))
        leaves = may_leave and rng.random() < LEAVING_SHARE
        patience = rng.uniform(*LEAVES_AFTER) if leaves else None
        try:
            async with asyncio.timeout(patience):
                await _exchange(client, record, headers)
        except TimeoutError:
            record.left = True
        except asyncio.CancelledError:
            # The soak is over.
            record.left = True
            raise
        except ExchangeError as error:
            record.was_sent = error.sent
            if not record.body:
                record.status = 0
        finally:
            record.ended_at = asyncio.get_running_loop().time()
        return record


async def _exchange(client, record, headers):
    method = "GET" if record.kind == "safe" else "POST"
    response = await client.request(
        method, f"/{record.kind}/x", headers=headers, body=b"something"
    )
    record.status = response.status
    record.echoed_id = response.headers.get("x-request-id", "")
    try:
        while (piece := await response.read()) is not None:
            record.body += piece
        record.is_whole = True
    finally:
        response.close()


GENERATIONS = frozenset({"stream", "once"})
REPEATABLE = frozenset({"stream", "safe"})
KINDS = ("stream", "stream", "once", "safe", "unsafe")
