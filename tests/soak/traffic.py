"""Send the requests of a soak test and record the outcome of each."""

import asyncio
import itertools

import attrs

from lynxchute.http import ExchangeError, HttpClient, Timeouts
from tests.platform_support import HOST
from tests.soak.fleet import AMPLE_ACCOUNT, SCARCE_ACCOUNT

CALLERS_PER_ROUTER = 3
REQUEST_INTERVAL = (0.02, 0.12)
DEADLINES_MS = (900, 1500, 3000)
TOKEN_COUNTS = ((60, 30), (200, 40), (500, 60))
SCARCE_SHARE = 0.3
DISCONNECT_SHARE = 0.05
DISCONNECT_DELAY = (0.01, 0.08)
RECONNECT_DELAY = 0.5
BODY = b"something"
CALLER_TIMEOUTS = Timeouts(first_byte=12.0, between_bytes=12.0)


@attrs.define(eq=False)
class Record:
    """A request and its outcome.

    Attributes
    ----------
    start_number
        Which start of the router's process it was sent to.
    deadline
        Seconds within which the caller wants the final answer.
    sent_at, ended_at
        Times of the event loop's clock in seconds; ``ended_at`` is 0 while the request
        is open.
    status
        HTTP status, or 0 if the connection ended without a final answer.
    is_complete
        Whether the whole body was received.
    has_disconnected
        Whether the caller disconnected before the end of the answer.
    """

    request_id: str
    kind: str
    account: str
    vm: str
    start_number: int
    deadline: float
    prompt_tokens: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    was_sent: bool = True
    is_complete: bool = False
    has_disconnected: bool = False
    body: bytes = b""
    echoed_id: str = ""


class CallerPool:
    """Send requests to all routers until stopped."""

    def __init__(
        self,
        fleet,
        rng,
        *,
        callers_per_router=CALLERS_PER_ROUTER,
        deadlines_ms=DEADLINES_MS,
        has_distinct_bodies=False,
    ):
        self._callers_per_router = callers_per_router
        self._deadlines_ms = deadlines_ms
        self._has_distinct_bodies = has_distinct_bodies
        self.records = []
        self._fleet = fleet
        self._rng = rng
        self._id_counter = itertools.count(1)
        self._tasks = []

    def with_rng(self, rng):
        """Return a pool that uses another random generator and the same records."""
        pool = CallerPool(
            self._fleet,
            rng,
            deadlines_ms=self._deadlines_ms,
            has_distinct_bodies=self._has_distinct_bodies,
        )
        pool.records = self.records
        pool._id_counter = self._id_counter
        return pool

    def start(self):
        for vm in self._fleet.routers_by_vm:
            for _ in range(self._callers_per_router):
                self._tasks.append(asyncio.create_task(self._send_repeatedly(vm)))

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise result

    async def _send_repeatedly(self, vm):
        """Send random requests to one router until cancelled."""
        client = self.client(vm)
        while True:
            record = await self.send(client, vm, self._rng.choice(REQUEST_KINDS))
            if record.status == 0:
                # The router may be down: wait before connecting again.
                await asyncio.sleep(RECONNECT_DELAY)
            await asyncio.sleep(self._rng.uniform(*REQUEST_INTERVAL))

    def client(self, vm):
        port = self._fleet.routers_by_vm[vm].caller_link.port
        return HttpClient(f"127.0.0.1:{port}", timeouts=CALLER_TIMEOUTS)

    async def send(self, client, vm, kind, *, account="", may_disconnect=True):
        """Send one request with random parameters and return its record."""
        rng = self._rng
        account = account or (
            SCARCE_ACCOUNT if rng.random() < SCARCE_SHARE else AMPLE_ACCOUNT
        )
        prompt, output = rng.choice(TOKEN_COUNTS)
        deadline_ms = rng.choice(self._deadlines_ms)
        record = Record(
            f"s{next(self._id_counter)}",
            kind,
            account,
            vm,
            self._fleet.routers_by_vm[vm].process.starts,
            deadline_ms / 1000.0,
            prompt if kind in GENERATION_KINDS else 0,
            asyncio.get_running_loop().time(),
        )
        self.records.append(record)
        headers = [
            ("Host", HOST),
            ("X-Request-Id", record.request_id),
            ("X-Deadline-Ms", str(deadline_ms)),
            ("X-Credential", f"key-of-{account}"),
        ]
        if kind in GENERATION_KINDS:
            headers.append(("X-Model", "m"))
            headers.append(("X-Token-Counts", f"{prompt},{output}"))
            prefix_parts = f"aa:{prompt - 10},{record.request_id}:10"
            headers.append(("X-Prompt-Prefix", prefix_parts))
        will_disconnect = may_disconnect and rng.random() < DISCONNECT_SHARE
        disconnect_timeout = rng.uniform(*DISCONNECT_DELAY) if will_disconnect else None
        try:
            async with asyncio.timeout(disconnect_timeout):
                await _exchange(client, record, headers, self._body(record))
        except TimeoutError:
            record.has_disconnected = True
        except asyncio.CancelledError:
            # The test has ended.
            record.has_disconnected = True
            raise
        except ExchangeError as error:
            record.was_sent = error.sent
            if not record.body:
                record.status = 0
        finally:
            record.ended_at = asyncio.get_running_loop().time()
        return record

    def _body(self, record):
        return record.request_id.encode() if self._has_distinct_bodies else BODY


async def _exchange(client, record, headers, body):
    method = "GET" if record.kind == "safe" else "POST"
    response = await client.request(
        method, f"/{record.kind}/x", headers=headers, body=body
    )
    record.status = response.status
    record.echoed_id = response.headers.get("x-request-id", "")
    try:
        while (chunk := await response.read()) is not None:
            record.body += chunk
        record.is_complete = True
    finally:
        response.close()


GENERATION_KINDS = frozenset({"stream", "once"})
IDEMPOTENT_KINDS = frozenset({"stream", "safe"})
REQUEST_KINDS = ("stream", "stream", "once", "safe", "unsafe")
