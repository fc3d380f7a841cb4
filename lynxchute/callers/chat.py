"""Serve chat completions."""

from __future__ import annotations

import json

import attrs

from lynxchute.callers.events import CONTENT_TYPE, EventRelay
from lynxchute.callers.problem import Problem, ProblemType, Run
from lynxchute.callers.question import Question, parse_question
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
from lynxchute.configuration import RouteConfiguration, UpstreamConfiguration
from lynxchute.http import ExchangeFailed, HttpClient, Request, Responder, Response
from lynxchute.http.responder import JSON_TYPE
from lynxchute.records import RequestRecord
from lynxchute.upstreams.engine import RunState, cancel_run, resume_stream, whole_answer

PATH = "/v1/chat/completions"
REQUEST_ID_HEADER = "X-Request-Id"
RESUMES = 2


@attrs.frozen
class Failure:
    """An attempt of which nobody has seen an answer.

    Attributes
    ----------
    used
        Tokens that it used up; None where it certainly did not run.
    """

    record: RequestRecord
    used: int | None = None


@attrs.define
class Exchange:
    """One attempt under way.

    Attributes
    ----------
    kept
        Pieces of the answer so far, kept for retries; None where the caller
        gave no key.
    caller_left
        Whether the caller can no longer be written to.
    """

    caller: Caller
    question: Question
    record: RequestRecord
    upstream: UpstreamConfiguration
    client: HttpClient
    respond: Responder
    kept: list[bytes] | None
    caller_left: bool = False


