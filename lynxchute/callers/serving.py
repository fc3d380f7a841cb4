"""What serving a request needs, whatever it asks for."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from lynxchute.accounting import Settlements
from lynxchute.application import Tasks
from lynxchute.callers.problem import Problem, ProblemType, Run
from lynxchute.callers.replays import Answer, Replays
from lynxchute.configuration import AccountConfiguration, UpstreamConfiguration
from lynxchute.holder import ReserveProblem
from lynxchute.http import ClientPool, ExchangeFailed, HttpClient, Request
from lynxchute.members import Liveness
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import AnswerRequest, ReserveReply, SettleRequest
from lynxchute.records import RequestRecord, request_id_for
from lynxchute.reservations import Reservations
from lynxchute.routing import RetryAllowance, Router
from lynxchute.settlement import Settlement
from lynxchute.upstreams.engine import RunState, cancel_run
from lynxchute.upstreams.resolver import OrphanResolver

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
TRIES = 3


@attrs.frozen
class Caller:
    """Who asks, and under which name.

    Attributes
    ----------
    key
        The idempotency key; empty where the caller gave none.
    digest
        SHA-256 of method, target and body.
    """

    account: str
    key: str
    request_id: str
    digest: str


@attrs.define
class Serving:
    """The parts that serve requests, and how many are open."""

    node: Node
    reservations: Reservations
    settlement: Settlement
    resolver: OrphanResolver
    clients: ClientPool
    router: Router
    replays: Replays
    tasks: Tasks
    allowance: RetryAllowance = attrs.Factory(RetryAllowance)
    leaving: bool = False
    open_requests: int = 0
    open_by_account: dict[str, int] = attrs.Factory(dict)

    def client(self, upstream: UpstreamConfiguration) -> HttpClient:
        """Return the connections to an upstream."""
        return self.clients.get(upstream.address)

    def identify(
        self, request: Request, account: AccountConfiguration, new_id: str
    ) -> Caller | Problem:
        """Return who asks, or what is wrong with the idempotency key."""
        key = request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH:
            title = f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters."
            return Problem(ProblemType.MALFORMED, title)
        content = f"{request.method} {request.target}\0".encode() + request.body
        return Caller(
            account=account.name,
            key=key,
            request_id=request_id_for(account.name, key) if key else new_id,
            digest=hashlib.sha256(content).hexdigest(),
        )

    def refusal(self, account: str) -> Problem | None:
        """Return why no further request can be taken now, if so."""
        if self.leaving or self.node.holder.journal.fenced:
            title = "This router is stopping. Send the request again."
            return Problem(ProblemType.UNAVAILABLE, title, retry_after=1)
        if not self.node.holder.ready or not self.node.holder.journal.opened:
            title = "This router has not reached the platform yet."
            return Problem(ProblemType.UNAVAILABLE, title, retry_after=2)
        limits = self.node.settings.limits
        if self.open_requests >= limits.max_open_requests:
            title = "Too many requests are open here. Send it again later."
            return Problem(ProblemType.UNAVAILABLE, title, retry_after=1)
        if self.open_by_account.get(account, 0) >= limits.max_open_per_account:
            title = "This client account has too many requests open."
            return Problem(ProblemType.LIMIT, title, retry_after=1)
        return None

    @contextmanager
    def counted(self, account: str) -> Iterator[None]:
        """Count a request as open."""
        self.open_requests += 1
        self.open_by_account[account] = self.open_by_account.get(account, 0) + 1
        try:
            yield
        finally:
            self.open_requests -= 1
            left = self.open_by_account.pop(account) - 1
            if left:
                self.open_by_account[account] = left

    async def cancel(self, record: RequestRecord, client: HttpClient) -> bool:
        """Cancel an attempt that gave no answer.

        Returns
        -------
        bool
            Whether it certainly did not run, or no longer runs and nobody
            has seen its answer.
        """
        try:
            run = await cancel_run(client, record.attempt)
        except ExchangeFailed:
            return False
        return run.state in (RunState.NEVER_RAN, RunState.CANCELLED, RunState.FINISHED)

    def is_alive(self, incarnation: str) -> bool:
        """Return whether a router is believed to be at work."""
        node = self.node
        liveness = node.members.incarnation_liveness(incarnation, node.now())
        return liveness in (Liveness.ALIVE, Liveness.LEAVING)

    async def withdraw(self, known: RequestRecord) -> None:
        """Release an attempt of another router that can no longer run."""
        node = self.node
        if known.holder == node.incarnation:
            self.settlement.not_run(known)
            return
        vm = node.members.vm_of(known.holder)
        if vm is None:
            return
        request = SettleRequest(Settlements(released=(known.attempt,)))
        try:
            await node.peers.ask(vm, request)
        except PeerUnreachable:
            return

    def resolve_later(self, record: RequestRecord) -> None:
        """Find out in the background what an attempt used, and settle it."""
        self.tasks.spawn(self._resolve(record))

    async def _resolve(self, record: RequestRecord) -> None:
        used = await self.resolver.resolve(record)
        if used is None:
            self.settlement.not_run(record)
            return
        self.settlement.finish(record, used)

    async def kept_answer(self, record: RequestRecord) -> Answer | None:
        """Return the answer to a finished request, from here or its entry router."""
        answer = self.replays.get(record.request_id)
        if answer is not None:
            return answer
        vm = self.node.members.vm_of(record.entry)
        if vm is None:
            return None
        try:
            reply = await self.node.peers.ask(vm, AnswerRequest(record.request_id))
        except PeerUnreachable:
            return None
        if not reply.status:
            return None
        return Answer(reply.status, reply.content_type, reply.body.encode("latin-1"))


def reserve_problem(reply: ReserveReply) -> Problem:
    """Return the refusal for tokens that were not reserved."""
    if reply.problem is ReserveProblem.SHORT:
        retry_after = 2 if reply.reserved_elsewhere else None
        title = "The client account's budget does not cover this request."
        return Problem(
            ProblemType.BUDGET, title, retry_after=retry_after, tried=reply.tried
        )
    if reply.problem is ReserveProblem.FULL:
        title = "The platform has been out of reach for too long to bill more."
        return Problem(ProblemType.UNAVAILABLE, title, retry_after=30)
    title = "No router can reserve tokens at the moment."
    return Problem(ProblemType.UNAVAILABLE, title, retry_after=1, tried=reply.tried)


def key_reused() -> Problem:
    """Return the refusal of other content under a known key."""
    title = "This Idempotency-Key named another request. Use a new key."
    return Problem(ProblemType.KEY_REUSED, title)


def outcome_unknown() -> Problem:
    """Return the refusal of a retry whose first run nobody can tell of."""
    title = "The request may have run; its router and its answer are lost."
    return Problem(ProblemType.OUTCOME_UNKNOWN, title, Run.UNKNOWN)


def answer_gone() -> Problem:
    """Return the refusal of a retry whose answer is no longer kept."""
    title = "The request ran and was billed; its answer is no longer kept."
    return Problem(ProblemType.ANSWER_GONE, title, Run.RAN)


def in_progress() -> Problem:
    """Return the refusal of a retry while the first run goes on."""
    title = "The request is still running. Ask again with the same key."
    return Problem(ProblemType.IN_PROGRESS, title, Run.UNKNOWN, retry_after=1)
