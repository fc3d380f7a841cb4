"""Serve calls of plain services."""

from __future__ import annotations

import attrs

from lynxchute.callers.chat import REQUEST_ID_HEADER
from lynxchute.callers.problem import Problem, ProblemType, Run
from lynxchute.callers.replays import Answer
from lynxchute.callers.serving import (
    TRIES,
    Caller,
    Serving,
    answer_gone,
    in_progress,
    key_reused,
    outcome_unknown,
    reserve_problem,
)
from lynxchute.claims import Claims, ClaimState
from lynxchute.configuration import RouteConfiguration, UpstreamConfiguration
from lynxchute.http import ExchangeFailed, Request, Responder
from lynxchute.records import RequestRecord

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")


@attrs.frozen
class Call:
    """A call of a plain service.

    Attributes
    ----------
    repeatable
        Whether it may run more than once.
    """

    request: Request
    caller: Caller
    route: RouteConfiguration
    repeatable: bool

    @property
    def is_claimed(self) -> bool:
        """Return whether a retry must be told from a first call."""
        return bool(self.caller.key) and not self.repeatable


class PlainService:
    """Serve calls of plain services.

    Parameters
    ----------
    serving
        The parts that serve requests.
    claims
        Decides which attempt at a non-repeatable call may run.
    """

    def __init__(self, serving: Serving, claims: Claims) -> None:
        self._serving = serving
        self._claims = claims

    async def serve(
        self,
        request: Request,
        respond: Responder,
        caller: Caller,
        route: RouteConfiguration,
    ) -> None:
        """Answer a call on a route."""
        repeatable = route.repeatable
        if repeatable is None:
            repeatable = request.method in REPEATABLE_METHODS
        call = Call(request, caller, route, repeatable)
        self._serving.allowance.request()
        excluded: frozenset[str] = frozenset()
        replaces = ""
        for turn in range(TRIES):
            if turn and not self._serving.allowance.retry():
                break
            upstream = self._serving.router.choose(
                self._serving.node.configuration,
                route,
                self._serving.node.now(),
                excluded,
            )
            if upstream is None:
                break
            failed = await self._attempt(call, upstream, respond, replaces)
            if not failed:
                return
            replaces = failed
            excluded |= {upstream.name}
        title = f"No upstream of the route {route.name!r} could be reached."
        await Problem(ProblemType.UNAVAILABLE, title, retry_after=1).send(respond)

    async def _attempt(
        self,
        call: Call,
        upstream: UpstreamConfiguration,
        respond: Responder,
        replaces: str,
    ) -> str:
        """Make one attempt; return its name if another one is to be made."""
        serving = self._serving
        draft = self._draft(call, upstream)
        result = await serving.reservations.open(draft, replaces)
        if result.is_error():
            reply = result.error
            if reply.known is not None:
                await self._again(call, reply.known, respond)
            else:
                await reserve_problem(reply).send(respond)
            return ""
        record = result.ok
        if call.is_claimed and not await self._claim(call, record, respond):
            return ""
        if await self._exchange(call, record, upstream, respond):
            return ""
        return record.attempt

    def _draft(self, call: Call, upstream: UpstreamConfiguration) -> RequestRecord:
        return RequestRecord(
            request_id=call.caller.request_id,
            attempt="",
            account=call.caller.account,
            reserved=call.route.cost,
            entry=self._serving.node.incarnation,
            holder="",
            upstream=upstream.name,
            digest=call.caller.digest,
            can_cancel=False,
        )

    async def _claim(
        self, call: Call, record: RequestRecord, respond: Responder
    ) -> bool:
        """Claim a non-repeatable call; otherwise answer the caller."""
        claim = await self._claims.claim(record, call.caller.key)
        if claim.state is ClaimState.GRANTED:
            return True
        self._serving.settlement.not_run(record)
        if claim.known is not None:
            await self._again(call, claim.known, respond)
            return False
        title = (
            "The platform is out of reach, so it cannot be told whether this call"
            " ran before. Begin the key with the name of a data centre and a colon"
            f" ('{self._serving.node.data_centre}:…') to bind it there."
        )
        await Problem(ProblemType.UNAVAILABLE, title, retry_after=5).send(respond)
        return False

    async def _exchange(
        self,
        call: Call,
        record: RequestRecord,
        upstream: UpstreamConfiguration,
        respond: Responder,
    ) -> bool:
        serving = self._serving
        headers = [(REQUEST_ID_HEADER, record.request_id)]
        for name in FORWARDED_HEADERS:
            if name in call.request.headers:
                headers.append((name, call.request.headers[name]))
        try:
            response = await serving.client(upstream).request(
                call.request.method,
                call.request.target,
                headers=headers,
                body=call.request.body,
            )
            echo = response.headers.get(REQUEST_ID_HEADER.lower(), record.request_id)
            if echo != record.request_id:
                response.close()
                raise ExchangeFailed("the answer is another request's", sent=True)
            body = await response.body()
        except ExchangeFailed as error:
            return await self._failed(call, record, upstream, error, respond)
        serving.router.succeeded(upstream.name)
        content_type = response.headers.get("content-type", "application/octet-stream")
        answer = Answer(response.status, content_type, body)
        if call.caller.key:
            serving.replays.keep(record.request_id, answer)
        serving.settlement.finish(record, record.reserved)
        await respond.whole(answer.status, body, content_type)
        return True

    async def _failed(
        self,
        call: Call,
        record: RequestRecord,
        upstream: UpstreamConfiguration,
        error: ExchangeFailed,
        respond: Responder,
    ) -> bool:
        serving = self._serving
        serving.router.failed(upstream.name, serving.node.now())
        if not error.sent:
            if call.is_claimed:
                await self._claims.release(record)
            serving.settlement.not_run(record)
            return False
        if call.repeatable:
            serving.settlement.not_run(record)
            return False
        serving.settlement.finish(record, record.reserved)
        title = "The service gave no answer; the call may have run."
        problem = Problem(ProblemType.OUTCOME_UNKNOWN, title, Run.UNKNOWN)
        await problem.send(respond)
        return True

    async def _again(
        self, call: Call, known: RequestRecord, respond: Responder
    ) -> None:
        """Answer a call whose key is known."""
        if known.digest != call.caller.digest:
            await key_reused().send(respond)
            return
        answer = await self._serving.kept_answer(known)
        if answer is not None:
            await respond.whole(answer.status, answer.body, answer.content_type)
            return
        if known.used is not None:
            await answer_gone().send(respond)
            return
        if self._serving.is_alive(known.entry):
            await in_progress().send(respond)
            return
        await outcome_unknown().send(respond)