class ChatService:
    """Serve chat completions through the model engines.

    Parameters
    ----------
    serving
        The parts that serve requests.
    """

    def __init__(self, serving: Serving) -> None:
        self._serving = serving

    async def serve(self, request: Request, respond: Responder, caller: Caller) -> None:
        """Answer a chat completion request."""
        parsed = parse_question(request)
        if parsed.is_error():
            problem = Problem(ProblemType.MALFORMED, " ".join(parsed.error))
            await problem.send(respond)
            return
        question = parsed.ok
        route = self._serving.node.configuration.routes_by_model.get(question.model)
        if route is None:
            known = ", ".join(sorted(self._serving.node.configuration.routes_by_model))
            title = f"No route leads to the model {question.model!r}. Known: {known}."
            await Problem(ProblemType.NOT_FOUND, title).send(respond)
            return
        most = self._serving.node.settings.limits.max_answer_tokens
        if question.max_tokens is not None and question.max_tokens > most:
            title = f"'max_tokens' may be at most {most}."
            await Problem(ProblemType.MALFORMED, title).send(respond)
            return
        await self._try(question, route, caller, respond)

    async def _try(
        self,
        question: Question,
        route: RouteConfiguration,
        caller: Caller,
        respond: Responder,
    ) -> None:
        serving = self._serving
        serving.allowance.request()
        excluded: frozenset[str] = frozenset()
        failure: Failure | None = None
        for turn in range(TRIES):
            if turn and not serving.allowance.retry():
                break
            upstream = serving.router.choose(
                serving.node.configuration,
                route,
                serving.node.now(),
                excluded,
                question.prefix,
            )
            if upstream is None:
                break
            draft = self._draft(question, caller, upstream)
            replaces = failure.record.attempt if failure else ""
            result = await serving.reservations.open(draft, replaces)
            if result.is_error():
                reply = result.error
                if reply.known is None:
                    await self._refuse(failure, reserve_problem(reply), respond)
                    return
                if await self._again(question, caller, reply.known, respond):
                    return
                continue
            if failure is not None:
                serving.settlement.not_run(failure.record)
            failure = await self._attempt(
                question, caller, result.ok, upstream, respond
            )
            if failure is None:
                return
            excluded |= {upstream.name}
        title = f"No upstream could serve {question.model!r}. Send it again later."
        problem = Problem(ProblemType.UNAVAILABLE, title, retry_after=1)
        await self._refuse(failure, problem, respond)

    async def _refuse(
        self, failure: Failure | None, problem: Problem, respond: Responder
    ) -> None:
        """Settle the last attempt, if any, and refuse the request."""
        settlement = self._serving.settlement
        if failure is not None and failure.used is None:
            settlement.not_run(failure.record)
        elif failure is not None and failure.used is not None:
            settlement.finish(failure.record, failure.used)
            title = "The upstreams began the answer and broke off. Use a new key."
            problem = Problem(ProblemType.BROKEN, title, Run.RAN)
        await problem.send(respond)

    def _draft(
        self, question: Question, caller: Caller, upstream: UpstreamConfiguration
    ) -> RequestRecord:
        node = self._serving.node
        return RequestRecord(
            request_id=caller.request_id,
            attempt="",
            account=caller.account,
            reserved=question.prompt_bound + self._answer_limit(question),
            entry=node.incarnation,
            holder="",
            upstream=upstream.name,
            digest=caller.digest,
        )

    def _answer_limit(self, question: Question) -> int:
        most = self._serving.node.settings.limits.max_answer_tokens
        return question.max_tokens or most

    async def _attempt(
        self,
        question: Question,
        caller: Caller,
        record: RequestRecord,
        upstream: UpstreamConfiguration,
        respond: Responder,
    ) -> Failure | None:
        serving = self._serving
        load = serving.router.load(upstream.name)
        load.open += 1
        exchange = Exchange(
            caller,
            question,
            record,
            upstream,
            serving.client(upstream),
            respond,
            [] if caller.key else None,
        )
        try:
            return await self._exchange(exchange)
        finally:
            load.open -= 1

    async def _exchange(self, exchange: Exchange) -> Failure | None:
        try:
            response = await exchange.client.request(
                "POST",
                PATH,
                headers=[
                    ("Content-Type", JSON_TYPE),
                    (REQUEST_ID_HEADER, exchange.record.attempt),
                ],
                body=exchange.question.for_engine(
                    self._answer_limit(exchange.question)
                ),
            )
        except ExchangeFailed as error:
            return await self._failed(exchange, sent=error.sent)
        if response.status != 200:
            response.close()
            return await self._failed(exchange, sent=response.status >= 500)
        if response.headers.get(REQUEST_ID_HEADER.lower()) != exchange.record.attempt:
            response.close()
            return await self._failed(exchange, sent=True)
        if exchange.question.stream:
            return await self._stream(exchange, response)
        return await self._whole(exchange, response)

    async def _failed(self, exchange: Exchange, *, sent: bool) -> Failure | None:
        """Meet an attempt that gave no answer; nobody has seen any of it."""
        serving = self._serving
        serving.router.failed(exchange.upstream.name, serving.node.now())
        if not sent:
            return Failure(exchange.record)
        try:
            run = await cancel_run(exchange.client, exchange.record.attempt)
        except ExchangeFailed:
            serving.resolve_later(exchange.record)
            title = "The upstream gave no answer, and cannot say whether it ran."
            problem = Problem(ProblemType.BROKEN, title, run=Run.UNKNOWN, retry_after=1)
            await problem.send(exchange.respond)
            return None
        if run.state is RunState.NEVER_RAN:
            return Failure(exchange.record)
        return Failure(exchange.record, run.total_tokens)

    async def _whole(self, exchange: Exchange, response: Response) -> Failure | None:
        try:
            body = await response.body()
            used = int(json.loads(body)["usage"]["total_tokens"])
        except (ExchangeFailed, ValueError, KeyError, TypeError):
            return await self._failed(exchange, sent=True)
        serving = self._serving
        serving.router.succeeded(exchange.upstream.name)
        answer = Answer(200, JSON_TYPE, body)
        if exchange.kept is not None:
            serving.replays.keep(exchange.record.request_id, answer)
        serving.settlement.finish(exchange.record, used)
        await exchange.respond.whole(200, body, JSON_TYPE)
        return None

    async def _stream(self, exchange: Exchange, response: Response) -> Failure | None:
        relay = EventRelay(exchange.question.wants_usage)
        for _ in range(RESUMES + 1):
            await self._relay(exchange, relay, response)
            if relay.ended:
                return await self._end_stream(exchange, relay)
            if exchange.caller_left and exchange.kept is None:
                return await self._cancel_stream(exchange, relay)
            if not exchange.respond.started:
                return await self._failed(exchange, sent=True)
            try:
                response = await resume_stream(
                    exchange.client, exchange.record.attempt, relay.delivered
                )
            except ExchangeFailed:
                break
            if response.status != 200:
                response.close()
                break
        return await self._break_stream(exchange, relay)

    async def _relay(
        self, exchange: Exchange, relay: EventRelay, response: Response
    ) -> None:
        """Pass events on until the answer ends or breaks, or the caller leaves."""
        try:
            async for chunk in response.chunks():
                data = relay.feed(chunk)
                if not data:
                    continue
                if exchange.kept is not None:
                    exchange.kept.append(data)
                await self._send(exchange, data)
                if exchange.caller_left and exchange.kept is None:
                    response.close()
                    return
        except ExchangeFailed:
            return

    async def _send(self, exchange: Exchange, data: bytes) -> None:
        if exchange.caller_left:
            return
        try:
            if not exchange.respond.started:
                await start_stream(exchange.respond)
            await exchange.respond.send(data)
        except OSError:
            exchange.caller_left = True

    async def _end_stream(
        self, exchange: Exchange, relay: EventRelay
    ) -> Failure | None:
        serving = self._serving
        serving.router.succeeded(exchange.upstream.name)
        if exchange.kept is not None:
            answer = Answer(200, CONTENT_TYPE, b"".join(exchange.kept))
            serving.replays.keep(exchange.record.request_id, answer)
        serving.settlement.finish(exchange.record, self._used(exchange, relay))
        if exchange.caller_left:
            exchange.respond.abort()
        else:
            await exchange.respond.finish()
        return None

    async def _cancel_stream(
        self, exchange: Exchange, relay: EventRelay
    ) -> Failure | None:
        """Stop the engine for a caller that left; bill what was generated."""
        try:
            run = await cancel_run(exchange.client, exchange.record.attempt)
            self._serving.settlement.finish(exchange.record, run.total_tokens)
        except ExchangeFailed:
            self._serving.resolve_later(exchange.record)
        exchange.respond.abort()
        return None

    async def _break_stream(
        self, exchange: Exchange, relay: EventRelay
    ) -> Failure | None:
        """End a stream of which the caller has seen a part, as broken."""
        serving = self._serving
        serving.router.failed(exchange.upstream.name, serving.node.now())
        try:
            run = await cancel_run(exchange.client, exchange.record.attempt)
            serving.settlement.finish(exchange.record, run.total_tokens)
        except ExchangeFailed:
            serving.settlement.finish(exchange.record, self._used(exchange, relay))
        if not exchange.caller_left:
            await end_broken(exchange.respond)
        return None

    def _used(self, exchange: Exchange, relay: EventRelay) -> int:
        if relay.total_tokens is not None:
            return relay.total_tokens
        return exchange.question.prompt_bound + relay.delivered

    async def _again(
        self,
        question: Question,
        caller: Caller,
        known: RequestRecord,
        respond: Responder,
    ) -> bool:
        """Answer a request whose key is known; return whether it was answered."""
        if known.digest != caller.digest:
            await key_reused().send(respond)
            return True
        answer = await self._serving.kept_answer(known)
        if answer is not None:
            await respond.whole(answer.status, answer.body, answer.content_type)
            return True
        upstreams = self._serving.node.configuration.upstreams_by_name
        upstream = upstreams.get(known.upstream)
        if upstream is None:
            await answer_gone().send(respond)
            return True
        return await self._join(question, known, upstream, respond)

    async def _join(
        self,
        question: Question,
        known: RequestRecord,
        upstream: UpstreamConfiguration,
        respond: Responder,
    ) -> bool:
        """Answer from the engine, which keeps what an attempt generated."""
        serving = self._serving
        client = serving.client(upstream)
        try:
            if question.stream:
                response = await resume_stream(client, known.attempt, 0)
            else:
                response = await whole_answer(client, known.attempt)
        except ExchangeFailed:
            await outcome_unknown().send(respond)
            return True
        if response.status == 404:
            response.close()
            if known.used is not None:
                await answer_gone().send(respond)
                return True
            if serving.is_alive(known.entry):
                await in_progress().send(respond)
                return True
            return not await self._withdraw(known, client, respond)
        if question.stream:
            await self._join_stream(question, response, respond)
            return True
        try:
            body = await response.body()
        except ExchangeFailed:
            await outcome_unknown().send(respond)
            return True
        await respond.whole(200, body, JSON_TYPE)
        return True

    async def _join_stream(
        self, question: Question, response: Response, respond: Responder
    ) -> None:
        relay = EventRelay(question.wants_usage)
        await start_stream(respond)
        try:
            async for chunk in response.chunks():
                data = relay.feed(chunk)
                if data:
                    await respond.send(data)
        except ExchangeFailed:
            pass
        except OSError:
            response.close()
            respond.abort()
            return
        if relay.ended:
            await respond.finish()
            return
        await end_broken(respond)

    async def _withdraw(
        self, known: RequestRecord, client: HttpClient, respond: Responder
    ) -> bool:
        """Make sure that an attempt the engine never saw can't run any more.

        Returns
        -------
        bool
            Whether a new attempt may be made; otherwise the caller has been
            answered.
        """
        serving = self._serving
        if await serving.cancel(known, client):
            await serving.withdraw(known)
            return True
        await outcome_unknown().send(respond)
        return False


async def start_stream(respond: Responder) -> None:
    """Begin a stream of events."""
    headers = [
        ("Content-Type", CONTENT_TYPE),
        ("Cache-Control", "no-cache"),
        ("Transfer-Encoding", "chunked"),
    ]
    await respond.start(200, headers)


async def end_broken(respond: Responder) -> None:
    """End a stream with an error event and without its end marker."""
    title = "The answer broke off. Ask again."
    problem = Problem(ProblemType.BROKEN, title, Run.RAN)
    error = {"message": title, "type": ProblemType.BROKEN.value, **problem.to_json()}
    event = b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
    try:
        await respond.send(event)
        await respond.finish()
    except OSError:
        respond.abort()
